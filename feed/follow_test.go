package feed_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/feed"
)

// followers is a watcher of a store and a feed that follows it. The store counts the calls of both in one.
type followers struct {
	store             *store
	watcher, follower *feed.Feed
	applied           *recorder
	follows           atomic.Bool
	failing           atomic.Bool // the watcher does not answer the follower
	fetches           atomic.Int32
}

func startFollowers(t *testing.T, s *store) *followers {
	x := &followers{store: s}
	x.follows.Store(true)
	x.watcher, _ = startWith(t, s, feed.Settings{})
	time.Sleep(time.Second)
	x.follower, x.applied = startWith(t, s, feed.Settings{Follow: x.follows.Load, FetchFromPeer: func(ctx context.Context, _ string, after uint64) (*feed.Copy, error) {
		x.fetches.Add(1)
		if x.failing.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return x.watcher.Copy(after), nil
	}})
	time.Sleep(time.Second)
	return x
}

// run lets the watcher report to the follower for a time.
func (x *followers) run(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		x.follower.NotifyChange(x.watcher.NewestChange())
	}
}

// Guards against a follower that calls the store, misses or repeats a change, or asks for each change of a burst.
func TestFollow_ChangesWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		x := startFollowers(t, s)
		must.True(t, x.follower.IsFollowing())
		for i := range 20 {
			s.put(strconv.Itoa(i), "1")
		}
		s.remove("a")
		s.remove("7")
		s.put("7", "2")
		x.run(1400 * time.Millisecond)
		must.SliceNotContains(t, x.applied.now(), "a")
		must.SliceContains(t, x.applied.now(), "7")
		must.Len(t, 20, x.applied.now())
		must.Eq(t, 1, x.fetches.Load())
		must.Eq(t, x.watcher.NewestChange(), x.follower.NewestChange())
		s.remove("7")
		x.run(1400 * time.Millisecond)
		must.Len(t, 19, x.applied.now())
		lists, _ := s.counts()
		must.Eq(t, 2, lists) // one at the start of each
		before := x.fetches.Load()
		x.run(time.Minute)
		must.Eq(t, before, x.fetches.Load())
	})
}

// Guards against an object that was deleted and created anew between two fetches and seems to be the earlier one: a peer's
// notice of the deletion would stop its use for good.
func TestFollow_CreatedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		x := startFollowers(t, s)
		s.put("a", "2")
		x.run(1400 * time.Millisecond)
		must.Zero(t, x.applied.removals)
		s.remove("a")
		s.put("a", "2")
		x.run(1400 * time.Millisecond)
		must.Eq(t, 1, x.applied.removals)
		must.Eq(t, []string{"a"}, x.applied.now())
	})
}

// Guards against a change that is lost while a feed begins to follow or ends to: the watch and the copies must leave no
// gap between them.
func TestFollow_ChangesDuringSwitch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		x := startFollowers(t, s)
		for i := range 100 {
			s.put(strconv.Itoa(i), "1")
			x.run(time.Duration(i%7) * 100 * time.Millisecond)
			x.follows.Store(i%3 == 0)
			if i > 4 && i%5 == 0 {
				s.remove(strconv.Itoa(i - 3))
			}
		}
		x.follows.Store(false)
		x.run(500 * time.Millisecond)
		must.Len(t, len(s.objects), x.applied.now())
	})
}

// Guards against a follower that misses a change because its peers don't answer, and against one that keeps on asking
// them after it may no longer follow.
func TestFollow_PeersFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		x := startFollowers(t, s)
		x.failing.Store(true)
		s.put("a", "1")
		x.run(1900 * time.Millisecond)
		must.Eq(t, []string{"a"}, x.applied.now())
		lists, _ := s.counts()
		must.Eq(t, 3, lists)
		s.put("b", "1")
		x.run(200 * time.Millisecond)
		x.follows.Store(false)
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, []string{"a", "b"}, x.applied.now())
		must.False(t, x.follower.IsFollowing())
	})
}

// Guards against a follower that waits for its own watch, which has stalled, after a peer has reported a change.
func TestFollow_StalledWatchAfterFollowing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		x := startFollowers(t, s)
		s.put("a", "1")
		x.run(100 * time.Millisecond)
		s.update(func() { s.stalled = true })
		x.follows.Store(false)
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, []string{"a"}, x.applied.now())
	})
}

// Guards against endpoints that are removed at once because an outage of the store, which only the watchers see, let their
// entries expire.
func TestFollow_UnsettledCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		x := startFollowers(t, s)
		x.run(5 * time.Second)
		s.update(func() { s.down = true })
		x.run(time.Second)
		must.False(t, x.watcher.IsHealthy())
		s.update(func() { s.down = false })
		s.remove("a")
		x.run(2 * time.Second)
		must.Len(t, 0, x.applied.now())
		must.Eq(t, 1, x.applied.unsettled)
		must.False(t, x.follower.Copy(0).Settled)
	})
}

// Guards against a copy with changes only for a peer that has missed a deletion from before the copy's feed started.
func TestCopy_DeletionBeforeFirstList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		s.put("b", "1")
		s.remove("a")
		f, _ := startWith(t, s, feed.Settings{})
		time.Sleep(time.Second)
		must.Eq(t, 3, f.DeletionsAfter())
		s.put("c", "1")
		time.Sleep(time.Second)
		must.Zero(t, f.Copy(2).Since)
		must.Eq(t, 3, f.Copy(3).Since)
		must.Eq(t, 1, len(f.Copy(3).Objects))
	})
}
