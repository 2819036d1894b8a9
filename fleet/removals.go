package fleet

import "time"

// removalMemory is how long the removal of an entry is kept: longer than a restored copy of the store may be old.
const removalMemory = time.Minute

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
