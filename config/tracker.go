package config

import (
	"slices"
	"strconv"

	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	// watchersPerDomain is the number of watchers in each failure domain. With two, one of them may fail or have a
	// stalled watch.
	watchersPerDomain = 2
	// fanout is the number of members that fetch a revision from the same tree parent. With 130 members in a failure
	// domain the tree is four levels deep, and each member serves on average as much as it fetches.
	fanout = 4
	// maxAnnouncers is the maximum number of announcing members asked in one attempt to load a revision.
	maxAnnouncers = 3
	// startDomains is the number of failure domains from which a starting instance needs a response.
	startDomains = 2
)

// storeSource identifies the object API among the sources of revisions; other sources are identified by member ID.
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

// announcement is the fact with which an instance publishes which head it has in force.
type announcement struct {
	Revision uint64 `cbor:"1,keyasint"`
	Digest   Digest `cbor:"2,keyasint"` // digest of the encoded head
}

// tracker records the revisions reported by the store and by peers and decides which of them to accept. It does no I/O
// and is not safe for concurrent use.
type tracker struct {
	inForce  *headRecord
	previous *headRecord
	pending  *headRecord             // newest head read from the store or, at startup, from peers
	latest   map[string]announcement // latest announcement by source
}

func newTracker() *tracker { return &tracker{latest: map[string]announcement{}} }

// floor returns the lowest revision that the source may report from now on; a lower one is a reversion. No source may
// report a lower revision than before, and the store may not be behind the revision in force on this instance. A peer
// may be behind other sources.
func (t *tracker) floor(source string) uint64 {
	floor := t.latest[source].Revision
	if source == storeSource {
		floor = max(floor, t.inForce.revision())
	}
	return floor
}

// record stores the head reported by a source. It returns false and stores nothing for a revision below floor, and for
// a head that differs from the one in force although it has the same revision. The floor must be taken before the
// source is asked, because it may rise while the response is on its way.
func (t *tracker) record(source string, a announcement, floor uint64) bool {
	if a.Revision < floor {
		return false
	}
	if t.inForce != nil && a.Revision == t.inForce.revision() && a.Digest != digestOf(t.inForce.bytes) {
		return false
	}
	if a.Revision > t.latest[source].Revision {
		t.latest[source] = a
	}
	return true
}

// offer keeps a head to be loaded next if it is newer than both the head in force and the pending one.
func (t *tracker) offer(r *headRecord) {
	if r.revision() > max(t.inForce.revision(), t.pending.revision()) {
		t.pending = r
	}
}

// target returns the highest revision reported by any source.
func (t *tracker) target() uint64 {
	target := t.pending.revision()
	for _, a := range t.latest {
		target = max(target, a.Revision)
	}
	return target
}

func (t *tracker) behind() bool { return t.target() > t.inForce.revision() }

// advance puts a head in force. It returns false if the head is not newer than the one in force.
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

// announcers returns the live members other than self that have announced the revision or a later one. Members of
// self's failure domain come first.
func (t *tracker) announcers(self peer.Member, members []peer.Member, revision uint64) []string {
	var near, far []string
	for _, m := range members {
		switch {
		case m.ID == self.ID || t.latest[m.ID].Revision < revision:
		case m.FailureDomain == self.FailureDomain:
			near = append(near, m.ID)
		default:
			far = append(far, m.ID)
		}
	}
	return append(near, far...)
}

// isAnnounced reports whether a live member other than self has announced the revision or a later one.
func (t *tracker) isAnnounced(self peer.Member, members []peer.Member, revision uint64) bool {
	return len(t.announcers(self, members, revision)) > 0
}

// evict drops the announcements of removed members. It keeps a revision that is still to be loaded, because the mesh
// does not repeat the announcement when the member returns.
func (t *tracker) evict(members []peer.Member) {
	for id, a := range t.latest {
		removed := !slices.ContainsFunc(members, func(m peer.Member) bool { return m.ID == id })
		if removed && id != storeSource && a.Revision <= t.inForce.revision() {
			delete(t.latest, id)
		}
	}
}

func membersInDomain(domain string, members []peer.Member) []string {
	var ids []string
	for _, m := range members {
		if m.FailureDomain == domain && !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// isWatcher reports whether self is one of the members of its failure domain that watch the head.
func isWatcher(self peer.Member, members []peer.Member) bool {
	top := rendezvous.Top("config/watch", membersInDomain(self.FailureDomain, members), watchersPerDomain)
	return slices.Contains(top, self.ID)
}

// treeParent returns the member from which self fetches a revision, or "" if self is the root of the tree of its
// failure domain. Each revision has a different tree, which spreads the load.
func treeParent(self peer.Member, members []peer.Member, revision uint64) string {
	ids := membersInDomain(self.FailureDomain, members)
	order := rendezvous.Top("config/"+strconv.FormatUint(revision, 10), ids, len(ids))
	i := slices.Index(order, self.ID)
	if i <= 0 {
		return ""
	}
	return order[(i-1)/fanout]
}

// startup records which sources have answered a starting instance and decides when their answers suffice to determine
// the accepted configuration.
type startup struct {
	storeAnswered bool            // the store has answered
	answered      map[string]bool // failure domains from which a peer has answered
	ready         map[string]bool // failure domains from which a ready peer has answered
}

func newStartup() *startup { return &startup{answered: map[string]bool{}, ready: map[string]bool{}} }

func (s *startup) recordPeer(domain string, ready bool) {
	s.answered[domain] = true
	s.ready[domain] = s.ready[domain] || ready
}

// complete reports whether the start may continue with the highest revision reported. domains is the number of failure
// domains that have other members. The store alone suffices after the wait for peers has timed out, because there may
// be none. Without the store, ready peers in two failure domains must have answered.
func (s *startup) complete(domains int, timedOut bool) bool {
	if !s.storeAnswered {
		ready := 0
		for _, r := range s.ready {
			if r {
				ready++
			}
		}
		return ready >= startDomains
	}
	return timedOut || len(s.answered) >= max(1, min(startDomains, domains))
}
