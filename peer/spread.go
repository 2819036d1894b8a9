package peer

import (
	"strings"
	"time"
)

// publish stores value as the next version of this member's fact with the key and queues it for all connections.
func (m *machine) publish(key string, value []byte, ttl time.Duration, now time.Time) {
	m.seq++
	f := Fact{Origin: m.self.ID, Key: key, Version: m.start<<epochShift | m.seq, Value: value, TTL: ttl}
	m.store(f, nil, now)
}

// rankBits is the number of low bits of a shared fact's version that hold its rank.
const rankBits = 8

// publishShared stores value as the next version of the shared fact with the key. Of versions that members publish at the
// same time, the one with the highest rank counts.
func (m *machine) publishShared(key string, rank uint8, value []byte, ttl time.Duration, now time.Time) {
	next := uint64(1)
	if old := m.facts.byID[factID("", key)]; old != nil {
		next = old.Version>>rankBits + 1
	}
	m.store(Fact{Key: key, Version: next<<rankBits | uint64(rank), Value: value, TTL: ttl}, nil, now)
}

// publishSelf publishes the member fact of this member with its incarnation and status.
func (m *machine) publishSelf(now time.Time) {
	w := wireMember{
		ID: m.self.ID, Address: m.self.Address, FailureDomain: m.self.FailureDomain,
		Region: m.self.Region, Start: m.start,
	}
	m.announce(&w, m.self.Incarnation, m.status, now)
}

// announce publishes a member fact about any member.
func (m *machine) announce(w *wireMember, incarnation uint64, st status, now time.Time) {
	value, err := encMode.Marshal(w)
	if err != nil {
		panic(err) // every field has a CBOR encoding
	}
	f := Fact{Origin: w.ID, Key: memberKey, Version: incarnation<<statusBits | uint64(st), Value: value}
	if st == statusSuspected || st == statusLeft {
		f.TTL = deadRetention
	}
	m.store(f, nil, now)
}

// store stores a fact that is newer than the stored one, dispatches it and queues it for all connections except the one
// it arrived on (from; nil for a fact that this member publishes). It returns false if the fact wasn't stored.
func (m *machine) store(f Fact, from *link, now time.Time) bool {
	s := m.facts.put(f, now)
	if s == nil {
		return false
	}
	m.dispatchFact(s, from != nil, now)
	for _, l := range m.links {
		if l != from {
			m.queue(l, s, now)
		}
	}
	return true
}

// dispatchFact applies a membership fact, or emits a fact that was received from another member for the subscribers.
func (m *machine) dispatchFact(f *storedFact, received bool, now time.Time) {
	switch {
	case f.Key == memberKey:
		m.applyMember(f, now)
	case strings.HasPrefix(f.Key, domainPrefix):
		m.applyDomain(f, now)
	case received:
		m.emit(factOutput{f.Fact})
	}
}

func (m *machine) applyMember(f *storedFact, now time.Time) {
	var w wireMember
	if err := decMode.Unmarshal(f.Value, &w); err != nil || w.ID != f.Origin {
		return
	}
	if old := m.members.records[w.ID]; old != nil && w.Start > old.start {
		m.removeEarlierProcess(w.ID, w.Start)
	}
	m.members.apply(&w, f.Version, now)
	m.membersChanged = true
}

// removeEarlierProcess removes the facts that an earlier process with the same ID published.
func (m *machine) removeEarlierProcess(id string, start uint64) {
	m.facts.removeOrigin(id, func(f *storedFact) bool {
		return f.Key == memberKey || f.Version>>epochShift >= start
	})
}

func (m *machine) applyDomain(f *storedFact, now time.Time) {
	d, ok := domainOfKey(f.Key)
	if !ok {
		return
	}
	if f.Version%2 == 0 {
		m.connectivity.domainRefuted[d] = now
	}
	m.members.applyDomain(d, f.Version, now)
	m.membersChanged = true
}

// queue schedules a fact to be sent on a connection.
func (m *machine) queue(l *link, f *storedFact, now time.Time) {
	l.pending[f.id] = struct{}{}
	if l.flushAt.IsZero() {
		l.flushAt = now.Add(m.jitter(flushWindow))
	}
}

// flush sends the pending facts of a connection in messages of bounded size. Frequent facts above the rate limit stay
// pending, where a later version replaces them.
func (m *machine) flush(l *link, now time.Time) {
	l.flushAt = time.Time{}
	m.refillPace(now)
	var batch []wireFact
	size := 0
	for id := range l.pending {
		w, ok := m.toWire(id, now)
		bytes := len(w.Origin) + len(w.Key) + len(w.Value) + 24
		if ok && m.facts.byID[id].frequent {
			if m.paceBudget <= 0 {
				l.flushAt = now.Add(paceRetryDelay)
				continue
			}
			m.paceBudget -= float64(bytes)
		}
		delete(l.pending, id)
		if !ok {
			continue
		}
		batch, size = append(batch, w), size+bytes
		if size >= maxDeltaBytes {
			m.send(l, &message{Kind: kindDelta, Facts: batch}, now)
			batch, size = nil, 0
		}
	}
	if len(batch) > 0 {
		m.send(l, &message{Kind: kindDelta, Facts: batch}, now)
	}
}

// refillPace adds the bytes of frequent facts allowed for the time since the last call, up to paceBurst.
func (m *machine) refillPace(now time.Time) {
	m.paceBudget = min(paceBurst, m.paceBudget+now.Sub(m.paceRefilledAt).Seconds()*m.paceRate)
	m.paceRefilledAt = now
}

// toWire returns the encoded form of a stored fact with its remaining TTL, and false if it is removed or expired.
func (m *machine) toWire(id uint64, now time.Time) (wireFact, bool) {
	f := m.facts.byID[id]
	if f == nil {
		return wireFact{}, false
	}
	ttl, ok := f.remaining(now)
	return wireFact{Origin: f.Origin, Key: f.Key, Version: f.Version, Value: f.Value, TTL: ttl}, ok
}

// applyFact handles a fact received from a connection and cancels the pending send of the same or an older version.
func (m *machine) applyFact(w *wireFact, from *link, now time.Time) {
	id := factID(w.Origin, w.Key)
	if _, waiting := from.pending[id]; waiting {
		if mine := m.facts.byID[id]; mine == nil || mine.Version <= w.Version {
			delete(from.pending, id)
		}
	}
	f := Fact{Origin: w.Origin, Key: w.Key, Version: w.Version, Value: w.Value, TTL: time.Duration(w.TTL) * time.Millisecond}
	if w.Origin == m.self.ID {
		m.applyOwnFact(&f, now)
		return
	}
	if !m.acceptFact(&f) {
		return
	}
	if m.store(f, from, now) {
		m.refuteDomainLoss(&f, now)
	}
}

// acceptFact reports whether a fact is well-formed and doesn't come from an earlier process of its origin.
func (m *machine) acceptFact(f *Fact) bool {
	if strings.HasPrefix(f.Key, domainPrefix) {
		return f.Origin == ""
	}
	if f.isShared() {
		return true
	}
	if f.Key == memberKey {
		var w wireMember
		if err := decMode.Unmarshal(f.Value, &w); err != nil || w.ID != f.Origin || w.ID == "" {
			return false
		}
		r := m.members.records[f.Origin]
		return !m.members.isTombstoned(f.Origin, w.Start) && (r == nil || w.Start >= r.start || f.Version>>statusBits > r.Incarnation)
	}
	start := f.Version >> epochShift
	r := m.members.records[f.Origin]
	return !m.members.isTombstoned(f.Origin, start) && (r == nil || start >= r.start)
}

// applyOwnFact supersedes a fact about this member that it didn't publish: a suspicion, or a fact that an earlier
// process with this ID published.
func (m *machine) applyOwnFact(f *Fact, now time.Time) {
	if f.Key != memberKey {
		if f.Version>>epochShift > m.start {
			m.supersedeEarlierProcess(f.Version>>epochShift+1, now)
		}
		return
	}
	mine := m.self.Incarnation<<statusBits | uint64(m.status)
	if f.Version <= mine || m.status == statusLeft {
		return
	}
	var w wireMember
	if err := decMode.Unmarshal(f.Value, &w); err == nil && w.Start > m.start {
		m.supersedeEarlierProcess(w.Start+1, now)
	}
	m.self.Incarnation = max(m.self.Incarnation, f.Version>>statusBits) + 1
	m.publishSelf(now)
}

// supersedeEarlierProcess raises the start of this process above that of an earlier one whose clock was ahead, and
// republishes the facts of this member.
func (m *machine) supersedeEarlierProcess(start uint64, now time.Time) {
	m.start = start
	own := make([]*storedFact, 0, len(m.facts.byOrigin[m.self.ID]))
	for _, f := range m.facts.byOrigin[m.self.ID] {
		own = append(own, f)
	}
	m.self.Incarnation = max(m.self.Incarnation, start) + 1
	m.publishSelf(now)
	for _, f := range own {
		ttl, ok := f.remaining(now)
		if f.Key != memberKey && ok {
			m.publish(f.Key, f.Value, time.Duration(ttl)*time.Millisecond, now)
		}
	}
}

// refuteDomainLoss refutes a loss of this member's own failure domain. All members of the domain publish the same
// version, so that their refutations are one fact.
func (m *machine) refuteDomainLoss(f *Fact, now time.Time) {
	own := m.self.domain()
	if f.Key != own.key() || f.Version%2 == 0 || m.status == statusLeft {
		return
	}
	if m.self.Incarnation >= f.Version>>1 {
		return // this process started after the loss, which doesn't cover it
	}
	if now.Sub(m.startedAt) < suspicionPeriod {
		// The loss was published before this process started, so this process can't refute it for the domain. The
		// higher incarnation excludes it from the loss.
		m.self.Incarnation = f.Version>>1 + 1
		m.publishSelf(now)
		return
	}
	m.store(Fact{Key: f.Key, Version: f.Version + 1, TTL: deadRetention}, nil, now)
}
