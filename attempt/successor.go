package attempt

import "sync"

// Successor acquires the right to another attempt while the current one has stalled. An endpoint that is silent may
// only be pausing, so an attempt is given up for silence only once the next one is certain to be allowed. Timers call it
// from their own goroutines. The zero value is ready to use.
type Successor struct {
	mu       sync.Mutex
	running  bool // an attempt is in progress
	acquired bool // the retry budget has granted the next attempt
}

// Begin starts an attempt.
func (s *Successor) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = true
}

// End ends the attempt. It waits for a call of Acquire in progress.
func (s *Successor) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = false
}

// Acquire calls grant, unless the attempt has ended or the next one is already granted, and reports whether the attempt
// may be given up.
func (s *Successor) Acquire(grant func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running && !s.acquired {
		s.acquired = grant()
	}
	return s.running && s.acquired
}

// Take reports whether the next attempt has been granted, and uses the grant up.
func (s *Successor) Take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	acquired := s.acquired
	s.acquired = false
	return acquired
}
