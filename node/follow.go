package node

import (
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	// followTimeout is the age up to which a report of a watcher counts. An instance that hears of too few watchers watches
	// by itself again within 2 s: this time, a tick, and a call of the store.
	followTimeout = 1600 * time.Millisecond
	// followDelay is how long enough watchers must have reported before an instance ends its own watch, so that it does
	// not change between the two at each late report.
	followDelay = 3 * time.Second
	// maxCheckGap is the time between two checks above which the process must have been paused. It has heard nothing
	// meanwhile, whatever it receives first.
	maxCheckGap = time.Second
	// clockDrift bounds the difference of the rates of two clocks.
	clockDrift = 1e-4
	// sourceChoices is the number of watchers among which an instance spreads its fetches. A watcher has a connection to
	// each of its followers, so there are few.
	sourceChoices = 2
	// minDomainWatchers is the number of watchers in each failure domain at least: one may be restarted.
	minDomainWatchers = 2
)

// watcherIDs returns the instances of a large fleet that watch a kind at quickPace: those with the highest weights of each
// failure domain, so that some remain when domains are lost or partitioned.
func watcherIDs(kind string, members []peer.Member) []string {
	type domain struct{ region, name string }
	byDomain := map[domain][]string{}
	for _, m := range members {
		if !m.Leaving {
			d := domain{m.Region, m.FailureDomain}
			byDomain[d] = append(byDomain[d], m.ID)
		}
	}
	if len(byDomain) == 0 {
		return nil
	}
	each := max(minDomainWatchers, (quickWatchers+len(byDomain)-1)/len(byDomain))
	var ids []string
	for _, domainIDs := range byDomain {
		ids = append(ids, rendezvous.Top(kind, domainIDs, each)...)
	}
	return ids
}

// watchers records what the watchers of the endpoint list report, and decides whether this instance takes the changes
// from them instead of its own watch. It is safe for concurrent use.
type watchers struct {
	self string

	mu          sync.Mutex
	byID        map[string]*watcher
	checkedAt   time.Time
	enoughSince time.Time // zero: too few watchers have reported
}

// watcher is a peer that has reported that it watches the endpoint list for the others.
type watcher struct {
	process        string
	start          time.Time // estimate of the start of its process, by this instance's clock
	heardAt        time.Time // when the newest report was received
	sentAt         time.Time // estimate of when its newest report was sent; zero: it has lost the store
	changed        uint64    // newest change that it has
	deletionsAfter uint64    // it knows all deletions after this revision
}

// watcherReport is what a report says about the watch of its sender.
type watcherReport struct {
	process        string
	uptime         time.Duration // of the process when it sent the report
	held           time.Duration // for which peers held the report before they passed it on
	notifies       bool          // it watches the endpoint list for the others, and the store answers
	changed        uint64        // newest change of the list that it has
	deletionsAfter uint64        // it knows all deletions after this revision
}

func newWatchers(self string) watchers { return watchers{self: self, byID: map[string]*watcher{}} }

// receive records a report. Reports may arrive seconds late without a gap between them, so they count from when they
// were sent, which the fastest ones of the same process show.
func (s *watchers) receive(id string, r watcherReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.byID[id]
	if w == nil && !r.notifies {
		return
	}
	start := now.Add(-r.uptime - r.held)
	if w == nil || w.process != r.process {
		w = &watcher{process: r.process, start: start, heardAt: now}
		s.byID[id] = w
	}
	latest := w.start.Add(time.Duration(clockDrift * float64(now.Sub(w.heardAt))))
	if start.After(latest) {
		start = latest
	}
	w.start, w.heardAt, w.sentAt, w.changed, w.deletionsAfter = start, now, time.Time{}, r.changed, r.deletionsAfter
	if r.notifies {
		w.sentAt = start.Add(r.uptime)
	}
}

// areEnough reports whether enough watchers notify this instance of leaving endpoints, so that its own watch may be
// seconds behind.
func (s *watchers) areEnough(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count(now) >= minNotifiers
}

// count returns the number of watchers whose reports are recent. s.mu must be held.
func (s *watchers) count(now time.Time) int {
	n := 0
	for id, w := range s.byID {
		switch {
		case now.Sub(w.sentAt) < followTimeout:
			n++
		case now.Sub(w.heardAt) > memberRetention:
			delete(s.byID, id)
		}
	}
	return n
}

// mayFollow reports whether this instance may take the changes from the watchers. It must be called several times a
// second.
func (s *watchers) mayFollow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasPaused := now.Sub(s.checkedAt) > maxCheckGap
	s.checkedAt = now
	switch {
	case s.count(now) < minNotifiers:
		s.enoughSince = time.Time{}
		return false
	case s.enoughSince.IsZero(), wasPaused:
		s.enoughSince = now
	}
	return now.Sub(s.enoughSince) >= followDelay
}

// sources returns the watchers from which this instance fetches what has changed after a revision: those that need not
// send the whole list, if there are any. There is none if no watcher has reported a later change recently.
func (s *watchers) sources(after uint64, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids, whole []string
	for id, w := range s.byID {
		switch {
		case w.changed <= after || now.Sub(w.sentAt) >= followTimeout:
		case w.deletionsAfter <= after:
			ids = append(ids, id)
		default:
			whole = append(whole, id)
		}
	}
	if len(ids) == 0 {
		ids = whole
	}
	return rendezvous.Top(s.self, ids, sourceChoices)
}

// updateFollowing decides whether this instance takes the changes of the endpoint list from the watchers. It must be called
// at each tick.
func (n *Node) updateFollowing(now time.Time) {
	kind := n.platform.Kinds.Endpoints
	follows := n.watchers.mayFollow(now) && len(n.memberIDs()) > largeFleet && !n.isQuickWatcher(kind) && !n.needsShortWait(kind, now)
	if n.follows.Swap(follows) != follows {
		n.metrics.scope.Gauge("follows_watchers").Update(map[bool]float64{true: 1}[follows])
	}
}

// followsWatchers reports whether this instance takes the changes of a kind from the watchers for now.
func (n *Node) followsWatchers(kind string, now time.Time) bool {
	return kind == n.platform.Kinds.Endpoints && n.follows.Load() && n.watchers.areEnough(now)
}
