package peer

import "time"

// refutedPause is the time after a refuted loss of a domain in which its members are accused one by one.
const refutedPause = 10 * time.Second

// ringOf returns the live members of a region in ring order. Regions of fewer than three members share one ring over
// all regions, so that each member has two watchers.
func (m *machine) ringOf(region string) []*record {
	var ring []*record
	for _, r := range m.members.ring {
		if r.Region == region {
			ring = append(ring, r)
		}
	}
	if len(ring) < 3 {
		return m.members.ring
	}
	return ring
}

// watched returns the members whose ring neighbour this one is.
func (m *machine) watched() []string {
	var ids []string
	seen := map[string]bool{}
	for _, r := range m.members.live {
		if seen[r.Region] {
			continue
		}
		seen[r.Region] = true
		ids = append(ids, m.neighbours(m.ringOf(r.Region), r.Region)...)
	}
	return ids
}

// neighbours returns the members of region beside this one in the ring. The successor is dialled; the predecessor
// dials this member, and is dialled only after its connection was lost.
func (m *machine) neighbours(ring []*record, region string) []string {
	n := len(ring)
	for i, r := range ring {
		if r.ID != m.self.ID {
			continue
		}
		var ids []string
		if next := ring[(i+1)%n]; next.Region == region {
			ids = append(ids, next.ID)
		}
		if prev := ring[(i+n-1)%n]; prev.Region == region && m.unreachedFor(prev.ID) {
			ids = append(ids, prev.ID)
		}
		return ids
	}
	return nil
}

// accuse publishes that a watched member or a whole failure domain can't be reached.
func (m *machine) accuse(now time.Time) {
	m.accuseDomains(now)
	for _, id := range m.watched() {
		if id != m.self.ID && m.mayAccuse(id, now) {
			m.accuseMember(id, now)
		}
	}
}

func (m *machine) unreachable(id string, now time.Time) bool {
	return m.failing(id, now) && now.Sub(m.contact.byID[id].downSince) >= accuseGrace
}

func (m *machine) mayAccuse(id string, now time.Time) bool {
	r := m.members.records[id]
	if r == nil || r.dead || r.status >= statusAccused || !m.unreachable(id, now) {
		return false
	}
	if m.domainSuspected(r.domain(), now) && m.countsForDomain(id, r.domain()) {
		return false
	}
	return !now.Before(m.contact.get(id).accuseBefore)
}

func (m *machine) accuseMember(id string, now time.Time) {
	k, r := m.contact.get(id), m.members.records[id]
	k.accusePause = min(max(2*k.accusePause, minAccusePause), maxAccusePause)
	k.accuseBefore = now.Add(k.accusePause)
	w := wireMember{
		ID: r.ID, Address: r.Address, FailureDomain: r.FailureDomain, Region: r.Region, Start: r.start,
	}
	m.announce(&w, r.Incarnation, statusAccused, now)
}

// domainSuspected reports whether the loss of d is known or likely, so that its members aren't accused one by one.
func (m *machine) domainSuspected(d domain, now time.Time) bool {
	if m.members.domains[d].lost() {
		return true
	}
	if refuted, ok := m.contact.refuted[d]; ok && now.Sub(refuted) < refutedPause {
		return false
	}
	if d == m.self.domain() {
		return false
	}
	live := 0
	for _, r := range m.members.live {
		if r.domain() == d {
			live++
		}
	}
	return live >= 2 && m.linkedDomains()[d] == 0
}

// countsForDomain reports whether a member's failure is evidence of the loss of its domain: it must have begun after
// the last refutation, which otherwise has answered it.
func (m *machine) countsForDomain(id string, d domain) bool {
	return m.contact.get(id).downSince.After(m.contact.refuted[d])
}

// accuseDomains publishes the loss of a failure domain when two of its members are unreachable and none is connected.
func (m *machine) accuseDomains(now time.Time) {
	failing := map[domain]int{}
	for id := range m.contact.byID {
		if r := m.members.records[id]; r != nil && !r.dead && m.unreachable(id, now) && m.countsForDomain(id, r.domain()) {
			failing[r.domain()]++
		}
	}
	for d := range m.contact.domainAt {
		if failing[d] < 2 || !m.domainSuspected(d, now) || m.members.domains[d].lost() {
			delete(m.contact.domainAt, d)
		}
	}
	for d, n := range failing {
		if n < 2 || !m.domainSuspected(d, now) || m.members.domains[d].lost() {
			continue
		}
		m.accuseDomain(d, now)
	}
}

func (m *machine) accuseDomain(d domain, now time.Time) {
	at, scheduled := m.contact.domainAt[d]
	if !scheduled {
		m.contact.domainAt[d] = now.Add(m.jitter(domainJitter))
		return
	}
	if now.Before(at) {
		return
	}
	delete(m.contact.domainAt, d)
	version := uint64(now.UnixMilli())<<1 | 1
	if s := m.members.domains[d]; s != nil && s.version >= version {
		version = (s.version | 1) + 2
	}
	m.store(Fact{Key: d.key(), Version: version, TTL: deadRetention}, nil, now)
}
