package fleet

import "time"

// removalMemory is how long the removal of an entry is kept: longer than a restored copy of the store may be old.
const removalMemory = time.Minute

// relistedTime is how long a restored store must have listed an entry that was removed before, and have been healthy, for the
// endpoint to be used again: longer than its writer takes to remove it again, and than the store keeps the entry of an
// endpoint that is silent.
const relistedTime = 10 * time.Second

// removal is the removal of an endpoint's entry, with the entry as it was last read. A store that is restored from a copy
// lists the entry again until its writer removes it again, and the endpoint may be gone.
type removal struct {
	startedMs int64
	era       uint64
	revision  uint64
	at        time.Time
}

// includes reports whether an entry is one that the store had already removed: it is of a later era, but was written no
// later than the removed one. An endpoint that goes on writes a new entry.
func (r removal) includes(e *Entry) bool {
	return r.revision > 0 && e.StartedMs == r.startedMs && e.Era > r.era && e.Revision <= r.revision && !e.IsWritten
}

// recordRemoval records that the entry of an endpoint was removed. t.mu must be held.
func (t *Table) recordRemoval(e *Endpoint, now time.Time) {
	if t.removed == nil {
		t.removed = map[string]removal{}
	}
	for id, r := range t.removed {
		if now.Sub(r.at) > removalMemory {
			delete(t.removed, id)
		}
	}
	era, revision := e.newestEntry()
	t.removed[e.ID] = removal{e.StartedMs, era, revision, now}
}

// UseRelisted uses the endpoints again that a restored store goes on to list although their entries were removed before: an
// entry may have expired while its endpoint could not reach the store, and it does not change while its endpoint stays as it
// is. healthySince is when calls to the store started to succeed; zero: they fail.
func (t *Table) UseRelisted(healthySince, now time.Time) {
	if healthySince.IsZero() || now.Sub(healthySince) < relistedTime {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for id, r := range t.byID {
		if r.relistedAt.IsZero() || !r.removeAt.IsZero() || now.Sub(r.relistedAt) < relistedTime {
			continue
		}
		e := r.endpoint.Entry
		t.deleteRow(id)
		e.IsWritten = true // no longer the entry that was removed
		t.put(e)
		changed = true
	}
	if changed {
		t.publish(now)
	}
}
