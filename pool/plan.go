package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// drainShare is the fraction of a version's ready instances that may drain at the same time, so that a wrong
	// forecast costs little capacity before the next plan corrects it.
	drainShare = 0.1
	// firstBackOff is the time for which an offer isn't used after a refused start. It doubles with each further
	// refusal, up to maxBackOff.
	firstBackOff = 30 * time.Second
	maxBackOff   = 15 * time.Minute
	// loadWindow is how far ahead loads are ordered. That keeps the weight store busy, but doesn't share its rate among
	// so many instances that all of them become ready late.
	loadWindow = 30 * time.Second
)

// NextPlan returns the changes that adapt the instances to the demand.
func NextPlan(now time.Time, in Input) Plan {
	var p Plan
	for i := range in.Demands {
		v := in.planVersion(now, &in.Demands[i])
		p.Starts = append(p.Starts, v.starts()...)
		p.Drains = append(p.Drains, v.drains()...)
	}
	p.Stops = in.stops()
	p.Loads = in.loads(now)
	return p
}

func (in *Input) stops() []string {
	var stops []string
	for _, i := range in.Instances {
		if i.State == Draining && i.Idle {
			stops = append(stops, i.ID)
		}
	}
	return stops
}

// versionPlan holds the intermediate results of planning one version of a service.
type versionPlan struct {
	demand    *Demand
	instances []*Instance // except draining ones
	offers    []item      // except those in back-off
	draining  int
	need      float64 // capacity required after a loss until new instances can serve
	keep      float64 // capacity required after a loss for any instance to be drained
	cheapest  mix     // cheapest mix for need
}

func (in *Input) planVersion(now time.Time, d *Demand) *versionPlan {
	v := &versionPlan{demand: d}
	for i := range in.Instances {
		inst := &in.Instances[i]
		switch {
		case inst.Service != d.Service || inst.Version != d.Version || inst.Capacity <= 0:
		case inst.State == Draining:
			v.draining++
		default:
			v.instances = append(v.instances, inst)
		}
	}
	for i := range in.Offers {
		o := &in.Offers[i]
		if (o.Service == "" || o.Service == d.Service) && o.Capacity > 0 && !o.inBackOff(now) {
			v.offers = append(v.offers, itemOfOffer(o))
		}
	}
	have := mix{byDomain: map[string]float64{}}
	for _, i := range v.instances {
		have.add(itemOfInstance(i))
	}
	v.need = in.need(now, d, have.afterLoss(), v.smallestCapacity())
	v.keep = max(v.need, d.rate(now, drainHorizon)/d.usable())
	v.cheapest = cheapestMix(v.candidates(), v.need)
	return v
}

// inBackOff reports whether the offer must not be used yet because of refused starts.
func (o *Offer) inBackOff(now time.Time) bool {
	if o.Refusals == 0 {
		return false
	}
	wait := min(firstBackOff<<min(o.Refusals-1, 10), maxBackOff)
	return now.Before(o.LastRefusal.Add(wait))
}

func (v *versionPlan) existing(include func(*Instance) bool) []item {
	var items []item
	for _, i := range v.instances {
		if include(i) {
			items = append(items, itemOfInstance(i))
		}
	}
	return items
}

// smallestCapacity returns the capacity of the smallest instance that can be requested.
func (v *versionPlan) smallestCapacity() float64 {
	unit := math.Inf(1)
	for _, it := range v.offers {
		unit = min(unit, it.capacity)
	}
	return unit
}

func (v *versionPlan) candidates() []item {
	return append(v.existing(func(*Instance) bool { return true }), v.offers...)
}

func (v *versionPlan) starts() []Start {
	var starts []Start
	for _, it := range v.cheapest.items {
		if it.offer != nil {
			starts = append(starts, Start{Offer: *it.offer, Service: v.demand.Service, Version: v.demand.Version})
		}
	}
	return starts
}

// drains returns the ready instances that are not in the cheapest mix, the most expensive first, as long as the
// remaining ready ones suffice after the loss of any failure domain.
func (v *versionPlan) drains() []string {
	kept := v.cheapest
	if v.keep > v.need {
		kept = cheapestMix(v.candidates(), v.keep)
	}
	wanted := map[string]bool{}
	for _, it := range kept.items {
		if it.instance != nil {
			wanted[it.instance.ID] = true
		}
	}
	remaining := mix{byDomain: map[string]float64{}}
	ready := v.existing(func(i *Instance) bool { return i.State == Ready })
	for _, it := range ready {
		remaining.add(it)
	}
	slices.SortStableFunc(ready, func(a, b item) int { return cmp.Compare(b.cost/b.capacity, a.cost/a.capacity) })
	allowed := max(1, int(drainShare*float64(len(ready)))) - v.draining
	var drains []string
	for _, it := range ready {
		if len(drains) >= allowed {
			break
		}
		if wanted[it.instance.ID] {
			continue
		}
		if rest := remaining.without(it); rest.sufficient(v.keep) {
			remaining = rest
			drains = append(drains, it.instance.ID)
		}
	}
	return drains
}

// without returns the sums of the mix without an item. The result lists no items and has no cost.
func (m mix) without(it item) mix {
	rest := mix{byDomain: map[string]float64{}, total: m.total - it.capacity, onDemand: m.onDemand}
	for d, c := range m.byDomain {
		rest.byDomain[d] = c
	}
	rest.byDomain[it.domain] -= it.capacity
	for _, c := range rest.byDomain {
		rest.largest = max(rest.largest, c)
	}
	if it.onDemand {
		rest.onDemand -= it.capacity
	}
	return rest
}

func (m *mix) sufficient(need float64) bool {
	return m.afterLoss() >= need-roundingTolerance && m.onDemand >= onDemandFloor*need-roundingTolerance
}

// loads returns as many loads of unloaded instances as the weight store can serve within loadWindow, in the order of
// unloadedByCoverage.
func (in *Input) loads(now time.Time) []Load {
	pending := 0.0 // bytes
	for i := range in.Instances {
		if in.Instances[i].State == Loading {
			pending += in.weight(&in.Instances[i])
		}
	}
	window := in.WeightRate * loadWindow.Seconds()
	var loads []Load
	for _, inst := range in.unloadedByCoverage(now) {
		weight := in.weight(inst)
		if in.WeightRate > 0 && pending > 0 && pending+weight > window {
			break
		}
		pending += weight
		loads = append(loads, Load{Instance: inst.ID, Service: inst.Service, Version: inst.Version})
	}
	return loads
}

func (in *Input) demandOf(i *Instance) *Demand {
	for d := range in.Demands {
		if in.Demands[d].Service == i.Service && in.Demands[d].Version == i.Version {
			return &in.Demands[d]
		}
	}
	return nil
}

func (in *Input) weight(i *Instance) float64 {
	if d := in.demandOf(i); d != nil {
		return d.WeightBytes
	}
	return 0
}

// unloadedByCoverage returns the unloaded instances in the order of loading. The next one is always for the version
// with the least ready and loading capacity relative to its expected rate.
func (in *Input) unloadedByCoverage(now time.Time) []*Instance {
	type key struct{ service, version string }
	ready := map[key]float64{}
	unloaded := map[key][]*Instance{}
	for i := range in.Instances {
		inst := &in.Instances[i]
		k := key{inst.Service, inst.Version}
		switch inst.State {
		case Ready, Loading:
			ready[k] += inst.Capacity
		case Unloaded:
			unloaded[k] = append(unloaded[k], inst)
		}
	}
	var order []*Instance
	for {
		lowest, best := math.Inf(1), key{}
		for i := range in.Demands {
			d := &in.Demands[i]
			k := key{d.Service, d.Version}
			rate := max(d.rate(now, in.StartTime), neededRate)
			if c := ready[k] / rate; len(unloaded[k]) > 0 && c < lowest {
				lowest, best = c, k
			}
		}
		if math.IsInf(lowest, 1) {
			return order
		}
		next := unloaded[best][0]
		unloaded[best] = unloaded[best][1:]
		ready[best] += next.Capacity
		order = append(order, next)
	}
}
