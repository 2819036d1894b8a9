package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/trefoillug/trefoillug/fleet"
)

var leavingSignal = fleet.Signals{Leaving: true}

// Guards against an endpoint that comes back in a list that is older than its answer, and against a successor at its
// address, or with its ID, that gets no work.
func TestTable_DepartureOutlivesTheRow(t *testing.T) {
	table := newTable()
	table.Put(entry("a", "x:1", 5))
	a := table.Service("s")[0]
	a.RecordSignals(fleet.Signals{}, now)
	must.True(t, a.LeavingSince().IsZero())
	a.RecordSignals(leavingSignal, now.Add(time.Second))
	must.Len(t, 0, table.Service("s"))
	must.Eq(t, now.UnixNano(), a.LeavingSince().UnixNano())
	table.ReplaceAll(nil, true, now)
	must.Len(t, 0, table.All())
	table.ReplaceAll([]fleet.Entry{entry("a", "x:1", 5), entry("b", "x:2", 1)}, true, now)
	must.Len(t, 1, table.Service("s"))
	table.MarkDeparted("c", 7, time.Time{}) // a peer knows of it before this instance
	table.Put(entry("c", "x:3", 7))
	must.Len(t, 1, table.Service("s"))
	table.Put(entry("c", "x:3", 8))
	table.Put(entry("d", "x:1", 9))
	must.Len(t, 3, table.Service("s"))
	table.MarkLeaving("b", 1, time.Time{}) // removed from the list that a peer has
	table.Remove("b", true, now)
	table.Put(entry("b", "x:2", 1)) // its entry had only expired
	must.Len(t, 3, table.Service("s"))
}

// Guards against a statement of an endpoint that is not passed on, because a list or a notice has already stopped new work
// for it for the time being, and against one that is passed on with each answer.
func TestTable_SignalsAreNewOnce(t *testing.T) {
	for name, c := range map[string]struct {
		before func(table *fleet.Table)
		isNew  int
	}{
		"listed as ready":       {func(*fleet.Table) {}, 1},
		"notice of a removal":   {func(table *fleet.Table) { table.MarkLeaving("a", 1, time.Time{}) }, 1},
		"removed from the list": {func(table *fleet.Table) { table.Remove("a", true, now) }, 1},
		"peer knows it":         {func(table *fleet.Table) { table.MarkDeparted("a", 1, time.Time{}) }, 0},
	} {
		table, news := newTable(), 0
		table.OnSignal(func(_ *fleet.Endpoint, _ fleet.Signals, isNew bool) {
			if isNew {
				news++
			}
		})
		table.Put(entry("a", "x:1", 1))
		a := table.Service("s")[0]
		c.before(table)
		for range 3 {
			a.RecordSignals(leavingSignal, now)
		}
		must.Eq(t, c.isNew, news, must.Sprint(name))
	}
}

// Guards against departures that take memory without bound, and against dropping others than the oldest.
func TestTable_DeparturesAreBounded(t *testing.T) {
	table := newTable()
	const bound = 8192
	id := func(i int) string { return fmt.Sprintf("e%05d", i) }
	for i := range bound + 2 {
		table.MarkDeparted(id(i), 1, time.Time{})
	}
	for _, i := range []int{0, 1, 2, bound + 1} {
		table.Put(entry(id(i), fmt.Sprintf("x:%d", i), 1))
	}
	must.Len(t, 2, table.Service("s"))
	must.Eq(t, id(0), table.Service("s")[0].ID)
	must.Eq(t, id(1), table.Service("s")[1].ID)
}

// Guards against new work for a lifetime that has said that it is leaving, in any order of answers, notices, lists that
// may be old, and restarts; and against a lifetime that has not said so and is left out.
func TestTable_AnyOrderOfAnswersAndLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable()
		starts := map[string]int64{"a": 1, "b": 1, "c": 1}
		said := map[string]int64{} // by ID: latest lifetime that has said it
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			old := max(1, starts[id]-int64(rapid.IntRange(0, 1).Draw(t, "age")))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				starts[id]++
			case 1:
				for _, e := range table.All() {
					if e.ID == id {
						e.RecordSignals(leavingSignal, now)
						said[id] = max(said[id], e.StartedMs)
					}
				}
			case 2:
				table.MarkDeparted(id, old, time.Time{})
				said[id] = max(said[id], old)
			case 3:
				table.Remove(id, rapid.Bool().Draw(t, "settled"), now)
			case 4:
				table.Put(entry(id, "x:"+id, old))
			case 5:
				var list []fleet.Entry
				for other, started := range starts {
					list = append(list, entry(other, "x:"+other, started))
				}
				table.ReplaceAll(list, true, now)
				open := map[string]bool{}
				for _, e := range table.Service("s") {
					open[e.ID] = true
				}
				for other, started := range starts {
					must.Eq(t, started > said[other], open[other])
				}
			}
			for _, e := range table.Service("s") {
				must.Greater(t, said[e.ID], e.StartedMs)
			}
		}
	})
}

// instances returns the tables of the instances of a fleet that all list the same endpoints.
func instances(n, endpoints int) []*fleet.Table {
	var list []fleet.Entry
	for i := range endpoints {
		list = append(list, entry(fmt.Sprintf("e%03d", i), fmt.Sprintf("x:%d", i), 1))
	}
	tables := make([]*fleet.Table, n)
	for i := range tables {
		tables[i] = newTable()
		tables[i].ReplaceAll(list, true, now)
	}
	return tables
}

// Guards against work for the workers of a service that all leave within 30 ms, at instances that hear of it from
// answers only and read an old list meanwhile.
func TestFleet_ServiceLeavesAtOnce(t *testing.T) {
	for _, n := range []int{8, 195} {
		const endpoints = 20
		var old []fleet.Entry
		for _, e := range instances(1, endpoints)[0].Service("s") {
			old = append(old, e.Entry)
		}
		for k, table := range instances(n, endpoints) {
			said := map[string]bool{}
			for ms := range 200 {
				at := now.Add(time.Duration(ms) * time.Millisecond)
				if ms%50 == 10 {
					table.ReplaceAll(old, ms%100 == 10, at)
				}
				open := table.Service("s")
				if len(open) == 0 {
					continue
				}
				e := open[(ms+k)%len(open)]
				must.False(t, said[e.ID])
				var index int
				_, err := fmt.Sscanf(e.ID, "e%d", &index)
				must.NoError(t, err)
				if ms >= 30*index/endpoints {
					e.RecordSignals(leavingSignal, at)
					said[e.ID] = true
				}
			}
			must.Len(t, 0, table.Service("s"))
		}
	}
}
