package peer

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var machineStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// receiveMessage passes a message to a new machine with one connection.
func receiveMessage(msg *message) {
	m := newMachine(testMember(0, 2, 1), nil, machineStart, 1)
	m.linkUp(1, &hello{Member: testMember(1, 2, 1), Facts: 5}, true, machineStart)
	m.receive(1, msg, machineStart)
	m.tick(machineStart.Add(time.Second))
	m.takeOutputs()
}

// ownVersion returns the version of a fact that the machine's own member published.
func ownVersion(m *machine, key string) uint64 { return m.facts.byID[factID(m.self.ID, key)].Version }

// Guards against a restarted process whose clock is behind that of the earlier process and whose facts are rejected as
// older: they must supersede those of the earlier process.
func TestMachine_RestartWithClockBehind(t *testing.T) {
	before := newMachine(testMember(0, 2, 1), nil, machineStart.Add(time.Hour), 1)
	before.publish("k", []byte("old"), 0, machineStart)
	old := []wireFact{}
	for id := range before.facts.byID {
		w, _ := before.toWire(id, machineStart)
		old = append(old, w)
	}
	m := newMachine(testMember(0, 2, 1), nil, machineStart, 1)
	m.publish("k", []byte("new"), 0, machineStart)
	m.linkUp(1, &hello{Member: testMember(1, 2, 1), Facts: 5}, true, machineStart)
	m.receive(1, &message{Kind: kindDelta, Facts: old}, machineStart)
	must.Greater(t, ownVersion(before, "k"), ownVersion(m, "k"))
	must.Greater(t, ownVersion(before, memberKey), ownVersion(m, memberKey))
	must.Eq(t, "new", string(m.facts.byID[factID(m.self.ID, "k")].Value))
}

// Guards against a member or its peers using unbounded memory for the facts of one origin.
func TestMachine_BoundedFacts(t *testing.T) {
	m := newMachine(testMember(0, 2, 1), nil, machineStart, 1)
	for i := range 2 * maxOriginFacts {
		m.publish(string(rune(i)), nil, 0, machineStart)
	}
	must.Eq(t, maxOriginFacts, len(m.facts.byID))
}

// Guards against a process that removes connections or members because of timers that ran while it was paused.
func TestMachine_PauseRestartsTimers(t *testing.T) {
	m := newMachine(testMember(0, 2, 1), nil, machineStart, 1)
	m.tick(machineStart)
	other := newMachine(testMember(1, 2, 1), nil, machineStart, 1)
	m.linkUp(1, &hello{Member: other.self, Facts: 5}, true, machineStart)
	alive, _ := other.toWire(factID(other.self.ID, memberKey), machineStart)
	suspected := alive
	suspected.Version += uint64(statusSuspected)
	m.receive(1, &message{Kind: kindDelta, Facts: []wireFact{alive, suspected}}, machineStart)
	now := machineStart.Add(time.Minute)
	m.tick(now)
	must.MapLen(t, 1, m.links)
	must.SliceLen(t, 2, m.members.live)
	for range 20 {
		now = now.Add(tickInterval)
		m.tick(now)
	}
	must.MapEmpty(t, m.links)
	must.SliceLen(t, 1, m.members.live)
}

// Guards against a dial that fails after the other side has connected, and whose failure then counts when that connection
// is lost much later: the member is suspected at once, and not as a part of the loss of its domain.
func TestMachine_DialFailsAfterConnection(t *testing.T) {
	m := newMachine(testMember(0, 2, 1), nil, machineStart, 1)
	peer := testMember(1, 2, 1)
	m.linkUp(1, &hello{Member: peer, Facts: 5}, false, machineStart)
	m.dialFailed(peer.ID, machineStart.Add(time.Second))
	lost := machineStart.Add(time.Minute)
	m.linkDown(1, lost)
	m.dialFailed(peer.ID, lost.Add(tickInterval))
	must.False(t, m.unreachable(peer.ID, lost.Add(suspicionGrace-time.Nanosecond)))
	must.True(t, m.unreachable(peer.ID, lost.Add(suspicionGrace)))
}

// Guards against a member that is suspected individually at the loss of its domain, because another connection to the domain
// has not timed out yet. A sign of life on that connection shows that only the member has failed.
func TestMachine_SuspicionAwaitsOtherConnectionsToDomain(t *testing.T) {
	for name, alive := range map[string]bool{"connection silent": false, "connection alive": true} {
		t.Run(name, func(t *testing.T) {
			m := newMachine(testMember(0, 2, 1), nil, machineStart, 1)
			now := machineStart
			for i, peer := range []Member{testMember(1, 2, 1), testMember(3, 2, 1)} {
				other := newMachine(peer, nil, now, 1)
				m.linkUp(linkID(i+1), &hello{Member: other.self, Facts: 5}, false, now)
				self, _ := other.toWire(factID(peer.ID, memberKey), now)
				m.receive(linkID(i+1), &message{Kind: kindDelta, Facts: []wireFact{self}}, now)
			}
			failed := testMember(1, 2, 1).ID
			m.linkDown(1, now.Add(tickInterval))
			m.dialFailed(failed, now.Add(2*tickInterval))
			if alive {
				m.receive(2, &message{Kind: kindPing}, now.Add(3*tickInterval))
			}
			now = now.Add(tickInterval + suspicionGrace)
			must.True(t, m.unreachable(failed, now))
			must.Eq(t, alive, m.maySuspect(failed, now))
		})
	}
}

// Guards against frequently updated facts that exceed the budget for control traffic, and against a rare fact that is
// delayed behind them.
func TestMachine_PacesFrequentFacts(t *testing.T) {
	m := newMachine(testMember(0, 2, 1), nil, machineStart, 1)
	m.linkUp(1, &hello{Member: testMember(1, 2, 1), Facts: 5}, true, machineStart)
	now, sent, rareAt := machineStart, 0, time.Time{}
	const seconds = 60
	for i := range seconds * 50 {
		now = now.Add(20 * time.Millisecond)
		m.publish(string(rune('a'+i%20)), make([]byte, 200), 0, now)
		if i == seconds*40 {
			m.publish("rare", nil, 0, now)
		}
		m.receive(1, &message{Kind: kindPing}, now)
		m.tick(now)
		for _, o := range m.takeOutputs() {
			s, ok := o.(sendOutput)
			if !ok {
				continue
			}
			sent += len(encodeMessage(s.msg))
			for _, f := range s.msg.Facts {
				if f.Key == "rare" && rareAt.IsZero() {
					rareAt = now
				}
			}
		}
	}
	must.Less(t, 4000*seconds, sent)
	must.Between(t, 0, rareAt.Sub(machineStart)-seconds*40*20*time.Millisecond, 2*flushWindow)
}

// allFacts returns the stored facts of a machine in the form in which they are sent.
func allFacts(m *machine, now time.Time) (facts []wireFact) {
	for id := range m.facts.byID {
		if w, ok := m.toWire(id, now); ok {
			facts = append(facts, w)
		}
	}
	return facts
}

// exchange passes all facts of a machine to another one and returns the keys of those that reach its subscribers.
func exchange(from, to *machine, now time.Time) (keys []string) {
	to.linkUp(1, &hello{Member: from.self, Facts: 5}, true, now)
	to.receive(1, &message{Kind: kindDelta, Facts: allFacts(from, now)}, now)
	return emittedFacts(to)
}

func emittedFacts(m *machine) (keys []string) {
	for _, o := range m.takeOutputs() {
		if f, ok := o.(factOutput); ok {
			keys = append(keys, f.fact.Key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Guards against knowledge of others that is lost with the process which published it: the facts of an earlier process are
// dropped at the start of a later one, and those of a member with the member.
func TestMachine_SharedFactsOutliveProcess(t *testing.T) {
	first := newMachine(testMember(0, 2, 1), nil, machineStart, 1)
	first.publish("own", nil, time.Minute, machineStart)
	first.publishShared("shared", 1, []byte("x"), time.Minute, machineStart)
	must.SliceEmpty(t, emittedFacts(first)) // a member is not told what it has published itself
	other := newMachine(testMember(1, 2, 1), nil, machineStart, 1)
	must.Eq(t, []string{"own", "shared"}, exchange(first, other, machineStart))

	later := machineStart.Add(10 * time.Second)
	second := newMachine(testMember(0, 2, 1), nil, later, 1)
	other.receive(1, &message{Kind: kindDelta, Facts: allFacts(second, later)}, later)
	must.Nil(t, other.facts.byID[factID(first.self.ID, "own")])
	must.Eq(t, []string{"shared"}, exchange(other, second, later))
	must.Eq(t, 50*time.Second, second.facts.byID[factID("", "shared")].expiresAt.Sub(later))

	other.removeMember(first.self.ID, later)
	third := newMachine(testMember(2, 2, 1), nil, later, 1)
	must.Eq(t, []string{"shared"}, exchange(other, third, later))
	late := newMachine(testMember(3, 2, 1), nil, later, 1)
	must.SliceEmpty(t, exchange(third, late, machineStart.Add(time.Minute))) // it has expired
}

// Guards against members that keep different versions of a shared fact which they published at the same time.
func TestMachine_SharedFactsConverge(t *testing.T) {
	value := func(m *machine) string { return string(m.facts.byID[factID("", "k")].Value) }
	a := newMachine(testMember(0, 2, 1), nil, machineStart, 1)
	b := newMachine(testMember(1, 2, 1), nil, machineStart, 1)
	a.publishShared("k", 1, []byte("one"), time.Minute, machineStart)
	b.publishShared("k", 2, []byte("two"), time.Minute, machineStart)
	exchange(a, b, machineStart)
	exchange(b, a, machineStart)
	must.Eq(t, "two", value(a))
	must.Eq(t, "two", value(b))
	a.publishShared("k", 0, []byte("none"), time.Minute, machineStart) // a later version counts whatever its rank
	exchange(a, b, machineStart)
	must.Eq(t, "none", value(b))
}

// Guards against shared facts that use unbounded memory, or that keep out the state of failure domains.
func TestMachine_BoundedSharedFacts(t *testing.T) {
	m := newMachine(testMember(0, 2, 1), nil, machineStart, 1)
	for i := range 2 * maxSharedFacts {
		m.publishShared(strconv.Itoa(i), 0, nil, time.Minute, machineStart)
	}
	must.MapLen(t, maxSharedFacts, m.facts.byOrigin[""])
	member := testMember(1, 2, 1)
	lost := member.domain()
	m.store(Fact{Key: lost.key(), Version: 3, TTL: deadRetention}, nil, machineStart)
	must.MapLen(t, maxSharedFacts+1, m.facts.byOrigin[""])
}
