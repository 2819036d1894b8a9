package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/lease"
	"github.com/trefoillug/trefoillug/pool"
	"github.com/trefoillug/trefoillug/table"
)

// moveMargin is how long before the start and after the deadline of a move both of its versions may be needed.
const moveMargin = 30 * time.Minute

// poolDuty sizes the pool of endpoints while this instance holds the lease.
type poolDuty struct {
	daemon *Daemon
	rates  *pool.Rates
	lease  *lease.Lease
	duty   *pool.Duty
}

func newPoolDuty(d *Daemon, hc *http.Client) *poolDuty {
	p := &poolDuty{daemon: d, rates: pool.NewRates()}
	p.lease = lease.New(lease.Settings{
		Store: d.store, Duty: "pool", Candidate: d.settings.ID, Process: seedFor(d.settings.ID), Members: d.candidates,
	})
	p.duty = pool.New(pool.Settings{
		Lease: p.lease, Cloud: cloud.NewClient(d.settings.PlatformURL, hc), Lister: d.lister,
		Engines: pool.EngineClient{HTTP: hc}, Store: d.store, Services: p.services, Leaving: p.leaving, Drain: p.drain,
		StartTime: d.settings.PoolStartTime, WeightRate: d.settings.WeightRate, WeightBytes: d.settings.WeightBytes,
		Log: d.log,
	})
	return p
}

// run returns after ctx is done and the lease is released.
func (p *poolDuty) run(ctx context.Context) error {
	var rounds sync.WaitGroup
	rounds.Go(func() { _ = every(ctx, pool.RoundInterval, p.round) })
	p.lease.Run(ctx, func(err error) { p.daemon.log.WithError(err).Warn("pool lease not renewed or read") })
	rounds.Wait()
	return nil
}

func (p *poolDuty) round(ctx context.Context) {
	if err := p.duty.Round(ctx); err != nil && ctx.Err() == nil {
		p.daemon.log.WithError(err).Warn("pool not planned; will retry in the next round")
	}
}

// count adds a request to the demand of a configured service.
func (p *poolDuty) count(service string) {
	if _, ok := p.daemon.core.Snapshot().Service(service); ok {
		p.rates.Count(time.Now(), service)
	}
}

func (p *poolDuty) observe(e core.Event) {
	switch e := e.(type) {
	case core.Served:
		p.count(e.Service)
	case core.Refused:
		p.count(e.Service)
	}
}

// services returns the demand for the configured services. The balancer distributes requests evenly, so the demand is
// that of this instance times the number of entry instances.
func (p *poolDuty) services() []pool.Service {
	snap, now := p.daemon.core.Snapshot(), time.Now()
	members := float64(len(p.daemon.candidates()))
	var out []pool.Service
	for _, name := range sortedKeys(snap.Services) {
		svc := snap.Services[name]
		s := pool.Service{
			Name: name, Kind: svc.Config.Kind, Checks: svc.Config.Checks, RecentRate: members * p.rates.RecentPeak(now, name),
			Latency: unloadedLatency(svc), Versions: versionDemands(svc, now),
		}
		for _, w := range svc.Config.Workspaces {
			if t := w.Targets.FirstToken; t > 0 && (s.Target == 0 || t < s.Target) {
				s.Target = t
			}
		}
		for _, r := range svc.Config.Routes {
			s.DrainLimit = max(s.DrainLimit, r.Timeout)
		}
		out = append(out, s)
	}
	return out
}

// unloadedLatency returns the shortest average time to the first token of any endpoint; 0 if unknown.
func unloadedLatency(svc *table.Service) time.Duration {
	shortest := int64(0)
	for _, e := range svc.Endpoints {
		if us := e.Live.FirstToken.Load(); us > 0 && (shortest == 0 || us < shortest) {
			shortest = us
		}
	}
	return time.Duration(shortest) * time.Microsecond
}

// versionDemands returns the share of the traffic for which each version is sized. While a move may advance or be rolled
// back, both of its versions are sized for all of the traffic, since a ramp is faster than the start of an endpoint.
func versionDemands(svc *table.Service, now time.Time) []pool.VersionDemand {
	var demands []pool.VersionDemand
	for _, v := range svc.Config.Versions {
		demand := pool.VersionDemand{Version: v.Name}
		for _, s := range svc.Shares {
			if s.Version == v.Name {
				demand.MaxShare = s.Fraction
			}
		}
		if inMove(svc.Config.Move, v.Name, now) {
			demand.MaxShare = 1
		}
		demand.Needed = demand.MaxShare > 0 || v.Name == svc.Config.ServingVersion
		demands = append(demands, demand)
	}
	return demands
}

func inMove(m *config.Move, version string, now time.Time) bool {
	if m == nil || (version != m.From && version != m.To) {
		return false
	}
	return now.After(m.Start.Add(-moveMargin)) && now.Before(m.Deadline.Add(moveMargin))
}

// leaving returns the IDs of the endpoints that get no new work here; other instances receive the same notices.
func (p *poolDuty) leaving() map[string]bool {
	ids := map[string]bool{}
	for _, svc := range p.daemon.core.Snapshot().Services {
		for _, e := range svc.Endpoints {
			if e.Condition == table.Leaving {
				ids[e.ID] = true
			}
		}
	}
	return ids
}

func (p *poolDuty) drain(instance string, limit time.Duration) {
	p.daemon.runner.Post(core.EndpointLeaving{Endpoint: instance, LeaveBy: time.Now().Add(limit)})
}

// candidates returns the IDs of the live entry instances, including this one.
func (d *Daemon) candidates() []string {
	ids := map[string]bool{d.settings.ID: true}
	for _, m := range d.node.Members() {
		if !m.Leaving {
			ids[m.ID] = true
		}
	}
	return sortedKeys(ids)
}
