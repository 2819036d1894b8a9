package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/placement"
	"github.com/trefoillug/trefoillug/problem"
)

// caches records which prompt blocks each endpoint should have in its cache.
type caches struct {
	mu         sync.Mutex
	byEndpoint map[*fleet.Endpoint]*placement.Cache
}

func (c *caches) cachedTokens(e *fleet.Endpoint, r placement.Request, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cache := c.byEndpoint[e]; cache != nil {
		return cache.CachedTokens(r, now)
	}
	return 0
}

func (c *caches) recordSent(e *fleet.Endpoint, r placement.Request, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cache := c.byEndpoint[e]
	if cache == nil {
		c.evictLeaving()
		cache = &placement.Cache{}
		c.byEndpoint[e] = cache
	}
	cache.RecordSent(r, now)
}

// evictLeaving drops the records of endpoints that are leaving. c.mu must be held.
func (c *caches) evictLeaving() {
	for e := range c.byEndpoint {
		if e.IsLeaving() {
			delete(c.byEndpoint, e)
		}
	}
}

// choose picks an endpoint. If none is available, it waits for one up to endpointWait.
func (r *exchange) choose(ctx context.Context) (*fleet.Endpoint, *Refusal) {
	if r.pendingMove != nil {
		if r.pendingMove.rejections > 0 {
			pause(ctx, moveRetryDelay)
		}
		r.admission = fleet.Admission{}
		if e := r.pendingMove.endpoint(time.Now()); e != nil {
			return e, nil
		}
		if refusal := r.dropMove(ctx); refusal != nil {
			return nil, refusal
		}
	}
	if r.accepted = r.offers.take(); r.accepted != nil {
		r.admission = r.accepted.admission
		return r.accepted.endpoint, nil
	}
	if r.stream.started && r.lastEnd == rejected {
		pause(ctx, rejectedPause(r.rejections))
	}
	if e, admission := r.acquireProxy(time.Now(), nil); e != nil {
		r.admission = admission
		return e, nil
	}
	r.countRequest()
	if refusal := r.admit(ctx); refusal != nil {
		return nil, refusal
	}
	end := time.Now().Add(r.endpointWait())
	timeout := time.NewTimer(r.endpointWait())
	defer timeout.Stop()
	for {
		changed := r.f.cfg.Fleet.Changed()
		now := time.Now()
		e, admission, opensAt := r.best(now, nil)
		if e != nil {
			r.admission = admission
			return e, nil
		}
		if refusal := r.zoneRefusal(); refusal != nil {
			return nil, refusal
		}
		e, admission, coldAt := r.askCold(ctx, now)
		if e != nil {
			r.admission = admission
			return e, nil
		}
		opensAt = earlier(opensAt, coldAt)
		if opensAt.After(end) {
			return nil, r.pausedRefusal(opensAt.Sub(now))
		}
		opens, stop := timerFor(opensAt, now)
		select {
		case <-changed:
			stop()
		case <-opens:
		case <-timeout.C:
			stop()
			return nil, &Refusal{
				Err:        problem.New(problem.NoEndpoint, "no endpoint of %s is ready", r.described()),
				RetryAfter: jitter(refusedRetryAfter),
			}
		case <-ctx.Done():
			stop()
			return nil, &Refusal{Err: problem.New(problem.NoEndpoint, "no endpoint of service %s in time", r.service.Name), RetryAfter: jitter(refusedRetryAfter)}
		}
	}
}

// described returns the service of the request for an error, with the version that the request may go to.
func (r *exchange) described() string {
	all := r.f.cfg.Fleet.Service(r.service.Name)
	if len(all) > 0 && len(r.filterByVersion(all, time.Now())) == 0 {
		return "the version of service " + r.service.Name + " that takes its requests"
	}
	return "service " + r.service.Name
}

// endpointWait returns the time for which the request may wait for an endpoint.
func (r *exchange) endpointWait() time.Duration {
	if r.stream.started {
		return startedWaitGaps * r.targetGap()
	}
	if r.route.TargetLatency > 0 {
		return r.route.TargetLatency / endpointWaitDivisor
	}
	return defaultEndpointWait
}

// best picks one of the endpoints that this request has not tried, and gets its permission to send the request. Once it
// has tried each that accepts requests, a request that may be repeated can get any of them but excluded, which may be
// nil. Without such an endpoint the result is nil with the time at which the first one accepts requests again; zero: none
// will.
func (r *exchange) best(now time.Time, excluded *fleet.Endpoint) (e *fleet.Endpoint, admission fleet.Admission, opensAt time.Time) {
	all := r.endpoints(now)
	fresh := make([]*fleet.Endpoint, 0, len(all))
	var again []*fleet.Endpoint
	for _, e := range all {
		if e == excluded || r.tried[e] && !r.route.MayRepeat() {
			continue
		}
		at := e.AcceptsAt(now)
		switch {
		case at.After(now):
			if opensAt.IsZero() || at.Before(opensAt) {
				opensAt = at
			}
		case r.tried[e]:
			again = append(again, e)
		default:
			fresh = append(fresh, e)
		}
	}
	// A cold endpoint without a permit must not keep a request from one that it has tried.
	fresh = r.withoutCold(fresh, now)
	if len(fresh) == 0 {
		fresh = r.withoutCold(again, now)
	}
	for len(fresh) > 0 {
		e := r.f.bestOf(r.prompt(), fresh, all)
		if admission, ok := e.Admit(now); ok {
			if r.takePermit(e, now) {
				return e, admission, time.Time{}
			}
			e.CancelAdmission(admission)
		}
		// Another request was faster.
		fresh = slices.DeleteFunc(fresh, func(other *fleet.Endpoint) bool { return other == e })
		opensAt = now.Add(admitRetry)
	}
	return nil, fleet.Admission{}, opensAt
}

// admitRetry is the wait after another request got the last place at an endpoint.
const admitRetry = 10 * time.Millisecond

// timerFor returns a channel that receives at a time; with the zero time, never.
func timerFor(at, now time.Time) (c <-chan time.Time, stop func()) {
	if at.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(at.Sub(now))
	return timer.C, func() { timer.Stop() }
}

// pausedRefusal refuses a request because the endpoints want none for a time. The jitter keeps the callers from coming
// back at the same time, and never too early.
func (r *exchange) pausedRefusal(d time.Duration) *Refusal {
	return &Refusal{
		Err:        problem.New(problem.Overloaded, "the endpoints of service %s accept no requests for %v", r.service.Name, d.Round(time.Millisecond)),
		RetryAfter: d + rand.N(max(d/2, refusedRetryAfter)),
	}
}

// checkPaused refuses another attempt at once if no endpoint accepts it in time, so that it costs no retry budget.
func (r *exchange) checkPaused() error {
	now := time.Now()
	if refusal := r.zoneRefusal(); refusal != nil {
		return refusal
	}
	var opensAt time.Time
	for _, e := range r.endpoints(now) {
		if at := e.AcceptsAt(now); opensAt.IsZero() || at.Before(opensAt) {
			opensAt = at
		}
	}
	if opensAt.After(now.Add(r.endpointWait())) {
		return r.pausedRefusal(opensAt.Sub(now))
	}
	return nil
}

// hasOther reports whether an endpoint that the request has not tried accepts it.
func (r *exchange) hasOther(now time.Time) bool {
	return r.hasProxy(now) || slices.ContainsFunc(r.endpoints(now), func(e *fleet.Endpoint) bool {
		return !r.tried[e] && !e.AcceptsAt(now).After(now)
	})
}

// filterByVersion returns the endpoints of the version that the request goes to while its service is being moved. It
// goes to the old version if the new one has no endpoint that accepts requests, or has already failed this request.
func (r *exchange) filterByVersion(all []*fleet.Endpoint, now time.Time) []*fleet.Endpoint {
	if r.f.cfg.Versions == nil {
		return all
	}
	version, isTarget, moving := r.f.cfg.Versions.Version(r.service.Name, r.req.ID)
	if !moving {
		return all
	}
	var old, target []*fleet.Endpoint
	for _, e := range all {
		if e.Version == version {
			target = append(target, e)
		} else {
			old = append(old, e)
		}
	}
	accepts := func(e *fleet.Endpoint) bool { return !e.AcceptsAt(now).After(now) }
	if isTarget && (len(old) == 0 || !r.targetFailed && slices.ContainsFunc(target, accepts)) {
		return target
	}
	return old
}

func (r *exchange) prompt() placement.Request {
	if r.req.Prompt == nil {
		return placement.Request{ID: r.req.ID, Speed: r.speed().Speed()}
	}
	return placement.Request{ID: r.req.ID, Blocks: r.req.Prompt.Blocks, Input: r.req.Prompt.Input, Speed: r.speed().Speed()}
}

// bestOf returns the endpoint with the least expected cost. The owners of the prompt are picked from all.
func (f *Forwarder) bestOf(p placement.Request, endpoints, all []*fleet.Endpoint) *fleet.Endpoint {
	return f.bestAt(p, endpoints, all, time.Now())
}

// expectedCached returns the prompt tokens that an endpoint is expected to have in its cache.
func (f *Forwarder) expectedCached(e *fleet.Endpoint, p placement.Request, now time.Time) float64 {
	all := f.cfg.Fleet.Service(e.Service)
	ids := make([]string, len(all))
	for i, other := range all {
		ids[i] = other.ID
	}
	return placement.ExpectedCached(p, slices.Index(placement.Owners(p, ids), e.ID), f.caches.cachedTokens(e, p, now))
}

func (f *Forwarder) candidate(e *fleet.Endpoint, p placement.Request, rank int, now time.Time) placement.Candidate {
	v := e.Stats.Snapshot(now)
	running := float64(v.Running)
	reported := float64(v.Reported.Running + v.Reported.Waiting)
	// A report covers the requests of all instances, but counts less the older it is.
	running = max(running, running+(reported-running)*v.Freshness)
	c := placement.Candidate{
		ID: e.ID, SameZone: e.Zone == f.cfg.Zone, Running: running, Prefill: v.Prefill, Slots: float64(e.Slots),
		Failures: v.Failures, Avoided: v.Avoided,
	}
	if p.Input > 0 {
		c.Cached = placement.ExpectedCached(p, rank, f.caches.cachedTokens(e, p, now))
	}
	return c
}
