package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

const (
	// firstEra is the first era that a store states which states any.
	firstEra = 7
	// maxAway bounds how long a store that is restored is away.
	maxAway = 1500 * time.Millisecond
	// minCopyAge and maxCopyAge bound how old the copy is from which it comes back.
	minCopyAge = 2 * time.Second
	maxCopyAge = 9 * time.Second
	// maxRewriteDelay bounds the time until the operator and the endpoints write again what the store has forgotten.
	maxRewriteDelay = 800 * time.Millisecond
	// maxDrills is the largest number of drills in a plan, at most drillDistance apart.
	maxDrills     = 3
	drillDistance = 12 * time.Second
)

// AddDrills adds drills of the store to the faults of a plan, each with a change of the configuration and an endpoint that
// leaves, shortly before or after. Some come with the death of the holder of the duties or of all instances. The same seed
// gives the same drills.
func (p *Plan) AddDrills() {
	rng := rand.New(rand.NewPCG(p.Seed, 3))
	p.StatesEra = rng.IntN(2) == 0
	at := calmStart + time.Duration(rng.Int64N(int64(drillDistance)))
	for n := 0; n < 1+rng.IntN(maxDrills) && at+maxFor < p.Length-CalmEnd; n++ {
		p.Faults = append(p.Faults, Fault{
			At: at, For: time.Duration(rng.Int64N(int64(maxAway))), Kind: StoreRestored, Target: rng.IntN(1000),
			CopyAge: minCopyAge + time.Duration(rng.Int64N(int64(maxCopyAge-minCopyAge))),
		})
		for _, kind := range []Kind{ConfigRoute, ConfigKey, EndpointLeavesQuietly, InstanceHolderKill, InstanceHolderFreeze, InstanceKillAll} {
			if kind.onAllInstances() && rng.IntN(4) > 0 {
				continue
			}
			shift := time.Duration(rng.Int64N(int64(6*time.Second))) - 3*time.Second
			p.Faults = append(p.Faults, Fault{At: max(calmStart, at+shift), For: minFor + time.Duration(rng.Int64N(int64(maxFor))), Kind: kind, Target: rng.IntN(1000)})
		}
		at += 2*maxAway + time.Duration(rng.Int64N(int64(drillDistance)))
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// restoreStore makes the store come back from a copy. A drill that begins during another one follows it.
func (env *environment) restoreStore(f Fault) {
	env.restoring.Lock()
	defer env.restoring.Unlock()
	defer env.openSpan(f, "", "")()
	env.store.Run(standin.Drill{Age: f.CopyAge, Away: min(f.For, maxAway), RewriteAfter: maxRewriteDelay * time.Duration(f.Target) / 1000})
}

// injectHolderFault kills or freezes the instance that has called the platform's API last, or kills all instances.
func (env *environment) injectHolderFault(f Fault) {
	holder := env.api.Holder()
	for _, i := range env.instances {
		if f.Kind != InstanceKillAll && i.machine.Name != holder {
			continue
		}
		defer env.openSpan(f, i.machine.Name, "")()
		if f.Kind != InstanceHolderFreeze {
			i.signal(syscall.SIGKILL)
			continue
		}
		i.signal(syscall.SIGSTOP)
		time.Sleep(f.For)
		i.signal(syscall.SIGCONT)
	}
}
