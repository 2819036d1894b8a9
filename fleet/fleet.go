// Package fleet holds the table of endpoints: which are listed, which are leaving, and the health and load of each as
// recorded from its answers.
package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/upstream"
)

// UnlistedGrace is how long an endpoint stays in use after it has disappeared from the list around an outage of the
// store, unless it is listed again. By the platform's rules an instance must stop using an endpoint 2 s after it has
// read that the endpoint was removed.
const UnlistedGrace = 1700 * time.Millisecond

// Entry is the list's entry for an endpoint.
type Entry struct {
	ID          string
	Service     string
	Address     string
	Zone        string
	Version     string
	Slots       int
	Draining    bool
	LeavesAt    time.Time // zero: unknown
	Reclaimable bool
	StartedMs   int64 // start of this lifetime, in Unix milliseconds
	Revision    uint64
	Era         uint64    // number of the store's era in which the entry was read
	IsWritten   bool      // the entry was read as a change, and not in a list
	ColdUntil   time.Time // see Endpoint.ColdUntil; zero: not cold
}

// Endpoint is one lifetime of an endpoint, from one start to its end. Its methods are safe for concurrent use.
type Endpoint struct {
	Entry // constant; Draining, LeavesAt, Revision and ColdUntil are read through the methods
	Pool  *upstream.Pool
	Stats Stats

	leaving  chan struct{} // closed when the endpoint must get no new work
	once     sync.Once
	leavesAt atomic.Int64 // Unix nanoseconds, 0: unknown

	table        *Table // nil for an instance
	isInstance   bool   // constant
	gate         gate
	brittle      *brittleService
	places       places
	turnPhase    float64 // part of the time between two turns by which this instance's are delayed
	cold         coldState
	answeredAt   atomic.Int64 // latest answer that did not say that the endpoint is leaving, in Unix nanoseconds; 0: none
	saidInvalid  atomic.Bool  // see FirstInvalid
	leavingSince atomic.Int64 // see LeavingSince; Unix nanoseconds, 0: it has not said so
}

// Leaving returns a channel that is closed once the endpoint must get no new work.
func (e *Endpoint) Leaving() <-chan struct{} { return e.leaving }

// IsLeaving reports whether the endpoint must get no new work.
func (e *Endpoint) IsLeaving() bool {
	select {
	case <-e.leaving:
		return true
	default:
		return false
	}
}

// LeavesAt returns when a leaving endpoint ends, and the zero time if that is unknown.
func (e *Endpoint) LeavesAt() time.Time {
	if ns := e.leavesAt.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// leave marks the endpoint as leaving at a time, zero if that is unknown. Entries state the time that was left when they
// were written, so that one that is read again later seems to allow more; the earliest end counts.
func (e *Endpoint) leave(at time.Time) {
	for known := e.leavesAt.Load(); !at.IsZero() && (known == 0 || at.UnixNano() < known); known = e.leavesAt.Load() {
		if e.leavesAt.CompareAndSwap(known, at.UnixNano()) {
			break
		}
	}
	e.once.Do(func() { close(e.leaving) })
}

// Table is the table of endpoints. It is safe for concurrent use.
type Table struct {
	newPool  func(address string) *upstream.Pool
	onSignal func(e *Endpoint, s Signals, isNew bool) // may be nil

	mu       sync.Mutex
	byID     map[string]*row
	byAddr   map[string]string // address -> ID of the latest endpoint that uses it
	departed departures
	removed  map[string]removal // by ID
	services atomic.Pointer[map[string][]*Endpoint]
	zones    zones
	brittle  map[string]*brittleService // by service
	self     string                     // this instance
	members  []string                   // see SetMembers; sorted
	changed  chan struct{}              // closed and replaced on each change
}

type row struct {
	endpoint *Endpoint
	removeAt time.Time // end of the grace of an endpoint that is no longer listed; zero: listed
	// relistedAt is set if the endpoint is leaving only because a restored store lists the entry as it was before its removal.
	relistedAt time.Time
}

// NewTable returns an empty table.
func NewTable(newPool func(address string) *upstream.Pool) *Table {
	t := &Table{newPool: newPool, byID: map[string]*row{}, byAddr: map[string]string{}, brittle: map[string]*brittleService{}, changed: make(chan struct{})}
	t.services.Store(&map[string][]*Endpoint{})
	return t
}

// Service returns the endpoints of a service that may get new work, sorted by ID, without those in evacuated zones. The slice
// must not be changed.
func (t *Table) Service(name string) []*Endpoint { return (*t.services.Load())[name] }

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// All returns the listed endpoints, leaving ones included.
func (t *Table) All() []*Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Endpoint, 0, len(t.byID))
	for _, r := range t.byID {
		if r.removeAt.IsZero() {
			all = append(all, r.endpoint)
		}
	}
	return all
}

// StartedMs returns the start of the current lifetime of an endpoint in Unix milliseconds. ok is false if the table has
// no such endpoint.
func (t *Table) StartedMs(id string) (startedMs int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[id]
	if r == nil {
		return 0, false
	}
	return r.endpoint.StartedMs, true
}

// ReplaceAll replaces the table with a complete list. settled means that the store has been healthy for a while, so
// that missing endpoints are removed at once; otherwise they get UnlistedGrace, except leaving ones.
func (t *Table) ReplaceAll(entries []Entry, settled bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		t.put(e)
	}
	for id := range t.byID {
		if !listed[id] {
			t.unlist(id, settled, now)
		}
	}
	t.publish(now)
}

// Put adds or updates an entry.
func (t *Table) Put(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(e)
	t.publish(time.Now())
}

// Remove records that an endpoint is no longer listed. If settled (see ReplaceAll), it is removed at once; otherwise it
// gets UnlistedGrace, unless it is leaving.
func (t *Table) Remove(id string, settled bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unlist(id, settled, now)
	t.publish(now)
}

// MarkLeaving stops new work for the lifetime of an endpoint that began at startedMs, after a peer has reported that it
// is leaving. at is when it ends; the zero time means unknown.
func (t *Table) MarkLeaving(id string, startedMs int64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[id]
	if r == nil || r.endpoint.StartedMs != startedMs {
		return
	}
	r.relistedAt = time.Time{}
	if !r.endpoint.IsLeaving() {
		r.endpoint.leave(at)
		t.publish(time.Now())
	}
}

// MarkDeparted is MarkLeaving for an endpoint that has itself said that it is leaving: neither this lifetime nor an
// earlier one gets new work again, even if it is listed anew.
func (t *Table) MarkDeparted(id string, startedMs int64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.departed.add(id, startedMs, "")
	if r := t.byID[id]; r != nil && t.departed.includes(&r.endpoint.Entry) && !r.endpoint.IsLeaving() {
		r.endpoint.leave(at)
		t.publish(time.Now())
	}
}

// Expire removes the endpoints whose grace has ended.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for id, r := range t.byID {
		if !r.removeAt.IsZero() && !now.Before(r.removeAt) {
			t.deleteRow(id)
			changed = true
		}
	}
	if changed {
		t.publish(now)
	}
}

// put adds or updates an entry. t.mu must be held.
func (t *Table) put(e Entry) {
	old := t.byID[e.ID]
	if old != nil && e.StartedMs < old.endpoint.StartedMs {
		return // the entry is of an earlier lifetime
	}
	if old != nil && (!sameLifetime(&old.endpoint.Entry, &e) || !old.relistedAt.IsZero() && e.IsWritten) {
		t.deleteRow(e.ID)
		old = nil
	}
	if holder := t.byAddr[e.Address]; holder != "" && holder != e.ID {
		if r := t.byID[holder]; r != nil && r.endpoint.StartedMs < e.StartedMs && !refutes(r.endpoint, &e, time.Now()) {
			t.deleteRow(holder) // another endpoint uses the address now
		}
	}
	if old == nil {
		old = &row{endpoint: &Endpoint{
			Entry: e, Pool: t.newPool(e.Address), leaving: make(chan struct{}), table: t, brittle: t.brittleOf(e.Service), turnPhase: rand.Float64(),
		}}
		t.byID[e.ID] = old
		t.byAddr[e.Address] = e.ID
	}
	old.removeAt = time.Time{}
	if e.IsWritten {
		delete(t.removed, e.ID) // lists show this entry from now on
	}
	old.endpoint.cold.readEntry(&e)
	if e.Draining {
		t.departed.add(e.ID, e.StartedMs, e.Address)
		old.endpoint.leave(e.LeavesAt)
	}
	if t.departed.includes(&e) {
		old.endpoint.leave(time.Time{})
	}
	if !old.endpoint.IsLeaving() && t.removed[e.ID].includes(&e) {
		old.relistedAt = time.Now()
		old.endpoint.leave(time.Time{})
	}
}

// maxClockSkew bounds the difference between the clocks of an endpoint and of this instance for refutes.
const maxClockSkew = 5 * time.Second

// refutes reports whether an endpoint shows that an entry with its address, and a later start, is odd: it has answered
// since, or that start is in the future. With both in the table, an endpoint rejects what is meant for the other.
func refutes(holder *Endpoint, e *Entry, now time.Time) bool {
	start := time.UnixMilli(e.StartedMs)
	return start.After(now.Add(maxClockSkew)) || holder.Stats.AnsweredAt().After(start)
}

func sameLifetime(a, b *Entry) bool {
	return a.StartedMs == b.StartedMs && a.Address == b.Address && a.Service == b.Service && a.Version == b.Version
}

// unlist removes an endpoint that is no longer listed, or starts its grace. A leaving endpoint is about to end, so it
// gets no grace. t.mu must be held.
func (t *Table) unlist(id string, settled bool, now time.Time) {
	r := t.byID[id]
	switch {
	case r == nil:
	case settled || r.endpoint.IsLeaving():
		t.recordRemoval(r.endpoint, now)
		t.deleteRow(id)
	case r.removeAt.IsZero():
		r.removeAt = now.Add(UnlistedGrace)
	}
}

// deleteRow removes an endpoint and closes its connections. t.mu must be held.
func (t *Table) deleteRow(id string) {
	r := t.byID[id]
	delete(t.byID, id)
	if t.byAddr[r.endpoint.Address] == id {
		delete(t.byAddr, r.endpoint.Address)
	}
	r.endpoint.leave(time.Time{})
	r.endpoint.Pool.Close()
}

// publish rebuilds the endpoints of each service at now and notifies the receivers of Changed. t.mu must be held.
func (t *Table) publish(now time.Time) {
	services, withheld := map[string][]*Endpoint{}, map[string]int{}
	for _, r := range t.byID {
		switch {
		case r.endpoint.IsLeaving():
		case r.endpoint.IsEvacuated():
			withheld[r.endpoint.Service]++
		default:
			services[r.endpoint.Service] = append(services[r.endpoint.Service], r.endpoint)
		}
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	t.services.Store(&services)
	t.zones.withheld.Store(&withheld)
	for service, b := range t.brittle {
		if b.isActive(now) {
			t.assignPlaces(service, handoverTime, now)
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}
