package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/upstream"
)

// Guards against an endpoint that gets work after its entry was removed, because a store that was restored from a copy lists
// the entry again, and against one that is left out though it has written its entry since.
func TestTable_EntryOfRestoredStore(t *testing.T) {
	entry := func(era, revision uint64, isWritten bool) fleet.Entry {
		return fleet.Entry{ID: "e", Service: "s", Address: "127.0.0.1:1", Slots: 1, StartedMs: 5, Era: era, Revision: revision, IsWritten: isWritten}
	}
	for name, c := range map[string]struct {
		settled bool
		next    fleet.Entry
		isUsed  bool
	}{
		"as_removed":             {true, entry(1, 9, false), false},
		"older":                  {true, entry(1, 7, false), false},
		"written_since":          {true, entry(1, 10, false), true},
		"written_since_is_lower": {true, entry(1, 8, true), true},
		"removed_in_outage":      {false, entry(1, 9, false), true},
		"same_era":               {true, entry(0, 9, false), true},
		"next_lifetime":          {true, fleet.Entry{ID: "e", Service: "s", Address: "127.0.0.1:1", Slots: 1, StartedMs: 6, Era: 1, Revision: 8}, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, upstream.Settings{}) })
			now := time.Now()
			table.Put(entry(0, 9, true))
			table.Remove("e", c.settled, now)
			table.ReplaceAll([]fleet.Entry{c.next}, false, now)
			must.Eq(t, c.isUsed, len(table.Service("s")) == 1)
		})
	}
}

// Guards against an endpoint that gets no more work because a restored store listed it as it was before its removal, though
// it has written its entry since: its entry may have expired while it could not reach the store.
func TestTable_EntryOfRestoredStoreIsWrittenAgain(t *testing.T) {
	entry := func(era, revision uint64, isWritten, isDraining bool) fleet.Entry {
		return fleet.Entry{
			ID: "e", Service: "s", Address: "127.0.0.1:1", Slots: 1, StartedMs: 5, Era: era, Revision: revision, IsWritten: isWritten, Draining: isDraining,
		}
	}
	for name, c := range map[string]struct {
		before func(*fleet.Table)
		next   fleet.Entry
		isUsed bool
	}{
		"ready":        {func(*fleet.Table) {}, entry(1, 8, true, false), true},
		"draining":     {func(*fleet.Table) {}, entry(1, 8, true, true), false},
		"listed_again": {func(*fleet.Table) {}, entry(1, 7, false, false), false},
		"peer_knows":   {func(t *fleet.Table) { t.MarkLeaving("e", 5, time.Time{}) }, entry(1, 8, true, false), false},
		"has_said_so":  {func(t *fleet.Table) { t.MarkDeparted("e", 5, time.Time{}) }, entry(1, 8, true, false), false},
		"was_draining": {func(t *fleet.Table) { t.Put(entry(1, 8, true, true)) }, entry(1, 9, true, false), false},
	} {
		t.Run(name, func(t *testing.T) {
			table := fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, upstream.Settings{}) })
			now := time.Now()
			table.Put(entry(0, 9, true, false))
			table.Remove("e", true, now)
			table.ReplaceAll([]fleet.Entry{entry(1, 7, false, false)}, false, now)
			c.before(table)
			table.Put(c.next)
			must.Eq(t, c.isUsed, len(table.Service("s")) == 1)
			c.next.IsWritten = false
			table.ReplaceAll([]fleet.Entry{c.next}, true, now) // the next list shows the same entry
			must.Eq(t, c.isUsed, len(table.Service("s")) == 1)
		})
	}
}

// Guards against endpoints that get no more work although a restored store goes on to list them: their entries, which have
// expired while they could not reach the store, are in the copy and don't change. Also guards against the use of one that is
// gone while the store can't say so.
func TestTable_UseRelisted(t *testing.T) {
	entry := func(era uint64) fleet.Entry {
		return fleet.Entry{ID: "e", Service: "s", Address: "127.0.0.1:1", Slots: 1, StartedMs: 5, Era: era, Revision: 9}
	}
	for name, c := range map[string]struct {
		healthyFor, after time.Duration
		between           func(*fleet.Table)
		isUsed            bool
	}{
		"goes_on":                  {20 * time.Second, 11 * time.Second, func(*fleet.Table) {}, true},
		"too_early":                {20 * time.Second, 9 * time.Second, func(*fleet.Table) {}, false},
		"store_fails":              {0, 11 * time.Second, func(*fleet.Table) {}, false},
		"store_fails_until_lately": {9 * time.Second, 20 * time.Second, func(*fleet.Table) {}, false},
		"removed_again":            {20 * time.Second, 11 * time.Second, func(t *fleet.Table) { t.Remove("e", false, time.Now()) }, false},
		"peer_knows":               {20 * time.Second, 11 * time.Second, func(t *fleet.Table) { t.MarkLeaving("e", 5, time.Time{}) }, false},
		"has_said_so":              {20 * time.Second, 11 * time.Second, func(t *fleet.Table) { t.MarkDeparted("e", 5, time.Time{}) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, upstream.Settings{}) })
			table.Put(entry(0))
			table.Remove("e", true, time.Now())
			table.ReplaceAll([]fleet.Entry{entry(1)}, false, time.Now())
			table.ReplaceAll([]fleet.Entry{entry(1)}, true, time.Now())
			c.between(table)
			must.SliceEmpty(t, table.Service("s"))
			now := time.Now().Add(c.after)
			healthySince := time.Time{}
			if c.healthyFor > 0 {
				healthySince = now.Add(-c.healthyFor)
			}
			table.UseRelisted(healthySince, now)
			must.Eq(t, c.isUsed, len(table.Service("s")) == 1)
			if name != "removed_again" {
				table.ReplaceAll([]fleet.Entry{entry(1)}, true, now) // the next list shows the same entry
			}
			must.Eq(t, c.isUsed, len(table.Service("s")) == 1)
		})
	}
}
