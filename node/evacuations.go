package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/autoscale"
	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/fleet"
)

// maxEvacuationsWait bounds how much longer than for the list of endpoints a starting instance waits for the evacuations:
// the time for a list or for the copy of a peer.
const maxEvacuationsWait = time.Second

// evacuations applies the evacuations of zones. It takes them from the store through its feed, and new ones also from the
// reports of peers, which arrive while this instance's own calls to the store still time out.
type evacuations struct {
	n      *Node
	newest func() uint64 // revision of the newest change that was read

	mu          sync.Mutex
	read        map[string]eraRevision // by zone: revision of the evacuation, from the store or a peer's copy
	reported    map[string]eraRevision // like read, from reports of peers that were ahead of read
	inEffect    []string               // sorted
	listedSince time.Time              // see allowReady
}

func newEvacuations(n *Node) *evacuations {
	e := &evacuations{n: n, read: map[string]eraRevision{}, reported: map[string]eraRevision{}}
	e.newest = func() uint64 { return e.feed().NewestChange() }
	return e
}

// feed returns the feed of the evacuations, and nil if the deployment has none.
func (e *evacuations) feed() *feed.Feed { return e.n.feeds[e.n.platform.Kinds.Evacuations] }

// Replace implements feed.Handler. A missing evacuation was removed, even if the store was down: unlike entries of
// endpoints, these objects do not expire.
func (e *evacuations) Replace(objects []feed.Object, _ bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.read = map[string]eraRevision{}
	// A list of this era without any evacuation leaves newest at 0, so that apply would keep the reports of earlier eras.
	number := e.n.eras.Number()
	maps.DeleteFunc(e.reported, func(_ string, r eraRevision) bool { return r.era < number })
	for _, o := range objects {
		e.add(o)
	}
	e.apply()
}

// Apply implements feed.Handler.
func (e *evacuations) Apply(event feed.Event, _ bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if event.Deleted {
		if zone, err := e.n.platform.DecodeEvacuation(event.Object); err == nil {
			delete(e.read, zone)
		}
	} else {
		e.add(event.Object)
	}
	e.apply()
}

// add records an evacuation that was read. e.mu must be held.
func (e *evacuations) add(o feed.Object) {
	zone, err := e.n.platform.DecodeEvacuation(o)
	if err != nil {
		e.n.log.WithError(err).WithFields(logrus.Fields{"object": o.Name, "revision": o.Revision}).Warn("invalid evacuation skipped")
		return
	}
	e.read[zone] = eraRevision{o.Era, o.Revision}
}

// receive records the evacuations that a peer reports. One that is older than the newest change that this instance has read
// says nothing: it was read as well, or was removed since.
// Revisions of an earlier era say nothing either. number is that of the reported revisions' era.
func (e *evacuations) receive(number uint64, zones map[string]uint64) {
	if len(zones) == 0 || e.feed() == nil || number != e.n.eras.Number() {
		return
	}
	newest := e.newest()
	e.mu.Lock()
	defer e.mu.Unlock()
	for zone, revision := range zones {
		if r := (eraRevision{number, revision}); revision > newest && r.compare(e.reported[zone]) > 0 {
			e.reported[zone] = r
		}
	}
	e.apply()
}

// report returns the evacuations for a report to the peers: those that were read only, so that a removed one can't be
// reported in turn by instances that have it from each other, and of the given era only: one that the store's list lacks
// may be gone.
func (e *evacuations) report(number uint64) map[string]uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	zones := map[string]uint64{}
	for zone, r := range e.read {
		if r.era == number {
			zones[zone] = r.revision
		}
	}
	return zones
}

// apply puts the evacuations into effect and logs changes. e.mu must be held.
func (e *evacuations) apply() {
	newest := e.newest()
	// What was reported in an earlier era stays in effect until the first list of this one, which sets newest.
	number := e.n.eras.Number()
	maps.DeleteFunc(e.reported, func(_ string, r eraRevision) bool {
		return newest > 0 && (r.era != number || r.revision <= newest)
	})
	zones := map[string]uint64{}
	for zone, r := range e.read {
		zones[zone] = r.revision
	}
	for zone, r := range e.reported {
		zones[zone] = max(zones[zone], r.revision)
	}
	before := e.inEffect
	e.inEffect = slices.Sorted(maps.Keys(zones))
	if !e.n.fleet.SetEvacuated(e.inEffect, time.Now()) {
		return
	}
	e.n.stateChanged.Store(true)
	for _, zone := range e.inEffect {
		if !slices.Contains(before, zone) {
			e.record(zone, 1)
			e.n.log.WithFields(logrus.Fields{"evacuated": zone, "revision": zones[zone], "from_peer": e.read[zone] == eraRevision{}}).
				Info("zone evacuated: its endpoints get no requests")
		}
	}
	for _, zone := range before {
		if _, still := zones[zone]; !still {
			e.record(zone, 0)
			e.n.log.WithFields(logrus.Fields{"evacuated": zone, "revision": newest}).Info("evacuation of zone removed")
		}
	}
}

func (e *evacuations) record(zone string, value float64) {
	e.n.metrics.scope.SubScope("zones").Tagged(map[string]string{"zone": zone}).Gauge("evacuated").Update(value)
}

// allowReady reports whether the evacuations are known, or have been awaited for long enough. It must be called only once
// everything else is known that the instance needs for its readiness.
func (e *evacuations) allowReady(now time.Time) bool {
	if e.feed() == nil || isClosed(e.feed().Ready()) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listedSince.IsZero() {
		e.listedSince = now
	}
	return now.Sub(e.listedSince) >= maxEvacuationsWait
}

// mayShrink reports whether zones of a service may be shrunk: not while another zone that has returned from an evacuation
// gets its load in steps, or its endpoints are cold.
func (s *sizer) mayShrink(service string, zones []autoscale.Zone, now time.Time) bool {
	for _, z := range zones {
		if s.n.fleet.ReturnShare(z.Name, now) < 1 {
			return false
		}
	}
	if s.n.cold.limit(service).PerSecond <= 0 {
		return true
	}
	return !slices.ContainsFunc(s.n.fleet.Service(service), func(e *fleet.Endpoint) bool {
		return e.IsCold(now) && s.n.fleet.HasReturned(e.Zone, now)
	})
}

// ordered returns what the latest orders for a zone were for.
func (p *pool) ordered(zone string) autoscale.Zone {
	return autoscale.Zone{OnDemand: p.lastOrders[orderTarget{zone, false}].desired, Reclaimable: p.lastOrders[orderTarget{zone, true}].desired}
}
