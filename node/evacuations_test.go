package node

import (
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/era"
	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/upstream"
)

// Guards against an evacuation that waits for this instance's own calls to the store, against one that a late report of a
// peer brings back after its end, and against one that ends because another change was read.
func TestEvacuations_ReportsOfPeers(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{log: log, metrics: newMetrics(), eras: era.NewTracker(), platform: Platform{
		Kinds:            Kinds{Evacuations: "evacuations"},
		DecodeEvacuation: func(o feed.Object) (string, error) { return o.Name, nil },
	}}
	n.fleet = fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, upstream.Settings{}) })
	n.evacuations = newEvacuations(n)
	n.feeds = map[string]*feed.Feed{"evacuations": feed.New(feed.Settings{Kind: "evacuations"})} // says nothing in this test
	newest := uint64(0)
	n.evacuations.newest = func() uint64 { return newest }
	inEffect := func(want ...string) {
		t.Helper()
		must.Eq(t, want, n.fleet.Evacuated())
	}
	apply := func(zone string, revision uint64, deleted bool) {
		newest = max(newest, revision)
		n.evacuations.Apply(feed.Event{Object: feed.Object{Name: zone, Revision: revision}, Deleted: deleted}, true)
	}
	begun := time.Now()
	must.False(t, n.evacuations.allowReady(begun))
	must.True(t, n.evacuations.allowReady(begun.Add(2*time.Second)))
	n.evacuations.receive(0, map[string]uint64{"a": 5})
	inEffect("a")
	must.MapEmpty(t, n.evacuations.report(0)) // not read yet
	newest = 5
	n.evacuations.Replace([]feed.Object{{Name: "a", Revision: 5}}, true)
	inEffect("a")
	n.evacuations.receive(0, map[string]uint64{"b": 7})
	inEffect("a", "b")
	apply("c", 6, false)
	inEffect("a", "b", "c")
	apply("b", 7, false)
	apply("b", 7, true)
	inEffect("a", "c")
	n.evacuations.receive(0, map[string]uint64{"b": 7}) // late
	inEffect("a", "c")
	must.Eq(t, map[string]uint64{"a": 5, "c": 6}, n.evacuations.report(0))
}

// Guards against a zone that stays evacuated because a peer reported it before the store was restored, although the store's list
// has no evacuation.
func TestEvacuations_ReportOfEarlierEra(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{log: log, metrics: newMetrics(), eras: era.NewTracker(), platform: Platform{
		Kinds:            Kinds{Evacuations: "evacuations"},
		DecodeEvacuation: func(o feed.Object) (string, error) { return o.Name, nil },
	}}
	n.fleet = fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, upstream.Settings{}) })
	n.feeds = map[string]*feed.Feed{n.platform.Kinds.Evacuations: feed.New(feed.Settings{Eras: n.eras, Log: log})}
	n.evacuations = newEvacuations(n)
	n.evacuations.receive(0, map[string]uint64{"a": 5})
	n.eras.Restored(0, era.CauseRevisions)
	n.evacuations.receive(1, nil)
	must.Eq(t, []string{"a"}, n.evacuations.inEffect)
	n.evacuations.Replace(nil, false)
	must.SliceEmpty(t, n.evacuations.inEffect)
	n.evacuations.receive(1, map[string]uint64{"b": 3})
	n.evacuations.Replace(nil, false)
	must.Eq(t, []string{"b"}, n.evacuations.inEffect)
}
