package config

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/peer"
)

// memStore is an in-memory objstore.Store that simulates the faults of the platform's object API.
type memStore struct {
	mu            sync.Mutex
	objects       map[string]objstore.Object
	changed       chan struct{}
	down          bool
	readDelay     time.Duration    // delay of a read
	stalled       bool             // watches get no response; those that wait meanwhile never get one
	staleHead     *objstore.Object // returned in place of the current head
	lostResponses int              // number of next writes of the head that take effect but whose response is lost
	beforePut     func(key string)
	calls         int // number of reads, writes and opened watches
}

func newMemStore() *memStore {
	return &memStore{objects: map[string]objstore.Object{}, changed: make(chan struct{})}
}

// update changes faults and wakes the watches.
func (m *memStore) update(change func(*memStore)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
	m.wake()
}

func (m *memStore) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memStore) read(key string) (objstore.Object, error) {
	if m.down {
		return objstore.Object{}, objstore.ErrUnavailable
	}
	if key == HeadKey && m.staleHead != nil {
		return *m.staleHead, nil
	}
	o, ok := m.objects[key]
	if !ok {
		return objstore.Object{}, objstore.ErrNotFound
	}
	return o, nil
}

func (m *memStore) Get(ctx context.Context, key string) (objstore.Object, error) {
	m.mu.Lock()
	readDelay := m.readDelay
	m.mu.Unlock()
	if readDelay > 0 && !pause(ctx, readDelay) {
		return objstore.Object{}, objstore.ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	return m.read(key)
}

func (m *memStore) Put(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if m.beforePut != nil {
		m.beforePut(key)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.down {
		return 0, objstore.ErrUnavailable
	}
	if m.objects[key].Version != ifVersion {
		return 0, objstore.ErrConflict
	}
	m.objects[key] = objstore.Object{Key: key, Version: ifVersion + 1, Value: value}
	m.wake()
	if key == HeadKey && m.lostResponses > 0 {
		m.lostResponses--
		return 0, objstore.ErrUnknownResult
	}
	return ifVersion + 1, nil
}

func (m *memStore) List(_ context.Context, prefix string) ([]objstore.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []objstore.Object
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, nil
}

func (m *memStore) Watch(ctx context.Context, key string, after uint64) (objstore.Object, error) {
	m.mu.Lock()
	m.calls++
	m.mu.Unlock()
	for {
		m.mu.Lock()
		o, err := m.read(key)
		stalled, changed, down := m.stalled, m.changed, m.down
		m.mu.Unlock()
		if stalled {
			changed = nil
		} else if down || err == nil && o.Version > after {
			return o, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return objstore.Object{}, objstore.ErrUnavailable
		}
	}
}

// instanceStore is one instance's access to the store, which can be made unreachable.
type instanceStore struct {
	*memStore
	unreachable atomic.Bool
}

func (s *instanceStore) Get(ctx context.Context, key string) (objstore.Object, error) {
	if s.unreachable.Load() {
		return objstore.Object{}, objstore.ErrUnavailable
	}
	return s.memStore.Get(ctx, key)
}

func (s *instanceStore) Watch(ctx context.Context, key string, after uint64) (objstore.Object, error) {
	if s.unreachable.Load() {
		return objstore.Object{}, objstore.ErrUnavailable
	}
	return s.memStore.Watch(ctx, key, after)
}

// memNet connects fake meshes. Facts and calls are delivered after the latency.
type memNet struct {
	mu      sync.Mutex
	latency time.Duration
	meshes  []*memMesh
	corrupt map[string]bool // members whose responses to object calls are altered
}

// memMesh is an in-memory peer.Mesh.
type memMesh struct {
	net         *memNet
	self        peer.Member
	partitioned bool
	down        bool // the process has ended
	subs        []func(peer.Fact)
	handlers    map[string]peer.Handler
	fact        peer.Fact
	served      atomic.Int64 // response bytes sent to callers
}

func (n *memNet) join(m peer.Member) *memMesh {
	n.mu.Lock()
	defer n.mu.Unlock()
	mesh := &memMesh{net: n, self: m, handlers: map[string]peer.Handler{}}
	n.meshes = append(n.meshes, mesh)
	return mesh
}

// setPartitioned disconnects members from all others or reconnects them. Reconnected members exchange facts with the
// others.
func (n *memNet) setPartitioned(partitioned bool, ids ...string) {
	n.mu.Lock()
	for _, m := range n.meshes {
		if slices.Contains(ids, m.self.ID) {
			m.partitioned = partitioned
		}
	}
	meshes := slices.Clone(n.meshes)
	n.mu.Unlock()
	for _, from := range meshes {
		for _, to := range meshes {
			if slices.Contains(ids, from.self.ID) || slices.Contains(ids, to.self.ID) {
				n.deliver(from, to)
			}
		}
	}
}

func (n *memNet) deliver(from, to *memMesh) {
	n.mu.Lock()
	fact, subs := from.fact, to.subs
	ok := n.linked(from, to) && from != to && fact.Version > 0
	n.mu.Unlock()
	if !ok {
		return
	}
	time.AfterFunc(n.latency, func() {
		for _, fn := range subs {
			fn(fact)
		}
	})
}

// linked reports whether two members can reach each other. The caller must hold n.mu.
func (n *memNet) linked(a, b *memMesh) bool {
	return a == b || !a.partitioned && !b.partitioned && !a.down && !b.down
}

func (m *memMesh) Self() peer.Member { return m.self }

func (m *memMesh) Members() []peer.Member {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	var members []peer.Member
	for _, other := range m.net.meshes {
		if m.net.linked(m, other) {
			members = append(members, other.self)
		}
	}
	return members
}

func (m *memMesh) Publish(key string, value []byte, _ time.Duration) {
	m.net.mu.Lock()
	m.fact = peer.Fact{Origin: m.self.ID, Key: key, Version: m.fact.Version + 1, Value: value}
	meshes := slices.Clone(m.net.meshes)
	m.net.mu.Unlock()
	for _, to := range meshes {
		m.net.deliver(m, to)
	}
}

func (m *memMesh) Subscribe(_ string, fn func(peer.Fact)) {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	m.subs = append(m.subs, fn)
}

func (m *memMesh) Handle(kind string, h peer.Handler) {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	m.handlers[kind] = h
}

func (m *memMesh) Call(ctx context.Context, member, kind string, body []byte) ([]byte, error) {
	if !pause(ctx, 2*m.net.latency) {
		return nil, ctx.Err()
	}
	m.net.mu.Lock()
	i := slices.IndexFunc(m.net.meshes, func(o *memMesh) bool { return o.self.ID == member && m.net.linked(m, o) })
	corrupt := m.net.corrupt[member] && kind == callObjects
	var handler peer.Handler
	if i >= 0 {
		handler = m.net.meshes[i].handlers[kind]
	}
	meshes := m.net.meshes
	m.net.mu.Unlock()
	if handler == nil {
		return nil, errors.New("member not reachable")
	}
	answer, err := handler(ctx, m.self.ID, body)
	meshes[i].served.Add(int64(len(answer)))
	if corrupt && len(answer) > 0 {
		answer = bytes.Replace(answer, []byte("plain"), []byte("model"), 1)
	}
	return answer, err
}

func (n *memNet) servedBytes() []int64 {
	var served []int64
	for _, m := range n.meshes {
		served = append(served, m.served.Load())
	}
	return served
}

func (n *memNet) resetServed() {
	for _, m := range n.meshes {
		m.served.Store(0)
	}
}
