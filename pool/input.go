// Package pool decides which instances to request for the endpoints of services and what they load, and carries the
// decisions out under the pool lease. Planning is pure: no clock, I/O, goroutine or random source.
package pool

import "time"

// State of an instance as the planner sees it.
type State int

// States of an instance.
const (
	Starting State = iota // requested, not on the list yet
	Bare                  // on the list, without a version
	Loading               // loads its version
	Ready
	Draining // leaving or drained; gets no new work
)

// Instance is an endpoint instance.
type Instance struct {
	ID            string
	Service       string
	Version       string // served, or to be loaded
	Class         string
	FailureDomain string
	Price         float64 // currency units per hour
	Reclaimable   bool
	Capacity      float64 // requests or tokens a second, as in the service's demand
	State         State
	Idle          bool // certain to run no request
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
	Refusals      int       // refused starts since the last that was granted
	LastRefusal   time.Time // of these
}

// ProfileInterval is the length of a step of a demand profile.
const ProfileInterval = 10 * time.Minute

// ProfileSteps is the number of steps of a day's profile.
const ProfileSteps = int(24 * time.Hour / ProfileInterval)

// Demand is the traffic of one version of a service.
type Demand struct {
	Service string
	Version string
	Recent  float64 // highest rate of the service in recent minutes, in requests or tokens a second
	// Profile holds the highest rate of the service in each step of the previous day, from midnight UTC.
	Profile [ProfileSteps]float64
	// Part is the largest share of the traffic that the version may get within the lead time, 0 to 1. During a move
	// it is 1 for the version that a rollback returns to.
	Part float64
	// Needed keeps at least one instance in each of two failure domains, whatever the traffic.
	Needed bool
	// Latency is the 95th percentile without load; Target is the wanted one under load. Zero: unknown.
	Latency, Target time.Duration
	WeightBytes     float64 // loaded from the weight store by each new instance
}

// Input is all that a plan depends on.
type Input struct {
	Demands   []Demand
	Instances []Instance
	Offers    []Offer
	StartTime time.Duration // from a request until the instance is on the list
	// WeightRate is the weight store's limit in bytes a second over all instances; 0: no limit.
	WeightRate float64
}

// Start asks for an instance of an offer.
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

// Plan is a set of changes. Each holds on its own, so a part of a plan may be carried out.
type Plan struct {
	Starts []Start
	Drains []string // instance IDs
	Stops  []string // instance IDs, drained before
	Loads  []Load   // in this order
}
