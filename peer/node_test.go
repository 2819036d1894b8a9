package peer

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// runVirtual runs a test in virtual time on an in-memory network.
func runVirtual(t *testing.T, fn func(t *testing.T, net *memNet)) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(time.Second) }) // lets the goroutines of closed connections end
		fn(t, newMemNet())
	})
}

// Guards against a full mesh of a large fleet, too many outgoing connections, and facts that take more than 100 ms a
// hop.
func TestNode_PartialMeshSpreadsFacts(t *testing.T) {
	runVirtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 60, 5, 2)
		time.Sleep(time.Minute)
		links := 0
		for _, n := range nodes {
			must.LessEq(t, maxOutgoing, n.Stats().OutgoingConnections)
			links += n.Stats().Connections
		}
		must.Less(t, 60*12, links)
		nodes[3].Publish("k", []byte("v"), 0)
		elapsed := waitFor(t, time.Second, "fact reaches all", allHaveFact(nodes, nodes[3].id, "k", "v"))
		t.Logf("60 members: %.1f connections each, fact reached all in %v", float64(links)/60, elapsed)
	})
}

// Guards against lost members, lost facts or old facts that replace newer ones after a partition between two halves of
// the members has healed.
func TestNode_PartitionAndHeal(t *testing.T) {
	runVirtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 20, 4, 2)
		region := map[string]string{}
		for _, n := range nodes {
			region[n.Self().Address] = n.Self().Region
		}
		nodes[0].Publish("before", []byte("1"), 0)
		net.set(func() { net.blocked = func(a, b string) bool { return region[a] != region[b] } })
		waitFor(t, 20*time.Second, "each half is complete", func() bool { return allHaveMembers(nodes, 10) })
		nodes[0].Publish("before", []byte("2"), 0)
		nodes[1].Publish("other", []byte("3"), 0)
		time.Sleep(5 * time.Minute)
		net.set(func() { net.blocked = func(string, string) bool { return false } })
		elapsed := waitFor(t, 30*time.Second, "complete membership", func() bool { return allHaveMembers(nodes, 20) })
		t.Logf("partition healed in %v", elapsed)
		waitFor(t, 5*time.Second, "facts", allHaveFact(nodes, nodes[0].id, "before", "2"))
		waitFor(t, 5*time.Second, "facts", allHaveFact(nodes, nodes[1].id, "other", "3"))
		time.Sleep(15 * time.Second)
		must.True(t, allHaveMembers(nodes, 20))
	})
}

// Guards against a stalled connection that is kept, or that causes the live member at its other end to count as dead.
func TestNode_StalledConnection(t *testing.T) {
	for name, bothWays := range map[string]bool{"one way": false, "both ways": true} {
		t.Run(name, func(t *testing.T) {
			runVirtual(t, func(t *testing.T, net *memNet) {
				nodes := net.cluster(t, 8, 4, 1)
				a, b := nodes[0], nodes[1]
				must.Positive(t, net.stall(a.Self().Address, b.Self().Address))
				if bothWays {
					net.stall(b.Self().Address, a.Self().Address)
				}
				end := time.Now().Add(20 * time.Second)
				time.Sleep(stallTimeout + 2*time.Second)
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				_, err := a.Call(ctx, b.id, "echo", nil)
				must.NoError(t, err)
				for ; time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					must.True(t, allHaveMembers(nodes, 8))
				}
			})
		})
	}
}

// Guards against a member that, when it resumes after a pause, declares the others dead, still counts as dead or brings
// back old facts.
func TestNode_PausedMemberResumes(t *testing.T) {
	runVirtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 12, 4, 1)
		paused, others := nodes[5], slices.Concat(nodes[:5], nodes[6:])
		address, before := paused.Self().Address, paused.Self().Incarnation
		nodes[1].Publish("k", []byte("old"), 0)
		waitFor(t, time.Second, "fact", allHaveFact(nodes, nodes[1].id, "k", "old"))
		const pause = 30 * time.Second
		net.set(func() { net.delayed = func(a, b string) bool { return a == address || b == address } })
		paused.mu.Lock()
		paused.m.nextTick = time.Now().Add(pause)
		paused.mu.Unlock()
		elapsed := waitFor(t, 15*time.Second, "paused member dead", func() bool { return allHaveMembers(others, 11) })
		nodes[1].Publish("k", []byte("new"), 0)
		time.Sleep(pause - elapsed)
		net.set(func() { net.delayed = func(string, string) bool { return false } })
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			must.False(t, slices.ContainsFunc(others, func(n *Node) bool { return len(n.Members()) < 11 }))
		}
		waitFor(t, 10*time.Second, "complete membership", func() bool { return allHaveMembers(nodes, 12) })
		waitFor(t, 5*time.Second, "fact", allHaveFact(nodes, nodes[1].id, "k", "new"))
		must.Greater(t, before, paused.Self().Incarnation)
	})
}

// Guards against facts of an earlier process with the same ID that are kept after a restart or block those of the new
// process.
func TestNode_RestartWithSameID(t *testing.T) {
	runVirtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 8, 4, 1)
		old := nodes[7]
		old.Publish("gone", []byte("1"), 0)
		old.Publish("kept", []byte("1"), 0)
		waitFor(t, time.Second, "facts", allHaveFact(nodes, old.id, "gone", "1"))
		before := old.Self().Incarnation
		net.kill(old)
		time.Sleep(100 * time.Millisecond)
		nodes[7] = net.start(t, testMember(7, 4, 1), nodes[0].Self().Address)
		nodes[7].Publish("kept", []byte("2"), 0)
		waitFor(t, 5*time.Second, "new facts", allHaveFact(nodes, old.id, "kept", "2"))
		waitFor(t, 5*time.Second, "old facts removed", allHaveFact(nodes, old.id, "gone", ""))
		must.Greater(t, before, nodes[7].Self().Incarnation)
		time.Sleep(10 * time.Second)
		must.True(t, allHaveMembers(nodes, 8))
	})
}

// Guards against the loss of a failure domain that is published member by member, or for which members of other domains
// are removed, also soon after a loss that was refuted.
func TestNode_FailureDomainLost(t *testing.T) {
	for name, refutedBefore := range map[string]bool{"first": false, "after a refuted loss": true} {
		t.Run(name, func(t *testing.T) {
			runVirtual(t, func(t *testing.T, net *memNet) { testDomainLoss(t, net, refutedBefore) })
		})
	}
}

func testDomainLoss(t *testing.T, net *memNet, refutedBefore bool) {
	nodes := net.cluster(t, 40, 4, 1)
	time.Sleep(20 * time.Second) // until the initial connections have settled
	lost := map[string]bool{}
	var survivors []*Node
	for i, n := range nodes {
		if i%4 == 2 {
			lost[n.Self().Address] = true
		} else {
			survivors = append(survivors, n)
		}
	}
	blocked := func(a, b string) bool { return lost[a] != lost[b] }
	if refutedBefore {
		net.set(func() { net.blocked = blocked })
		time.Sleep(5 * time.Second)
		net.set(func() { net.blocked = func(string, string) bool { return false } })
		time.Sleep(25 * time.Second)
		must.True(t, allHaveMembers(nodes, 40))
	}
	net.set(func() { net.blocked = blocked })
	elapsed := waitFor(t, 15*time.Second, "domain is removed", func() bool { return allHaveMembers(survivors, 30) })
	t.Logf("domain of 10 members removed everywhere in %v", elapsed)
	suspected := 0
	n := survivors[0]
	n.mu.Lock()
	must.Eq(t, refutedBefore, !n.m.connectivity.domainRefuted[domain{"r0", "d2"}].IsZero())
	for _, r := range n.m.members.records {
		if r.status == statusSuspected {
			suspected++
		}
	}
	n.mu.Unlock()
	must.Zero(t, suspected)
}

// Guards against the removal of a member that only one other member can't reach.
func TestNode_SuspicionRefuted(t *testing.T) {
	runVirtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 8, 4, 1)
		nodes[0].mu.Lock()
		monitored := nodes[0].m.monitored()[0]
		nodes[0].mu.Unlock()
		other := nodes[slices.IndexFunc(nodes, func(n *Node) bool { return n.id == monitored })]
		a, b := nodes[0].Self().Address, other.Self().Address
		net.set(func() { net.blocked = func(x, y string) bool { return (x == a && y == b) || (x == b && y == a) } })
		before := other.Self().Incarnation + nodes[0].Self().Incarnation
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			must.True(t, allHaveMembers(nodes, 8))
		}
		must.Greater(t, before, other.Self().Incarnation+nodes[0].Self().Incarnation)
	})
}

// Guards against facts that stay lost when messages are dropped or reordered.
func TestNode_LossAndReordering(t *testing.T) {
	runVirtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 20, 4, 1)
		net.set(func() { net.loss, net.reorder = 0.3, 300*time.Millisecond })
		for i := range 20 {
			for v := range 5 {
				nodes[i].Publish("k", []byte{byte('0' + v)}, 0)
				time.Sleep(20 * time.Millisecond)
			}
		}
		elapsed := waitFor(t, 2*time.Minute, "all facts", func() bool {
			return !slices.ContainsFunc(nodes, func(n *Node) bool { return !allHaveFact(nodes, n.id, "k", "4")() })
		})
		t.Logf("20 facts reached all %v after the last", elapsed)
	})
}

// Guards against a fact that was lost on all connections and never reaches the other members while the connections stay
// up.
func TestNode_LostFactIsRepaired(t *testing.T) {
	runVirtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 8, 4, 1)
		time.Sleep(10 * time.Second)
		net.set(func() { net.loss = 1 })
		nodes[3].Publish("late", []byte("1"), 0)
		time.Sleep(time.Second)
		net.set(func() { net.loss = 0 })
		elapsed := waitFor(t, time.Minute, "lost fact", allHaveFact(nodes, nodes[3].id, "late", "1"))
		t.Logf("a fact lost on all connections was repaired everywhere in %v", elapsed)
	})
}

// Guards against facts that are kept beyond their TTL, and against facts and records of dead members that are never
// removed.
func TestNode_Expiry(t *testing.T) {
	runVirtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 6, 3, 1)
		nodes[0].Publish("short", []byte("1"), 5*time.Second)
		nodes[5].Publish("k", []byte("1"), 0)
		waitFor(t, time.Second, "facts", allHaveFact(nodes, nodes[0].id, "short", "1"))
		time.Sleep(6 * time.Second)
		must.True(t, allHaveFact(nodes, nodes[0].id, "short", "")())
		net.kill(nodes[5])
		rest := nodes[:5]
		waitFor(t, 15*time.Second, "dead", func() bool { return allHaveMembers(rest, 5) })
		must.True(t, allHaveFact(rest, nodes[5].id, "k", "1")())
		time.Sleep(deadRetention + time.Minute)
		must.True(t, allHaveFact(rest, nodes[5].id, "k", "")())
		must.Eq(t, 5, rest[0].Stats().Facts)
	})
}

// Guards against calls that fail for members without a connection that carries facts, and against direct connections
// that are never closed.
func TestNode_DirectCalls(t *testing.T) {
	runVirtual(t, func(t *testing.T, net *memNet) {
		nodes := net.cluster(t, 30, 3, 1)
		time.Sleep(time.Minute) // until the initial connections have settled
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
		net.stall(far.Self().Address, a.Self().Address)
		start := time.Now()
		_, err = a.Call(ctx, far.id, "echo", nil)
		must.ErrorIs(t, err, ErrConnectionLost)
		must.LessEq(t, 5*time.Second, time.Since(start))
		_, err = a.Call(ctx, far.id, "echo", nil)
		must.NoError(t, err)
		time.Sleep(directIdleTimeout + 2*time.Second)
		a.mu.Lock()
		must.MapEmpty(t, a.direct)
		a.mu.Unlock()
		net.kill(far)
		_, err = a.Call(ctx, far.id, "echo", nil)
		must.ErrorIs(t, err, ErrUnreachable)
	})
}

// Guards against frequent facts that arrive late after members have joined: each member publishes a report of 150 bytes
// 2.5 times a second.
func TestNode_FrequentFactsOfJoiningMembers(t *testing.T) {
	runVirtual(t, func(t *testing.T, net *memNet) {
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
					if f == nil || time.Since(f.storedAt) > 3*interval {
						late++
					}
				}
				at.mu.Unlock()
			}
		}
		must.Zero(t, late)
	})
}

// Guards against accepted connections for calls that stay open, and count against the bound for connections, after the member that
// opened them has vanished without closing them, and against closing those on which calls are made.
func TestNode_SilentAcceptedConnEnds(t *testing.T) {
	runVirtual(t, func(t *testing.T, net *memNet) {
		n := net.start(t, testMember(0, 1, 1))
		open := func(id string) Conn {
			c, err := memTransport{net, id}.Dial(t.Context(), n.Self().Address)
			must.NoError(t, err)
			must.NoError(t, c.Send(encodeMessage(&message{Kind: kindHello, Hello: &hello{
				Member: Member{ID: id, Address: id, FailureDomain: "d", Region: "r"}, Start: 1, CallsOnly: true,
			}})))
			_, err = readHello(c)
			must.NoError(t, err)
			return c
		}
		accepted := func() int {
			n.mu.Lock()
			defer n.mu.Unlock()
			return len(n.accepted)
		}
		open("silent")
		used := open("used")
		for range 5 {
			time.Sleep(acceptedIdleTimeout / 4)
			must.NoError(t, used.Send(encodeMessage(&message{Kind: kindPing})))
		}
		time.Sleep(2 * time.Second)
		must.Eq(t, 1, accepted())
		must.NoError(t, used.Close())
	})
}
