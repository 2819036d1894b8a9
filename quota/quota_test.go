package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/quota"
)

const reportInterval = 400 * time.Millisecond

// fleet drives several ledgers, which exchange reports once per interval.
type fleet struct {
	now      time.Time
	ledgers  []*quota.Ledger
	isolated map[int]bool // instances that exchange no reports
	interval time.Duration
	restarts map[int]int     // number of restarts by instance
	blocked  map[[2]int]bool // reports of the first instance do not reach the second
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), isolated: map[int]bool{}, interval: reportInterval, restarts: map[int]int{}, blocked: map[[2]int]bool{}}
	for i := range n {
		f.ledgers = append(f.ledgers, f.ledger(i, n))
	}
	return f
}

func (f *fleet) ledger(i, expected int) *quota.Ledger {
	return quota.NewLedger(name(i), tolerance, expected, f.now)
}

func name(i int) string { return string(rune('a' + i)) }

// run lets each instance i request perSecond(i) units a second, cost units at a time, in steps of 20 ms. It returns the
// units granted during d.
func (f *fleet) run(d time.Duration, limit quota.Limit, cost float64, perSecond func(i int) float64) float64 {
	granted := 0.0
	credit := make([]float64, len(f.ledgers))
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < d; at += step {
		f.now = f.now.Add(step)
		if at%f.interval == 0 {
			f.exchange()
		}
		for i, l := range f.ledgers {
			for credit[i] += perSecond(i) * step.Seconds(); credit[i] >= cost; credit[i] -= cost {
				if ok, _ := l.Acquire("w", limit, cost, f.now); ok {
					granted += cost
				}
			}
		}
	}
	return granted
}

// offer requests perSecond units a second, in requests whose sizes are distributed like those of prompts: 6,000 units
// in the median and at most 60,000.
func (f *fleet) offer(d time.Duration, rng *rand.Rand, perSecond float64, acquire func(cost float64) bool) (granted, refused float64) {
	const step = 20 * time.Millisecond
	credit := 0.0
	for at := time.Duration(0); at < d; at += step {
		f.now = f.now.Add(step)
		if at%f.interval == 0 {
			f.exchange()
		}
		for credit += perSecond * step.Seconds(); credit > 0; {
			cost := min(60_000, 6_000*math.Exp(1.17*rng.NormFloat64()))
			credit -= cost
			if acquire(cost) {
				granted += cost
			} else {
				refused += cost
			}
		}
	}
	return granted, refused
}

func (f *fleet) exchange() {
	for i, from := range f.ledgers {
		report := from.Report(f.now)
		for j, to := range f.ledgers {
			if i != j && !f.isolated[i] && !f.isolated[j] && !f.blocked[[2]int{i, j}] {
				to.Receive(name(i), fmt.Sprintf("%s.%d", name(i), f.restarts[i]), report, f.now)
			}
		}
	}
}

var (
	limit     = quota.Limit{PerSecond: 240_000, Burst: 240_000}
	tolerance = quota.Tolerance{Share: 0.1, Units: 140_000}
)

// bound returns the units that quota and tolerance allow in a window of 8 s.
func bound() float64 { return (limit.PerSecond*8+limit.Burst)*(1+tolerance.Share) + tolerance.Units }

// Guards against a workspace exceeding its quota in total because each instance counts only its own use.
func TestLedger_HotWorkspaceStaysWithinBound(t *testing.T) {
	f := newFleet(7)
	even := func(int) float64 { return 4.2 * limit.PerSecond / 7 }
	f.run(8*time.Second, limit, 12_000, func(int) float64 { return limit.PerSecond / 1.8 / 7 })
	got := f.run(8*time.Second, limit, 12_000, even)
	must.Less(t, bound(), got)
	must.Greater(t, limit.PerSecond*8*0.9, got)
}

// Guards against refusals while the use is below the quota.
func TestLedger_UsualLoadIsNotRefused(t *testing.T) {
	f := newFleet(7)
	usual := func(i int) float64 { return 0.8 * limit.PerSecond * float64(i) / 21 }
	f.run(2*time.Second, limit, 1_000, usual)
	got := f.run(8*time.Second, limit, 1_000, usual)
	must.Greater(t, 0.79*8*limit.PerSecond, got)
}

// Guards against partitioned instances that use the whole quota in addition to the others.
func TestLedger_UnreachableInstancesKeepToShares(t *testing.T) {
	f := newFleet(7)
	hot := func(int) float64 { return 4.2 * limit.PerSecond / 7 }
	f.run(4*time.Second, limit, 12_000, func(int) float64 { return limit.PerSecond / 1.8 / 7 })
	f.isolated[0], f.isolated[1] = true, true
	got := f.run(8*time.Second, limit, 12_000, hot)
	must.Less(t, bound(), got)
}

// Guards against a second full burst after a restart of all processes in the middle of a busy window.
func TestLedger_CommonRestartGivesNoSecondBurst(t *testing.T) {
	f := newFleet(7)
	hot := func(int) float64 { return 4.2 * limit.PerSecond / 7 }
	f.run(8*time.Second, limit, 12_000, hot)
	before := f.run(4*time.Second, limit, 12_000, hot)
	for i := range f.ledgers {
		f.ledgers[i] = f.ledger(i, 7)
	}
	after := f.run(4*time.Second, limit, 12_000, hot)
	must.Less(t, bound(), before+after)
}

// Guards against a cost that remains deducted although the request did not run.
func TestLedger_ReleaseRestoresCost(t *testing.T) {
	now := time.Unix(1, 0)
	l := quota.NewLedger("a", quota.Tolerance{}, 1, now)
	small := quota.Limit{PerSecond: 1, Burst: 10}
	ok, _ := l.Acquire("w", small, 4, now)
	must.True(t, ok)
	ok, retry := l.Acquire("w", small, 4, now)
	must.False(t, ok)
	must.Positive(t, retry)
	l.Release("w", 4)
	ok, _ = l.Acquire("w", small, 4, now)
	must.True(t, ok)
}

// Guards against refusals in a small workspace whose use is below its rate but whose single requests may exceed its
// burst: 4 requests in 3 s over 7 instances, of 12,000 tokens in the mean and up to 60,000.
func TestLedger_LargeRequestsOfSmallWorkspace(t *testing.T) {
	small := quota.Limit{PerSecond: 36_000, Burst: 36_000}
	refused, asked := 0.0, 0.0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(7)
		for step := range 3000 { // 60 s in steps of 20 ms
			f.now = f.now.Add(20 * time.Millisecond)
			if step%20 == 0 {
				f.exchange()
			}
			if rng.Float64() > 0.02*1.33 {
				continue
			}
			cost := min(60_000, 6_000*math.Exp(1.17*rng.NormFloat64()))
			asked += cost
			if ok, _ := f.ledgers[rng.IntN(7)].Acquire("w", small, cost, f.now); !ok {
				refused += cost
			}
		}
	}
	must.Less(t, 0.01*asked, refused)
}

// Guards against a process that joins late having its whole use deducted from the buckets again with each report.
func TestLedger_InstanceJoinsLate(t *testing.T) {
	f := newFleet(7)
	usual := func(int) float64 { return 0.5 * limit.PerSecond / 9 }
	f.run(30*time.Second, limit, 1_000, usual)
	for range 2 {
		f.ledgers = append(f.ledgers, f.ledger(len(f.ledgers), 9))
	}
	for _, l := range f.ledgers {
		l.Expect(9, reportInterval)
	}
	f.run(5*time.Second, limit, 1_000, usual)
	got := f.run(10*time.Second, limit, 1_000, usual)
	must.Greater(t, 0.49*10*limit.PerSecond, got)
	for _, l := range f.ledgers {
		must.Zero(t, l.UnreachableInstances(f.now))
	}
}

// largeFleet drives 80 ledgers with infrequent reports. An instance that reaches the owner of the workspace acquires
// units from it.
type largeFleet struct {
	*fleet
	owner       int
	partitioned map[int]bool // instances that reach no owner
}

func newLargeFleet() *largeFleet {
	f := &largeFleet{fleet: newFleet(80), partitioned: map[int]bool{}}
	f.interval = 1200 * time.Millisecond
	for _, l := range f.ledgers {
		l.Expect(80, f.interval)
		l.SetLimits(map[string]quota.Limit{"w": limit}, f.now)
	}
	return f
}

func (f *largeFleet) acquire(i int, cost float64) bool {
	if f.partitioned[i] {
		ok, _ := f.ledgers[i].AcquireFromEvenShare("w", limit, cost, f.now)
		return ok
	}
	ok, _ := f.ledgers[f.owner].AcquireAsOwner("w", limit, cost, false, f.now)
	return ok
}

// offerRandomly requests perSecond units a second, each request at a random instance.
func (f *largeFleet) offerRandomly(d time.Duration, rng *rand.Rand, perSecond float64) (granted, refused float64) {
	return f.offer(d, rng, perSecond, func(cost float64) bool { return f.acquire(rng.IntN(len(f.ledgers)), cost) })
}

// Guards against a hot workspace exceeding its quota in a large fleet with infrequent reports, also when more than a
// third of the instances become partitioned.
func TestLedger_HotWorkspaceInLargeFleet(t *testing.T) {
	for seed := range uint64(10) {
		f, rng := newLargeFleet(), rand.New(rand.NewPCG(seed, 2))
		f.offerRandomly(10*time.Second, rng, limit.PerSecond/1.8)
		got, _ := f.offerRandomly(8*time.Second, rng, 4.2*limit.PerSecond)
		must.Less(t, bound(), got)
		must.Greater(t, limit.PerSecond*8*0.9, got)
		f.offerRandomly(8*time.Second, rng, limit.PerSecond/1.8)
		for i := 50; i < 80; i++ {
			f.partitioned[i], f.isolated[i] = true, true
		}
		got, _ = f.offerRandomly(8*time.Second, rng, 4.2*limit.PerSecond)
		must.Less(t, bound(), got, must.Sprint("partitioned"))
	}
}

// Guards against refusals of large requests far below the quota because the requests are larger than the share of one
// of many instances.
func TestLedger_LargeRequestsInLargeFleet(t *testing.T) {
	granted, refused := 0.0, 0.0
	for seed := range uint64(10) {
		f, rng := newLargeFleet(), rand.New(rand.NewPCG(seed, 3))
		f.offerRandomly(5*time.Second, rng, 0.3*limit.PerSecond)
		g, r := f.offerRandomly(30*time.Second, rng, limit.PerSecond/1.8)
		granted, refused = granted+g, refused+r
	}
	must.Less(t, 0.01*granted, refused)
}

// Guards against a new owner that disregards what the killed owner granted, or that predicts that the use granted by
// the killed owner continues.
func TestLedger_OwnerIsKilled(t *testing.T) {
	f, rng := newLargeFleet(), rand.New(rand.NewPCG(1, 4))
	f.offerRandomly(10*time.Second, rng, limit.PerSecond/1.8)
	before, _ := f.offerRandomly(4*time.Second, rng, 4.2*limit.PerSecond)
	f.isolated[0], f.owner = true, 1
	after, _ := f.offerRandomly(4*time.Second, rng, 4.2*limit.PerSecond)
	must.Less(t, bound(), before+after)
	f.offerRandomly(4*time.Second, rng, limit.PerSecond/2)
	granted, refused := f.offerRandomly(10*time.Second, rng, limit.PerSecond/1.8)
	must.Less(t, 0.02*granted, refused)
}

// Guards against an owner whose level drops to its even share on each configuration update while some instances are
// unreachable.
func TestLedger_ConfigurationKeepsOwnerShare(t *testing.T) {
	now := time.Unix(1000, 0)
	l := quota.NewLedger("home", tolerance, 80, now)
	l.Expect(80, reportInterval)
	limits := map[string]quota.Limit{"w": limit}
	l.SetLimits(limits, now)
	for i := range 60 {
		l.Receive(fmt.Sprint(i), fmt.Sprint(i), quota.Report{}, now)
	}
	ok, _ := l.AcquireAsOwner("w", limit, 1, false, now)
	must.True(t, ok)
	now = now.Add(time.Second)
	for i := range 60 {
		l.Receive(fmt.Sprint(i), fmt.Sprint(i), quota.Report{}, now)
	}
	_, _ = l.AcquireAsOwner("w", limit, 1, false, now)
	l.SetLimits(limits, now)
	ok, _ = l.AcquireAsOwner("w", limit, limit.PerSecond/2, false, now)
	must.True(t, ok)
}

// Guards against use being predicted for killed processes in addition to their successors. Nearly all requests were
// refused for 10 s after most instances had been killed at once.
func TestLedger_MostInstancesKilled(t *testing.T) {
	f := newFleet(8)
	usual := func(int) float64 { return limit.PerSecond / 1.8 / 8 }
	f.run(10*time.Second, limit, 1_000, usual)
	for i := range 5 {
		f.ledgers[i] = f.ledger(i, 8)
		f.restarts[i]++
	}
	f.run(time.Second, limit, 1_000, usual)
	got := f.run(8*time.Second, limit, 1_000, usual)
	must.Greater(t, 0.95*8*limit.PerSecond/1.8, got)
}

// offerFrom requests perSecond units a second, each request at a random one of the given instances.
func (f *fleet) offerFrom(d time.Duration, rng *rand.Rand, perSecond float64, instances []int) (granted, refused float64) {
	return f.offer(d, rng, perSecond, func(cost float64) bool {
		ok, _ := f.ledgers[instances[rng.IntN(len(instances))]].Acquire("w", limit, cost, f.now)
		return ok
	})
}

// Guards against refusals far below the quota while one instance of eight is down: each of the others limited itself to
// its even share, which is smaller than many prompts.
func TestLedger_UsualLoadWithoutOneInstance(t *testing.T) {
	granted, refused := 0.0, 0.0
	for seed := range uint64(10) {
		f, rng := newFleet(8), rand.New(rand.NewPCG(seed, 5))
		f.offerFrom(10*time.Second, rng, limit.PerSecond/1.8, []int{0, 1, 2, 3, 4, 5, 6, 7})
		f.isolated[7] = true
		g, r := f.offerFrom(20*time.Second, rng, limit.PerSecond/1.8, []int{0, 1, 2, 3, 4, 5, 6})
		granted, refused = granted+g, refused+r
	}
	must.Less(t, 0.01*granted, refused)
}

// Guards against a hot workspace being refused for seconds although its buckets are full, because use is predicted for
// an instance that is down.
func TestLedger_HotWorkspaceWithoutOneInstance(t *testing.T) {
	for seed := range uint64(10) {
		f, rng := newFleet(8), rand.New(rand.NewPCG(seed, 6))
		f.offerFrom(5*time.Second, rng, limit.PerSecond/1.8, []int{0, 1, 2, 3, 4, 5, 6, 7})
		f.offerFrom(5*time.Second, rng, 2*limit.PerSecond, []int{0, 1, 2, 3, 4, 5, 6, 7})
		f.isolated[7] = true
		got, _ := f.offerFrom(8*time.Second, rng, 2*limit.PerSecond, []int{0, 1, 2, 3, 4, 5, 6})
		must.Greater(t, 0.9*8*limit.PerSecond*7/8, got)
		must.Less(t, bound(), got)
	}
}

// Guards against a restarted instance that deducts the whole past use of its peers from its buckets and mistakes it for
// their current rate, so that it refuses nearly all requests for many seconds.
func TestLedger_NewInstanceAmongOldOnes(t *testing.T) {
	granted, refused := 0.0, 0.0
	for seed := range uint64(10) {
		f, rng := newFleet(8), rand.New(rand.NewPCG(seed, 7))
		f.offerFrom(30*time.Second, rng, limit.PerSecond/1.8, []int{0, 1, 2, 3, 4, 5, 6, 7})
		f.ledgers[0] = f.ledger(0, 8)
		f.restarts[0]++
		f.ledgers[0].SetLimits(map[string]quota.Limit{"w": limit}, f.now)
		f.offerFrom(time.Second, rng, limit.PerSecond/1.8*7/8, []int{1, 2, 3, 4, 5, 6, 7})
		for range 10 { // the restarted instance serves about an eighth of the load
			f.offerFrom(900*time.Millisecond, rng, limit.PerSecond/1.8, []int{1, 2, 3, 4, 5, 6, 7})
			g, r := f.offerFrom(100*time.Millisecond, rng, limit.PerSecond/1.8, []int{0})
			granted, refused = granted+g, refused+r
		}
	}
	must.Less(t, 0.02*granted, refused)
}

// Guards against instances exceeding the quota in total while each reaches only some of the others: separate groups,
// reports lost in one direction, and instances that reach two groups.
func TestLedger_HotWorkspaceWithRandomPartitions(t *testing.T) {
	for seed := range uint64(60) {
		f, rng := newFleet(8), rand.New(rand.NewPCG(seed, 8))
		all := []int{0, 1, 2, 3, 4, 5, 6, 7}
		f.offerFrom(10*time.Second, rng, limit.PerSecond/1.8, all)
		group := make([]int, 8)
		for i := range group {
			group[i] = rng.IntN(1 + int(seed%4))
		}
		for _, i := range all {
			for _, j := range all {
				f.blocked[[2]int{i, j}] = group[i] != group[j] || seed%3 == 1 && rng.Float64() < 0.15
			}
		}
		askers := all
		if seed%2 == 1 {
			askers = rng.Perm(8)[:4]
		}
		hot := limit.PerSecond * (2 + 2*rng.Float64())
		const intervals = 16 // of half a second in a window of 8 s
		var got [3 * intervals]float64
		for i := range got {
			if i == 2*intervals {
				clear(f.blocked)
			}
			got[i], _ = f.offerFrom(500*time.Millisecond, rng, hot, askers)
		}
		for i := range len(got) - intervals + 1 {
			sum := 0.0
			for _, g := range got[i : i+intervals] {
				sum += g
			}
			must.Less(t, bound(), sum, must.Sprintf("seed %d, from interval %d, groups %v", seed, i, group))
		}
	}
}
