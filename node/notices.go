package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/peer"
)

const (
	factLeaving = "leaving"
	// noticeTick gathers the endpoints of a failure domain that is reclaimed into one fact.
	noticeTick = 50 * time.Millisecond
	// noticeLife is how long an instance may still learn from the fact: longer than the slow pace.
	noticeLife = 5 * time.Second
	// maxNotices bounds the endpoints of one fact, 40 bytes each, below the 8 KiB of a fact.
	maxNotices = 150
	// noticeKeys is the number of facts in use in turn. A fact that is replaced before it has spread is lost to some; eight
	// ticks are longer than that takes.
	noticeKeys = 8
)

// notices holds the leaving endpoints of which the peers have to hear before their own watches bring them.
type notices struct {
	mu        sync.Mutex
	leaving   []leavingNotice
	published int // facts
}

// leavingNotice tells of an endpoint that leaves.
type leavingNotice struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint"` // of its lifetime
	Left int64  `cbor:"3,keyasint"` // milliseconds until it ends; 0: unknown
}

func (s *notices) add(e fleet.Entry, now time.Time) {
	item := leavingNotice{ID: e.ID, Born: e.Born}
	if !e.LeavesAt.IsZero() {
		item.Left = max(1, e.LeavesAt.Sub(now).Milliseconds())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = append(s.leaving, item)
}

// take returns the oldest notices, at most maxNotices, and the number of the fact to publish them in.
func (s *notices) take() (taken []leavingNotice, fact int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.leaving), maxNotices)
	if n == 0 {
		return nil, 0
	}
	taken = s.leaving[:n:n]
	s.leaving = s.leaving[n:]
	s.published++
	return taken, s.published % noticeKeys
}

// noteLeaving tells the peers of a leaving endpoint if this instance is one of those that watch for them.
func (n *Node) noteLeaving(e fleet.Entry, now time.Time) {
	if len(n.memberIDs()) > largeFleet && n.isQuick(n.platform.Kinds.Endpoints) {
		n.notices.add(e, now)
	}
}

// publishNotices hands the waiting notices to the peers.
func (n *Node) publishNotices(context.Context) {
	if taken, fact := n.notices.take(); len(taken) > 0 {
		n.publishLife(fmt.Sprintf("%s/%s/%d", factLeaving, n.process, fact), taken, noticeLife)
	}
}

func (n *Node) receiveNotices(f peer.Fact) {
	var items []leavingNotice
	if err := cbor.Unmarshal(f.Value, &items); err != nil {
		n.log.WithError(err).WithField("peer", f.Origin).Warn("notices of a peer not understood")
		return
	}
	now := time.Now()
	for _, item := range items {
		at := time.Time{}
		if item.Left > 0 {
			at = now.Add(time.Duration(item.Left) * time.Millisecond)
		}
		n.fleet.MarkLeaving(item.ID, item.Born, at)
	}
}
