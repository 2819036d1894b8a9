// Package speed estimates how fast the engines of a service work from the times of their answers, so that nothing about
// an engine has to be configured.
package speed

import (
	"slices"
	"sync"
	"time"
)

const (
	// sampleCount is the number of latest samples that an estimate is made of.
	sampleCount = 64
	// minSamples is the number of samples below which the default applies.
	minSamples = 8
	// refreshInterval is the number of new samples after which an estimate is computed again.
	refreshInterval = 8

	// prefillQuantile and stepQuantile lie on the fast side: the samples of engines that are busy with other requests
	// too show less than their speed.
	prefillQuantile = 0.75
	stepQuantile    = 0.25
	// baseQuantile gives the time to a first event that does not depend on the length of the prompt: the network, a
	// decode step, and the prefill of a short prompt.
	baseQuantile = 0.1
	// slowQuantile gives the time that few answers of a plain service exceed.
	slowQuantile = 0.95
	// meanWeight is the weight of the latest prompt in the mean length.
	meanWeight = 0.05

	// Defaults until there are samples, of engines of medium size.
	defaultPrefillRate = 80.0 // prompt tokens per ms
	defaultStep        = 4 * time.Millisecond
	defaultGeneration  = 500 * time.Millisecond
	defaultAnswer      = 50 * time.Millisecond // of plain services
)

// Estimator estimates the speed of the engines of one service. It is safe for concurrent use; the zero value has no
// samples.
type Estimator struct {
	mu         sync.Mutex
	mean       float64  // prompt tokens
	base       quantile // ms
	prefill    quantile // tokens per ms
	step       quantile // ms
	generation quantile // ms
	answer     quantile // ms
	slowAnswer quantile // ms
	comparison
}

// RecordPrefill records that the first event of a generation came after a time in which an engine without waiting
// requests processed at least the given tokens. Only long prompts show the speed; all show the time that does not depend
// on the length.
func (e *Estimator) RecordPrefill(tokens float64, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mean == 0 {
		e.mean = tokens
	}
	e.mean += (tokens - e.mean) * meanWeight
	e.base.add(milliseconds(took), baseQuantile)
	if rest := milliseconds(took) - e.base.value; tokens > e.mean && e.base.value > 0 && rest > 0 {
		e.prefill.add(tokens/rest, prefillQuantile)
	}
}

// RecordTokens records the time in which one generation got some tokens.
func (e *Estimator) RecordTokens(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step.add(milliseconds(took)/float64(tokens), stepQuantile)
}

// RecordGeneration records the duration of a complete generation.
func (e *Estimator) RecordGeneration(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generation.add(milliseconds(took), 0.5)
}

// RecordAnswer records the time to the complete answer of a plain service.
func (e *Estimator) RecordAnswer(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer.add(milliseconds(took), 0.5)
	e.slowAnswer.add(milliseconds(took), slowQuantile)
}

// Speed is the speed of the endpoints of a service: the first fields for engines, the last for plain services.
type Speed struct {
	Base        time.Duration // time to the first event that does not depend on the length of the prompt
	PrefillRate float64       // prompt tokens per ms
	Step        time.Duration // of decoding one token of each request in the batch
	Generation  time.Duration // median duration
	Answer      time.Duration // median time to an answer
	SlowAnswer  time.Duration // time that few answers exceed; 0: unknown
}

// Default is the speed that is assumed before there are samples.
var Default = Speed{PrefillRate: defaultPrefillRate, Step: defaultStep, Generation: defaultGeneration, Answer: defaultAnswer}

// Speed returns the current estimate.
func (e *Estimator) Speed() Speed {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Speed{
		Base:        e.base.durationOr(0),
		PrefillRate: e.prefill.valueOr(defaultPrefillRate),
		Step:        e.step.durationOr(defaultStep),
		Generation:  e.generation.durationOr(defaultGeneration),
		Answer:      e.answer.durationOr(defaultAnswer),
		SlowAnswer:  e.slowAnswer.durationOr(0),
	}
}

// PrefillTime returns the time in which an engine processes prompt tokens.
func (s Speed) PrefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / s.PrefillRate * float64(time.Millisecond))
}

// PrefillWork returns the engine time that the prefill of a prompt of the given tokens took whose first event came after
// took. It depends on what was cached, which only the time shows; without anything cached it takes PrefillTime.
func (s Speed) PrefillWork(tokens float64, took time.Duration) time.Duration {
	return min(max(0, took-s.Base), s.PrefillTime(tokens))
}

// batchFill is the share of its slots that a well-used engine fills.
const batchFill = 0.7

// TokenTime returns the engine time that generating one token takes on a well-used engine with the given slots: the
// time of a decode step divided by the requests in the batch.
func (s Speed) TokenTime(slots int) time.Duration {
	return time.Duration(float64(s.Step) / max(1, batchFill*float64(slots)))
}

// quantile estimates a quantile of the latest samples.
type quantile struct {
	samples []float64
	next    int // index of the oldest sample, once there are sampleCount
	added   int // since the estimate was computed
	known   bool
	value   float64
}

func (q *quantile) add(sample, share float64) {
	if len(q.samples) < sampleCount {
		q.samples = append(q.samples, sample)
	} else {
		q.samples[q.next] = sample
		q.next = (q.next + 1) % sampleCount
	}
	q.added++
	if len(q.samples) >= minSamples && (q.added >= refreshInterval || !q.known) {
		q.added, q.known = 0, true
		sorted := slices.Sorted(slices.Values(q.samples))
		q.value = sorted[int(share*float64(len(sorted)-1))]
	}
}

func (q *quantile) valueOr(fallback float64) float64 {
	if q.value == 0 {
		return fallback
	}
	return q.value
}

// durationOr returns the estimate of samples in ms.
func (q *quantile) durationOr(fallback time.Duration) time.Duration {
	return time.Duration(q.valueOr(milliseconds(fallback)) * float64(time.Millisecond))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
