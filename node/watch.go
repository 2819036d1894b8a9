package node

import (
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	// shortWatchers is the number of instances whose watches have short waits only, so that a change which a watch does
	// not report while it waits is found soon. Two, since one may be unreachable.
	shortWatchers = 2
	// shortWait leaves time to list again and to notify the others within the 2 s in which a change must be in
	// effect.
	shortWait = 900 * time.Millisecond
	// shortAnswerAge is the age up to which the store's last answer shows that a short watcher fulfils its duty.
	shortAnswerAge = 1500 * time.Millisecond
	// watcherTimeout is the time without a report from a short or quick watcher after which it no longer counts as one:
	// two missed reports of a large fleet. The next instance takes the place of a short watcher.
	watcherTimeout = 2500 * time.Millisecond
	// discoveryTime is the time in which a starting instance finds its peers through the store.
	discoveryTime = 2 * time.Second
	// watchTick is how often an instance checks whether its watches must change.
	watchTick = 100 * time.Millisecond
)

const (
	// largeFleet is the number of instances above which each one paces its watches. Smaller fleets stay far below the
	// rate limits of the store without a pace.
	largeFleet = 16
	// slowPace leaves time for a watch and an answer within the 3 s in which large deployments must act on a change.
	slowPace = 2200 * time.Millisecond
	// quickPace is short enough for a reclaim, announced 2 s ahead, to be noticed in time to move the running
	// requests.
	quickPace = 400 * time.Millisecond
	// quickWatchers is the number of instances of a large fleet that watch at quickPace and notify the others of
	// leaving endpoints. Eight, so that some remain during partitions and restarts.
	quickWatchers = 8
	// quickWait bounds the waits of the quick watchers of endpoints, so that a lost connection to the store is
	// noticed.
	quickWait = 2 * time.Second
	// quickAnswerAge is the age up to which the store's last answer shows that a quick watcher reaches the store.
	quickAnswerAge = 3 * time.Second
	// minNotifiers is the number of quick watchers that an instance must receive reports from to rely on them: one
	// may have just lost the store.
	minNotifiers = 3
)

// watching lists the watch duties that an instance has and fulfils, as it reports them to its peers.
type watching struct {
	Short    []string `cbor:"1,keyasint,omitempty"` // kinds of objects that it watches with short waits
	Notifies bool     `cbor:"2,keyasint,omitempty"` // notifies the others of leaving endpoints
}

// watching returns the watch duties that this instance fulfils for the others, as shown by recent answers of the
// store.
func (n *Node) watching(now time.Time) watching {
	var w watching
	for kind, f := range n.feeds {
		if n.needsShortWait(kind, now) && now.Sub(f.LastAnswered()) < shortAnswerAge {
			w.Short = append(w.Short, kind)
		}
	}
	endpoints := n.platform.Kinds.Endpoints
	w.Notifies = n.isQuickWatcher(endpoints) && now.Sub(n.feeds[endpoints].LastAnswered()) < quickAnswerAge
	return w
}

// needsShortWait reports whether this instance has to watch a kind with short waits. It takes the duty on only after
// those before it in the order have had the time to report that they do; without this, all instances of a fleet that
// starts would.
func (n *Node) needsShortWait(kind string, now time.Time) bool {
	if now.Sub(n.started) < discoveryTime {
		return false // its connections to the store are new, and it does not know its peers yet
	}
	before := rendezvous.Before(kind, n.memberIDs(), n.settings.Name)
	needed := isNeeded(before, shortWatchers, func(id string) bool {
		return n.members.hasShortWait(kind, id, now.Add(-watcherTimeout))
	})
	headStart := time.Duration(len(before)/shortWatchers) * n.interval()
	return n.members.neededFor(kind, needed, now) >= headStart && needed
}

// isNeeded reports whether an instance has to take on a duty: fewer than wanted of the instances before it in the order
// are active in that duty.
func isNeeded(before []string, wanted int, active func(id string) bool) bool {
	for _, id := range before {
		if wanted == 0 {
			break
		}
		if active(id) {
			wanted--
		}
	}
	return wanted > 0
}

// isQuickWatcher reports whether this instance of a large fleet watches a kind at quickPace. The holder of the duties
// does so too, since it sizes pools by its own list.
func (n *Node) isQuickWatcher(kind string) bool {
	return n.holdsDuties.Load() || slices.Contains(rendezvous.Top(kind, n.memberIDs(), quickWatchers), n.settings.Name)
}

// watchPace returns the mean time between watches of a kind that return changes; 0 means no bound.
func (n *Node) watchPace(kind string) time.Duration {
	switch {
	case len(n.memberIDs()) <= largeFleet:
		return 0
	case n.isQuickWatcher(kind), n.needsShortWait(kind, time.Now()):
		return quickPace
	default:
		return slowPace
	}
}

// watchWait returns the longest wait of this instance's next watch of a kind.
func (n *Node) watchWait(kind string) time.Duration {
	switch {
	case n.needsShortWait(kind, time.Now()):
		return shortWait
	case kind == n.platform.Kinds.Endpoints && len(n.memberIDs()) > largeFleet && n.isQuickWatcher(kind):
		return quickWait
	default:
		return longestWait(n.settings.StoreHistory)
	}
}

// historyShare is the share of the store's history that a watch may wait. One that waits longer starts from a revision
// before the history and must list again.
const historyShare = 0.8

func longestWait(history time.Duration) time.Duration {
	if history <= 0 {
		return feed.MaxWait
	}
	return min(feed.MaxWait, time.Duration(historyShare*float64(history)))
}

// hasNotifiers reports whether enough quick watchers notify this instance of leaving endpoints, so that its own list
// may be seconds behind.
func (n *Node) hasNotifiers(kind string, now time.Time) bool {
	ids := n.memberIDs()
	if kind != n.platform.Kinds.Endpoints || len(ids) <= largeFleet || n.isQuickWatcher(kind) {
		return false
	}
	notifiers := 0
	for _, id := range rendezvous.Top(kind, ids, quickWatchers) {
		if n.members.notifies(id, now.Add(-watcherTimeout)) {
			notifiers++
		}
	}
	return notifiers >= minNotifiers
}

// updateWatches ends the watches that this instance must no longer rely on: long ones when too few peers watch with
// short waits, and ones that may be stale when too few peers notify it of leaving endpoints.
func (n *Node) updateWatches(now time.Time) {
	for kind, f := range n.feeds {
		f.CancelStaleWatch()
		if n.needsShortWait(kind, now) {
			f.LimitWait(shortWait)
		}
	}
}
