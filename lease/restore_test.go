package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/era"
	"github.com/trefoillug/trefoillug/objstore"
)

// restorableStore is a store with one object that can be restored from an older copy. Its versions are revisions of the
// whole store, so that they are given out again.
type restorableStore struct {
	mu       sync.Mutex
	revision uint64
	object   objstore.Object
	past     []pastState
	era      uint64
	run      uint64 // number of the process
	away     bool
}

type pastState struct {
	at       time.Time
	revision uint64
	object   objstore.Object
}

// raise raises the revision, as changes of other objects do.
func (s *restorableStore) raise(by uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(func() { s.revision += by })
}

// change makes a change that restore can undo. The caller holds s.mu.
func (s *restorableStore) change(fn func()) {
	s.past = append(s.past, pastState{time.Now(), s.revision, s.object})
	fn()
}

// restore is a drill: the store is away, and comes back as it was at a time.
func (s *restorableStore) restore(away, age time.Duration) {
	s.mu.Lock()
	s.away = true
	to := time.Now().Add(-age)
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.past) > 0 && s.past[len(s.past)-1].at.After(to) {
		last := s.past[len(s.past)-1]
		s.revision, s.object, s.past = last.revision, last.object, s.past[:len(s.past)-1]
	}
	s.away = false
	s.era++
	s.run++
}

// restorableClient gives one process access to a restorableStore.
type restorableClient struct {
	objstore.Store // nil; for the methods that are not called
	store          *restorableStore
	eras           *era.Tracker
	statesEra      bool
	mu             sync.Mutex
	frozenUntil    time.Time
	run            uint64 // of the store, that the open connection leads to
	connections    uint64
	dead           bool
}

func (c *restorableClient) freeze(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozenUntil = time.Now().Add(d)
}

// thaw waits while the process is frozen.
func (c *restorableClient) thaw() {
	c.mu.Lock()
	d := time.Until(c.frozenUntil)
	c.mu.Unlock()
	time.Sleep(d)
}

func (c *restorableClient) opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connections
}

// reconnect opens another connection, as a call does while the others are in use.
func (c *restorableClient) reconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections++
}

func (c *restorableClient) isDead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead
}

// call calls the store and passes on what the answer says of its era.
func (c *restorableClient) call(fn func() error) error {
	c.thaw()
	call := c.eras.Begin()
	time.Sleep(2 * time.Millisecond)
	dead := c.isDead()
	c.store.mu.Lock()
	if c.store.away || dead {
		c.store.mu.Unlock()
		return objstore.ErrUnavailable
	}
	if c.run != c.store.run || c.connections == 0 {
		c.mu.Lock()
		c.run, c.connections = c.store.run, c.connections+1
		c.mu.Unlock()
	}
	err, answer := fn(), era.Answer{Stated: c.store.era, IsStated: c.statesEra}
	c.store.mu.Unlock()
	c.thaw()
	if changed := call.End(answer); changed != nil {
		return errors.Join(objstore.ErrUnknownResult, changed)
	}
	return err
}

func (c *restorableClient) Get(context.Context, string) (o objstore.Object, err error) {
	err = c.call(func() error {
		if o = c.store.object; o.Version == 0 {
			return objstore.ErrNotFound
		}
		return nil
	})
	return o, err
}

func (c *restorableClient) Put(_ context.Context, _ string, value []byte, ifVersion uint64) (version uint64, err error) {
	err = c.call(func() error {
		if c.store.object.Version != ifVersion {
			return objstore.ErrConflict
		}
		c.store.change(func() {
			c.store.revision++
			c.store.object = objstore.Object{Version: c.store.revision, Value: value}
		})
		version = c.store.revision
		return nil
	})
	return version, err
}

// process is a candidate that keeps nothing when it ends.
type process struct {
	client *restorableClient
	lease  *Lease
	cancel context.CancelFunc
	done   chan struct{}
}

// restorableFleet checks that no token is used by two processes, that tokens rise, and that two processes never hold the
// lease at the same time.
type restorableFleet struct {
	t         *testing.T
	store     *restorableStore
	statesEra bool
	ids       []string
	processes []*process
	starts    uint64
	highest   uint64
	users     map[uint64]*process // by token
	held      time.Duration
}

func newRestorableFleet(t *testing.T, statesEra bool) *restorableFleet {
	f := &restorableFleet{t: t, store: &restorableStore{revision: 1}, statesEra: statesEra, users: map[uint64]*process{}}
	for i := range 4 {
		f.ids = append(f.ids, fmt.Sprint("i", i))
	}
	f.processes = make([]*process, len(f.ids))
	for i := range f.ids {
		f.start(i)
	}
	return f
}

func (f *restorableFleet) start(i int) {
	f.starts++
	eras := era.NewTracker()
	p := &process{client: &restorableClient{store: f.store, eras: eras, statesEra: f.statesEra}, done: make(chan struct{})}
	p.lease = New(Settings{
		Store: p.client, Duty: "duties", Candidate: f.ids[i], Process: f.starts, Members: func() []string { return f.ids },
		Term: 4 * time.Second, Margin: 1500 * time.Millisecond, Stagger: 500 * time.Millisecond,
		Restores: &Restores{Eras: eras, IsFirstStart: f.starts <= uint64(len(f.ids)), Connections: p.client.opened, MinToken: func(uint64) uint64 {
			if s := eras.State(); s.IsStated {
				return s.Stated<<20 + 1
			}
			return uint64(time.Now().UnixMilli())
		}},
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	p.cancel = cancel
	go func() { defer close(p.done); p.run(ctx) }()
	f.processes[i] = p
}

// run is Lease.Run without the release at the end, which a killed process does not make.
func (p *process) run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = p.lease.Step(ctx) // an error is followed by the next step
		p.lease.wait(ctx)
		p.client.thaw()
	}
}

func (f *restorableFleet) kill(i int) {
	f.processes[i].cancel()
	f.processes[i].client.mu.Lock()
	defer f.processes[i].client.mu.Unlock()
	f.processes[i].client.dead = true
}

// run lets the candidates run for a time, with reports to each other as those of package node.
func (f *restorableFleet) run(d time.Duration) {
	for range int(d / checkInterval) {
		time.Sleep(checkInterval)
		f.check()
		for _, p := range f.processes {
			for _, other := range f.processes {
				if !p.isFrozen() && !other.isFrozen() {
					p.client.eras.Merge(other.client.eras.State())
					p.lease.RecordToken(other.lease.HighestToken())
				}
			}
		}
	}
}

func (p *process) isFrozen() bool {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	return time.Now().Before(p.client.frozenUntil)
}

func (f *restorableFleet) check() {
	holders := 0
	for _, p := range f.processes {
		g, ok := p.lease.Held()
		if !ok || p.isFrozen() {
			continue
		}
		holders++
		user := f.users[g.Token]
		must.True(f.t, user == nil || user == p, must.Sprint("token ", g.Token, " is used by two processes"))
		must.GreaterEq(f.t, f.highest, g.Token)
		f.highest, f.users[g.Token] = g.Token, p
	}
	must.LessEq(f.t, 1, holders, must.Sprint("several processes hold the lease"))
	if holders > 0 {
		f.held += checkInterval
	}
}

func (f *restorableFleet) holder() int {
	for i, p := range f.processes {
		if _, ok := p.lease.Held(); ok {
			return i
		}
	}
	return 0
}

// Guards against a fencing token that is granted twice, and against two holders, after the store has forgotten grants: the
// duties changed hands in the time that the copy lacks, and those who know of it may have died.
func TestLease_StoreRestoredFromCopy(t *testing.T) {
	for name, after := range map[string]func(*restorableFleet){
		"alone":         func(*restorableFleet) {},
		"holder_killed": func(f *restorableFleet) { f.restart(f.holder()) },
		"all_killed": func(f *restorableFleet) {
			for i := range f.ids {
				f.restart(i)
			}
		},
		"holder_frozen": func(f *restorableFleet) { f.processes[f.holder()].client.freeze(5 * time.Second) },
		"twice":         func(f *restorableFleet) { f.run(6 * time.Second); f.store.restore(time.Second, 9*time.Second) },
		"versions_again": func(f *restorableFleet) {
			f.store.raise(30)
			f.run(time.Second)
		},
	} {
		for era, statesEra := range map[string]bool{"era": true, "no_era": false} {
			t.Run(name+"/"+era, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newRestorableFleet(t, statesEra)
					f.run(5 * time.Second)
					f.restart(f.holder())
					f.run(8 * time.Second) // another one holds the lease
					f.store.restore(1500*time.Millisecond, 9*time.Second)
					after(f)
					f.run(20 * time.Second)
					must.Greater(t, 10*time.Second, f.held)
					f.end()
				})
			})
		}
	}
}

// restart kills a process, if it is not dead, and starts the next one.
func (f *restorableFleet) restart(i int) {
	f.kill(i)
	f.start(i)
}

func (f *restorableFleet) end() {
	for _, p := range f.processes {
		p.cancel()
	}
	time.Sleep(10 * time.Second) // a frozen process ends when it goes on
}

// Guards against tokens that are used twice, or fall, and against several holders, in random sequences of restores, kills
// and freezes. Of a fleet without a stated era not all processes are killed: their clocks are the same here.
func TestLease_RandomRestores(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 0))
				f := newRestorableFleet(t, seed%2 == 0)
				f.run(3 * time.Second)
				for range 40 {
					i := rng.IntN(len(f.ids))
					switch rng.IntN(6) {
					case 0:
						f.store.restore(time.Duration(rng.IntN(2500))*time.Millisecond, time.Duration(rng.IntN(9000))*time.Millisecond)
					case 1:
						f.restart(f.holder())
					case 2:
						f.processes[i].client.freeze(time.Duration(rng.IntN(7000)) * time.Millisecond)
					case 3:
						f.store.raise(uint64(rng.IntN(12)))
					case 4:
						f.restart(i)
					default:
						if rng.IntN(4) == 0 {
							for n := range f.ids {
								f.restart(n)
							}
						}
					}
					f.run(time.Duration(rng.IntN(4000)) * time.Millisecond)
				}
				f.end()
			})
		})
	}
}

// Guards against duties that nobody takes over for as long as connections to the store end now and then, as those of watches
// that are cut off do, although the store states its era in each answer and so shows that it has forgotten nothing.
func TestLease_TakenOverWhileConnectionsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestorableFleet(t, true)
		f.run(8 * time.Second)
		old := f.holder()
		f.kill(old)
		for range 10 {
			for _, p := range f.processes {
				p.client.reconnect()
			}
			f.run(3 * time.Second)
		}
		_, held := f.processes[f.holder()].lease.Held()
		must.True(t, held)
		must.NotEq(t, old, f.holder())
		f.end()
	})
}
