package speed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/speed"
)

// engine models the time to a first event: the network, a decode step and the prefill, some of them beside others.
type engine struct {
	rate float64 // prompt tokens per ms
	base time.Duration
	rng  *rand.Rand
}

func (e *engine) firstEvent(tokens float64) time.Duration {
	took := e.base + time.Duration(tokens/e.rate*float64(time.Millisecond))
	if e.rng.Float64() < 0.4 {
		took += time.Duration(e.rng.Float64() * float64(took)) // another request is processed too
	}
	return took
}

// Guards against an estimate that holds for the engines of one deployment only: it must follow engines of any speed.
func TestEstimator_FindsPrefillRate(t *testing.T) {
	for _, rate := range []float64{20, 64, 125, 400} {
		e := engine{rate: rate, base: 8 * time.Millisecond, rng: rand.New(rand.NewPCG(1, 2))}
		var est speed.Estimator
		for range 400 {
			for _, tokens := range []float64{600, 1800, 6600} {
				est.RecordPrefill(tokens, e.firstEvent(tokens))
			}
		}
		must.Between(t, 0.7*rate, est.Speed().PrefillRate, 1.4*rate)
	}
}

// Guards against the work of prompts that are cached or not being taken for the same.
func TestSpeed_PrefillWork(t *testing.T) {
	s := speed.Speed{Base: 10 * time.Millisecond, PrefillRate: 100}
	must.Eq(t, 0, s.PrefillWork(10_000, 5*time.Millisecond))
	must.Eq(t, 20*time.Millisecond, s.PrefillWork(10_000, 30*time.Millisecond))
	must.Eq(t, 100*time.Millisecond, s.PrefillWork(10_000, time.Second)) // the rest is the wait for others
}

// Guards against estimates of a few samples.
func TestEstimator_DefaultsWithoutSamples(t *testing.T) {
	var est speed.Estimator
	must.Eq(t, speed.Default.PrefillRate, est.Speed().PrefillRate)
	est.RecordTokens(1, time.Second)
	must.Eq(t, speed.Default.Step, est.Speed().Step)
}
