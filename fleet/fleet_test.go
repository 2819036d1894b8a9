package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/upstream"
)

func newTable() *fleet.Table {
	return fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, upstream.Settings{}) })
}

func entry(id, address string, startedMs int64) fleet.Entry {
	return fleet.Entry{ID: id, Service: "s", Address: address, Slots: 4, StartedMs: startedMs}
}

var now = time.Unix(100, 0)

// Guards against losing all endpoints when their entries expire in an outage of the store, and against keeping them for
// too long.
func TestTable_UnsettledRemovalGetsGrace(t *testing.T) {
	table := newTable()
	table.ReplaceAll([]fleet.Entry{entry("a", "x:1", 1), entry("b", "x:2", 1)}, true, now)
	table.ReplaceAll(nil, false, now)
	must.Len(t, 2, table.Service("s"))
	table.Put(entry("a", "x:1", 1)) // listed again
	table.Expire(now.Add(fleet.UnlistedGrace))
	must.Len(t, 1, table.Service("s"))
	must.Less(t, 2*time.Second, fleet.UnlistedGrace) // the platform's rules allow 2 s
}

// Guards against new work for an endpoint that was removed while the store was available, or that is draining.
func TestTable_SettledRemovalAndDraining(t *testing.T) {
	table := newTable()
	table.ReplaceAll([]fleet.Entry{entry("a", "x:1", 1), entry("b", "x:2", 1)}, true, now)
	a := table.Service("s")[0]
	table.Remove("a", true, now)
	must.Len(t, 1, table.Service("s"))
	must.True(t, a.IsLeaving())
	draining := entry("b", "x:2", 1)
	draining.Draining, draining.LeavesAt = true, now.Add(time.Second)
	b := table.Service("s")[0]
	table.Put(draining)
	must.Len(t, 0, table.Service("s"))
	must.Eq(t, now.Add(time.Second).UnixNano(), b.LeavesAt().UnixNano())
	draining.LeavesAt = now.Add(2 * time.Second) // the same entry, read a second later
	table.Put(draining)
	must.Eq(t, now.Add(time.Second).UnixNano(), b.LeavesAt().UnixNano())
	table.Remove("b", false, now) // a leaving endpoint gets no grace
	must.Len(t, 0, table.All())
}

// Guards against a restarted endpoint that keeps the state of its previous lifetime, and against an old entry that
// replaces a newer one.
func TestTable_Lifetimes(t *testing.T) {
	table := newTable()
	table.Put(entry("a", "x:1", 5))
	first := table.Service("s")[0]
	table.Put(entry("a", "x:1", 4))
	must.True(t, table.Service("s")[0] == first)
	table.Put(entry("a", "x:1", 6))
	must.True(t, table.Service("s")[0] != first)
	must.True(t, first.IsLeaving())
	table.MarkLeaving("a", 5, time.Time{}) // a report on the previous lifetime
	must.Len(t, 1, table.Service("s"))
	table.MarkLeaving("a", 6, time.Time{})
	must.Len(t, 0, table.Service("s"))
}

// Guards against requests to an endpoint whose address is now used by another one.
func TestTable_AddressUsedAgain(t *testing.T) {
	table := newTable()
	table.Put(entry("a", "x:1", 5))
	other := entry("b", "x:1", 6)
	other.Service = "other"
	table.Put(other)
	must.Len(t, 0, table.Service("s"))
	must.Len(t, 1, table.Service("other"))
}

// Guards against a sound endpoint that is lost to an odd entry with its address.
func TestTable_AddressClaimedByOddEntry(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	for name, c := range map[string]struct {
		claimed, answered time.Time
		wantKept          bool
	}{
		"answered since":                       {start.Add(time.Second), start.Add(2 * time.Second), true},
		"not answered since":                   {start.Add(2 * time.Second), start.Add(time.Second), false},
		"start in the future, answered before": {start.Add(time.Hour), start.Add(time.Second), true},
	} {
		table := newTable()
		table.Put(entry("a", "x:1", start.UnixMilli()))
		table.Service("s")[0].Stats.RecordAnswer(false, c.answered)
		odd := entry("odd", "x:1", c.claimed.UnixMilli())
		odd.Service = "unknown"
		table.Put(odd)
		must.Eq(t, c.wantKept, len(table.Service("s")) == 1, must.Sprint(name))
		must.Len(t, 1, table.Service("unknown"))
	}
}

// Guards against an endpoint that is avoided permanently after failures, and against one that is tried for every
// request.
func TestStats_AvoidsForAWhile(t *testing.T) {
	var l fleet.Stats
	l.RecordUnreachable(now)
	must.True(t, l.Snapshot(now.Add(100*time.Millisecond)).Avoided)
	must.False(t, l.Snapshot(now.Add(400*time.Millisecond)).Avoided)
	for at := now.Add(time.Second); at.Before(now.Add(time.Minute)); at = at.Add(100 * time.Millisecond) {
		l.RecordUnreachable(at)
	}
	must.False(t, l.Snapshot(now.Add(time.Minute+2*time.Second)).Avoided)
	for range 20 {
		l.RecordAnswer(true, now)
	}
	must.Greater(t, 0.9, l.Snapshot(now).Failures)
	must.Less(t, 0.1, l.Snapshot(now.Add(15*time.Second)).Failures)
}
