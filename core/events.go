package core

import (
	"time"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/continuation"
	"github.com/trefoillug/trefoillug/move"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

// Event is an input of the core. Only the types of this package implement it.
type Event interface{ isEvent() }

// ConfigAccepted carries the configuration of a revision.
type ConfigAccepted struct {
	Revision uint64
	Services []config.Service
}

// InstancesListed carries the platform's instance list.
type InstancesListed struct{ Instances []cloud.Instance }

// EndpointLeaving announces that an endpoint, or each endpoint of a failure domain, will stop by a given time.
type EndpointLeaving struct {
	Endpoint      string // empty: the whole failure domain
	FailureDomain string
	LeaveBy       time.Time
}

// LoadReported carries an endpoint's own load report.
type LoadReported struct {
	Endpoint string
	Load     table.Load
}

// Result is the way an attempt ended.
type Result int

// Results of an attempt.
const (
	Succeeded    Result = iota
	Failed              // the endpoint answered with an error of its own
	EndpointLost        // the connection broke or stalled
	Cancelled           // the caller disconnected, or the attempt was moved to another endpoint on purpose
	TimedOut            // the endpoint did not finish by the deadline
)

// AttemptDone reports the end of one attempt at an endpoint.
type AttemptDone struct {
	Endpoint, Service, Version, Route, Workspace string

	Result       Result
	Unsuccessful bool // the answer is complete and no success, such as 404
	Started      time.Time
	FirstToken   time.Duration // time to the first token, or to the response header of a plain service
	PerToken     time.Duration // mean time between tokens; 0 for plain services
	Total        time.Duration
	InFlight     int    // attempts in flight at the endpoint when this one was dispatched
	Fingerprint  uint64 // fingerprint of the request content
	Tokens       int    // tokens generated
	Recomputed   int    // prefix tokens computed again because of a resume
	// Refused is the cause for which the answer was not relayed as the continuation of a stream; empty: it was.
	Refused continuation.Cause
}

// EndpointCrashed reports that an endpoint's connections broke while it ran requests.
type EndpointCrashed struct {
	Endpoint string
	Running  []RunningRequest // requests of this instance
}

// RunningRequest is a request that an endpoint was running when it crashed.
type RunningRequest struct {
	Fingerprint uint64
	Started     time.Time // start of the attempt
}

// Refused reports a refused request for the burn report.
type Refused struct {
	Service, Workspace string
	Kind               problem.Kind
}

// Served reports a served request for the burn report.
type Served struct{ Service, Workspace string }

// FactReceived carries a fact of another member.
type FactReceived struct{ Fact peer.Fact }

// MoveRead carries the outcome object of a move as read from the store.
type MoveRead struct {
	Object move.Object
	Record *move.Record // nil when the store holds none
}

// MembersChanged lists the IDs of the entry instances that should exist, whether reachable or not.
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

// Command is an output of the core. Only the types of this package implement it.
type Command interface{ isCommand() }

// PublishFact requests that a fact is published to all members.
type PublishFact struct {
	Key   string
	Value []byte
	TTL   time.Duration
}

// RecordMove requests that the outcome object of a move is created by a conditional update, followed by a MoveRead with
// the record that the store then holds.
type RecordMove struct{ Record move.Record }

// ReadMove requests a MoveRead of an outcome object.
type ReadMove struct{ Object move.Object }

// Alert requests a log line that needs an operator's attention.
type Alert struct {
	Message string
	Service string
	Subject string // endpoint, move or member concerned
}

func (PublishFact) isCommand() {}
func (RecordMove) isCommand()  {}
func (ReadMove) isCommand()    {}
func (Alert) isCommand()       {}

// Urgent reports whether an event must be applied at once rather than at the next tick, because until it is applied
// more requests are sent to an endpoint or version that must not get them.
func Urgent(e Event) bool {
	switch e.(type) {
	case EndpointLeaving, EndpointCrashed, FactReceived, ConfigAccepted, MoveRead:
		return true
	default:
		return false
	}
}
