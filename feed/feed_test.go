package feed_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/feed"
)

var errDown = errors.New("down")

// store is a store of one kind with faults that the test injects.
type store struct {
	mu         sync.Mutex
	revision   uint64
	run        int // raised when the store is restored
	events     []feed.Event
	objects    map[string]feed.Object
	down       bool
	stalled    bool   // watches return no changes
	floor      uint64 // watches from before this revision fail
	lists      int
	watches    int
	mayBeStale bool // the newest watch may be stale
	changed    chan struct{}
}

func newStore() *store {
	return &store{objects: map[string]feed.Object{}, changed: make(chan struct{})}
}

func (s *store) update(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
	close(s.changed)
	s.changed = make(chan struct{})
}

// counts returns the numbers of calls so far.
func (s *store) counts() (lists, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists, s.watches
}

func (s *store) listed() int {
	lists, _ := s.counts()
	return lists
}

func (s *store) newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// names returns the sorted names of all objects.
func (s *store) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects))
}

func (s *store) put(name, spec string) {
	s.update(func() {
		s.revision++
		o := feed.Object{Name: name, Revision: s.revision, Spec: []byte(spec)}
		s.objects[name] = o
		s.events = append(s.events, feed.Event{Object: o})
	})
}

func (s *store) remove(name string) {
	s.update(func() {
		s.revision++
		o := s.objects[name]
		o.Revision = s.revision
		delete(s.objects, name)
		s.events = append(s.events, feed.Event{Object: o, Deleted: true})
	})
}

func (s *store) List(context.Context, string) ([]feed.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errDown
	}
	s.lists++
	var all []feed.Object
	for _, o := range s.objects {
		all = append(all, o)
	}
	return all, s.revision, nil
}

func (s *store) Watch(ctx context.Context, w feed.Watch) ([]feed.Event, uint64, error) {
	after := w.After
	timer := time.NewTimer(w.Wait)
	defer timer.Stop()
	s.mu.Lock()
	s.watches++
	s.mayBeStale = w.MayBeStale
	s.mu.Unlock()
	for {
		s.mu.Lock()
		down, stalled, floor, changed, revision := s.down, s.stalled, s.floor, s.changed, s.revision
		var events []feed.Event
		for _, e := range s.events {
			if e.Object.Revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			return nil, 0, errDown
		case after < floor || after > revision:
			return nil, 0, feed.ErrHistoryExpired
		case len(events) > 0 && !stalled:
			return events, revision, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// recorder records what the feed passed on.
type recorder struct {
	mu        sync.Mutex
	names     []string
	unsettled int    // removals while the store had not been healthy for long
	onApply   func() // called for each event; may be nil
}

func (r *recorder) Replace(objects []feed.Object, settled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = nil
	for _, o := range objects {
		r.names = append(r.names, o.Name)
	}
	if !settled {
		r.unsettled++
	}
}

func (r *recorder) Apply(e feed.Event, settled bool) {
	if r.onApply != nil {
		r.onApply()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = slices.DeleteFunc(r.names, func(n string) bool { return n == e.Object.Name })
	if !e.Deleted {
		r.names = append(r.names, e.Object.Name)
	} else if !settled {
		r.unsettled++
	}
}

func (r *recorder) now() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.names)
	slices.Sort(out)
	return out
}

func start(t *testing.T, s *store, peer func(context.Context, string, uint64) (*feed.Copy, error)) (*feed.Feed, *recorder) {
	return startWith(t, s, feed.Settings{FetchFromPeer: peer})
}

// startWith starts a feed of the store with the given settings.
func startWith(t *testing.T, s *store, settings feed.Settings) (*feed.Feed, *recorder) {
	f, r := newFeed(s, settings)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, r
}

// newFeed returns a feed of the store that passes its changes to the recorder. Its Run is not called yet.
func newFeed(s feed.Store, settings feed.Settings) (*feed.Feed, *recorder) {
	if fake, ok := s.(*store); ok {
		s = &connection{store: fake}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &recorder{}
	settings.Kind, settings.Store, settings.Handler, settings.Log = "k", s, r, log
	return feed.New(settings), r
}

// Guards against changes that are missed or applied late while the store is healthy, and against needless lists.
func TestFeed_FollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		_, r := start(t, s, nil)
		time.Sleep(5 * time.Second)
		s.put("b", "1")
		s.remove("a")
		time.Sleep(10 * time.Millisecond)
		must.Eq(t, []string{"b"}, r.now())
		must.Eq(t, 0, r.unsettled)
		must.Eq(t, 1, s.lists)
	})
}

// Guards against a removal around an outage that is treated as final.
func TestFeed_RemovalAfterOutageIsUnsettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		_, r := start(t, s, nil)
		time.Sleep(5 * time.Second)
		s.update(func() { s.down = true })
		time.Sleep(4 * time.Second)
		s.remove("a")
		s.update(func() { s.down = false })
		time.Sleep(2 * time.Second)
		must.Eq(t, 0, len(r.now()))
		must.Eq(t, 1, r.unsettled)
	})
}

// Guards against changes that are lost when the store drops its history.
func TestFeed_ListsAgainWhenHistoryIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		_, r := start(t, s, nil)
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		s.stalled = true
		s.mu.Unlock()
		s.remove("a")
		s.put("b", "1")
		s.update(func() { s.stalled, s.floor = false, s.revision })
		time.Sleep(10 * time.Millisecond)
		must.Eq(t, []string{"b"}, r.now())
		must.Eq(t, 0, r.unsettled)
	})
}

// Guards against a stalled watch that hides a change which a peer has reported, and against repeated lists.
func TestFeed_NotificationReplacesStalledWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		f, r := start(t, s, nil)
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		s.stalled = true
		s.mu.Unlock()
		s.put("b", "1")
		s.mu.Lock()
		newest := s.revision
		s.mu.Unlock()
		for range 20 {
			f.NotifyChange(newest + 1) // the peer's revision of a deletion may lie above that of any object
			time.Sleep(100 * time.Millisecond)
		}
		must.Eq(t, []string{"a", "b"}, r.now())
		must.Eq(t, 2, s.lists)
	})
}

// Guards against an instance without objects while the store rejects its calls and serves its peers.
func TestFeed_UsesCopyFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.down = true
		other := &feed.Copy{Revision: 9, NewestChange: 7, Objects: []feed.Object{{Name: "x", Revision: 7}}}
		f, r := start(t, s, func(_ context.Context, _ string, after uint64) (*feed.Copy, error) {
			if other.NewestChange <= after {
				return nil, nil
			}
			return other, nil
		})
		time.Sleep(3 * time.Second)
		must.Eq(t, []string{"x"}, r.now())
		<-f.Ready()
		must.Eq(t, 7, f.NewestChange())
		other = &feed.Copy{Revision: 12, NewestChange: 11, Objects: []feed.Object{{Name: "y", Revision: 11}}}
		f.NotifyChange(11)
		time.Sleep(3 * time.Second)
		must.Eq(t, []string{"y"}, r.now())
	})
}

// Guards against a waiting watch that does not return a change until the next change, while the store drops the
// history meanwhile.
func TestFeed_ShortWaitFindsDroppedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		_, r := startWith(t, s, feed.Settings{Wait: func() time.Duration { return time.Second }})
		time.Sleep(5*time.Second + 500*time.Millisecond)
		s.mu.Lock() // without waking a watch
		s.revision++
		s.objects["b"] = feed.Object{Name: "b", Revision: s.revision}
		s.floor = s.revision
		s.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, []string{"a", "b"}, r.now())
	})
}

// Guards against listing in a tight loop after a deletion raised the recorded revision above that of all objects.
func TestFeed_DroppedHistoryAfterDeletionListsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		s.put("b", "1")
		_, r := start(t, s, nil)
		time.Sleep(5 * time.Second)
		s.remove("b")
		time.Sleep(time.Second)
		s.update(func() { s.revision++; s.floor = s.revision })
		time.Sleep(time.Minute)
		must.Eq(t, []string{"a"}, r.now())
		must.Less(t, 4, s.lists)
	})
}

// Guards against a paced feed that receives the endpoints of a reclaimed failure domain one by one, and against a
// number of calls that grows with the number of changes.
func TestFeed_PaceBoundsCallsAndDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		_, r := startWith(t, s, feed.Settings{Pace: func() time.Duration { return time.Second }})
		time.Sleep(5 * time.Second)
		for i := range 28 { // the endpoints of a failure domain within 28 ms
			s.put(strconv.Itoa(i), "draining")
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		must.Len(t, 29, r.now())
		_, before := s.counts()
		for i := range 1000 { // changes for 10 s
			s.put("b", strconv.Itoa(i))
			time.Sleep(10 * time.Millisecond)
		}
		_, after := s.counts()
		must.LessEq(t, 13, after-before)
		s.put("c", "1")
		time.Sleep(1100 * time.Millisecond)
		must.SliceContains(t, r.now(), "c")
		must.Eq(t, 1, s.listed())
	})
}

// Guards against a feed that lists all objects because a peer was faster while its own watch paused to keep its pace,
// and against one that mistakes a stalled watch for a paused one.
func TestFeed_NotificationDuringPacePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		f, r := startWith(t, s, feed.Settings{Pace: func() time.Duration { return time.Second }})
		time.Sleep(5 * time.Second)
		for i := range 8 {
			s.put("a", strconv.Itoa(i))
			time.Sleep(60 * time.Millisecond)
		}
		f.NotifyChange(s.newest())
		time.Sleep(1200 * time.Millisecond)
		must.Eq(t, 1, s.listed())
		s.mu.Lock()
		s.stalled = true
		s.mu.Unlock()
		s.put("b", "1")
		f.NotifyChange(s.newest())
		time.Sleep(1200 * time.Millisecond)
		must.SliceContains(t, r.now(), "b")
		must.Eq(t, 2, s.listed())
	})
}

// Guards against a partitioned instance that stays in a long watch which does not return a change.
func TestFeed_LimitWaitEndsLongWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		var short atomic.Bool
		f, r := startWith(t, s, feed.Settings{Wait: func() time.Duration {
			if short.Load() {
				return time.Second
			}
			return feed.MaxWait
		}})
		time.Sleep(5 * time.Second)
		s.mu.Lock() // without waking a watch
		s.revision++
		s.objects["b"] = feed.Object{Name: "b", Revision: s.revision}
		s.floor = s.revision
		s.mu.Unlock()
		short.Store(true)
		for range 10 {
			f.LimitWait(time.Second)
			time.Sleep(100 * time.Millisecond)
		}
		must.SliceContains(t, r.now(), "b")
		_, watches := s.counts()
		must.LessEq(t, 4, watches)
	})
}

// Guards against a feed that lists all objects because a watch that may be stale is behind, and against one that
// keeps such a watch when nobody notifies it of urgent changes any more.
func TestFeed_WatchThatMayBeStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		var notified atomic.Bool
		notified.Store(true)
		f, r := startWith(t, s, feed.Settings{MayBeStale: notified.Load})
		mayBeStale := func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.mayBeStale }
		time.Sleep(time.Second)
		must.True(t, mayBeStale())
		s.mu.Lock()
		s.stalled = true // the answer is behind
		s.mu.Unlock()
		s.put("b", "1")
		f.NotifyChange(s.newest())
		time.Sleep(4 * time.Second)
		must.Eq(t, 1, s.listed())
		time.Sleep(2 * time.Second) // stalled for too long
		must.Eq(t, []string{"a", "b"}, r.now())
		notified.Store(false)
		f.CancelStaleWatch()
		time.Sleep(100 * time.Millisecond)
		must.False(t, mayBeStale())
	})
}

// Guards against a change that a peer has reported, such as an endpoint that leaves, and that waits for the end of a pause
// between calls while the store fails.
func TestFeed_PeerChangeDuringRetryPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		var revision atomic.Uint64
		f, r := start(t, s, func(context.Context, string, uint64) (*feed.Copy, error) {
			n := revision.Load()
			return &feed.Copy{Revision: n, NewestChange: n, Objects: []feed.Object{{Name: strconv.FormatUint(n, 10), Revision: n}}}, nil
		})
		time.Sleep(5 * time.Second)
		s.update(func() { s.down = true })
		time.Sleep(10 * time.Second)
		for n := uint64(10); n < 40; n++ {
			revision.Store(n)
			f.NotifyChange(n)
			time.Sleep(160 * time.Millisecond)
			must.Eq(t, []string{strconv.FormatUint(n, 10)}, r.now())
		}
	})
}
