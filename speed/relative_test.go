package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/speed"
)

// Guards against endpoints that are taken for slow because some of them are busy with other work for a moment, because a
// few of their answers took long, or because the estimate of the whole service is wrong.
func TestEstimator_FactorsOfEndpoints(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var service speed.Estimator
	endpoints := make([]speed.Relative, 12)
	now := time.Unix(1000, 0)
	slow := func(i int) float64 { return []float64{1.3, 1, 1}[i%3] }
	for range 600 {
		now = now.Add(50 * time.Millisecond)
		i := rng.IntN(len(endpoints))
		pace := 1.0
		if rng.Float64() < 0.15 {
			pace = 2.5
		}
		service.RecordPace(&endpoints[i], pace, now)
		const wrong = 1.7 // of what the estimate expects
		service.RecordRatio(&endpoints[i], speed.Events, wrong*slow(i)*pace/pace*(0.75+rng.Float64()/2), 0.5, now)
	}
	later := now.Add(3 * time.Second) // the pace of no endpoint is known any more
	for i := range endpoints {
		relative := service.Usual(&endpoints[i], later) / service.Usual(&endpoints[1], later)
		must.Between(t, 0.85*slow(i), relative, 1.15*slow(i))
		must.InDelta(t, service.Usual(&endpoints[i], later), service.Factor(&endpoints[i], later), 0.01)
	}
	must.Between(t, 1.0, service.Usual(&endpoints[1], later), 1.4) // the mean pace is 1.2
	hour := now.Add(time.Hour)
	must.InDelta(t, service.Usual(&endpoints[1], hour), service.Usual(&endpoints[0], hour), 0.01)
}

// Guards against one report or sample that decides for long, and against reports that count when they are old.
func TestEstimator_FactorOfFewReports(t *testing.T) {
	now := time.Unix(1000, 0)
	var service speed.Estimator
	var e, other speed.Relative
	must.Eq(t, 1, service.Factor(&e, now))
	service.RecordRatio(&e, speed.Answer, 9, 0, now)
	must.Eq(t, 1, service.Factor(&e, now))
	for range 100 {
		service.RecordPace(&other, 1, now)
	}
	service.RecordPace(&e, 2.5, now)
	must.InDelta(t, 2.5, service.Factor(&e, now), 0.01)
	must.Between(t, 1.2, service.Factor(&e, now.Add(600*time.Millisecond)), 1.3)
	must.InDelta(t, 1, service.Factor(&e, now.Add(2*time.Second)), 0.05)
	for range 20 {
		service.RecordRatio(&other, speed.Answer, 1, 0, now)
	}
	service.RecordRatio(&e, speed.Answer, 1.3, 0, now)
	must.Between(t, 1.01, service.Factor(&e, now.Add(5*time.Second)), 1.12)
	for _, wrong := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		service.RecordRatio(&e, speed.Answer, wrong, 0, now)
	}
	service.RecordPace(&e, 1e9, now)
	must.LessEq(t, 11, service.Factor(&e, now))
}
