package standin

import (
	"slices"
	"sync"
)

// slots bounds the number of requests that are decoded at the same time. Waiting requests get a slot by priority, then
// in order of arrival.
type slots struct {
	mu      sync.Mutex
	free    int
	running int
	waiting []waiter
}

type waiter struct {
	priority int
	granted  chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n} }

// request returns a channel that is closed once the caller holds a slot.
func (s *slots) request(priority int) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := waiter{priority: priority, granted: make(chan struct{})}
	at := len(s.waiting)
	for at > 0 && s.waiting[at-1].priority < priority {
		at--
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	s.grantFree()
	return w.granted
}

// abandon cancels a request, or releases its slot if it has been granted in the meantime.
func (s *slots) abandon(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.waiting)
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.granted == granted })
	if len(s.waiting) == before {
		s.free, s.running = s.free+1, s.running-1
		s.grantFree()
	}
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free, s.running = s.free+1, s.running-1
	s.grantFree()
}

// grantFree grants the free slots to waiting requests. The caller holds s.mu.
func (s *slots) grantFree() {
	for s.free > 0 && len(s.waiting) > 0 {
		close(s.waiting[0].granted)
		s.waiting = s.waiting[1:]
		s.free, s.running = s.free-1, s.running+1
	}
}

func (s *slots) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}
