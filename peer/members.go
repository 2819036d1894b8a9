package peer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// suspicionPeriod is the time in which a suspected member can refute the suspicion, and the members of a failure
	// domain its loss.
	suspicionPeriod = 3 * time.Second
	// deadRetention is how long the fact of a death and the facts of the dead member are kept. It is sent as the TTL of
	// that fact, so that all members remove them at about the same time.
	deadRetention = 10 * time.Minute
	// tombstoneRetention is how long the removal of a member is recorded, so that members that remove it later don't
	// bring back its facts.
	tombstoneRetention = 5 * time.Minute

	reservedPrefix = "peer/"
	memberKey      = reservedPrefix + "m"
	domainPrefix   = reservedPrefix + "d/"
)

// status is held in the lowest statusBits of a member fact's version, so that a higher status takes precedence within
// one incarnation.
type status uint64

const (
	statusAlive status = iota
	statusLeaving
	statusSuspected // a ring neighbour can't reach the member; dead after suspicionPeriod unless refuted
	statusLeft      // announced by the member itself
	statusBits      = 2
)

// wireMember is the value of a member fact; incarnation and status are in the version.
type wireMember struct {
	_             struct{} `cbor:",toarray"`
	ID            string
	Address       string
	FailureDomain string
	Region        string
	Start         uint64 // start of the process, milliseconds since 1970
}

// record is the state of a member in the view of this one.
type record struct {
	Member
	ringHash    uint64 // position in the ring
	start       uint64 // start of its process, milliseconds since 1970
	status      status
	suspectedAt time.Time // when this member received the suspicion
	dead        bool
}

// domain identifies a failure domain within its region.
type domain struct{ region, name string }

func (m *Member) domain() domain { return domain{m.Region, m.FailureDomain} }

// key returns the key of the fact about the loss of d.
func (d domain) key() string { return domainPrefix + d.region + "/" + d.name }

// domainOfKey parses a key that domain.key returned.
func domainOfKey(key string) (domain, bool) {
	region, name, ok := strings.Cut(strings.TrimPrefix(key, domainPrefix), "/")
	return domain{region, name}, ok
}

// domainState is the state of a failure domain. An odd version reports that the domain is lost; the even version above
// refutes that. The bits of an odd version above the lowest one are the time of the loss in milliseconds since 1970.
type domainState struct {
	version      uint64
	lossReceived time.Time // when this member received the loss
}

func (s *domainState) lost() bool { return s != nil && s.version%2 == 1 }

// covers reports whether the loss applies to a member: it doesn't apply to members that started later.
func (s *domainState) covers(r *record) bool { return s.lost() && r.Incarnation < s.version>>1 }

// memberTable is this member's view of the membership.
type memberTable struct {
	self       string
	records    map[string]*record
	domains    map[domain]*domainState
	tombstones map[string]tombstone
	live       []*record // live members, self included, sorted by ID
	ring       []*record // live members sorted by ringHash
}

// tombstone marks the removal of a member. Facts of processes up to start are rejected until the given time.
type tombstone struct {
	start uint64
	until time.Time
}

func newMemberTable(self string) *memberTable {
	return &memberTable{self: self, records: map[string]*record{}, domains: map[domain]*domainState{}, tombstones: map[string]tombstone{}}
}

// apply updates a record from a member fact whose version is higher than the stored one.
func (t *memberTable) apply(w *wireMember, version uint64, now time.Time) {
	r := t.records[w.ID]
	if r == nil {
		r = &record{ringHash: xxhash.Sum64String(w.ID)}
		t.records[w.ID] = r
	}
	wasSuspected, oldIncarnation := r.status == statusSuspected, r.Incarnation
	r.start, r.status = w.Start, status(version&(1<<statusBits-1))
	r.Member = Member{
		ID: w.ID, Address: w.Address, FailureDomain: w.FailureDomain, Region: w.Region,
		Incarnation: version >> statusBits, Leaving: r.status == statusLeaving,
	}
	if r.status == statusSuspected && !(wasSuspected && oldIncarnation == r.Incarnation) {
		r.suspectedAt = now
	}
}

// applyDomain updates a failure domain from a fact whose version is higher than the stored one.
func (t *memberTable) applyDomain(d domain, version uint64, now time.Time) {
	s := t.domains[d]
	if s == nil {
		s = &domainState{}
		t.domains[d] = s
	}
	wasLost := s.lost()
	s.version = version
	if s.lost() && !wasLost {
		s.lossReceived = now
	}
}

// isDead reports whether a member has left, or its suspicion or the loss of its domain wasn't refuted in time.
func (t *memberTable) isDead(r *record, now time.Time) bool {
	if r.ID == t.self {
		return false
	}
	if r.status == statusLeft || (r.status == statusSuspected && now.Sub(r.suspectedAt) >= suspicionPeriod) {
		return true
	}
	s := t.domains[r.domain()]
	return s.lost() && now.Sub(s.lossReceived) >= suspicionPeriod && s.covers(r)
}

// refresh recomputes which members are dead and, if that changed or force is set, the live members. It returns whether
// they were recomputed.
func (t *memberTable) refresh(now time.Time, force bool) bool {
	changed := force
	for _, r := range t.records {
		dead := t.isDead(r, now)
		if dead != r.dead {
			r.dead, changed = dead, true
		}
	}
	if changed {
		t.rebuild()
	}
	return changed
}

func (t *memberTable) rebuild() {
	live := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		if !r.dead {
			live = append(live, r)
		}
	}
	slices.SortFunc(live, func(a, b *record) int { return strings.Compare(a.ID, b.ID) })
	t.live = live
	t.ring = slices.Clone(live)
	slices.SortFunc(t.ring, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.ringHash, b.ringHash), strings.Compare(a.ID, b.ID))
	})
}

// coveredBy returns the IDs of the other members of d to which its loss applies.
func (t *memberTable) coveredBy(d domain) []string {
	var ids []string
	for id, r := range t.records {
		if id != t.self && r.domain() == d && t.domains[d].covers(r) {
			ids = append(ids, id)
		}
	}
	return ids
}

// remove deletes a member's record, leaves a tombstone and deletes the tombstones that have expired.
func (t *memberTable) remove(id string, now time.Time) {
	if r := t.records[id]; r != nil {
		t.tombstones[id] = tombstone{start: r.start, until: now.Add(tombstoneRetention)}
		delete(t.records, id)
	}
	for k, removed := range t.tombstones {
		if now.After(removed.until) {
			delete(t.tombstones, k)
		}
	}
}

// isTombstoned reports whether the member's process that started at start was removed.
func (t *memberTable) isTombstoned(id string, start uint64) bool {
	removed, ok := t.tombstones[id]
	return ok && start <= removed.start
}

// snapshot returns the live members sorted by ID.
func (t *memberTable) snapshot() []Member {
	out := make([]Member, len(t.live))
	for i, r := range t.live {
		out[i] = r.Member
	}
	return out
}
