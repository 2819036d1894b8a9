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

// Guards against a duty that passes from one instance to another and back within the return delay. Also guards against
// a holder that waits although it has not acted recently: a window of usage may be lost if the store fails meanwhile.
func TestActingStart_Cases(t *testing.T) {
	now := time.Unix(1000, 0)
	const returnDelay = 3 * time.Second
	grant := lease.Grant{Token: 2, PreviousEnd: now.Add(-time.Second)}
	must.Eq(t, now, actingStart(grant, now.Add(-10*time.Second), now, returnDelay))
	must.Eq(t, now.Add(2*time.Second), actingStart(grant, now.Add(-time.Second), now, returnDelay))
	must.Eq(t, now, actingStart(lease.Grant{Token: 1}, now.Add(-time.Second), now, returnDelay)) // the first holder ever
}

// records is an in-memory store. A write with a lost answer takes effect but returns an unknown result; a delayed
// write takes effect with the next call.
type records struct {
	objstore.Store
	objects      map[string]objstore.Object
	loseAnswer   bool // lose the answer to the next write
	delayedWrite func()
	delayNext    bool // delay the next write
}

func (r *records) List(context.Context, string) ([]objstore.Object, error) { return nil, nil }

func (r *records) Get(_ context.Context, key string) (objstore.Object, error) {
	o, ok := r.objects[key]
	if !ok {
		return o, objstore.ErrNotFound
	}
	return o, nil
}

func (r *records) Put(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if delayed := r.delayedWrite; delayed != nil {
		r.delayedWrite = nil
		delayed()
	}
	if r.delayNext {
		r.delayNext = false
		r.delayedWrite = func() { _, _ = r.put(key, value, ifVersion) }
		return 0, objstore.ErrUnknownResult
	}
	version, err := r.put(key, value, ifVersion)
	if err == nil && r.loseAnswer {
		r.loseAnswer = false
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

// Guards against differing counts of a window after a change of the holder, a write whose answer was lost or a write
// that took effect late, and against a number of objects that grows with the windows.
func TestFinalCounts_Cases(t *testing.T) {
	store := &records{objects: map[string]objstore.Object{}}
	holder := func() *duties {
		return &duties{n: &Node{usage: usage.NewCounter(time.Second), platform: Platform{Records: store}}}
	}
	first, second := holder(), holder()
	for window := uint64(200); window < 300; window++ {
		store.loseAnswer, store.delayNext = window%3 == 0, window%3 == 1
		for n := range 5 {
			second.n.usage.CountStarted("w", time.Unix(int64(window), 0))
			if n < 3 {
				first.n.usage.CountStarted("w", time.Unix(int64(window), 0))
			}
		}
		want, err := first.finalCounts(t.Context(), window)
		must.NoError(t, err)
		must.Eq(t, 3, want["w"])
		again, err := second.finalCounts(t.Context(), window)
		must.NoError(t, err)
		must.Eq(t, want, again, must.Sprint(window))
	}
	must.LessEq(t, usageSlots, len(store.objects))
	_, err := second.finalCounts(t.Context(), 201)
	must.ErrorIs(t, err, errWindowReplaced)
}
