package peer

import (
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	maxOutgoing        = 8 // planned outgoing connections that carry facts
	maxFullMeshMembers = 9 // up to this number, every member connects to all others
	crossRegionLinks   = 2 // connections to other regions below which a member dials more
	probesPerDomain    = 2 // further members to dial in a domain while dials of the preferred ones fail
	minBackoff         = 250 * time.Millisecond
	maxBackoff         = 5 * time.Second
	// suspicionGrace is the time after a failure in which a new dial may succeed before a member counts as unreachable.
	suspicionGrace = time.Second
	// A member that refuted a suspicion is suspected again only after a pause, which doubles up to the maximum.
	minSuspicionPause = 10 * time.Second
	maxSuspicionPause = 2 * time.Minute
	// domainLossJitter is the maximum of a random delay before the loss of a failure domain is published, so that only
	// few of its observers publish it.
	domainLossJitter = 600 * time.Millisecond
	// dialFailureTTL is the time for which a failed dial counts. It exceeds the longest time between two dials of
	// a planned member.
	dialFailureTTL = 10 * time.Second
	// initialDiscoveryDials is the number of seeds that are dialled soon after the start. When all members start
	// together and dial one seed each, they form several groups that connect only after discoveryInterval.
	initialDiscoveryDials = 3
	discoveryInterval     = 10 * time.Second // mean time between dials of seeds and dead members, to heal a partition
	trimInterval          = 10 * time.Second
)

// reachability tracks the dials, failures and suspicions of one member.
type reachability struct {
	failingSince   time.Time // first failure since the last connection; zero when connected or never tried
	failedDials    int       // since the last connection
	lastFailure    time.Time
	dialling       bool
	nextDial       time.Time
	backoff        time.Duration
	suspicionPause time.Duration
	nextSuspicion  time.Time // earliest time of the next suspicion
}

// connectivity holds the known addresses, the reachability of each member and the plan of connections.
type connectivity struct {
	byID             map[string]*reachability
	seeds            []string          // addresses from the settings
	listed           map[string]Member // the platform's list of instances by ID
	nextDiscovery    time.Time
	discoveryBackoff time.Duration
	discoveryDials   int      // initial discovery dials so far
	replan           bool     // plan must be recomputed
	plan             []string // IDs of the members to which this one keeps outgoing connections
	nextTrim         time.Time
	domainLossDue    map[domain]time.Time // when the loss that this member observes is published
	domainRefuted    map[domain]time.Time // when the last refutation of a loss was received
}

func newConnectivity(seeds []string) connectivity {
	return connectivity{
		byID: map[string]*reachability{}, seeds: seeds, listed: map[string]Member{}, replan: true,
		discoveryBackoff: minBackoff, domainLossDue: map[domain]time.Time{}, domainRefuted: map[domain]time.Time{},
	}
}

// reachabilityOf returns the reachability of a member and creates it if there is none.
func (c *connectivity) reachabilityOf(id string) *reachability {
	reach := c.byID[id]
	if reach == nil {
		reach = &reachability{}
		c.byID[id] = reach
	}
	return reach
}

// markConnected resets the failures of a member to which a connection was established.
func (c *connectivity) markConnected(id string) {
	reach := c.reachabilityOf(id)
	reach.failingSince, reach.failedDials, reach.backoff, reach.dialling = time.Time{}, 0, 0, false
	c.discoveryBackoff = minBackoff
	c.replan = true
}

// markDisconnected records the loss of a connection and schedules a new dial after jitter.
func (c *connectivity) markDisconnected(id string, now time.Time, jitter time.Duration) {
	reach := c.reachabilityOf(id)
	if reach.failingSince.IsZero() {
		reach.failingSince = now
	}
	reach.nextDial = now.Add(jitter)
	c.replan = true
}

func (c *connectivity) remove(id string) {
	delete(c.byID, id)
	c.replan = true
}

// resume restarts the failure timers after this process was paused.
func (c *connectivity) resume(now time.Time) {
	for _, reach := range c.byID {
		reach.failedDials = 0
		if !reach.failingSince.IsZero() {
			reach.failingSince = now
		}
	}
	clear(c.domainLossDue)
}

// dialFailed records a failed dial and schedules the next one with exponential backoff.
func (m *machine) dialFailed(member string, now time.Time) {
	if member == "" {
		return
	}
	reach := m.connectivity.reachabilityOf(member)
	reach.dialling = false
	if m.byPeer[member] != nil {
		return // the member has connected in the meantime
	}
	reach.failedDials++
	reach.lastFailure = now
	if reach.failingSince.IsZero() {
		reach.failingSince = now
	}
	reach.backoff = min(max(2*reach.backoff, minBackoff), maxBackoff)
	reach.nextDial = now.Add(reach.backoff/2 + m.jitter(reach.backoff))
	m.connectivity.replan = true
}

// dialDone records the end of a successful dial.
func (m *machine) dialDone(member string) {
	if member != "" {
		m.connectivity.reachabilityOf(member).dialling = false
	}
}

// maintainLinks dials the planned members without a connection, runs discovery and closes surplus connections.
func (m *machine) maintainLinks(now time.Time) {
	if m.connectivity.replan {
		m.connectivity.replan = false
		m.connectivity.plan = m.planLinks(now)
	}
	for _, id := range m.connectivity.plan {
		r := m.members.records[id]
		reach := m.connectivity.reachabilityOf(id)
		if r != nil && m.byPeer[id] == nil && !reach.dialling && !now.Before(reach.nextDial) {
			reach.dialling = true
			m.emit(dialOutput{r.Address, id})
		}
	}
	m.discover(now)
	m.trimLinks(now)
}

// discover dials a random address that may lead to members that are not among the live ones. Without connections, it
// dials with a short backoff. With connections, it dials initialDiscoveryDials times soon after the start, and then
// about every discoveryInterval.
func (m *machine) discover(now time.Time) {
	c := &m.connectivity
	if now.Before(c.nextDiscovery) {
		return
	}
	switch {
	case len(m.links) == 0:
		c.nextDiscovery = now.Add(c.discoveryBackoff/2 + m.jitter(c.discoveryBackoff))
		c.discoveryBackoff = min(2*c.discoveryBackoff, maxBackoff)
	case c.discoveryDials < initialDiscoveryDials:
		c.discoveryDials++
		c.nextDiscovery = now.Add(minBackoff + m.jitter(minBackoff))
	default:
		c.nextDiscovery = now.Add(discoveryInterval/2 + m.jitter(discoveryInterval))
	}
	candidates := m.discoveryAddresses()
	if len(candidates) > 0 {
		m.emit(dialOutput{candidates[m.rng.IntN(len(candidates))], ""})
	}
}

// discoveryAddresses returns the seeds and the addresses of listed members and of dead members that haven't left,
// except those of live members. Without connections it includes the live members.
func (m *machine) discoveryAddresses() []string {
	excluded := map[string]bool{m.self.Address: true}
	var out []string
	for _, r := range m.members.records {
		if len(m.links) > 0 && !r.dead {
			excluded[r.Address] = true
		} else if r.status != statusLeft && r.ID != m.self.ID {
			out = append(out, r.Address)
		}
	}
	for _, l := range m.connectivity.listed {
		out = append(out, l.Address)
	}
	out = append(out, m.connectivity.seeds...)
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return excluded[a] })
}

// updateListed replaces the platform's list of instances and runs discovery at the next tick.
func (m *machine) updateListed(list []Member) {
	clear(m.connectivity.listed)
	for _, l := range list {
		if l.ID != m.self.ID && l.Address != "" {
			m.connectivity.listed[l.ID] = l
		}
	}
	m.connectivity.nextDiscovery = time.Time{}
}

// planLinks returns the IDs of the members to which this one keeps outgoing connections.
func (m *machine) planLinks(now time.Time) []string {
	var plan []string
	if len(m.members.live) <= maxFullMeshMembers {
		for _, r := range m.members.live {
			if r.ID > m.self.ID || m.disconnected(r.ID) {
				plan = append(plan, r.ID)
			}
		}
		return plan[:min(len(plan), maxOutgoing)]
	}
	add := func(id string) {
		if id != "" && id != m.self.ID && !slices.Contains(plan, id) && len(plan) < maxOutgoing {
			plan = append(plan, id)
		}
	}
	for _, id := range m.monitored() {
		add(id)
	}
	linked := m.linksByDomain()
	for d, members := range m.liveByDomain() {
		if d == m.self.domain() || d.region != m.self.Region || linked[d] > 0 {
			continue
		}
		for _, id := range m.dialCandidates(members, 1+probesPerDomain, now) {
			add(id)
		}
	}
	for _, id := range m.crossRegionCandidates(linked, now) {
		add(id)
	}
	return plan
}

// disconnected reports whether there is no connection to a member after one was lost or a dial failed. This member
// then dials it even if the other side is the one that should dial.
func (m *machine) disconnected(id string) bool {
	reach := m.connectivity.byID[id]
	return id != m.self.ID && m.byPeer[id] == nil && reach != nil && !reach.failingSince.IsZero()
}

// dialsFailing reports whether a dial of an unconnected member failed within dialFailureTTL.
func (m *machine) dialsFailing(id string, now time.Time) bool {
	reach := m.connectivity.byID[id]
	return m.byPeer[id] == nil && reach != nil && reach.failedDials > 0 && now.Sub(reach.lastFailure) < dialFailureTTL
}

// dialCandidates returns the members in rendezvous order up to and including the first whose dials aren't failing, at
// most n.
func (m *machine) dialCandidates(members []string, n int, now time.Time) []string {
	top := rendezvous.Top(m.self.ID, members, n)
	for i, id := range top {
		if !m.dialsFailing(id, now) {
			return top[:i+1]
		}
	}
	return top
}

// linksByDomain returns the number of connections to each failure domain.
func (m *machine) linksByDomain() map[domain]int {
	linked := map[domain]int{}
	for _, l := range m.links {
		if r := m.members.records[l.peer]; r != nil {
			linked[r.domain()]++
		}
	}
	return linked
}

// liveByDomain returns the IDs of the other live members that aren't leaving, by failure domain.
func (m *machine) liveByDomain() map[domain][]string {
	all := map[domain][]string{}
	for _, r := range m.members.live {
		if r.ID != m.self.ID && !r.Leaving {
			all[r.domain()] = append(all[r.domain()], r.ID)
		}
	}
	return all
}

// crossRegionCandidates returns members of other regions to dial while there are fewer than crossRegionLinks
// connections to other regions.
func (m *machine) crossRegionCandidates(linked map[domain]int, now time.Time) []string {
	links := 0
	for d, n := range linked {
		if d.region != m.self.Region {
			links += n
		}
	}
	if links >= crossRegionLinks {
		return nil
	}
	var others []string
	for d, members := range m.liveByDomain() {
		if d.region != m.self.Region {
			others = append(others, members...)
		}
	}
	return m.dialCandidates(others, crossRegionLinks+probesPerDomain, now)
}

// trimLinks closes at most one outgoing connection that is no longer planned, about every trimInterval. The low rate
// keeps members from opening and closing connections in response to each other.
func (m *machine) trimLinks(now time.Time) {
	if now.Before(m.connectivity.nextTrim) || len(m.members.live) <= maxFullMeshMembers {
		return
	}
	m.connectivity.nextTrim = now.Add(trimInterval/2 + m.jitter(trimInterval))
	linked := m.linksByDomain()
	for _, l := range m.links {
		if !l.outbound || slices.Contains(m.connectivity.plan, l.peer) || now.Sub(l.connectedAt) < trimInterval {
			continue
		}
		r := m.members.records[l.peer]
		if r != nil && r.domain() != m.self.domain() && linked[r.domain()] < 2 {
			continue
		}
		m.emit(closeOutput{l.id})
		m.removeLink(l)
		return
	}
}
