package pool

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
)

// drainPropagation is the time within which every entry instance stops sending new work to a leaving endpoint.
const drainPropagation = 3 * time.Second

// demands returns the demand of each version. If its profile can't be read, a service is planned by its recent rate.
func (d *Duty) demands(ctx context.Context) []Demand {
	var demands []Demand
	for _, s := range d.services {
		var yesterday [ProfileSteps]float64
		call, cancel := context.WithTimeout(ctx, callTimeout)
		row, err := d.state.profiles.observe(call, time.Now(), s.Name, s.RecentRate)
		cancel()
		if err != nil {
			d.settings.Log.WithError(err).WithField("service", s.Name).Warn("demand profile not read or not written")
		}
		if row != nil {
			yesterday = row.yesterday()
		}
		weight := d.settings.WeightBytes
		if s.Kind == config.KindPlain {
			weight = 0
		}
		for _, v := range s.Versions {
			demands = append(demands, Demand{
				Service: s.Name, Version: v.Version, RecentRate: s.RecentRate, Profile: yesterday, MaxShare: v.MaxShare, Needed: v.Needed,
				Latency: s.Latency, Target: s.Target, WeightBytes: weight,
			})
		}
	}
	return demands
}

// planInput combines the platform's list and offers with the actions of this holder that the list doesn't show yet.
func (d *Duty) planInput(now time.Time, demands []Demand, list []cloud.Instance, offers []cloud.Offer) Input {
	in := Input{Demands: demands, StartTime: d.settings.StartTime, WeightRate: d.settings.WeightRate}
	for _, o := range offers {
		r := d.state.refusals[o.ID]
		in.Offers = append(in.Offers, Offer{
			ID: o.ID, Service: o.Service, Class: o.Class, FailureDomain: o.FailureDomain, Price: o.Price,
			Reclaimable: o.Reclaimable, Capacity: o.Capacity, Refusals: r.count, LastRefusal: r.last,
		})
	}
	d.dropUnlisted(list)
	leaving := d.settings.Leaving()
	for i := range list {
		if list[i].Role == cloud.RoleEndpoint {
			in.Instances = append(in.Instances, d.instance(now, &list[i], leaving[list[i].ID], offers))
		}
	}
	for id, s := range d.state.starting {
		limit := startTimeFactor * d.settings.StartTime
		if !s.confirmed {
			limit = confirmTimeout
		}
		if now.Sub(s.since) > limit {
			delete(d.state.starting, id)
			d.settings.Log.WithField("endpoint", id).Warn("requested instance did not appear; requesting another")
			continue
		}
		in.Instances = append(in.Instances, s.instance)
	}
	return in
}

// dropUnlisted drops the recorded orders and drains of instances that are no longer on the list.
func (d *Duty) dropUnlisted(list []cloud.Instance) {
	listed := map[string]bool{}
	for _, in := range list {
		listed[in.ID] = true
	}
	maps.DeleteFunc(d.state.ordered, func(id string, _ time.Time) bool { return !listed[id] })
	maps.DeleteFunc(d.state.draining, func(id string, _ time.Time) bool { return !listed[id] })
}

func (d *Duty) instance(now time.Time, p *cloud.Instance, leaving bool, offers []cloud.Offer) Instance {
	delete(d.state.starting, p.ID)
	i := Instance{
		ID: p.ID, Service: p.Service, Version: p.Version, Class: p.Class, FailureDomain: p.FailureDomain,
		Price: p.Price, Reclaimable: p.Reclaimable, Capacity: capacityOf(p, offers), State: Ready,
	}
	if p.Version == "" {
		i.Version, i.State = p.Assigned, Unloaded
		// Plain services take no orders. Their instances start with the version that they were requested for.
		if at, ok := d.state.ordered[p.ID]; d.isPlain(p.Service) || (ok && now.Sub(at) < loadTimeout) {
			i.State = Loading
		}
	}
	if p.State == cloud.StateLeaving || leaving {
		i.State = Draining
		i.Idle = d.idle(now, p.ID)
	} else if _, drained := d.state.draining[p.ID]; drained {
		// The drain is ordered, but the entry instances may not have applied it yet.
		i.State = Draining
	}
	return i
}

func (d *Duty) isPlain(service string) bool {
	return slices.ContainsFunc(d.services, func(s Service) bool {
		return s.Name == service && s.Kind == config.KindPlain
	})
}

// idle reports whether a leaving endpoint has finished its last request. The time counts from when this holder drained
// the endpoint or first saw it leaving, so the clocks of different instances are not compared.
func (d *Duty) idle(now time.Time, id string) bool {
	since, ok := d.state.draining[id]
	if !ok {
		d.state.draining[id] = now
		return false
	}
	return now.Sub(since) >= d.drainLimit()
}

// drainLimit returns the longest time for which a request may still run on an endpoint after its drain was ordered.
func (d *Duty) drainLimit() time.Duration {
	limit := time.Duration(0)
	for _, s := range d.services {
		limit = max(limit, s.DrainLimit)
	}
	return limit + drainPropagation
}

// capacityOf returns the capacity of an instance by the offer of its class. It is 0 if the class isn't offered; such
// instances are not planned.
func capacityOf(p *cloud.Instance, offers []cloud.Offer) float64 {
	for _, o := range offers {
		if o.Class == p.Class && (o.Service == "" || o.Service == p.Service) {
			return o.Capacity
		}
	}
	return 0
}
