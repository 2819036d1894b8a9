package core

import (
	"time"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/move"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

// Event is an input of the core. The set is closed.
type Event interface{ isEvent() }

// ConfigAccepted carries the configuration of a revision.
type ConfigAccepted struct {
	Revision uint64
	Services []config.Service
}

// InstancesListed carries the platform's instance list.
type InstancesListed struct{ Instances []cloud.Instance }

// EndpointLeaving tells that an endpoint, or each endpoint of a failure domain, will be gone by a time.
type EndpointLeaving struct {
	Endpoint      string // empty: the whole failure domain
	FailureDomain string
	By            time.Time
}

// LoadReported carries an endpoint's own load report.
type LoadReported struct {
	Endpoint string
	Load     table.Load
}

// Result tells how an attempt ended.
type Result int

// Results of an attempt.
const (
	Succeeded    Result = iota
	Failed              // the endpoint answered with an error of its own
	EndpointLost        // the connection broke or went silent
	Cancelled           // the caller went away, or the attempt was moved elsewhere on purpose
	TimedOut            // the endpoint worked past the deadline
)

// AttemptDone tells the end of one attempt at an endpoint.
type AttemptDone struct {
	Endpoint, Service, Version, Route, Workspace string

	Result      Result
	Started     time.Time
	FirstToken  time.Duration // time to the first token, or to the response header of a plain service
	PerToken    time.Duration // mean time between tokens; 0 for plain services
	Total       time.Duration
	InFlight    int    // attempts in flight at the endpoint when this one was dispatched
	Fingerprint uint64 // of the request content
	Tokens      int    // tokens generated
	Recomputed  int    // tokens of prefix computed again because of a resume
}

// EndpointCrashed tells that an endpoint's connections broke while it ran requests.
type EndpointCrashed struct {
	Endpoint string
	Running  []RunningRequest // of this instance
}

// RunningRequest is a request that was on an endpoint when it crashed.
type RunningRequest struct {
	Fingerprint uint64
	Started     time.Time // of the attempt
}

// Refused counts a refusal for the burn report.
type Refused struct {
	Service, Workspace string
	Kind               problem.Kind
}

// Served counts a served request for the burn report.
type Served struct{ Service, Workspace string }

// FactReceived carries a fact of another member.
type FactReceived struct{ Fact peer.Fact }

// MoveRead carries the outcome object of a move as the store holds it.
type MoveRead struct {
	Object move.Object
	Record *move.Record // nil when the store holds none
}

// MembersChanged names the entry instances that should exist, reachable or not.
type MembersChanged struct{ IDs []string }

func (ConfigAccepted) isEvent()  {}
func (InstancesListed) isEvent() {}
func (EndpointLeaving) isEvent() {}
func (LoadReported) isEvent()    {}
func (AttemptDone) isEvent()     {}
func (EndpointCrashed) isEvent() {}
func (Refused) isEvent()         {}
func (Served) isEvent()          {}
func (FactReceived) isEvent()    {}
func (MoveRead) isEvent()        {}
func (MembersChanged) isEvent()  {}

// Command is an output of the core. The set is closed.
type Command interface{ isCommand() }

// PublishFact asks to spread a fact to all members.
type PublishFact struct {
	Key   string
	Value []byte
	TTL   time.Duration
}

// RecordMove asks to create the outcome object of a move by a conditional update, and for a MoveRead with the
// record that the store then holds.
type RecordMove struct{ Record move.Record }

// ReadMove asks for a MoveRead of an outcome object.
type ReadMove struct{ Object move.Object }

// Alert asks for a log line that needs an operator's attention.
type Alert struct {
	Message string
	Service string
	Subject string // endpoint, move or member that it is about
}

func (PublishFact) isCommand() {}
func (RecordMove) isCommand()  {}
func (ReadMove) isCommand()    {}
func (Alert) isCommand()       {}

// Urgent reports whether an event must be applied at once rather than at the next tick, because each moment
// until then sends more requests to an endpoint or version that must not get them.
func Urgent(e Event) bool {
	switch e.(type) {
	case EndpointLeaving, EndpointCrashed, FactReceived, ConfigAccepted, MoveRead:
		return true
	default:
		return false
	}
}
