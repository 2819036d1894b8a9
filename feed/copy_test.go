package feed_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/feed"
)

// member is an instance that follows a store, which may be cut off from it, and asks a peer for copies.
type member struct {
	*store
	cut    atomic.Bool
	feed   atomic.Pointer[feed.Feed]
	seen   *recorder
	stop   context.CancelFunc
	ended  chan struct{}
	helper func() *member // the peer that it asks
	old    bool           // its copies are those of a release that leaves removals out after a restart
}

func (m *member) List(ctx context.Context, kind string) ([]feed.Object, uint64, error) {
	if m.cut.Load() {
		return nil, 0, errDown
	}
	return m.store.List(ctx, kind)
}

func (m *member) Watch(ctx context.Context, w feed.Watch) ([]feed.Event, uint64, error) {
	if m.cut.Load() {
		return nil, 0, errDown
	}
	events, revision, err := m.store.Watch(ctx, w)
	if m.cut.Load() {
		return nil, 0, errDown
	}
	return events, revision, err
}

// changesWithoutRemovals returns the copy of the changes after a revision as an earlier release returned it after a restart.
func changesWithoutRemovals(whole *feed.Copy, after uint64) *feed.Copy {
	whole.DeletionsAfter, whole.Since = 0, after
	whole.Objects = slices.DeleteFunc(whole.Objects, func(o feed.Object) bool { return o.Revision <= after })
	return whole
}

// cutOff cuts the member off from the store, with its waiting watch.
func (m *member) cutOff() {
	m.cut.Store(true)
	m.update(func() {})
}

// start starts a new process of the member, which knows nothing.
func (m *member) start(t *testing.T) {
	f, seen := newFeed(m, feed.Settings{
		Wait: func() time.Duration { return time.Second },
		FetchFromPeer: func(_ context.Context, _ string, after uint64) (*feed.Copy, error) {
			h := m.helper()
			if h.old {
				return changesWithoutRemovals(h.feed.Load().Copy(0), after), nil
			}
			return h.feed.Load().Copy(after), nil
		},
	})
	m.feed.Store(f)
	m.seen = seen
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	m.stop, m.ended = cancel, ended
	go func() { defer close(ended); f.Run(ctx) }()
}

func (m *member) restart(t *testing.T) {
	m.end()
	m.start(t)
}

func (m *member) end() {
	m.stop()
	<-m.ended
}

// Guards against a removed object that an instance keeps for good, because it copied the changes since its last one from a
// peer that had not seen the removal and then watches from the revision of that copy.
func TestFeed_CopyFromPeerThatMissedRemoval(t *testing.T) {
	tests := map[string]func(t *testing.T, s *store, helper *member){
		"helper has just started": func(t *testing.T, s *store, helper *member) {
			s.remove("a")
			helper.restart(t)
		},
		"helper has listed again": func(t *testing.T, s *store, helper *member) {
			s.remove("new")
			s.update(func() { s.floor = s.revision })
			helper.cut.Store(false)
		},
		"helper has a copy of another that has just started": func(t *testing.T, s *store, helper *member) {
			s.remove("a")
			helper.cutOff()
			helper.restart(t)
			time.Sleep(2 * time.Second)
			helper.cut.Store(false)
		},
		"helper is of an earlier release": func(t *testing.T, s *store, helper *member) {
			s.remove("a")
			helper.old = true
		},
	}
	for name, trouble := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				s.put("a", "1")
				s.put("b", "1")
				helper, fresh, asking := &member{store: s}, &member{store: s}, &member{store: s}
				asking.helper = func() *member { return helper }
				helper.helper = func() *member { return fresh }
				fresh.helper = helper.helper
				for _, m := range []*member{helper, asking} {
					m.start(t)
					defer m.end()
				}
				time.Sleep(5 * time.Second)
				if name == "helper has listed again" {
					helper.cutOff()
					time.Sleep(time.Second)
				}
				s.put("new", "1") // the newest change that the asking instance has
				time.Sleep(time.Second)
				asking.cutOff()
				time.Sleep(time.Second)
				fresh.start(t)
				defer fresh.end()
				trouble(t, s, helper)
				time.Sleep(4 * time.Second)
				s.put("d", "1")
				time.Sleep(time.Second)
				asking.feed.Load().NotifyChange(helper.feed.Load().NewestChange())
				time.Sleep(2 * time.Second)
				must.Eq(t, helper.seen.now(), asking.seen.now())
				asking.cut.Store(false)
				time.Sleep(4 * time.Second)
				must.Eq(t, s.names(), asking.seen.now())
			})
		})
	}
}

// Guards against a copy between the events of one watch, which has the revision of the batch without all of its removals.
func TestFeed_CopyHoldsWholeBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		s.put("b", "1")
		var f *feed.Feed
		var copies []*feed.Copy
		f, r := newFeed(s, feed.Settings{})
		r.onApply = func() { copies = append(copies, f.Copy(2)) }
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); f.Run(ctx) }()
		time.Sleep(time.Second)
		s.mu.Lock() // one watch returns both
		s.revision += 2
		b := feed.Object{Name: "b", Revision: 3, Spec: []byte("2")}
		s.objects["b"] = b
		delete(s.objects, "a")
		s.events = append(s.events, feed.Event{Object: b}, feed.Event{Object: feed.Object{Name: "a", Revision: 4}, Deleted: true})
		s.mu.Unlock()
		s.update(func() {})
		time.Sleep(time.Second)
		cancel()
		<-ended
		must.Len(t, 2, copies)
		for _, c := range copies {
			must.NotNil(t, c)
			must.Eq(t, []string{"a"}, c.Deleted)
			must.Eq(t, 4, c.NewestChange)
		}
	})
}

// Guards against objects that differ between instances for good after cuts, restarts and lost history. SEED sets the seeds.
func TestFeed_MembersAgreeAfterTrouble(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	for seed := first * 40; seed < first*40+40; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { playTrouble(t, seed) }) })
	}
}

func playTrouble(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	s := newStore()
	s.put("first", "1")
	members := make([]*member, 3)
	for i := range members {
		var asked atomic.Int32 // asks the other two by turns
		members[i] = &member{store: s, helper: func() *member { return members[(i+1+int(asked.Add(1)%2))%3] }}
	}
	for _, m := range members {
		m.start(t)
		defer func() { m.end() }()
	}
	for range 200 {
		m, name := members[rng.IntN(3)], strconv.Itoa(rng.IntN(6))
		switch rng.IntN(10) {
		case 0, 1, 2:
			s.put(name, "1")
		case 3, 4:
			s.mu.Lock()
			_, exists := s.objects[name]
			s.mu.Unlock()
			if exists {
				s.remove(name)
			}
		case 5:
			m.cutOff()
		case 6, 7:
			m.cut.Store(false)
		case 8:
			m.restart(t)
		case 9:
			if rng.IntN(4) == 0 {
				s.update(func() { s.floor = s.revision })
			}
		}
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		for _, a := range members {
			for _, b := range members {
				a.feed.Load().NotifyChange(b.feed.Load().NewestChange())
			}
		}
	}
	for _, m := range members {
		m.cut.Store(false)
	}
	time.Sleep(10 * time.Second)
	for _, m := range members {
		must.Eq(t, s.names(), m.seen.now())
	}
}
