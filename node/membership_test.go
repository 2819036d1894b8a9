package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/peer"
)

func liveMembers(ids ...string) []peer.Member {
	var live []peer.Member
	for _, id := range ids {
		live = append(live, peer.Member{ID: id})
	}
	return live
}

// Guards against an instance behind a long partition that takes itself for the only one, and the others that take it for
// gone: both sides then use whole quotas.
func TestMembership_SilentInstancesStayExpected(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembership("a", now)
	m.update(liveMembers("a", "b", "c", "d"), now)
	for range 60 {
		now = now.Add(time.Second)
		m.update(liveMembers("a"), now)
	}
	must.Eq(t, 4, m.expected(now))
	now = now.Add(memberMemory)
	m.update(liveMembers("a"), now)
	must.Eq(t, 1, m.expected(now))
}

// Guards against parts of quotas that are kept for an instance which was stopped as planned, also when the register
// still has its entry, and against one that is back and gets none.
func TestMembership_StoppedInstanceIsNotExpected(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembership("a", now)
	m.update(liveMembers("a", "b"), now)
	now = now.Add(2 * joinTime)
	m.update([]peer.Member{{ID: "a"}, {ID: "b", Leaving: true}}, now)
	m.setListed(map[string]time.Time{"a": now, "b": now.Add(-time.Second)})
	must.Eq(t, 1, m.expected(now))
	m.update(liveMembers("a", "b"), now)
	must.Eq(t, 2, m.expected(now))
}

// Guards against names of stopped instances that are kept for ever, after the register has dropped them.
func TestMembership_ForgetsStoppedInstances(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembership("a", now)
	m.update([]peer.Member{{ID: "a"}, {ID: "b", Leaving: true}}, now)
	m.setListed(map[string]time.Time{"a": now, "b": now})
	must.MapLen(t, 1, m.left)
	m.setListed(map[string]time.Time{"a": now})
	must.MapEmpty(t, m.left)
}

// Guards against a process that starts behind a partition and knows only the peers that it reaches.
func TestMembership_RegisterCountsAtStart(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembership("a", now)
	m.setListed(map[string]time.Time{"a": now, "b": now, "c": now.Add(-time.Minute)})
	now = now.Add(2 * joinTime)
	m.update(liveMembers("a"), now)
	must.Eq(t, 3, m.expected(now))
}
