package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/peer"
)

// Names under which distributors talk to each other through the mesh.
const (
	factHead    = "config/head"
	callHead    = "config/head"
	callObjects = "config/object"
)

const (
	// maxObjectsBytes bounds an answer with objects; one object may exceed it.
	maxObjectsBytes = 128 << 10
	// maxObjectsCall bounds the objects asked for in one call.
	maxObjectsCall = 512
	// parentTries is how often a member asks its tree parent, which learns of a revision at about the same time,
	// before it turns to an announcing member, and parentPause the time in between. Together they leave the
	// three to four levels of the tree 750 ms.
	parentTries = 30
	parentPause = 25 * time.Millisecond
	// storeParallel shortens a start without peers to a few seconds at 5,000 services.
	storeParallel = 8
)

// headQuery asks for a head that is newer than a revision.
type headQuery struct {
	Newer uint64 `cbor:"1,keyasint"`
}

// headAnswer is a member's answer to callHead.
type headAnswer struct {
	Ready bool   `cbor:"1,keyasint"` // the member has finished its start
	Head  []byte `cbor:"2,keyasint"` // empty when the member has no newer one
}

// objectsAnswer holds the objects asked for in their order; nil stands for one that is not held or has no room.
type objectsAnswer struct {
	Objects [][]byte `cbor:"1,keyasint"`
}

func (d *Distributor) serveHead(_ context.Context, _ string, body []byte) ([]byte, error) {
	var q headQuery
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	d.mu.Lock()
	a := headAnswer{Ready: d.isReady}
	if d.tracker.inForce.revision() > q.Newer {
		a.Head = d.tracker.inForce.bytes
	}
	d.mu.Unlock()
	return encoder.Marshal(a)
}

func (d *Distributor) serveObjects(_ context.Context, _ string, body []byte) ([]byte, error) {
	var ids []objectID
	if err := cbor.Unmarshal(body, &ids); err != nil {
		return nil, err
	}
	ids = ids[:min(len(ids), maxObjectsCall)]
	a := objectsAnswer{Objects: make([][]byte, len(ids))}
	size := 0
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, id := range ids {
		object := d.cache.raw[id]
		if size > 0 && size+len(object) > maxObjectsBytes {
			break
		}
		a.Objects[i] = object
		size += len(object)
	}
	return encoder.Marshal(a)
}

// askHead asks a member for its head, which is nil unless it is newer than the one in force here, and whether the
// member has finished its start.
func (d *Distributor) askHead(ctx context.Context, member string) (*headRecord, bool, error) {
	d.mu.Lock()
	floor := d.tracker.floor(member)
	q := headQuery{Newer: d.tracker.inForce.revision()}
	d.mu.Unlock()
	body, err := encoder.Marshal(q)
	if err != nil {
		return nil, false, err
	}
	var a headAnswer
	if err := d.call(ctx, member, callHead, body, &a); err != nil {
		return nil, false, err
	}
	if len(a.Head) == 0 {
		return nil, a.Ready, nil
	}
	r, err := newHeadRecord(a.Head)
	if err != nil {
		d.alarm("config_corrupt", member, 0, floor)
		return nil, false, err
	}
	d.mu.Lock()
	heard, held := d.tracker.heard[member]
	ok := d.tracker.hear(member, announcement{r.revision(), digestOf(r.bytes)}, floor)
	d.mu.Unlock()
	forged := held && heard.Revision == r.revision() && heard.Digest != digestOf(r.bytes)
	if !ok || forged {
		d.alarm("config_reverted", member, r.revision(), floor)
		return nil, false, fmt.Errorf("member %s: %w: revision %d, want at least %d", member, ErrCorrupt, r.revision(), floor)
	}
	return r, a.Ready, nil
}

func (d *Distributor) call(ctx context.Context, member, kind string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timing.PeerCall)
	defer cancel()
	reply, err := d.opts.Mesh.Call(ctx, member, kind, body)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(reply, answer)
}

// catchUp loads until the highest revision heard of is in force. It returns false when that failed for now.
func (d *Distributor) catchUp(ctx context.Context) bool {
	d.mu.Lock()
	pending, behind, target := d.tracker.pending, d.tracker.behind(), d.tracker.target()
	d.mu.Unlock()
	if !behind {
		return true
	}
	self, members := d.opts.Mesh.Self(), d.opts.Mesh.Members()
	if pending != nil {
		// One member that has the revision is enough: the store is at hand.
		d.load(ctx, pending, d.announcers(self, members, pending.revision(), 1))
	}
	for _, m := range d.headSources(self, members, target) {
		if !d.isBehind() || ctx.Err() != nil {
			break
		}
		d.loadFrom(ctx, m, self, members)
	}
	if d.isBehind() && d.poll(ctx) {
		d.mu.Lock()
		pending = d.tracker.pending
		d.mu.Unlock()
		if pending != nil {
			d.load(ctx, pending, nil)
		} else {
			// Either the store lags behind what a member has in force, or that member is wrong.
			d.alarm("config_unconfirmed", storeSource, d.Revision(), target)
		}
	}
	return !d.isBehind()
}

func (d *Distributor) isBehind() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.behind()
}

// headSources returns the members to ask for a revision, the tree parent first and more than once.
func (d *Distributor) headSources(self peer.Member, members []peer.Member, revision uint64) []source {
	var sources []source
	if parent := treeParent(self, members, revision); parent != "" {
		sources = append(sources, source{member: parent, tries: parentTries})
	}
	for _, m := range d.announcers(self, members, revision, maxAnnouncers) {
		sources = append(sources, source{member: m, tries: 1})
	}
	return sources
}

// source is a member to ask, and how often to ask it while it lags.
type source struct {
	member string
	tries  int
}

func (d *Distributor) announcers(self peer.Member, members []peer.Member, revision uint64, limit int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.tracker.announcers(self, members, revision)
	d.rand.Shuffle(len(all), func(i, j int) {
		// Shuffles within the own failure domain and outside of it, but keeps the own one first.
		if sameDomain(members, all[i], self) == sameDomain(members, all[j], self) {
			all[i], all[j] = all[j], all[i]
		}
	})
	return all[:min(limit, len(all))]
}

func sameDomain(members []peer.Member, id string, self peer.Member) bool {
	for _, m := range members {
		if m.ID == id {
			return m.FailureDomain == self.FailureDomain
		}
	}
	return false
}

// loadFrom fetches the head and the objects of a member that is ahead of this instance.
func (d *Distributor) loadFrom(ctx context.Context, s source, self peer.Member, members []peer.Member) {
	for try := range s.tries {
		if try > 0 && !pause(ctx, d.jitter(parentPause)) {
			return
		}
		r, _, err := d.askHead(ctx, s.member)
		if err != nil {
			d.opts.Log.WithError(err).WithField("member", s.member).Debug("head not fetched")
			return
		}
		if r.revision() <= d.Revision() {
			continue
		}
		// The store serves the objects that neither this member nor an announcing one delivers.
		others := d.announcers(self, members, r.revision(), 1)
		d.load(ctx, r, append([]string{s.member}, others...))
		if !d.isBehind() {
			return
		}
	}
}

// load fetches the missing objects of a head from members, then from the store, and puts the head in force.
func (d *Distributor) load(ctx context.Context, r *headRecord, members []string) bool {
	for _, m := range members {
		for d.fetchFromPeer(ctx, m, d.missing(r.head)) {
		}
	}
	for d.mayReadObjects() && d.fetchFromStore(ctx, d.missing(r.head)) {
	}
	return d.putInForce(r)
}

func (d *Distributor) missing(h *Head) []objectID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cache.missing(h)
}

// fetchFromPeer returns whether it got at least one of the objects.
func (d *Distributor) fetchFromPeer(ctx context.Context, member string, ids []objectID) bool {
	if len(ids) == 0 {
		return false
	}
	ids = ids[:min(len(ids), maxObjectsCall)]
	body, err := encoder.Marshal(ids)
	if err != nil {
		return false
	}
	var a objectsAnswer
	if err := d.call(ctx, member, callObjects, body, &a); err != nil {
		d.opts.Log.WithError(err).WithField("member", member).Debug("objects not fetched")
		return false
	}
	got := false
	for i, object := range a.Objects[:min(len(a.Objects), len(ids))] {
		if object != nil && d.addObject(member, ids[i], object) {
			got = true
		}
	}
	return got
}

// fetchFromStore returns whether it got all of the objects and there was at least one.
func (d *Distributor) fetchFromStore(ctx context.Context, ids []objectID) bool {
	var wg sync.WaitGroup
	var failed atomic.Bool
	slots := make(chan struct{}, storeParallel)
	for _, id := range ids {
		slots <- struct{}{}
		if failed.Load() {
			break
		}
		wg.Go(func() {
			defer func() { <-slots }()
			if !d.fetchObject(ctx, id) {
				failed.Store(true)
			}
		})
	}
	wg.Wait()
	return len(ids) > 0 && !failed.Load()
}

// mayReadObjects keeps a fleet that starts as a whole from reading each object once for each instance: until it is
// ready, an instance that is not a watcher leaves the objects to the watchers and takes them from these.
func (d *Distributor) mayReadObjects() bool {
	d.mu.Lock()
	ready, begin := d.isReady, d.begin
	d.mu.Unlock()
	return ready || time.Since(begin) >= d.opts.Timing.StartObjects || isWatcher(d.opts.Mesh.Self(), d.opts.Mesh.Members())
}

func (d *Distributor) fetchObject(ctx context.Context, id objectID) bool {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timing.StoreCall)
	defer cancel()
	o, err := d.opts.Store.Get(ctx, id.key())
	if errors.Is(err, objstore.ErrNotFound) {
		d.alarm("config_object_missing", storeSource, 0, 0)
	}
	return err == nil && d.addObject(storeSource, id, o.Value)
}

func (d *Distributor) addObject(source string, id objectID, object []byte) bool {
	d.mu.Lock()
	err := d.cache.add(id, object)
	d.mu.Unlock()
	if err != nil {
		d.alarm("config_corrupt", source, 0, 0)
	}
	return err == nil
}

// putInForce applies a head whose objects are complete.
func (d *Distributor) putInForce(r *headRecord) bool {
	d.mu.Lock()
	if len(d.cache.missing(r.head)) > 0 || !d.tracker.advance(r) {
		d.mu.Unlock()
		return false
	}
	services := d.cache.services(r.head)
	if d.tracker.previous != nil {
		d.cache.retain(r.head, d.tracker.previous.head)
	}
	d.mu.Unlock()
	d.opts.Apply(r.revision(), services)
	d.opts.Log.WithField("revision", r.revision()).Info("configuration in force")
	d.announce()
	return true
}
