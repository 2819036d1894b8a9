// Package soak runs instances on a platform of stand-ins as separate processes, injects faults from outside them by a
// plan that follows from a seed, and checks the product's promises from what callers, endpoints and the platform see.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// Kinds of a plan. Targets of those that begin with "instance" are instances, of those that begin with "endpoint"
// endpoints of a service; the others have none.
const (
	InstanceKill        Kind = "instance-kill"         // SIGKILL; it starts again
	InstanceFreeze      Kind = "instance-freeze"       // SIGSTOP, and SIGCONT at the end
	InstanceStop        Kind = "instance-stop"         // SIGTERM; it starts again
	InstanceReload      Kind = "instance-reload"       // SIGHUP
	InstanceSilentStore Kind = "instance-silent-store" // its open connections to the store carry nothing any more
	InstanceDeafStore   Kind = "instance-deaf-store"   // nor does what the store sends
	StoreDown           Kind = "store-down"            // each call fails
	StoreLoses          Kind = "store-loses"           // some writes are done, now or later, and not answered
	StoreForgets        Kind = "store-forgets"         // watches hear nothing of a change, then the history is gone
	EndpointCrash       Kind = "endpoint-crash"        // connections are reset; it comes back as another lifetime
	EndpointLeave       Kind = "endpoint-leave"        // planned: it says that it drains, serves on for a while, and ends
	EndpointReset       Kind = "endpoint-reset"        // its connections are reset
	EndpointSilent      Kind = "endpoint-silent"       // its open connections carry nothing any more
	EndpointFull        Kind = "endpoint-full"         // it rejects each request
	EndpointFails       Kind = "endpoint-fails"        // it answers with failures
	ConfigRoute         Kind = "config-route"          // a route is added
	ConfigKey           Kind = "config-key"            // a key is added, and taken away at the end
)

// kinds of the plan; those that stand twice are twice as likely.
var kinds = []Kind{
	InstanceKill, InstanceFreeze, InstanceStop, InstanceStop, InstanceReload, InstanceSilentStore, InstanceDeafStore, StoreDown,
	StoreLoses, StoreForgets, EndpointCrash, EndpointLeave, EndpointLeave, EndpointReset, EndpointSilent, EndpointFull, EndpointFails,
	ConfigRoute, ConfigKey, ConfigKey,
}

// isPlanned reports whether a kind is work after which no request may have been cut.
func (k Kind) isPlanned() bool {
	return slices.Contains([]Kind{InstanceStop, InstanceReload, EndpointLeave, ConfigRoute, ConfigKey}, k)
}

func (k Kind) onInstance() bool { return strings.HasPrefix(string(k), "instance-") }

func (k Kind) onStore() bool { return strings.HasPrefix(string(k), "store-") }

// Fault is an entry of a plan.
type Fault struct {
	At     time.Duration // from the start of the load
	For    time.Duration
	Kind   Kind
	Target int // modulo the number of things that fit
}

const (
	// calmStart lets the instances find each other before the first fault.
	calmStart = 4 * time.Second
	// CalmEnd is the time with planned work only at the end, in which service must be back and nothing may leak.
	CalmEnd = 14 * time.Second
	// meanGap is the mean time between faults, below their length, so that they overlap.
	meanGap   = 900 * time.Millisecond
	longest   = 3500 * time.Millisecond
	shortest  = 300 * time.Millisecond
	maxSeries = 3
	// plannedFrom and plannedGap place planned work into the calm end, where nothing else can have cut a request.
	plannedFrom = 4 * time.Second
	plannedGap  = 1500 * time.Millisecond
	plannedFor  = 6 * time.Second // longer than a planned stop
)

// plannedWork comes one after the other in the calm end.
var plannedWork = []Kind{InstanceStop, EndpointLeave, ConfigRoute}

// Plan is what happens in a run.
type Plan struct {
	Seed      uint64
	Length    time.Duration // of the load
	Instances int
	Faults    []Fault // in the order of time
}

// NewPlan returns the plan of a seed.
func NewPlan(seed uint64, length time.Duration, instances int) Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	p := Plan{Seed: seed, Length: length, Instances: instances}
	for at := calmStart; at < length-CalmEnd-longest; at += time.Duration(rng.ExpFloat64() * float64(meanGap)) {
		f := Fault{
			At: at, For: shortest + time.Duration(rng.Int64N(int64(longest-shortest))), Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(1000),
		}
		// Some faults come in a series, each before the one before it has ended.
		for i := range 1 + rng.IntN(maxSeries)*rng.IntN(2) {
			again := f
			again.At, again.Target = f.At+time.Duration(i)*f.For/2, f.Target+i
			if again.At+again.For < length-CalmEnd {
				p.Faults = append(p.Faults, again)
			}
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	for i, kind := range plannedWork {
		at := length - CalmEnd + plannedFrom + time.Duration(i)*plannedGap
		p.Faults = append(p.Faults, Fault{At: at, For: plannedFor, Kind: kind, Target: rng.IntN(1000)})
	}
	return p
}

// String returns a line a fault.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %s, %d instances\n", p.Seed, p.Length, p.Instances)
	for _, f := range p.Faults {
		fmt.Fprintf(&b, "%8.3f s  %-22s %4d  for %s\n", f.At.Seconds(), f.Kind, f.Target, f.For.Round(time.Millisecond))
	}
	return b.String()
}
