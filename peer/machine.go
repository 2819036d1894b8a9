package peer

import (
	"math/rand/v2"
	"strings"
	"time"
)

const (
	tickInterval      = 200 * time.Millisecond
	heartbeatInterval = time.Second
	stallTimeout      = 3 * time.Second
	// pauseLimit is the gap between ticks after which this process counts as paused. Timers that ran during a pause
	// don't show whether other members are reachable.
	pauseLimit = 1500 * time.Millisecond
	// flushWindow is the maximum of the random delay of a new fact on each connection. A copy that arrives from the
	// other side meanwhile cancels the send, and facts that are published together share a message.
	flushWindow = 80 * time.Millisecond
	// refreshInterval bounds the work for a burst of membership changes, as when all members start together.
	refreshInterval = 100 * time.Millisecond
	digestInterval  = 5 * time.Second
	// defaultPaceRate is the default of Settings.PaceBytesPerSecond: the bytes a second that a node sends, over all its
	// connections, for frequent facts of all members. It keeps the control traffic of a node within 4 KB a second;
	// facts above the rate are delayed but not lost.
	defaultPaceRate = 2500
	paceBurst       = 32 << 10 // bytes
	paceRetryDelay  = 200 * time.Millisecond
	// epochShift is the number of low bits of a fact version that hold the sequence number; the bits above hold the
	// start time of the process.
	epochShift = 22
)

type linkID uint64

// link is an established connection that carries facts.
type link struct {
	id           linkID
	peer         string
	outbound     bool
	connectedAt  time.Time
	lastReceived time.Time
	lastSent     time.Time
	pending      map[uint64]struct{} // IDs of the facts to send
	flushAt      time.Time           // when pending is sent; zero if no send is scheduled
	seq          uint64
	nextBucket   int // first bucket to compare in the next digest, so that all take turns
}

// Outputs of the machine, executed by Node in order.
type (
	sendOutput struct {
		link linkID
		msg  *message
	}
	dialOutput struct {
		address string
		member  string // expected ID; "" for a discovery dial
	}
	closeOutput   struct{ link linkID }
	factOutput    struct{ fact Fact }
	membersOutput struct{ members []Member }
)

// machine is the protocol state machine of a member. It has no clock, I/O or goroutines and isn't safe for concurrent
// use.
type machine struct {
	self         Member
	start        uint64 // start of the process, milliseconds since 1970; raised above that of an earlier process
	startedAt    time.Time
	seq          uint64 // sequence number of the last published fact
	status       status
	rng          *rand.Rand
	facts        *factStore
	members      *memberTable
	links        map[linkID]*link
	byPeer       map[string]*link
	connectivity connectivity
	outputs      []any

	membersChanged bool
	refreshedAt    time.Time // when the live members were last recomputed
	lastTick       time.Time
	nextTick       time.Time
	nextDigest     time.Time
	digestRound    int
	paceBudget     float64 // bytes of frequent facts that may be sent now
	paceRate       float64 // bytes a second
	paceRefilledAt time.Time
}

func newMachine(self Member, seeds []string, now time.Time, seed uint64) *machine {
	m := &machine{
		self: self, start: uint64(now.UnixMilli()), startedAt: now,
		rng:          rand.New(rand.NewPCG(seed, factID(self.ID, ""))),
		facts:        newFactStore(),
		members:      newMemberTable(self.ID),
		links:        map[linkID]*link{},
		byPeer:       map[string]*link{},
		connectivity: newConnectivity(seeds),
	}
	m.self.Incarnation, m.self.Leaving = m.start, false
	m.lastTick, m.nextTick = now, now
	m.paceBudget, m.paceRate, m.paceRefilledAt = paceBurst, defaultPaceRate, now
	m.nextDigest = now.Add(m.jitter(digestInterval))
	m.publishSelf(now)
	m.refreshIfDue(now)
	return m
}

// jitter returns a random duration below d.
func (m *machine) jitter(d time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(d))) }

func (m *machine) emit(o any) { m.outputs = append(m.outputs, o) }

// takeOutputs returns the outputs and clears them.
func (m *machine) takeOutputs() []any {
	out := m.outputs
	m.outputs = nil
	return out
}

// refreshIfDue recomputes the live members after a change, at most once in refreshInterval; else the next tick does it.
func (m *machine) refreshIfDue(now time.Time) {
	if m.membersChanged && now.Sub(m.refreshedAt) >= refreshInterval {
		m.refresh(now)
	}
}

// refresh recomputes the live members and emits them if they may have changed.
func (m *machine) refresh(now time.Time) {
	if !m.members.refresh(now, m.membersChanged) {
		return
	}
	m.membersChanged, m.refreshedAt = false, now
	m.connectivity.replan = true
	m.emit(membersOutput{m.members.snapshot()})
}

// nextDue returns the time of the next call of tick.
func (m *machine) nextDue() time.Time {
	at := m.nextTick
	for _, l := range m.links {
		if !l.flushAt.IsZero() && l.flushAt.Before(at) {
			at = l.flushAt
		}
	}
	return at
}

// tick sends the pending facts and runs the periodic work that is due at now.
func (m *machine) tick(now time.Time) {
	for _, l := range m.links {
		if !l.flushAt.IsZero() && !now.Before(l.flushAt) {
			m.flush(l, now)
		}
	}
	if now.Before(m.nextTick) {
		return
	}
	if now.Sub(m.lastTick) > pauseLimit {
		m.resume(now)
	}
	m.lastTick, m.nextTick = now, now.Add(tickInterval)
	m.expire(now)
	m.checkLinks(now)
	m.suspectUnreachable(now)
	m.maintainLinks(now)
	m.antiEntropy(now)
	m.refresh(now)
}

// resume restarts the timers that detect failures after this process was paused.
func (m *machine) resume(now time.Time) {
	for _, l := range m.links {
		l.lastReceived = now
	}
	for _, r := range m.members.records {
		if r.status == statusSuspected && !r.dead {
			r.suspectedAt = now
		}
	}
	for _, s := range m.members.domains {
		if s.lost() && now.Sub(s.lossReceived) < suspicionPeriod+now.Sub(m.lastTick) {
			s.lossReceived = now
		}
	}
	m.connectivity.resume(now)
}

// expire removes expired facts, and the members whose death or domain loss has expired.
func (m *machine) expire(now time.Time) {
	for _, f := range m.facts.expire(now) {
		switch {
		case f.Key == memberKey && f.Origin != m.self.ID:
			m.removeMember(f.Origin, now)
		case strings.HasPrefix(f.Key, domainPrefix):
			m.expireDomain(f.Key, now)
		}
	}
}

func (m *machine) expireDomain(key string, now time.Time) {
	d, ok := domainOfKey(key)
	if !ok {
		return
	}
	for _, id := range m.members.coveredBy(d) {
		m.removeMember(id, now)
	}
	delete(m.members.domains, d)
}

// removeMember removes a member with all its facts.
func (m *machine) removeMember(id string, now time.Time) {
	m.members.remove(id, now)
	m.facts.removeOrigin(id, func(*storedFact) bool { return false })
	m.connectivity.remove(id)
	m.membersChanged = true
}

// checkLinks sends heartbeats and closes stalled connections.
func (m *machine) checkLinks(now time.Time) {
	for _, l := range m.links {
		if now.Sub(l.lastReceived) >= stallTimeout {
			m.emit(closeOutput{l.id})
			m.dropLink(l, now)
			continue
		}
		// Sending up to half a tick early keeps the interval at one second although ticks are coarse.
		if now.Sub(l.lastSent) >= heartbeatInterval-tickInterval/2 {
			l.seq++
			m.send(l, &message{Kind: kindPing, Seq: l.seq}, now)
		}
	}
}

func (m *machine) send(l *link, msg *message, now time.Time) {
	l.lastSent = now
	m.emit(sendOutput{l.id, msg})
}

// linkUp registers a connection after the exchange of hellos. It returns false when the connection isn't needed.
func (m *machine) linkUp(id linkID, h *hello, outbound bool, now time.Time) bool {
	if h.Member.ID == m.self.ID {
		return false
	}
	if existing := m.byPeer[h.Member.ID]; existing != nil {
		if m.keepExisting(existing, outbound, now) {
			return false
		}
		m.emit(closeOutput{existing.id})
		m.removeLink(existing)
	}
	l := &link{id: id, peer: h.Member.ID, outbound: outbound, connectedAt: now, lastReceived: now, lastSent: now,
		pending: map[uint64]struct{}{}}
	m.links[id], m.byPeer[l.peer] = l, l
	m.connectivity.markConnected(l.peer)
	m.startSync(l, h, now)
	m.refreshIfDue(now)
	return true
}

// keepExisting reports whether an existing connection to a member is kept instead of a new one. The new one replaces
// the existing one, which may be stalled; but if both sides dialled at the same time, both keep the connection that the
// member with the lower ID dialled.
func (m *machine) keepExisting(existing *link, outbound bool, now time.Time) bool {
	if existing.outbound == outbound || now.Sub(existing.connectedAt) > time.Second {
		return false
	}
	return existing.outbound == (m.self.ID < existing.peer)
}

// startSync starts the exchange of facts on a new connection.
func (m *machine) startSync(l *link, h *hello, now time.Time) {
	for _, origin := range []string{m.self.ID, l.peer} {
		if f := m.facts.byID[factID(origin, memberKey)]; f != nil {
			m.queue(l, f, now)
		}
	}
	switch {
	case h.Facts <= 2 && len(m.facts.byID) > 2*h.Facts:
		m.sendAll(l, now) // the other side has just started
	case l.outbound && len(m.facts.byID) > 2:
		m.send(l, &message{Kind: kindDigest, Digest: &digest{Step: digestRoot, Root: m.facts.rootHash()}}, now)
	}
}

// sendAll sends all facts on a connection.
func (m *machine) sendAll(l *link, now time.Time) {
	for _, f := range m.facts.byID {
		l.pending[f.id] = struct{}{}
	}
	m.flush(l, now)
}

// linkDown handles the end of a connection.
func (m *machine) linkDown(id linkID, now time.Time) {
	if l := m.links[id]; l != nil {
		m.dropLink(l, now)
		m.refreshIfDue(now)
	}
}

// dropLink removes a failed connection and schedules a new dial.
func (m *machine) dropLink(l *link, now time.Time) {
	m.removeLink(l)
	m.connectivity.markDisconnected(l.peer, now, m.jitter(100*time.Millisecond))
}

func (m *machine) removeLink(l *link) {
	delete(m.links, l.id)
	if m.byPeer[l.peer] == l {
		delete(m.byPeer, l.peer)
	}
	m.connectivity.replan = true
}

// receive handles a message from an established connection.
func (m *machine) receive(id linkID, msg *message, now time.Time) {
	l := m.links[id]
	if l == nil {
		return
	}
	l.lastReceived = now
	switch msg.Kind {
	case kindDelta:
		for i := range msg.Facts {
			m.applyFact(&msg.Facts[i], l, now)
		}
	case kindDigest:
		m.handleDigest(l, msg.Digest, now)
	}
	m.refreshIfDue(now)
}
