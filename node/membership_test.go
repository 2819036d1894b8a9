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

// Guards against quotas being used twice during a long partition: the partitioned instance assumes that it is the
// only one, and the others assume that it was removed, so both sides use whole quotas.
func TestMembership_UnreachableInstancesStayExpected(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembership("a", now)
	m.update(liveMembers("a", "b", "c", "d"), now)
	for range 60 {
		now = now.Add(time.Second)
		m.update(liveMembers("a"), now)
	}
	must.Eq(t, 4, m.expected(now))
	now = now.Add(memberRetention)
	m.update(liveMembers("a"), now)
	must.Eq(t, 1, m.expected(now))
}

// Guards against quota shares that are kept for an instance which was stopped as planned, also when the register
// still has its entry, and against an instance that comes back and gets no share.
func TestMembership_StoppedInstanceIsNotExpected(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembership("a", now)
	m.update(liveMembers("a", "b"), now)
	now = now.Add(2 * joinPeriod)
	m.update([]peer.Member{{ID: "a"}, {ID: "b", Leaving: true}}, now)
	m.setRegistered(map[string]time.Time{"a": now, "b": now.Add(-time.Second)})
	must.Eq(t, 1, m.expected(now))
	m.update(liveMembers("a", "b"), now)
	must.Eq(t, 2, m.expected(now))
}

// Guards against names of stopped instances that are kept forever after the register has dropped them.
func TestMembership_DropsStoppedInstances(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembership("a", now)
	m.update([]peer.Member{{ID: "a"}, {ID: "b", Leaving: true}}, now)
	m.setRegistered(map[string]time.Time{"a": now, "b": now})
	must.MapLen(t, 1, m.stopped)
	m.setRegistered(map[string]time.Time{"a": now})
	must.MapEmpty(t, m.stopped)
}

// Guards against a process that starts behind a partition and expects only the peers that it reaches.
func TestMembership_RegisterCountsAtStart(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembership("a", now)
	m.setRegistered(map[string]time.Time{"a": now, "b": now, "c": now.Add(-time.Minute)})
	now = now.Add(2 * joinPeriod)
	m.update(liveMembers("a"), now)
	must.Eq(t, 3, m.expected(now))
}

// Guards against a duty that is taken on before those with a head start can have reported it, or never.
func TestMembership_NeededFor(t *testing.T) {
	now := time.Unix(0, 0)
	m := newMembership("a", now)
	must.Zero(t, m.neededFor("k", true, now))
	must.Eq(t, 3*time.Second, m.neededFor("k", true, now.Add(3*time.Second)))
	must.Zero(t, m.neededFor("k", false, now.Add(4*time.Second)))
	must.Zero(t, m.neededFor("k", true, now.Add(5*time.Second)))
}

// Guards against final counts of a window that are reported late, and against usage in each report.
func TestMembership_UsageDue(t *testing.T) {
	m := newMembership("a", time.Unix(0, 0))
	must.True(t, m.isUsageDue(7, 4))
	for range 3 {
		must.False(t, m.isUsageDue(7, 4))
	}
	must.True(t, m.isUsageDue(7, 4))
	must.False(t, m.isUsageDue(7, 4))
	must.True(t, m.isUsageDue(8, 4))
	must.False(t, m.isUsageDue(8, 4))
}

// Guards against a window that is settled without the counts of a peer whose report is late.
func TestMembership_WithoutUsage(t *testing.T) {
	m := newMembership("a", time.Unix(0, 0))
	m.recordUsage("b", 8)
	m.recordUsage("c", 7)
	m.recordUsage("b", 6) // an earlier report that arrives later
	must.Eq(t, []string{"c", "d"}, m.withoutUsage([]string{"a", "b", "c", "d"}, 7))
	must.Eq(t, []string{"d"}, m.withoutUsage([]string{"a", "b", "c", "d"}, 6))
}
