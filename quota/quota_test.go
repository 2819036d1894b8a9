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

// fleet drives several ledgers with reports that arrive one interval late.
type fleet struct {
	now     time.Time
	ledgers []*quota.Ledger
	cut     map[int]bool // exchanges no reports
	every   time.Duration
	starts  map[int]int     // processes before the present one
	blocked map[[2]int]bool // reports of the first do not reach the second
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), cut: map[int]bool{}, every: reportInterval, starts: map[int]int{}, blocked: map[[2]int]bool{}}
	for i := range n {
		f.ledgers = append(f.ledgers, f.ledger(i, n))
	}
	return f
}

func (f *fleet) ledger(i, expected int) *quota.Ledger {
	return quota.NewLedger(name(i), tolerance, expected, f.now)
}

func name(i int) string { return string(rune('a' + i)) }

// run lets each instance ask for cost every 20 ms at perSecond units, and returns the units granted in the time.
func (f *fleet) run(d time.Duration, limit quota.Limit, cost float64, perSecond func(i int) float64) float64 {
	granted := 0.0
	credit := make([]float64, len(f.ledgers))
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < d; at += step {
		f.now = f.now.Add(step)
		if at%f.every == 0 {
			f.exchange()
		}
		for i, l := range f.ledgers {
			for credit[i] += perSecond(i) * step.Seconds(); credit[i] >= cost; credit[i] -= cost {
				if ok, _ := l.Take("w", limit, cost, f.now); ok {
					granted += cost
				}
			}
		}
	}
	return granted
}

// offer takes perSecond units in requests of up to 60,000, 6,000 in the median, as prompts are.
func (f *fleet) offer(d time.Duration, rng *rand.Rand, perSecond float64, take func(cost float64) bool) (granted, refused float64) {
	const step = 20 * time.Millisecond
	credit := 0.0
	for at := time.Duration(0); at < d; at += step {
		f.now = f.now.Add(step)
		if at%f.every == 0 {
			f.exchange()
		}
		for credit += perSecond * step.Seconds(); credit > 0; {
			cost := min(60_000, 6_000*math.Exp(1.17*rng.NormFloat64()))
			credit -= cost
			if take(cost) {
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
			if i != j && !f.cut[i] && !f.cut[j] && !f.blocked[[2]int{i, j}] {
				to.Receive(name(i), fmt.Sprintf("%s.%d", name(i), f.starts[i]), report, f.now)
			}
		}
	}
}

var (
	limit     = quota.Limit{PerSecond: 240_000, Burst: 240_000}
	tolerance = quota.Tolerance{Share: 0.1, Units: 140_000}
)

// bound is what the rule allows in a window of 8 s.
func bound() float64 { return (limit.PerSecond*8+limit.Burst)*(1+tolerance.Share) + tolerance.Units }

// Guards against a workspace that gets more than its quota in sum because each instance sees only its own use.
func TestLedger_HotWorkspaceStaysWithinBound(t *testing.T) {
	f := newFleet(7)
	even := func(int) float64 { return 4.2 * limit.PerSecond / 7 }
	f.run(8*time.Second, limit, 12_000, func(int) float64 { return limit.PerSecond / 1.8 / 7 })
	got := f.run(8*time.Second, limit, 12_000, even)
	must.Less(t, bound(), got)
	must.Greater(t, limit.PerSecond*8*0.9, got)
}

// Guards against refusals below the quota, which cost callers for nothing.
func TestLedger_UsualLoadIsNotRefused(t *testing.T) {
	f := newFleet(7)
	usual := func(i int) float64 { return 0.8 * limit.PerSecond * float64(i) / 21 }
	f.run(2*time.Second, limit, 1_000, usual)
	got := f.run(8*time.Second, limit, 1_000, usual)
	must.Greater(t, 0.79*8*limit.PerSecond, got)
}

// Guards against an instance cut off from the others that uses the whole quota beside them.
func TestLedger_InstancesOutOfTouchKeepToShares(t *testing.T) {
	f := newFleet(7)
	hot := func(int) float64 { return 4.2 * limit.PerSecond / 7 }
	f.run(4*time.Second, limit, 12_000, func(int) float64 { return limit.PerSecond / 1.8 / 7 })
	f.cut[0], f.cut[1] = true, true
	got := f.run(8*time.Second, limit, 12_000, hot)
	must.Less(t, bound(), got)
}

// Guards against a full burst for each process after all were restarted in the middle of a busy window.
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

// Guards against a cost that stays counted although the request never ran.
func TestLedger_ReturnGivesBack(t *testing.T) {
	now := time.Unix(1, 0)
	l := quota.NewLedger("a", quota.Tolerance{}, 1, now)
	small := quota.Limit{PerSecond: 1, Burst: 10}
	ok, _ := l.Take("w", small, 4, now)
	must.True(t, ok)
	ok, retry := l.Take("w", small, 4, now)
	must.False(t, ok)
	must.Positive(t, retry)
	l.Return("w", 4)
	ok, _ = l.Take("w", small, 4, now)
	must.True(t, ok)
}

// Guards against refusals of a small workspace whose single requests are larger than its burst, while its use is
// below its rate: 4 requests in 3 s at 7 instances, of 12,000 tokens in the mean and up to 60,000.
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
			if ok, _ := f.ledgers[rng.IntN(7)].Take("w", small, cost, f.now); !ok {
				refused += cost
			}
		}
	}
	must.Less(t, 0.01*asked, refused)
}

// Guards against the whole use of a process that joins late being taken from the buckets with each of its reports.
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
		must.Zero(t, l.OutOfTouch(f.now))
	}
}

// largeFleet drives 80 ledgers with slow reports. Each instance turns to the home of the workspace if it reaches it.
type largeFleet struct {
	*fleet
	home int
	lost map[int]bool // reach no home
}

func newLargeFleet() *largeFleet {
	f := &largeFleet{fleet: newFleet(80), lost: map[int]bool{}}
	f.every = 1200 * time.Millisecond
	for _, l := range f.ledgers {
		l.Expect(80, f.every)
		l.SetLimits(map[string]quota.Limit{"w": limit}, f.now)
	}
	return f
}

func (f *largeFleet) take(i int, cost float64) bool {
	if f.lost[i] {
		ok, _ := f.ledgers[i].TakeAlone("w", limit, cost, f.now)
		return ok
	}
	ok, _ := f.ledgers[f.home].TakeAtHome("w", limit, cost, false, f.now)
	return ok
}

// ask lets random instances ask for perSecond units.
func (f *largeFleet) ask(d time.Duration, rng *rand.Rand, perSecond float64) (granted, refused float64) {
	return f.offer(d, rng, perSecond, func(cost float64) bool { return f.take(rng.IntN(len(f.ledgers)), cost) })
}

// Guards against a hot workspace that gets more than its quota in a large fleet, whose reports are slow, also when a
// third of the instances is cut off in the middle.
func TestLedger_HotWorkspaceInLargeFleet(t *testing.T) {
	for seed := range uint64(10) {
		f, rng := newLargeFleet(), rand.New(rand.NewPCG(seed, 2))
		f.ask(10*time.Second, rng, limit.PerSecond/1.8)
		got, _ := f.ask(8*time.Second, rng, 4.2*limit.PerSecond)
		must.Less(t, bound(), got)
		must.Greater(t, limit.PerSecond*8*0.9, got)
		f.ask(8*time.Second, rng, limit.PerSecond/1.8)
		for i := 50; i < 80; i++ {
			f.lost[i], f.cut[i] = true, true
		}
		got, _ = f.ask(8*time.Second, rng, 4.2*limit.PerSecond)
		must.Less(t, bound(), got, must.Sprint("cut"))
	}
}

// Guards against refusals of large requests far below the quota because the part of each of many instances is smaller
// than they are.
func TestLedger_LargeRequestsInLargeFleet(t *testing.T) {
	granted, refused := 0.0, 0.0
	for seed := range uint64(10) {
		f, rng := newLargeFleet(), rand.New(rand.NewPCG(seed, 3))
		f.ask(5*time.Second, rng, 0.3*limit.PerSecond)
		g, r := f.ask(30*time.Second, rng, limit.PerSecond/1.8)
		granted, refused = granted+g, refused+r
	}
	must.Less(t, 0.01*granted, refused)
}

// Guards against a new home that knows nothing of what its predecessor granted, or that expects the use which that one
// granted to go on.
func TestLedger_HomeIsKilled(t *testing.T) {
	f, rng := newLargeFleet(), rand.New(rand.NewPCG(1, 4))
	f.ask(10*time.Second, rng, limit.PerSecond/1.8)
	before, _ := f.ask(4*time.Second, rng, 4.2*limit.PerSecond)
	f.cut[0], f.home = true, 1
	after, _ := f.ask(4*time.Second, rng, 4.2*limit.PerSecond)
	must.Less(t, bound(), before+after)
	f.ask(4*time.Second, rng, limit.PerSecond/2)
	granted, refused := f.ask(10*time.Second, rng, limit.PerSecond/1.8)
	must.Less(t, 0.02*granted, refused)
}

// Guards against a home that loses its part of a quota with each configuration while some instances are out of touch.
func TestLedger_ConfigurationKeepsPartOfHome(t *testing.T) {
	now := time.Unix(1000, 0)
	l := quota.NewLedger("home", tolerance, 80, now)
	l.Expect(80, reportInterval)
	limits := map[string]quota.Limit{"w": limit}
	l.SetLimits(limits, now)
	for i := range 60 {
		l.Receive(fmt.Sprint(i), fmt.Sprint(i), quota.Report{}, now)
	}
	ok, _ := l.TakeAtHome("w", limit, 1, false, now)
	must.True(t, ok)
	now = now.Add(time.Second)
	for i := range 60 {
		l.Receive(fmt.Sprint(i), fmt.Sprint(i), quota.Report{}, now)
	}
	_, _ = l.TakeAtHome("w", limit, 1, false, now)
	l.SetLimits(limits, now)
	ok, _ = l.TakeAtHome("w", limit, limit.PerSecond/2, false, now)
	must.True(t, ok)
}

// Guards against the use of processes that were killed being expected to go on beside that of their successors, which
// refused nearly all requests for 10 s after most instances had been killed at once.
func TestLedger_MostInstancesKilled(t *testing.T) {
	f := newFleet(8)
	usual := func(int) float64 { return limit.PerSecond / 1.8 / 8 }
	f.run(10*time.Second, limit, 1_000, usual)
	for i := range 5 {
		f.ledgers[i] = f.ledger(i, 8)
		f.starts[i]++
	}
	f.run(time.Second, limit, 1_000, usual)
	got := f.run(8*time.Second, limit, 1_000, usual)
	must.Greater(t, 0.95*8*limit.PerSecond/1.8, got)
}

// prompts lets random instances of some ask for perSecond units.
func (f *fleet) prompts(d time.Duration, rng *rand.Rand, perSecond float64, from []int) (granted, refused float64) {
	return f.offer(d, rng, perSecond, func(cost float64) bool {
		ok, _ := f.ledgers[from[rng.IntN(len(from))]].Take("w", limit, cost, f.now)
		return ok
	})
}

// Guards against refusals far below the quota while one instance of eight is gone: each of the others kept to its even
// share, which is smaller than many a prompt.
func TestLedger_UsualLoadWithoutOneInstance(t *testing.T) {
	granted, refused := 0.0, 0.0
	for seed := range uint64(10) {
		f, rng := newFleet(8), rand.New(rand.NewPCG(seed, 5))
		f.prompts(10*time.Second, rng, limit.PerSecond/1.8, []int{0, 1, 2, 3, 4, 5, 6, 7})
		f.cut[7] = true
		g, r := f.prompts(20*time.Second, rng, limit.PerSecond/1.8, []int{0, 1, 2, 3, 4, 5, 6})
		granted, refused = granted+g, refused+r
	}
	must.Less(t, 0.01*granted, refused)
}

// Guards against a hot workspace that is refused for seconds although its buckets are full, because an instance that is
// gone is expected to go on using its quota.
func TestLedger_HotWorkspaceWithoutOneInstance(t *testing.T) {
	for seed := range uint64(10) {
		f, rng := newFleet(8), rand.New(rand.NewPCG(seed, 6))
		f.prompts(5*time.Second, rng, limit.PerSecond/1.8, []int{0, 1, 2, 3, 4, 5, 6, 7})
		f.prompts(5*time.Second, rng, 2*limit.PerSecond, []int{0, 1, 2, 3, 4, 5, 6, 7})
		f.cut[7] = true
		got, _ := f.prompts(8*time.Second, rng, 2*limit.PerSecond, []int{0, 1, 2, 3, 4, 5, 6})
		must.Greater(t, 0.9*8*limit.PerSecond*7/8, got)
		must.Less(t, bound(), got)
	}
}

// Guards against a new instance that takes all that its peers have ever used from its own buckets, and takes it for
// their present pace, so that it refuses nearly everything for many seconds.
func TestLedger_NewInstanceAmongOldOnes(t *testing.T) {
	granted, refused := 0.0, 0.0
	for seed := range uint64(10) {
		f, rng := newFleet(8), rand.New(rand.NewPCG(seed, 7))
		f.prompts(30*time.Second, rng, limit.PerSecond/1.8, []int{0, 1, 2, 3, 4, 5, 6, 7})
		f.ledgers[0] = f.ledger(0, 8)
		f.starts[0]++
		f.ledgers[0].SetLimits(map[string]quota.Limit{"w": limit}, f.now)
		f.prompts(time.Second, rng, limit.PerSecond/1.8*7/8, []int{1, 2, 3, 4, 5, 6, 7})
		for range 10 { // the new one serves an eighth
			f.prompts(900*time.Millisecond, rng, limit.PerSecond/1.8, []int{1, 2, 3, 4, 5, 6, 7})
			g, r := f.prompts(100*time.Millisecond, rng, limit.PerSecond/1.8, []int{0})
			granted, refused = granted+g, refused+r
		}
	}
	must.Less(t, 0.02*granted, refused)
}

// Guards against instances that use more than the quota in sum while each hears only some of the others: groups apart,
// reports lost one way, and instances that hear two groups.
func TestLedger_HotWorkspaceWithRandomCuts(t *testing.T) {
	for seed := range uint64(60) {
		f, rng := newFleet(8), rand.New(rand.NewPCG(seed, 8))
		all := []int{0, 1, 2, 3, 4, 5, 6, 7}
		f.prompts(10*time.Second, rng, limit.PerSecond/1.8, all)
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
		const parts = 16 // of half a second; the windows of the rule slide
		var got [3 * parts]float64
		for i := range got {
			if i == 2*parts {
				clear(f.blocked)
			}
			got[i], _ = f.prompts(500*time.Millisecond, rng, hot, askers)
		}
		for i := range len(got) - parts + 1 {
			sum := 0.0
			for _, g := range got[i : i+parts] {
				sum += g
			}
			must.Less(t, bound(), sum, must.Sprintf("seed %d, from part %d, groups %v", seed, i, group))
		}
	}
}
