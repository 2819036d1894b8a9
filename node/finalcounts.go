package node

import (
	"context"
	"fmt"
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
	// finalCountsSpread is the time in which the final counts of a window reach the peers if none confirms them: twice the
	// time of a fact.
	finalCountsSpread = 800 * time.Millisecond
)

// finalCountsTable holds the final counts of windows as their holders have stored them. A store that was restored may have
// forgotten counts that were reported already.
type finalCountsTable struct {
	mu     sync.Mutex
	counts map[uint64]usage.Counts
	since  map[uint64]time.Time // when they were sent to the peers; zero: one has them
}

// finalCountsFact is the fact that holds the final counts of a window.
type finalCountsFact struct {
	Window uint64       `cbor:"1,keyasint"`
	Counts usage.Counts `cbor:"2,keyasint"`
}

// set records the final counts of a window unless some are known, and drops those that are no longer due.
func (c *finalCountsTable) set(window uint64, counts usage.Counts, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts, c.since = map[uint64]usage.Counts{}, map[uint64]time.Time{}
	}
	if _, known := c.counts[window]; known {
		return
	}
	c.counts[window], c.since[window] = counts, now
	for k := range c.counts {
		if k+keptReportedWindows < window {
			delete(c.counts, k)
			delete(c.since, k)
		}
	}
}

// get returns the final counts of a window, if they are known.
func (c *finalCountsTable) get(window uint64) (counts usage.Counts, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, known = c.counts[window]
	return counts, known
}

// hasSpread reports whether a peer has the final counts of a window, or all have had the time to receive them.
func (c *finalCountsTable) hasSpread(window uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, known := c.since[window]
	return known && now.Sub(since) >= finalCountsSpread
}

// confirmed records that a peer has the final counts of a window.
func (c *finalCountsTable) confirmed(window uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since[window] = time.Time{}
}

// shareFinalCounts sends the final counts of a window to the peers, which keep them also if this process ends. It returns
// once a peer has confirmed them, or none of those asked did.
func (n *Node) shareFinalCounts(ctx context.Context, window uint64, counts usage.Counts) {
	fact := finalCountsFact{window, counts}
	n.finals.set(window, counts, time.Now())
	n.publishFinalCounts(fact)
	ids := slices.DeleteFunc(n.memberIDs(), func(id string) bool { return id == n.settings.Name })
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	ids = ids[:min(len(ids), finalCountsPeers)]
	if len(ids) == 0 {
		n.finals.confirmed(window) // there is nobody to keep them
		return
	}
	ctx, cancel := context.WithTimeout(ctx, finalCountsTimeout)
	defer cancel()
	results := make(chan error, len(ids))
	for _, id := range ids {
		go func() {
			_, err := callPeer[empty](ctx, n, id, callFinalCounts, fact)
			results <- err
		}()
	}
	for range ids {
		if err := <-results; err == nil {
			n.finals.confirmed(window)
			return
		}
	}
}

func (n *Node) publishFinalCounts(fact finalCountsFact) {
	n.publishShared(fmt.Sprintf("%s%d", factFinalCounts, fact.Window), 0, fact, reportLifetime)
}

// handleFinalCounts keeps the final counts of a window for a holder that is about to report them, and sends them on: the
// holder may end before its own fact has spread.
func (n *Node) handleFinalCounts(fact finalCountsFact) (empty, error) {
	n.finals.set(fact.Window, fact.Counts, time.Time{})
	n.publishFinalCounts(fact)
	return empty{}, nil
}

func (n *Node) receiveFinalCounts(f peer.Fact) {
	var fact finalCountsFact
	if err := cbor.Unmarshal(f.Value, &fact); err != nil {
		n.log.WithError(err).WithField("peer", f.Origin).Warn("final counts from peer could not be decoded")
		return
	}
	n.finals.set(fact.Window, fact.Counts, time.Time{})
}
