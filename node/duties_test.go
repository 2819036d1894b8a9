package node

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/lease"
	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/usage"
)

// Guards against a duty that goes from one instance to another and back within a lease, and against a holder that
// rests although it has not acted lately: a window of usage may be lost when the store fails meanwhile.
func TestRestEnd_Cases(t *testing.T) {
	now := time.Unix(1000, 0)
	const rest = 3 * time.Second
	taken := lease.Grant{Token: 2, PreviousEnd: now.Add(-time.Second)}
	must.Eq(t, now, restEnd(taken, now.Add(-10*time.Second), now, rest))
	must.Eq(t, now.Add(2*time.Second), restEnd(taken, now.Add(-time.Second), now, rest))
	must.Eq(t, now, restEnd(lease.Grant{Token: 1}, now.Add(-time.Second), now, rest)) // the first holder of all
}

// records is a store of the holder's records. A lost write takes effect and gets no answer; a late one does so with the
// next call.
type records struct {
	objstore.Store
	objects map[string]objstore.Object
	lose    bool
	late    func()
	next    bool // the next write is late
}

func (r *records) Get(_ context.Context, key string) (objstore.Object, error) {
	o, ok := r.objects[key]
	if !ok {
		return o, objstore.ErrNotFound
	}
	return o, nil
}

func (r *records) Put(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if late := r.late; late != nil {
		r.late = nil
		late()
	}
	if r.next {
		r.next = false
		r.late = func() { _, _ = r.put(key, value, ifVersion) }
		return 0, objstore.ErrUnknownResult
	}
	version, err := r.put(key, value, ifVersion)
	if err == nil && r.lose {
		r.lose = false
		return 0, objstore.ErrUnknownResult
	}
	return version, err
}

func (r *records) put(key string, value []byte, ifVersion uint64) (uint64, error) {
	if r.objects[key].Version != ifVersion {
		return 0, objstore.ErrConflict
	}
	r.objects[key] = objstore.Object{Key: key, Value: value, Version: ifVersion + 1}
	return ifVersion + 1, nil
}

// Guards against two counts of a window, after a change of the holder or a write whose answer was lost or that took effect
// late, and against objects that grow in number with the windows.
func TestFixedCounts_Cases(t *testing.T) {
	store := &records{objects: map[string]objstore.Object{}}
	holder := func() *duties {
		return &duties{n: &Node{usage: usage.NewCounter(time.Second), platform: Platform{Records: store}}}
	}
	first, second := holder(), holder()
	for window := uint64(200); window < 300; window++ {
		store.lose, store.next = window%3 == 0, window%3 == 1
		for n := range 5 {
			second.n.usage.Began("w", time.Unix(int64(window), 0))
			if n < 3 {
				first.n.usage.Began("w", time.Unix(int64(window), 0))
			}
		}
		want, err := first.fixedCounts(t.Context(), window)
		must.NoError(t, err)
		must.Eq(t, 3, want["w"])
		again, err := second.fixedCounts(t.Context(), window)
		must.NoError(t, err)
		must.Eq(t, want, again, must.Sprint(window))
	}
	must.LessEq(t, usageSlots, len(store.objects))
	_, err := second.fixedCounts(t.Context(), 201)
	must.ErrorIs(t, err, errWindowPast)
}
