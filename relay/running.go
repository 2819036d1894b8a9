package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/table"
)

// crashRetention is how long the crash of an endpoint that has not answered since is kept.
const crashRetention = time.Minute

// attemptTracker tracks the attempts of this instance at each endpoint, and the crashes of endpoints.
type attemptTracker struct {
	now       func() time.Time
	mu        sync.Mutex
	endpoints map[string]*endpointAttempts
}

// endpointAttempts holds the attempts at one endpoint, its reservation and its last crash.
type endpointAttempts struct {
	attempts           map[string]core.RunningRequest // by attempt ID
	reservedFor        string                         // reservation or attempt that excludes all others
	crashedAt          time.Time
	answeredSinceCrash bool
}

func newAttemptTracker(now func() time.Time) *attemptTracker {
	return &attemptTracker{now: now, endpoints: map[string]*endpointAttempts{}}
}

func (t *attemptTracker) forEndpoint(endpoint string) *endpointAttempts {
	e, ok := t.endpoints[endpoint]
	if !ok {
		e = &endpointAttempts{attempts: map[string]core.RunningRequest{}}
		t.endpoints[endpoint] = e
	}
	return e
}

// add registers an attempt. It reports false while the endpoint is reserved for another one.
func (t *attemptTracker) add(e *table.Endpoint, attempt string, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := t.forEndpoint(e.ID)
	if runs.reservedFor != "" && runs.reservedFor != attempt {
		return false
	}
	runs.attempts[attempt] = core.RunningRequest{Fingerprint: fingerprint, Started: t.now()}
	e.Live.InFlight.Add(1)
	return true
}

func (t *attemptTracker) remove(e *table.Endpoint, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Live.InFlight.Add(-1)
	runs := t.forEndpoint(e.ID)
	delete(runs.attempts, attempt)
	if runs.reservedFor == attempt {
		runs.reservedFor = ""
	}
}

// reserve excludes other new attempts from an endpoint. ok is false if it is reserved for another one already; idle
// reports whether no attempt is in progress there.
func (t *attemptTracker) reserve(endpoint, reservation string) (idle, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := t.forEndpoint(endpoint)
	if runs.reservedFor != "" && runs.reservedFor != reservation {
		return false, false
	}
	runs.reservedFor = reservation
	return len(runs.attempts) == 0, true
}

// startReserved passes a reservation to an attempt and registers the attempt. It returns false if the endpoint is not
// reserved under that name.
func (t *attemptTracker) startReserved(e *table.Endpoint, reservation, attempt string, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := t.forEndpoint(e.ID)
	if runs.reservedFor != reservation {
		return false
	}
	runs.reservedFor = attempt
	runs.attempts[attempt] = core.RunningRequest{Fingerprint: fingerprint, Started: t.now()}
	e.Live.InFlight.Add(1)
	return true
}

func (t *attemptTracker) unreserve(endpoint, reservation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if runs := t.forEndpoint(endpoint); runs.reservedFor == reservation {
		runs.reservedFor = ""
	}
}

func (t *attemptTracker) isReserved(endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs, ok := t.endpoints[endpoint]
	return ok && runs.reservedFor != ""
}

// reportCrash passes the requests that were running on an endpoint to post if a lost attempt reveals a new crash. An
// attempt that started before the last crash was lost in that crash. An endpoint that has answered nothing since its
// last crash is still down, and attempts lost there did not crash it. answering means that the endpoint had begun to
// answer the lost attempt, so it was up. When reportCrash returns, post has returned.
func (t *attemptTracker) reportCrash(endpoint, attempt string, answering bool, post func([]core.RunningRequest)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := t.forEndpoint(endpoint)
	afterCrash := runs.attempts[attempt].Started.After(runs.crashedAt)
	up := answering || runs.answeredSinceCrash || runs.crashedAt.IsZero()
	if !afterCrash || !up {
		return
	}
	runs.crashedAt, runs.answeredSinceCrash = t.now(), false
	post(slices.Collect(maps.Values(runs.attempts)))
}

// recordRemoteCrash records a crash that another instance reported.
func (t *attemptTracker) recordRemoteCrash(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := t.forEndpoint(endpoint)
	runs.crashedAt, runs.answeredSinceCrash = t.now(), false
}

// recordAnswer records that an endpoint answered an attempt. If the attempt started after the last crash, the endpoint
// is up again.
func (t *attemptTracker) recordAnswer(endpoint string, started time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if runs := t.forEndpoint(endpoint); started.After(runs.crashedAt) {
		runs.answeredSinceCrash = true
	}
}

// removeIdle removes the endpoints without attempts, reservations and recent crashes.
func (t *attemptTracker) removeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, runs := range t.endpoints {
		if runs.isIdle(t.now()) {
			delete(t.endpoints, id)
		}
	}
}

// isIdle reports whether the endpoint has no attempts, no reservation and no crash that must be kept.
func (e *endpointAttempts) isIdle(now time.Time) bool {
	crashExpired := e.crashedAt.IsZero() || e.answeredSinceCrash || now.Sub(e.crashedAt) > crashRetention
	return len(e.attempts) == 0 && e.reservedFor == "" && crashExpired
}
