// Package relay is the request path of an instance: it parses, admits, claims and dispatches requests, relays the
// answers to callers and resumes an answer at another endpoint when its endpoint is lost.
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/intake"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

// Config configures a relay. Instance, FailureDomain and Snapshots are required. The other fields are optional: zero
// values mean the defaults of this package.
type Config struct {
	Instance      string
	FailureDomain string
	Snapshots     func() *table.Snapshot
	Post          func(core.Event) // must not block
	Mesh          peer.Mesh        // nil disables handover and re-attach at other instances
	Dispatch      *dispatch.Client
	Chooser       Chooser
	Admitter      Admitter
	Claimer       Claimer
	Quarantine    Quarantine
	RetryBudget   RetryBudget
	NewID         func() string // returns unique IDs for requests and attempts, without "." and "/"
	Now           func() time.Time
	Log           logrus.FieldLogger
	Limits        Limits
	Memory        *intake.Memory // for bodies and held answers; nil: no bound
}

// Limits bounds the time and the resources that callers can use. Zero values mean the defaults.
type Limits struct {
	BodyTimeout      time.Duration // timeout for receiving a request body; default 10 s
	WriteTimeout     time.Duration // timeout of one write to a caller; default 10 s
	RetentionTime    time.Duration // how long an answer is retained for re-attach after its deadline; default 60 s
	MaxWaiting       int           // maximum number of calls that wait for an endpoint; default 4096
	MaxRetainedBytes int           // maximum bytes of streams retained for re-attach; default 64 MiB
}

// Relay serves the requests of callers. It implements http.Handler.
type Relay struct {
	cfg     Config
	mux     *http.ServeMux
	tracker *attemptTracker
	waiting chan struct{} // semaphore with one entry for each call that waits for an endpoint

	mu            sync.Mutex
	sessions      map[string]*session // by request ID
	plainCalls    atomic.Int64        // plain calls in progress
	draining      atomic.Bool
	stopping      atomic.Pointer[stopping] // nil: not stopping
	retainedBytes int                      // bytes counted for sessions retained for re-attach
	remoteStreams atomic.Int64             // callers that read an answer held by another instance
	// remoteCtx is canceled when callers that read an answer held by another instance must re-attach elsewhere.
	remoteCtx    context.Context
	cancelRemote context.CancelFunc
	stop         context.CancelFunc
}

// New returns a relay and starts a goroutine that moves streams off leaving endpoints. Close stops it.
func New(cfg Config) *Relay {
	cfg = cfg.withDefaults()
	r := &Relay{
		cfg: cfg, mux: http.NewServeMux(), tracker: newAttemptTracker(cfg.Now),
		waiting: make(chan struct{}, cfg.Limits.MaxWaiting), sessions: map[string]*session{},
	}
	r.mux.HandleFunc("POST /v1/chat/completions", r.serveModel)
	r.mux.HandleFunc("GET /v1/requests/{id}", r.serveAttach)
	r.mux.HandleFunc("/services/{service}/{path...}", r.servePlain)
	r.mux.HandleFunc("/", r.serveUnknown)
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.remoteCtx, r.cancelRemote = context.WithCancel(context.Background())
	if cfg.Mesh != nil {
		cfg.Mesh.Handle(kindHandover, r.handleHandover)
		cfg.Mesh.Handle(kindAttach, r.handleAttach)
	}
	go r.watchLeaving(ctx)
	return r
}

// Close cancels all streams and stops the goroutine that New started. Call Drain first to let streams complete.
func (r *Relay) Close() {
	r.stop()
	r.cancelRemote()
	for _, s := range r.openSessions() {
		s.cancel(errClosed)
	}
}

// RecordCrash records an endpoint crash that another instance reported. Attempts that break here because the endpoint
// is down are then not counted as the cause of the crash.
func (r *Relay) RecordCrash(endpoint string) { r.tracker.recordRemoteCrash(endpoint) }

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if headerBytes(req) > MaxHeaderBytes {
		r.refuse(w, refusal{err: problem.New(problem.RequestTooLarge, "headers exceed %d bytes", MaxHeaderBytes)})
		return
	}
	r.mux.ServeHTTP(w, req)
}

func (r *Relay) serveUnknown(w http.ResponseWriter, req *http.Request) {
	r.refuse(w, refusal{err: problem.New(problem.UnknownRoute, "no route for %s %s", req.Method, req.URL.Path)})
}

// service returns a configured service. Before the first configuration is in force it returns a NotReady error:
// callers would not retry after UnknownService.
func (r *Relay) service(name string) (*table.Service, error) {
	snapshot := r.cfg.Snapshots()
	if svc, ok := snapshot.Service(name); ok {
		return svc, nil
	}
	if snapshot == nil || snapshot.Revision == 0 {
		return nil, problem.New(problem.NotReady, "no configuration is in effect at this instance yet")
	}
	return nil, problem.New(problem.UnknownService, "no service %q", name)
}

// refusal is an error answer with the request fields known so far.
type refusal struct {
	err                error
	requestID          string
	service, workspace string
}

func (r *Relay) refuse(w http.ResponseWriter, f refusal) {
	if f.requestID != "" {
		w.Header().Set(headerRequestID, f.requestID)
	}
	problem.Write(w, f.err, f.requestID)
	r.logRefusal(f)
	r.cfg.Post(core.Refused{Service: f.service, Workspace: f.workspace, Kind: problem.KindOf(f.err)})
}

// logRefusal logs a refusal, at debug level if it is the caller's error.
func (r *Relay) logRefusal(f refusal) {
	kind := problem.KindOf(f.err)
	log := r.cfg.Log.WithError(f.err).WithFields(logrus.Fields{
		"request": f.requestID, "service": f.service, "workspace": f.workspace, "kind": kind,
		"outcome": problem.OutcomeOf(f.err),
	})
	if problem.AnswerFor(kind).CallerError || intake.IsShortage(f.err) { // package intake logs shortages, at a limited rate
		log.Debug("request refused")
		return
	}
	log.Warn("request refused")
}

// NewServer returns an HTTP server for callers that limits the size and time of headers and closes idle connections.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    MaxHeaderBytes,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       60 * time.Second,
	}
}
