package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/graceful"
	"github.com/trefoillug/trefoillug/intake"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/rendezvous"
	"github.com/trefoillug/trefoillug/upstream"
)

const (
	// proxyChoices is the number of instances among which the one with the fewest requests is chosen. Two spread the
	// requests of one instance evenly; more would make all isolated instances choose the same one.
	proxyChoices = 2
	// proxyTick is how often unused connections to other instances are closed.
	proxyTick = time.Second
	// proxiedShare is the share of the connections of the peer listener that may carry requests of other instances at a
	// time. The rest is for reports, calls and operators.
	proxiedShare = 0.75
	// proxyConnShare is the share that one other instance may use, so that the requests of two isolated ones fit.
	proxyConnShare = proxiedShare / 2
)

// proxies implements forward.Proxies with the peers that reach endpoints, and counts the requests that peers send through
// this instance.
type proxies struct {
	isIsolated func() bool
	reachable  func() []peer.Member
	zone       string
	regions    map[string]string // of the zones
	maxConns   int               // to each peer; 0: no bound
	maxRunning int64             // of peers; 0: no bound
	running    atomic.Int64
	scope      tally.Scope

	mu   sync.Mutex
	byID map[string]*fleet.Endpoint
}

var _ forward.Proxies = (*proxies)(nil)

func newProxies(s *Settings, scope tally.Scope, isIsolated func() bool, reachable func() []peer.Member) *proxies {
	conns := float64(intake.ConnBoundsFor(s.MemoryBytes, s.MaxFds).Peers)
	return &proxies{
		isIsolated: isIsolated, reachable: reachable, zone: s.Zone, regions: s.Regions, byID: map[string]*fleet.Endpoint{},
		maxConns: int(conns * proxyConnShare), maxRunning: int64(conns * proxiedShare), scope: scope.SubScope("proxied"),
	}
}

// IsIsolated implements forward.Proxies.
func (p *proxies) IsIsolated() bool { return p.isIsolated() }

// Next implements forward.Proxies. Of the candidates that the request ID picks, it returns the one with the fewest requests
// of this instance, and of equal ones that in its own zone. Instances in other regions, to which the way is longer, and those
// that were not reached a moment ago are candidates only if there are no others.
func (p *proxies) Next(requestID string, excluded func(*fleet.Endpoint) bool) *fleet.Endpoint {
	now := time.Now()
	var near, far, avoided []*fleet.Endpoint
	for _, e := range p.instances() {
		switch {
		case excluded(e):
		case e.Stats.Snapshot(now).Avoided:
			avoided = append(avoided, e)
		case p.regions[e.Zone] == p.regions[p.zone]:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	for _, some := range [][]*fleet.Endpoint{near, far, avoided} {
		if len(some) > 0 {
			return p.leastLoaded(requestID, some, now)
		}
	}
	return nil
}

// leastLoaded returns the one of proxyChoices instances, which the request ID picks, with the fewest requests.
func (p *proxies) leastLoaded(requestID string, all []*fleet.Endpoint, now time.Time) *fleet.Endpoint {
	ids, byID := make([]string, 0, len(all)), make(map[string]*fleet.Endpoint, len(all))
	for _, e := range all {
		ids, byID[e.ID] = append(ids, e.ID), e
	}
	var best *fleet.Endpoint
	least := 0
	for _, id := range rendezvous.Top(requestID, ids, proxyChoices) {
		e := byID[id]
		running := e.Stats.Snapshot(now).Running
		if best == nil || running < least || running == least && e.Zone == p.zone && best.Zone != p.zone {
			best, least = e, running
		}
	}
	return best
}

// instances returns the peers that reach endpoints.
func (p *proxies) instances() []*fleet.Endpoint {
	members := p.reachable()
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*fleet.Endpoint, 0, len(members))
	for _, m := range members {
		e := p.byID[m.ID]
		if e == nil || e.Address != m.Address {
			if e != nil {
				e.Pool.Close()
			}
			pool := upstream.NewPool(m.Address, upstream.Settings{})
			pool.SetLimit(p.maxConns)
			e = fleet.NewInstance(m.ID, m.FailureDomain, m.Address, pool)
			p.byID[m.ID] = e
		}
		all = append(all, e)
	}
	return all
}

// closeUnused closes the connections to the peers while this instance needs none.
func (p *proxies) closeUnused() {
	if p.isIsolated() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.byID {
		e.Pool.DropIdle()
	}
}

// begin counts a request of a peer, and reports whether it may be served.
func (p *proxies) begin() bool {
	if n := p.running.Add(1); p.maxRunning > 0 && n > p.maxRunning {
		p.running.Add(-1)
		p.scope.Counter("refused").Inc(1)
		return false
	}
	p.scope.Counter("received").Inc(1)
	return true
}

func (p *proxies) end() { p.running.Add(-1) }

// awaitEnd waits until no request of a peer is in progress.
func (p *proxies) awaitEnd(ctx context.Context) {
	poll := time.NewTicker(proxiedPollInterval)
	defer poll.Stop()
	for p.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}

// proxiedPollInterval is how often a stopping instance checks whether requests of peers are in progress.
const proxiedPollInterval = 20 * time.Millisecond

// peerServer returns the server for peers and operators. Requests of callers that peers send on have a handler of their own,
// since they may have bodies and long headers.
func (n *Node) peerServer() *graceful.Server {
	control := controlServer(n.peerMux())
	proxied, others := n.platform.ProxiedIngress(n.forwarder, n.maxBody, n.closing.Load, n.memory, n.proxies.begin, n.proxies.end), control.Handler
	control.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.platform.IsProxied(r) {
			proxied.ServeHTTP(w, r)
			return
		}
		others.ServeHTTP(w, r)
	})
	control.MaxHeaderBytes = maxHeaderBytes
	peers := graceful.New(control)
	peers.RefusalHeader = n.platform.ConnRefusal
	return peers
}
