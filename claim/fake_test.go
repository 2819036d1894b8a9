package claim

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/peer"
)

// faults holds, for each kind of fault, the share of store operations or peer calls that are affected.
type faults struct {
	Down, Lost, Late, Slow  float64 // store
	Partitioned, AnswerLost float64 // peers
}

const storeLatency = 2 * time.Millisecond

// fakeStore is an in-memory object store. Each instance has its own client, so faults can differ between instances.
type fakeStore struct {
	mu      sync.Mutex
	rng     *rand.Rand
	objects map[string]objstore.Object
	writes  int
	bytes   int // read and written
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{rng: rand.New(rand.NewPCG(seed, 1)), objects: map[string]objstore.Object{}}
}

func (s *fakeStore) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

func (s *fakeStore) traffic() (writes, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.bytes
}

func (s *fakeStore) get(key string) (objstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key]
	if !ok {
		return obj, objstore.ErrNotFound
	}
	s.bytes += len(obj.Value)
	return obj, nil
}

func (s *fakeStore) put(key string, value []byte, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.bytes += len(value)
	if len(value) > objstore.MaxValueBytes {
		panic("object over the size limit: " + key)
	}
	if s.objects[key].Version != ifVersion {
		return 0, objstore.ErrConflict
	}
	s.objects[key] = objstore.Object{Key: key, Version: ifVersion + 1, Value: value}
	return ifVersion + 1, nil
}

// fakeClient is one instance's access to a fakeStore.
type fakeClient struct {
	*fakeStore
	objstore.Store // nil; List and Watch are not used
	mu             sync.Mutex
	f              faults
}

// set replaces the faults of the client.
func (c *fakeClient) set(f faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.f = f
}

func (c *fakeClient) Get(ctx context.Context, key string) (objstore.Object, error) {
	if _, err := c.delay(ctx); err != nil {
		return objstore.Object{}, err
	}
	return c.get(key)
}

// delay waits for the latency of an operation and fails when the store is down.
func (c *fakeClient) delay(ctx context.Context) (faults, error) {
	c.mu.Lock()
	f := c.f
	c.mu.Unlock()
	sleep(ctx, storeLatency)
	if c.chance(f.Slow) {
		sleep(ctx, 2*time.Second)
	}
	if ctx.Err() != nil || c.chance(f.Down) {
		return f, objstore.ErrUnavailable
	}
	return f, nil
}

func (c *fakeClient) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	f, err := c.delay(ctx)
	if err != nil {
		return 0, err
	}
	if c.chance(f.Late) {
		// The write takes effect after the client has given up.
		go func() {
			time.Sleep(500 * time.Millisecond)
			_, _ = c.put(key, value, ifVersion)
		}()
		return 0, objstore.ErrUnknownResult
	}
	version, err := c.put(key, value, ifVersion)
	if c.chance(f.Lost) {
		return 0, objstore.ErrUnknownResult
	}
	return version, err
}

// fakeNet connects the meshes of a test.
type fakeNet struct {
	mu     sync.Mutex
	rng    *rand.Rand
	meshes map[string]*fakeMesh
	bytes  int // total size of peer calls and their answers
}

// fakeMesh is one instance's mesh. Members returns the view that the test set, so that views of instances can differ.
type fakeMesh struct {
	peer.Mesh // nil; facts are not used
	net       *fakeNet
	self      string
	handler   peer.Handler
	view      []string
	f         faults
}

func (n *fakeNet) addMesh(id string) *fakeMesh {
	m := &fakeMesh{net: n, self: id}
	n.meshes[id] = m
	return m
}

func (n *fakeNet) chance(p float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < p
}

func (m *fakeMesh) set(f faults, view []string) {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	m.f, m.view = f, view
}

func (m *fakeMesh) Self() peer.Member { return peer.Member{ID: m.self} }

func (m *fakeMesh) Members() []peer.Member {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	var members []peer.Member
	for _, id := range slices.Sorted(slices.Values(m.view)) {
		members = append(members, peer.Member{ID: id})
	}
	return members
}

func (m *fakeMesh) Handle(_ string, handler peer.Handler) {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	m.handler = handler
}

// Call runs the handler in a context that outlives the caller's, as on a connection that stalled.
func (m *fakeMesh) Call(ctx context.Context, member, _ string, body []byte) ([]byte, error) {
	m.net.mu.Lock()
	to, f := m.net.meshes[member], m.f
	handler, partitioned := to.handler, max(f.Partitioned, to.f.Partitioned)
	m.net.mu.Unlock()
	sleep(ctx, time.Millisecond)
	if m.net.chance(partitioned) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer, err := handler(context.WithoutCancel(ctx), m.self, body)
	if m.net.chance(f.AnswerLost) {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	m.net.mu.Lock()
	m.net.bytes += len(body) + len(answer)
	m.net.mu.Unlock()
	return answer, err
}

// cluster is a set of instances on one store.
type cluster struct {
	store    *fakeStore
	net      *fakeNet
	ids      []string
	clients  []*fakeClient
	meshes   []*fakeMesh
	services []*Service
}

func newCluster(n int, seed uint64, opts Options) *cluster {
	c := &cluster{store: newFakeStore(seed)}
	c.net = &fakeNet{rng: rand.New(rand.NewPCG(seed, 2)), meshes: map[string]*fakeMesh{}}
	for i := range n {
		c.ids = append(c.ids, "i"+strings.Repeat("x", i))
	}
	for _, id := range c.ids {
		mesh, client := c.net.addMesh(id), &fakeClient{fakeStore: c.store}
		mesh.view = c.ids
		c.meshes, c.clients = append(c.meshes, mesh), append(c.clients, client)
		c.services = append(c.services, New(client, mesh, opts))
	}
	return c
}

func (c *cluster) stop() {
	for _, s := range c.services {
		s.cancel()
	}
	// Late writes and slow operations must end before the synctest bubble does.
	time.Sleep(3 * time.Second)
}
