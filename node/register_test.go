package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/clock"
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

// Guards against an instance whose entry is missing for as long as it runs, after a restored store has forgotten it.
func TestWriteRegisterEntry_StoreForgot(t *testing.T) {
	store := &records{objects: map[string]objstore.Object{}}
	n := &Node{settings: Settings{Name: "i", PeerListen: "127.0.0.1:1"}, wall: clock.NewWall(), platform: Platform{Records: store}}
	version, err := n.writeRegisterEntry(t.Context(), 0)
	must.NoError(t, err)
	version, err = n.writeRegisterEntry(t.Context(), version)
	must.NoError(t, err)
	clear(store.objects)
	_, err = n.writeRegisterEntry(t.Context(), version)
	must.NoError(t, err)
	must.MapContainsKey(t, store.objects, "instances/i")
}
