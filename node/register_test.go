package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/clock"
	"github.com/trefoillug/trefoillug/cold"
	"github.com/trefoillug/trefoillug/objstore"
)

// Guards against reads of the register that grow with the fleet, and against an instance that reads it rarely in a
// partition, where only the register shows the instances that have started on the other side.
func TestRegisterPause_Cases(t *testing.T) {
	const shortest = 20 * time.Second
	for _, c := range []struct {
		live, registered int
		want             time.Duration
	}{
		{1, 0, shortest}, {8, 8, shortest}, {16, 16, shortest},
		{17, 17, 21250 * time.Millisecond}, {118, 118, 147500 * time.Millisecond}, {650, 650, 150 * time.Second},
		{118, 150, 147500 * time.Millisecond},    // a domain was lost
		{59, 118, shortest}, {20, 118, shortest}, // partitioned
	} {
		must.Eq(t, c.want, registerPause(shortest, c.live, c.registered), must.Sprintf("%d of %d", c.live, c.registered))
	}
}

// Guards against an instance whose entry is missing for as long as it runs, after a restored store has forgotten it, and
// against one that goes on to use shares of cold endpoints, which those that list the members meanwhile use too.
func TestWriteRegisterEntry_StoreForgot(t *testing.T) {
	store := &records{objects: map[string]objstore.Object{}}
	n := &Node{settings: Settings{Name: "i", PeerListen: "127.0.0.1:1"}, wall: clock.NewWall(), platform: Platform{Records: store}}
	n.cold = newColdLimits(n)
	start := time.Now()
	mayUse := func(at time.Time) bool {
		n.cold.setMembers([]string{"i"}, at)
		return n.cold.membership.MayUse(at)
	}
	version, err := n.writeRegisterEntry(t.Context(), 0)
	must.NoError(t, err)
	n.cold.recordRenewed(start)
	version, err = n.writeRegisterEntry(t.Context(), version)
	must.NoError(t, err)
	n.cold.recordRenewed(start.Add(cold.MaxListAge))
	must.True(t, mayUse(start.Add(cold.MaxListAge)))
	clear(store.objects)
	_, err = n.writeRegisterEntry(t.Context(), version)
	must.NoError(t, err)
	must.MapContainsKey(t, store.objects, "instances/i")
	again := start.Add(cold.MaxListAge + time.Second)
	must.False(t, mayUse(again))
	n.cold.recordRenewed(again)
	must.False(t, mayUse(again))
	must.True(t, mayUse(again.Add(cold.MaxListAge)))
}
