// Package usage counts the requests of each workspace that began to run in fixed windows of the time of day, merges
// the counts of all instances, and decides which windows are to be reported.
package usage

import (
	"slices"
	"sync"
	"time"
)

// keptWindows is the number of windows whose counts are kept; reports are due within a few windows.
const keptWindows = 8

// Counts are requests by workspace.
type Counts map[string]uint64

// Windows are counts by window number. Window k begins k window lengths after the start of 1970.
type Windows map[uint64]Counts

// Counter counts the requests of this instance and holds the counts of the others. It is safe for concurrent use.
type Counter struct {
	length time.Duration

	mu     sync.Mutex
	own    Windows
	others map[string]Windows // by process
}

// NewCounter returns a counter for windows of a length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, own: Windows{}, others: map[string]Windows{}}
}

// Window returns the number of the window of a time.
func (c *Counter) Window(at time.Time) uint64 { return uint64(at.UnixNano() / int64(c.length)) }

// End returns when a window ends.
func (c *Counter) End(window uint64) time.Time { return time.Unix(0, int64(window+1)*int64(c.length)) }

// Began counts a request that began to run.
func (c *Counter) Began(workspace string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.Window(at)
	counts := c.own[k]
	if counts == nil {
		counts = Counts{}
		c.own[k] = counts
		prune(c.own, k)
	}
	counts[workspace]++
}

func prune(w Windows, newest uint64) {
	for k := range w {
		if k+keptWindows < newest {
			delete(w, k)
		}
	}
}

// Recent returns a copy of this instance's counts of the newest windows up to now.
func (c *Counter) Recent(now time.Time, windows int) Windows {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Windows{}
	newest := c.Window(now)
	for k := newest; k+uint64(windows) > newest; k-- {
		if counts := c.own[k]; counts != nil {
			out[k] = copyOf(counts)
		}
	}
	return out
}

func copyOf(counts Counts) Counts {
	out := make(Counts, len(counts))
	for ws, n := range counts {
		out[ws] = n
	}
	return out
}

// Receive takes over the counts of another instance's process. Counts only grow, so that older news change nothing.
func (c *Counter) Receive(process string, w Windows) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.others[process]
	if known == nil {
		known = Windows{}
		c.others[process] = known
	}
	newest := uint64(0)
	for k, counts := range w {
		if known[k] == nil {
			known[k] = Counts{}
		}
		for ws, n := range counts {
			known[k][ws] = max(known[k][ws], n)
		}
		newest = max(newest, k)
	}
	prune(known, newest)
}

// Known returns a copy of all counts of the newest windows up to now, by process; those of this instance are self's.
func (c *Counter) Known(self string, now time.Time, windows int) map[string]Windows {
	out := map[string]Windows{self: c.Recent(now, windows)}
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.Window(now)
	for process, known := range c.others {
		w := Windows{}
		for k, counts := range known {
			if k+uint64(windows) > newest {
				w[k] = copyOf(counts)
			}
		}
		if len(w) > 0 {
			out[process] = w
		}
	}
	return out
}

// Forget drops the processes of which nothing was heard for as long as windows are kept.
func (c *Counter) Forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.Window(now)
	for process, known := range c.others {
		prune(known, newest)
		if len(known) == 0 {
			delete(c.others, process)
		}
	}
}

// Sum returns the counts of a window over all instances.
func (c *Counter) Sum(window uint64) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := copyOf(c.own[window])
	for _, w := range c.others {
		for ws, n := range w[window] {
			sum[ws] += n
		}
	}
	return sum
}

// isReported reports whether another process has counts of a window.
func (c *Counter) isReported(window uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.others {
		if _, ok := w[window]; ok {
			return true
		}
	}
	return false
}

// Due returns the windows that ended at least settle before now and not longer than late ago, oldest first. Of those
// before first, in which this process did not run, only the ones of which another has told count.
func (c *Counter) Due(now time.Time, settle, late time.Duration, first uint64) []uint64 {
	var due []uint64
	for k := c.Window(now); k > 0; k-- {
		since := now.Sub(c.End(k))
		if since > late {
			break
		}
		if since >= settle && (k >= first || c.isReported(k)) {
			due = append(due, k)
		}
	}
	slices.Reverse(due)
	return due
}
