package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/placement"
	"github.com/trefoillug/trefoillug/problem"
)

// caches is what this instance knows of the caches of all endpoints.
type caches struct {
	mu         sync.Mutex
	byEndpoint map[*fleet.Endpoint]*placement.Cache
}

func (c *caches) known(e *fleet.Endpoint, r placement.Request, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cache := c.byEndpoint[e]; cache != nil {
		return cache.Known(r, now)
	}
	return 0
}

func (c *caches) sent(e *fleet.Endpoint, r placement.Request, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cache := c.byEndpoint[e]
	if cache == nil {
		c.forgetLeft()
		cache = &placement.Cache{}
		c.byEndpoint[e] = cache
	}
	cache.Sent(r, now)
}

// forgetLeft needs c.mu.
func (c *caches) forgetLeft() {
	for e := range c.byEndpoint {
		if e.IsLeaving() {
			delete(c.byEndpoint, e)
		}
	}
}

// choose picks an endpoint, and waits a little for one when there is none.
func (r *run) choose(ctx context.Context) (*fleet.Endpoint, *Refusal) {
	if r.moved != nil {
		return r.moved.to, nil
	}
	hold := time.NewTimer(r.hold())
	defer hold.Stop()
	for {
		changed := r.f.cfg.Fleet.Changed()
		if e := r.best(); e != nil {
			return e, nil
		}
		select {
		case <-changed:
		case <-hold.C:
			return nil, &Refusal{
				Err:        problem.New(problem.NoEndpoint, "no endpoint of service %s is ready", r.service.Name),
				RetryAfter: spread(refusedRetry),
			}
		case <-ctx.Done():
			return nil, &Refusal{Err: problem.New(problem.NoEndpoint, "no endpoint of service %s in time", r.service.Name), RetryAfter: spread(refusedRetry)}
		}
	}
}

func (r *run) hold() time.Duration {
	if r.route.Target > 0 {
		return r.route.Target / holdShare
	}
	return defaultHold
}

// best picks among the endpoints that this request has not tried, or among all once it has tried each.
func (r *run) best() *fleet.Endpoint {
	all := r.ofVersion(r.f.cfg.Fleet.Service(r.service.Name))
	endpoints := slices.DeleteFunc(slices.Clone(all), func(e *fleet.Endpoint) bool { return r.tried[e] })
	if len(endpoints) == 0 && r.route.MayRepeat() {
		endpoints = all
	}
	return r.f.bestOf(r.prompt(), endpoints, all)
}

// ofVersion leaves the endpoints of the version that the request goes to while its service is being moved. Without any
// of the new version the old one takes the request.
func (r *run) ofVersion(all []*fleet.Endpoint) []*fleet.Endpoint {
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
	if isTarget && !r.failedNew && len(target) > 0 {
		return target
	}
	return old
}

func (r *run) prompt() placement.Request {
	if r.req.Prompt == nil {
		return placement.Request{}
	}
	return placement.Request{Parts: r.req.Prompt.Parts, Input: r.req.Prompt.Input}
}

// bestOf picks among endpoints; the homes of prompts are those among all.
func (f *Forwarder) bestOf(p placement.Request, endpoints, all []*fleet.Endpoint) *fleet.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	now := time.Now()
	ids := make([]string, len(all))
	for i, e := range all {
		ids[i] = e.ID
	}
	homes := placement.Homes(p, ids)
	candidates := make([]placement.Candidate, len(endpoints))
	for i, e := range endpoints {
		candidates[i] = f.candidate(e, p, slices.Index(homes, e.ID), now)
	}
	return endpoints[placement.Best(p, candidates)]
}

// expectedCached returns the prompt tokens that an endpoint is expected to have in its cache.
func (f *Forwarder) expectedCached(e *fleet.Endpoint, p placement.Request, now time.Time) float64 {
	all := f.cfg.Fleet.Service(e.Service)
	ids := make([]string, len(all))
	for i, other := range all {
		ids[i] = other.ID
	}
	return placement.Expected(p, slices.Index(placement.Homes(p, ids), e.ID), f.caches.known(e, p, now))
}

func (f *Forwarder) candidate(e *fleet.Endpoint, p placement.Request, home int, now time.Time) placement.Candidate {
	v := e.Live.View(now)
	running := float64(v.Running)
	reported := float64(v.Reported.Running + v.Reported.Waiting)
	// A fresh report covers all instances; an old one says little.
	running = max(running, running+(reported-running)*v.Fresh)
	c := placement.Candidate{
		ID: e.ID, SameZone: e.Zone == f.cfg.Zone, Running: running, Prefill: v.Prefill, Slots: float64(e.Slots),
		Failures: v.Failures, Avoided: v.Avoided,
	}
	if p.Input > 0 {
		c.Cached = placement.Expected(p, home, f.caches.known(e, p, now))
	}
	return c
}
