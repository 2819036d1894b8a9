package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/trefoillug/trefoillug/clock"
	"github.com/trefoillug/trefoillug/era"
	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/graceful"
	"github.com/trefoillug/trefoillug/intake"
	"github.com/trefoillug/trefoillug/lease"
	"github.com/trefoillug/trefoillug/limit"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/quota"
	"github.com/trefoillug/trefoillug/reachability"
	"github.com/trefoillug/trefoillug/routing"
	"github.com/trefoillug/trefoillug/upstream"
	"github.com/trefoillug/trefoillug/usage"
)

const (
	// memoryShare is the share of the machine's memory that the Go runtime may use before it collects more
	// aggressively; the rest is for kernel buffers, which count too.
	memoryShare = 0.6
	// readHeaderTimeout is used until the configuration sets another.
	readHeaderTimeout = 3 * time.Second
	// minIdleTimeout is how long idle connections of callers are kept at least.
	minIdleTimeout = 2 * time.Minute
	// maxHeaderBytes exceeds the header limit of the deployments (16 KB).
	maxHeaderBytes = 32 << 10
	// defaultMaxBodyBytes limits request bodies until a configuration sets a limit.
	defaultMaxBodyBytes = 4 << 20
	// balancerDelay is how long new connections may still arrive after readiness ends: the balancer checks once a
	// second and removes an instance after two failed checks.
	balancerDelay = 2600 * time.Millisecond
	// shutdownMargin is kept between the last answer and the end of the grace time.
	shutdownMargin = 500 * time.Millisecond
	// peerBytesPerSecond bounds the reports to the peers. Eight instances that report to each other need about 5,000
	// bytes a second, eighty need 40,000; a delayed report makes quotas and usage wrong.
	peerBytesPerSecond = 60_000
	// expireInterval is how often endpoints that were removed from the list are checked for expiry.
	expireInterval = 100 * time.Millisecond
	// defaultInstances is the assumed number of instances until peers are found; deployments have 7 or 8.
	defaultInstances = 8
)

// Node is a running instance.
type Node struct {
	settings Settings
	platform Platform
	log      logrus.FieldLogger
	process  string // unique to each start of an instance
	wall     *clock.Wall
	started  time.Time

	table        atomic.Pointer[routing.Table]
	eras         *era.Tracker
	dutyLease    *lease.Lease // nil: this instance takes on no duties
	finals       finalCountsTable
	registerSoon chan struct{} // see maintainRegister
	fleet        *fleet.Table
	feeds        map[string]*feed.Feed
	mesh         *peer.Node
	quotas       *quota.Ledger
	usage        *usage.Counter
	retryBudgets retryBudgets
	forwarder    *forward.Forwarder
	metrics      *metrics
	memory       *intake.Memory // for bodies, held answers and messages; nil: no bound
	load         loadMeter
	rollouts     *rollouts
	evacuations  *evacuations
	notices      notices
	reclaims     reclaims
	owners       owners
	suspects     *suspects
	cold         *coldLimits
	reachability *reachability.Tracker
	proxies      *proxies
	brittle      *brittleServices
	prober       *prober

	members      membership
	gracePeriod  atomic.Int64 // time.Duration; Settings.GracePeriod as last read
	closing      atomic.Bool
	stop         atomic.Pointer[forward.Stop] // nil: not stopping
	holdsDuties  atomic.Bool
	stateChanged atomic.Bool // the platform's state has changed since the last report
}

// New returns an instance; Run starts it. It returns an error when the connections to the peers can't be set up.
func New(s Settings, p Platform, log logrus.FieldLogger) (*Node, error) {
	wall := clock.NewWall()
	n := &Node{
		settings: s, platform: p, log: log.WithField("instance", s.Name), wall: wall, started: time.Now(),
		process: fmt.Sprintf("%s.%x", s.Name, wall.Now().UnixMilli()),
		metrics: newMetrics(),
	}
	n.eras, n.registerSoon = p.Eras, make(chan struct{}, 1)
	if n.eras == nil {
		n.eras = era.NewTracker()
	}
	n.memory = n.newMemory(s.MemoryBytes)
	n.setMemory(s.MemoryBytes)
	n.gracePeriod.Store(int64(s.GracePeriod))
	n.prober = newProber(n)
	n.fleet = fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, n.prober.settings()) })
	n.fleet.OnSignal(n.receiveSignals)
	n.quotas = quota.NewLedger(s.Name, s.QuotaTolerance, defaultInstances, n.started)
	n.usage = usage.NewCounter(max(s.UsageWindow, time.Second))
	n.retryBudgets = retryBudgets{limit: s.Repeats, instances: defaultInstances, byService: map[string]*limit.RepeatBudget{}}
	mesh, err := peer.New(peer.Settings{
		Self:  peer.Member{ID: s.Name, Address: s.PeerListen, FailureDomain: s.Zone, Region: s.Region},
		Seeds: s.Seeds, Transport: peer.NewWebSocket(), Log: n.log, RandomSeed: seedFor(n.process),
		PaceBytesPerSecond: peerBytesPerSecond, Memory: n.memory,
	})
	if err != nil {
		return nil, err
	}
	n.mesh = mesh
	if p.OnStoreCall != nil {
		p.OnStoreCall(countStoreCall(n.metrics.scope))
	}
	n.load = newLoadMeter()
	n.members = newMembership(s.Name, time.Now())
	n.owners = newOwners()
	n.owners.recordCores(s.Name, s.Cores)
	n.rollouts = newRollouts(n)
	n.suspects = newSuspects(n)
	if p.API != nil {
		n.dutyLease = n.newDutyLease()
	}
	n.cold = newColdLimits(n)
	n.proxies = newProxies(&s, n.metrics.scope, n.IsIsolated, n.reachableInstances)
	n.brittle = newBrittleServices(n)
	n.forwarder = forward.New(forward.Config{
		Name: s.Name, Zone: s.Zone, Table: n.table.Load, Fleet: n.fleet, Wire: p.Wire, Quotas: quotas{n}, RetryBudget: &n.retryBudgets,
		Mover: p.Mover, Suspects: n.suspects, AnswerMemory: n.memory, Log: n.log, Metrics: forward.NewMetrics(n.metrics.scope),
		OnWork: n.load.add, Versions: n.rollouts, Stop: n.stop.Load, Cold: n.cold, Proxies: n.proxies, Regions: s.Regions,
		OnStarted: func(workspace string, _ time.Time) { n.usage.CountStarted(workspace, wall.Now()) },
	})
	n.feeds = map[string]*feed.Feed{}
	n.addFeed(p.Kinds.Configuration, configHandler{n}, true)
	n.addFeed(p.Kinds.Endpoints, &endpointHandler{n: n}, false)
	n.addFeed(p.Kinds.Rollouts, n.rollouts, true)
	n.evacuations = newEvacuations(n)
	if s.EvacuationTime > 0 {
		n.addFeed(p.Kinds.Evacuations, n.evacuations, true)
	}
	n.followEras()
	n.subscribe()
	return n, nil
}

// addFeed adds the feed of a kind. keepsMissing is feed.Settings.KeepsMissing.
func (n *Node) addFeed(kind string, h feed.Handler, keepsMissing bool) {
	n.feeds[kind] = feed.New(feed.Settings{Kind: kind, Store: n.platform.Objects, Handler: h, Log: n.log, FetchFromPeer: n.fetchCopy,
		Eras: n.eras, KeepsMissing: keepsMissing,
		Wait: func() time.Duration { return n.watchWait(kind) }, Pace: func() time.Duration { return n.watchPace(kind) },
		MayBeStale: func() bool { return n.hasNotifiers(kind, time.Now()) },
	})
}

// Run serves until ctx is done and then shuts down gracefully. It returns an error when a listener can't be opened or
// a server fails.
func (n *Node) Run(ctx context.Context) error {
	n.log.WithFields(logrus.Fields{"process": n.process, "zone": n.settings.Zone}).Info("starting")
	listeners, err := listenAll(n.settings.PeerListen, n.settings.ReadyListen, n.settings.Listen)
	if err != nil {
		return err
	}
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serveCtx := errgroup.WithContext(serveCtx)
	peers := n.peerServer()
	ready := graceful.New(controlServer(n.platform.Ready(n.IsReady)))
	callers := graceful.New(n.callerServer())
	callers.HeaderTimeout, callers.IdleTimeout = n.headerTimeout, n.idleTimeout
	callers.OnClose = graceful.Report(n.log, n.metrics.scope)
	n.boundConns(peers, ready, callers)
	for i, server := range []*graceful.Server{peers, ready, callers} {
		group.Go(func() error { return server.Serve(listeners[i]) })
	}
	n.mesh.Start()
	for _, f := range n.feeds {
		group.Go(func() error { f.Run(serveCtx); return nil })
	}
	group.Go(func() error {
		return every(serveCtx, expireInterval, func(context.Context) {
			n.fleet.Expire(time.Now())
			n.fleet.UseRelisted(n.feeds[n.platform.Kinds.Endpoints].HealthySince(), time.Now())
		})
	})
	group.Go(func() error { return every(serveCtx, reportTick, n.report) })
	group.Go(func() error { return every(serveCtx, metricsInterval, n.reportMemory) })
	group.Go(func() error { return every(serveCtx, noticeTick, n.publishNotices) })
	group.Go(func() error { return every(serveCtx, watchTick, func(context.Context) { n.updateWatches(time.Now()) }) })
	group.Go(func() error { return every(serveCtx, rolloutTick, n.rollouts.tick) })
	group.Go(func() error { return every(serveCtx, coldTick, n.cold.refresh) })
	group.Go(func() error { return every(serveCtx, proxyTick, func(context.Context) { n.proxies.closeUnused() }) })
	group.Go(func() error { return every(serveCtx, brittleTick, n.brittle.tick) })
	group.Go(func() error { return every(serveCtx, reachability.ProbeInterval, n.prober.tick) })
	group.Go(func() error { return every(serveCtx, reclaimTick, n.observeReclaims) })
	group.Go(func() error { n.maintainRegister(serveCtx); return nil })
	group.Go(func() error { n.suspects.maintainRecords(serveCtx); return nil })
	dutiesCtx, endDuties := context.WithCancel(serveCtx)
	defer endDuties()
	var dutiesDone sync.WaitGroup
	if n.platform.API != nil {
		dutiesDone.Go(func() { n.runDuties(dutiesCtx) })
	}
	group.Go(func() error {
		defer stop()
		select {
		case <-serveCtx.Done():
		case <-ctx.Done():
		}
		endDuties()
		n.shutdown(callers)
		dutiesDone.Wait()
		n.publishUsage()
		n.mesh.Close()
		closeGracefully(peers)
		return errors.Join(peers.Close(), ready.Close())
	})
	err = group.Wait()
	n.log.Info("stopped")
	return err
}

// IsReady reports whether the instance may get new connections.
func (n *Node) IsReady() bool {
	return !n.closing.Load() && n.table.Load() != nil && isClosed(n.feeds[n.platform.Kinds.Endpoints].Ready()) && n.evacuations.allowReady(time.Now())
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (n *Node) callerServer() *http.Server {
	return &http.Server{
		Handler:        n.platform.Ingress(n.forwarder, n.maxBody, n.closing.Load, n.memory),
		MaxHeaderBytes: maxHeaderBytes,
		// The answer to "OPTIONS *" is that for a request without a route.
		DisableGeneralOptionsHandler: true,
	}
}

// idleTimeout returns how long idle connections of callers are kept: longer than any caller that observes the
// configuration reuses them.
func (n *Node) idleTimeout() time.Duration {
	if t := n.table.Load(); t != nil {
		return max(minIdleTimeout, t.Limits.IdleTimeout)
	}
	return minIdleTimeout
}

// headerTimeout returns the time limit that the configuration sets for the header of a request.
func (n *Node) headerTimeout() time.Duration {
	if t := n.table.Load(); t != nil && t.Limits.HeaderTimeout > 0 {
		return t.Limits.HeaderTimeout
	}
	return readHeaderTimeout
}

func (n *Node) maxBody() int64 {
	if t := n.table.Load(); t != nil && t.Limits.BodyBytes > 0 {
		return t.Limits.BodyBytes
	}
	return defaultMaxBodyBytes
}

// shutdown turns readiness off, serves requests that the balancer still sends, waits for open requests to end, and
// closes the server.
func (n *Node) shutdown(callers *graceful.Server) {
	now := time.Now()
	end := now.Add(time.Duration(n.gracePeriod.Load()) - shutdownMargin)
	n.stop.Store(&forward.Stop{LastSent: now.Add(balancerDelay), End: end})
	n.closing.Store(true)
	n.log.Info("leaving: readiness is off")
	n.mesh.Leave()
	n.publish(context.Background())
	time.Sleep(balancerDelay)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.log.WithError(err).Warn("requests still open at the end of the grace time")
		_ = callers.Close() // the process ends anyway
	}
	n.proxies.awaitEnd(ctx)
}

// closeGracefully answers the requests that have begun to arrive and closes the server.
func closeGracefully(s *graceful.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownMargin/2)
	defer cancel()
	_ = s.Shutdown(ctx) // Close ends the rest
}

func listenAll(addresses ...string) ([]net.Listener, error) {
	var all []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, open := range all {
				err = errors.Join(err, open.Close())
			}
			return nil, fmt.Errorf("listen: %w", err)
		}
		all = append(all, l)
	}
	return all, nil
}

// every runs fn at each interval until ctx is done, and returns nil.
func every(ctx context.Context, interval time.Duration, fn func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			fn(ctx)
		}
	}
}
