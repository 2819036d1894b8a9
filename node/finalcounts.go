package node

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/usage"
)

const (
	factFinalCounts = "final-counts/"
	callFinalCounts = "final-counts"
	// finalCountsPeers is the number of peers that are asked to confirm the final counts of a window; one suffices.
	finalCountsPeers = 3
	// finalCountsTimeout bounds these calls. Peers answer within milliseconds.
	finalCountsTimeout = 300 * time.Millisecond
	// finalCountsRetry is the time between two attempts to have the counts confirmed.
	finalCountsRetry = time.Second
	// unconfirmedMargin is the time before the last attempt to report a window from which its counts are reported without a
	// confirmation: a missing report costs less than two that differ, and a successor has hardly time left for another one.
	unconfirmedMargin = time.Second
)

// finalCountsTable holds the final counts of windows as their holders have stored them. A store that was restored may have
// forgotten counts that were reported already.
type finalCountsTable struct {
	mu      sync.Mutex
	windows map[uint64]*finalWindowCounts
}

// finalWindowCounts are the final counts of a window.
type finalWindowCounts struct {
	counts      usage.Counts
	isConfirmed bool      // a peer has them, or there is none
	sentAt      time.Time // to the peers for the last time; zero: never
}

// finalCountsFact is the fact that holds the final counts of a window.
type finalCountsFact struct {
	Window uint64       `cbor:"1,keyasint"`
	Counts usage.Counts `cbor:"2,keyasint"`
}

// set records the final counts of a window unless some are known, and drops those that are no longer due.
func (t *finalCountsTable) set(window uint64, counts usage.Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.windows == nil {
		t.windows = map[uint64]*finalWindowCounts{}
	}
	if t.windows[window] == nil {
		t.windows[window] = &finalWindowCounts{counts: counts}
	}
	maps.DeleteFunc(t.windows, func(k uint64, _ *finalWindowCounts) bool { return k+keptReportedWindows < window })
}

// get returns the final counts of a window, if they are known, and whether a peer has confirmed them.
func (t *finalCountsTable) get(window uint64) (counts usage.Counts, known, isConfirmed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.windows[window]
	if w == nil {
		return nil, false, false
	}
	return w.counts, true, w.isConfirmed
}

// beginSending reports whether the final counts of a window are to be sent to the peers now, and records it.
func (t *finalCountsTable) beginSending(window uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.windows[window]
	if w == nil || w.isConfirmed || !w.sentAt.IsZero() && now.Sub(w.sentAt) < finalCountsRetry {
		return false
	}
	w.sentAt = now
	return true
}

// confirm records the final counts of a window that a peer has, or that there is no peer to have them. They take the place of
// counts that none has.
func (t *finalCountsTable) confirm(window uint64, counts usage.Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.windows[window]; w != nil && !w.isConfirmed {
		w.counts, w.isConfirmed = counts, true
	}
}

// shareFinalCounts sends the final counts of a window to the peers, which keep them also if this process ends. It returns
// once a peer has confirmed them, or none of those asked did. A peer that knows others, which an earlier holder may have
// reported, replies with these.
func (n *Node) shareFinalCounts(ctx context.Context, window uint64, counts usage.Counts) {
	fact := finalCountsFact{window, counts}
	now := time.Now()
	n.finals.set(window, counts)
	if !n.finals.beginSending(window, now) {
		return
	}
	if len(n.members.sending(now)) == 1 {
		n.finals.confirm(window, counts)
		return
	}
	ids := slices.DeleteFunc(n.memberIDs(), func(id string) bool { return id == n.settings.Name })
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	ids = ids[:min(len(ids), finalCountsPeers)]
	ctx, cancel := context.WithTimeout(ctx, finalCountsTimeout)
	defer cancel()
	confirmed := make(chan *finalCountsFact, len(ids))
	for _, id := range ids {
		go func() {
			reply, err := callPeer[finalCountsFact](ctx, n, id, callFinalCounts, fact)
			if err != nil {
				confirmed <- nil
				return
			}
			confirmed <- &reply
		}()
	}
	for range ids {
		if reply := <-confirmed; reply != nil {
			n.finals.confirm(window, reply.Counts)
			return
		}
	}
}

func (n *Node) publishFinalCounts(fact finalCountsFact) {
	n.publishShared(fmt.Sprintf("%s%d", factFinalCounts, fact.Window), 0, fact, reportLifetime)
}

// handleFinalCounts keeps the final counts of a window for a holder that is about to report them, unless it knows others, and
// sends them to all peers: the holder may end. It replies with the counts that it knows.
func (n *Node) handleFinalCounts(fact finalCountsFact) (finalCountsFact, error) {
	n.finals.set(fact.Window, fact.Counts)
	n.finals.confirm(fact.Window, fact.Counts)
	fact.Counts, _, _ = n.finals.get(fact.Window)
	n.publishFinalCounts(fact)
	return fact, nil
}

func (n *Node) receiveFinalCounts(f peer.Fact) {
	var fact finalCountsFact
	if err := cbor.Unmarshal(f.Value, &fact); err != nil {
		n.log.WithError(err).WithField("peer", f.Origin).Warn("final counts from peer could not be decoded")
		return
	}
	n.finals.set(fact.Window, fact.Counts)
	n.finals.confirm(fact.Window, fact.Counts)
}
