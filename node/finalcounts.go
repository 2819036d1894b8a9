package node

import (
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/usage"
)

const (
	factFinalCounts = "final-counts/"
	// finalCountsSpread is the time in which the final counts of a window reach the peers: twice the time of a fact.
	finalCountsSpread = 800 * time.Millisecond
)

// finalCountsTable holds the final counts of windows as their holders have stored them. A store that was restored may have
// forgotten counts that were reported already.
type finalCountsTable struct {
	mu     sync.Mutex
	counts map[uint64]usage.Counts
	since  map[uint64]time.Time // when they were sent to the peers, or came from one
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

// hasSpread reports whether the peers have had the time to receive the final counts of a window.
func (c *finalCountsTable) hasSpread(window uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, known := c.since[window]
	return known && now.Sub(since) >= finalCountsSpread
}

// publishFinalCounts sends the final counts of a window to the peers, which keep them also if this process ends.
func (n *Node) publishFinalCounts(window uint64, counts usage.Counts) {
	n.finals.set(window, counts, time.Now())
	n.publishShared(fmt.Sprintf("%s%d", factFinalCounts, window), 0, finalCountsFact{window, counts}, reportLifetime)
}

func (n *Node) receiveFinalCounts(f peer.Fact) {
	var fact finalCountsFact
	if err := cbor.Unmarshal(f.Value, &fact); err != nil {
		n.log.WithError(err).WithField("peer", f.Origin).Warn("final counts from peer could not be decoded")
		return
	}
	n.finals.set(fact.Window, fact.Counts, time.Now())
}
