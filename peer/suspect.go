package peer

import "time"

// domainRefutationPause is the time after a refuted loss of a domain in which its members are suspected individually.
const domainRefutationPause = 10 * time.Second

// ringOf returns the live members of a region in ring order. For a region of fewer than three members it returns the
// ring of all regions, so that two members monitor each member.
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

// monitored returns the IDs of the members that this one monitors as a ring neighbour.
func (m *machine) monitored() []string {
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

// neighbours returns the IDs of the members of region next to this one in the ring: the successor, which this member
// dials, and the predecessor, which dials this member and is included only after its connection was lost.
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
		if prev := ring[(i+n-1)%n]; prev.Region == region && m.disconnected(prev.ID) {
			ids = append(ids, prev.ID)
		}
		return ids
	}
	return nil
}

// suspectUnreachable publishes the suspicion of unreachable monitored members and the loss of failure domains.
func (m *machine) suspectUnreachable(now time.Time) {
	m.publishLostDomains(now)
	for _, id := range m.monitored() {
		if id != m.self.ID && m.maySuspect(id, now) {
			m.suspectMember(id, now)
		}
	}
}

// unreachable reports whether dials of a member are failing and it has been unconnected for suspicionGrace.
func (m *machine) unreachable(id string, now time.Time) bool {
	return m.dialsFailing(id, now) && now.Sub(m.connectivity.byID[id].failingSince) >= suspicionGrace
}

// maySuspect reports whether to suspect a member individually: it is unreachable, not yet suspected or dead, not in its
// suspicion pause and not part of a likely or possible loss of its domain.
func (m *machine) maySuspect(id string, now time.Time) bool {
	r := m.members.records[id]
	if r == nil || r.dead || r.status >= statusSuspected || !m.unreachable(id, now) {
		return false
	}
	if m.isDomainEvidence(id, r.domain()) && (m.domainLossLikely(r.domain(), now) || m.mayLoseDomain(id, r.domain(), now)) {
		return false
	}
	return !now.Before(m.connectivity.reachabilityOf(id).nextSuspicion)
}

// suspectMember publishes the suspicion of a member and doubles its suspicion pause.
func (m *machine) suspectMember(id string, now time.Time) {
	reach, r := m.connectivity.reachabilityOf(id), m.members.records[id]
	reach.suspicionPause = min(max(2*reach.suspicionPause, minSuspicionPause), maxSuspicionPause)
	reach.nextSuspicion = now.Add(reach.suspicionPause)
	w := wireMember{
		ID: r.ID, Address: r.Address, FailureDomain: r.FailureDomain, Region: r.Region, Start: r.start,
	}
	m.announce(&w, r.Incarnation, statusSuspected, now)
}

// domainLossLikely reports whether the loss of d has been received or is likely, in which case its members aren't
// suspected individually.
func (m *machine) domainLossLikely(d domain, now time.Time) bool {
	if m.members.domains[d].lost() {
		return true
	}
	if !m.concernsDomain(d, now) {
		return false
	}
	live := 0
	for _, r := range m.members.live {
		if r.domain() == d {
			live++
		}
	}
	return live >= 2 && m.linksByDomain()[d] == 0
}

// mayLoseDomain reports whether connections to the domain of a failed member remain, and nothing was received on any of
// them since the failure. They have yet to time out if the domain is lost.
func (m *machine) mayLoseDomain(id string, d domain, now time.Time) bool {
	if !m.concernsDomain(d, now) {
		return false
	}
	since, links := m.connectivity.reachabilityOf(id).failingSince, 0
	for _, l := range m.links {
		if r := m.members.records[l.peer]; r == nil || r.domain() != d {
			continue
		}
		if l.lastReceived.After(since) {
			return false
		}
		links++
	}
	return links > 0
}

// concernsDomain reports whether failures of members of d may be those of the whole domain. A refuted loss excludes that
// for a time, and this member's own domain is not lost.
func (m *machine) concernsDomain(d domain, now time.Time) bool {
	refuted, ok := m.connectivity.domainRefuted[d]
	return d != m.self.domain() && (!ok || now.Sub(refuted) >= domainRefutationPause)
}

// isDomainEvidence reports whether a member's failure is evidence of the loss of its domain. The failure must have
// begun after the last refutation of a loss, because that refutation also applies to the failures before it.
func (m *machine) isDomainEvidence(id string, d domain) bool {
	return m.connectivity.reachabilityOf(id).failingSince.After(m.connectivity.domainRefuted[d])
}

// publishLostDomains publishes the loss of each failure domain of which at least two members are unreachable and none
// is connected.
func (m *machine) publishLostDomains(now time.Time) {
	failing := map[domain]int{}
	for id := range m.connectivity.byID {
		if r := m.members.records[id]; r != nil && !r.dead && m.unreachable(id, now) && m.isDomainEvidence(id, r.domain()) {
			failing[r.domain()]++
		}
	}
	for d := range m.connectivity.domainLossDue {
		if failing[d] < 2 || !m.domainLossLikely(d, now) || m.members.domains[d].lost() {
			delete(m.connectivity.domainLossDue, d)
		}
	}
	for d, n := range failing {
		if n < 2 || !m.domainLossLikely(d, now) || m.members.domains[d].lost() {
			continue
		}
		m.publishDomainLoss(d, now)
	}
}

// publishDomainLoss publishes the loss of d after a random delay of up to domainLossJitter.
func (m *machine) publishDomainLoss(d domain, now time.Time) {
	due, scheduled := m.connectivity.domainLossDue[d]
	if !scheduled {
		m.connectivity.domainLossDue[d] = now.Add(m.jitter(domainLossJitter))
		return
	}
	if now.Before(due) {
		return
	}
	delete(m.connectivity.domainLossDue, d)
	version := uint64(now.UnixMilli())<<1 | 1
	if s := m.members.domains[d]; s != nil && s.version >= version {
		version = (s.version | 1) + 2
	}
	m.store(Fact{Key: d.key(), Version: version, TTL: deadRetention}, nil, now)
}
