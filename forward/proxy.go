package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/routing"
	"github.com/trefoillug/trefoillug/upstream"
)

// Proxies finds other instances through which this one sends its callers' requests while it reaches no endpoint.
type Proxies interface {
	// IsIsolated reports whether this instance reaches no endpoint.
	IsIsolated() bool
	// Next returns an instance that reaches endpoints, and nil if there is none but those for which excluded returns
	// true. Each lifetime of an instance has one fleet.Endpoint.
	Next(requestID string, excluded func(*fleet.Endpoint) bool) *fleet.Endpoint
}

// Proxied describes a request that an instance sends through another one.
type Proxied struct {
	From      string // the instance that has it from the caller
	MaxRuns   int    // attempts that may run the request
	Version   uint64 // of the configuration by which From has found the route
	IsCounted bool   // RetryBudget.CountRequest was called for the request
	IsStarted bool   // Config.OnStarted was called for the request
}

const (
	// minUnreached is the number of endpoints that a request has not reached after which it is sent through another
	// instance, although this one is not known to be isolated. One alone may have crashed.
	minUnreached = 2
	// isolatedRetryAfter is the mean time for which an instance that reaches no endpoint itself wants no requests of
	// others: about the time between two reports to the peers, which tell them.
	isolatedRetryAfter = 500 * time.Millisecond
)

// proxying is the state of a request that may be sent through other instances.
type proxying struct {
	isCounted bool // RetryBudget.CountRequest was called for the request
	unreached int  // attempts at endpoints to which no connection could be opened
	attempts  int  // at other instances
	runs      int  // attempts at endpoints that the current attempt stands for
	isCurrent bool // the current attempt is at another instance
}

// checkProxied refuses a request of another instance that this one should not run.
func (r *exchange) checkProxied() *Refusal {
	p := r.req.Proxied
	switch {
	case p == nil:
		return nil
	case r.f.cfg.Proxies != nil && r.f.cfg.Proxies.IsIsolated():
		return &Refusal{Err: problem.New(problem.NotReady, "the instance reaches no endpoint itself"), RetryAfter: jitter(isolatedRetryAfter)}
	}
	if table := r.f.cfg.Table(); table != nil && table.Version < p.Version {
		return &Refusal{Err: problem.New(problem.NotReady, "the configuration is older than that of instance %s", p.From), RetryAfter: unreadyRetryAfter}
	}
	r.proxy.isCounted, r.startCounted = p.IsCounted, p.IsStarted
	return nil
}

// maxRuns returns how many attempts may run the request.
func (r *exchange) maxRuns() int {
	if p := r.req.Proxied; p != nil {
		return min(r.route.MaxAttempts, p.MaxRuns)
	}
	return r.route.MaxAttempts
}

// countRequest counts the request for the retry budget. A request that is sent through another instance is counted there.
func (r *exchange) countRequest() {
	if !r.proxy.isCounted {
		r.proxy.isCounted = true
		r.f.cfg.RetryBudget.CountRequest(r.service.Name)
	}
}

// mayProxy reports whether the request is to be sent through another instance.
func (r *exchange) mayProxy() bool {
	p := r.f.cfg.Proxies
	return p != nil && r.req.Proxied == nil && (p.IsIsolated() || r.proxy.unreached >= minUnreached && r.proxy.attempts == 0)
}

// hasProxy reports whether the request is to be sent through another instance, and there is one.
func (r *exchange) hasProxy(now time.Time) bool {
	return r.mayProxy() && r.nextProxy(now, nil, nil) != nil
}

// acquireProxy acquires an instance through which the request is sent; nil: it goes to an endpoint. current is the one that
// has the request, which may be nil.
func (r *exchange) acquireProxy(now time.Time, current *fleet.Endpoint) (*fleet.Endpoint, fleet.Admission) {
	if !r.mayProxy() {
		return nil, fleet.Admission{}
	}
	var full []*fleet.Endpoint
	for {
		e := r.nextProxy(now, current, full)
		if e == nil {
			return nil, fleet.Admission{}
		}
		if admission, ok := e.Admit(now); ok {
			return e, admission
		}
		full = append(full, e) // another request was faster
	}
}

// nextProxy returns an instance that the request has not tried. Once it has tried each, a stream that the caller has a part
// of can get any of them.
func (r *exchange) nextProxy(now time.Time, current *fleet.Endpoint, full []*fleet.Endpoint) *fleet.Endpoint {
	isClosed := func(e *fleet.Endpoint) bool {
		return e == current || e.AcceptsAt(now).After(now) || slices.Contains(full, e)
	}
	e := r.f.cfg.Proxies.Next(r.req.ID, func(e *fleet.Endpoint) bool { return r.tried[e] || isClosed(e) })
	if e == nil && r.offers.lastID() != "" {
		e = r.f.cfg.Proxies.Next(r.req.ID, isClosed)
	}
	return e
}

// grantedRuns returns the attempts at endpoints that an attempt at e stands for. An instance gets all that are left but
// one, which is for another instance if it fails.
func (r *exchange) grantedRuns(e *fleet.Endpoint) int {
	if !e.IsInstance() {
		return 1
	}
	return max(1, r.maxRuns()-r.runs-1)
}

// proxied describes the request to an instance e, and is nil for an endpoint. isOffer means that another attempt is in
// progress, which is counted.
func (r *exchange) proxied(e *fleet.Endpoint, runs int, isOffer bool) *Proxied {
	if !e.IsInstance() {
		return nil
	}
	return &Proxied{
		From: r.f.cfg.Name, MaxRuns: runs, Version: r.version,
		IsCounted: isOffer || r.proxy.isCounted, IsStarted: isOffer || r.startCounted,
	}
}

// attemptThrough is attempt for another instance e. What the answer tells of the endpoint is recorded there.
func (r *exchange) attemptThrough(ctx context.Context, e *fleet.Endpoint, accepted *acceptedOffer, again bool) outcome {
	r.proxy.attempts++
	r.sentAt = time.Now()
	if accepted != nil {
		defer accepted.cancel()
		r.sentAt = accepted.sent
	} else {
		e.Stats.Begin(0)
	}
	defer e.Stats.End()
	r.timeToFirst, r.load, r.measured = 0, 0, 0
	request := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	onStall := func() { r.offerElsewhere(request, e, func() { cancel(progress.ErrStalled) }) }
	reply, err := r.answerOf(ctx, e, accepted, again, onStall)
	if err != nil {
		return r.classifyError(ctx, err)
	}
	defer reply.Finish()
	if r.f.cfg.Wire.IsNotRun(reply.Status, reply.Header) {
		return r.refusedBy(e, reply)
	}
	r.mayHaveRun, r.workCounted = true, true
	if isStream(reply) && r.route.Kind == routing.Streaming {
		return r.relayStream(ctx, reply, newJoint(&r.stream, false), func() {}, onStall)
	}
	if r.stream.started {
		return noContinuation(reply, r.stream.position.String())
	}
	r.timeToFirst = time.Since(r.sentAt)
	return r.relayWhole(ctx, reply, onStall)
}

// refusedBy returns the outcome of an attempt that instance e has refused. If it can't take the request itself, another one
// may; otherwise the refusal is for the caller.
func (r *exchange) refusedBy(e *fleet.Endpoint, reply *upstream.Reply) outcome {
	out := notRun(reply)
	refusal := r.f.cfg.Wire.Refusal(reply.Header)
	if refusal == nil {
		return out
	}
	out.err = fmt.Errorf("refused by instance %s: %w", e.ID, refusal.Err)
	if problem.KindOf(refusal.Err) == problem.NotReady {
		e.Pause(refusal.RetryAfter, time.Now())
		return out
	}
	out.refusal = refusal
	return out
}

// recordProxied is recordAttempt for an attempt at another instance.
func (r *exchange) recordProxied(e *fleet.Endpoint, out *outcome) {
	now := time.Now()
	if out.reached {
		r.arrivals++
	}
	if out.mayHaveRun() {
		r.runs += r.proxy.runs
		r.proxy.isCounted, r.startCounted = true, true // by that instance
	}
	switch out.end {
	case unreachable:
		if !errors.Is(out.err, upstream.ErrConnectionLimit) {
			e.Stats.RecordUnreachable(now)
		}
	case rejected:
		r.rejections++
		r.workCounted = r.workCounted || out.refusal != nil
	case lost:
		e.Stats.RecordAnswer(true, now)
		if errors.Is(out.err, progress.ErrStalled) {
			e.Pool.DropIdle()
		}
	case answered:
		e.Stats.RecordAnswer(false, now)
	}
	r.f.cfg.Metrics.countProxied(out.end)
	if out.end != answered && r.f.proxyLines.Allow(now) {
		r.log.WithError(out.err).WithFields(logrus.Fields{
			"route": r.route.Name, "proxy": e.ID, "end": out.end.String(), "ms": time.Since(r.req.Arrived).Milliseconds(),
		}).Info("attempt through another instance delivered no answer")
	}
}

// countProxied counts an attempt at another instance.
func (m *Metrics) countProxied(e attemptEnd) {
	m.scope.Tagged(map[string]string{"end": e.String()}).Counter("proxied").Inc(1)
}
