package speed

import (
	"math"
	"sync"
	"time"
)

const (
	// paceMeanLife is the mean time for which a reported pace remains valid. Endpoints change theirs about every 600 ms,
	// so half of it is left when a report arrives.
	paceMeanLife = 300 * time.Millisecond
	// meanPaceWeight is the weight of the latest report in the mean pace of a service.
	meanPaceWeight = 0.02
	minPace        = 0.2
	maxPace        = 10.0

	// factorHalfLife is the time in which a sample of the long-run speed loses half of its weight, so that an endpoint
	// that has changed is known as such after a few minutes.
	factorHalfLife = 2 * time.Minute
	// factorPrior is the number of samples that say that the endpoint is like the others of its service. The durations of
	// a few generations on equal endpoints differ by a quarter.
	factorPrior = 4.0
	// maxFactor bounds the long-run factor and its inverse; a larger one is a fault, which the failure rate covers.
	maxFactor = 3.0
	// firstEventWeight is the weight of a time to a first event. It also depends on what was cached and on the prompts
	// before it, which the pace of events does not.
	firstEventWeight = 0.25
)

// Relative estimates how long work takes at one endpoint, relative to the other endpoints of its service. It is safe for
// concurrent use; the zero value has no samples.
type Relative struct {
	mu     sync.Mutex
	pace   float64 // latest reported; 0: none
	paceAt time.Time
	mean   float64 // of the logarithms of the samples
	weight float64 // of the samples
	at     time.Time
}

// recordPace records how long work takes at the endpoint at the moment, as it reports it. 1: as usual.
func (r *Relative) recordPace(pace float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace, r.paceAt = clampPace(pace), now
}

func clampPace(pace float64) float64 { return min(max(minPace, pace), maxPace) }

// Pace returns the latest reported pace and its age. ok is false without a report.
func (r *Relative) Pace(now time.Time) (pace float64, age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace, now.Sub(r.paceAt), r.pace > 0
}

// IsPaceFresh reports whether a reported pace of the given age probably still holds.
func IsPaceFresh(age time.Duration) bool { return age < paceMeanLife }

func (r *Relative) record(sample, weight float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := r.weightAt(now)
	r.weight, r.at = left+weight, now
	r.mean += (sample - r.mean) * weight / r.weight
}

// weightAt returns the weight that the samples still have. r.mu must be held.
func (r *Relative) weightAt(now time.Time) float64 {
	if r.weight == 0 {
		return 0
	}
	return r.weight * math.Exp2(-max(0, float64(now.Sub(r.at)))/float64(factorHalfLife))
}

// longRun returns the long-run factor without the pace of the moment.
func (r *Relative) longRun(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	weight := r.weightAt(now)
	return min(max(1/maxFactor, math.Exp(r.mean*weight/(weight+factorPrior))), maxFactor)
}

// expectedPace returns the pace that is expected now: the reported one, and the more of the mean of the service the older
// the report is.
func (r *Relative) expectedPace(mean float64, now time.Time) float64 {
	pace, age, ok := r.Pace(now)
	if !ok {
		return mean
	}
	return mean + (pace-mean)*math.Exp(-max(0, float64(age))/float64(paceMeanLife))
}

// Kind is a kind of measurement of an endpoint's speed.
type Kind int

// Kinds of measurements.
const (
	FirstEvent Kind = iota // time to the first event
	Events                 // time between events
	Answer                 // time to the answer of a plain service
	kinds
)

// fillSteps is the number of ranges of the load in which measurements are compared: engines that run more requests take
// longer for each.
const fillSteps = 5

// comparison holds what the measurements of single endpoints are compared with.
type comparison struct {
	meanPace float64                    // 0: no endpoint of the service reports its pace
	typical  [kinds][fillSteps]quantile // of the logarithms of ratios
}

// ReportsPace reports whether endpoints of the service report their pace. Only then do they differ in Factor.
func (e *Estimator) ReportsPace() bool { return e.MeanPace() > 0 }

// RecordPace records the pace that an endpoint of the service has reported with an answer. It reports whether that is the
// first one of the service.
func (e *Estimator) RecordPace(r *Relative, pace float64, now time.Time) (isFirst bool) {
	r.recordPace(pace, now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if isFirst = e.meanPace == 0; isFirst {
		e.meanPace = 1
	}
	e.meanPace += (clampPace(pace) - e.meanPace) * meanPaceWeight
	return isFirst
}

// MeanPace returns the mean pace that the endpoints of the service report; 0: they report none.
func (e *Estimator) MeanPace() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.meanPace
}

// RecordRatio records a measurement of an endpoint, divided by the pace that it reported with the answer: a time for work of
// one size, or a time divided by what Speed says for that work. It is compared with those of the service's endpoints at the
// same load, since what Speed says may be wrong for all of them. fill is the share of the slots in use.
func (e *Estimator) RecordRatio(r *Relative, kind Kind, ratio, fill float64, now time.Time) {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	sample := math.Log(ratio)
	e.mu.Lock()
	typical := &e.typical[kind][int(min(max(0, fill), 0.999)*fillSteps)]
	// The median of a service most of whose endpoints are equal is that of these.
	typical.add(sample, 0.5)
	known, value := typical.known, typical.value
	e.mu.Unlock()
	if !known {
		return
	}
	weight := 1.0
	if kind == FirstEvent {
		weight = firstEventWeight
	}
	limit := math.Log(maxFactor)
	r.record(min(max(-limit, sample-value), limit), weight, now)
}

// Factor returns the factor by which work at an endpoint is expected to take longer now than Speed says: its long-run
// speed times its expected pace. It is 1 where no endpoint reports its pace.
func (e *Estimator) Factor(r *Relative, now time.Time) float64 {
	mean := e.MeanPace()
	if mean == 0 {
		return 1
	}
	return r.longRun(now) * r.expectedPace(mean, now)
}

// Usual is Factor without what was last reported.
func (e *Estimator) Usual(r *Relative, now time.Time) float64 {
	mean := e.MeanPace()
	if mean == 0 {
		return 1
	}
	return r.longRun(now) * mean
}

// Scaled returns the speed of an endpoint at which work takes factor times as long. A factor of 0 means 1.
func (s Speed) Scaled(factor float64) Speed {
	if factor == 0 || factor == 1 {
		return s
	}
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * factor) }
	return Speed{
		Base: scale(s.Base), PrefillRate: s.PrefillRate / factor, Step: scale(s.Step), Generation: scale(s.Generation),
		Answer: scale(s.Answer), SlowAnswer: scale(s.SlowAnswer),
	}
}
