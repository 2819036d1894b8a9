package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/routing"
)

// evacuatedRetryAfter is the mean Retry-After of a request whose service has endpoints in evacuated zones only. Evacuations
// last for seconds at least.
const evacuatedRetryAfter = time.Second

// errWithheld means that an endpoint that was chosen may not get the request any more. It implies nothing about the
// endpoint's health.
var errWithheld = errors.New("the endpoint may not get the request")

// endpoints returns the endpoints that may get the request.
func (r *exchange) endpoints(now time.Time) []*fleet.Endpoint {
	return r.withoutReturning(r.filterByVersion(r.inRegion(r.f.cfg.Fleet.Service(r.service.Name)), now), now)
}

// withoutReturning leaves out the endpoints of zones that have returned from an evacuation, for the share of the requests
// that they don't get yet, while another endpoint has a free slot.
func (r *exchange) withoutReturning(all []*fleet.Endpoint, now time.Time) []*fleet.Endpoint {
	isLeftOut := func(e *fleet.Endpoint) bool {
		share := r.f.cfg.Fleet.ReturnShare(e.Zone, now)
		// The hash differs from the ones by which services and versions are picked, so that each gets the same share.
		return share < 1 && routing.HashFraction("return "+e.Zone+" "+r.req.ID) >= share
	}
	if !slices.ContainsFunc(all, isLeftOut) {
		return all
	}
	kept := slices.DeleteFunc(slices.Clone(all), isLeftOut)
	if slices.ContainsFunc(kept, func(e *fleet.Endpoint) bool {
		return !r.isCold(e, now) && !e.AcceptsAt(now).After(now) && hasFreeSlot(e, now)
	}) {
		return kept
	}
	return all
}

// inRegion returns the endpoints in the regions that the route and the workspace allow. The region of a zone that the
// settings don't name is unknown, so that no rule allows it.
func (r *exchange) inRegion(all []*fleet.Endpoint) []*fleet.Endpoint {
	route := r.route.AllowedRegions
	var workspace []string
	if r.workspace != nil {
		workspace = r.workspace.AllowedRegions
	}
	if len(route) == 0 && len(workspace) == 0 {
		return all
	}
	var allowed []*fleet.Endpoint
	for _, e := range all {
		region := r.f.cfg.Regions[e.Zone]
		if region != "" && (len(route) == 0 || slices.Contains(route, region)) && (len(workspace) == 0 || slices.Contains(workspace, region)) {
			allowed = append(allowed, e)
		}
	}
	return allowed
}

// zoneRefusal refuses a request whose service has endpoints in evacuated zones, or outside of the allowed regions, only. A
// stream that the caller has a part of may wait for an endpoint instead.
func (r *exchange) zoneRefusal() *Refusal {
	all := r.f.cfg.Fleet.Service(r.service.Name)
	switch {
	case r.stream.started:
		return nil
	case len(all) > 0 && len(r.inRegion(all)) == 0:
		return &Refusal{
			Err:        problem.New(problem.NoEndpoint, "no endpoint of service %s in a region that is allowed for the request is ready", r.service.Name),
			RetryAfter: jitter(evacuatedRetryAfter),
		}
	case !r.f.cfg.Fleet.IsEvacuated(r.service.Name):
		return nil
	}
	return &Refusal{
		Err:        problem.New(problem.NoEndpoint, "all endpoints of service %s are in evacuated zones", r.service.Name),
		RetryAfter: jitter(evacuatedRetryAfter),
	}
}

// maySend returns an error if an endpoint may not get the request any more. It is called right before the request is
// written: since it was chosen, the zone may have been evacuated, or the request may have crashed other endpoints. isMove is set
// for the run of a request that goes on elsewhere.
func (r *exchange) maySend(e *fleet.Endpoint, isMove bool) error {
	if e.IsEvacuated() {
		return fmt.Errorf("%w: its zone %s is evacuated", errWithheld, e.Zone)
	}
	if err := r.checkCrashes(); err != nil && !isMove {
		return fmt.Errorf("%w: %w", errWithheld, err)
	}
	return r.checkCold(e, time.Now())
}

// dropMove gives up the move of a run that may continue neither where it was moved to nor where it came from. Only a request
// that may be repeated can go on, after the last event that the caller has, as a repeat.
func (r *exchange) dropMove(ctx context.Context) *Refusal {
	r.giveUpMove()
	refusal := &Refusal{Err: problem.New(problem.NoEndpoint, "the zones of a moved run are evacuated"), RetryAfter: jitter(evacuatedRetryAfter)}
	if !r.route.MayRepeat() || r.runs >= r.maxRuns() || !r.acquireRetry(ctx) {
		return refusal
	}
	return nil
}
