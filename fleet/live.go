package fleet

import (
	"math"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/speed"
)

const (
	// failureWeight is the weight of the latest answer in the failure rate; the last ten or so answers determine it.
	failureWeight = 0.15
	// failureHalfLife is the time in which the failure rate halves without answers, so that an endpoint that may have
	// recovered is tried again.
	failureHalfLife = 3 * time.Second
	// After a failed connection an endpoint is avoided for minAvoid. Each further one doubles the time, up to maxAvoid.
	minAvoid = 300 * time.Millisecond
	maxAvoid = 2 * time.Second
	// loadTTL is the age at which a reported load is no longer used.
	loadTTL = 2 * time.Second
)

// Stats holds the load and health of an endpoint as recorded by this instance. It is safe for concurrent use.
type Stats struct {
	Speed speed.Relative // how long work takes at the endpoint

	mu         sync.Mutex
	running    int     // this instance's requests at the endpoint
	prefill    float64 // prompt tokens of this instance's requests whose first event is outstanding
	failures   float64 // share of failed answers, 0 to 1
	failuresAt time.Time
	avoid      time.Duration
	avoidUntil time.Time
	reported   Load
	reportedAt time.Time
	foreign    foreign
	waitsSince time.Time // see AwaitFirst; zero: no first event is outstanding
	answeredAt time.Time // last answer without a failure
}

// Load is the number of requests at an endpoint and of its slots, as reported by the endpoint or by peers.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the endpoint at the moment of the report, relative to its usual time: 1.2 means a
	// fifth longer. 0: not reported.
	Pace float64
}

// Snapshot is the load and health of an endpoint at one time.
type Snapshot struct {
	Running   int     // this instance's requests at the endpoint
	Prefill   float64 // prompt tokens of this instance's requests whose first event is outstanding
	Failures  float64 // share of failed answers, 0 to 1
	Avoided   bool    // a connection failed recently
	Reported  Load
	Freshness float64 // weight of Reported by its age, from 1 (just reported) to 0
}

// Snapshot returns a snapshot of the load and health at now.
func (s *Stats) Snapshot(now time.Time) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := Snapshot{
		Running: s.running, Prefill: s.prefill, Failures: s.failuresNow(now), Avoided: now.Before(s.avoidUntil),
		Reported: s.reported,
	}
	if !s.reportedAt.IsZero() {
		snapshot.Freshness = max(0, 1-float64(now.Sub(s.reportedAt))/float64(loadTTL))
	}
	return snapshot
}

// Begin counts a request that is being sent, with the prompt tokens that the endpoint has to process.
func (s *Stats) Begin(prefill float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.prefill += prefill
}

// RecordPrefilled records that the first event of a request has arrived, or will not arrive. prefill is the value
// passed to Begin.
func (s *Stats) RecordPrefilled(prefill float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefill = max(0, s.prefill-prefill)
	if s.prefill < 1 { // the rest is a rounding error
		s.waitsSince = time.Time{}
	}
}

// End records that a request has ended.
func (s *Stats) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// RecordAnswer records an answer. failed means that it failed through the endpoint's fault.
func (s *Stats) RecordAnswer(failed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.failuresNow(now)
	value := 0.0
	if failed {
		value = 1
	} else {
		s.avoid, s.answeredAt = 0, now
	}
	s.failures, s.failuresAt = rate+(value-rate)*failureWeight, now
}

// RecordUnreachable records that a connection could not be opened.
func (s *Stats) RecordUnreachable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.avoidUntil) {
		return // the failure is already counted
	}
	s.avoid = min(max(minAvoid, 2*s.avoid), maxAvoid)
	s.avoidUntil = now.Add(s.avoid)
}

// RecordLoad records a reported load.
func (s *Stats) RecordLoad(load Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported, s.reportedAt = load, now
	if !s.waitsSince.IsZero() {
		s.waitsSince = now
	}
	s.foreign.record(max(0, float64(load.Running+load.Waiting-s.running)), now)
}

func (s *Stats) failuresNow(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-float64(now.Sub(s.failuresAt))/float64(failureHalfLife))
}

// AnsweredAt returns when the endpoint last answered without a failure; the zero time means never.
func (s *Stats) AnsweredAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answeredAt
}
