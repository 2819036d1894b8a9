// Package soak runs instances as separate processes on a platform of stand-ins, injects faults from outside by a plan
// derived from a seed, and checks the guarantees of the product by what callers, endpoints and the platform observe.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

// Kind is a kind of fault or of planned work.
type Kind string

// Kinds of faults and planned work. The target is an instance for names that begin with "instance", and an endpoint for
// names that begin with "endpoint". The others have no target.
const (
	InstanceKill              Kind = "instance-kill"         // SIGKILL; it starts again
	InstanceFreeze            Kind = "instance-freeze"       // SIGSTOP, and SIGCONT at the end
	InstanceStop              Kind = "instance-stop"         // SIGTERM; it starts again
	InstanceReload            Kind = "instance-reload"       // SIGHUP
	InstanceStalledStore      Kind = "instance-silent-store" // its open connections to the store stall both ways
	InstanceStalledStoreReads Kind = "instance-deaf-store"   // its open connections stall for bytes from the store
	StoreDown                 Kind = "store-down"            // each call fails
	StoreLosesAnswers         Kind = "store-loses"           // some writes take effect, now or later, and get no answer
	StoreCompacts             Kind = "store-forgets"         // watches miss a change, then the history is dropped
	StoreRestored             Kind = "store-restored"        // it is away and comes back from an older copy; see Drill
	InstanceHolderKill        Kind = "holder-kill"           // SIGKILL of the instance that made the latest call of the API
	InstanceHolderFreeze      Kind = "holder-freeze"         // SIGSTOP of that instance, and SIGCONT at the end
	InstanceKillAll           Kind = "kill-all"              // SIGKILL of all instances at the same moment
	EndpointCrash             Kind = "endpoint-crash"        // its connections are closed; it restarts under another ID
	EndpointLeave             Kind = "endpoint-leave"        // it announces that it is draining, serves on, and ends
	EndpointLeavesQuietly     Kind = "endpoint-leave-quiet"  // only its entry says that it leaves, and it serves on for longer
	EndpointReset             Kind = "endpoint-reset"        // its connections are closed
	EndpointStalled           Kind = "endpoint-silent"       // its open connections stall
	EndpointFull              Kind = "endpoint-full"         // it rejects each request without running it
	EndpointFails             Kind = "endpoint-fails"        // it answers with status 500
	EndpointEndlessHeads      Kind = "endpoint-endless-head" // the heads of its answers never end
	EndpointEndlessBodies     Kind = "endpoint-endless-body" // its answers never end
	EndpointTrickles          Kind = "endpoint-trickle"      // its answers arrive a byte at a time
	EndpointResetsBodies      Kind = "endpoint-reset-body"   // it breaks its answers off
	EndpointSlow              Kind = "endpoint-slow"         // its sound answers take long
	EndpointLateCopies        Kind = "endpoint-late-copy"    // it sends its plain answers twice
	InstanceSignals           Kind = "instance-signals"      // SIGHUP and SIGTERM in a series, with changes of the configuration
	EndpointPauses            Kind = "endpoint-pause"        // all its answers pause and go on
	EndpointUnframed          Kind = "endpoint-unframed"     // its sound answers end with their connection
	EndpointBreaksEvents      Kind = "endpoint-break-event"  // its streams end inside an event with their connection
	EndpointRefusalCopies     Kind = "endpoint-refusal-copy" // it refuses, and sends the refusal again before the next answer
	EndpointLeavesEarly       Kind = "endpoint-leave-early"  // its answers say that it leaves before the list does; its address is used again
	EndpointFullFor           Kind = "endpoint-full-for"     // it rejects each request and says when to come back
	RequestDeadly             Kind = "request-deadly"        // requests with one block crash the endpoints that run them
	RequestRepeated           Kind = "request-repeated"      // one request comes again and again, and crashes the endpoints that run it
	ListOddEntry              Kind = "list-odd-entry"        // another writer's entry is in the endpoint list
	StreamsBreak              Kind = "streams-break"         // streams break off, and requests for their rest are answered oddly
	RollOut                   Kind = "roll-out"              // the model service moves to a new version
	WeightsChange             Kind = "weights-change"        // engines get new weights in the middle of streams
	ConfigRoute               Kind = "config-route"          // a route is added
	ConfigKey                 Kind = "config-key"            // a key is added, and revoked at the end
)

// kinds are the kinds drawn for a plan. One that is listed twice is twice as likely.
var kinds = []Kind{
	InstanceKill, InstanceFreeze, InstanceStop, InstanceStop, InstanceReload, InstanceStalledStore, InstanceStalledStoreReads, StoreDown,
	StoreLosesAnswers, StoreCompacts, EndpointCrash, EndpointLeave, EndpointLeave, EndpointReset, EndpointStalled, EndpointFull, EndpointFails,
	EndpointEndlessHeads, EndpointEndlessBodies, EndpointTrickles, EndpointResetsBodies, EndpointSlow, EndpointLateCopies,
	InstanceSignals, InstanceSignals, EndpointPauses, EndpointPauses, EndpointUnframed, EndpointBreaksEvents, EndpointRefusalCopies, EndpointRefusalCopies,
	EndpointLeavesEarly, EndpointLeavesEarly, EndpointFullFor, EndpointFullFor, ListOddEntry, ListOddEntry, ConfigRoute, ConfigKey, ConfigKey,
}

// plannedKinds are the kinds drawn for a plan of planned work only.
var plannedKinds = []Kind{
	InstanceStop, InstanceStop, InstanceStop, InstanceStop, InstanceReload, InstanceReload, InstanceSignals, InstanceSignals, EndpointLeave,
	EndpointLeavesEarly, EndpointPauses, EndpointPauses, EndpointUnframed, ListOddEntry, ConfigRoute, ConfigRoute, ConfigKey,
}

// answerFaults are the kinds that set how an endpoint answers.
var answerFaults = map[Kind]standin.AnswerFault{
	EndpointEndlessHeads: standin.EndlessHeads, EndpointEndlessBodies: standin.EndlessBodies, EndpointTrickles: standin.Trickles,
	EndpointResetsBodies: standin.ResetsBodies, EndpointSlow: standin.SlowAnswers, EndpointLateCopies: standin.LateCopies,
	EndpointUnframed: standin.Unframed, EndpointBreaksEvents: standin.BreaksEvents, EndpointRefusalCopies: standin.RefusalCopies,
}

// isPlanned reports whether a kind is planned work, or slow but sound work, which must not interrupt any request.
func (k Kind) isPlanned() bool {
	return slices.Contains([]Kind{
		InstanceStop, InstanceReload, InstanceSignals, EndpointLeave, EndpointLeavesEarly, EndpointLeavesQuietly, EndpointSlow, EndpointPauses, EndpointUnframed,
		ListOddEntry, WeightsChange, ConfigRoute, ConfigKey,
	}, k)
}

func (k Kind) onInstance() bool { return strings.HasPrefix(string(k), "instance-") }

func (k Kind) onStore() bool { return strings.HasPrefix(string(k), "store-") }

// onAllInstances reports whether the kind affects instances that it determines itself.
func (k Kind) onAllInstances() bool {
	return k == InstanceHolderKill || k == InstanceHolderFreeze || k == InstanceKillAll
}

// disturbsInstances reports whether time bounds hold for the instances that a kind affects only once settleTime has passed
// since its end. A reload doesn't disturb an instance.
func (k Kind) disturbsInstances() bool {
	return k.onInstance() && k != InstanceReload || k.onAllInstances() || k.onStore()
}

func (k Kind) onEndpoint() bool { return strings.HasPrefix(string(k), "endpoint-") }

// Fault is an entry of a plan.
type Fault struct {
	At     time.Duration // from the start of the load
	For    time.Duration
	Kind   Kind
	Target int // index of the target, modulo the number of targets of the kind
	// CopyAge is how old the copy is from which a restored store comes back.
	CopyAge time.Duration
}

const (
	// calmStart is the time before the first fault, in which the instances discover each other.
	calmStart = 4 * time.Second
	// CalmEnd is the time with only planned work at the end, in which requests must be served again.
	CalmEnd = 14 * time.Second
	// meanGap is the mean time between faults. It is shorter than most faults, so that they overlap.
	meanGap   = 900 * time.Millisecond
	maxFor    = 3500 * time.Millisecond
	minFor    = 300 * time.Millisecond
	maxSeries = 3
	// plannedStart and plannedInterval place planned work into the calm end, where nothing else can interrupt a request.
	plannedStart    = 3500 * time.Millisecond
	plannedInterval = 600 * time.Millisecond
	plannedDuration = 6 * time.Second // longer than a planned stop
	plannedLag      = 2 * time.Second // of the list behind an endpoint that leaves
)

// plannedWork is the planned work in the calm end, in order. It overlaps.
var plannedWork = []Kind{
	ListOddEntry, EndpointLeave, EndpointLeavesEarly, InstanceReload, InstanceStop, InstanceReload, EndpointPauses, EndpointPauses, ConfigRoute,
	EndpointUnframed, EndpointUnframed,
}

// Plan is the schedule of a run.
type Plan struct {
	Seed      uint64
	Length    time.Duration // of the load
	Instances int
	Site      Site
	Faults    []Fault // in order of At
	StatesEra bool    // the store states its era in its answers
}

// NewPlan returns the plan for a seed. The same arguments give the same plan.
func NewPlan(seed uint64, length time.Duration, instances int) Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	p := Plan{Seed: seed, Length: length, Instances: instances, Site: standardSite, Faults: drawFaults(rng, length, kinds)}
	p.addDeadlyRequests(rng)
	p.addRepeatedRequests()
	p.addPlannedEnd(rng)
	return p
}

// addRepeatedRequests adds a request that crashes endpoints and comes again, with harmless ones beside it, to a share of plans.
// It draws by itself, so that the other faults of a seed stay the same.
func (p *Plan) addRepeatedRequests() {
	rng := rand.New(rand.NewPCG(p.Seed, 4))
	if last := p.Length - CalmEnd - repeatedTime; last > calmStart && rng.Float64() < repeatedShare {
		at := calmStart + time.Duration(rng.Int64N(int64(last-calmStart)))
		p.Faults = append(p.Faults, Fault{At: at, For: repeatedTime, Kind: RequestRepeated, Target: rng.IntN(1000)})
	}
}

// AddRepeatedRequests adds requests that crash endpoints to the faults of a plan, one on each kind of route for as long as there
// are faults, with harmless ones beside them. Meanwhile all instances are killed and the store comes back from an older copy. The
// same seed adds the same faults.
func (p *Plan) AddRepeatedRequests() {
	rng := rand.New(rand.NewPCG(p.Seed, 5))
	p.StatesEra = rng.IntN(2) == 0
	length := p.Length - CalmEnd - calmStart
	for k := range 2 {
		p.Faults = append(p.Faults, Fault{At: calmStart, For: length, Kind: RequestRepeated, Target: 1000 + k})
	}
	for _, kind := range []Kind{InstanceKillAll, StoreRestored} {
		at := calmStart + length/4 + time.Duration(rng.Int64N(int64(length/2)))
		p.Faults = append(p.Faults, Fault{At: at, For: minFor, Kind: kind, Target: rng.IntN(1000), CopyAge: minCopyAge + time.Duration(rng.Int64N(int64(maxCopyAge-minCopyAge)))})
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// addDeadlyRequests adds requests that crash endpoints to a share of plans.
func (p *Plan) addDeadlyRequests(rng *rand.Rand) {
	length := p.Length
	if last := length - CalmEnd - deadlyTime; last > calmStart && rng.Float64() < deadlyShare {
		at := calmStart + time.Duration(rng.Int64N(int64(last-calmStart)))
		p.Faults = append(p.Faults, Fault{At: at, For: deadlyTime, Kind: RequestDeadly, Target: rng.IntN(1000)})
	}
}

// NewPlannedWork returns the plan of a run with planned work only, by which no request may be interrupted at any time.
// The same arguments give the same plan.
func NewPlannedWork(seed uint64, length time.Duration, instances int) Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed, Length: length, Instances: instances, Site: standardSite, Faults: drawFaults(rng, length, plannedKinds)}
	p.addPlannedEnd(rng)
	return p
}

// drawFaults draws faults of the given kinds for the time between the start and the calm end of a run.
func drawFaults(rng *rand.Rand, length time.Duration, kinds []Kind) (faults []Fault) {
	for at := calmStart; at < length-CalmEnd-maxFor; at += time.Duration(rng.ExpFloat64() * float64(meanGap)) {
		f := Fault{
			At: at, For: minFor + time.Duration(rng.Int64N(int64(maxFor-minFor))), Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(1000),
		}
		// Some faults come in a series, in which each starts before the previous one has ended.
		for i := range 1 + rng.IntN(maxSeries)*rng.IntN(2) {
			repeated := f
			repeated.At, repeated.Target = f.At+time.Duration(i)*f.For/2, f.Target+i
			if repeated.At+repeated.For < length-CalmEnd {
				faults = append(faults, repeated)
			}
		}
	}
	return faults
}

// addPlannedEnd sorts the faults and adds the planned work of the calm end.
func (p *Plan) addPlannedEnd(rng *rand.Rand) {
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	p.Faults = append(p.Faults, plannedFaults(rng, p.Site, p.Length-CalmEnd+plannedStart)...)
}

// plannedFaults returns the planned work of the calm end. One instance gets all signals. An endpoint of the plain service
// leaves as usual, and a model engine says so first in its answers. Both services have endpoints that pause and that
// answer without a length, and new endpoints without any of that.
func plannedFaults(rng *rand.Rand, site Site, start time.Duration) []Fault {
	instance, target := rng.IntN(1000), rng.IntN(1000)
	plain := func(n int) int { return site.Models + (target+n)%site.Orders }
	model := func(n int) int { return (target + n) % site.Models }
	faults := make([]Fault, len(plannedWork))
	for i, kind := range plannedWork {
		f := Fault{At: start + time.Duration(i)*plannedInterval, For: plannedDuration, Kind: kind, Target: target + i}
		onPlain := slices.Contains(plannedWork[:i], kind)
		switch {
		case kind.onInstance():
			f.Target = instance
		case kind == EndpointLeave:
			f.Target = plain(0)
		case kind == EndpointLeavesEarly:
			f.Target, f.For = model(0), plannedLag
		case kind == ListOddEntry:
			f.For = CalmEnd - plannedStart // a new endpoint comes meanwhile
		case kind == EndpointPauses && onPlain:
			f.Target = plain(1)
		case kind == EndpointPauses:
			f.Target = model(1)
		case kind == EndpointUnframed && onPlain:
			f.Target = plain(2)
		case kind == EndpointUnframed:
			f.Target = model(2)
		}
		faults[i] = f
	}
	return faults
}

// String returns a header line and a line for each fault.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %s, %d instances, site %s\n", p.Seed, p.Length, p.Instances, p.Site.Name)
	for _, f := range p.Faults {
		fmt.Fprintf(&b, "%8.3f s  %-22s %4d  for %s\n", f.At.Seconds(), f.Kind, f.Target, f.For.Round(time.Millisecond))
	}
	return b.String()
}
