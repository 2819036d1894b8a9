// Package table defines the tables of services and endpoints that the decision core updates each tick, and the
// immutable snapshot of them that the request path reads.
package table

import (
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/config"
)

// Condition is an endpoint's state as this instance sees it.
type Condition int

// Conditions of an endpoint.
const (
	Ready   Condition = iota
	Leaving           // announced to leave; gets no new attempts
	Suspect           // failed recently; gets no new attempts until ProbeAfter
)

// Load is an endpoint's own load report, which lags behind its actual load.
type Load struct {
	Running    int       // requests being run
	Waiting    int       // requests queued at the endpoint
	KVUsed     float64   // share of the KV cache in use, 0 to 1
	MeasuredAt time.Time // when the endpoint measured it
	// OwnInFlight is the number of this instance's attempts in flight at the endpoint when the report arrived.
	OwnInFlight int
}

// Endpoint is a row of the endpoint table. A row is immutable once a snapshot holds it, except for Live.
type Endpoint struct {
	ID            string
	Address       string // host:port
	FailureDomain string
	Class         string  // machine class
	Price         float64 // currency units per hour
	Reclaimable   bool
	Service       string
	Version       string
	Condition     Condition
	LeaveBy       time.Time // latest time at which a leaving endpoint stops
	ProbeAfter    time.Time // time from which a suspect endpoint gets new attempts
	Load          Load
	Live          *Counters // shared by all snapshots
}

// Counters are this instance's current measurements of an endpoint. They are safe for concurrent use.
type Counters struct {
	InFlight   atomic.Int64 // attempts of this instance in flight
	Generation atomic.Int64 // connection pool generation
	Limit      atomic.Int64 // adaptive concurrency limit; 0: the service's default
	// FirstToken and PerToken are moving averages in microseconds; 0: not yet measured.
	FirstToken atomic.Int64
	PerToken   atomic.Int64
	// PrefillTokens is the total of prompt tokens of this instance's attempts that wait for their first token.
	PrefillTokens atomic.Int64
	// Isolated is set while a suspect request has the endpoint to itself.
	Isolated atomic.Bool
	// Prefixes holds the prompt prefixes that are assumed to be in the endpoint's cache.
	Prefixes PrefixCache
}

// Share is a version's fraction of a service's traffic.
type Share struct {
	Version  string
	Fraction float64 // 0 to 1; the fractions of a service add up to 1
}

// Move is the state of a service's current version move as shown to operators.
type Move struct {
	ID, From, To string
	Deadline     time.Time
	State        string // waiting, running, aborted, decided, or the outcome: done, rolled_back, superseded
	Reason       string
}

// Service is a service with its endpoints in a snapshot.
type Service struct {
	Config    *config.Service
	Shares    []Share
	Move      *Move       // nil when no move is current
	Endpoints []*Endpoint // sorted by ID
	Index     []VersionIndex
}

// VersionIndex holds precomputed data on the endpoints of a version for endpoint selection. route.Build fills it.
type VersionIndex struct {
	Version string
	Members []int32  // ascending positions in Service.Endpoints
	Ring    []uint64 // sorted; a hash in the upper 32 bits, a position in Service.Endpoints in the lower
	// MeanOthers is the mean number of other instances' attempts at an endpoint, according to recent load reports.
	MeanOthers float64
	MeanLoad   float64 // mean number of all attempts at an endpoint, according to recent load reports
	MinPrice   float64 // currency units per hour
}

// Snapshot is an immutable view of the tables.
type Snapshot struct {
	Revision uint64
	Services map[string]*Service
}

// Service returns the named service of the snapshot.
func (s *Snapshot) Service(name string) (*Service, bool) {
	if s == nil {
		return nil, false
	}
	svc, ok := s.Services[name]
	return svc, ok
}

// String returns the condition as shown to operators.
func (c Condition) String() string {
	switch c {
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	default:
		return "suspect"
	}
}
