package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/cold"
)

// coldState is what is known of a cold endpoint, and the permits that this instance has given for it.
type coldState struct {
	until atomic.Int64 // Unix nanoseconds of the end; 0: was never cold

	mu       sync.Mutex
	era      uint64 // of the newest entry, as in Entry
	revision uint64 // of the newest entry
	window   cold.Window
}

// readEntry applies an entry. An entry states the time that was left when it was written, so only the first reading of
// each one counts. A newer one that states no time does not end a cold time: it may have been written for another reason.
func (c *coldState) readEntry(e *Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision != 0 && (e.Revision == c.revision || e.Era == c.era && e.Revision < c.revision) {
		return
	}
	c.era, c.revision = e.Era, e.Revision
	if !e.ColdUntil.IsZero() {
		c.until.Store(e.ColdUntil.UnixNano())
	}
}

// ColdUntil returns the end of the cold time, and the zero time for an endpoint that is not cold at now.
func (e *Endpoint) ColdUntil(now time.Time) time.Time {
	if until := e.cold.until.Load(); until > now.UnixNano() {
		return time.Unix(0, until)
	}
	return time.Time{}
}

// IsCold reports whether the endpoint tolerates few requests at now.
func (e *Endpoint) IsCold(now time.Time) bool { return e.cold.until.Load() > now.UnixNano() }

// recordCold records that the endpoint answers that it is cold for some time.
func (e *Endpoint) recordCold(left time.Duration, now time.Time) {
	e.cold.mu.Lock()
	defer e.cold.mu.Unlock()
	if until := now.Add(left).UnixNano(); until > e.cold.until.Load() {
		e.cold.until.Store(until)
	}
}

// MarkCold records that a peer has read that the lifetime of an endpoint that began at startedMs is cold for some time.
func (t *Table) MarkCold(id string, startedMs int64, left time.Duration, now time.Time) {
	t.mu.Lock()
	r := t.byID[id]
	t.mu.Unlock()
	if r != nil && r.endpoint.StartedMs == startedMs {
		r.endpoint.recordCold(left, now)
	}
}

// Revision returns the revision of the newest entry.
func (e *Endpoint) Revision() uint64 {
	_, revision := e.newestEntry()
	return revision
}

// newestEntry returns the era and the revision of the newest entry.
func (e *Endpoint) newestEntry() (era, revision uint64) {
	e.cold.mu.Lock()
	defer e.cold.mu.Unlock()
	return e.cold.era, e.cold.revision
}

// LimitCold shortens the cold time of the endpoint to an end that a peer knows, which may have read the same entry earlier.
// It has no effect if the peer knows another entry.
func (e *Endpoint) LimitCold(revision uint64, until time.Time) {
	e.cold.mu.Lock()
	defer e.cold.mu.Unlock()
	if revision == e.cold.revision && until.UnixNano() < e.cold.until.Load() {
		e.cold.until.Store(until.UnixNano())
	}
}

// NextColdPermit returns when this instance can give the next permit for a request to the cold endpoint; zero: never.
func (e *Endpoint) NextColdPermit(share int, now time.Time) time.Time {
	e.cold.mu.Lock()
	defer e.cold.mu.Unlock()
	return e.cold.window.Next(share, now)
}

// TakeColdPermit gives a permit for one request to the cold endpoint, and reports whether the share allowed it.
func (e *Endpoint) TakeColdPermit(share int, now time.Time) bool {
	e.cold.mu.Lock()
	defer e.cold.mu.Unlock()
	return e.cold.window.Take(share, now)
}
