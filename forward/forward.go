// Package forward is the request path of routed traffic: it finds the route and the workspace of a request, admits
// it, sends it to an endpoint, repeats it where that is allowed, and relays the answer.
package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/attempt"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/placement"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/quarantine"
	"github.com/trefoillug/trefoillug/routing"
)

// Request is a caller's request, read completely.
type Request struct {
	ID          string // of this attempt of the caller
	Method      string
	Host        string
	Path        string
	URI         string // path and query as sent
	Key         string // API key; empty without one
	Header      http.Header
	Body        []byte
	Arrived     time.Time
	Deadline    time.Time // when the caller gives up; zero: unknown
	Prompt      *Prompt   // of requests to model engines, else nil
	LastEventID string    // the caller resumes a stream after this event
}

// Prompt describes a request to a model engine.
type Prompt struct {
	Input  int // prompt tokens
	Output int // largest number of output tokens
	Parts  []placement.Part
}

// Attempt is what an endpoint is told of a request beside its headers.
type Attempt struct {
	Request     *Request
	Endpoint    *fleet.Endpoint
	Workspace   string
	Priority    int           // 0 is the most urgent
	TimeLeft    time.Duration // until the caller gives up or the route's timeout
	LastEventID string
	MovedFrom   string // reference to the KV cache of the run that this attempt goes on with
}

// Wire translates between this package and the headers that callers and endpoints understand.
type Wire interface {
	// Outbound returns the headers of an attempt.
	Outbound(a *Attempt) http.Header
	// IsAnswerTo reports whether an endpoint's answer belongs to a request.
	IsAnswerTo(h http.Header, requestID string) bool
	// IsNotRun reports whether an endpoint states that it did not run a request.
	IsNotRun(status int, h http.Header) bool
	// Load returns the load that an endpoint reports with an answer.
	Load(h http.Header) (fleet.Load, bool)
}

// Quotas limits what workspaces use over all instances.
type Quotas interface {
	// Take counts cost against a workspace's quota and returns how to give it back if the request does not run. A refusal
	// is nil, with the time after which a retry may succeed.
	Take(ctx context.Context, ws *routing.Workspace, cost float64) (giveBack func(), retry time.Duration)
}

// Repeats is the retry budget that all instances share.
type Repeats interface {
	// First counts a request to a service.
	First(service string)
	// Repeat takes one more arrival of a request from the budget.
	Repeat(service string) bool
}

// Mover moves running generations between engines.
type Mover interface {
	// Move copies the KV cache of a run to another engine and stops the run. It returns a reference for
	// Attempt.MovedFrom. It fails with ErrNoRun when the engine does not run the request, or not yet. A reference that
	// comes with an error means that the run has stopped without reaching the other engine.
	Move(ctx context.Context, requestID string, from, to *fleet.Endpoint) (ref string, err error)
}

// Suspects finds requests that crash the endpoints that run them.
type Suspects interface {
	// Any reports whether there are any.
	Any() bool
	// IsRefused reports whether requests with a fingerprint may run no more.
	IsRefused(fp quarantine.Fingerprint) bool
	// Lost takes note that the connection to an endpoint broke while it ran a request that was sent at a time.
	Lost(e *fleet.Endpoint, fp quarantine.Fingerprint, sent time.Time)
	// Answered takes note that an endpoint has answered a request.
	Answered(fp quarantine.Fingerprint)
}

// Versions splits the traffic of services whose version is being moved.
type Versions interface {
	// Version returns the new version of a service that is being moved, and whether a request goes to it. moving is
	// false for other services, whose endpoints take requests whatever their version.
	Version(service, requestID string) (version string, isTarget, moving bool)
	// Observe takes the end of an attempt as evidence.
	Observe(o Observation)
}

// Observation is the end of an attempt.
type Observation struct {
	Service, Version, Route string
	Failed                  bool
	Excluded                bool          // says nothing of the version
	First                   time.Duration // to the answer or the first event; 0: not measured
	Load                    int           // own requests at the endpoint when it was sent
}

// Config of a Forwarder. All fields are required but Mover, Suspects, Versions, Began and Worked.
type Config struct {
	Zone    string
	Table   func() *routing.Table // nil before the first configuration
	Fleet   *fleet.Table
	Wire    Wire
	Quotas  Quotas
	Repeats Repeats
	Mover   Mover
	// Suspects may be nil: no request is ever refused for crashing endpoints.
	Suspects Suspects
	// Versions may be nil: no service is ever moved.
	Versions Versions
	Began    func(workspace string, at time.Time) // a request began to run
	// Worked takes the time of an endpoint that a request took; an endpoint gives one second a second.
	Worked  func(service string, work time.Duration)
	Log     logrus.FieldLogger
	Metrics *Metrics
}

// Forwarder serves routed requests. It is safe for concurrent use.
type Forwarder struct {
	cfg    Config
	caches caches
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	if cfg.Began == nil {
		cfg.Began = func(string, time.Time) {}
	}
	if cfg.Worked == nil {
		cfg.Worked = func(string, time.Duration) {}
	}
	return &Forwarder{cfg: cfg, caches: caches{byEndpoint: map[*fleet.Endpoint]*placement.Cache{}}}
}

const (
	// refusedRetry is the mean Retry-After of a request for which no endpoint had room: about the time in which
	// a batch of generations ends.
	refusedRetry = 250 * time.Millisecond
	// unreadyRetry is the Retry-After while no configuration is known: a little more than a read of the store.
	unreadyRetry = 300 * time.Millisecond
	// holdShare is the part of the objective for which a request may wait for an endpoint before it is refused.
	holdShare = 8
	// defaultHold is the wait on a route without an objective.
	defaultHold = 100 * time.Millisecond
)

// run is a request on its way.
type run struct {
	f         *Forwarder
	w         ResponseWriter
	req       *Request
	route     *routing.Route
	service   *routing.Service
	workspace *routing.Workspace // nil on public routes
	log       logrus.FieldLogger

	tried     map[*fleet.Endpoint]bool
	failedNew bool          // the new version of a service that is being moved failed the request
	first     time.Duration // of the newest attempt: to the answer or the first event
	sent      time.Time     // the newest attempt
	load      int           // own requests at its endpoint when it was sent
	arrivals  int           // sends that reached an endpoint
	runs      int           // endpoints that may have run the request
	mayRun    bool          // an endpoint may have run it, or may still
	began     bool          // counted as begun
	stream    streamState
	moved     *moved // where the run goes on; nil unless it was moved
}

// Serve answers a request on w. An error means that an answer that had begun was broken off; the caller's connection
// must then be closed.
func (f *Forwarder) Serve(ctx context.Context, w ResponseWriter, req *Request) error {
	r := &run{f: f, w: w, req: req, log: f.cfg.Log.WithField("request", req.ID), tried: map[*fleet.Endpoint]bool{}}
	if refusal := r.identify(); refusal != nil {
		return r.refuse(refusal)
	}
	if r.isQuarantined() {
		return r.refuse(&Refusal{Err: problem.New(problem.Quarantined, "the request has crashed the endpoints that ran it")})
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline())
	defer cancel()
	giveBack := func() {}
	if r.workspace != nil {
		var retry time.Duration
		if giveBack, retry = f.cfg.Quotas.Take(ctx, r.workspace, r.cost()); giveBack == nil {
			return r.refuse(&Refusal{Err: problem.New(problem.LimitExceeded, "workspace %s is over its quota", r.workspace.Name), RetryAfter: retry})
		}
	}
	f.cfg.Repeats.First(r.service.Name)
	err := attempt.Run(ctx, r)
	if !r.mayRun {
		giveBack()
	}
	return err
}

// identify finds route, service and workspace.
func (r *run) identify() *Refusal {
	table := r.f.cfg.Table()
	if table == nil {
		return &Refusal{Err: problem.New(problem.NotReady, "no configuration is known yet"), RetryAfter: unreadyRetry}
	}
	r.route = table.Match(r.req.Host, r.req.Path)
	if r.route == nil {
		return &Refusal{Err: problem.New(problem.UnknownRoute, "no route for %s%s", r.req.Host, r.req.Path)}
	}
	if len(table.Workspaces) > 0 && !r.route.Public {
		if r.workspace = table.Workspace(r.req.Key); r.workspace == nil {
			return &Refusal{Err: problem.New(problem.Unauthenticated, "the API key is missing or unknown")}
		}
	}
	name := r.route.Service(r.req.ID)
	if r.service = table.Services[name]; r.service == nil {
		return &Refusal{Err: problem.New(problem.NotReady, "service %q of route %s is not described", name, r.route.Name), RetryAfter: unreadyRetry}
	}
	return nil
}

// noDeadline bounds requests of callers that state none, on routes without a timeout.
const noDeadline = time.Minute

func (r *run) deadline() time.Time {
	end := r.req.Deadline
	if end.IsZero() {
		end = r.req.Arrived.Add(noDeadline)
	}
	if t := r.route.Timeout; t > 0 && r.req.Arrived.Add(t).Before(end) {
		end = r.req.Arrived.Add(t)
	}
	return end
}

// cost is what the request counts against the quota of its workspace.
func (r *run) cost() float64 {
	if r.workspace == nil || !r.workspace.Quota.Tokens {
		return 1
	}
	if r.req.Prompt == nil {
		return r.workspace.Quota.PlainTokens
	}
	return float64(r.req.Prompt.Input + r.req.Prompt.Output)
}

func (r *run) priority() int {
	if r.workspace != nil && r.workspace.Priority != nil {
		return *r.workspace.Priority
	}
	return r.route.Priority
}

// Choose implements attempt.Path.
func (r *run) Choose(ctx context.Context) (*fleet.Endpoint, error) {
	endpoint, refusal := r.choose(ctx)
	if refusal != nil {
		return nil, refusal
	}
	return endpoint, nil
}

// Try implements attempt.Path.
func (r *run) Try(ctx context.Context, e *fleet.Endpoint) *outcome {
	out := r.attempt(ctx, e)
	r.note(e, &out)
	return &out
}

// IsAnswered implements attempt.Path.
func (r *run) IsAnswered(out *outcome) bool { return out.delivered }

var (
	errTimeUp    = errors.New("the caller has left or its time is up")
	errMayNotRun = errors.New("the request may have run and may not run again")
	errTooMany   = errors.New("too many endpoints have rejected the request or were not reached")
	errBudget    = errors.New("the retry budget is used up")
)

// Permit implements attempt.Path.
func (r *run) Permit(ctx context.Context, _ *fleet.Endpoint, out *outcome) error {
	switch {
	case ctx.Err() != nil:
		return errTimeUp
	case r.moved != nil:
		return nil // the run goes on elsewhere; it is no repeat of the work
	case out.end == ended:
		return errTimeUp
	case out.end == unreachable && len(r.tried) > maxUnreachable, out.end == rejected && r.arrivals > maxRejections:
		return errTooMany
	case r.mayRun && (!r.route.MayRepeat() || r.runs >= r.route.MaxAttempts):
		return errMayNotRun
	}
	return nil
}

// TakeRepeat implements attempt.Path.
func (r *run) TakeRepeat(_ context.Context, _ *fleet.Endpoint, out *outcome) error {
	if r.moved == nil && out.arrived && !r.f.cfg.Repeats.Repeat(r.service.Name) {
		r.log.WithField("service", r.service.Name).Info("no repeat: the retry budget is used up")
		return errBudget
	}
	return nil
}

// GiveUp implements attempt.Path.
func (r *run) GiveUp(ctx context.Context, last **outcome, cause error) error {
	var refusal *Refusal
	switch {
	case !errors.As(cause, &refusal):
		return r.finish(ctx, *last)
	case r.mayRun || r.stream.started:
		return r.finish(ctx, &outcome{err: refusal.Err})
	}
	return r.refuse(refusal)
}

const (
	// maxUnreachable bounds the endpoints to which a connection is tried for one request.
	maxUnreachable = 4
	// maxRejections bounds the endpoints that may reject one request; each rejection counts against the retry budget.
	maxRejections = 2
)

// finish answers a request that gets no further attempt.
func (r *run) finish(ctx context.Context, out *outcome) error {
	switch {
	case r.stream.started:
		r.log.WithError(out.err).WithFields(logrus.Fields{"route": r.route.Name, "last_event": r.stream.lastID, "end": out.end.String()}).
			Info("stream broken off")
		r.f.cfg.Metrics.broken()
		return problem.Wrap(problem.StreamBroken, out.err)
	case out.answer != nil && ctx.Err() == nil:
		return r.deliver(out.answer)
	case context.Cause(ctx) == context.DeadlineExceeded && r.mayRun:
		return r.refuse(&Refusal{Err: problem.New(problem.TimedOut, "no answer in time: %v", out.err)})
	case r.mayRun:
		return r.refuse(&Refusal{Err: problem.New(problem.EndpointFailed, "%v", out.err)})
	default:
		return r.refuse(&Refusal{Err: problem.New(problem.Overloaded, "no endpoint had room: %v", out.err), RetryAfter: spread(refusedRetry)})
	}
}

// spread varies a delay evenly by half, so that refused callers don't come back together.
func spread(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
