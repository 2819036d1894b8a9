package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/reachability"
	"github.com/trefoillug/trefoillug/upstream"
)

// prober tells the tracker which endpoints there are, and probes them when that is due.
type prober struct {
	*reachability.Prober
	n       *Node
	changed <-chan struct{} // closed once the list of endpoints that the tracker has is outdated; nil: it has none
}

func newProber(n *Node) *prober {
	n.reachability = reachability.NewTracker()
	n.reachability.OnChange(n.receiveReachability)
	return &prober{n: n, Prober: &reachability.Prober{
		Tracker: n.reachability, Dial: upstream.DialTCP, Timeout: upstream.DefaultDialTimeout,
		OnProbes: func(count int) { n.metrics.scope.Counter("reachability_probes").Inc(int64(count)) },
	}}
}

// settings returns the settings of the connections to endpoints.
func (p *prober) settings() upstream.Settings {
	return upstream.Settings{
		Dial:       p.Open,
		OnSent:     func() { p.Tracker.RecordSent(time.Now()) },
		OnReceived: p.Tracker.RecordReceived,
	}
}

func (p *prober) tick(ctx context.Context) {
	if p.changed == nil || isClosed(p.changed) {
		p.changed = p.n.fleet.Changed()
		p.Tracker.SetEndpoints(p.n.probeCandidates())
	}
	p.Tick(ctx)
}

// probeCandidates returns the endpoints that may get work, in random order.
func (n *Node) probeCandidates() []reachability.Endpoint {
	var all []reachability.Endpoint
	for _, e := range n.fleet.All() {
		if !e.IsLeaving() && !e.IsEvacuated() {
			all = append(all, reachability.Endpoint{Address: e.Address, Zone: e.Zone, Service: e.Service})
		}
	}
	return all
}

// receiveReachability logs and reports that isolation has begun or ended.
func (n *Node) receiveReachability(c reachability.Change) {
	n.stateChanged.Store(true)
	log := n.log.WithFields(logrus.Fields{"endpoints": c.Endpoints, "ms": c.Duration.Milliseconds()})
	if !c.Isolated {
		n.metrics.scope.Gauge("isolated").Update(0)
		log.Warn("endpoints can be reached again")
		return
	}
	n.metrics.scope.Gauge("isolated").Update(1)
	n.metrics.scope.Counter("isolations").Inc(1)
	log.Warn("no endpoint can be reached")
}

// IsIsolated reports whether this instance can reach no endpoint.
func (n *Node) IsIsolated() bool { return n.reachability.IsIsolated() }

// reachableInstances returns the other live instances that are not leaving and whose newest reports say that they serve
// requests of peers and are not isolated. FailureDomain is their zone.
func (n *Node) reachableInstances() []peer.Member {
	return n.members.reachable(n.mesh.Members())
}
