// Package usage counts the started requests of each workspace in fixed windows of wall-clock time, merges the counts of
// all instances, and determines which windows are due to be reported.
package usage

import (
	"slices"
	"sync"
	"time"
)

// retainedWindows is the number of windows before the newest one whose counts are kept. A window is reported within a
// few windows after its end.
const retainedWindows = 8

// Counts holds the number of started requests by workspace.
type Counts map[string]uint64

// Windows holds counts by window number. Window k begins k window lengths after the start of 1970 in Unix time.
type Windows map[uint64]Counts

// Counter counts the requests of this instance and holds the counts of the others. It is safe for concurrent use.
type Counter struct {
	length time.Duration

	mu     sync.Mutex
	own    Windows
	others map[string]Windows // by process
}

// NewCounter returns an empty counter for windows of the given length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, own: Windows{}, others: map[string]Windows{}}
}

// Window returns the number of the window that contains at.
func (c *Counter) Window(at time.Time) uint64 { return uint64(at.UnixNano() / int64(c.length)) }

// End returns the time at which a window ends.
func (c *Counter) End(window uint64) time.Time { return time.Unix(0, int64(window+1)*int64(c.length)) }

// CountStarted counts a request that started to run at the given time.
func (c *Counter) CountStarted(workspace string, at time.Time) {
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
		if k+retainedWindows < newest {
			delete(w, k)
		}
	}
}

// Recent returns a copy of this instance's counts in the given number of windows, of which the last contains now.
func (c *Counter) Recent(now time.Time, windows int) Windows {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Windows{}
	newest := c.Window(now)
	for k := newest; k+uint64(windows) > newest; k-- {
		if counts := c.own[k]; counts != nil {
			out[k] = cloneCounts(counts)
		}
	}
	return out
}

func cloneCounts(counts Counts) Counts {
	out := make(Counts, len(counts))
	for ws, n := range counts {
		out[ws] = n
	}
	return out
}

// Receive merges the counts of another instance's process. Counts only grow, so an outdated report changes nothing.
func (c *Counter) Receive(process string, w Windows) {
	c.mu.Lock()
	defer c.mu.Unlock()
	recorded := c.others[process]
	if recorded == nil {
		recorded = Windows{}
		c.others[process] = recorded
	}
	newest := uint64(0)
	for k, counts := range w {
		if recorded[k] == nil {
			recorded[k] = Counts{}
		}
		for ws, n := range counts {
			recorded[k][ws] = max(recorded[k][ws], n)
		}
		newest = max(newest, k)
	}
	prune(recorded, newest)
}

// AllRecent returns a copy of all counts in the given number of windows, of which the last contains now, by process.
// The counts of this instance are listed under self.
func (c *Counter) AllRecent(self string, now time.Time, windows int) map[string]Windows {
	out := map[string]Windows{self: c.Recent(now, windows)}
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.Window(now)
	for process, recorded := range c.others {
		w := Windows{}
		for k, counts := range recorded {
			if k+uint64(windows) > newest {
				w[k] = cloneCounts(counts)
			}
		}
		if len(w) > 0 {
			out[process] = w
		}
	}
	return out
}

// Expire drops the counts of other processes that are older than retainedWindows, and the processes without newer ones.
func (c *Counter) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.Window(now)
	for process, recorded := range c.others {
		prune(recorded, newest)
		if len(recorded) == 0 {
			delete(c.others, process)
		}
	}
}

// Sum returns the total counts of a window over all processes.
func (c *Counter) Sum(window uint64) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := cloneCounts(c.own[window])
	for _, w := range c.others {
		for ws, n := range w[window] {
			sum[ws] += n
		}
	}
	return sum
}

// isReported reports whether another process has reported counts of a window.
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

// Due returns the windows that ended at least settle and at most late before now, oldest first. Windows before first,
// in which this process did not run, are included only if another process has reported counts of them.
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
