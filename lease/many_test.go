package lease

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/rendezvous"
)

// countingClient counts the reads of a candidate.
type countingClient struct {
	*client
	reads *atomic.Int64
}

func (c countingClient) Get(ctx context.Context, key string) (objstore.Object, error) {
	c.reads.Add(1)
	return c.client.Get(ctx, key)
}

// Guards against reads that grow with the number of candidates, and against a duty without a holder for long after the
// holder and the watchers of a large fleet have died, whose successors read seldom until then.
func TestLease_ManyCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ids []string
		for i := range 100 {
			ids = append(ids, fmt.Sprint("i", i))
		}
		var members atomic.Pointer[[]string]
		members.Store(&ids)
		store, reads := &fakeStore{}, atomic.Int64{}
		order := rendezvous.Top("lease/pool", ids, len(ids))
		leases, stops := map[string]*Lease{}, map[string]context.CancelFunc{}
		var running sync.WaitGroup
		all, stopAll := context.WithCancel(t.Context())
		defer func() { stopAll(); running.Wait() }()
		for i, id := range ids {
			lease := New(Settings{
				Store: countingClient{&client{store: store}, &reads}, Duty: "pool", Candidate: id, Process: uint64(i), Members: func() []string { return *members.Load() },
			})
			ctx, cancel := context.WithCancel(all)
			leases[id], stops[id] = lease, cancel
			running.Go(func() { lease.Run(ctx, func(error) {}) })
		}
		time.Sleep(time.Minute)
		before := reads.Load()
		time.Sleep(5 * time.Minute)
		perSecond := float64(reads.Load()-before) / 300
		t.Logf("%.2f reads a second", perSecond)
		must.Less(t, 0.9, perSecond)
		for _, id := range order[:3] {
			leases[id].settings.Store.(countingClient).set(faults{down: true}) // it releases nothing
			stops[id]()
		}
		left := order[3:]
		members.Store(&left)
		time.Sleep(DefaultTerm + 3*DefaultStagger + 10*time.Second)
		held := 0
		for _, id := range left {
			if _, ok := leases[id].Held(); ok {
				held++
			}
		}
		must.Eq(t, 1, held)
	})
}
