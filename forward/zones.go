package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/problem"
)

// evacuatedRetryAfter is the mean Retry-After of a request whose service has endpoints in evacuated zones only. Evacuations
// last for seconds at least.
const evacuatedRetryAfter = time.Second

// errWithheld means that an endpoint that was chosen may not get the request any more. It implies nothing about the
// endpoint's health.
var errWithheld = errors.New("the endpoint may not get the request")

// endpoints returns the endpoints that may get the request.
func (r *exchange) endpoints(now time.Time) []*fleet.Endpoint {
	return r.filterByVersion(r.f.cfg.Fleet.Service(r.service.Name), now)
}

// evacuatedRefusal refuses a request whose service has endpoints in evacuated zones only. A stream that the caller has a
// part of may wait for an endpoint instead.
func (r *exchange) evacuatedRefusal() *Refusal {
	if r.stream.started || !r.f.cfg.Fleet.IsEvacuated(r.service.Name) {
		return nil
	}
	return &Refusal{
		Err:        problem.New(problem.NoEndpoint, "all endpoints of service %s are in evacuated zones", r.service.Name),
		RetryAfter: jitter(evacuatedRetryAfter),
	}
}

// maySend returns an error if an endpoint may not get the request any more. It is called right before the request is
// written: the zone may have been evacuated since the endpoint was chosen.
func (r *exchange) maySend(e *fleet.Endpoint) error {
	if e.IsEvacuated() {
		return fmt.Errorf("%w: its zone %s is evacuated", errWithheld, e.Zone)
	}
	return r.checkCold(e, time.Now())
}

// dropMove gives up the move of a run that may continue neither where it was moved to nor where it came from. Only a request
// that may be repeated can go on, after the last event that the caller has, as a repeat.
func (r *exchange) dropMove(ctx context.Context) *Refusal {
	r.pendingMove = nil
	refusal := &Refusal{Err: problem.New(problem.NoEndpoint, "the zones of a moved run are evacuated"), RetryAfter: jitter(evacuatedRetryAfter)}
	if !r.route.MayRepeat() || r.runs >= r.route.MaxAttempts || !r.acquireRetry(ctx) {
		return refusal
	}
	return nil
}
