// Package config defines the content of service files. It decodes and validates them strictly, publishes them through
// the object API and distributes the published configuration to the instances.
package config

import "time"

// ServiceKind is the protocol that the endpoints of a service use.
type ServiceKind string

// Kinds of service.
const (
	KindModel ServiceKind = "model" // chat completions with server-sent events
	KindPlain ServiceKind = "plain" // plain HTTP
)

// Priority is the priority of requests under load; requests with lower values are shed first.
type Priority int

// Priorities.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
)

// Service is the validated content of a service file.
type Service struct {
	Name           string         `cbor:"1,keyasint"`
	Kind           ServiceKind    `cbor:"2,keyasint"`
	Checks         EndpointChecks `cbor:"3,keyasint"`
	ServingVersion string         `cbor:"4,keyasint"` // version that serves when no move is in progress
	Versions       []Version      `cbor:"5,keyasint"`
	Routes         []Route        `cbor:"6,keyasint"`
	Workspaces     []Workspace    `cbor:"7,keyasint"`
	Move           *Move          `cbor:"8,keyasint,omitempty"`
	// Concurrency is the number of requests that an endpoint runs concurrently before it queues further ones.
	Concurrency int `cbor:"9,keyasint"`
}

// EndpointChecks lists the checks that the endpoints of a service perform themselves.
type EndpointChecks struct {
	Fencing         bool `cbor:"1,keyasint"` // reject orders with an outdated fencing token
	IdempotencyKeys bool `cbor:"2,keyasint"` // run a call with a known Idempotency-Key at most once
	Sender          bool `cbor:"3,keyasint"` // authenticate the sender of an order
}

// Version is a back-end version of a service.
type Version struct {
	Name string `cbor:"1,keyasint"`
}

// Route is a class of calls to a service, selected by path prefix and method.
type Route struct {
	Name       string        `cbor:"1,keyasint"`
	Path       string        `cbor:"2,keyasint"` // path prefix below the service
	Methods    []string      `cbor:"3,keyasint"` // empty means every method
	Idempotent bool          `cbor:"4,keyasint"` // false means that a call runs at most once
	Priority   Priority      `cbor:"5,keyasint"`
	Timeout    time.Duration `cbor:"6,keyasint"` // from acceptance to the end of the response
}

// Workspace holds the limits and targets of one customer of a service.
type Workspace struct {
	Name    string  `cbor:"1,keyasint"`
	Rate    float64 `cbor:"2,keyasint"` // requests a second over all instances; 0 means no limit
	Burst   float64 `cbor:"3,keyasint"` // requests above the rate that may arrive at once
	Targets Targets `cbor:"4,keyasint"`
}

// Targets are the cost and latency targets of a workspace. Zero values mean no target.
type Targets struct {
	FirstToken            time.Duration `cbor:"1,keyasint"` // 95th percentile
	BetweenTokens         time.Duration `cbor:"2,keyasint"` // 95th percentile
	CostPerThousandTokens float64       `cbor:"3,keyasint"` // currency units
}

// Move shifts the traffic of a service from one version to another by a deadline.
type Move struct {
	ID       string    `cbor:"1,keyasint"` // unique within the service
	From     string    `cbor:"2,keyasint"`
	To       string    `cbor:"3,keyasint"`
	Start    time.Time `cbor:"4,keyasint"`
	Deadline time.Time `cbor:"5,keyasint"`
	Stages   []Stage   `cbor:"6,keyasint"` // empty means the default ramp
	// StartAtPublish is set if the file has no start field. It is not part of the published form.
	StartAtPublish bool `cbor:"-"`
}

// Stage is one step of the ramp of a move.
type Stage struct {
	Share   float64       `cbor:"1,keyasint"` // share of the traffic on the new version, from 0 to 1
	MinTime time.Duration `cbor:"2,keyasint"` // minimum duration of the stage
}

// RouteFor returns the route with the longest path prefix that matches method and path.
func (s *Service) RouteFor(method, path string) (*Route, bool) {
	var best *Route
	for i := range s.Routes {
		r := &s.Routes[i]
		if r.matches(method, path) && (best == nil || len(r.Path) > len(best.Path)) {
			best = r
		}
	}
	return best, best != nil
}

// WorkspaceFor returns the workspace with the given name.
func (s *Service) WorkspaceFor(name string) (*Workspace, bool) {
	for i := range s.Workspaces {
		if s.Workspaces[i].Name == name {
			return &s.Workspaces[i], true
		}
	}
	return nil, false
}

func (r *Route) matches(method, path string) bool {
	if len(path) < len(r.Path) || path[:len(r.Path)] != r.Path {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}
