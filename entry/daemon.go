package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/trefoillug/trefoillug/burn"
	"github.com/trefoillug/trefoillug/claim"
	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/graceful"
	"github.com/trefoillug/trefoillug/intake"
	"github.com/trefoillug/trefoillug/limit"
	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/quarantine"
	"github.com/trefoillug/trefoillug/reachability"
	"github.com/trefoillug/trefoillug/relay"
)

const (
	// headerTimeout bounds how long a peer or operator may take to send a request header.
	headerTimeout = 5 * time.Second
	// reclaimMargin is the time between the last handover and the reclaim of the instance.
	reclaimMargin = time.Second
	// closeTimeout bounds recording claims and refusal minutes at shutdown.
	closeTimeout = 5 * time.Second
	// readyInterval is the time between two readiness checks.
	readyInterval = 50 * time.Millisecond
)

// Daemon is an entry instance.
type Daemon struct {
	settings     Settings
	log          logrus.FieldLogger
	core         *core.Core
	runner       *runner
	store        objstore.Store
	lister       cloud.InstanceLister
	noticeLister cloud.NoticeLister
	node         *peer.Node
	config       *config.Distributor
	claims       *claim.Service
	admission    *limit.Admission
	suspects     suspects
	relay        *relay.Relay
	metrics      *metrics
	links        *links
	memory       *intake.Memory // for bodies, held answers and messages; nil: no bound
	pool         *poolDuty      // nil: the platform sizes the pool

	ready     atomic.Bool
	leaving   atomic.Bool
	listRead  atomic.Bool    // the instance list was read once
	reclaimed chan time.Time // the time by which a reclaim ends this instance

	seenNotices map[cloud.Notice]bool // used by readNotices only
	lastList    []cloud.Instance      // used by readInstances only
	loadTurn    int                   // used by readLoads only

	burnMu         sync.Mutex
	burn           *burn.Recorder
	skippedFlushes int    // flush intervals since the last write
	started        string // start time, part of the key of this process's refusal minutes
}

// New returns a daemon. It returns an error if the peer node rejects its settings.
func New(s Settings, log logrus.FieldLogger) (*Daemon, error) {
	log = log.WithField("instance", s.ID)
	hc := &http.Client{Timeout: storeTimeout}
	client := cloud.NewClient(s.PlatformURL, hc)
	d := &Daemon{
		settings: s, log: log, lister: client, noticeLister: client,
		store:       objstore.NewClient(s.StoreURL, nil),
		core:        core.New(core.Settings{Instance: s.ID, FailureDomain: s.FailureDomain, Epoch: uint64(time.Now().UnixMilli())}),
		reclaimed:   make(chan time.Time, 1),
		seenNotices: map[cloud.Notice]bool{},
		burn:        burn.NewRecorder(),
		started:     time.Now().UTC().Format("20060102T150405.000"),
		metrics:     newMetrics(),
	}
	d.memory = d.newMemory()
	d.links = newLinks(d)
	d.runner = newRunner(d.core, d.execute, func() { d.admission.Update(d.core.Snapshot()) })
	node, err := peer.New(peer.Settings{
		Self:  peer.Member{ID: s.ID, Address: s.advertised(), FailureDomain: s.FailureDomain, Region: s.Region},
		Seeds: s.Peers, Transport: peer.NewWebSocket(), Log: log, RandomSeed: seedFor(s.ID), Memory: d.memory,
	})
	if err != nil {
		return nil, err
	}
	d.node = node
	d.admission = limit.New(limit.Settings{Mesh: node, Log: log})
	d.claims = claim.New(d.store, node, claim.Options{})
	d.config = config.NewDistributor(config.Options{
		Store: d.store, Mesh: node, Log: log, Apply: d.applyConfig, Seed: seedFor(s.ID),
	})
	d.suspects = suspects{table: quarantine.New(quarantine.Options{}), process: s.ID + "-" + d.started, log: log, publish: node.PublishShared}
	if s.Pool {
		d.pool = newPoolDuty(d, hc)
	}
	d.relay = relay.New(d.relayConfig())
	node.Subscribe("", d.handleFact)
	return d, nil
}

func (d *Daemon) handleFact(f peer.Fact) {
	if f.Key == factIsolated {
		d.links.receive(f)
		return
	}
	if !strings.HasPrefix(f.Key, factCrash) {
		d.runner.Post(core.FactReceived{Fact: f})
		return
	}
	endpoint, err := d.suspects.merge(f)
	if err != nil {
		d.log.WithError(err).Warn("could not decode a fact of a peer")
		return
	}
	// A starting instance receives the crashes of the last half hour; those endpoints have restarted since.
	if endpoint != "" && quarantine.DefaultTTL-f.TTL < maxCrashAge {
		d.relay.RecordCrash(endpoint)
		d.runner.Post(core.EndpointCrashed{Endpoint: endpoint})
	}
}

func (d *Daemon) relayConfig() relay.Config {
	return relay.Config{
		Instance: d.settings.ID, FailureDomain: d.settings.FailureDomain,
		Snapshots: d.core.Snapshot, Post: d.post, Mesh: d.node, Log: d.log,
		Claimer:  &claimer{service: d.claims},
		Chooser:  newChooser(seedFor(d.settings.ID)),
		Admitter: admitter{d.admission}, RetryBudget: retryBudget{d.admission}, Quarantine: d.suspects,
		Memory: d.memory, Dispatch: dispatch.New(d.links.dispatchSettings()),
	}
}

func (d *Daemon) applyConfig(revision uint64, services []*config.Service) {
	d.log.WithField("revision", revision).Info("configuration in effect")
	accepted := core.ConfigAccepted{Revision: revision}
	for _, svc := range services {
		accepted.Services = append(accepted.Services, *svc)
	}
	d.runner.Post(accepted)
}

// Run serves until ctx is done or a reclaim notice ends this instance. It returns an error when a listener can't be
// opened.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.settings.Listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	peers, err := net.Listen("tcp", d.settings.PeerListen)
	if err != nil {
		return errors.Join(fmt.Errorf("--peer-listen: %w", err), callers.Close())
	}
	// The systems keep running after ctx is done, since a graceful shutdown needs them.
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	peerServer := graceful.New(&http.Server{
		Handler: intake.RefuseBodies(d.peerMux()), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: relay.MaxHeaderBytes,
	})
	callerServer := graceful.New(relay.NewServer(intake.BoundUnreadBodies(d.callerMux())))
	callerServer.OnClose = graceful.Report(d.log, d.metrics.scope)
	d.boundConns(peerServer, callerServer)
	group.Go(func() error { return peerServer.Serve(peers) })
	group.Go(func() error { return callerServer.Serve(callers) })
	d.startSystems(runCtx, group)
	group.Go(func() error {
		defer stop()
		d.waitForStop(ctx, runCtx)
		d.shutdown(callerServer)
		return peerServer.Close()
	})
	return group.Wait()
}

func (d *Daemon) startSystems(ctx context.Context, group *errgroup.Group) {
	d.node.Start()
	d.admission.Start()
	group.Go(func() error { return d.runner.run(ctx) })
	group.Go(func() error { d.config.Run(ctx); return nil })
	group.Go(func() error { return every(ctx, listInterval, d.readInstances) })
	group.Go(func() error { return every(ctx, noticeInterval, d.readNotices) })
	group.Go(func() error { return every(ctx, loadInterval, d.readLoads) })
	group.Go(func() error { return every(ctx, flushInterval, d.flushBurn) })
	group.Go(func() error { return every(ctx, readyInterval, d.updateReady) })
	group.Go(func() error { return every(ctx, reachability.ProbeInterval, d.links.tick) })
	group.Go(func() error { return every(ctx, reportInterval, d.reportMemory) })
	if d.pool != nil {
		group.Go(func() error { return d.pool.run(ctx) })
	}
}

// updateReady makes the instance ready once it has a configuration and an instance list. It is not ready while it reaches no
// endpoint and another instance does, so that the balancer sends new connections there.
func (d *Daemon) updateReady(context.Context) {
	configured := false
	select {
	case <-d.config.Ready():
		configured = d.core.Snapshot().Revision > 0
	default:
	}
	d.ready.Store(configured && d.listRead.Load() && !d.leaving.Load() && !d.links.shouldBeUnready(d.node.Members()))
}

// waitForStop returns when a planned stop begins or when a reclaim is due. On a reclaim notice it hands over the open
// streams at once, since the process may be killed early; requests that the balancer still sends are served, and
// handed over at the end.
func (d *Daemon) waitForStop(ctx, runCtx context.Context) {
	select {
	case <-runCtx.Done():
	case <-ctx.Done():
	case by := <-d.reclaimed:
		d.leave()
		d.drain(by, relay.DrainReclaim)
		sleep(runCtx, time.Until(by.Add(-reclaimMargin)))
		d.drain(by, relay.DrainReclaim)
	}
}

// drain ends the open requests by the given time, in the way that mode defines.
func (d *Daemon) drain(by time.Time, mode relay.DrainMode) {
	d.relay.StopAt(by, false)
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	if err := d.relay.Drain(ctx, mode); err != nil {
		d.log.WithError(err).Error("requests still open at the end; their callers must repeat them")
	}
}

// leave turns readiness off, so that the balancer and the peers send new work to other instances.
func (d *Daemon) leave() {
	if d.leaving.Swap(true) {
		return
	}
	d.ready.Store(false)
	d.node.Leave()
	d.log.Info("leaving: readiness is off")
}

// shutdown serves until the balancer stops sending, waits for the open requests, and closes everything else.
func (d *Daemon) shutdown(server *graceful.Server) {
	if !d.leaving.Load() {
		d.leave()
		sleep(context.Background(), d.settings.BalancerDelay)
		d.drain(time.Now().Add(d.settings.ShutdownLimit), relay.DrainPlanned)
	}
	d.closeServer(server)
	d.relay.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.claims.Close(ctx); err != nil {
		d.log.WithError(err).Error("claims not recorded at shutdown; requests that repeat their keys get outcome_unknown")
	}
	d.flushBurn(ctx)
	d.admission.Close()
	d.node.Close()
	d.log.Info("stopped")
}

// closeServer refuses new connections and waits until the last answers are sent.
func (d *Daemon) closeServer(server *graceful.Server) {
	end := time.Now().Add(closeTimeout)
	d.relay.StopAt(end, true)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		d.log.WithError(err).Warn("callers' connections closed before their answers were complete")
		_ = server.Close()
	}
}

// reclaim starts the handover that must end before the platform reclaims this instance.
func (d *Daemon) reclaim(by time.Time) {
	select {
	case d.reclaimed <- by:
		d.log.WithField("by", by).Warn("this instance is being reclaimed")
	default:
	}
}

func (d *Daemon) callerMux() http.Handler {
	mux := http.NewServeMux()
	d.addHealthHandlers(mux)
	mux.Handle("/", http.HandlerFunc(d.serveCaller))
	return mux
}

// serveCaller serves a caller, which is asked to open its next connection at another instance once this one leaves.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	if d.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	d.relay.ServeHTTP(w, r)
}

func (d *Daemon) peerMux() http.Handler {
	mux := http.NewServeMux()
	d.addHealthHandlers(mux)
	mux.Handle(peer.Path, d.node.Handler())
	mux.HandleFunc("GET /status", d.serveStatus)
	mux.Handle("GET /metrics", d.metrics.handler)
	return mux
}

func (d *Daemon) addHealthHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
