package node

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/peer"
)

// membership remembers which instances were live lately.
type membership struct {
	mu         sync.Mutex
	self       string
	since      time.Time
	seen       map[string]time.Time // by instance, when it was last known to run
	left       map[string]bool      // stopped as planned and not back
	listed     int                  // instances in the register at the start
	silent     int                  // out of touch at the last look
	reported   int
	lastOwn    time.Time                       // report of this instance
	newest     map[string]newest               // by kind of object
	shortAt    map[string]map[string]time.Time // by kind and peer that watches it with short waits
	notifiedAt map[string]time.Time            // by peer that tells of leaving endpoints
}

// newest names the peers that reported the newest change.
type newest struct {
	origins []string
	changed uint64
}

// maxOrigins bounds the peers among which a question is spread.
const maxOrigins = 16

const (
	// memberMemory keeps an instance that fell silent among the expected ones, since it may serve behind a partition with
	// its even part of all limits. Partitions between regions last for minutes.
	memberMemory = 10 * time.Minute
	// joinTime is how long after the start the register counts, until the peers have found each other.
	joinTime = 5 * time.Second
)

func newMembership(self string, now time.Time) membership {
	return membership{self: self, since: now, seen: map[string]time.Time{}, left: map[string]bool{}, newest: map[string]newest{}, shortAt: map[string]map[string]time.Time{}, notifiedAt: map[string]time.Time{}}
}

func (m *membership) update(live []peer.Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range live {
		if member.Leaving {
			delete(m.seen, member.ID)
			m.left[member.ID] = true
			continue
		}
		m.seen[member.ID] = now
		delete(m.left, member.ID)
	}
	for id, at := range m.seen {
		if now.Sub(at) > memberMemory {
			delete(m.seen, id)
			m.forget(id)
		}
	}
}

// forget needs m.mu.
func (m *membership) forget(id string) {
	delete(m.notifiedAt, id)
	for _, peers := range m.shortAt {
		delete(peers, id)
	}
}

// expected is the number of instances that should exist, this one included.
func (m *membership) expected(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.since) < joinTime {
		return max(len(m.seen), m.listed, defaultInstances)
	}
	return max(1, len(m.seen))
}

// setListed takes over the instances of the register and when they were last known to run.
func (m *membership) setListed(renewed map[string]time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = len(renewed)
	maps.DeleteFunc(m.left, func(id string, _ bool) bool { return renewed[id].IsZero() })
	for id, at := range renewed {
		if !m.left[id] && at.After(m.seen[id]) {
			m.seen[id] = at
		}
	}
}

// reportDue reports whether the interval since the last report has passed, and notes the new one.
func (m *membership) reportDue(interval time.Duration, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastOwn) < interval-reportTick/2 {
		return false
	}
	m.lastOwn = now
	return true
}

// noteWatching takes over what a peer does for the others.
func (m *membership) noteWatching(origin string, w watching, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, kind := range w.Short {
		if m.shortAt[kind] == nil {
			m.shortAt[kind] = map[string]time.Time{}
		}
		m.shortAt[kind][origin] = now
	}
	if w.Notifies {
		m.notifiedAt[origin] = now
	}
}

// waitsShort reports whether a peer has watched a kind with short waits since a time.
func (m *membership) waitsShort(kind, id string, since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shortAt[kind][id].After(since)
}

// notifies reports whether a peer has watched since a time for endpoints that leave.
func (m *membership) notifies(id string, since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.notifiedAt[id].After(since)
}

func (m *membership) noteNewest(kind, origin string, changed uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.newest[kind]
	switch {
	case changed > known.changed:
		m.newest[kind] = newest{[]string{origin}, changed}
	case changed == known.changed && len(known.origins) < maxOrigins && !slices.Contains(known.origins, origin):
		known.origins = append(known.origins, origin)
		m.newest[kind] = known
	}
}

// newestAt returns one of the peers that reported the newest change after a revision, and "" without one.
func (m *membership) newestAt(kind string, after uint64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.newest[kind]
	if known.changed <= after || len(known.origins) == 0 {
		return ""
	}
	return known.origins[rand.IntN(len(known.origins))]
}

// setSilent takes over the number of instances out of touch and reports whether it has changed.
func (m *membership) setSilent(count int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.silent != count
	m.silent = count
	return changed
}

func (m *membership) tick() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reported++
	return m.reported
}
