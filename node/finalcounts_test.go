package node

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/trefoillug/trefoillug/clock"
	"github.com/trefoillug/trefoillug/lease"
	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/usage"
)

// Guards against counts that count as confirmed before a peer has them, against other counts that take the place of the
// final ones of a window, against peers that are asked without a pause, and against counts that are kept for good.
func TestFinalCountsTable_Cases(t *testing.T) {
	var table finalCountsTable
	now := time.Now()
	must.False(t, table.beginSending(7, now))
	table.set(7, usage.Counts{"w": 3})
	table.set(7, usage.Counts{"w": 4})
	counts, known, isConfirmed := table.get(7)
	must.True(t, known)
	must.False(t, isConfirmed)
	must.Eq(t, usage.Counts{"w": 3}, counts)
	must.True(t, table.beginSending(7, now))
	must.False(t, table.beginSending(7, now.Add(finalCountsRetry/2)))
	must.True(t, table.beginSending(7, now.Add(finalCountsRetry)))
	table.confirm(7, usage.Counts{"w": 5}) // of an earlier holder
	counts, _, _ = table.get(7)
	must.Eq(t, usage.Counts{"w": 5}, counts)
	table.confirm(7, usage.Counts{"w": 6})
	counts, _, _ = table.get(7)
	must.Eq(t, usage.Counts{"w": 5}, counts)
	_, _, isConfirmed = table.get(7)
	must.True(t, isConfirmed)
	must.False(t, table.beginSending(7, now.Add(time.Minute)))
	table.set(7+keptReportedWindows, usage.Counts{})
	_, known, _ = table.get(7)
	must.True(t, known)
	table.set(8+keptReportedWindows, usage.Counts{})
	_, known, _ = table.get(7)
	must.False(t, known)
}

// usageReports records the counts that were reported.
type usageReports struct {
	DutyAPI
	counts []usage.Counts
}

func (r *usageReports) ReportUsage(_ context.Context, _, _ uint64, counts usage.Counts) error {
	r.counts = append(r.counts, counts)
	return nil
}

// Guards against counts that only their holder has, which reaches the store and the API but no peer, and that are reported
// while a successor could still report others after a restore of the store. They are reported at the end of the due time.
func TestReportWindow_HolderCutOffFromPeers(t *testing.T) {
	log, _ := test.NewNullLogger()
	store, api := &records{objects: map[string]objstore.Object{}}, &usageReports{}
	mesh, err := peer.New(peer.Settings{Self: peer.Member{ID: "a", Address: "127.0.0.1:1"}, Transport: peer.NewWebSocket(), Log: log})
	must.NoError(t, err)
	mesh.Start()
	t.Cleanup(mesh.Close)
	n := &Node{
		settings: Settings{Name: "a", UsageDueTime: 20 * time.Second}, log: log, metrics: newMetrics(), mesh: mesh, usage: usage.NewCounter(time.Second),
		members: newMembership("a", time.Now()), wall: clock.NewWall(), platform: Platform{Records: store, API: api},
	}
	n.members.update([]peer.Member{{ID: "a"}, {ID: "b"}}, time.Now())
	window := n.usage.Window(n.wall.Now()) - 1
	n.usage.CountStarted("w", n.usage.End(window-1))
	grants := lease.New(lease.Settings{
		Store: &records{objects: map[string]objstore.Object{}}, Duty: "d", Candidate: "a", Process: 1, Members: func() []string { return []string{"a"} },
	})
	must.NoError(t, grants.Step(t.Context()))
	grant, held := grants.Held()
	must.True(t, held)
	d := &duties{n: n, lease: grants, token: grant.Token, reported: map[uint64]bool{}}
	must.ErrorIs(t, d.reportWindow(t.Context(), window), errCountsSpreading)
	must.SliceEmpty(t, api.counts)
	n.settings.UsageDueTime = usageDueMargin + unconfirmedMargin
	must.NoError(t, d.reportWindow(t.Context(), window))
	must.Eq(t, []usage.Counts{{"w": 1}}, api.counts)
}

// Guards against a holder that reports its own counts of a window though a peer knows those that an earlier holder reported.
func TestHandleFinalCounts_KnownAreKept(t *testing.T) {
	log, _ := test.NewNullLogger()
	mesh, err := peer.New(peer.Settings{Self: peer.Member{ID: "a", Address: "127.0.0.1:1"}, Transport: peer.NewWebSocket(), Log: log})
	must.NoError(t, err)
	mesh.Start()
	t.Cleanup(mesh.Close)
	n := &Node{log: log, mesh: mesh}
	for _, counts := range []usage.Counts{{"w": 3}, {"w": 4}} {
		reply, err := n.handleFinalCounts(finalCountsFact{Window: 7, Counts: counts})
		must.NoError(t, err)
		must.Eq(t, usage.Counts{"w": 3}, reply.Counts)
	}
}
