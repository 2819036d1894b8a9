package pool

import (
	"cmp"
	"math"
	"slices"
)

const (
	// onDemandFloor is the least share of the needed capacity on instances that can't be reclaimed. It covers waves of
	// reclaims in several failure domains in succession.
	onDemandFloor = 0.2
	// keepDiscount is the factor on the price of existing instances. Only clearly cheaper offers replace them, because
	// a replacement pays for starting and loading again.
	keepDiscount = 0.8
	// roundingTolerance absorbs rounding in sums of capacities.
	roundingTolerance = 1e-9
)

// item is a candidate for a mix: an existing instance, or an offer, which can be used any number of times.
type item struct {
	instance *Instance // nil for an offer
	offer    *Offer
	domain   string
	capacity float64
	cost     float64
	onDemand bool
}

func itemOfInstance(i *Instance) item {
	return item{instance: i, domain: i.FailureDomain, capacity: i.Capacity, cost: i.Price * keepDiscount, onDemand: !i.Reclaimable}
}

func itemOfOffer(o *Offer) item {
	return item{offer: o, domain: o.FailureDomain, capacity: o.Capacity, cost: o.Price, onDemand: !o.Reclaimable}
}

// mix is a set of items with the sums of their capacities and costs.
type mix struct {
	items    []item
	byDomain map[string]float64 // capacity
	largest  float64            // capacity of the largest failure domain
	total    float64
	onDemand float64 // capacity
	cost     float64
}

func (m *mix) add(it item) {
	m.items = append(m.items, it)
	m.byDomain[it.domain] += it.capacity
	m.largest = max(m.largest, m.byDomain[it.domain])
	m.total += it.capacity
	m.cost += it.cost
	if it.onDemand {
		m.onDemand += it.capacity
	}
}

// afterLoss returns the capacity that remains when the largest failure domain is lost.
func (m *mix) afterLoss() float64 { return m.total - m.largest }

// cheapestMix returns the cheapest set of items whose capacity after the loss of any failure domain is at least need.
// In the cheapest mix over k domains nearly all of them have a capacity of need/(k-1), so only such upper bounds on the
// capacity of a domain are tried. If no set suffices, it returns the one with the most capacity after a loss.
func cheapestMix(items []item, need float64) mix {
	slices.SortStableFunc(items, func(a, b item) int {
		return cmp.Or(cmp.Compare(a.cost/a.capacity, b.cost/b.capacity), cmp.Compare(a.domain, b.domain))
	})
	best := mix{byDomain: map[string]float64{}}
	if need <= 0 {
		return best
	}
	found := false
	for _, bound := range domainBounds(items, need) {
		m := fill(items, need, bound)
		ok := m.afterLoss() >= need-roundingTolerance
		better := m.cost < best.cost
		if !ok {
			better = m.afterLoss() > best.afterLoss() || (m.afterLoss() == best.afterLoss() && m.total > best.total)
		}
		if (ok && !found) || (ok == found && better) {
			best, found = m, ok
		}
	}
	return best
}

// domainBounds returns the upper bounds on the capacity of a failure domain that cheapestMix tries.
func domainBounds(items []item, need float64) []float64 {
	domains := map[string]bool{}
	units := map[float64]bool{}
	for _, it := range items {
		domains[it.domain] = true
		units[it.capacity] = true
	}
	var bounds []float64
	for k := 1; k <= max(1, len(domains)-1); k++ {
		for unit := range units {
			count := math.Ceil(need/float64(k)/unit - roundingTolerance)
			bounds = append(bounds, count*unit, (count+1)*unit)
		}
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// fill adds the cheapest items until the need is met: first on-demand ones up to their floor, then any. No failure
// domain exceeds bound.
func fill(items []item, need, bound float64) mix {
	m := mix{items: make([]item, 0, len(items)), byDomain: map[string]float64{}}
	used := make([]bool, len(items))
	addWhile := func(wanted func(item) bool, enough func() bool) {
		for i, it := range items {
			for wanted(it) && !used[i] && !enough() && m.byDomain[it.domain]+it.capacity <= bound+roundingTolerance {
				m.add(it)
				used[i] = it.instance != nil
			}
		}
	}
	addWhile(func(it item) bool { return it.onDemand },
		func() bool { return m.onDemand >= onDemandFloor*need-roundingTolerance })
	addWhile(func(item) bool { return true }, func() bool { return m.afterLoss() >= need-roundingTolerance })
	return m
}
