package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/peer"
)

const (
	factLeaving = "leaving"
	// noticeTick is how often notices are published. The endpoints of a reclaimed failure domain are gathered in that
	// time and published in one fact.
	noticeTick = 50 * time.Millisecond
	// noticeLifetime is how long peers keep the fact for instances that have not received it yet: longer than
	// slowPace.
	noticeLifetime = 5 * time.Second
	// maxNotices bounds the endpoints of one fact, 40 bytes each, below the limit of 8 KiB for a fact.
	maxNotices = 150
	// noticeFacts is the number of facts that are used in rotation. A fact that is replaced before it has spread does
	// not reach every peer; spreading takes less than eight ticks.
	noticeFacts = 8
	// maxNoticeDelay bounds the random time for which most instances of a large fleet keep a notice of an endpoint that has
	// told them that it is leaving. Many are told at once; those that hear of it from a peer meanwhile say nothing.
	maxNoticeDelay = 2 * time.Second
)

// notices queues the leaving endpoints that peers must be notified of before their own watches report them.
type notices struct {
	mu        sync.Mutex
	leaving   []leavingNotice
	delayed   []delayedNotice
	published int // facts published so far
}

// leavingNotice announces that an endpoint is leaving.
type leavingNotice struct {
	ID          string `cbor:"1,keyasint"`
	StartedMs   int64  `cbor:"2,keyasint"` // start of the endpoint's lifetime, in Unix milliseconds
	RemainingMs int64  `cbor:"3,keyasint"` // until the endpoint ends; 0: unknown
	// Departed: the endpoint itself has said it, so that this lifetime gets no new work again. It is false for one that
	// was removed from the list: its entry may only have expired.
	Departed bool `cbor:"4,keyasint,omitempty"`
}

// delayedNotice is a notice that is queued when it is due.
type delayedNotice struct {
	leavingNotice
	due time.Time
}

// addDelayed queues a notice of an endpoint that has said that it is leaving, at a time.
func (s *notices) addDelayed(e *fleet.Endpoint, due time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayed = append(s.delayed, delayedNotice{leavingNotice{ID: e.ID, StartedMs: e.StartedMs, Departed: true}, due})
}

// queueDue queues the notices that are due.
func (s *notices) queueDue(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayed = slices.DeleteFunc(s.delayed, func(d delayedNotice) bool {
		if d.due.After(now) {
			return false
		}
		s.leaving = append(s.leaving, d.leavingNotice)
		return true
	})
}

// drop drops a delayed notice of which a peer has notified the others.
func (s *notices) drop(item leavingNotice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayed = slices.DeleteFunc(s.delayed, func(d delayedNotice) bool {
		return d.ID == item.ID && d.StartedMs <= item.StartedMs && item.Departed
	})
}

func (s *notices) add(e fleet.Entry, now time.Time) {
	item := leavingNotice{ID: e.ID, StartedMs: e.StartedMs, Departed: e.Draining}
	if !e.LeavesAt.IsZero() {
		item.RemainingMs = max(1, e.LeavesAt.Sub(now).Milliseconds())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = append(s.leaving, item)
}

// next removes and returns the oldest notices, at most maxNotices, and the number of the fact to publish them in.
func (s *notices) next() (batch []leavingNotice, fact int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.leaving), maxNotices)
	if n == 0 {
		return nil, 0
	}
	batch = s.leaving[:n:n]
	s.leaving = s.leaving[n:]
	s.published++
	return batch, s.published % noticeFacts
}

// announceLeaving queues a notice of a leaving endpoint if this instance is one of those that notify the others.
func (n *Node) announceLeaving(e fleet.Entry, now time.Time) {
	if len(n.memberIDs()) > largeFleet && n.isQuickWatcher(n.platform.Kinds.Endpoints) {
		n.notices.add(e, now)
	}
}

// announceDeparture notifies the peers of an endpoint that has told this instance that it is leaving: they may reach
// neither the store nor the endpoint.
func (n *Node) announceDeparture(e *fleet.Endpoint, now time.Time) {
	if len(n.memberIDs()) > largeFleet && !n.isQuickWatcher(n.platform.Kinds.Endpoints) {
		now = now.Add(rand.N(maxNoticeDelay))
	}
	n.notices.addDelayed(e, now)
}

// publishNotices publishes the oldest queued notices to the peers.
func (n *Node) publishNotices(context.Context) {
	n.notices.queueDue(time.Now())
	if batch, fact := n.notices.next(); len(batch) > 0 {
		n.publishFor(fmt.Sprintf("%s/%s/%d", factLeaving, n.process, fact), batch, noticeLifetime)
	}
}

func (n *Node) receiveNotices(f peer.Fact) {
	var items []leavingNotice
	if err := cbor.Unmarshal(f.Value, &items); err != nil {
		n.log.WithError(err).WithField("peer", f.Origin).Warn("notices from peer could not be decoded")
		return
	}
	now := time.Now()
	for _, item := range items {
		at := time.Time{}
		if item.RemainingMs > 0 {
			at = now.Add(time.Duration(item.RemainingMs) * time.Millisecond)
		}
		if item.Departed {
			n.notices.drop(item)
			n.fleet.MarkDeparted(item.ID, item.StartedMs, at)
		} else {
			n.fleet.MarkLeaving(item.ID, item.StartedMs, at)
		}
	}
}
