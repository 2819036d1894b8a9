package feed_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/era"
	"github.com/trefoillug/trefoillug/feed"
)

// newModelClient returns a client of a process whose messages take a millisecond.
func newModelClient(s *modelStore, tracker *era.Tracker) *modelClient {
	return &modelClient{
		store: s, eras: tracker, pageSize: 100, onList: func() {}, rng: rand.New(rand.NewPCG(1, 0)), changed: make(chan struct{}),
	}
}

// startModelFeed starts a feed that ends with the test.
func startModelFeed(t *testing.T, client *modelClient) (*feed.Feed, *modelHandler) {
	h := &modelHandler{newest: map[string]feed.Object{}}
	f := feed.New(feed.Settings{Kind: "k", Store: client, Handler: h, Log: silentLog(), Eras: client.eras, Wait: func() time.Duration { return time.Second }})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return f, h
}

// Guards against an object that is set back within an era: the store was restored after a notification had cancelled the
// watch, before the connection of the list was opened, and its revisions have passed those of the feed.
func TestFeed_OlderObjectShowsRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &modelStore{revision: 1, changed: make(chan struct{})}
		s.update(func() { s.write("a", "first") })
		client := newModelClient(s, era.NewTracker())
		f, h := startModelFeed(t, client)
		time.Sleep(1500 * time.Millisecond)
		s.update(func() { s.write("a", "lost") })
		time.Sleep(100 * time.Millisecond)
		client.set(func() { client.link = linkHanging })
		f.NotifyChangeIn(0, 9)
		time.Sleep(300 * time.Millisecond) // the watch has been cancelled
		s.restore(2, 0, false)
		s.update(func() { s.write("b", "1"); s.write("b", "2") })
		client.set(func() { client.link = linkOpen })
		time.Sleep(time.Second)
		must.Eq(t, 1, client.eras.Number())
		h.mu.Lock()
		defer h.mu.Unlock()
		must.SliceEmpty(t, h.faults)
		must.Eq(t, "a@2=first b@4=2 ", describe(h.objects))
	})
}
