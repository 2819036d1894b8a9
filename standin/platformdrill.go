package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Drill describes how a store is away for a moment and comes back from an older copy of itself.
type Drill struct {
	// Age is how much older than the beginning of the drill the copy is.
	Age time.Duration
	// Away is how long the store answers no call. All connections end, as those of a process that is restarted.
	Away time.Duration
	// RewriteAfter is the time from the return until what others than the system wrote since the copy is written again.
	RewriteAfter time.Duration
}

// drillHistory is how long changes are kept so that a drill can undo them.
const drillHistory = time.Minute

// pastChange is a change that a drill can undo.
type pastChange struct {
	at         time.Time
	revision   uint64 // of the store before the change
	kind, name string
	before     *platformObject // nil: it did not exist
	byCall     bool            // by a call, as the system's changes are
}

// rewrite is an object that its owner has to write again, as it was before the drill.
type rewrite struct {
	kind, name string
	object     *platformObject // nil: it was removed
	changedAt  time.Time
}

// AnnounceEra makes all answers state the era of the store, which rises by one with each drill, in a header.
func (s *PlatformStore) AnnounceEra(first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.announcesEra = first, true
}

// Run carries the drill out: the store is away, comes back from a copy, and the operator and the endpoints write again
// what they had written since. Changes that are made meanwhile by Put, PutRaw and Remove wait for the store's return.
func (s *PlatformStore) Run(d Drill) {
	s.mu.Lock()
	s.isAway = true
	s.notifyWatches()
	s.mu.Unlock()
	time.Sleep(d.Away)
	s.mu.Lock()
	rewrites := s.restore(time.Now().Add(-d.Away - d.Age))
	s.isAway = false
	s.era++
	s.returned.Broadcast()
	s.notifyWatches()
	s.mu.Unlock()
	time.Sleep(d.RewriteAfter)
	for _, r := range rewrites {
		s.mu.Lock()
		s.writeAgain(r)
		s.mu.Unlock()
	}
}

// restore undoes the changes since a time, and returns the objects that others than the system changed, oldest change
// first. The caller holds s.mu.
func (s *PlatformStore) restore(to time.Time) []rewrite {
	first := len(s.past)
	for first > 0 && s.past[first-1].at.After(to) {
		first--
	}
	rewrites := s.rewrites(s.past[first:])
	for i := len(s.past) - 1; i >= first; i-- {
		c := s.past[i]
		s.revision = c.revision
		if c.before == nil {
			delete(s.objects[c.kind], c.name)
			continue
		}
		if s.objects[c.kind] == nil {
			s.objects[c.kind] = map[string]*platformObject{}
		}
		s.objects[c.kind][c.name] = c.before
	}
	s.past = s.past[:first]
	for len(s.events) > 0 && s.events[len(s.events)-1].revision > s.revision {
		s.events = s.events[:len(s.events)-1]
	}
	s.compacted = min(s.compacted, s.revision)
	return rewrites
}

// rewrites returns the objects, as they are now, that others than the system changed. The caller holds s.mu.
func (s *PlatformStore) rewrites(changes []pastChange) (rewrites []rewrite) {
	last := map[string]int{} // index in rewrites
	for _, c := range changes {
		if c.byCall {
			continue
		}
		r := rewrite{c.kind, c.name, s.objects[c.kind][c.name], c.at}
		if i, known := last[c.kind+"/"+c.name]; known {
			rewrites[i] = r
			continue
		}
		last[c.kind+"/"+c.name] = len(rewrites)
		rewrites = append(rewrites, r)
	}
	return rewrites
}

// writeAgain writes the newest state of an object, unless its owner has changed it since the store's return. The caller
// holds s.mu.
func (s *PlatformStore) writeAgain(r rewrite) {
	for _, c := range s.past {
		if c.kind == r.kind && c.name == r.name && !c.byCall && c.at.After(r.changedAt) {
			return
		}
	}
	if r.object == nil {
		s.remove(r.kind, r.name)
		return
	}
	s.putSpec(r.kind, r.name, r.object.Spec)
}

// putSpec creates an object or replaces its spec. The caller holds s.mu.
func (s *PlatformStore) putSpec(kind, name string, spec json.RawMessage) {
	o := s.objects[kind][name]
	if o == nil {
		o = &platformObject{}
		o.Metadata.Name = name
	}
	s.write(kind, o, spec, o.Status)
}

// recordChange keeps what a drill needs to undo a change that is about to be made. The caller holds s.mu.
func (s *PlatformStore) recordChange(kind, name string) {
	now := time.Now()
	for len(s.past) > 0 && now.Sub(s.past[0].at) > drillHistory {
		s.past = s.past[1:]
	}
	s.past = append(s.past, pastChange{
		at: now, revision: s.revision, kind: kind, name: name, before: s.objects[kind][name], byCall: s.inCall,
	})
}

// awaitReturn waits until the store is not away. The caller holds s.mu.
func (s *PlatformStore) awaitReturn() {
	for s.isAway {
		s.returned.Wait()
	}
}

// admit reports whether a call reaches the store: it does not while the store is away, nor on a connection that was
// opened before the latest drill. It states the era in the answer.
func (s *PlatformStore) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	era, known := s.connEras[r.RemoteAddr]
	if s.isAway || known && era != s.era {
		delete(s.connEras, r.RemoteAddr) // another connection may use the address later
		return false
	}
	s.connEras[r.RemoteAddr] = s.era
	if s.announcesEra {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
	return true
}

// beginCall notes that the changes until endCall are made by a call. It returns false, after answering that nothing was
// done, if the store has gone away since the call arrived. The caller holds s.mu.
func (s *PlatformStore) beginCall(w http.ResponseWriter) bool {
	if s.isAway {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	s.inCall = true
	return true
}

// endCall ends what beginCall has begun. The caller holds s.mu.
func (s *PlatformStore) endCall() { s.inCall = false }

// Era returns the number of the store's era.
func (s *PlatformStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
