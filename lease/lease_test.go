package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/objstore"
)

// fakeStore is an in-memory object store with one object.
type fakeStore struct {
	mu     sync.Mutex
	object objstore.Object
	writes int
	// skipsUnchanged makes a write of the same value keep its version, as some stores do.
	skipsUnchanged bool
}

func (s *fakeStore) put(value []byte, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.object.Version != ifVersion {
		return 0, objstore.ErrConflict
	}
	if s.skipsUnchanged && string(value) == string(s.object.Value) {
		return ifVersion, nil
	}
	s.object = objstore.Object{Version: ifVersion + 1, Value: value}
	return ifVersion + 1, nil
}

// faults are injected into one candidate's access to the store. The pauses stop the candidate before or after a write.
type faults struct {
	down, lost, late        bool
	pauseBefore, pauseAfter time.Duration
}

// client gives one candidate access to a fakeStore.
type client struct {
	objstore.Store // nil; for the methods that are not called
	store          *fakeStore
	mu             sync.Mutex
	f              faults
}

func (c *client) set(f faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.f = f
}

func (c *client) faults() faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.f
}

func (c *client) Get(context.Context, string) (objstore.Object, error) {
	time.Sleep(2 * time.Millisecond)
	if c.faults().down {
		return objstore.Object{}, objstore.ErrUnavailable
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.store.object.Version == 0 {
		return objstore.Object{}, objstore.ErrNotFound
	}
	return c.store.object, nil
}

func (c *client) Put(_ context.Context, _ string, value []byte, ifVersion uint64) (uint64, error) {
	f := c.faults()
	time.Sleep(f.pauseBefore + 2*time.Millisecond)
	if f.down {
		return 0, objstore.ErrUnavailable
	}
	if f.late {
		time.AfterFunc(3*time.Second, func() { _, _ = c.store.put(value, ifVersion) })
		return 0, objstore.ErrUnknownResult
	}
	version, err := c.store.put(value, ifVersion)
	time.Sleep(f.pauseAfter)
	if f.lost {
		return 0, objstore.ErrUnknownResult
	}
	return version, err
}

// fleet runs candidates and checks, every 100 ms of virtual time, that at most one holds the lease, that no token is
// held by two candidates and that tokens rise.
type fleet struct {
	t             *testing.T
	store         *fakeStore
	clients       []*client
	leases        []*Lease
	token         uint64 // highest one held so far
	lastHolder    int    // candidate that holds or held that token
	withoutHolder time.Duration
}

func newFleet(t *testing.T, n int, ids ...string) *fleet {
	f := &fleet{t: t, store: &fakeStore{}, lastHolder: -1}
	ctx, cancel := context.WithCancel(t.Context())
	for i := len(ids); i < n; i++ {
		ids = append(ids, fmt.Sprint("i", i))
	}
	var running sync.WaitGroup
	for i := range n {
		f.clients = append(f.clients, &client{store: f.store})
		lease := New(Settings{
			Store: f.clients[i], Duty: "pool", Candidate: ids[i], Process: uint64(i), Members: func() []string { return ids },
		})
		f.leases = append(f.leases, lease)
		running.Go(func() { lease.Run(ctx, func(error) {}) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	return f
}

const checkInterval = 100 * time.Millisecond

func (f *fleet) run(d time.Duration) {
	for range int(d / checkInterval) {
		time.Sleep(checkInterval)
		f.check()
	}
}

func (f *fleet) check() {
	held := 0
	for i, l := range f.leases {
		g, ok := l.Held()
		if !ok {
			continue
		}
		held++
		must.True(f.t, g.Token > f.token || (g.Token == f.token && f.lastHolder == i), must.Sprint("token ", g.Token, " after ", f.token))
		f.token, f.lastHolder = g.Token, i
	}
	must.LessEq(f.t, 1, held, must.Sprint("several candidates hold the lease"))
	if held == 0 {
		f.withoutHolder += checkInterval
	}
}

// waitForHolder waits until a candidate holds the lease, and returns that candidate. The test fails if there is none
// within the given time.
func (f *fleet) waitForHolder(within time.Duration) int {
	f.t.Helper()
	for range int(within / checkInterval) {
		f.run(checkInterval)
		if _, ok := f.leases[max(0, f.lastHolder)].Held(); ok {
			return f.lastHolder
		}
	}
	f.t.Fatalf("no candidate acquired the lease within %s", within)
	return 0
}

// Guards against candidates that start together and compete for the lease with conflicting writes.
func TestLease_FewWritesWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.run(4 * time.Minute)
		must.EqOp(t, uint64(1), f.token)
		must.LessEq(t, 50, f.store.writes)
	})
}

// Guards against a holder that is paused before or after the write of a renewal and still holds the lease when it
// resumes after the end of its term.
func TestLease_PausedHolder(t *testing.T) {
	for _, pause := range []faults{{pauseBefore: time.Minute}, {pauseAfter: time.Minute}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3)
			paused := f.waitForHolder(5 * time.Second)
			f.clients[paused].set(pause)
			f.run(50 * time.Second)
			must.NotEq(t, paused, f.lastHolder)
			f.clients[paused].set(faults{})
			f.run(time.Minute)
			must.EqOp(t, uint64(2), f.token)
			_, err := f.leases[paused].Revalidate(t.Context())
			must.ErrorIs(t, err, ErrNotHeld)
		})
	}
}

// Guards against a holder that keeps the lease until a successor may acquire it when only the holder, or every
// candidate, cannot reach the store, and against a lease that stays without a holder afterwards.
func TestLease_HolderPartitionAndStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		first := f.waitForHolder(5 * time.Second)
		f.clients[first].set(faults{down: true})
		f.run(DefaultTerm - DefaultMargin)
		_, ok := f.leases[first].Held()
		must.False(t, ok)
		second := f.waitForHolder(DefaultTerm)
		must.NotEq(t, first, second)
		for _, c := range f.clients {
			c.set(faults{down: true})
		}
		f.run(time.Minute)
		_, ok = f.leases[second].Held()
		must.False(t, ok)
		for _, c := range f.clients {
			c.set(faults{})
		}
		f.waitForHolder(DefaultTerm)
	})
}

// Guards against losing the lease, or having two holders, when the responses of writes are lost or writes take effect
// late.
func TestLease_LostResponses(t *testing.T) {
	for _, fault := range []faults{{lost: true}, {late: true}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3)
			for _, c := range f.clients {
				c.set(fault)
			}
			f.waitForHolder(2 * DefaultTerm)
			f.withoutHolder = 0
			f.run(5 * time.Minute)
			must.Less(t, time.Minute, f.withoutHolder)
			if fault.lost {
				must.EqOp(t, uint64(1), f.token)
			}
		})
	}
}

// Guards against candidates that wait for the end of the term after the holder has released the lease, and against a
// successor with a wrong end of the previous term.
func TestLease_Release(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		first := f.waitForHolder(5 * time.Second)
		must.NoError(t, f.leases[first].Release(t.Context()))
		releasedAt := time.Now()
		f.clients[first].set(faults{down: true})
		second := f.waitForHolder(DefaultTerm)
		g, _ := f.leases[second].Held()
		must.True(t, g.PreviousEnd.Sub(releasedAt) >= DefaultTerm)
	})
}

// Guards against two holders or a repeated token under random faults, also with several processes of one instance.
func TestLease_RandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			f := newFleet(t, 4, "i0", "i1", "i0", "i0")
			for range 40 {
				c := f.clients[rng.IntN(len(f.clients))]
				seconds := time.Duration(rng.IntN(30)) * time.Second
				c.set([]faults{{}, {}, {down: true}, {lost: true}, {late: true}, {pauseBefore: seconds}, {pauseAfter: seconds}}[rng.IntN(7)])
				f.run(time.Duration(rng.IntN(20)) * time.Second)
			}
			for _, c := range f.clients {
				c.set(faults{})
			}
			f.run(2 * time.Minute)
			f.withoutHolder = 0
			f.run(time.Minute)
			must.EqOp(t, 0, f.withoutHolder, must.Sprint("seed ", seed))
		})
	}
}

// Guards against a lease that expires because its renewals do not change the record and the store keeps the version of
// an unchanged value.
func TestLease_RenewalChangesRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{skipsUnchanged: true}
		l := New(Settings{Store: &client{store: store}, Duty: "d", Candidate: "a", Process: 1, Members: func() []string { return []string{"a"} }})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); l.Run(ctx, func(err error) { t.Log(err) }) }()
		time.Sleep(DefaultTerm)
		first, held := l.Held()
		must.True(t, held)
		for range 40 {
			time.Sleep(time.Second)
			grant, held := l.Held()
			must.True(t, held)
			must.Eq(t, first.Token, grant.Token)
		}
		cancel()
		<-done
	})
}
