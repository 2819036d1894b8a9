package move

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	minute            = time.Minute
	failureTestLength = 8 * minute
)

var failsAlways = scenario{bad: true, rate: 32, failRate: 0.005, extraFailRate: 1, route: -1}

// Guards against an instance that is paused while a fault begins and serves the bad version when it resumes.
func TestMove_PausedInstanceResumesWithoutShare(t *testing.T) {
	sc := failsAlways
	sc.extraFailRate, sc.onset, sc.pause = 0.5, 2*minute, [2]time.Duration{100 * time.Second, 3 * minute}
	m := newModel(sc, 1, failureTestLength)
	before := 0.0
	r := m.run(func() {
		if m.paused(3) {
			before = max(before, m.shares[3])
		} else if m.elapsed() >= sc.pause[1] {
			must.Eq(t, 0, m.shares[3])
		}
	})
	must.Positive(t, before)
	must.Eq(t, RolledBack, r.outcome)
}

// Guards against a share that rises without evidence of the others, and against a short partition that delays a good
// move beyond its deadline.
func TestMove_PartitionHoldsTheShare(t *testing.T) {
	sc := scenario{rate: 32, failRate: 0.005, partition: [2]time.Duration{minute, 2 * minute}}
	m := newModel(sc, 2, failureTestLength)
	var held []float64
	r := m.run(func() {
		if !m.within([2]time.Duration{minute + 8*time.Second, 2 * minute}) {
			return
		}
		if held == nil {
			held = slices.Clone(m.shares)
		}
		for i, s := range m.shares {
			must.LessEq(t, held[i], s)
		}
	})
	must.True(t, r.onTime)
}

// Guards against a fault that only one side of a partition detects, so that the other side keeps its share.
func TestMove_PartitionedSidesBothAbort(t *testing.T) {
	sc := failsAlways
	sc.onset, sc.partition = 2*minute, [2]time.Duration{minute, 6 * minute}
	m := newModel(sc, 3, failureTestLength)
	m.run(func() {
		if m.elapsed() >= 4*minute {
			must.Eq(t, 0, m.maxShare())
		}
	})
	must.Positive(t, m.newRequests)
}

// Guards against a store outage that stalls a good move, hides a bad one, or loses the outcome.
func TestMove_StoreDownThroughTheDeadline(t *testing.T) {
	down := [2]time.Duration{0, 9 * minute}
	m := newModel(scenario{rate: 32, failRate: 0.005, storeDown: down}, 4, failureTestLength)
	r := m.run(func() {
		if m.elapsed() >= failureTestLength {
			must.Eq(t, 1, slices.Min(m.shares))
		}
	})
	must.Eq(t, Done, r.outcome)
	must.Between(t, down[1], r.settled, down[1]+3*time.Second)
	sc := failsAlways
	sc.storeDown = down
	m = newModel(sc, 5, failureTestLength)
	r = m.run(func() {
		if m.elapsed() >= minute {
			must.Eq(t, 0, m.maxShare())
		}
	})
	must.Eq(t, RolledBack, r.outcome)
}

// Guards against counters of a restarted instance that replace its earlier ones, and against a restarted instance whose
// share stays behind the others'.
func TestMove_RestartedInstanceCatchesUp(t *testing.T) {
	m := newModel(scenario{rate: 32, failRate: 0.005, restart: 3 * minute}, 6, failureTestLength)
	r := m.run(func() {
		if m.elapsed() == 6*minute {
			must.Greater(t, 0.5*m.shares[0], m.shares[5]+1e-9)
		}
	})
	must.True(t, r.onTime)
}

// Guards against stages of the plan that end before their time.
func TestMove_ExplicitStagesAreLowerBounds(t *testing.T) {
	sc := scenario{rate: 32, failRate: 0.005}
	sc.stages = []stage{{Share: 0.01, MinTime: minute}, {Share: 0.2, MinTime: 2 * minute}, {Share: 1, MinTime: minute}}
	m := newModel(sc, 7, failureTestLength)
	r := m.run(func() {
		switch {
		case m.elapsed() < minute:
			must.LessEq(t, 0.01, m.maxShare())
		case m.elapsed() < 3*minute:
			must.LessEq(t, 0.2, m.maxShare())
		}
	})
	must.True(t, r.onTime)
}

// Guards against a test that exceeds its error rate because it is evaluated after each batch.
func TestAddConditional_KeepsErrorRateOverRepeatedTests(t *testing.T) {
	const runs, batches = 2000, 100
	m := newModel(scenario{}, 8, minute)
	alarms := 0
	for range runs {
		var sums [len(worseOddsRatios)]float64
		for range batches {
			var s sample
			s.n = [sides]float64{40, 10}
			for v := range s.n {
				for range int(s.n[v]) {
					if m.rng.Float64() < 0.05 {
						s.k[v]++
					}
				}
			}
			addConditional(sums[:], worseLogOdds, s)
			if logMean(sums[:]) >= math.Log(20) {
				alarms++
				break
			}
		}
	}
	t.Logf("%d of %d runs raise a false alarm at the 5%% level", alarms, runs)
	must.LessEq(t, runs/20, alarms)
}
