package relay

import (
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/table"
)

const (
	// crashWindow joins to a crash the attempts that meet the endpoint while it is still down.
	crashWindow = time.Second
	// crashMemory is how long the time of a crash is kept.
	crashMemory = time.Minute
)

// running knows the attempts of this instance on each endpoint.
type running struct {
	now       func() time.Time
	mu        sync.Mutex
	endpoints map[string]*endpointRuns
}

type endpointRuns struct {
	attempts  map[string]attemptRun // by attempt ID
	reserved  string                // attempt that must run alone
	crashedAt time.Time
}

type attemptRun struct {
	fingerprint uint64
	started     time.Time
}

func newRunning(now func() time.Time) *running {
	return &running{now: now, endpoints: map[string]*endpointRuns{}}
}

func (r *running) runs(endpoint string) *endpointRuns {
	e, ok := r.endpoints[endpoint]
	if !ok {
		e = &endpointRuns{attempts: map[string]attemptRun{}}
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
	runs.attempts[attempt] = attemptRun{fingerprint, r.now()}
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
	runs.attempts[attempt] = attemptRun{fingerprint, r.now()}
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

// crashed passes the fingerprints that ran on an endpoint to post when an attempt shows a new crash. An attempt that
// started before the last crash was broken by that one; so was, within crashWindow, one that the endpoint had not
// begun to answer. When it returns, the crash has been posted.
func (r *running) crashed(endpoint, attempt string, answering bool, post func(fingerprints []uint64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.runs(endpoint)
	later := runs.attempts[attempt].started.After(runs.crashedAt)
	if !later || (!answering && r.now().Sub(runs.crashedAt) < crashWindow) {
		return
	}
	runs.crashedAt = r.now()
	fingerprints := make([]uint64, 0, len(runs.attempts))
	for _, a := range runs.attempts {
		fingerprints = append(fingerprints, a.fingerprint)
	}
	post(fingerprints)
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

func (e *endpointRuns) idle(now time.Time) bool {
	return len(e.attempts) == 0 && e.reserved == "" && now.Sub(e.crashedAt) > crashMemory
}
