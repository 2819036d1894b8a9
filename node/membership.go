package node

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/peer"
)

// membership records which instances should exist and what they have reported.
type membership struct {
	mu            sync.Mutex
	self          string
	since         time.Time
	lastSeen      map[string]time.Time            // by instance: when it was last known to run
	stopped       map[string]bool                 // instances that stopped as planned and have not come back
	registered    int                             // entries in the register
	unreachable   int                             // at the last check
	reports       int                             // published by this instance since its latest usage report
	usageWindow   uint64                          // current at the latest usage report
	usageWindows  map[string]uint64               // by peer: current at its latest usage report
	lastReport    time.Time                       // of this instance
	newestChanges map[string]newestChange         // by kind of object
	shortWaitAt   map[string]map[string]time.Time // by kind and peer: last report that it watches with short waits
	notifyingAt   map[string]time.Time            // by peer: last report that it notifies others of leaving endpoints
	neededSince   map[string]time.Time            // by kind: since when this instance is needed to watch it with short waits
	proxying      map[string]bool                 // peers whose newest report says that they can send requests on to endpoints
}

// newestChange is the newest change of a kind and the peers that reported it.
type newestChange struct {
	origins  []string
	revision eraRevision
}

// eraRevision is a revision of the store in an era, by its number.
type eraRevision struct{ era, revision uint64 }

// compare returns the order of two revisions: an era's revisions are after all those of earlier eras.
func (r eraRevision) compare(other eraRevision) int {
	return cmp.Or(cmp.Compare(r.era, other.era), cmp.Compare(r.revision, other.revision))
}

// maxOrigins bounds the peers among which calls for a copy are spread.
const maxOrigins = 16

const (
	// memberRetention keeps an unreachable instance among the expected ones, since it may serve behind a partition
	// with its even share of all limits. Partitions between regions last for minutes.
	memberRetention = 10 * time.Minute
	// joinPeriod is the time after the start in which the number of entries in the register counts too, since the peers
	// may not have found each other yet.
	joinPeriod = 5 * time.Second
)

func newMembership(self string, now time.Time) membership {
	return membership{
		self: self, since: now, lastSeen: map[string]time.Time{}, stopped: map[string]bool{}, newestChanges: map[string]newestChange{},
		shortWaitAt: map[string]map[string]time.Time{}, notifyingAt: map[string]time.Time{}, neededSince: map[string]time.Time{},
		usageWindows: map[string]uint64{}, proxying: map[string]bool{},
	}
}

func (m *membership) update(live []peer.Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range live {
		if member.Leaving {
			delete(m.lastSeen, member.ID)
			m.stopped[member.ID] = true
			continue
		}
		m.lastSeen[member.ID] = now
		delete(m.stopped, member.ID)
	}
	for id, at := range m.lastSeen {
		if now.Sub(at) > memberRetention {
			delete(m.lastSeen, id)
			m.dropWatcher(id)
		}
	}
}

// dropWatcher drops what a peer has reported about its watches. Callers must hold m.mu.
func (m *membership) dropWatcher(id string) {
	delete(m.notifyingAt, id)
	delete(m.usageWindows, id)
	delete(m.proxying, id)
	for _, peers := range m.shortWaitAt {
		delete(peers, id)
	}
}

// expected returns the number of instances that should exist, including this one.
func (m *membership) expected(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.since) < joinPeriod {
		return max(len(m.lastSeen), m.registered, defaultInstances)
	}
	return max(1, len(m.lastSeen))
}

// sending returns the instances that may be sending to endpoints, this one included, in order: also those that are
// unreachable for at most senderRetention. An instance that starts counts those in the register too, since the peers may not
// have found each other yet.
func (m *membership) sending(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	retention := senderRetention
	if now.Sub(m.since) < joinPeriod {
		retention = memberRetention
	}
	ids := []string{m.self}
	for id, at := range m.lastSeen {
		if id != m.self && now.Sub(at) <= retention {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// setRegistered sets the instances in the register and when each was last known to run.
func (m *membership) setRegistered(renewed map[string]time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registered = len(renewed)
	maps.DeleteFunc(m.stopped, func(id string, _ bool) bool { return renewed[id].IsZero() })
	for id, at := range renewed {
		if !m.stopped[id] && at.After(m.lastSeen[id]) {
			m.lastSeen[id] = at
		}
	}
}

// registeredCount returns the number of instances in the register at its last read.
func (m *membership) registeredCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registered
}

// reportDue reports whether the interval since the last report has passed, and if so records a new report.
func (m *membership) reportDue(interval time.Duration, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastReport) < interval-reportTick/2 {
		return false
	}
	m.lastReport = now
	return true
}

// recordWatching records the watch duties that a peer has reported.
func (m *membership) recordWatching(origin string, w watching, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, kind := range w.Short {
		if m.shortWaitAt[kind] == nil {
			m.shortWaitAt[kind] = map[string]time.Time{}
		}
		m.shortWaitAt[kind][origin] = now
	}
	if w.Notifies {
		m.notifyingAt[origin] = now
	}
}

// neededFor records whether this instance is needed as a watcher of a kind, and returns for how long it has been.
func (m *membership) neededFor(kind string, needed bool, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !needed {
		delete(m.neededSince, kind)
		return 0
	}
	since, ok := m.neededSince[kind]
	if !ok {
		since = now
		m.neededSince[kind] = now
	}
	return now.Sub(since)
}

// hasShortWait reports whether a peer has reported after the given time that it watches a kind with short waits.
func (m *membership) hasShortWait(kind, id string, since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shortWaitAt[kind][id].After(since)
}

// notifies reports whether a peer has reported after the given time that it notifies others of leaving endpoints.
func (m *membership) notifies(id string, since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.notifyingAt[id].After(since)
}

// recordProxying records whether a peer can send requests of others on to endpoints, as it reports.
func (m *membership) recordProxying(origin string, proxying bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if proxying {
		m.proxying[origin] = true
	} else {
		delete(m.proxying, origin)
	}
}

// reachable returns those of the live members, without this one, that are not leaving and can send requests on to endpoints.
func (m *membership) reachable(live []peer.Member) []peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var reachable []peer.Member
	for _, member := range live {
		if member.ID != m.self && !member.Leaving && m.proxying[member.ID] {
			reachable = append(reachable, member)
		}
	}
	return reachable
}

func (m *membership) recordChange(kind, origin string, revision eraRevision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := m.newestChanges[kind]
	switch {
	case revision.compare(newest.revision) > 0:
		m.newestChanges[kind] = newestChange{[]string{origin}, revision}
	case revision == newest.revision && len(newest.origins) < maxOrigins && !slices.Contains(newest.origins, origin):
		newest.origins = append(newest.origins, origin)
		m.newestChanges[kind] = newest
	}
}

// newestPeer returns one of the peers that reported the newest change of a kind, or "" if no change after the given
// revision was reported.
func (m *membership) newestPeer(kind string, after eraRevision) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := m.newestChanges[kind]
	if newest.revision.compare(after) <= 0 || len(newest.origins) == 0 {
		return ""
	}
	return newest.origins[rand.IntN(len(newest.origins))]
}

// setUnreachable sets the number of unreachable instances and reports whether it has changed.
func (m *membership) setUnreachable(count int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.unreachable != count
	m.unreachable = count
	return changed
}

func (m *membership) recordUsage(origin string, current uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageWindows[origin] = max(m.usageWindows[origin], current)
}

// withoutUsage returns those of the peers whose final counts of a window have not arrived.
func (m *membership) withoutUsage(ids []string, window uint64) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var missing []string
	for _, id := range ids {
		if id != m.self && m.usageWindows[id] <= window {
			missing = append(missing, id)
		}
	}
	return missing
}

// isUsageDue counts a report of this instance and reports whether one of its usage goes with it: with the first report
// after the end of a window, whose counts are final then, and after each perUsage reports without.
func (m *membership) isUsageDue(window uint64, perUsage int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports++
	if window == m.usageWindow && m.reports < perUsage {
		return false
	}
	m.usageWindow, m.reports = window, 0
	return true
}
