// Package node runs an instance on its users' platform: it follows the platform's state, serves callers through
// package forward, exchanges the reports that limits and usage need with its peers, and carries out the duties while
// it holds their lease.
package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/era"
	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/intake"
	"github.com/trefoillug/trefoillug/limit"
	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/quota"
	"github.com/trefoillug/trefoillug/routing"
	"github.com/trefoillug/trefoillug/usage"
)

// Settings configures a process.
type Settings struct {
	Name        string // unique among the instances
	Zone        string // failure domain
	Region      string
	Zones       []string          // all failure domains
	Regions     map[string]string // of the failure domains
	Listen      string            // host:port for callers
	ReadyListen string            // host:port for the balancer's readiness checks
	PeerListen  string            // host:port for peers, metrics and status
	Seeds       []string          // host:port of peers; may be stale
	MemoryBytes int64
	MaxFds      int     // descriptors that the process may open, some of them for files; 0: no bound
	Cores       float64 // processor cores of the machine

	FirstStart      bool              // no instance has run before
	StoreHistory    time.Duration     // how long the store keeps changes for watches; 0: unknown
	GracePeriod     time.Duration     // from the signal to stop to the end of the process
	DutyReturnDelay time.Duration     // a duty doesn't return to an earlier holder within this time
	Repeats         limit.RepeatLimit // of all instances together, for each service
	QuotaTolerance  quota.Tolerance
	UsageWindow     time.Duration
	UsageDueTime    time.Duration // a report is due this long after the end of its window
	ExposedShare    float64       // largest share of a service's requests that an unproven version may get

	// EvacuationTime is the time in which an evacuation of a zone must be in effect; 0: zones are never evacuated.
	EvacuationTime time.Duration
	// A cold endpoint may get its tolerated rate times ColdOverage, plus ColdSlack, in any one second.
	ColdOverage, ColdSlack float64

	ReportUsage bool
	SizePool    bool
}

// ErrNoneAvailable means that no endpoints of the ordered kind are available at the moment.
var ErrNoneAvailable = errors.New("none available")

// Order sets the number of endpoints of a service in a zone.
type Order struct {
	Service     string
	Zone        string
	Desired     int
	Reclaimable bool
}

// DutyAPI is the platform's interface for the holder of the duties. token is the holder's fencing token.
type DutyAPI interface {
	// ReportUsage reports the counts of a window; a repeated report must have the same counts.
	ReportUsage(ctx context.Context, token, window uint64, counts usage.Counts) error
	// Order sets the number of endpoints of a service in a zone. It returns ErrNoneAvailable when none are available.
	Order(ctx context.Context, token uint64, o Order) error
}

// Kinds names the kinds of objects in which the platform keeps its state.
type Kinds struct{ Configuration, Endpoints, Rollouts, Evacuations string }

// Platform is what the adapter to a platform provides.
type Platform struct {
	DroppedLogLines func() int64 // since the start; nil: the log drops none
	// OnStoreCall sets the function that is called before each call of the store or the API; nil: calls are not counted.
	OnStoreCall func(func(StoreCall))

	Kinds Kinds
	Eras  *era.Tracker // of the store; learns from all calls
	// StoreConnections returns how many connections to the store have been opened over which a record may be read.
	StoreConnections func() uint64
	Objects          feed.Store
	Records          objstore.Store
	API              DutyAPI // nil: this instance takes on no duties
	Wire             forward.Wire
	Mover            forward.Mover // nil: running requests can't be moved
	DecodeTable      func(spec []byte) (*routing.Table, error)
	DecodeEndpoint   func(id string, spec []byte, now time.Time) (fleet.Entry, error)
	DecodeRollout    func(o feed.Object) (Rollout, error)
	// DecodeEvacuation returns the zone to which nothing more may be sent.
	DecodeEvacuation func(o feed.Object) (zone string, err error)
	Rollouts         RolloutStore
	// ListRecords returns the records whose keys begin with a prefix, as they are at some time during the call, unlike
	// those of Records, which may be older.
	ListRecords func(ctx context.Context, prefix string) ([]objstore.Object, error)
	// Ingress returns the handler for callers' requests, whose bodies it reads into memory.
	Ingress func(f *forward.Forwarder, maxBody func() int64, closing func() bool, memory *intake.Memory) http.Handler
	// ProxiedIngress returns the handler for requests of callers that other instances send on; IsProxied recognizes them.
	// The handler calls begin before it reads a request, which it refuses if the result is false, and end after it.
	ProxiedIngress func(f *forward.Forwarder, maxBody func() int64, closing func() bool, memory *intake.Memory, begin func() bool, end func()) http.Handler
	IsProxied      func(r *http.Request) bool
	// ConnRefusal has the headers of the answer to a connection above the bound of the listener for peers; it may be nil.
	ConnRefusal http.Header
	// Ready returns the handler for the balancer's readiness checks.
	Ready func(isReady func() bool) http.Handler
}
