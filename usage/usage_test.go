package usage_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/usage"
)

// Guards against counts that are lost or doubled when a process reports a window again or omits it.
func TestCounter_SumsProcesses(t *testing.T) {
	c := usage.NewCounter(5 * time.Second)
	now := time.Unix(1000, 0)
	k := c.Window(now)
	c.CountStarted("a", now)
	c.CountStarted("a", now.Add(time.Second))
	c.Receive("p", usage.Windows{k: {"a": 3, "b": 1}})
	c.Receive("p", usage.Windows{k: {"a": 4, "b": 1}})
	c.Receive("p", usage.Windows{k + 1: {"a": 9}})
	c.Receive("q", usage.Windows{k: {"b": 2}})
	must.Eq(t, usage.Counts{"a": 6, "b": 3}, c.Sum(k))
	must.Eq(t, usage.Windows{k: {"a": 2}}, c.Recent(now, 2))
}

// Guards against a window that is reported before its counts are complete, or after the deadline of its report.
func TestCounter_Due(t *testing.T) {
	c := usage.NewCounter(5 * time.Second)
	now := time.Unix(1000, 0).Add(1500 * time.Millisecond) // windows begin at multiples of 5 s
	k := c.Window(now)
	must.Eq(t, []uint64{k - 2, k - 1}, c.Due(now, time.Second, 10*time.Second, 0))
	must.Eq(t, []uint64{k - 2}, c.Due(now, 2*time.Second, 10*time.Second, 0))
	must.Eq(t, []uint64{k - 1}, c.Due(now, time.Second, 10*time.Second, k-1))
}

// Guards against a new lease holder without the counts of processes that ended before it received their reports,
// against outdated reports that lower a count, and against processes that are never dropped.
func TestCounter_AllRecentToPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := usage.NewCounter(5*time.Second), usage.NewCounter(5*time.Second)
	k := a.Window(now)
	a.CountStarted("w", now)
	a.Receive("old.1", usage.Windows{k: {"w": 7}, k - 6: {"w": 1}})
	for process, w := range a.AllRecent("a.1", now, 4) {
		b.Receive(process, w)
	}
	must.Eq(t, 8, b.Sum(k)["w"])
	must.Zero(t, b.Sum(k - 6)["w"])
	b.Receive("old.1", usage.Windows{k: {"w": 3}})
	must.Eq(t, 8, b.Sum(k)["w"])
	b.Expire(now.Add(time.Minute))
	must.Zero(t, b.Sum(k)["w"])
}
