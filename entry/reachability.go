package entry

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/reachability"
	"github.com/trefoillug/trefoillug/table"
)

const (
	// factIsolated is the key of the fact whether its origin is isolated.
	factIsolated = "isolated"
	// isolatedTTL bounds how long an instance that ends without a word counts as isolated, and isolatedRefresh is how often one
	// that still is says so.
	isolatedTTL     = 15 * time.Second
	isolatedRefresh = isolatedTTL / 3
	// endpointsInterval is how often the endpoints that may be probed are updated. It is that of the instance list.
	endpointsInterval = listInterval
	// probeTimeout bounds a probe. Opening a connection takes a few milliseconds within a region; a lost packet, which is sent
	// again after 1 s, does not hit the probes of all endpoints.
	probeTimeout = 150 * time.Millisecond
)

// links knows whether this instance and its peers can reach any endpoint.
type links struct {
	*reachability.Prober
	d *Daemon

	updated   time.Time // used by tick only
	published time.Time // used by tick only; zero: not isolated

	mu       sync.Mutex
	isolated map[string]time.Time // by peer: until when it counts as isolated
}

func newLinks(d *Daemon) *links {
	l := &links{d: d, isolated: map[string]time.Time{}}
	dialer := &net.Dialer{Timeout: dispatch.DefaultDialTimeout}
	l.Prober = &reachability.Prober{
		Tracker: reachability.NewTracker(), Timeout: probeTimeout,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		OnProbes: func(count int) { d.metrics.scope.Counter("reachability_probes").Inc(int64(count)) },
	}
	l.Tracker.OnChange(l.change)
	return l
}

// DialContext implements dispatch.Dialer.
func (l *links) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return l.Open(ctx, address)
}

// dispatchSettings returns the settings of the connections to endpoints.
func (l *links) dispatchSettings() dispatch.Settings {
	return dispatch.Settings{
		Dialer: l, OnSent: func() { l.Tracker.RecordSent(time.Now()) }, OnReceived: l.Tracker.RecordReceived,
	}
}

// tick probes endpoints when that is due, and publishes whether this instance is isolated.
func (l *links) tick(ctx context.Context) {
	if now := time.Now(); now.Sub(l.updated) >= endpointsInterval {
		l.updated = now
		l.Tracker.SetEndpoints(l.endpoints())
	}
	l.Tick(ctx)
	isolated := l.Tracker.IsIsolated()
	if isolated && time.Since(l.published) >= isolatedRefresh || !isolated && !l.published.IsZero() {
		l.publish(isolated)
	}
}

func (l *links) publish(isolated bool) {
	value, err := cbor.Marshal(isolated)
	if err != nil {
		return // a bool can be encoded
	}
	l.d.node.Publish(factIsolated, value, isolatedTTL)
	l.published = time.Time{}
	if isolated {
		l.published = time.Now()
	}
}

// endpoints returns the endpoints that may get work.
func (l *links) endpoints() []reachability.Endpoint {
	var all []reachability.Endpoint
	for name, service := range l.d.core.Snapshot().Services {
		for _, e := range service.Endpoints {
			if e.Condition == table.Ready || e.Condition == table.Suspect {
				all = append(all, reachability.Endpoint{Address: e.Address, Zone: e.FailureDomain, Service: name})
			}
		}
	}
	return all
}

// change logs and counts that isolation has begun or ended.
func (l *links) change(c reachability.Change) {
	log := l.d.log.WithFields(logrus.Fields{"endpoints": c.Endpoints, "ms": c.Duration.Milliseconds()})
	if !c.Isolated {
		l.d.metrics.scope.Gauge("isolated").Update(0)
		log.Warn("endpoints can be reached again")
		return
	}
	l.d.metrics.scope.Gauge("isolated").Update(1)
	l.d.metrics.scope.Counter("isolations").Inc(1)
	log.Warn("no endpoint can be reached")
}

// receive records what a peer says of itself.
func (l *links) receive(f peer.Fact) {
	var isolated bool
	if err := cbor.Unmarshal(f.Value, &isolated); err != nil {
		l.d.log.WithError(err).WithField("peer", f.Origin).Warn("could not decode a fact of a peer")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if isolated {
		l.isolated[f.Origin] = time.Now().Add(f.TTL)
	} else {
		delete(l.isolated, f.Origin)
	}
}

// isIsolated reports whether a member, this one included, can reach no endpoint.
func (l *links) isIsolated(id string) bool {
	if id == l.d.settings.ID {
		return l.Tracker.IsIsolated()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.isolated[id])
}

// areWorse reports whether this instance is isolated and one of the other members is not.
func (l *links) areWorse(members []peer.Member) bool {
	if !l.Tracker.IsIsolated() {
		return false
	}
	return slices.ContainsFunc(members, func(m peer.Member) bool {
		return m.ID != l.d.settings.ID && !m.Leaving && !l.isIsolated(m.ID)
	})
}
