package peer

import (
	"math/rand/v2"
	"strings"
	"time"
)

const (
	tickInterval      = 200 * time.Millisecond
	heartbeatInterval = time.Second
	silenceLimit      = 3 * time.Second
	// pauseLimit is the gap between ticks after which this process counts as paused. Its timers then say nothing
	// about the others.
	pauseLimit = 1500 * time.Millisecond
	// A new fact waits for up to flushWindow on each connection, a different time on each. Copies that arrive
	// meanwhile cancel sends, and facts that belong together share a message.
	flushWindow = 80 * time.Millisecond
	// refreshInterval bounds the work for a burst of changes of the membership, as when all members start together.
	refreshInterval = 100 * time.Millisecond
	digestInterval  = 5 * time.Second
	// Frequent facts of all members together leave a node with at most paceBytes a second over all its connections.
	// That keeps a node within 4 KB a second for control; what is above it comes later but loses no fact. It is the
	// default of Settings.PaceBytes.
	paceBytes = 2500
	paceBurst = 32 << 10
	paceRetry = 200 * time.Millisecond
	// epochShift makes room for the sequence number in a fact version; the part above is the start of the process.
	epochShift = 22
)

type linkID uint64

// link is an established connection that carries facts.
type link struct {
	id       linkID
	peer     string
	outbound bool
	since    time.Time
	heard    time.Time // last message received
	sent     time.Time // last message sent
	pending  map[uint64]struct{}
	flushAt  time.Time // when pending is sent; zero without pending facts
	seq      uint64
	chosen   int // rotates the buckets listed in digests
}

// Outputs of the machine, carried out by Node in order.
type (
	sendOutput struct {
		link linkID
		msg  *message
	}
	dialOutput struct {
		address string
		member  string // expected ID; "" for a seed
	}
	closeOutput   struct{ link linkID }
	factOutput    struct{ fact Fact }
	membersOutput struct{ members []Member }
)

// machine is the state of a member. It has no clock, I/O or goroutine; it isn't safe for concurrent use.
type machine struct {
	self    Member
	start   uint64 // of this process, milliseconds since 1970; rises when an earlier life had a higher one
	begun   time.Time
	seq     uint64
	status  status
	rng     *rand.Rand
	facts   *factStore
	members *memberTable
	links   map[linkID]*link
	byPeer  map[string]*link
	contact contacts
	out     []any

	membersChanged bool
	refreshed      time.Time // when the live members were last recomputed
	lastTick       time.Time
	nextTick       time.Time
	nextDigest     time.Time
	digestTurn     int
	pace           float64 // bytes that frequent facts may use now
	paceRate       float64 // bytes a second
	pacedAt        time.Time
}

func newMachine(self Member, seeds []string, now time.Time, seed uint64) *machine {
	m := &machine{
		self: self, start: uint64(now.UnixMilli()), begun: now,
		rng:     rand.New(rand.NewPCG(seed, factID(self.ID, ""))),
		facts:   newFactStore(),
		members: newMemberTable(self.ID),
		links:   map[linkID]*link{},
		byPeer:  map[string]*link{},
		contact: newContacts(seeds),
	}
	m.self.Incarnation, m.self.Leaving = m.start, false
	m.lastTick, m.nextTick = now, now
	m.pace, m.paceRate, m.pacedAt = paceBurst, paceBytes, now
	m.nextDigest = now.Add(m.jitter(digestInterval))
	m.publishSelf(now)
	m.finish(now)
	return m
}

// jitter returns a random duration below d.
func (m *machine) jitter(d time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(d))) }

func (m *machine) emit(o any) { m.out = append(m.out, o) }

// take returns and clears the outputs.
func (m *machine) take() []any {
	out := m.out
	m.out = nil
	return out
}

// finish brings derived state up to date after an event, at most once in refreshInterval; the next tick does the rest.
func (m *machine) finish(now time.Time) {
	if m.membersChanged && now.Sub(m.refreshed) >= refreshInterval {
		m.refresh(now)
	}
}

// refresh recomputes who is alive.
func (m *machine) refresh(now time.Time) {
	if !m.members.refresh(now, m.membersChanged) {
		return
	}
	m.membersChanged, m.refreshed = false, now
	m.contact.replan = true
	m.emit(membersOutput{m.members.snapshot()})
}

// next returns when tick must be called.
func (m *machine) next() time.Time {
	at := m.nextTick
	for _, l := range m.links {
		if !l.flushAt.IsZero() && l.flushAt.Before(at) {
			at = l.flushAt
		}
	}
	return at
}

// tick does what is due at now.
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
	m.watchLinks(now)
	m.accuse(now)
	m.maintain(now)
	m.antiEntropy(now)
	m.refresh(now)
}

// resume restarts the timers after this process was paused.
func (m *machine) resume(now time.Time) {
	for _, l := range m.links {
		l.heard = now
	}
	for _, r := range m.members.records {
		if r.status == statusAccused && !r.dead {
			r.accusedAt = now
		}
	}
	for _, s := range m.members.domains {
		if s.lost() && now.Sub(s.heard) < suspicionPeriod+now.Sub(m.lastTick) {
			s.heard = now
		}
	}
	m.contact.resume(now)
}

func (m *machine) expire(now time.Time) {
	for _, f := range m.facts.expire(now) {
		switch {
		case f.Key == memberKey && f.Origin != m.self.ID:
			m.forget(f.Origin, now)
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
		m.forget(id, now)
	}
	delete(m.members.domains, d)
}

func (m *machine) forget(id string, now time.Time) {
	m.members.forget(id, now)
	m.facts.removeOrigin(id, func(*storedFact) bool { return false })
	m.contact.forget(id)
	m.membersChanged = true
}

// watchLinks sends heartbeats and closes silent connections.
func (m *machine) watchLinks(now time.Time) {
	for _, l := range m.links {
		if now.Sub(l.heard) >= silenceLimit {
			m.emit(closeOutput{l.id})
			m.dropLink(l, now)
			continue
		}
		// Half a tick early keeps the interval at one second although ticks are coarser.
		if now.Sub(l.sent) >= heartbeatInterval-tickInterval/2 {
			l.seq++
			m.send(l, &message{Kind: kindPing, Seq: l.seq}, now)
		}
	}
}

func (m *machine) send(l *link, msg *message, now time.Time) {
	l.sent = now
	m.emit(sendOutput{l.id, msg})
}

// linkUp takes a connection whose hello has arrived. It returns false when the connection isn't wanted.
func (m *machine) linkUp(id linkID, h *hello, outbound bool, now time.Time) bool {
	if h.Member.ID == m.self.ID {
		return false
	}
	if old := m.byPeer[h.Member.ID]; old != nil {
		if m.keepOld(old, outbound, now) {
			return false
		}
		m.emit(closeOutput{old.id})
		m.removeLink(old)
	}
	l := &link{id: id, peer: h.Member.ID, outbound: outbound, since: now, heard: now, sent: now, pending: map[uint64]struct{}{}}
	m.links[id], m.byPeer[l.peer] = l, l
	m.contact.up(l.peer)
	m.greet(l, h, now)
	m.finish(now)
	return true
}

// keepOld decides between two connections to one member. The newer one replaces the older, which may be silent, but
// when both sides dialled at the same time, both keep the one that the lower ID dialled.
func (m *machine) keepOld(old *link, outbound bool, now time.Time) bool {
	if old.outbound == outbound || now.Sub(old.since) > time.Second {
		return false
	}
	return old.outbound == (m.self.ID < old.peer)
}

// greet starts the exchange of facts on a new connection.
func (m *machine) greet(l *link, h *hello, now time.Time) {
	for _, origin := range []string{m.self.ID, l.peer} {
		if f := m.facts.byID[factID(origin, memberKey)]; f != nil {
			m.queue(l, f, now)
		}
	}
	switch {
	case h.Facts <= 2 && len(m.facts.byID) > 2*h.Facts:
		m.sendAll(l, now) // the other side has just started
	case l.outbound && len(m.facts.byID) > 2:
		m.send(l, &message{Kind: kindDigest, Digest: &digest{Step: digestRoot, Root: m.facts.root()}}, now)
	}
}

func (m *machine) sendAll(l *link, now time.Time) {
	for _, f := range m.facts.byID {
		l.pending[f.id] = struct{}{}
	}
	m.flush(l, now)
}

// linkDown takes the end of a connection.
func (m *machine) linkDown(id linkID, now time.Time) {
	if l := m.links[id]; l != nil {
		m.dropLink(l, now)
		m.finish(now)
	}
}

func (m *machine) dropLink(l *link, now time.Time) {
	m.removeLink(l)
	m.contact.down(l.peer, now, m.jitter(100*time.Millisecond))
}

func (m *machine) removeLink(l *link) {
	delete(m.links, l.id)
	if m.byPeer[l.peer] == l {
		delete(m.byPeer, l.peer)
	}
	m.contact.replan = true
}

// receive takes a message of an established connection.
func (m *machine) receive(id linkID, msg *message, now time.Time) {
	l := m.links[id]
	if l == nil {
		return
	}
	l.heard = now
	switch msg.Kind {
	case kindDelta:
		for i := range msg.Facts {
			m.applyFact(&msg.Facts[i], l, now)
		}
	case kindDigest:
		m.answerDigest(l, msg.Digest, now)
	}
	m.finish(now)
}
