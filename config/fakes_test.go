package config

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/trefoillug/trefoillug/objstore"
)

// memStore is an objstore.Store in memory with the faults of the platform's object API.
type memStore struct {
	mu        sync.Mutex
	objects   map[string]objstore.Object
	changed   chan struct{}
	down      bool
	silent    bool             // new and waiting watches get no answer; those waiting stay so
	stale     *objstore.Object // shown for the head in place of the current one
	loseNext  int              // next writes of the head that take effect without an answer
	beforePut func(key string)
	calls     int // reads, writes and opened watches
}

func newMemStore() *memStore {
	return &memStore{objects: map[string]objstore.Object{}, changed: make(chan struct{})}
}

// set changes faults and wakes the watches.
func (m *memStore) set(change func(*memStore)) {
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
	if key == HeadKey && m.stale != nil {
		return *m.stale, nil
	}
	o, ok := m.objects[key]
	if !ok {
		return objstore.Object{}, objstore.ErrNotFound
	}
	return o, nil
}

func (m *memStore) Get(_ context.Context, key string) (objstore.Object, error) {
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
	if key == HeadKey && m.loseNext > 0 {
		m.loseNext--
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
		silent, changed, down := m.silent, m.changed, m.down
		m.mu.Unlock()
		if silent {
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
