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

// Fact key and call kinds that distributors use on the mesh.
const (
	factHead    = "config/head"
	callHead    = "config/head"
	callObjects = "config/object"
)

const (
	// maxObjectsBytes limits the total size of the objects in a response. A single larger object is still sent.
	maxObjectsBytes = 128 << 10
	// maxObjectsPerCall is the maximum number of objects requested in one call.
	maxObjectsPerCall = 512
	// parentAttempts is how often a member asks its tree parent for a revision, every parentPause, before it asks a
	// member that has announced it. The parent receives the announcement at about the same time as the member and
	// must fetch the revision first. All attempts together take 750 ms, for the three to four levels of the tree.
	parentAttempts = 30
	parentPause    = 25 * time.Millisecond
	// maxStoreReads is the maximum number of concurrent reads from the store. With 8, a start without peers takes a
	// few seconds at 5,000 services.
	maxStoreReads = 8
)

// headRequest asks a member for its head if that is newer than a given revision.
type headRequest struct {
	NewerThan uint64 `cbor:"1,keyasint"`
}

// headResponse is a member's response to callHead.
type headResponse struct {
	Ready bool   `cbor:"1,keyasint"` // the member has completed its startup
	Head  []byte `cbor:"2,keyasint"` // empty if the member has no newer head
}

// objectsResponse holds the requested objects in the order of the request. An entry is nil if the member does not have
// the object or if the response has no capacity left under maxObjectsBytes.
type objectsResponse struct {
	Objects [][]byte `cbor:"1,keyasint"`
}

func (d *Distributor) serveHead(_ context.Context, _ string, body []byte) ([]byte, error) {
	var q headRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	d.mu.Lock()
	a := headResponse{Ready: d.isReady}
	if d.tracker.inForce.revision() > q.NewerThan {
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
	ids = ids[:min(len(ids), maxObjectsPerCall)]
	a := objectsResponse{Objects: make([][]byte, len(ids))}
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

// requestHead asks a member for its head and whether it has completed its startup. The returned head is nil unless it
// is newer than the one in force on this instance.
func (d *Distributor) requestHead(ctx context.Context, member string) (*headRecord, bool, error) {
	d.mu.Lock()
	floor := d.tracker.floor(member)
	q := headRequest{NewerThan: d.tracker.inForce.revision()}
	d.mu.Unlock()
	body, err := encoder.Marshal(q)
	if err != nil {
		return nil, false, err
	}
	var a headResponse
	if err := d.call(ctx, member, callHead, body, &a); err != nil {
		return nil, false, err
	}
	if len(a.Head) == 0 {
		return nil, a.Ready, nil
	}
	r, err := newHeadRecord(a.Head)
	if err != nil {
		d.raiseAlarm("config_corrupt", member, 0, floor)
		return nil, false, err
	}
	d.mu.Lock()
	latest, announced := d.tracker.latest[member]
	accepted := d.tracker.record(member, announcement{r.revision(), digestOf(r.bytes)}, floor)
	d.mu.Unlock()
	conflicting := announced && latest.Revision == r.revision() && latest.Digest != digestOf(r.bytes)
	switch {
	case conflicting:
		d.raiseAlarm("config_reverted", member, r.revision(), floor)
		return nil, false, fmt.Errorf("member %s: %w: revision %d has another digest than it announced", member, ErrCorrupt, r.revision())
	case !accepted:
		d.raiseAlarm("config_reverted", member, r.revision(), floor)
		return nil, false, fmt.Errorf("member %s: %w: revision %d, want at least %d", member, ErrCorrupt, r.revision(), floor)
	}
	return r, a.Ready, nil
}

func (d *Distributor) call(ctx context.Context, member, kind string, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timing.PeerCallTimeout)
	defer cancel()
	reply, err := d.opts.Mesh.Call(ctx, member, kind, body)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(reply, response)
}

// catchUp loads the highest revision that any source has reported. It returns false if that revision is not in
// force afterwards; the caller then retries.
func (d *Distributor) catchUp(ctx context.Context) bool {
	d.mu.Lock()
	pending, behind, target := d.tracker.pending, d.tracker.behind(), d.tracker.target()
	d.mu.Unlock()
	if !behind {
		return true
	}
	self, members := d.opts.Mesh.Self(), d.opts.Mesh.Members()
	if pending != nil {
		// A single member suffices here, because load reads from the store what that member does not deliver.
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
			// Either the store lags behind the revision that a member reported, or that member is wrong.
			d.raiseAlarm("config_unconfirmed", storeSource, d.Revision(), target)
		}
	}
	return !d.isBehind()
}

func (d *Distributor) isBehind() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.behind()
}

// headSources returns the members to ask for a revision: the tree parent with several attempts, then announcing
// members with one attempt each.
func (d *Distributor) headSources(self peer.Member, members []peer.Member, revision uint64) []headSource {
	var sources []headSource
	if parent := treeParent(self, members, revision); parent != "" {
		sources = append(sources, headSource{member: parent, attempts: parentAttempts})
	}
	for _, m := range d.announcers(self, members, revision, maxAnnouncers) {
		sources = append(sources, headSource{member: m, attempts: 1})
	}
	return sources
}

// headSource is a member to ask for a head, and how often to ask while it does not have a newer one.
type headSource struct {
	member   string
	attempts int
}

func (d *Distributor) announcers(self peer.Member, members []peer.Member, revision uint64, limit int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.tracker.announcers(self, members, revision)
	d.rand.Shuffle(len(all), func(i, j int) {
		// Swap only within a group, so that members of this failure domain stay ahead of all others.
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

// loadFrom fetches the head and the objects from a member that has a newer revision than this instance.
func (d *Distributor) loadFrom(ctx context.Context, s headSource, self peer.Member, members []peer.Member) {
	for attempt := range s.attempts {
		if attempt > 0 && !pause(ctx, d.jitter(parentPause)) {
			return
		}
		r, _, err := d.requestHead(ctx, s.member)
		if err != nil {
			d.opts.Log.WithError(err).WithField("member", s.member).Debug("failed to fetch configuration head from member")
			return
		}
		if r.revision() <= d.Revision() {
			continue
		}
		// Objects that neither this member nor an announcing member delivers are read from the store.
		others := d.announcers(self, members, r.revision(), 1)
		d.load(ctx, r, append([]string{s.member}, others...))
		if !d.isBehind() {
			return
		}
	}
}

// load fetches the missing objects of a head, first from members and then from the store, and puts the head in force.
// It reports whether the head came into force.
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

// fetchFromPeer fetches objects from a member and reports whether at least one was added to the cache.
func (d *Distributor) fetchFromPeer(ctx context.Context, member string, ids []objectID) bool {
	if len(ids) == 0 {
		return false
	}
	ids = ids[:min(len(ids), maxObjectsPerCall)]
	body, err := encoder.Marshal(ids)
	if err != nil {
		return false
	}
	var a objectsResponse
	if err := d.call(ctx, member, callObjects, body, &a); err != nil {
		d.opts.Log.WithError(err).WithField("member", member).Debug("failed to fetch configuration objects from member")
		return false
	}
	added := false
	for i, object := range a.Objects[:min(len(a.Objects), len(ids))] {
		if object != nil && d.addObject(member, ids[i], object) {
			added = true
		}
	}
	return added
}

// fetchFromStore fetches objects from the store. It returns false if ids is empty or any of the reads failed.
func (d *Distributor) fetchFromStore(ctx context.Context, ids []objectID) bool {
	var wg sync.WaitGroup
	var failed atomic.Bool
	slots := make(chan struct{}, maxStoreReads)
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

// mayReadObjects reports whether this instance may read objects from the store. When all instances start at the same
// time, each of them would otherwise read every object. An instance that is not a watcher therefore fetches objects
// only from peers, which get them from the watchers, until it is ready or StartObjectsWait has passed.
func (d *Distributor) mayReadObjects() bool {
	d.mu.Lock()
	ready, begin := d.isReady, d.startedAt
	d.mu.Unlock()
	return ready || time.Since(begin) >= d.opts.Timing.StartObjectsWait || isWatcher(d.opts.Mesh.Self(), d.opts.Mesh.Members())
}

func (d *Distributor) fetchObject(ctx context.Context, id objectID) bool {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timing.StoreCallTimeout)
	defer cancel()
	o, err := d.opts.Store.Get(ctx, id.key())
	if errors.Is(err, objstore.ErrNotFound) {
		d.raiseAlarm("config_object_missing", storeSource, 0, 0)
	}
	return err == nil && d.addObject(storeSource, id, o.Value)
}

func (d *Distributor) addObject(source string, id objectID, object []byte) bool {
	d.mu.Lock()
	err := d.cache.add(id, object)
	d.mu.Unlock()
	if err != nil {
		d.raiseAlarm("config_corrupt", source, 0, 0)
	}
	return err == nil
}

// putInForce applies a head and reports whether it did. It does nothing if objects are missing or the head is not newer
// than the one in force.
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
