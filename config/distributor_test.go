package config

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/peer"
)

// inForceBound is the maximum time, by guarantee G8, until a published revision is in force on all instances.
const inForceBound = 13 * time.Second

// fleet is a set of distributors on one fake store and one fake mesh.
type fleet struct {
	t             testing.TB
	store         *memStore
	net           *memNet
	timing        Timing
	checkInterval time.Duration // interval between checks of the revisions
	instances     []*instance
	wg            sync.WaitGroup
}

type instance struct {
	id    string
	d     *Distributor
	mesh  *memMesh
	store *instanceStore
	log   *logtest.Hook
	stop  context.CancelFunc

	mu      sync.Mutex
	applied []uint64
}

func newFleet(t testing.TB, n, domains int) *fleet {
	f := &fleet{t: t, store: newMemStore(), net: &memNet{latency: time.Millisecond, corrupt: map[string]bool{}}, timing: DefaultTiming(), checkInterval: 20 * time.Millisecond}
	t.Cleanup(f.stop)
	for i := range n {
		f.add(fmt.Sprintf("fd%d", i%domains))
	}
	return f
}

func (f *fleet) add(domain string) *instance {
	logger, hook := logtest.NewNullLogger()
	n := &instance{id: fmt.Sprintf("i%03d", len(f.instances)), store: &instanceStore{memStore: f.store}, log: hook}
	n.mesh = f.net.join(peer.Member{ID: n.id, FailureDomain: domain})
	n.d = NewDistributor(Options{
		Store: n.store, Mesh: n.mesh, Log: logger, Timing: f.timing, Seed: uint64(len(f.instances)),
		Apply: func(revision uint64, _ []*Service) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if len(n.applied) > 0 && revision <= slices.Max(n.applied) {
				f.t.Errorf("%s went from %v to revision %d", n.id, n.applied, revision)
			}
			n.applied = append(n.applied, revision)
		},
	})
	f.instances = append(f.instances, n)
	return n
}

func (f *fleet) run(instances ...*instance) {
	for _, n := range instances {
		ctx, cancel := context.WithCancel(context.Background())
		n.stop = cancel
		f.wg.Go(func() { n.d.Run(ctx) })
	}
}

// stop ends all distributors; a second call does nothing.
func (f *fleet) stop() {
	for _, n := range f.instances {
		if n.stop != nil {
			n.stop()
		}
	}
	f.wg.Wait()
}

// waitInForce waits until the revision is in force on all instances. It returns how long that took, and false if it
// took longer than bound.
func (f *fleet) waitInForce(revision uint64, bound time.Duration) (time.Duration, bool) {
	begin := time.Now()
	for time.Since(begin) <= bound {
		if len(f.behind(revision)) == 0 {
			return time.Since(begin), true
		}
		time.Sleep(f.checkInterval)
	}
	return bound, false
}

func (f *fleet) behind(revision uint64) []string {
	var behind []string
	for _, n := range f.instances {
		if n.d.Revision() < revision {
			behind = append(behind, fmt.Sprintf("%s at %d", n.id, n.d.Revision()))
		}
	}
	return behind
}

func (f *fleet) mustBeInForce(revision uint64, bound time.Duration) {
	f.t.Helper()
	_, ok := f.waitInForce(revision, bound)
	must.True(f.t, ok, must.Sprintf("revision %d not in force after %s: %v", revision, bound, f.behind(revision)))
}

func (f *fleet) publish(revision int) {
	f.t.Helper()
	must.Eq(f.t, uint64(revision), publish(f.t, &operatorStore{f.store}, service("a", revision)).Revision)
}

// operatorStore is an operator's access to the store. It is not affected by the faults that instances see.
type operatorStore struct{ *memStore }

func (s *operatorStore) Get(_ context.Context, key string) (objstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return o, objstore.ErrNotFound
	}
	return o, nil
}

func (s *operatorStore) Put(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != ifVersion {
		return 0, objstore.ErrConflict
	}
	s.objects[key] = objstore.Object{Key: key, Version: ifVersion + 1, Value: value}
	s.wake()
	return ifVersion + 1, nil
}

func (n *instance) isReady() bool {
	select {
	case <-n.d.Ready():
		return true
	default:
		return false
	}
}

func (n *instance) alarmed(kind string) bool {
	return slices.ContainsFunc(n.log.AllEntries(), func(e *logrus.Entry) bool {
		return e.Level == logrus.ErrorLevel && e.Data["alarm"] == kind
	})
}

// runFleet runs a test with a fleet that has revision 1 in force, on the fake clock of synctest.
func runFleet(t *testing.T, n, domains int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n, domains)
		f.publish(1)
		f.run(f.instances...)
		f.mustBeInForce(1, inForceBound)
		time.Sleep(5 * time.Second)
		test(t, f)
		f.stop()
	})
}

// Guards against a configuration that is not in force on every instance in time, and against a load on the store that
// grows with the number of instances by more than their polls.
func TestDistributor_InForceWithFewCalls(t *testing.T) {
	runFleet(t, 64, 4, func(t *testing.T, f *fleet) {
		f.publish(2)
		f.mustBeInForce(2, inForceBound)
		f.store.update(func(m *memStore) { m.calls = 0 })
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		// Eight watchers open a watch every 10 s; 64 instances poll no more often than every 48 s.
		must.LessEq(t, 10*(8*6+64*60/48), f.store.calls)
	})
}

// Guards against a start that needs the store, and against one that relies on peers of a single failure domain.
func TestDistributor_StartDuringOutage(t *testing.T) {
	runFleet(t, 8, 4, func(t *testing.T, f *fleet) {
		f.store.update(func(m *memStore) { m.down = true })
		late := f.add("fd0")
		f.run(late)
		f.mustBeInForce(1, inForceBound)
		must.True(t, late.isReady())

		fd1Only := f.add("fd1")
		for _, n := range f.instances {
			if n != fd1Only && n.mesh.self.FailureDomain != "fd1" {
				f.net.setPartitioned(true, n.id)
			}
		}
		f.run(fd1Only)
		time.Sleep(time.Minute)
		must.False(t, fd1Only.isReady())
		f.store.update(func(m *memStore) { m.down = false })
		f.mustBeInForce(1, inForceBound)
		must.True(t, fd1Only.isReady())
	})
}

// Guards against instances that never become ready while nothing has been published, and against instances that become
// ready before the store has answered.
func TestDistributor_FirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3)
		f.store.down = true
		f.run(f.instances...)
		time.Sleep(time.Minute)
		must.False(t, f.instances[0].isReady())
		f.store.update(func(m *memStore) { m.down = false })
		time.Sleep(inForceBound)
		must.True(t, f.instances[0].isReady())
		f.publish(1)
		f.mustBeInForce(1, inForceBound)
		f.stop()
	})
}

// Guards against every instance reading every object from the store when all instances start at the same time.
func TestDistributor_ColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 64, 4)
		f.store.readDelay = 2 * time.Millisecond
		var services []Service
		for i := range 50 {
			services = append(services, service(fmt.Sprint("s", i), 1))
		}
		publish(t, &operatorStore{f.store}, services...)
		f.run(f.instances...)
		f.mustBeInForce(1, inForceBound)
		// Eight watchers read 50 services and up to 16 shards; the others read the head a few times.
		must.LessEq(t, 8*66+64*10, f.store.calls)
		f.stop()
	})
}

// Guards against waiting forever on a stalled watch. Polls would find the new revision only after a minute, which is
// past the bound.
func TestDistributor_StalledWatch(t *testing.T) {
	runFleet(t, 8, 4, func(t *testing.T, f *fleet) {
		f.store.update(func(m *memStore) { m.stalled = true })
		synctest.Wait()
		f.store.update(func(m *memStore) { m.stalled = false })
		f.publish(2)
		f.mustBeInForce(2, inForceBound)
	})
}

// Guards against a running or starting instance that accepts an old revision from the store.
func TestDistributor_StaleStore(t *testing.T) {
	runFleet(t, 8, 4, func(t *testing.T, f *fleet) {
		old, err := f.store.Get(t.Context(), HeadKey)
		must.NoError(t, err)
		f.publish(2)
		f.mustBeInForce(2, inForceBound)
		f.store.update(func(m *memStore) { m.staleHead = &old })
		late := f.add("fd2")
		f.run(late)
		f.mustBeInForce(2, inForceBound)
		time.Sleep(2 * time.Minute)
		for _, n := range f.instances {
			must.True(t, n.alarmed("config_reverted"), must.Sprint(n.id))
			must.Eq(t, 2, n.d.Revision())
		}
		must.Eq(t, []uint64{2}, late.applied)
	})
}

// Guards against a start that uses only a stale store, before the mesh has found peers that have a newer revision.
func TestDistributor_StartWaitsForPeers(t *testing.T) {
	runFleet(t, 8, 4, func(t *testing.T, f *fleet) {
		old, err := f.store.Get(t.Context(), HeadKey)
		must.NoError(t, err)
		f.publish(2)
		f.mustBeInForce(2, inForceBound)
		f.store.update(func(m *memStore) { m.staleHead = &old })
		late := f.add("fd2")
		f.net.setPartitioned(true, late.id)
		f.run(late)
		time.Sleep(time.Second)
		must.False(t, late.isReady())
		f.net.setPartitioned(false, late.id)
		f.mustBeInForce(2, inForceBound)
		must.Eq(t, []uint64{2}, late.applied)
	})
}

// Guards against an older head that replaces a newer one in force, whatever its source.
func TestTracker_OnlyForward(t *testing.T) {
	headAt := func(revision uint64) *headRecord { return &headRecord{head: &Head{Revision: revision}} }
	tr := newTracker()
	must.True(t, tr.advance(headAt(2)))
	must.False(t, tr.advance(headAt(1)))
	must.False(t, tr.advance(headAt(2)))
	tr.offer(headAt(1))
	must.Nil(t, tr.pending)
	must.False(t, tr.record(storeSource, announcement{Revision: 1}, tr.floor(storeSource)))
	must.True(t, tr.record("lagging", announcement{Revision: 1}, tr.floor("lagging")))
	must.False(t, tr.behind())
	must.True(t, tr.advance(headAt(3)))
	must.True(t, tr.record("ahead", announcement{Revision: 4}, 0))
	tr.evict(nil)
	must.True(t, tr.behind())
	must.MapNotContainsKey(t, tr.latest, "lagging")
}

// Guards against accepting an older revision from a peer than the one it announced before.
func TestDistributor_PeerReverts(t *testing.T) {
	runFleet(t, 4, 4, func(t *testing.T, f *fleet) {
		f.publish(2)
		f.mustBeInForce(2, inForceBound)
		time.Sleep(time.Second)
		value, err := encoder.Marshal(announcement{Revision: 1})
		must.NoError(t, err)
		f.instances[0].mesh.Publish(factHead, value, 0)
		time.Sleep(time.Second)
		must.True(t, f.instances[1].alarmed("config_reverted"))
		must.Eq(t, 2, f.instances[1].d.Revision())
	})
}

// Guards against an instance that does not catch up with the changes made while it was partitioned from the store and
// its peers.
func TestDistributor_PartitionHeals(t *testing.T) {
	runFleet(t, 16, 4, func(t *testing.T, f *fleet) {
		n := f.instances[3]
		f.net.setPartitioned(true, n.id)
		n.store.unreachable.Store(true)
		f.publish(2)
		f.publish(3)
		time.Sleep(2 * time.Minute)
		must.Eq(t, []string{n.id + " at 1"}, f.behind(3))
		n.store.unreachable.Store(false)
		f.net.setPartitioned(false, n.id)
		f.mustBeInForce(3, inForceBound)
	})
}

// Guards against an instance that gets no new revision when only polls work, without peers and watches.
func TestDistributor_PollOnly(t *testing.T) {
	runFleet(t, 16, 4, func(t *testing.T, f *fleet) {
		f.store.update(func(m *memStore) { m.stalled = true })
		for _, n := range f.instances {
			n.mesh.net.setPartitioned(true, n.id)
		}
		f.publish(2)
		f.mustBeInForce(2, 75*time.Second)
	})
}

// Guards against accepting an object from a peer whose content does not match its digest.
func TestDistributor_CorruptPeers(t *testing.T) {
	runFleet(t, 16, 4, func(t *testing.T, f *fleet) {
		f.net.mu.Lock()
		for _, n := range f.instances {
			f.net.corrupt[n.id] = true
		}
		f.net.mu.Unlock()
		f.publish(2)
		f.mustBeInForce(2, inForceBound)
		must.True(t, slices.ContainsFunc(f.instances, func(n *instance) bool { return n.alarmed("config_corrupt") }))
		for _, n := range f.instances {
			must.Eq(t, KindPlain, n.d.cache.services(n.d.tracker.inForce.head)[0].Kind)
		}
	})
}

// fault is a fault of a fleet. begin injects it and returns the function that ends it.
type fault struct {
	name  string
	begin func(f *fleet) (end func())
}

func storeFault(set func(*memStore, bool)) func(*fleet) func() {
	return func(f *fleet) func() {
		f.store.update(func(m *memStore) { set(m, true) })
		return func() { f.store.update(func(m *memStore) { set(m, false) }) }
	}
}

func faults(old objstore.Object) []fault {
	return []fault{
		{"none", func(*fleet) func() { return func() {} }},
		{"store down", storeFault(func(m *memStore, on bool) { m.down = on })},
		{"store slow", storeFault(func(m *memStore, on bool) {
			m.readDelay = 0
			if on {
				m.readDelay = time.Second
			}
		})},
		{"stalled watches", storeFault(func(m *memStore, on bool) { m.stalled = on })},
		{"old revision", storeFault(func(m *memStore, on bool) {
			m.staleHead = nil
			if on {
				m.staleHead = &old
			}
		})},
		{"domain partitioned", func(f *fleet) func() {
			var partitioned []*instance
			for _, n := range f.instances {
				if n.mesh.self.FailureDomain == "fd0" {
					partitioned = append(partitioned, n)
				}
			}
			set := func(on bool) {
				for _, n := range partitioned {
					n.store.unreachable.Store(on)
					f.net.setPartitioned(on, n.id)
				}
			}
			set(true)
			return func() { set(false) }
		}},
		{"process ended", func(f *fleet) func() {
			n := f.instances[1]
			n.stop()
			f.net.mu.Lock()
			n.mesh.down = true
			f.net.mu.Unlock()
			f.instances = slices.Delete(f.instances, 1, 2)
			return func() { f.run(f.add("fd1")) }
		}},
	}
}

// Guards against faults, in all pairs with each other or with none, after which a configuration does not come into
// force, and against an instance that returns to an older revision meanwhile.
func TestDistributor_SingleAndPairedFaults(t *testing.T) {
	count := len(faults(objstore.Object{}))
	for i := range count {
		for j := i + 1; j < count; j++ {
			runFleet(t, 8, 4, func(t *testing.T, f *fleet) {
				old, err := f.store.Get(t.Context(), HeadKey)
				must.NoError(t, err)
				f.publish(2)
				f.mustBeInForce(2, inForceBound)
				first, second := faults(old)[i], faults(old)[j]
				end1 := first.begin(f)
				time.Sleep(3 * time.Second)
				end2 := second.begin(f)
				f.publish(3)
				time.Sleep(20 * time.Second)
				end1()
				end2()
				_, ok := f.waitInForce(3, inForceBound)
				must.True(t, ok, must.Sprintf("%s and %s: %v", first.name, second.name, f.behind(3)))
				f.publish(4)
				_, ok = f.waitInForce(4, inForceBound)
				must.True(t, ok, must.Sprintf("after %s and %s: %v", first.name, second.name, f.behind(4)))
			})
		}
	}
}
