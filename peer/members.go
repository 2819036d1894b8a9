package peer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// suspicionPeriod is the time in which an accused member, or a member of an accused failure domain, can refute.
	suspicionPeriod = 3 * time.Second
	// deadRetention is how long a death and the facts of the dead member are kept. It travels as the TTL of the
	// death's fact, so that all members drop them at about the same time.
	deadRetention = 10 * time.Minute
	// tombstoneRetention keeps slower members from bringing back what was removed after deadRetention.
	tombstoneRetention = 5 * time.Minute

	reservedPrefix = "peer/"
	memberKey      = reservedPrefix + "m"
	domainPrefix   = reservedPrefix + "d/"
)

// status is the low part of a member fact's version: for one incarnation a later status takes precedence.
type status uint64

const (
	statusAlive status = iota
	statusLeaving
	statusAccused // a ring neighbour can't reach it; dead after suspicionPeriod unless refuted
	statusLeft    // it has said so itself
	statusBits    = 2
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

// record is what this member knows of another one.
type record struct {
	Member
	place     uint64 // in the ring
	start     uint64
	status    status
	accusedAt time.Time // when this member learned of the accusation
	dead      bool
}

// domain names a failure domain within its region.
type domain struct{ region, name string }

func (m *Member) domain() domain { return domain{m.Region, m.FailureDomain} }

func (d domain) key() string { return domainPrefix + d.region + "/" + d.name }

func domainOfKey(key string) (domain, bool) {
	region, name, ok := strings.Cut(strings.TrimPrefix(key, domainPrefix), "/")
	return domain{region, name}, ok
}

// domainState is the highest version of a domain's fact. An odd version says that the domain is lost, the even one
// above it refutes that. The version without its lowest bit is a time in milliseconds since 1970.
type domainState struct {
	version uint64
	heard   time.Time // when the loss was learned
}

func (s *domainState) lost() bool { return s != nil && s.version%2 == 1 }

// covers reports whether a loss at the version applies to a member: those that started later are not meant.
func (s *domainState) covers(r *record) bool { return s.lost() && r.Incarnation < s.version>>1 }

// memberTable is the view of the membership.
type memberTable struct {
	self       string
	records    map[string]*record
	domains    map[domain]*domainState
	tombstones map[string]tombstone
	live       []*record // live members, self included, sorted by ID
	ring       []*record // live members sorted by hash
}

type tombstone struct {
	start uint64
	until time.Time
}

func newMemberTable(self string) *memberTable {
	return &memberTable{self: self, records: map[string]*record{}, domains: map[domain]*domainState{}, tombstones: map[string]tombstone{}}
}

// apply takes a member fact whose version is higher than the stored one.
func (t *memberTable) apply(w *wireMember, version uint64, now time.Time) {
	r := t.records[w.ID]
	if r == nil {
		r = &record{place: xxhash.Sum64String(w.ID)}
		t.records[w.ID] = r
	}
	wasAccused, oldIncarnation := r.status == statusAccused, r.Incarnation
	r.start, r.status = w.Start, status(version&(1<<statusBits-1))
	r.Member = Member{
		ID: w.ID, Address: w.Address, FailureDomain: w.FailureDomain, Region: w.Region,
		Incarnation: version >> statusBits, Leaving: r.status == statusLeaving,
	}
	if r.status == statusAccused && !(wasAccused && oldIncarnation == r.Incarnation) {
		r.accusedAt = now
	}
}

// applyDomain takes a domain fact whose version is higher than the stored one.
func (t *memberTable) applyDomain(d domain, version uint64, now time.Time) {
	s := t.domains[d]
	if s == nil {
		s = &domainState{}
		t.domains[d] = s
	}
	wasLost := s.lost()
	s.version = version
	if s.lost() && !wasLost {
		s.heard = now
	}
}

func (t *memberTable) isDead(r *record, now time.Time) bool {
	if r.ID == t.self {
		return false
	}
	if r.status == statusLeft || (r.status == statusAccused && now.Sub(r.accusedAt) >= suspicionPeriod) {
		return true
	}
	s := t.domains[r.domain()]
	return s.lost() && now.Sub(s.heard) >= suspicionPeriod && s.covers(r)
}

// refresh recomputes who is alive. It returns true when the live members or their properties may have changed.
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
		return cmp.Or(cmp.Compare(a.place, b.place), strings.Compare(a.ID, b.ID))
	})
}

// coveredBy returns the members of d that its loss applies to.
func (t *memberTable) coveredBy(d domain) []string {
	var ids []string
	for id, r := range t.records {
		if id != t.self && r.domain() == d && t.domains[d].covers(r) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (t *memberTable) forget(id string, now time.Time) {
	if r := t.records[id]; r != nil {
		t.tombstones[id] = tombstone{start: r.start, until: now.Add(tombstoneRetention)}
		delete(t.records, id)
	}
	for k, ts := range t.tombstones {
		if now.After(ts.until) {
			delete(t.tombstones, k)
		}
	}
}

// buried reports whether a fact of the process that started at start was removed before.
func (t *memberTable) buried(id string, start uint64) bool {
	ts, ok := t.tombstones[id]
	return ok && start <= ts.start
}

// snapshot returns the live members sorted by ID.
func (t *memberTable) snapshot() []Member {
	out := make([]Member, len(t.live))
	for i, r := range t.live {
		out[i] = r.Member
	}
	return out
}
