// Package forward implements the request path of routed traffic: it finds the route and the workspace of a request,
// admits it, sends it to an endpoint, repeats it where that is allowed, and relays the answer.
package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/attempt"
	"github.com/trefoillug/trefoillug/continuation"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/loglimit"
	"github.com/trefoillug/trefoillug/placement"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/quarantine"
	"github.com/trefoillug/trefoillug/routing"
)

// Request is a caller's request, read completely.
type Request struct {
	ID          string // unique to each attempt of the caller
	Method      string
	Host        string
	Path        string
	URI         string // path and query as sent
	Key         string // API key; empty without one
	Header      http.Header
	Body        []byte
	Arrived     time.Time
	Deadline    time.Time // when the caller gives up; zero: unknown
	Prompt      *Prompt   // nil unless the request is for a model engine
	LastEventID string    // the caller resumes a stream after this event; empty: from the start
	Proxied     *Proxied  // nil unless another instance sends it through this one
}

// Prompt describes a request to a model engine.
type Prompt struct {
	Input  int // prompt tokens
	Output int // maximum number of output tokens
	Blocks []placement.Block
}

// Attempt holds what is sent to an endpoint with a request, in addition to the caller's headers.
type Attempt struct {
	Request     *Request
	Endpoint    *fleet.Endpoint
	Workspace   string
	Priority    int           // 0 is the most urgent
	TimeLeft    time.Duration // until the caller's deadline or the route's timeout
	LastEventID string
	MovedFrom   string   // reference to the KV cache of the moved run that this attempt continues
	Proxied     *Proxied // nil unless Endpoint is another instance, to which Workspace and Priority are not sent
}

// Wire translates between this package and the headers that callers and endpoints understand.
type Wire interface {
	// Outbound returns the headers of an attempt.
	Outbound(a *Attempt) http.Header
	// IsAnswerTo reports whether an endpoint's answer belongs to a request. reused means that the connection has carried
	// another request, of whose answer this may be a late copy.
	IsAnswerTo(h http.Header, requestID string, reused bool) bool
	// IsNotRun reports whether an endpoint states that it did not run a request.
	IsNotRun(status int, h http.Header) bool
	// Load returns the load that an endpoint reports with an answer.
	Load(h http.Header) (fleet.Load, bool)
	// Signals returns what an endpoint says of itself with an answer.
	Signals(status int, h http.Header) fleet.Signals
	// Refusal returns the refusal of another instance that did not run a request, and nil if it states none.
	Refusal(h http.Header) *Refusal
	// RepeatedHeader returns the headers of a caller without those that differ between repeats of the same request.
	RepeatedHeader(h http.Header) http.Header
}

// Quotas limits what workspaces may use over all instances.
type Quotas interface {
	// Acquire acquires cost from a workspace's quota. It returns a function that releases the cost if the request does
	// not run, or nil and the time after which a retry may succeed if the quota is used up.
	Acquire(ctx context.Context, ws *routing.Workspace, cost float64) (release func(), retry time.Duration)
}

// RetryBudget is the retry budget that all instances share.
type RetryBudget interface {
	// CountRequest counts a new request to a service.
	CountRequest(service string)
	// AcquireRetry acquires another attempt of a request from the budget, and reports whether the budget had one left.
	AcquireRetry(service string) bool
}

// Mover moves running generations between engines.
type Mover interface {
	// Move copies the KV cache of a run to another engine and stops the run. It returns a reference for
	// Attempt.MovedFrom. It fails with ErrNotRunning when the engine does not run the request, or not yet. A reference
	// that comes with an error means that the run has stopped without reaching the other engine. Without a reference, only
	// ErrNotRunning and an upstream.Error of a call that was not sent show that the call has not stopped the run.
	Move(ctx context.Context, requestID string, from, to *fleet.Endpoint) (ref string, err error)
}

// Versions splits the traffic of services whose version is being moved.
type Versions interface {
	// Version returns the new version of a service that is being moved, and whether a request goes to it. moving is
	// false for other services, whose endpoints take requests whatever their version.
	Version(service, requestID string) (version string, isTarget, moving bool)
	// Observe records the end of an attempt as evidence for its version.
	Observe(o Observation)
}

// Observation describes the end of an attempt.
type Observation struct {
	Service, Version, Route string
	Failed                  bool
	Unsuccessful            bool          // the answer is complete and no success, such as 404
	Excluded                bool          // the attempt is no evidence for the version
	TimeToFirst             time.Duration // time to the answer or the first event; 0: not measured
	Load                    int           // this instance's other requests at the endpoint when the attempt was sent
}

// Config configures a Forwarder. All fields are required except Name, Mover, Suspects, Versions, Cold, Proxies, Regions,
// Stop, OnStarted, OnWork and AnswerMemory.
type Config struct {
	Name        string // of this instance, which Proxies need
	Zone        string
	Table       func() *routing.Table // nil before the first configuration
	Fleet       *fleet.Table
	Wire        Wire
	Quotas      Quotas
	RetryBudget RetryBudget
	Mover       Mover
	// Suspects may be nil: no request is ever refused for crashing endpoints.
	Suspects Suspects
	// Versions may be nil: no service is ever moved.
	Versions Versions
	Regions  map[string]string // of the zones
	// Cold may be nil: no endpoint is ever cold.
	Cold Cold
	// Proxies may be nil: requests are sent to endpoints only.
	Proxies Proxies
	// Stop returns the planned stop that has begun, and nil if the instance is not stopping. It may be nil.
	Stop      func() *Stop
	OnStarted func(workspace string, at time.Time) // called once for a request that may have run
	// OnWork is called with the endpoint time that a request used; an endpoint provides one second of it per second.
	OnWork func(service string, work time.Duration)
	// AnswerMemory bounds the memory of answers that are held; nil: no bound.
	AnswerMemory AnswerMemory
	Log          logrus.FieldLogger
	Metrics      *Metrics
}

// Forwarder serves routed requests. It is safe for concurrent use.
type Forwarder struct {
	cfg        Config
	caches     caches
	speeds     sync.Map // of *speed.Estimator by service
	foreign    sync.Map // of *fleet.ForeignLoad by service
	durations  routeDurations
	admissions admissions
	proxyLines loglimit.Limit
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	if cfg.Stop == nil {
		cfg.Stop = func() *Stop { return nil }
	}
	if cfg.OnStarted == nil {
		cfg.OnStarted = func(string, time.Time) {}
	}
	if cfg.OnWork == nil {
		cfg.OnWork = func(string, time.Duration) {}
	}
	return &Forwarder{cfg: cfg, caches: caches{byEndpoint: map[*fleet.Endpoint]*placement.Cache{}}}
}

const (
	// refusedRetryAfter is the mean Retry-After of a request for which no endpoint had capacity: about the time in which
	// a batch of generations ends.
	refusedRetryAfter = 250 * time.Millisecond
	// unreadyRetryAfter is the Retry-After while no configuration is loaded: slightly longer than a read of the store.
	unreadyRetryAfter = 300 * time.Millisecond
	// endpointWaitDivisor divides the objective of a route to get the time for which a request may wait for an endpoint
	// before it is refused.
	endpointWaitDivisor = 8
	// startedWaitGaps is the time, in target gaps, for which a stream that the caller has a part of may wait for an
	// endpoint or for the retry budget. Callers give a stream up after eight gaps.
	startedWaitGaps = 4
	// budgetPollInterval is the time between checks of an exhausted retry budget.
	budgetPollInterval = 50 * time.Millisecond
	// defaultEndpointWait is the wait on a route without an objective.
	defaultEndpointWait = 100 * time.Millisecond
)

// exchange is the state of one request and its answer while it is served.
type exchange struct {
	f         *Forwarder
	w         ResponseWriter
	req       *Request
	route     *routing.Route
	service   *routing.Service
	version   uint64             // of the configuration
	workspace *routing.Workspace // nil on public routes
	log       logrus.FieldLogger

	tried        map[*fleet.Endpoint]bool
	lastEnd      attemptEnd    // of the latest attempt
	targetFailed bool          // the new version of a service that is being moved failed the request
	timeToFirst  time.Duration // of the latest attempt, until the answer or the first event
	sentAt       time.Time     // start of the latest attempt
	measured     float64       // prompt tokens that show the speed of the engine of the latest attempt; 0: none do
	begun        bool          // an endpoint has generated at least one event or an answer
	crashed      bool          // an attempt ended as it does when its endpoint crashes
	opens        bool          // the latest attempt was to open a connection
	endTrial     func()        // of the latest attempt of a suspect; nil: there is none
	isProbe      bool          // lets one request of a refused family through
	identifyOnce sync.Once
	id           quarantine.Identity // set by identifyOnce
	paceSample   paceSample          // of the latest attempt
	workCounted  bool                // an engine has begun to work on the request, which OnWork was told
	load         int                 // this instance's other requests at the endpoint when the latest attempt was sent
	rejections   int                 // attempts that an endpoint rejected
	arrivals     int                 // attempts that may have reached an endpoint
	runs         int                 // attempts that may have run the request; moves are not counted
	mayHaveRun   bool                // an endpoint may have run the request, or may still run it
	startCounted bool                // Config.OnStarted was called
	stream       streamState
	admission    fleet.Admission          // of the next or latest attempt
	pendingMove  *moveResult              // where the next attempt continues the run; nil unless it was moved
	unconfirmed  map[*fleet.Endpoint]bool // endpoints that may carry out a call to move the run late, or have done so
	runSearches  int                      // for a run that may have stopped
	offers       offers                   // of a stalled request to other endpoints
	permits      coldPermits
	place        *place         // in the window of the service; nil: none
	accepted     *acceptedOffer // the next attempt; nil unless an endpoint has accepted a stalled request
	answerMemory AnswerMemory   // nil: no bound
	proxy        proxying
}

// Serve answers a request on w. It returns an error if the answer was broken off after it had begun; the caller's
// connection must then be closed.
func (f *Forwarder) Serve(ctx context.Context, w ResponseWriter, req *Request) error {
	r := &exchange{f: f, w: w, req: req, log: f.cfg.Log.WithField("request", req.ID), tried: map[*fleet.Endpoint]bool{}, answerMemory: f.cfg.AnswerMemory}
	if refusal := r.checkProxied(); refusal != nil {
		return r.refuse(refusal)
	}
	if refusal := r.identify(); refusal != nil {
		return r.refuse(refusal)
	}
	if refusal := r.checkLeaving(time.Now()); refusal != nil {
		return r.refuse(refusal)
	}
	if err := r.checkQuarantine(); err != nil {
		return r.refuse(&Refusal{Err: err, RetryAfter: problem.RetryAfter(err)})
	}
	if r.route.Resumable {
		r.stream.position = continuation.After(req.LastEventID)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline())
	defer cancel()
	releaseQuota := func() {}
	if r.workspace != nil && req.Proxied == nil { // the instance that has it from the caller has acquired the quota
		var retry time.Duration
		if releaseQuota, retry = f.cfg.Quotas.Acquire(ctx, r.workspace, r.cost()); releaseQuota == nil {
			return r.refuse(&Refusal{Err: problem.New(problem.LimitExceeded, "workspace %s is over its quota", r.workspace.Name), RetryAfter: retry})
		}
	}
	defer r.leavePlace(nil) // after a panic, from which the server recovers
	err := attempt.Run(ctx, r)
	if !r.mayHaveRun {
		releaseQuota()
	}
	return err
}

// identify finds the route, the service and the workspace of the request.
func (r *exchange) identify() *Refusal {
	table := r.f.cfg.Table()
	if table == nil {
		return &Refusal{Err: problem.New(problem.NotReady, "no configuration is known yet"), RetryAfter: unreadyRetryAfter}
	}
	r.version, r.route = table.Version, table.Match(r.req.Host, r.req.Path)
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
		return &Refusal{Err: problem.New(problem.NotReady, "service %q of route %s is not described", name, r.route.Name), RetryAfter: unreadyRetryAfter}
	}
	return nil
}

// defaultTimeout bounds requests whose caller states no deadline. A shorter timeout of the route takes precedence.
const defaultTimeout = time.Minute

func (r *exchange) deadline() time.Time {
	end := r.req.Deadline
	if end.IsZero() {
		end = r.req.Arrived.Add(defaultTimeout)
	}
	if t := r.route.Timeout; t > 0 && r.req.Arrived.Add(t).Before(end) {
		end = r.req.Arrived.Add(t)
	}
	return end
}

// cost returns what the request uses of its workspace's quota, in tokens or requests.
func (r *exchange) cost() float64 {
	if r.workspace == nil || !r.workspace.Quota.Tokens {
		return 1
	}
	if r.req.Prompt == nil {
		return r.workspace.Quota.PlainTokens
	}
	return float64(r.req.Prompt.Input + r.req.Prompt.Output)
}

func (r *exchange) priority() int {
	if r.workspace != nil && r.workspace.Priority != nil {
		return *r.workspace.Priority
	}
	return r.route.Priority
}

// Choose implements attempt.Steps.
func (r *exchange) Choose(ctx context.Context) (*fleet.Endpoint, error) {
	refusal := r.beginTrial(ctx)
	var endpoint *fleet.Endpoint
	if refusal == nil {
		endpoint, refusal = r.choose(ctx)
	}
	if refusal != nil {
		r.finishTrial()
		r.leavePlace(nil)
		return nil, refusal
	}
	return endpoint, nil
}

// Try implements attempt.Steps.
func (r *exchange) Try(ctx context.Context, e *fleet.Endpoint) *outcome {
	defer r.finishTrial()
	r.offers.begin()
	out := r.attempt(ctx, e)
	r.lastEnd = out.end
	for _, o := range r.offers.end(!out.delivered && out.end != ended && r.pendingMove == nil) {
		r.recordOffer(o)
	}
	if out.delivered {
		r.recordDuration()
	}
	r.recordAttempt(e, &out)
	r.leavePlace(&out)
	return &out
}

// IsAnswered implements attempt.Steps.
func (r *exchange) IsAnswered(out *outcome) bool { return out.delivered }

// CheckRetry implements attempt.Steps.
func (r *exchange) CheckRetry(ctx context.Context, _ *fleet.Endpoint, out *outcome) error {
	switch {
	case ctx.Err() != nil:
		return errTimeUp
	case !r.stream.canContinue():
		return errPartial
	case r.pendingMove != nil:
		return nil // a moved run continues, which is not a repeat
	case out.end == ended:
		return errTimeUp
	case out.partial:
		return errPartial
	case r.stream.started, r.offers.isAccepted():
		// The caller has a part of the answer, which is worth a wait for an endpoint, or another endpoint has answered.
	case out.refusal != nil:
		return out.refusal
	case out.end == unreachable && len(r.tried) > maxUnreachable, out.end == rejected && r.rejections > maxRejections:
		return errTooManyFailures
	}
	switch {
	case r.mayHaveRun && (!r.route.MayRepeat() || r.runs >= r.maxRuns()):
		return errMayHaveRun
	}
	if err := r.checkQuarantine(); err != nil {
		return err
	}
	if r.stream.started || r.offers.isAccepted() || r.hasProxy(time.Now()) {
		return nil
	}
	if err := r.checkPaused(); err != nil {
		return err
	}
	return r.checkRoom()
}

// AcquireRetry implements attempt.Steps.
func (r *exchange) AcquireRetry(ctx context.Context, e *fleet.Endpoint, out *outcome) error {
	if r.offers.isAccepted() || e.IsInstance() && out.end == rejected { // no endpoint has got it from that instance
		return nil
	}
	isMove := r.pendingMove != nil && r.pendingMove.rejections == 0 // which is not a repeat
	if !isMove && out.reached && !r.acquireRetry(ctx) {
		r.log.WithField("service", r.service.Name).Info("no repeat: the retry budget is used up")
		return errBudget
	}
	return nil
}

// acquireRetry acquires another attempt from the retry budget. While the caller has a part of a stream, it waits for
// one.
func (r *exchange) acquireRetry(ctx context.Context) bool {
	end := time.Now()
	if r.stream.started {
		end = end.Add(r.endpointWait())
	}
	for !r.f.cfg.RetryBudget.AcquireRetry(r.service.Name) {
		if ctx.Err() != nil || !time.Now().Before(end) {
			return false
		}
		pause(ctx, budgetPollInterval)
	}
	return true
}

// GiveUp implements attempt.Steps.
func (r *exchange) GiveUp(ctx context.Context, last **outcome, cause error) error {
	for _, o := range r.offers.end(false) {
		r.recordOffer(o)
	}
	r.recordUnserved()
	var refusal *Refusal
	switch {
	case !errors.As(cause, &refusal):
		if problem.KindOf(cause) == problem.Quarantined || r.mayHaveRun || r.stream.started || ctx.Err() != nil || !errors.As(r.checkPaused(), &refusal) {
			return r.finish(ctx, *last, cause)
		}
	case (r.mayHaveRun || r.stream.started) && *last != nil && (*last).answer != nil:
		return r.finish(ctx, *last, errNoEndpoint)
	case r.mayHaveRun || r.stream.started:
		return r.finish(ctx, &outcome{err: refusal.Err}, errNoEndpoint)
	}
	return r.refuse(refusal)
}

const (
	// maxUnreachable bounds the endpoints to which a connection is tried for one request.
	maxUnreachable = 4
	// maxRejections bounds the endpoints that may reject one request; each rejection counts against the retry budget.
	maxRejections = 2
)

// finish answers a request that gets no further attempt. cause says why.
func (r *exchange) finish(ctx context.Context, out *outcome, cause error) error {
	switch {
	case r.stream.started:
		r.log.WithError(out.err).WithFields(logrus.Fields{
			"route": r.route.Name, "last_event": r.stream.lastID, "end": out.end.String(), "no_retry": cause.Error(),
			"stalled": errors.Is(out.err, progress.ErrStalled), "runs": r.runs, "ms": time.Since(r.req.Arrived).Milliseconds(),
		}).Info("stream broken off")
		r.f.cfg.Metrics.countBrokenStream(causeLabel(cause))
		return problem.Wrap(problem.StreamBroken, out.err)
	case out.answer != nil && ctx.Err() == nil:
		return r.deliver(out.answer)
	case context.Cause(ctx) == context.DeadlineExceeded && r.mayHaveRun:
		return r.refuse(&Refusal{Err: problem.New(problem.TimedOut, "no answer in time: %v", out.err)})
	case problem.KindOf(cause) == problem.Quarantined && !r.mayHaveRun:
		return r.refuse(&Refusal{Err: cause, RetryAfter: problem.RetryAfter(cause)})
	case problem.KindOf(cause) == problem.Quarantined:
		return r.refuse(&Refusal{Err: problem.New(problem.EndpointFailed, "%v; %v", out.err, cause), RetryAfter: problem.RetryAfter(cause)})
	case r.mayHaveRun:
		return r.refuse(&Refusal{Err: problem.New(problem.EndpointFailed, "%v", out.err)})
	default:
		return r.refuse(&Refusal{Err: problem.New(problem.Overloaded, "no endpoint had room: %v", out.err), RetryAfter: r.returnAfter()})
	}
}

// jitter returns a random delay within half of d around d, so that refused callers don't retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
