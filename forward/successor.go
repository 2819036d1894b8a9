package forward

import "sync"

// successor acquires the right to another attempt while the current one has stalled. An endpoint that is silent may
// only be pausing, so an attempt is given up for silence only once the next one is certain to be allowed. Timers call it
// from their own goroutines. The zero value is ready to use.
type successor struct {
	mu       sync.Mutex
	running  bool // an attempt is in progress
	acquired bool // the retry budget has granted the next attempt
}

// begin starts an attempt.
func (s *successor) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = true
}

// end ends the attempt. It waits for a call of acquire in progress.
func (s *successor) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = false
}

// acquire calls grant, unless the attempt has ended or the next one is already granted, and reports whether the attempt
// may be given up.
func (s *successor) acquire(grant func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running && !s.acquired {
		s.acquired = grant()
	}
	return s.running && s.acquired
}

// take reports whether the next attempt has been granted, and uses the grant up.
func (s *successor) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	acquired := s.acquired
	s.acquired = false
	return acquired
}

// mayAbandon reports whether the current attempt, which has stalled, may be given up for another one. If so, the other one
// has been acquired from the retry budget.
func (r *exchange) mayAbandon() bool {
	return r.successor.acquire(func() bool {
		return r.route.MayRepeat() && r.runs+1 < r.route.MaxAttempts && r.f.cfg.RetryBudget.AcquireRetry(r.service.Name)
	})
}
