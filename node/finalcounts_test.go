package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/usage"
)

// Guards against counts that are reported before a peer can have them, against other counts that take the place of the
// final ones of a window, and against counts that are kept for good.
func TestFinalCountsTable_Cases(t *testing.T) {
	var c finalCountsTable
	now := time.Now()
	must.False(t, c.hasSpread(7, now))
	c.set(7, usage.Counts{"w": 3}, now)
	c.set(7, usage.Counts{"w": 4}, now)
	counts, known := c.get(7)
	must.True(t, known)
	must.Eq(t, usage.Counts{"w": 3}, counts)
	must.False(t, c.hasSpread(7, now.Add(finalCountsSpread/2)))
	must.True(t, c.hasSpread(7, now.Add(finalCountsSpread)))
	c.set(8, usage.Counts{"w": 1}, now)
	c.confirmed(8)
	must.True(t, c.hasSpread(8, now))
	c.set(9, usage.Counts{"w": 1}, time.Time{}) // from a peer
	must.True(t, c.hasSpread(9, now))
	c.set(8+keptReportedWindows, usage.Counts{}, now)
	_, known = c.get(7)
	must.False(t, known)
	_, known = c.get(8)
	must.True(t, known)
}
