package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/upstream"
)

// Guards against a cold time that grows each time its entry is read again, that ends with an entry written for another
// reason, that is missed when an endpoint becomes cold again, and against one that outlasts what a peer knows.
func TestEndpoint_ColdUntil(t *testing.T) {
	table := fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, upstream.Settings{}) })
	now := time.Now()
	put := func(revision uint64, left time.Duration) {
		e := fleet.Entry{ID: "e", Service: "s", Address: "127.0.0.1:1", Slots: 1, Revision: revision}
		if left > 0 {
			e.ColdUntil = now.Add(left)
		}
		table.Put(e)
	}
	put(5, 10*time.Second)
	e := table.Service("s")[0]
	left := func() time.Duration { return max(0, e.ColdUntil(now).Sub(now)) }
	must.Eq(t, 10*time.Second, left())
	put(5, 20*time.Second) // read again 10 s later
	must.Eq(t, 10*time.Second, left())
	put(6, 0)
	must.Eq(t, 10*time.Second, left())
	e.LimitCold(5, now) // a peer that knows another entry
	must.Eq(t, 10*time.Second, left())
	e.LimitCold(6, now.Add(time.Second))
	must.Eq(t, time.Second, left())
	e.LimitCold(6, now.Add(-time.Second))
	must.False(t, e.IsCold(now))
	put(7, 3*time.Second)
	must.Eq(t, 3*time.Second, left())
	e.RecordSignals(fleet.Signals{Cold: 5 * time.Second}, now)
	must.Eq(t, 5*time.Second, left())
	table.MarkCold("e", 1, time.Minute, now) // another lifetime
	must.Eq(t, 5*time.Second, left())
	table.MarkCold("e", 0, time.Minute, now)
	must.Eq(t, time.Minute, left())
	must.Eq(t, uint64(7), e.Revision())
}
