package feed_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/feed"
)

// connection is a feed's connection to the store, which ends when the store is restored.
type connection struct {
	*store
	run int // of the store, that the connection leads to
}

func (c *connection) List(ctx context.Context, kind string) ([]feed.Object, uint64, error) {
	objects, revision, err := c.store.List(ctx, kind)
	if err == nil {
		c.run = c.store.currentRun()
	}
	return objects, revision, err
}

func (c *connection) Watch(ctx context.Context, w feed.Watch) ([]feed.Event, uint64, error) {
	run := c.store.currentRun()
	events, revision, err := c.store.Watch(ctx, w)
	switch {
	case err == nil && c.run != run:
		return nil, 0, feed.ErrDiscontinuous
	case err == nil && run != c.store.currentRun():
		return nil, 0, errDown // cut off
	}
	return events, revision, err
}

func (s *store) currentRun() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run
}

// restore replaces the store's state by a copy of itself at a revision, which it gives out again.
func (s *store) restore(revision uint64) {
	s.update(func() {
		s.events = slices.DeleteFunc(s.events, func(e feed.Event) bool { return e.Object.Revision > revision })
		s.objects = map[string]feed.Object{}
		for _, e := range s.events {
			if e.Deleted {
				delete(s.objects, e.Object.Name)
			} else {
				s.objects[e.Object.Name] = e.Object
			}
		}
		s.revision = revision
		s.run++
	})
}

// Guards against a feed that does not believe a store which was restored from an older copy, or goes on from a revision
// that the store has given out again for something else.
func TestFeed_StoreRestoredFromCopy(t *testing.T) {
	for name, c := range map[string]struct {
		away     time.Duration
		rewrites int // changes before the feed reaches the store again
		times    int
	}{
		"revisions_behind":                      {times: 1},
		"away,_revisions_behind":                {away: 1500 * time.Millisecond, rewrites: 1, times: 1},
		"away,_revisions_passed":                {away: 1500 * time.Millisecond, rewrites: 20, times: 1},
		"away,_revisions_passed,_twice":         {away: 1500 * time.Millisecond, rewrites: 20, times: 2},
		"away_for_long,_revisions_same":         {away: 20 * time.Second, rewrites: 6, times: 1},
		"away_for_long,_revisions_behind_twice": {away: 20 * time.Second, rewrites: 1, times: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				s.put("a", "1")
				s.put("gone", "1")
				_, r := start(t, s, nil)
				time.Sleep(5 * time.Second)
				for n := range c.times {
					copied := s.newest()
					for range 5 {
						s.put("lost", "1")
					}
					s.remove("gone")
					time.Sleep(time.Second)
					s.update(func() { s.down = c.away > 0 })
					s.restore(copied)
					s.remove("a")
					s.put("a", "2")
					for range c.rewrites {
						s.put("b", "2")
					}
					time.Sleep(c.away)
					s.update(func() { s.down = false })
					time.Sleep(2 * time.Second)
					s.put("c"+string(rune('0'+n)), "2")
					time.Sleep(10 * time.Millisecond)
					must.SliceContains(t, r.now(), "c"+string(rune('0'+n)))
					must.SliceContains(t, r.now(), "a")
					must.SliceContains(t, r.now(), "gone")
				}
				time.Sleep(10 * time.Second)
				must.Eq(t, slices.Sorted(maps.Keys(s.objects)), r.now())
			})
		})
	}
}
