// Package pool decides which instances to request for the endpoints of services and which versions they load, and
// carries out these decisions under the pool lease. Planning is deterministic: it does no I/O, starts no goroutine, and
// reads neither a clock nor a random source.
package pool

import "time"

// State is the state of an instance in the planner's input.
type State int

// States of an instance.
const (
	Starting State = iota // requested, not on the list yet
	Unloaded              // on the list, without a version
	Loading               // loading its version
	Ready                 // serving its version
	Draining              // leaving or drained; gets no new work
)

// Instance is an endpoint instance, requested or on the list.
type Instance struct {
	ID            string
	Service       string
	Version       string // served or to load
	Class         string
	FailureDomain string
	Price         float64 // currency units per hour
	Reclaimable   bool
	Capacity      float64 // requests or tokens a second, as in the service's demand
	State         State
	Idle          bool // draining and certain to run no request any more
}

// Offer is an instance type that can be requested.
type Offer struct {
	ID            string
	Service       string // empty: any service
	Class         string
	FailureDomain string
	Price         float64 // currency units per hour
	Reclaimable   bool
	Capacity      float64   // requests or tokens a second of an instance
	Refusals      int       // starts refused since the last granted one
	LastRefusal   time.Time // time of the last refused start
}

// ProfileInterval is the length of one step of a demand profile.
const ProfileInterval = 10 * time.Minute

// ProfileSteps is the number of steps of a day's profile.
const ProfileSteps = int(24 * time.Hour / ProfileInterval)

// Demand is the expected traffic and the latency target of one version of a service.
type Demand struct {
	Service    string
	Version    string
	RecentRate float64 // highest rate of the service in recent minutes, in requests or tokens a second
	// Profile holds the highest rate of the service in each step of the previous day, from midnight UTC.
	Profile [ProfileSteps]float64
	// MaxShare is the largest share of the service's traffic, 0 to 1, that the version may get before instances requested
	// now are ready. During a move it is 1 for the version that a rollback returns to.
	MaxShare float64
	// Needed keeps at least one instance in each of two failure domains, even without traffic.
	Needed bool
	// Latency is the 95th percentile of the latency without load, and Target the one to keep under load. 0: unknown.
	Latency, Target time.Duration
	WeightBytes     float64 // loaded from the weight store by each new instance
}

// Input holds everything that a plan depends on, except the time.
type Input struct {
	Demands   []Demand
	Instances []Instance
	Offers    []Offer
	StartTime time.Duration // from a request until the instance is on the list
	// WeightRate is the weight store's limit in bytes a second over all instances; 0: no limit.
	WeightRate float64
}

// Start requests an instance of an offer for a version.
type Start struct {
	Offer   Offer
	Service string
	Version string
}

// Load orders an instance to load a version.
type Load struct {
	Instance string
	Service  string
	Version  string
}

// Plan is a set of changes. Each is valid without the others, so a plan may be carried out in part.
type Plan struct {
	Starts []Start
	Drains []string // instance IDs
	Stops  []string // instance IDs, drained before
	Loads  []Load   // in this order
}
