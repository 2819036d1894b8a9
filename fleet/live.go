package fleet

import (
	"math"
	"sync"
	"time"
)

const (
	// failureWeight is the weight of the newest answer in the failure rate; about ten answers decide it.
	failureWeight = 0.15
	// failureFade halves the failure rate without answers, so that an endpoint that recovered is tried again.
	failureFade = 3 * time.Second
	// After a failed connection an endpoint is left out for minAvoid, twice as long with each further one up to maxAvoid.
	minAvoid = 300 * time.Millisecond
	maxAvoid = 2 * time.Second
	// loadLife is the age in which a reported load loses its worth.
	loadLife = 2 * time.Second
)

// Live is what this instance knows of an endpoint's load and health. It is safe for concurrent use.
type Live struct {
	mu         sync.Mutex
	running    int     // own requests at the endpoint
	prefill    float64 // tokens of own requests whose first event is outstanding
	failures   float64 // rate of failed answers, 0 to 1
	failuresAt time.Time
	avoid      time.Duration
	avoidUntil time.Time
	reported   Load
	reportedAt time.Time
}

// Load is a load that an endpoint or peers reported.
type Load struct{ Running, Waiting, Slots int }

// View is a copy of what is known at one moment.
type View struct {
	Running  int
	Prefill  float64
	Failures float64
	Avoided  bool // connections failed just before
	Reported Load
	Fresh    float64 // worth of Reported, from 1 (just now) to 0
}

// View returns what is known now.
func (l *Live) View(now time.Time) View {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := View{
		Running: l.running, Prefill: l.prefill, Failures: l.failuresNow(now), Avoided: now.Before(l.avoidUntil),
		Reported: l.reported,
	}
	if !l.reportedAt.IsZero() {
		v.Fresh = max(0, 1-float64(now.Sub(l.reportedAt))/float64(loadLife))
	}
	return v
}

// Begin counts a request that is sent, with the prompt tokens that the endpoint has to process.
func (l *Live) Begin(prefill float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
	l.prefill += prefill
}

// Prefilled takes note that the first event of a request has arrived, or will not.
func (l *Live) Prefilled(prefill float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prefill = max(0, l.prefill-prefill)
}

// End counts a request that has ended.
func (l *Live) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
}

// NoteAnswer takes note of a complete answer, or of one that failed by the endpoint's fault.
func (l *Live) NoteAnswer(failed bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := l.failuresNow(now)
	value := 0.0
	if failed {
		value = 1
	} else {
		l.avoid = 0
	}
	l.failures, l.failuresAt = rate+(value-rate)*failureWeight, now
}

// NoteUnreachable takes note of a connection that could not be opened.
func (l *Live) NoteUnreachable(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.avoidUntil) {
		return // of the same failure
	}
	l.avoid = min(max(minAvoid, 2*l.avoid), maxAvoid)
	l.avoidUntil = now.Add(l.avoid)
}

// NoteLoad takes over a reported load.
func (l *Live) NoteLoad(load Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported, l.reportedAt = load, now
}

func (l *Live) failuresNow(now time.Time) float64 {
	if l.failures == 0 {
		return 0
	}
	return l.failures * math.Exp2(-float64(now.Sub(l.failuresAt))/float64(failureFade))
}
