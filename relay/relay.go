// Package relay is the request path: it parses, admits, claims and dispatches requests, relays the answers and
// resumes them at another endpoint when one is lost.
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
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

// Config of a relay. Instance, FailureDomain and Snapshots are required; other nil fields get plain defaults.
type Config struct {
	Instance      string
	FailureDomain string
	Snapshots     func() *table.Snapshot
	Post          func(core.Event) // must not block
	Mesh          peer.Mesh        // nil: no handover and no re-attach at other instances
	Dispatch      *dispatch.Client
	Chooser       Chooser
	Admitter      Admitter
	Claimer       Claimer
	Quarantine    Quarantine
	RetryBudget   RetryBudget
	NewID         func() string // unique IDs of requests and attempts, without "." and "/"
	Now           func() time.Time
	Log           logrus.FieldLogger
	Limits        Limits
}

// Limits bound what callers can hold. Zero values mean the defaults.
type Limits struct {
	BodyTime  time.Duration // to receive a body; default 10 s
	WriteTime time.Duration // for a caller to take a part of the answer; default 10 s
	Retain    time.Duration // to keep an answer without a caller after a handover; default 60 s
	Waiting   int           // calls that wait for an endpoint; default 4096
	Retained  int           // bytes of streams held for re-attach; default 64 MiB
}

// Relay serves callers.
type Relay struct {
	cfg     Config
	mux     *http.ServeMux
	running *running
	waiting chan struct{} // one token for each call that waits for an endpoint

	mu       sync.Mutex
	sessions map[string]*session // by request ID
	calls    atomic.Int64        // plain calls in progress
	draining atomic.Bool
	retained int          // bytes held for re-attach
	relayed  atomic.Int64 // streams read from other instances
	// reclaimed ends when the instance has to give up its streams.
	reclaimed context.Context
	reclaim   context.CancelFunc
	stop      context.CancelFunc
}

// New returns a relay and starts its watch over leaving endpoints. Close ends it.
func New(cfg Config) *Relay {
	cfg = cfg.withDefaults()
	r := &Relay{
		cfg: cfg, mux: http.NewServeMux(), running: newRunning(cfg.Now),
		waiting: make(chan struct{}, cfg.Limits.Waiting), sessions: map[string]*session{},
	}
	r.mux.HandleFunc("POST /v1/chat/completions", r.serveModel)
	r.mux.HandleFunc("GET /v1/requests/{id}", r.serveAttach)
	r.mux.HandleFunc("/services/{service}/{path...}", r.servePlain)
	r.mux.HandleFunc("/", r.serveUnknown)
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.reclaimed, r.reclaim = context.WithCancel(context.Background())
	if cfg.Mesh != nil {
		cfg.Mesh.Handle(kindHandover, r.handleHandover)
		cfg.Mesh.Handle(kindAttach, r.handleAttach)
	}
	go r.watchLeaving(ctx)
	return r
}

// Close ends the watch over leaving endpoints and all streams. Drain comes before it.
func (r *Relay) Close() {
	r.stop()
	r.reclaim()
	for _, s := range r.openSessions() {
		s.cancel(errClosed)
	}
}

// NoteCrash takes over the crash of an endpoint that another instance saw, so that attempts which the dead endpoint
// breaks off here are not taken for its cause.
func (r *Relay) NoteCrash(endpoint string) { r.running.noteCrash(endpoint) }

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

// service returns a configured service. Without a configuration no service is known, and a caller who was told that
// its service does not exist would give up.
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

// refusal is an error answer with what is known of the request.
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

// logRefusal writes a line for each refusal; those that are the caller's own error only matter when one looks for them.
func (r *Relay) logRefusal(f refusal) {
	kind := problem.KindOf(f.err)
	log := r.cfg.Log.WithError(f.err).WithFields(logrus.Fields{
		"request": f.requestID, "service": f.service, "workspace": f.workspace, "kind": kind, "outcome": problem.OutcomeOf(f.err),
	})
	if problem.AnswerFor(kind).CallerError {
		log.Debug("request refused")
		return
	}
	log.Warn("request refused")
}

// NewServer returns a server for callers with the bounds on headers and idle connections.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    MaxHeaderBytes,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       60 * time.Second,
	}
}
