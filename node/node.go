package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/trefoillug/trefoillug/clock"
	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/limit"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/quota"
	"github.com/trefoillug/trefoillug/routing"
	"github.com/trefoillug/trefoillug/upstream"
	"github.com/trefoillug/trefoillug/usage"
)

const (
	// memoryShare is the part of the machine's memory that the Go runtime may use before it collects harder; the rest
	// is for buffers of the kernel, which count too.
	memoryShare = 0.6
	// headerTimeout is used until the configuration names another.
	headerTimeout = 3 * time.Second
	// idleTimeout is above the idle time of callers' connections that any configuration is expected to allow.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is above the header limit of the deployments (16 KB).
	maxHeaderBytes = 32 << 10
	// defaultMaxBody is the limit of a body in bytes until a configuration names one.
	defaultMaxBody = 4 << 20
	// rotationTime is how long new connections may still arrive after readiness ends: the balancer asks once a second
	// and takes an instance out after two misses.
	rotationTime = 2600 * time.Millisecond
	// endMargin is kept between the last answer and the end of the grace time.
	endMargin = 500 * time.Millisecond
	// peerBytes bounds the reports to the peers in bytes a second. Eight instances that report to each other need about
	// 5,000, eighty need 40,000; a report that waits makes quotas and usage wrong.
	peerBytes = 60_000
	// expireInterval is how often endpoints that the list lost are looked at.
	expireInterval = 100 * time.Millisecond
	// defaultInstances stands in for the number of instances while no peer is known; deployments have 7 or 8.
	defaultInstances = 8
)

// Node is an instance.
type Node struct {
	settings Settings
	platform Platform
	log      logrus.FieldLogger
	process  string // differs between the starts of an instance
	wall     *clock.Wall
	started  time.Time

	table     atomic.Pointer[routing.Table]
	fleet     *fleet.Table
	feeds     map[string]*feed.Feed
	mesh      *peer.Node
	quotas    *quota.Ledger
	usage     *usage.Counter
	repeats   repeats
	forwarder *forward.Forwarder
	metrics   *metrics
	work      work
	rollouts  *rollouts
	notices   notices
	homes     homes
	suspects  *suspects

	members  membership
	closing  atomic.Bool
	isHolder atomic.Bool // of the duties
	changed  atomic.Bool // the platform's state; not reported yet
}

// New returns an instance that runs with Run.
func New(s Settings, p Platform, log logrus.FieldLogger) (*Node, error) {
	wall := clock.NewWall()
	n := &Node{
		settings: s, platform: p, log: log.WithField("instance", s.Name), wall: wall, started: time.Now(),
		process: fmt.Sprintf("%s.%x", s.Name, wall.Now().UnixMilli()),
		metrics: newMetrics(),
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	n.fleet = fleet.NewTable(func(address string) *upstream.Pool { return upstream.NewPool(address, upstream.Settings{}) })
	n.quotas = quota.NewLedger(s.Name, s.QuotaTolerance, defaultInstances, n.started)
	n.usage = usage.NewCounter(max(s.UsageWindow, time.Second))
	n.repeats = repeats{limit: s.Repeats, instances: defaultInstances, byService: map[string]*limit.Arrivals{}}
	mesh, err := peer.New(peer.Settings{
		Self:  peer.Member{ID: s.Name, Address: s.PeerListen, FailureDomain: s.Zone, Region: s.Region},
		Seeds: s.Seeds, Transport: peer.NewWebSocket(), Log: n.log, Seed: seedFor(n.process),
		PaceBytes: peerBytes,
	})
	if err != nil {
		return nil, err
	}
	n.mesh = mesh
	n.work = newWork()
	n.members = newMembership(s.Name, time.Now())
	n.homes = newHomes()
	n.homes.noteCores(s.Name, s.Cores)
	n.rollouts = newRollouts(n)
	n.suspects = newSuspects(n)
	n.forwarder = forward.New(forward.Config{
		Zone: s.Zone, Table: n.table.Load, Fleet: n.fleet, Wire: p.Wire, Quotas: quotas{n}, Repeats: &n.repeats,
		Mover: p.Mover, Suspects: n.suspects, Log: n.log, Metrics: forward.NewMetrics(n.metrics.scope),
		Worked: n.work.add, Versions: n.rollouts,
		Began: func(workspace string, _ time.Time) { n.usage.Began(workspace, wall.Now()) },
	})
	n.feeds = map[string]*feed.Feed{}
	n.addFeed(p.Kinds.Configuration, configHandler{n})
	n.addFeed(p.Kinds.Endpoints, endpointHandler{n})
	n.addFeed(p.Kinds.Rollouts, n.rollouts)
	n.subscribe()
	return n, nil
}

func (n *Node) addFeed(kind string, h feed.Handler) {
	n.feeds[kind] = feed.New(feed.Settings{Kind: kind, Store: n.platform.Objects, Handler: h, Log: n.log, Peer: n.askPeers,
		Wait: func() time.Duration { return n.watchWait(kind) }, Pace: func() time.Duration { return n.watchPace(kind) },
		MayBeOld: func() bool { return n.isNotified(kind, time.Now()) },
	})
}

// Run serves until ctx is done and then stops gracefully. It returns an error when a listener can't be opened.
func (n *Node) Run(ctx context.Context) error {
	n.log.WithFields(logrus.Fields{"process": n.process, "zone": n.settings.Zone}).Info("starting")
	listeners, err := listenAll(n.settings.PeerListen, n.settings.ReadyListen, n.settings.Listen)
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	peers := &http.Server{Handler: n.peerMux(), ReadHeaderTimeout: headerTimeout}
	ready := &http.Server{Handler: n.platform.Ready(n.IsReady), ReadHeaderTimeout: headerTimeout}
	callers := n.callerServer()
	for i, server := range []*http.Server{peers, ready, callers} {
		group.Go(func() error { return serve(server, listeners[i]) })
	}
	n.mesh.Start()
	for _, f := range n.feeds {
		group.Go(func() error { f.Run(work); return nil })
	}
	group.Go(func() error { return every(work, expireInterval, func(context.Context) { n.fleet.Expire(time.Now()) }) })
	group.Go(func() error { return every(work, reportTick, n.report) })
	group.Go(func() error { return every(work, noticeTick, n.publishNotices) })
	group.Go(func() error { return every(work, watchTick, func(context.Context) { n.reviseWatches(time.Now()) }) })
	group.Go(func() error { return every(work, rolloutTick, n.rollouts.tick) })
	group.Go(func() error { n.register(work); return nil })
	duties, endDuties := context.WithCancel(work)
	defer endDuties()
	var dutiesDone sync.WaitGroup
	if n.platform.API != nil {
		dutiesDone.Go(func() { n.runDuties(duties) })
	}
	group.Go(func() error {
		defer stop()
		select {
		case <-work.Done():
		case <-ctx.Done():
		}
		endDuties()
		n.shutdown(callers)
		dutiesDone.Wait()
		n.publishUsage()
		n.mesh.Close()
		return errors.Join(peers.Close(), ready.Close())
	})
	err = group.Wait()
	n.log.Info("stopped")
	return err
}

// Reconfigure takes over changed settings as far as a running process can: limits and bounds. Addresses, names and
// duties stay as they are until the next start.
func (n *Node) Reconfigure(s Settings) {
	n.quotas.SetTolerance(s.QuotaTolerance)
	n.repeats.setLimit(s.Repeats)
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
}

// IsReady reports whether the instance may get new connections.
func (n *Node) IsReady() bool {
	return !n.closing.Load() && n.table.Load() != nil && isClosed(n.feeds[n.platform.Kinds.Endpoints].Ready())
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
		Handler:           n.platform.Ingress(n.forwarder, n.maxBody, n.closing.Load),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (n *Node) maxBody() int64 {
	if t := n.table.Load(); t != nil && t.Limits.BodyBytes > 0 {
		return t.Limits.BodyBytes
	}
	return defaultMaxBody
}

// shutdown turns readiness off, serves what the balancer still sends, lets the open requests end, and closes.
func (n *Node) shutdown(callers *http.Server) {
	began := time.Now()
	n.closing.Store(true)
	n.log.Info("leaving: readiness is off")
	n.mesh.Leave()
	n.publish(context.Background())
	time.Sleep(rotationTime)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(n.settings.Grace-endMargin))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.log.WithError(err).Warn("requests left at the end of the grace time")
		_ = callers.Close() // the process ends anyway
	}
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

func serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// every runs fn in intervals until ctx is done.
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
