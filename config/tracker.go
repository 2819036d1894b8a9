package config

import (
	"slices"
	"strconv"

	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	// watchersPerDomain is two, so that one of them may fail or hold a silent watch.
	watchersPerDomain = 2
	// fanout is how many members fetch a revision from the same one. With 130 members in a failure domain the
	// tree is four levels deep, and each member serves on average as much as it fetches.
	fanout = 4
	// maxAnnouncers bounds how many announcing members are asked in one round.
	maxAnnouncers = 3
	// startDomains is the number of failure domains whose peers a starting instance asks.
	startDomains = 2
)

// storeSource names the object API among the sources of a revision.
const storeSource = "store"

// headRecord is a head with its encoded form.
type headRecord struct {
	head  *Head
	bytes []byte
}

func newHeadRecord(object []byte) (*headRecord, error) {
	h, err := decodeHead(object)
	if err != nil {
		return nil, err
	}
	return &headRecord{head: h, bytes: object}, nil
}

func (r *headRecord) revision() uint64 {
	if r == nil {
		return 0
	}
	return r.head.Revision
}

// announcement is the fact by which an instance tells the others which head it has in force.
type announcement struct {
	Revision uint64 `cbor:"1,keyasint"`
	Digest   Digest `cbor:"2,keyasint"` // of the encoded head
}

// tracker decides what an instance believes about revisions. It does no I/O; the owner serializes calls.
type tracker struct {
	inForce  *headRecord
	previous *headRecord
	pending  *headRecord             // newest head read from the store or, at the start, from peers
	heard    map[string]announcement // latest of each source
}

func newTracker() *tracker { return &tracker{heard: map[string]announcement{}} }

// floor returns the revision that the source must show from now on: an older one is a reversion. The store must
// show whatever any instance has had in force, a peer whatever it has shown itself; another peer may lag.
func (t *tracker) floor(source string) uint64 {
	floor := t.heard[source].Revision
	if source == storeSource {
		floor = max(floor, t.inForce.revision())
	}
	return floor
}

// hear notes what a source showed. It returns false for a revision below floor, which must be one taken before the
// source was asked, and for a different head under the revision in force. Neither is believed.
func (t *tracker) hear(source string, a announcement, floor uint64) bool {
	if a.Revision < floor {
		return false
	}
	if t.inForce != nil && a.Revision == t.inForce.revision() && a.Digest != digestOf(t.inForce.bytes) {
		return false
	}
	if a.Revision > t.heard[source].Revision {
		t.heard[source] = a
	}
	return true
}

// offer keeps a head for the next load when it is newer than all known ones.
func (t *tracker) offer(r *headRecord) {
	if r.revision() > max(t.inForce.revision(), t.pending.revision()) {
		t.pending = r
	}
}

// target returns the highest revision heard of.
func (t *tracker) target() uint64 {
	target := t.pending.revision()
	for _, a := range t.heard {
		target = max(target, a.Revision)
	}
	return target
}

func (t *tracker) behind() bool { return t.target() > t.inForce.revision() }

// advance puts a head in force. It only moves forward and returns false otherwise.
func (t *tracker) advance(r *headRecord) bool {
	if r.revision() <= t.inForce.revision() {
		return false
	}
	t.previous, t.inForce = t.inForce, r
	if t.pending.revision() <= r.revision() {
		t.pending = nil
	}
	return true
}

// announcers returns the live members that have announced at least the revision, those of the own failure domain
// first, without self.
func (t *tracker) announcers(self peer.Member, members []peer.Member, revision uint64) []string {
	var near, far []string
	for _, m := range members {
		switch {
		case m.ID == self.ID || t.heard[m.ID].Revision < revision:
		case m.FailureDomain == self.FailureDomain:
			near = append(near, m.ID)
		default:
			far = append(far, m.ID)
		}
	}
	return append(near, far...)
}

// announced tells whether a live member other than self has announced at least the revision.
func (t *tracker) announced(self peer.Member, members []peer.Member, revision uint64) bool {
	return len(t.announcers(self, members, revision)) > 0
}

// forget drops what was heard of members that are gone, but not a revision that is still to be loaded: the mesh
// does not repeat an announcement when the member is back.
func (t *tracker) forget(members []peer.Member) {
	for id, a := range t.heard {
		gone := !slices.ContainsFunc(members, func(m peer.Member) bool { return m.ID == id })
		if gone && id != storeSource && a.Revision <= t.inForce.revision() {
			delete(t.heard, id)
		}
	}
}

func domainIDs(domain string, members []peer.Member) []string {
	var ids []string
	for _, m := range members {
		if m.FailureDomain == domain && !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// isWatcher tells whether self holds a watch on the head.
func isWatcher(self peer.Member, members []peer.Member) bool {
	top := rendezvous.Top("config/watch", domainIDs(self.FailureDomain, members), watchersPerDomain)
	return slices.Contains(top, self.ID)
}

// treeParent returns the member from which self fetches a revision, and "" at the root of the tree of its failure
// domain. The tree differs for each revision, which spreads the load.
func treeParent(self peer.Member, members []peer.Member, revision uint64) string {
	ids := domainIDs(self.FailureDomain, members)
	order := rendezvous.Top("config/"+strconv.FormatUint(revision, 10), ids, len(ids))
	i := slices.Index(order, self.ID)
	if i <= 0 {
		return ""
	}
	return order[(i-1)/fanout]
}

// startup decides when a starting instance knows the accepted configuration.
type startup struct {
	store    bool            // the store has answered
	answered map[string]bool // failure domains from which a peer has answered
	ready    map[string]bool // failure domains from which a ready peer has answered
}

func newStartup() *startup { return &startup{answered: map[string]bool{}, ready: map[string]bool{}} }

func (s *startup) peer(domain string, ready bool) {
	s.answered[domain] = true
	s.ready[domain] = s.ready[domain] || ready
}

// complete tells whether the start may go on with the highest revision seen. The store alone suffices when peers
// are given up on (waited) because there may be none; peers alone must be ready ones in two failure domains.
func (s *startup) complete(domains int, waited bool) bool {
	if !s.store {
		ready := 0
		for _, r := range s.ready {
			if r {
				ready++
			}
		}
		return ready >= startDomains
	}
	return waited || len(s.answered) >= max(1, min(startDomains, domains))
}
