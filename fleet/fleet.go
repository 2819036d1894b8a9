// Package fleet holds the table of endpoints: which are listed, which are leaving, and what the answers of each have
// shown of its health and load.
package fleet

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/upstream"
)

// UnlistedGrace is how long an endpoint stays in use when the list lost it around an outage of the store. Listed
// again, it goes on; the rules bind an instance 2 s after it has read that an endpoint is gone.
const UnlistedGrace = 1700 * time.Millisecond

// Entry is what the list says of an endpoint.
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
	Born        int64 // Unix milliseconds of its start
}

// Endpoint is one lifetime of an endpoint. Its methods are safe for concurrent use.
type Endpoint struct {
	Entry // constant; Draining and LeavesAt are read through the methods
	Pool  *upstream.Pool
	Live  Live

	leaving  chan struct{} // closed when it takes no new work any more
	once     sync.Once
	leavesAt atomic.Int64 // Unix nanoseconds, 0: unknown
}

// Leaving is closed once the endpoint must get no new work.
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

// LeavesAt returns when a leaving endpoint ends, and the zero time when that is unknown.
func (e *Endpoint) LeavesAt() time.Time {
	if ns := e.leavesAt.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

func (e *Endpoint) leave(at time.Time) {
	if !at.IsZero() {
		e.leavesAt.Store(at.UnixNano())
	}
	e.once.Do(func() { close(e.leaving) })
}

// Table is the table of endpoints. It is safe for concurrent use.
type Table struct {
	newPool func(address string) *upstream.Pool

	mu       sync.Mutex
	byID     map[string]*row
	byAddr   map[string]string // address -> ID of its newest holder
	services atomic.Pointer[map[string][]*Endpoint]
	changed  chan struct{} // closed and replaced with each change
}

type row struct {
	endpoint *Endpoint
	goneAt   time.Time // not listed any more; zero: listed
}

// NewTable returns an empty table.
func NewTable(newPool func(address string) *upstream.Pool) *Table {
	t := &Table{newPool: newPool, byID: map[string]*row{}, byAddr: map[string]string{}, changed: make(chan struct{})}
	t.services.Store(&map[string][]*Endpoint{})
	return t
}

// Service returns the endpoints of a service that may get new work, sorted by ID. It must not be changed.
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
		if r.goneAt.IsZero() {
			all = append(all, r.endpoint)
		}
	}
	return all
}

// Born returns when the present lifetime of an endpoint began, as its entry says.
func (t *Table) Born(id string) (born int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[id]
	if r == nil {
		return 0, false
	}
	return r.endpoint.Born, true
}

// ReplaceAll takes over a whole list. With settled, what is missing is gone; otherwise it gets UnlistedGrace.
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
			t.drop(id, settled, now)
		}
	}
	t.publish()
}

// Put takes over a new or changed entry.
func (t *Table) Put(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(e)
	t.publish()
}

// Remove takes note that an endpoint is not listed any more.
func (t *Table) Remove(id string, settled bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(id, settled, now)
	t.publish()
}

// MarkLeaving stops new work for a lifetime of an endpoint of which a peer said that it leaves. The zero time means that
// its end is unknown.
func (t *Table) MarkLeaving(id string, born int64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.byID[id]; r != nil && r.endpoint.Born == born && !r.endpoint.IsLeaving() {
		r.endpoint.leave(at)
		t.publish()
	}
}

// Expire ends the grace of endpoints that did not come back.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for id, r := range t.byID {
		if !r.goneAt.IsZero() && !now.Before(r.goneAt) {
			t.forget(id)
			changed = true
		}
	}
	if changed {
		t.publish()
	}
}

// put needs t.mu.
func (t *Table) put(e Entry) {
	old := t.byID[e.ID]
	if old != nil && e.Born < old.endpoint.Born {
		return // of an earlier lifetime
	}
	if old != nil && !sameLifetime(&old.endpoint.Entry, &e) {
		t.forget(e.ID)
		old = nil
	}
	if holder := t.byAddr[e.Address]; holder != "" && holder != e.ID {
		if r := t.byID[holder]; r != nil && r.endpoint.Born < e.Born {
			t.forget(holder) // the address belongs to another endpoint now
		}
	}
	if old == nil {
		old = &row{endpoint: &Endpoint{Entry: e, Pool: t.newPool(e.Address), leaving: make(chan struct{})}}
		t.byID[e.ID] = old
		t.byAddr[e.Address] = e.ID
	}
	old.goneAt = time.Time{}
	if e.Draining {
		old.endpoint.leave(e.LeavesAt)
	}
}

func sameLifetime(a, b *Entry) bool {
	return a.Born == b.Born && a.Address == b.Address && a.Service == b.Service && a.Version == b.Version
}

// drop needs t.mu. A leaving endpoint is bound to be gone, so it gets no grace.
func (t *Table) drop(id string, settled bool, now time.Time) {
	r := t.byID[id]
	switch {
	case r == nil:
	case settled || r.endpoint.IsLeaving():
		t.forget(id)
	case r.goneAt.IsZero():
		r.goneAt = now.Add(UnlistedGrace)
	}
}

// forget needs t.mu.
func (t *Table) forget(id string) {
	r := t.byID[id]
	delete(t.byID, id)
	if t.byAddr[r.endpoint.Address] == id {
		delete(t.byAddr, r.endpoint.Address)
	}
	r.endpoint.leave(time.Time{})
	r.endpoint.Pool.Close()
}

// publish needs t.mu.
func (t *Table) publish() {
	services := map[string][]*Endpoint{}
	for _, r := range t.byID {
		if !r.endpoint.IsLeaving() {
			services[r.endpoint.Service] = append(services[r.endpoint.Service], r.endpoint)
		}
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	t.services.Store(&services)
	close(t.changed)
	t.changed = make(chan struct{})
}
