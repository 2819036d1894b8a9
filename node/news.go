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
	// newsTick gathers the endpoints of a failure domain that is reclaimed into one fact.
	newsTick = 50 * time.Millisecond
	// newsLife is how long an instance may still learn from the fact: longer than the slow pace.
	newsLife = 5 * time.Second
	// maxNews bounds the endpoints of one fact, 40 bytes each, below the 8 KiB of a fact.
	maxNews = 150
	// newsKeys is the number of facts in use in turn. A fact that is replaced before it has spread is lost to some; eight
	// ticks are longer than that takes.
	newsKeys = 8
)

// news gathers the leaving endpoints of which the peers have to hear before their own watches bring them.
type news struct {
	mu      sync.Mutex
	leaving []leavingNews
	told    int // facts published
}

// leavingNews tells of an endpoint that leaves.
type leavingNews struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint"` // of its lifetime
	Left int64  `cbor:"3,keyasint"` // milliseconds until it ends; 0: unknown
}

func (s *news) add(e fleet.Entry, now time.Time) {
	item := leavingNews{ID: e.ID, Born: e.Born}
	if !e.LeavesAt.IsZero() {
		item.Left = max(1, e.LeavesAt.Sub(now).Milliseconds())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = append(s.leaving, item)
}

// take returns the oldest news, at most maxNews, and the number of the fact to publish them in.
func (s *news) take() (taken []leavingNews, fact int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.leaving), maxNews)
	if n == 0 {
		return nil, 0
	}
	taken = s.leaving[:n:n]
	s.leaving = s.leaving[n:]
	s.told++
	return taken, s.told % newsKeys
}

// noteLeaving tells the peers of a leaving endpoint if this instance is one of those that watch for them.
func (n *Node) noteLeaving(e fleet.Entry, now time.Time) {
	if len(n.memberIDs()) > largeFleet && n.isQuick(n.platform.Kinds.Endpoints) {
		n.news.add(e, now)
	}
}

// publishNews hands the gathered news to the peers.
func (n *Node) publishNews(context.Context) {
	if taken, fact := n.news.take(); len(taken) > 0 {
		n.publishLife(fmt.Sprintf("%s/%s/%d", factLeaving, n.process, fact), taken, newsLife)
	}
}

func (n *Node) receiveNews(f peer.Fact) {
	var items []leavingNews
	if err := cbor.Unmarshal(f.Value, &items); err != nil {
		n.log.WithError(err).WithField("peer", f.Origin).Warn("news of a peer not understood")
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
