package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/table"
)

// crashWindow joins the broken attempts of one crash: they all end within it.
const crashWindow = time.Second

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
	if len(runs.attempts) == 0 && runs.reserved == "" && runs.forgettable(r.now()) {
		delete(r.endpoints, e.ID)
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

// forgettable reports whether nothing about a crash need be remembered.
func (e *endpointRuns) forgettable(now time.Time) bool {
	return e.crashedAt.IsZero() || (e.answered && now.Sub(e.crashedAt) > crashWindow)
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

// crashed returns the requests that ran on an endpoint, and false when its crash is already known or when it has not
// answered anything since: attempts that a dead endpoint breaks off did not crash it.
func (r *running) crashed(endpoint string) ([]core.RunningRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.runs(endpoint)
	now := r.now()
	if !runs.crashedAt.IsZero() && (!runs.answered || now.Sub(runs.crashedAt) < crashWindow) {
		return nil, false
	}
	runs.crashedAt, runs.answered = now, false
	return slices.Collect(maps.Values(runs.attempts)), true
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
