package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/upstream"
)

// scriptedStore answers lists and watches from channels.
type scriptedStore struct {
	lists   chan []feed.Object // the revision of a list is that of its last object
	watches chan []feed.Event
}

func (s scriptedStore) List(ctx context.Context, _ string) ([]feed.Object, uint64, error) {
	select {
	case objects := <-s.lists:
		revision := uint64(1)
		for _, o := range objects {
			revision = max(revision, o.Revision)
		}
		return objects, revision, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func (s scriptedStore) Watch(ctx context.Context, w feed.Watch) ([]feed.Event, uint64, error) {
	select {
	case events := <-s.watches:
		return events, w.After + 10, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// Guards against an evacuation that waits for this instance's own calls to the store, against one that a late report of a
// peer brings back after its end, and against one that ends because another change was read.
func TestEvacuations_ReportsOfPeers(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{log: log, metrics: newMetrics(), platform: Platform{
		Kinds:            Kinds{Evacuations: "evacuations"},
		DecodeEvacuation: func(o feed.Object) (string, error) { return o.Name, nil },
	}}
	n.fleet = fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, upstream.Settings{}) })
	n.evacuations = newEvacuations(n)
	store := scriptedStore{make(chan []feed.Object), make(chan []feed.Event)}
	f := feed.New(feed.Settings{Kind: "evacuations", Store: store, Handler: n.evacuations, Log: log})
	n.feeds = map[string]*feed.Feed{"evacuations": f}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	defer func() { cancel(); <-done }()
	inEffect := func(want ...string) {
		t.Helper()
		end := time.Now().Add(5 * time.Second)
		for len(n.fleet.Evacuated()) != len(want) && time.Now().Before(end) {
			time.Sleep(time.Millisecond)
		}
		must.Eq(t, want, append([]string(nil), n.fleet.Evacuated()...))
	}
	begun := time.Now()
	must.False(t, n.evacuations.allowReady(begun))
	must.True(t, n.evacuations.allowReady(begun.Add(2*time.Second)))
	n.evacuations.receive(map[string]uint64{"a": 5})
	inEffect("a")
	must.MapEmpty(t, n.evacuations.report()) // not read yet
	store.lists <- []feed.Object{{Name: "a", Revision: 5}}
	<-f.Ready()
	inEffect("a")
	must.True(t, n.evacuations.allowReady(begun))
	n.evacuations.receive(map[string]uint64{"b": 7})
	inEffect("a", "b")
	store.watches <- []feed.Event{{Object: feed.Object{Name: "c", Revision: 6}}}
	inEffect("a", "b", "c")
	store.watches <- []feed.Event{{Object: feed.Object{Name: "b", Revision: 7}}}
	store.watches <- []feed.Event{{Object: feed.Object{Name: "b", Revision: 7}, Deleted: true}}
	inEffect("a", "c")
	n.evacuations.receive(map[string]uint64{"b": 7}) // late
	inEffect("a", "c")
	must.Eq(t, map[string]uint64{"a": 5, "c": 6}, n.evacuations.report())
}
