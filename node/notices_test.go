package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/upstream"
)

// Guards against endpoints of a large reclaim that are never announced to the peers, because a fact exceeds its size
// limit or a later fact replaces an earlier one.
func TestNotices_LargeReclaim(t *testing.T) {
	now := time.Unix(1000, 0)
	var s notices
	for i := range 400 {
		s.add(fleet.Entry{ID: fmt.Sprintf("i-%010d", i), StartedMs: 1_700_000_000_000, LeavesAt: now.Add(2 * time.Second)}, now)
	}
	total, facts := 0, map[int]bool{}
	for batch, fact := s.next(); len(batch) > 0; batch, fact = s.next() {
		must.False(t, facts[fact])
		facts[fact] = true
		text, err := cbor.Marshal(batch)
		must.NoError(t, err)
		must.Less(t, 8<<10, len(text))
		must.Eq(t, 2000, batch[0].RemainingMs)
		total += len(batch)
	}
	must.Eq(t, 400, total)
}

// Guards against a peer's notice of an earlier lifetime that stops work on a restarted endpoint, and against an
// unknown end time that is taken for the current time.
func TestNotices_Receive(t *testing.T) {
	n := &Node{fleet: fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, upstream.Settings{}) })}
	for _, e := range []fleet.Entry{{ID: "a", Service: "s", StartedMs: 2, Slots: 1}, {ID: "b", Service: "s", StartedMs: 1, Slots: 1}} {
		n.fleet.Put(e)
	}
	text, err := cbor.Marshal([]leavingNotice{{ID: "a", StartedMs: 1, RemainingMs: 500}, {ID: "b", StartedMs: 1}})
	must.NoError(t, err)
	n.receiveNotices(peer.Fact{Value: text})
	left := n.fleet.Service("s")
	must.Len(t, 1, left)
	must.Eq(t, "a", left[0].ID)
	for _, e := range n.fleet.All() {
		must.True(t, e.LeavesAt().IsZero())
	}
}

// Guards against hundreds of instances that all publish a notice of the same endpoint, against a notice that is never
// published, and against a later lifetime that is not announced.
func TestNotices_DelayedUntilAPeerPublishes(t *testing.T) {
	now := time.Unix(1000, 0)
	n := &Node{fleet: fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, upstream.Settings{}) })}
	for _, id := range []string{"a", "b", "c"} {
		n.fleet.Put(fleet.Entry{ID: id, Service: "s", StartedMs: 2, Slots: 1})
	}
	for _, e := range n.fleet.Service("s") {
		n.notices.addDelayed(e, now.Add(time.Second))
	}
	text, err := cbor.Marshal([]leavingNotice{{ID: "a", StartedMs: 2, Departed: true}, {ID: "b", StartedMs: 1, Departed: true}, {ID: "c", StartedMs: 2}})
	must.NoError(t, err)
	n.receiveNotices(peer.Fact{Value: text})
	n.notices.queueDue(now)
	batch, _ := n.notices.next()
	must.Len(t, 0, batch)
	n.notices.queueDue(now.Add(time.Second))
	batch, _ = n.notices.next()
	must.Eq(t, []leavingNotice{{ID: "b", StartedMs: 2, Departed: true}, {ID: "c", StartedMs: 2, Departed: true}}, batch)
	must.Len(t, 0, n.notices.delayed)
	for _, id := range []string{"a", "c"} {
		n.fleet.Remove(id, true, now)
		n.fleet.Put(fleet.Entry{ID: id, Service: "s", StartedMs: 2, Slots: 1})
	}
	var left []string
	for _, e := range n.fleet.Service("s") {
		left = append(left, e.ID)
	}
	must.Eq(t, []string{"b", "c"}, left) // a has said that it is leaving, c was only removed from the list
}
