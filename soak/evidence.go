package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

// Attempt is a request that a caller sent and its outcome.
type Attempt struct {
	Call     standin.PlatformCall
	Instance string
	Sent     time.Time
	Ended    time.Time
	Status   int    // 0: no response header arrived
	Type     string // content type
	Seal     string // mark of the endpoint that answered
	Body     string // possibly incomplete
	Complete bool   // the response body was received to its end
	// Turn is when the response before it on its connection ended; zero: it was sent after that.
	Turn time.Time
	// Unowed is set if the response before it on its connection broke off or said that the connection ends.
	Unowed bool
	// Abandoned is set if the caller stopped reading before the end.
	Abandoned bool
	target    *instance // nil in evidence that is not of a run
	// Resumes is the ID of the request whose stream the request resumes; empty: none.
	Resumes string
}

func (a *Attempt) isRepeatable() bool {
	return !slices.Contains([]string{"book", "chat", standin.PlatformDraftRoute}, a.Call.Route)
}

// duration returns the time that the request took, without the wait for its turn on its connection.
func (a *Attempt) duration() time.Duration {
	if a.Turn.After(a.Sent) {
		return a.Ended.Sub(a.Turn)
	}
	return a.Ended.Sub(a.Sent)
}

// isRefusal reports whether the status guarantees that the request has not run and never will.
func (a *Attempt) isRefusal() bool {
	return a.Status == 408 || a.Status == 421 || a.Status == 429 || a.Status == 503
}

// FaultSpan is the time in which a fault or planned work was in progress.
type FaultSpan struct {
	From, To time.Time // zero To: still in progress
	Kind     Kind
	Instance string // instance that it affects; empty: all
	Endpoint string // ID of the endpoint that it affects; empty: none or several
	Planned  bool
}

// DeadlyBlock is a prompt block that crashes the endpoints that run it.
type DeadlyBlock struct {
	ID       string
	Route    string
	From, To time.Time   // requests with the block were sent in this time
	Crashes  []time.Time // in order
}

// RepeatedRequest is a request that crashes the endpoints that run it and comes again under other IDs.
type RepeatedRequest struct {
	Content  standin.PlatformContent
	Route    string
	From, To time.Time
	Crashes  []time.Time // in order
}

// Lifetime is the time from the entry of an endpoint in the list to its end.
type Lifetime struct {
	Endpoint, Service string
	From, To          time.Time // zero To: until the end of the run
}

// ConfigChange is the time of a configuration change and the name of the route or key that it added or revoked.
type ConfigChange struct {
	At   time.Time
	Name string
}

// Evidence is the data recorded in a run, by which the guarantees are checked. It is safe for concurrent use during the
// run.
type Evidence struct {
	mu            sync.Mutex
	Attempts      []Attempt
	Runs          []standin.PlatformRun
	Refusals      []standin.PlatformRefusal
	Streams       []standin.PlatformStream
	Oddities      map[string]int // number of odd answers by name
	Rollouts      []string       // how the orders to move to a new version ended
	Deadly        []DeadlyBlock
	Repeated      []RepeatedRequest
	Lifetimes     []Lifetime
	Spans         []FaultSpan
	Leaving       map[string]time.Time // when an endpoint announced that it leaves, or was removed; by endpoint ID
	Added         []ConfigChange       // routes, by first part of the path
	Revoked       []ConfigChange       // keys
	EventTokens   int                  // number of tokens that an event of a stream holds
	FaultEnd      time.Time            // after it there is only planned work
	End           time.Time
	NotReady      []string // instances not ready at the end
	Exits         []string // processes that ended by themselves with an error
	APIViolations []string // violations of guarantees that the platform's API observed
	Windows       int      // number of usage windows reported
	Leaks         []string // exceeded resource limits, and instances and endpoints that could not be restarted
}

func newEvidence(eventTokens int) *Evidence {
	return &Evidence{Leaving: map[string]time.Time{}, EventTokens: eventTokens}
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

// addDeadlyBlock adds a block that crashes endpoints, and returns the function that sets the end of the requests with it.
func (e *Evidence) addDeadlyBlock(d DeadlyBlock) (end func(now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := len(e.Deadly)
	e.Deadly = append(e.Deadly, d)
	return func(now time.Time) { e.update(func() { e.Deadly[i].To = now }) }
}

func (e *Evidence) addCrash(block string, now time.Time) {
	e.update(func() {
		for i := range e.Deadly {
			if e.Deadly[i].ID == block {
				e.Deadly[i].Crashes = append(e.Deadly[i].Crashes, now)
			}
		}
	})
}

func (e *Evidence) startLifetime(endpoint, service string, now time.Time) {
	e.update(func() { e.Lifetimes = append(e.Lifetimes, Lifetime{Endpoint: endpoint, Service: service, From: now}) })
}

func (e *Evidence) endLifetime(endpoint string, now time.Time) {
	e.update(func() {
		for i := range e.Lifetimes {
			if e.Lifetimes[i].Endpoint == endpoint {
				e.Lifetimes[i].To = now
			}
		}
	})
}

// openSpan starts a span and returns the function that ends it.
func (e *Evidence) openSpan(s FaultSpan) (end func(now time.Time)) {
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

// disturbed reports whether an instance was affected between two times by a fault or planned work that matches.
func (e *Evidence) disturbed(instance string, from, to time.Time, matches func(FaultSpan) bool) bool {
	for _, s := range e.Spans {
		affected := s.Instance == "" || s.Instance == instance
		if affected && matches(s) && s.From.Before(to) && (s.To.IsZero() || s.To.After(from)) {
			return true
		}
	}
	return false
}
