package node

import (
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	// shortWatchers is the number of instances whose watches wait for a short time only, so that a change which
	// waiting watches do not hear of is found soon. Two, since one may be out of touch.
	shortWatchers = 2
	// shortWait leaves time to list again and to notify the others within the 2 s in which a change must be in force.
	shortWait = 900 * time.Millisecond
	// shortFresh is the age up to which an answer of the store shows that a short watcher does its duty.
	shortFresh = 1500 * time.Millisecond
	// watcherSilence is the time without a word of such a watcher after which the next one takes its place: two reports
	// of a large fleet missed.
	watcherSilence = 2500 * time.Millisecond
	// watchTick is how often an instance looks whether its watches must change.
	watchTick = 100 * time.Millisecond
)

const (
	// largeFleet is the number of instances above which each paces its watches. Smaller fleets stay far below the rates
	// of the store without a pace.
	largeFleet = 16
	// slowPace leaves a watch and an answer within the 3 s in which large deployments must act on a change.
	slowPace = 2200 * time.Millisecond
	// quickPace lets a reclaim, announced 2 s ahead, be known in time to move the runs.
	quickPace = 300 * time.Millisecond
	// quickWatchers is the number of instances of a large fleet with the quick pace; they tell the others which
	// endpoints leave. Eight, so that cuts and restarts leave some.
	quickWatchers = 8
	// quickWait bounds the waits of the quick watchers of endpoints, so that a lost store shows.
	quickWait = 2 * time.Second
	// quickFresh is the age up to which an answer shows that a quick watcher has the store.
	quickFresh = 3 * time.Second
	// minNotifiers is the number of quick watchers that an instance must hear to rely on them: one may have just lost the store.
	minNotifiers = 3
)

// duties of watching that an instance has and fulfils, as it tells its peers.
type watching struct {
	Short    []string `cbor:"1,keyasint,omitempty"` // kinds of objects that it watches with short waits
	Notifies bool     `cbor:"2,keyasint,omitempty"` // of endpoints that leave
}

// watching returns what this instance does for the others, as far as the store answers it.
func (n *Node) watching(now time.Time) watching {
	var w watching
	for kind, f := range n.feeds {
		if n.mustWaitShort(kind, now) && now.Sub(f.Answered()) < shortFresh {
			w.Short = append(w.Short, kind)
		}
	}
	endpoints := n.platform.Kinds.Endpoints
	w.Notifies = n.isQuick(endpoints) && now.Sub(n.feeds[endpoints].Answered()) < quickFresh
	return w
}

// mustWaitShort reports whether this instance has to watch a kind with short waits.
func (n *Node) mustWaitShort(kind string, now time.Time) bool {
	ids := n.memberIDs()
	return isNext(rendezvous.Top(kind, ids, len(ids)), n.settings.Name, shortWatchers, func(id string) bool {
		return n.members.waitsShort(kind, id, now.Add(-watcherSilence))
	})
}

// isNext reports whether fewer than wanted of those before self, in the order of a duty, fulfil it.
func isNext(order []string, self string, wanted int, fulfils func(id string) bool) bool {
	for _, id := range order {
		if id == self || wanted == 0 {
			break
		}
		if fulfils(id) {
			wanted--
		}
	}
	return wanted > 0
}

// isQuick reports whether this instance of a large fleet watches a kind with the quick pace. The holder of the duties
// does so too, since pools are sized by what it knows.
func (n *Node) isQuick(kind string) bool {
	return n.isHolder.Load() || slices.Contains(rendezvous.Top(kind, n.memberIDs(), quickWatchers), n.settings.Name)
}

// watchPace returns the mean time between watches of a kind that bring changes.
func (n *Node) watchPace(kind string) time.Duration {
	switch {
	case len(n.memberIDs()) <= largeFleet:
		return 0
	case n.isQuick(kind), n.mustWaitShort(kind, time.Now()):
		return quickPace
	default:
		return slowPace
	}
}

// watchWait returns the longest wait of this instance's next watch.
func (n *Node) watchWait(kind string) time.Duration {
	switch {
	case n.mustWaitShort(kind, time.Now()):
		return shortWait
	case kind == n.platform.Kinds.Endpoints && len(n.memberIDs()) > largeFleet && n.isQuick(kind):
		return quickWait
	default:
		return feed.MaxWait
	}
}

// isNotified reports whether enough of the quick watchers tell this instance which endpoints leave, so that its own
// list may be seconds behind.
func (n *Node) isNotified(kind string, now time.Time) bool {
	ids := n.memberIDs()
	if kind != n.platform.Kinds.Endpoints || len(ids) <= largeFleet || n.isQuick(kind) {
		return false
	}
	notifiers := 0
	for _, id := range rendezvous.Top(kind, ids, quickWatchers) {
		if n.members.notifies(id, now.Add(-watcherSilence)) {
			notifiers++
		}
	}
	return notifiers >= minNotifiers
}

// reviseWatches ends the watches on which this instance must not rely any more: long ones without those that wait for a
// short time, and old ones without those that tell it of leaving endpoints.
func (n *Node) reviseWatches(now time.Time) {
	for kind, f := range n.feeds {
		f.Refresh()
		if n.mustWaitShort(kind, now) {
			f.LimitWait(shortWait)
		}
	}
}
