package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/placement"
	"github.com/trefoillug/trefoillug/speed"
)

// costOfEqual is the cost on endpoints that differ in their load only, in ms.
func costOfEqual(r placement.Request, c *placement.Candidate) float64 {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	cost := c.Failures * 400
	queue := 0.0
	if c.Slots > 0 {
		queue = max(0, c.Running+1-c.Slots)
	}
	if r.Input > 0 {
		cost += ms(r.Speed.PrefillTime(c.Prefill + max(0, float64(r.Input)-c.Cached)))
		cost += c.Running * 0.15 * ms(r.Speed.Step)
		cost += queue * ms(r.Speed.Generation) / max(1, c.Slots)
	} else {
		cost += queue * ms(r.Speed.Answer) / max(1, c.Slots)
		cost += c.Running
	}
	if !c.SameZone {
		cost += 5
	}
	if c.Avoided {
		cost += 10_000
	}
	return cost
}

// Guards against another choice where no endpoint reports its pace.
func TestCost_OfEqualEndpoints(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 10_000 {
		s := speed.Default
		s.Base, s.PrefillRate = time.Duration(rng.IntN(1e8)), 1+rng.Float64()*200
		r := placement.Request{ID: "r", Input: rng.IntN(2) * rng.IntN(9000), Speed: s}
		c := placement.Candidate{
			SameZone: rng.IntN(2) == 0, Running: float64(rng.IntN(20)) * rng.Float64(), Prefill: float64(rng.IntN(3000)), Slots: float64(rng.IntN(13)),
			Cached: float64(rng.IntN(4000)), Failures: rng.Float64(), Avoided: rng.IntN(20) == 0,
		}
		must.InDelta(t, costOfEqual(r, &c), placement.Cost(r, &c), 1e-6)
		c.Factor = 1
		must.InDelta(t, costOfEqual(r, &c), placement.Cost(r, &c), 1e-6)
	}
}

// Guards against a slow endpoint that is chosen as long as it has free slots, and against a wait that counts only once it
// is certain.
func TestCost_OfUnequalEndpoints(t *testing.T) {
	for _, r := range []placement.Request{{Speed: speed.Default}, {Speed: speed.Default, Input: 1000}} {
		usual := placement.Candidate{SameZone: true, Slots: 6, Running: 4}
		slow, uncertain := usual, usual
		slow.Factor, uncertain.Uncertainty = 2.5, 2
		must.Greater(t, placement.Cost(r, &usual), placement.Cost(r, &slow))
		must.Greater(t, placement.Cost(r, &usual), placement.Cost(r, &uncertain))
	}
}
