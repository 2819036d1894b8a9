package peer

import (
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	maxOutgoing     = 8
	fullMeshMembers = 9
	crossRegion     = 2 // connections to other regions
	probesPerDomain = 2
	minBackoff      = 250 * time.Millisecond
	maxBackoff      = 5 * time.Second
	// accuseGrace is the time for a new dial before a member counts as unreachable.
	accuseGrace = time.Second
	// A member that refuted is accused again only after a pause, which doubles up to the maximum.
	minAccusePause = 10 * time.Second
	maxAccusePause = 2 * time.Minute
	// domainJitter spreads the observers of a lost failure domain, so that few of them publish the loss.
	domainJitter = 600 * time.Millisecond
	// failureMemory is longer than the longest time between two dials of a planned member.
	failureMemory = 10 * time.Second
	// firstDials is the number of seeds that are dialled soon after the start. When all start together, one each
	// leaves several groups that find each other only after exploreEvery.
	firstDials   = 3
	exploreEvery = 10 * time.Second // mean time between dials of members believed dead, to heal a partition
	trimEvery    = 10 * time.Second
)

// contact is the state of reaching one member.
type contact struct {
	downSince    time.Time // first failure since the last connection; zero when reachable or untried
	failures     int       // dials that failed since the last connection
	lastFailure  time.Time
	dialling     bool
	nextDial     time.Time
	backoff      time.Duration
	accusePause  time.Duration
	accuseBefore time.Time // not accused before this time
}

// contacts holds whom to connect to.
type contacts struct {
	byID        map[string]*contact
	seeds       []string          // addresses from the settings
	listed      map[string]Member // the platform's list
	seedDial    time.Time
	seedBackoff time.Duration
	firstDials  int
	replan      bool
	plan        []string
	nextTrim    time.Time
	domainAt    map[domain]time.Time // when a loss that is seen here is published
	refuted     map[domain]time.Time // last refutation of a loss
}

func newContacts(seeds []string) contacts {
	return contacts{
		byID: map[string]*contact{}, seeds: seeds, listed: map[string]Member{}, replan: true, seedBackoff: minBackoff,
		domainAt: map[domain]time.Time{}, refuted: map[domain]time.Time{},
	}
}

func (c *contacts) get(id string) *contact {
	k := c.byID[id]
	if k == nil {
		k = &contact{}
		c.byID[id] = k
	}
	return k
}

func (c *contacts) up(id string) {
	k := c.get(id)
	k.downSince, k.failures, k.backoff, k.dialling = time.Time{}, 0, 0, false
	c.seedBackoff = minBackoff
	c.replan = true
}

func (c *contacts) down(id string, now time.Time, jitter time.Duration) {
	k := c.get(id)
	if k.downSince.IsZero() {
		k.downSince = now
	}
	k.nextDial = now.Add(jitter)
	c.replan = true
}

func (c *contacts) forget(id string) {
	delete(c.byID, id)
	c.replan = true
}

// resume restarts the timers after a pause of this process.
func (c *contacts) resume(now time.Time) {
	for _, k := range c.byID {
		k.failures = 0
		if !k.downSince.IsZero() {
			k.downSince = now
		}
	}
	clear(c.domainAt)
}

// dialFailed takes the failure of a dial.
func (m *machine) dialFailed(member string, now time.Time) {
	if member == "" {
		return
	}
	k := m.contact.get(member)
	k.dialling = false
	k.failures++
	k.lastFailure = now
	if k.downSince.IsZero() {
		k.downSince = now
	}
	k.backoff = min(max(2*k.backoff, minBackoff), maxBackoff)
	k.nextDial = now.Add(k.backoff/2 + m.jitter(k.backoff))
	m.contact.replan = true
}

// dialDone takes the end of a dial that reached some member.
func (m *machine) dialDone(member string) {
	if member != "" {
		m.contact.get(member).dialling = false
	}
}

// maintain dials the planned members and explores.
func (m *machine) maintain(now time.Time) {
	if m.contact.replan {
		m.contact.replan = false
		m.contact.plan = m.planLinks(now)
	}
	for _, id := range m.contact.plan {
		r := m.members.records[id]
		k := m.contact.get(id)
		if r != nil && m.byPeer[id] == nil && !k.dialling && !now.Before(k.nextDial) {
			k.dialling = true
			m.emit(dialOutput{r.Address, id})
		}
	}
	m.explore(now)
	m.trim(now)
}

// explore dials a seed or a member believed dead: often without connections, else rarely.
func (m *machine) explore(now time.Time) {
	c := &m.contact
	if now.Before(c.seedDial) {
		return
	}
	switch {
	case len(m.links) == 0:
		c.seedDial = now.Add(c.seedBackoff/2 + m.jitter(c.seedBackoff))
		c.seedBackoff = min(2*c.seedBackoff, maxBackoff)
	case c.firstDials < firstDials:
		c.firstDials++
		c.seedDial = now.Add(minBackoff + m.jitter(minBackoff))
	default:
		c.seedDial = now.Add(exploreEvery/2 + m.jitter(exploreEvery))
	}
	candidates := m.strangers()
	if len(candidates) > 0 {
		m.emit(dialOutput{candidates[m.rng.IntN(len(candidates))], ""})
	}
}

// strangers returns the addresses that may lead to members outside the live view.
func (m *machine) strangers() []string {
	known := map[string]bool{m.self.Address: true}
	var out []string
	for _, r := range m.members.records {
		if len(m.links) > 0 && !r.dead {
			known[r.Address] = true
		} else if r.status != statusLeft && r.ID != m.self.ID {
			out = append(out, r.Address)
		}
	}
	for _, l := range m.contact.listed {
		out = append(out, l.Address)
	}
	out = append(out, m.contact.seeds...)
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return known[a] })
}

// updateListed takes the platform's list of instances.
func (m *machine) updateListed(list []Member) {
	clear(m.contact.listed)
	for _, l := range list {
		if l.ID != m.self.ID && l.Address != "" {
			m.contact.listed[l.ID] = l
		}
	}
	m.contact.seedDial = time.Time{}
}

// planLinks returns the members to which this one keeps connections that it dials.
func (m *machine) planLinks(now time.Time) []string {
	var plan []string
	if len(m.members.live) <= fullMeshMembers {
		for _, r := range m.members.live {
			if r.ID > m.self.ID || m.unreachedFor(r.ID) {
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
	for _, id := range m.watched() {
		add(id)
	}
	linked := m.linkedDomains()
	for d, members := range m.liveDomains() {
		if d == m.self.domain() || d.region != m.self.Region || linked[d] > 0 {
			continue
		}
		for _, id := range m.candidates(members, 1+probesPerDomain, now) {
			add(id)
		}
	}
	for _, id := range m.crossCandidates(linked, now) {
		add(id)
	}
	return plan
}

// unreachedFor reports whether a member that should dial this one hasn't got through, so that this one tries too.
func (m *machine) unreachedFor(id string) bool {
	k := m.contact.byID[id]
	return id != m.self.ID && m.byPeer[id] == nil && k != nil && !k.downSince.IsZero()
}

// failing reports whether recent dials of a member failed.
func (m *machine) failing(id string, now time.Time) bool {
	k := m.contact.byID[id]
	return m.byPeer[id] == nil && k != nil && k.failures > 0 && now.Sub(k.lastFailure) < failureMemory
}

// candidates returns the first preferred member that isn't failing, and the failing ones before it up to n.
func (m *machine) candidates(members []string, n int, now time.Time) []string {
	top := rendezvous.Top(m.self.ID, members, n)
	for i, id := range top {
		if !m.failing(id, now) {
			return top[:i+1]
		}
	}
	return top
}

func (m *machine) linkedDomains() map[domain]int {
	linked := map[domain]int{}
	for _, l := range m.links {
		if r := m.members.records[l.peer]; r != nil {
			linked[r.domain()]++
		}
	}
	return linked
}

// liveDomains returns the IDs of the live members by failure domain.
func (m *machine) liveDomains() map[domain][]string {
	all := map[domain][]string{}
	for _, r := range m.members.live {
		if r.ID != m.self.ID && !r.Leaving {
			all[r.domain()] = append(all[r.domain()], r.ID)
		}
	}
	return all
}

// crossCandidates returns members of other regions to dial while fewer than crossRegion connections lead there.
func (m *machine) crossCandidates(linked map[domain]int, now time.Time) []string {
	have := 0
	for d, n := range linked {
		if d.region != m.self.Region {
			have += n
		}
	}
	if have >= crossRegion {
		return nil
	}
	var others []string
	for d, members := range m.liveDomains() {
		if d.region != m.self.Region {
			others = append(others, members...)
		}
	}
	return m.candidates(others, crossRegion+probesPerDomain, now)
}

// trim closes one outgoing connection that is no longer needed. Slow trimming avoids that members open and close
// connections in answer to each other.
func (m *machine) trim(now time.Time) {
	if now.Before(m.contact.nextTrim) || len(m.members.live) <= fullMeshMembers {
		return
	}
	m.contact.nextTrim = now.Add(trimEvery/2 + m.jitter(trimEvery))
	linked := m.linkedDomains()
	for _, l := range m.links {
		if !l.outbound || slices.Contains(m.contact.plan, l.peer) || now.Sub(l.since) < trimEvery {
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
