package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// drainShare is the share of a version's ready instances that may drain at once, so that a wrong forecast costs
	// little capacity before the next plan sees it.
	drainShare = 0.1
	// firstBackOff and maxBackOff bound the time for which an offer is passed over after refused starts; it doubles
	// with each refusal.
	firstBackOff = 30 * time.Second
	maxBackOff   = 15 * time.Minute
	// loadWindow is how far ahead loads are ordered, so that the store is kept busy without sharing its rate among
	// many instances that then all become ready late.
	loadWindow = 30 * time.Second
)

// Next returns the changes that bring the instances to what the demand needs.
func Next(now time.Time, in Input) Plan {
	var p Plan
	for i := range in.Demands {
		v := in.version(now, &in.Demands[i])
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

// version is the planning of one version of a service.
type version struct {
	demand    *Demand
	instances []*Instance // all but those that drain
	offers    []item      // not passed over
	draining  int
	need      float64 // capacity after a loss, until new instances could serve
	keep      float64 // capacity after a loss, before instances are drained
	wanted    mix     // for need
}

func (in *Input) version(now time.Time, d *Demand) *version {
	v := &version{demand: d}
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
		if (o.Service == "" || o.Service == d.Service) && o.Capacity > 0 && !o.passedOver(now) {
			v.offers = append(v.offers, itemOfOffer(o))
		}
	}
	have := mix{byDomain: map[string]float64{}}
	for _, i := range v.instances {
		have.add(itemOfInstance(i))
	}
	v.need = in.need(now, d, have.afterLoss(), v.unit())
	v.keep = max(v.need, d.rate(now, keepAhead)/d.usable())
	v.wanted = cheapestMix(v.all(), v.need)
	return v
}

// passedOver reports whether the offer's starts were refused lately.
func (o *Offer) passedOver(now time.Time) bool {
	if o.Refusals == 0 {
		return false
	}
	wait := min(firstBackOff<<min(o.Refusals-1, 10), maxBackOff)
	return now.Before(o.LastRefusal.Add(wait))
}

func (v *version) existing(include func(*Instance) bool) []item {
	var items []item
	for _, i := range v.instances {
		if include(i) {
			items = append(items, itemOfInstance(i))
		}
	}
	return items
}

// unit returns the capacity of the smallest instance that can be requested.
func (v *version) unit() float64 {
	unit := math.Inf(1)
	for _, it := range v.offers {
		unit = min(unit, it.capacity)
	}
	return unit
}

func (v *version) all() []item {
	return append(v.existing(func(*Instance) bool { return true }), v.offers...)
}

func (v *version) starts() []Start {
	var starts []Start
	for _, it := range v.wanted.items {
		if it.offer != nil {
			starts = append(starts, Start{Offer: *it.offer, Service: v.demand.Service, Version: v.demand.Version})
		}
	}
	return starts
}

// drains returns ready instances that the cheapest mix does without, dearest first, as long as the ready ones that
// remain suffice without any failure domain.
func (v *version) drains() []string {
	kept := v.wanted
	if v.keep > v.need {
		kept = cheapestMix(v.all(), v.keep)
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
		if less := remaining.without(it); less.sufficient(v.keep) {
			remaining = less
			drains = append(drains, it.instance.ID)
		}
	}
	return drains
}

// without returns the mix less one item. Its items are not kept.
func (m mix) without(it item) mix {
	less := mix{byDomain: map[string]float64{}, total: m.total - it.capacity, onDemand: m.onDemand}
	for d, c := range m.byDomain {
		less.byDomain[d] = c
	}
	less.byDomain[it.domain] -= it.capacity
	for _, c := range less.byDomain {
		less.largest = max(less.largest, c)
	}
	if it.onDemand {
		less.onDemand -= it.capacity
	}
	return less
}

func (m *mix) sufficient(need float64) bool {
	return m.afterLoss() >= need-tolerance && m.onDemand >= onDemandFloor*need-tolerance
}

// loads orders bare instances to load, the version with the least ready capacity for its need first, as far as the
// weight store can serve them soon.
func (in *Input) loads(now time.Time) []Load {
	pending := 0.0 // bytes
	for i := range in.Instances {
		if in.Instances[i].State == Loading {
			pending += in.weight(&in.Instances[i])
		}
	}
	window := in.WeightRate * loadWindow.Seconds()
	var loads []Load
	for _, inst := range in.bareByCoverage(now) {
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

// bareByCoverage returns the instances to load, alternating so that versions are covered evenly.
func (in *Input) bareByCoverage(now time.Time) []*Instance {
	type key struct{ service, version string }
	ready := map[key]float64{}
	bare := map[key][]*Instance{}
	for i := range in.Instances {
		inst := &in.Instances[i]
		k := key{inst.Service, inst.Version}
		switch inst.State {
		case Ready, Loading:
			ready[k] += inst.Capacity
		case Bare:
			bare[k] = append(bare[k], inst)
		}
	}
	var order []*Instance
	for {
		least, best := math.Inf(1), key{}
		for i := range in.Demands {
			d := &in.Demands[i]
			k := key{d.Service, d.Version}
			rate := max(d.rate(now, in.StartTime), neededRate)
			if c := ready[k] / rate; len(bare[k]) > 0 && c < least {
				least, best = c, k
			}
		}
		if math.IsInf(least, 1) {
			return order
		}
		next := bare[best][0]
		bare[best] = bare[best][1:]
		ready[best] += next.Capacity
		order = append(order, next)
	}
}
