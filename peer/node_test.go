package peer

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// virtual runs a test in virtual time on an in-memory network.
func virtual(t *testing.T, fn func(t *testing.T, net *memNet)) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(time.Second) }) // lets the goroutines of closed connections end
		fn(t, newMemNet())
	})
}

// Guards against all-to-all connections, too many outgoing ones, and facts slower than 100 ms a hop.
func TestNode_PartialMeshSpreadsFacts(t *testing.T) {
	virtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 60, 5, 2)
		time.Sleep(time.Minute)
		links := 0
		for _, n := range nodes {
			must.LessEq(t, maxOutgoing, n.Stats().Outgoing)
			links += n.Stats().Connections
		}
		must.Less(t, 60*12, links)
		nodes[3].Publish("k", []byte("v"), 0)
		took := waitFor(t, time.Second, "fact reaches all", allHave(nodes, nodes[3].id, "k", "v"))
		t.Logf("60 members: %.1f connections each, fact reached all in %v", float64(links)/60, took)
	})
}

// Guards against members lost, facts lost or old facts winning when two halves have been separated for a while.
func TestNode_PartitionAndHeal(t *testing.T) {
	virtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 20, 4, 2)
		region := map[string]string{}
		for _, n := range nodes {
			region[n.Self().Address] = n.Self().Region
		}
		nodes[0].Publish("before", []byte("1"), 0)
		net.set(func() { net.blocked = func(a, b string) bool { return region[a] != region[b] } })
		waitFor(t, 20*time.Second, "each side sees itself", func() bool { return allSee(nodes, 10) })
		nodes[0].Publish("before", []byte("2"), 0)
		nodes[1].Publish("other", []byte("3"), 0)
		time.Sleep(5 * time.Minute)
		net.set(func() { net.blocked = func(string, string) bool { return false } })
		took := waitFor(t, 30*time.Second, "all see all", func() bool { return allSee(nodes, 20) })
		t.Logf("healed in %v", took)
		waitFor(t, 5*time.Second, "facts", allHave(nodes, nodes[0].id, "before", "2"))
		waitFor(t, 5*time.Second, "facts", allHave(nodes, nodes[1].id, "other", "3"))
		time.Sleep(15 * time.Second)
		must.True(t, allSee(nodes, 20))
	})
}

// Guards against a silent established connection that is kept, or that makes its live member count as dead.
func TestNode_SilentConnection(t *testing.T) {
	for name, bothWays := range map[string]bool{"one way": false, "both ways": true} {
		t.Run(name, func(t *testing.T) {
			virtual(t, func(t *testing.T, net *memNet) {
				nodes := net.cluster(t, 8, 4, 1)
				a, b := nodes[0], nodes[1]
				must.Positive(t, net.mute(a.Self().Address, b.Self().Address))
				if bothWays {
					net.mute(b.Self().Address, a.Self().Address)
				}
				end := time.Now().Add(20 * time.Second)
				time.Sleep(silenceLimit + 2*time.Second)
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				_, err := a.Call(ctx, b.id, "echo", nil)
				must.NoError(t, err)
				for ; time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					must.True(t, allSee(nodes, 8))
				}
			})
		})
	}
}

// Guards against a woken member that declares the others dead, stays dead itself or brings back old facts.
func TestNode_FrozenMemberWakes(t *testing.T) {
	virtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 12, 4, 1)
		frozen, others := nodes[5], slices.Concat(nodes[:5], nodes[6:])
		address, before := frozen.Self().Address, frozen.Self().Incarnation
		nodes[1].Publish("k", []byte("old"), 0)
		waitFor(t, time.Second, "fact", allHave(nodes, nodes[1].id, "k", "old"))
		const pause = 30 * time.Second
		net.set(func() { net.held = func(a, b string) bool { return a == address || b == address } })
		frozen.mu.Lock()
		frozen.m.nextTick = time.Now().Add(pause)
		frozen.mu.Unlock()
		took := waitFor(t, 15*time.Second, "frozen member is dead", func() bool { return allSee(others, 11) })
		nodes[1].Publish("k", []byte("new"), 0)
		time.Sleep(pause - took)
		net.set(func() { net.held = func(string, string) bool { return false } })
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			must.False(t, slices.ContainsFunc(others, func(n *Node) bool { return len(n.Members()) < 11 }))
		}
		waitFor(t, 10*time.Second, "all see all", func() bool { return allSee(nodes, 12) })
		waitFor(t, 5*time.Second, "fact", allHave(nodes, nodes[1].id, "k", "new"))
		must.Greater(t, before, frozen.Self().Incarnation)
	})
}

// Guards against the facts of an earlier process with the same ID surviving it, or blocking the new one.
func TestNode_RestartWithSameID(t *testing.T) {
	virtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 8, 4, 1)
		old := nodes[7]
		old.Publish("gone", []byte("1"), 0)
		old.Publish("kept", []byte("1"), 0)
		waitFor(t, time.Second, "facts", allHave(nodes, old.id, "gone", "1"))
		before := old.Self().Incarnation
		net.kill(old)
		time.Sleep(100 * time.Millisecond)
		nodes[7] = net.start(t, testMember(7, 4, 1), nodes[0].Self().Address)
		nodes[7].Publish("kept", []byte("2"), 0)
		waitFor(t, 5*time.Second, "new facts", allHave(nodes, old.id, "kept", "2"))
		waitFor(t, 5*time.Second, "old facts gone", allHave(nodes, old.id, "gone", ""))
		must.Greater(t, before, nodes[7].Self().Incarnation)
		time.Sleep(10 * time.Second)
		must.True(t, allSee(nodes, 8))
	})
}

// Guards against a lost failure domain that is announced member by member, or that takes others with it, also soon
// after a loss that was refuted.
func TestNode_FailureDomainLost(t *testing.T) {
	for name, refutedBefore := range map[string]bool{"first": false, "after a refuted loss": true} {
		t.Run(name, func(t *testing.T) {
			virtual(t, func(t *testing.T, net *memNet) { loseDomain(t, net, refutedBefore) })
		})
	}
}

func loseDomain(t *testing.T, net *memNet, refutedBefore bool) {
	nodes := net.cluster(t, 40, 4, 1)
	time.Sleep(20 * time.Second) // the connections of the start settle
	lost := map[string]bool{}
	var survivors []*Node
	for i, n := range nodes {
		if i%4 == 2 {
			lost[n.Self().Address] = true
		} else {
			survivors = append(survivors, n)
		}
	}
	cut := func(a, b string) bool { return lost[a] != lost[b] }
	if refutedBefore {
		net.set(func() { net.blocked = cut })
		time.Sleep(5 * time.Second)
		net.set(func() { net.blocked = func(string, string) bool { return false } })
		time.Sleep(25 * time.Second)
		must.True(t, allSee(nodes, 40))
	}
	net.set(func() { net.blocked = cut })
	took := waitFor(t, 15*time.Second, "domain is gone", func() bool { return allSee(survivors, 30) })
	t.Logf("domain of 10 gone everywhere in %v", took)
	accused := 0
	n := survivors[0]
	n.mu.Lock()
	must.Eq(t, refutedBefore, !n.m.contact.refuted[domain{"r0", "d2"}].IsZero())
	for _, r := range n.m.members.records {
		if r.status == statusAccused {
			accused++
		}
	}
	n.mu.Unlock()
	must.Zero(t, accused)
}

// Guards against a member being removed because one other can't reach it.
func TestNode_AccusationRefuted(t *testing.T) {
	virtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 8, 4, 1)
		nodes[0].mu.Lock()
		next := nodes[0].m.watched()[0]
		nodes[0].mu.Unlock()
		other := nodes[slices.IndexFunc(nodes, func(n *Node) bool { return n.id == next })]
		a, b := nodes[0].Self().Address, other.Self().Address
		net.set(func() { net.blocked = func(x, y string) bool { return (x == a && y == b) || (x == b && y == a) } })
		before := other.Self().Incarnation + nodes[0].Self().Incarnation
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			must.True(t, allSee(nodes, 8))
		}
		must.Greater(t, before, other.Self().Incarnation+nodes[0].Self().Incarnation)
	})
}

// Guards against facts that stay lost when messages are dropped and overtake each other.
func TestNode_LossAndReordering(t *testing.T) {
	virtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 20, 4, 1)
		net.set(func() { net.loss, net.reorder = 0.3, 300*time.Millisecond })
		for i := range 20 {
			for v := range 5 {
				nodes[i].Publish("k", []byte{byte('0' + v)}, 0)
				time.Sleep(20 * time.Millisecond)
			}
		}
		took := waitFor(t, 2*time.Minute, "all facts", func() bool {
			return !slices.ContainsFunc(nodes, func(n *Node) bool { return !allHave(nodes, n.id, "k", "4")() })
		})
		t.Logf("20 facts reached all %v after the last", took)
	})
}

// Guards against a fact that was lost on all connections and stays unknown to members whose connections last.
func TestNode_LostFactIsRepaired(t *testing.T) {
	virtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 8, 4, 1)
		time.Sleep(10 * time.Second)
		net.set(func() { net.loss = 1 })
		nodes[3].Publish("late", []byte("1"), 0)
		time.Sleep(time.Second)
		net.set(func() { net.loss = 0 })
		took := waitFor(t, time.Minute, "lost fact", allHave(nodes, nodes[3].id, "late", "1"))
		t.Logf("a fact lost on all connections was repaired everywhere in %v", took)
	})
}

// Guards against facts that outlive their TTL, and against the facts and the record of a dead member kept for ever.
func TestNode_Expiry(t *testing.T) {
	virtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 6, 3, 1)
		nodes[0].Publish("short", []byte("1"), 5*time.Second)
		nodes[5].Publish("k", []byte("1"), 0)
		waitFor(t, time.Second, "facts", allHave(nodes, nodes[0].id, "short", "1"))
		time.Sleep(6 * time.Second)
		must.True(t, allHave(nodes, nodes[0].id, "short", "")())
		net.kill(nodes[5])
		rest := nodes[:5]
		waitFor(t, 15*time.Second, "dead", func() bool { return allSee(rest, 5) })
		must.True(t, allHave(rest, nodes[5].id, "k", "1")())
		time.Sleep(deadRetention + time.Minute)
		must.True(t, allHave(rest, nodes[5].id, "k", "")())
		must.Eq(t, 5, rest[0].Stats().Facts)
	})
}

// Guards against calls to members without a connection, and against direct connections that are never closed.
func TestNode_DirectCalls(t *testing.T) {
	virtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 30, 3, 1)
		time.Sleep(time.Minute) // the connections of the start settle
		a := nodes[5]
		var far *Node
		for _, n := range nodes[1:] {
			a.mu.Lock()
			if n != a && a.m.byPeer[n.id] == nil {
				far = n
			}
			a.mu.Unlock()
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		out, err := a.Call(ctx, far.id, "echo", []byte("x"))
		must.NoError(t, err)
		must.Eq(t, a.id+":x", string(out))
		net.mute(far.Self().Address, a.Self().Address)
		start := time.Now()
		_, err = a.Call(ctx, far.id, "echo", nil)
		must.ErrorIs(t, err, ErrConnectionLost)
		must.LessEq(t, 5*time.Second, time.Since(start))
		_, err = a.Call(ctx, far.id, "echo", nil)
		must.NoError(t, err)
		time.Sleep(directIdle + 2*time.Second)
		a.mu.Lock()
		must.MapEmpty(t, a.direct)
		a.mu.Unlock()
		net.kill(far)
		_, err = a.Call(ctx, far.id, "echo", nil)
		must.ErrorIs(t, err, ErrUnreachable)
	})
}

// Guards against members that join later and whose frequent facts do not reach the earlier ones in time: each member
// publishes a report of 150 bytes 2.5 times a second.
func TestNode_FrequentFactsOfJoiningMembers(t *testing.T) {
	virtual(t, func(t *testing.T, net *memNet) {
		const interval = 400 * time.Millisecond
		nodes := net.cluster(t, 7, 4, 1)
		publish := func(rounds int) {
			for range rounds {
				for _, n := range nodes {
					n.Publish("report", make([]byte, 150), 30*time.Second)
				}
				time.Sleep(interval)
			}
		}
		publish(50)
		for i := 7; i < 11; i++ {
			nodes = append(nodes, net.start(t, testMember(i, 4, 1), nodes[0].Self().Address, nodes[1].Self().Address))
		}
		for _, n := range nodes {
			n.do(func(m *machine, _ time.Time) { m.paceRate = 20_000 })
		}
		publish(10)
		late := 0
		for range 25 {
			publish(1)
			for _, at := range nodes {
				at.mu.Lock()
				for _, of := range nodes {
					f := at.m.facts.byID[factID(of.id, "report")]
					if f == nil || time.Since(f.stored) > 3*interval {
						late++
					}
				}
				at.mu.Unlock()
			}
		}
		must.Zero(t, late)
	})
}
