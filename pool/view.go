package pool

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
)

// workStops is the time within which every entry instance stops giving new work to an endpoint that leaves.
const workStops = 3 * time.Second

// demands returns the demand of each version. Without its profile, a service is planned by its recent rate.
func (d *Duty) demands(ctx context.Context) []Demand {
	var demands []Demand
	for _, s := range d.services {
		var yesterday [ProfileSteps]float64
		call, cancel := context.WithTimeout(ctx, callTimeout)
		row, err := d.memory.profiles.observe(call, time.Now(), s.Name, s.Recent)
		cancel()
		if err != nil {
			d.settings.Log.WithError(err).WithField("service", s.Name).Warn("demand profile not kept")
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
				Service: s.Name, Version: v.Version, Recent: s.Recent, Profile: yesterday, Part: v.Part, Needed: v.Needed,
				Latency: s.Latency, Target: s.Target, WeightBytes: weight,
			})
		}
	}
	return demands
}

// input joins the platform's view with what this holder did and the list doesn't show yet.
func (d *Duty) input(now time.Time, demands []Demand, list []cloud.Instance, offers []cloud.Offer) Input {
	in := Input{Demands: demands, StartTime: d.settings.StartTime, WeightRate: d.settings.WeightRate}
	for _, o := range offers {
		r := d.memory.refusals[o.ID]
		in.Offers = append(in.Offers, Offer{
			ID: o.ID, Service: o.Service, Class: o.Class, FailureDomain: o.FailureDomain, Price: o.Price,
			Reclaimable: o.Reclaimable, Capacity: o.Capacity, Refusals: r.count, LastRefusal: r.last,
		})
	}
	d.forgetUnlisted(list)
	leaving := d.settings.Leaving()
	for i := range list {
		if list[i].Role == cloud.RoleEndpoint {
			in.Instances = append(in.Instances, d.instance(now, &list[i], leaving[list[i].ID], offers))
		}
	}
	for id, s := range d.memory.starting {
		limit := startLimit * d.settings.StartTime
		if !s.confirmed {
			limit = confirmLimit
		}
		if now.Sub(s.since) > limit {
			delete(d.memory.starting, id)
			d.settings.Log.WithField("endpoint", id).Warn("requested instance did not appear; another is requested")
			continue
		}
		in.Instances = append(in.Instances, s.instance)
	}
	return in
}

// forgetUnlisted drops what was remembered of instances that are gone.
func (d *Duty) forgetUnlisted(list []cloud.Instance) {
	listed := map[string]bool{}
	for _, in := range list {
		listed[in.ID] = true
	}
	maps.DeleteFunc(d.memory.ordered, func(id string, _ time.Time) bool { return !listed[id] })
	maps.DeleteFunc(d.memory.draining, func(id string, _ time.Time) bool { return !listed[id] })
}

func (d *Duty) instance(now time.Time, p *cloud.Instance, leaving bool, offers []cloud.Offer) Instance {
	delete(d.memory.starting, p.ID)
	i := Instance{
		ID: p.ID, Service: p.Service, Version: p.Version, Class: p.Class, FailureDomain: p.FailureDomain,
		Price: p.Price, Reclaimable: p.Reclaimable, Capacity: capacityOf(p, offers), State: Ready,
	}
	if p.Version == "" {
		i.Version, i.State = p.Assigned, Bare
		// Plain services take no orders; their instances come up with the version that they were started for.
		if at, ok := d.memory.ordered[p.ID]; d.plain(p.Service) || (ok && now.Sub(at) < loadLimit) {
			i.State = Loading
		}
	}
	if p.State == cloud.StateLeaving || leaving {
		i.State = Draining
		i.Idle = d.idle(now, p.ID)
	} else if _, drained := d.memory.draining[p.ID]; drained {
		// The entry instances may not have applied the drain yet.
		i.State = Draining
	}
	return i
}

func (d *Duty) plain(service string) bool {
	return slices.ContainsFunc(d.services, func(s Service) bool {
		return s.Name == service && s.Kind == config.KindPlain
	})
}

// idle reports whether an endpoint that leaves has ended its last request. The time counts from when this holder saw
// it leave, so clocks are not compared.
func (d *Duty) idle(now time.Time, id string) bool {
	since, ok := d.memory.draining[id]
	if !ok {
		d.memory.draining[id] = now
		return false
	}
	return now.Sub(since) >= d.drainLimit()
}

// drainLimit returns the longest time that a request may run on an endpoint after its drain.
func (d *Duty) drainLimit() time.Duration {
	limit := time.Duration(0)
	for _, s := range d.services {
		limit = max(limit, s.DrainLimit)
	}
	return limit + workStops
}

// capacityOf returns the capacity of the offers of an instance's class; 0 for a class that isn't offered, whose
// instances are left alone.
func capacityOf(p *cloud.Instance, offers []cloud.Offer) float64 {
	for _, o := range offers {
		if o.Class == p.Class && (o.Service == "" || o.Service == p.Service) {
			return o.Capacity
		}
	}
	return 0
}
