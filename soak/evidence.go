package soak

import (
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

// Attempt is one attempt of a caller and how it ended.
type Attempt struct {
	Call     standin.UsersCall
	Instance string
	Sent     time.Time
	Ended    time.Time
	Status   int    // 0: no head of an answer arrived
	Body     string // as far as it arrived
	Whole    bool   // the answer ended as HTTP says that it must
}

func (a *Attempt) mayRepeat() bool { return a.Call.Route != "book" && a.Call.Route != "chat" }

// isRefusal reports whether the status promises that the request has not run and never will.
func (a *Attempt) isRefusal() bool {
	return a.Status == 408 || a.Status == 421 || a.Status == 429 || a.Status == 503
}

// Span is a time in which something was disturbed.
type Span struct {
	From, To time.Time // zero To: still
	What     Kind
	Instance string // empty: all
	Planned  bool
}

// Notice is the moment from which something binds, and what it is about.
type Notice struct {
	At   time.Time
	Name string
}

// Evidence is what a run has shown. It is safe for concurrent use while it is gathered.
type Evidence struct {
	mu       sync.Mutex
	Attempts []Attempt
	Runs     []standin.UsersRun
	Spans    []Span
	Leaving  map[string]time.Time // endpoint lifetimes that said so, or were removed
	Added    []Notice             // routes, by first part of the path
	Revoked  []Notice             // keys
	Events   int                  // of each stream
	FaultEnd time.Time
	End      time.Time
	Unready  []string // instances not ready at the end
	Broken   []string // promises that the platform's API saw broken
	Windows  int      // of usage that were reported
	Leaks    []string
}

func newEvidence(events int) *Evidence {
	return &Evidence{Leaving: map[string]time.Time{}, Events: events}
}

func (e *Evidence) addAttempt(a Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Attempts = append(e.Attempts, a)
}

func (e *Evidence) update(fn func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fn()
}

// open begins a span and returns how to end it.
func (e *Evidence) open(s Span) (end func(now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := len(e.Spans)
	e.Spans = append(e.Spans, s)
	return func(now time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.Spans[i].To = now
	}
}

// disturbed reports whether an instance, or the store, was disturbed between two times by faults that fit.
func (e *Evidence) disturbed(instance string, from, to time.Time, fits func(Span) bool) bool {
	for _, s := range e.Spans {
		about := s.Instance == "" || s.Instance == instance
		if about && fits(s) && s.From.Before(to) && (s.To.IsZero() || s.To.After(from)) {
			return true
		}
	}
	return false
}
