package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/cold"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	// coldTick is how often an instance checks whether it needs a newer list of the members for cold endpoints.
	coldTick = 200 * time.Millisecond
	// coldListAge is the age above which the list is read again while endpoints are cold.
	coldListAge = cold.MaxListAge / 2
	// coldListReserve is the age up to which a list can still be used until the next copy arrives. A copy is as old as the list
	// of the peer, about coldListAge at most; instances that take such a copy for too old would all read the store.
	coldListReserve = cold.MaxListAge - 2*coldTick
	// coldListers is the number of instances that read the list from the store; the others ask them for theirs first.
	coldListers = 2
	// coldListTimeout bounds the calls for a list.
	coldListTimeout = time.Second
	// coldAskTimeout bounds a call for a permit, for which a request waits. Peers answer in a few milliseconds.
	coldAskTimeout = 60 * time.Millisecond
	// coldPeerPause is how long a peer that did not answer is not asked again.
	coldPeerPause = time.Second
	// coldRetryJitter spreads the calls of the instances that were told the same time of the next permit.
	coldRetryJitter = 60 * time.Millisecond
	// maxColdAsked bounds the endpoints of one call for a permit.
	maxColdAsked = 16
	// A starting instance reads entries that were written long ago, so that endpoints seem to be cold for longer than they
	// are. During coldStartPeriod it asks maxColdStartPeers peers what they know.
	coldStartPeriod   = 15 * time.Second
	maxColdStartPeers = 3

	// maxNoticedCold bounds the cold time that a notice of a peer can state, like that of an entry.
	maxNoticedCold = 10 * time.Minute

	factCold = "cold"

	callColdPermit  = "cold-permit"
	callColdMembers = "cold-members"
	callColdLeft    = "cold-left"
)

// coldLimits implements forward.Cold.
type coldLimits struct {
	n *Node

	mu         sync.Mutex
	membership cold.Membership
	deniedTo   map[coldDenial]time.Time // no permit is to be had before these times
	askedPeers map[string]bool          // for the remaining cold times; used by refresh only
	notices    []coldNotice             // not published yet
	published  int                      // facts with notices
	coldBefore int                      // cold endpoints at the last call of refresh; used by refresh only
}

// coldDenial is a peer and an endpoint for which it gave no permit; with an empty endpoint, the peer did not answer.
type coldDenial struct{ peer, endpoint string }

var _ forward.Cold = (*coldLimits)(nil)

func newColdLimits(n *Node) *coldLimits {
	return &coldLimits{n: n, membership: cold.Membership{Self: n.settings.Name}, deniedTo: map[coldDenial]time.Time{}, askedPeers: map[string]bool{}}
}

// limit returns what a cold endpoint of a service tolerates.
func (c *coldLimits) limit(service string) cold.Limit {
	l := cold.Limit{Overage: c.n.settings.ColdOverage, Slack: c.n.settings.ColdSlack}
	if t := c.n.table.Load(); t != nil && t.Services[service] != nil {
		l.PerSecond = t.Services[service].ColdPerSecond
	}
	return l
}

func (c *coldLimits) share(e *fleet.Endpoint, now time.Time) int {
	l := c.limit(e.Service)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership.Share(e.ID, l, now)
}

// Next implements forward.Cold.
func (c *coldLimits) Next(e *fleet.Endpoint, now time.Time) time.Time {
	return e.NextColdPermit(c.share(e, now), now)
}

// Take implements forward.Cold.
func (c *coldLimits) Take(e *fleet.Endpoint, now time.Time) (expires time.Time, ok bool) {
	if !e.TakeColdPermit(c.share(e, now), now) {
		return time.Time{}, false
	}
	c.count("own")
	return now.Add(cold.PermitTime), true
}

func (c *coldLimits) count(source string) {
	c.n.metrics.scope.SubScope("cold").Tagged(map[string]string{"source": source}).Counter("permits").Inc(1)
}

// recordRenewed records that the store has confirmed this instance's entry in the register.
func (c *coldLimits) recordRenewed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.membership.RecordRenewed(now)
}

// recordLost records that the store has lost this instance's entry in the register.
func (c *coldLimits) recordLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.membership.RecordLost()
}

// permitCall asks for a permit for one of the endpoints of a service.
type permitCall struct {
	Service   string   `cbor:"1,keyasint"`
	Endpoints []string `cbor:"2,keyasint"`
}

type permitReply struct {
	Endpoint string `cbor:"1,keyasint,omitempty"` // for which the permit is; empty: none
	WaitMs   int64  `cbor:"2,keyasint,omitempty"` // until the next one, as far as this instance gives any
}

func (c *coldLimits) handlePermit(call permitCall) (permitReply, error) {
	now := time.Now()
	var next time.Time
	for _, e := range c.n.fleet.Service(call.Service) {
		if !slices.Contains(call.Endpoints, e.ID) {
			continue
		}
		share := c.share(e, now)
		if e.TakeColdPermit(share, now) {
			c.count("given")
			return permitReply{Endpoint: e.ID}, nil
		}
		if at := e.NextColdPermit(share, now); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	wait := coldPeerPause
	if !next.IsZero() {
		wait = next.Sub(now)
	}
	return permitReply{WaitMs: wait.Milliseconds() + 1}, nil
}

// Ask implements forward.Cold.
func (c *coldLimits) Ask(ctx context.Context, endpoints []*fleet.Endpoint) (*fleet.Endpoint, time.Time, time.Duration) {
	begun := time.Now()
	to, asked, retry := c.pickPeer(endpoints, begun)
	if to == "" {
		return nil, time.Time{}, retry
	}
	ids := make([]string, len(asked))
	for i, e := range asked {
		ids[i] = e.ID
	}
	ctx, cancel := context.WithTimeout(ctx, coldAskTimeout)
	defer cancel()
	reply, err := callPeer[permitReply](ctx, c.n, to, callColdPermit, permitCall{Service: asked[0].Service, Endpoints: ids})
	i := slices.Index(ids, reply.Endpoint)
	switch {
	case err == nil && i >= 0:
		c.count("peer")
		return asked[i], begun.Add(cold.PermitTime), 0
	case err != nil:
		c.count("unanswered")
		c.deny(to, []string{""}, coldPeerPause)
		return nil, time.Time{}, rand.N(coldRetryJitter)
	}
	c.count("denied")
	wait := time.Duration(reply.WaitMs)*time.Millisecond + rand.N(coldRetryJitter)
	c.deny(to, ids, wait)
	return nil, time.Time{}, wait
}

// pickPeer picks a peer that has a share of the limit of some of the endpoints and has not just denied permits for them.
// Without one, peer is empty, and retry is the time after which there may be one.
func (c *coldLimits) pickPeer(endpoints []*fleet.Endpoint, now time.Time) (peer string, asked []*fleet.Endpoint, retry time.Duration) {
	live := map[string]bool{}
	for _, id := range c.n.memberIDs() {
		live[id] = id != c.n.settings.Name
	}
	l := c.limit(endpoints[0].Service)
	retry = coldPeerPause
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range rand.Perm(len(endpoints)) {
		e := endpoints[i]
		designated := slices.Clone(c.membership.Designated(e.ID, l))
		rand.Shuffle(len(designated), func(i, j int) { designated[i], designated[j] = designated[j], designated[i] })
		for _, id := range designated {
			if !live[id] || peer != "" && id != peer {
				continue
			}
			if wait := max(c.deniedTo[coldDenial{id, e.ID}].Sub(now), c.deniedTo[coldDenial{peer: id}].Sub(now)); wait > 0 {
				retry = min(retry, wait)
				continue
			}
			peer = id
			asked = append(asked, e)
		}
		if len(asked) == maxColdAsked {
			break
		}
	}
	return peer, asked, retry
}

func (c *coldLimits) deny(peer string, endpoints []string, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range endpoints {
		c.deniedTo[coldDenial{peer, e}] = time.Now().Add(wait)
	}
}

// refresh keeps the list of the members recent while endpoints are cold.
func (c *coldLimits) refresh(ctx context.Context) {
	c.publishNotices()
	now := time.Now()
	coldIDs := c.coldEndpoints(now)
	if len(coldIDs) > 0 != (c.coldBefore > 0) {
		c.n.log.WithField("endpoints", len(coldIDs)).Info("number of cold endpoints changed")
	}
	c.n.metrics.scope.SubScope("cold").Gauge("endpoints").Update(float64(len(coldIDs)))
	c.coldBefore = len(coldIDs)
	c.mu.Lock()
	if len(coldIDs) == 0 {
		clear(c.deniedTo)
	}
	_, listed := c.membership.Members()
	c.mu.Unlock()
	if len(coldIDs) == 0 {
		return
	}
	if now.Sub(c.n.started) < coldStartPeriod && len(c.askedPeers) < maxColdStartPeers {
		c.askColdLeft(ctx, coldIDs)
	}
	if now.Sub(listed) < coldListAge || c.copyMembers(ctx, now.Sub(listed)) {
		return
	}
	if err := c.listMembers(ctx); err != nil {
		c.n.log.WithError(err).Info("members for cold endpoints not read")
	}
}

// coldNotice announces that an endpoint is cold.
type coldNotice struct {
	ID        string `cbor:"1,keyasint"`
	StartedMs int64  `cbor:"2,keyasint"` // start of the endpoint's lifetime, in Unix milliseconds
	LeftMs    int64  `cbor:"3,keyasint"` // as of the reading of the entry
}

// announce queues a notice of a cold endpoint if this instance is one of those that notify the others, whose own watches may
// be seconds behind.
func (c *coldLimits) announce(e fleet.Entry, now time.Time) {
	left := e.ColdUntil.Sub(now).Milliseconds()
	if left <= 0 || c.limit(e.Service).PerSecond <= 0 || len(c.n.memberIDs()) <= largeFleet || !c.n.isQuickWatcher(c.n.platform.Kinds.Endpoints) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices = append(c.notices, coldNotice{e.ID, e.StartedMs, left})
}

// publishNotices publishes the oldest queued notices to the peers.
func (c *coldLimits) publishNotices() {
	c.mu.Lock()
	batch := c.notices[:min(len(c.notices), maxNotices)]
	c.notices = c.notices[len(batch):]
	if len(batch) > 0 {
		c.published++
	}
	fact := c.published % noticeFacts
	c.mu.Unlock()
	if len(batch) > 0 {
		c.n.publishFor(fmt.Sprintf("%s/%s/%d", factCold, c.n.process, fact), batch, noticeLifetime)
	}
}

func (c *coldLimits) receiveNotices(f peer.Fact) {
	var items []coldNotice
	if err := cbor.Unmarshal(f.Value, &items); err != nil {
		c.n.log.WithError(err).WithField("peer", f.Origin).Warn("notices of cold endpoints from peer could not be decoded")
		return
	}
	now := time.Now()
	for _, item := range items {
		c.n.fleet.MarkCold(item.ID, item.StartedMs, time.Duration(min(item.LeftMs, maxNoticedCold.Milliseconds()))*time.Millisecond, now)
	}
}

// coldEndpoints returns the IDs of the cold endpoints of services whose cold endpoints are limited.
func (c *coldLimits) coldEndpoints(now time.Time) []string {
	t := c.n.table.Load()
	if t == nil {
		return nil
	}
	var ids []string
	for name, s := range t.Services {
		if s.ColdPerSecond <= 0 {
			continue
		}
		for _, e := range c.n.fleet.Service(name) {
			if e.IsCold(now) {
				ids = append(ids, e.ID)
			}
		}
	}
	return ids
}

// listMembers reads the members from the store.
func (c *coldLimits) listMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, coldListTimeout)
	defer cancel()
	begun := time.Now()
	records, err := c.n.platform.ListRecords(ctx, registerPrefix)
	if err != nil {
		return err
	}
	var members []string
	for _, record := range records {
		var entry registerEntry
		if json.Unmarshal(record.Value, &entry) != nil {
			continue // logged by readRegister
		}
		if c.n.wall.Now().Sub(time.UnixMilli(entry.RenewedMs)) <= memberRetention {
			members = append(members, strings.TrimPrefix(record.Key, registerPrefix))
		}
	}
	c.setMembers(members, begun)
	return nil
}

func (c *coldLimits) setMembers(members []string, listed time.Time) {
	slices.Sort(members)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.membership.SetMembers(members, listed)
}

// membersCall asks for the list of members; digest is that of the caller's list.
type membersCall struct {
	Digest uint64 `cbor:"1,keyasint"`
}

type membersReply struct {
	AgeMs     int64    `cbor:"1,keyasint"` // since the reading of the list began
	Unchanged bool     `cbor:"2,keyasint,omitempty"`
	Members   []string `cbor:"3,keyasint,omitempty"`
}

func (c *coldLimits) handleMembers(call membersCall) (membersReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	members, listed := c.membership.Members()
	reply := membersReply{AgeMs: time.Since(listed).Milliseconds() + 1}
	if listed.IsZero() {
		reply.AgeMs = cold.MaxListAge.Milliseconds()
	}
	if seedFor(strings.Join(members, " ")) == call.Digest {
		reply.Unchanged = true
	} else {
		reply.Members = members
	}
	return reply, nil
}

// copyMembers asks one of the instances that read the list from the store for its list, and reports whether this instance need
// not read it from the store: it has one, of the given age or newer, that can be used until the next call. The instances that
// read the list from the store always need to.
func (c *coldLimits) copyMembers(ctx context.Context, age time.Duration) bool {
	listers := rendezvous.Top(callColdMembers, c.n.memberIDs(), coldListers)
	if len(listers) == 0 || slices.Contains(listers, c.n.settings.Name) {
		return false
	}
	c.mu.Lock()
	own, _ := c.membership.Members()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, coldListTimeout/2)
	defer cancel()
	begun := time.Now()
	reply, err := callPeer[membersReply](ctx, c.n, listers[rand.IntN(len(listers))], callColdMembers, membersCall{seedFor(strings.Join(own, " "))})
	if err != nil {
		return age < coldListReserve
	}
	listed := begun.Add(-time.Duration(reply.AgeMs) * time.Millisecond) // at the latest, since the peer answered after begun
	if time.Since(listed) >= cold.MaxListAge {
		return age < coldListReserve
	}
	if reply.Unchanged {
		reply.Members = own
	}
	c.setMembers(reply.Members, listed)
	return min(age, time.Since(listed)) < coldListReserve
}

// leftCall asks how long endpoints stay cold.
type leftCall struct {
	Endpoints []string `cbor:"1,keyasint"`
}

// leftReply holds what a peer knows of the endpoints, by ID.
type leftReply struct {
	Left map[string]coldLeft `cbor:"1,keyasint"`
}

type coldLeft struct {
	Revision uint64 `cbor:"1,keyasint"` // of the entry
	Ms       int64  `cbor:"2,keyasint"` // 0: not cold
}

func (c *coldLimits) handleLeft(call leftCall) (leftReply, error) {
	now := time.Now()
	reply := leftReply{Left: map[string]coldLeft{}}
	asked := make(map[string]bool, len(call.Endpoints))
	for _, id := range call.Endpoints {
		asked[id] = true
	}
	for _, e := range c.n.fleet.All() {
		if !asked[e.ID] {
			continue
		}
		left := coldLeft{Revision: e.Revision()}
		if until := e.ColdUntil(now); !until.IsZero() {
			left.Ms = until.Sub(now).Milliseconds() + 1
		}
		reply.Left[e.ID] = left
	}
	return reply, nil
}

// askColdLeft asks a peer how long endpoints stay cold.
func (c *coldLimits) askColdLeft(ctx context.Context, coldIDs []string) {
	var peers []string
	for _, id := range c.n.memberIDs() {
		if id != c.n.settings.Name && !c.askedPeers[id] {
			peers = append(peers, id)
		}
	}
	if len(peers) == 0 {
		return
	}
	peer := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(ctx, coldListTimeout/2)
	defer cancel()
	reply, err := callPeer[leftReply](ctx, c.n, peer, callColdLeft, leftCall{coldIDs})
	if err != nil {
		return
	}
	c.askedPeers[peer] = true
	now, shortened := time.Now(), 0
	for _, e := range c.n.fleet.All() {
		if left, ok := reply.Left[e.ID]; ok {
			until := now.Add(time.Duration(left.Ms) * time.Millisecond)
			if until.Before(e.ColdUntil(now)) {
				e.LimitCold(left.Revision, until)
				shortened++
			}
		}
	}
	c.n.log.WithFields(logrus.Fields{"peer": peer, "asked": len(coldIDs), "shortened": shortened}).Info("cold times read from a peer")
}
