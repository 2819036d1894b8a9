package forward

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/fleet"
)

// Cold limits the requests to cold endpoints over all instances together.
type Cold interface {
	// Next returns when this instance may give itself the next permit for an endpoint; zero: it has no share of its limit.
	Next(e *fleet.Endpoint, now time.Time) time.Time
	// Take takes a permit from this instance's share. ok is false if there is none at now.
	Take(e *fleet.Endpoint, now time.Time) (expires time.Time, ok bool)
	// Ask asks a peer that has a share for a permit for one of the endpoints, which are of one service. Without one, e is
	// nil, and retry is the time after which another call may succeed.
	Ask(ctx context.Context, endpoints []*fleet.Endpoint) (e *fleet.Endpoint, expires time.Time, retry time.Duration)
}

// coldPermits are the permits of a request. The zero value is ready to use.
type coldPermits struct {
	mu      sync.Mutex // offers run in a goroutine of their own
	expires map[*fleet.Endpoint]time.Time
}

func (p *coldPermits) add(e *fleet.Endpoint, expires time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expires == nil {
		p.expires = map[*fleet.Endpoint]time.Time{}
	}
	p.expires[e] = expires
}

// use removes the permit for an endpoint and reports whether it is valid at now.
func (p *coldPermits) use(e *fleet.Endpoint, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	expires, ok := p.expires[e]
	delete(p.expires, e)
	return ok && now.Before(expires)
}

// isCold reports whether an endpoint gets requests with permits only.
func (r *exchange) isCold(e *fleet.Endpoint, now time.Time) bool {
	return r.f.cfg.Cold != nil && r.service.ColdPerSecond > 0 && e.IsCold(now)
}

// hasPermit reports whether the endpoint is not cold, or this instance has a permit for it.
func (r *exchange) hasPermit(e *fleet.Endpoint, now time.Time) bool {
	return !r.isCold(e, now) || r.f.cfg.Cold.Next(e, now).Equal(now)
}

// takePermit takes a permit if the endpoint is cold, and reports whether the request may be sent to it.
func (r *exchange) takePermit(e *fleet.Endpoint, now time.Time) bool {
	if !r.isCold(e, now) {
		return true
	}
	expires, ok := r.f.cfg.Cold.Take(e, now)
	if ok {
		r.permits.add(e, expires)
	}
	return ok
}

// checkCold returns an error if a request must not be written to an endpoint at now because it is cold.
func (r *exchange) checkCold(e *fleet.Endpoint, now time.Time) error {
	if !r.isCold(e, now) || r.permits.use(e, now) {
		return nil
	}
	if _, ok := r.f.cfg.Cold.Take(e, now); ok {
		return nil
	}
	return fmt.Errorf("%w: it is cold", errWithheld)
}

// withoutCold returns the endpoints among which a request is placed: without the cold ones for which this instance has no
// permit. The others compete by their expected time; leaving them out while the others have free slots would make each start
// longer by the cold time.
func (r *exchange) withoutCold(endpoints []*fleet.Endpoint, now time.Time) []*fleet.Endpoint {
	withheld := func(e *fleet.Endpoint) bool { return r.isCold(e, now) && !r.hasPermit(e, now) }
	if !slices.ContainsFunc(endpoints, withheld) {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), withheld)
}

// hasFreeSlot reports whether an endpoint seems to have a free slot.
func hasFreeSlot(e *fleet.Endpoint, now time.Time) bool {
	v := e.Stats.Snapshot(now)
	running := v.Running
	if v.Freshness > 0 {
		running = max(running, v.Reported.Running+v.Reported.Waiting)
	}
	return running < max(1, e.Slots)
}

// maxColdAsks bounds the calls to peers for one request between two waits.
const maxColdAsks = 2

// askCold asks peers for a permit for a cold endpoint. Without one, retryAt is when another try may succeed; it is zero if
// the service has no cold endpoint that accepts the request.
func (r *exchange) askCold(ctx context.Context, now time.Time) (e *fleet.Endpoint, admission fleet.Admission, retryAt time.Time) {
	if r.f.cfg.Cold == nil || r.service.ColdPerSecond <= 0 {
		return nil, fleet.Admission{}, time.Time{}
	}
	var endpoints []*fleet.Endpoint
	for _, e := range r.endpoints(now) {
		if r.isCold(e, now) && !e.AcceptsAt(now).After(now) && (!r.tried[e] || r.route.MayRepeat()) {
			endpoints = append(endpoints, e)
		}
	}
	if len(endpoints) == 0 {
		return nil, fleet.Admission{}, time.Time{}
	}
	var retry time.Duration
	for range maxColdAsks {
		got, expires, again := r.f.cfg.Cold.Ask(ctx, endpoints)
		if got != nil {
			if admission, ok := got.Admit(time.Now()); ok {
				r.permits.add(got, expires)
				return got, admission, time.Time{}
			}
		}
		if retry == 0 || again < retry {
			retry = again
		}
	}
	asked := time.Now()
	return nil, fleet.Admission{}, earlier(asked.Add(max(retry, admitRetry)), r.nextPermit(endpoints, asked))
}

// nextPermit returns when this instance can give itself the next permit for one of the endpoints, admitRetry after now at
// the earliest; zero: never.
func (r *exchange) nextPermit(endpoints []*fleet.Endpoint, now time.Time) (next time.Time) {
	for _, e := range endpoints {
		next = earlier(next, r.f.cfg.Cold.Next(e, now))
	}
	if earliest := now.Add(admitRetry); !next.IsZero() && next.Before(earliest) {
		return earliest
	}
	return next
}

// earlier returns the earlier of two times; a zero time counts as none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
