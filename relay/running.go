package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/table"
)

// crashMemory is how long the crash of an endpoint that has not come back is remembered.
const crashMemory = time.Minute

// running knows the attempts of this instance on each endpoint.
type running struct {
	now       func() time.Time
	mu        sync.Mutex
	endpoints map[string]*endpointRuns
}

type endpointRuns struct {
	attempts  map[string]core.RunningRequest // by attempt ID
	reserved  string                         // attempt that must run alone
	crashedAt time.Time
	answered  bool // since the crash
}

func newRunning(now func() time.Time) *running {
	return &running{now: now, endpoints: map[string]*endpointRuns{}}
}

func (r *running) runs(endpoint string) *endpointRuns {
	e, ok := r.endpoints[endpoint]
	if !ok {
		e = &endpointRuns{attempts: map[string]core.RunningRequest{}}
		r.endpoints[endpoint] = e
	}
	return e
}

// enter registers an attempt. It reports false while the endpoint is reserved for another one.
func (r *running) enter(e *table.Endpoint, attempt string, fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.runs(e.ID)
	if runs.reserved != "" && runs.reserved != attempt {
		return false
	}
	runs.attempts[attempt] = core.RunningRequest{Fingerprint: fingerprint, Started: r.now()}
	e.Live.InFlight.Add(1)
	return true
}

func (r *running) leave(e *table.Endpoint, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Live.InFlight.Add(-1)
	runs := r.runs(e.ID)
	delete(runs.attempts, attempt)
	if runs.reserved == attempt {
		runs.reserved = ""
	}
}

// reserve keeps other attempts off an endpoint. It reports whether the endpoint is already idle.
func (r *running) reserve(endpoint, attempt string) (idle, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.runs(endpoint)
	if runs.reserved != "" && runs.reserved != attempt {
		return false, false
	}
	runs.reserved = attempt
	return len(runs.attempts) == 0, true
}

// passOn gives a reservation to an attempt and registers it.
func (r *running) passOn(e *table.Endpoint, from, attempt string, fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.runs(e.ID)
	if runs.reserved != from {
		return false
	}
	runs.reserved = attempt
	runs.attempts[attempt] = core.RunningRequest{Fingerprint: fingerprint, Started: r.now()}
	e.Live.InFlight.Add(1)
	return true
}

func (r *running) unreserve(endpoint, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if runs := r.runs(endpoint); runs.reserved == attempt {
		runs.reserved = ""
	}
}

func (r *running) isReserved(endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs, ok := r.endpoints[endpoint]
	return ok && runs.reserved != ""
}

// crashed passes the requests that ran on an endpoint to post when an attempt shows a new crash. An attempt that started
// before the last crash was broken by that one. An endpoint that has answered nothing since a crash is still down, and
// what it breaks off did not crash it. When crashed returns, the crash has been posted.
func (r *running) crashed(endpoint, attempt string, answering bool, post func([]core.RunningRequest)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.runs(endpoint)
	later := runs.attempts[attempt].Started.After(runs.crashedAt)
	up := answering || runs.answered || runs.crashedAt.IsZero()
	if !later || !up {
		return
	}
	runs.crashedAt, runs.answered = r.now(), false
	post(slices.Collect(maps.Values(runs.attempts)))
}

// noteCrash takes over a crash that another instance saw.
func (r *running) noteCrash(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.runs(endpoint)
	runs.crashedAt, runs.answered = r.now(), false
}

// noteAnswer records that an endpoint answered an attempt, which tells that it is up again after a crash.
func (r *running) noteAnswer(endpoint string, started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if runs := r.runs(endpoint); started.After(runs.crashedAt) {
		runs.answered = true
	}
}

// tidy drops endpoints on which nothing runs.
func (r *running) tidy() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, runs := range r.endpoints {
		if runs.idle(r.now()) {
			delete(r.endpoints, id)
		}
	}
}

// idle reports whether nothing runs and nothing about a crash need be remembered.
func (e *endpointRuns) idle(now time.Time) bool {
	forgotten := e.crashedAt.IsZero() || e.answered || now.Sub(e.crashedAt) > crashMemory
	return len(e.attempts) == 0 && e.reserved == "" && forgotten
}
