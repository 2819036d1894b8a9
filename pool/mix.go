package pool

import (
	"cmp"
	"math"
	"slices"
)

const (
	// onDemandFloor is the share of the need on instances that aren't reclaimed, against waves in several failure
	// domains in succession.
	onDemandFloor = 0.2
	// keepDiscount lowers the price of instances that exist, so that only clearly cheaper offers replace them:
	// a replacement pays for start and load twice.
	keepDiscount = 0.8
	// tolerance absorbs rounding in sums of capacities.
	tolerance = 1e-9
)

// item is something that can be part of a mix: an instance, or any number of an offer's.
type item struct {
	instance *Instance // nil: of the offer
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

// mix is a set of items.
type mix struct {
	items    []item
	byDomain map[string]float64 // capacity
	largest  float64            // of byDomain
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
// In the cheapest spread over k domains nearly all of them hold need/(k-1), so only such bounds for the capacity of a
// domain are tried. When no set suffices, it returns the one with the most capacity after a loss.
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
		ok := m.afterLoss() >= need-tolerance
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

// domainBounds returns the bounds to try for the capacity of a failure domain.
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
			count := math.Ceil(need/float64(k)/unit - tolerance)
			bounds = append(bounds, count*unit, (count+1)*unit)
		}
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// fill takes the cheapest items, on-demand ones first up to their floor, until the need is met.
func fill(items []item, need, bound float64) mix {
	m := mix{items: make([]item, 0, len(items)), byDomain: map[string]float64{}}
	used := make([]bool, len(items))
	pass := func(wanted func(item) bool, enough func() bool) {
		for i, it := range items {
			for wanted(it) && !used[i] && !enough() && m.byDomain[it.domain]+it.capacity <= bound+tolerance {
				m.add(it)
				used[i] = it.instance != nil
			}
		}
	}
	pass(func(it item) bool { return it.onDemand }, func() bool { return m.onDemand >= onDemandFloor*need-tolerance })
	pass(func(item) bool { return true }, func() bool { return m.afterLoss() >= need-tolerance })
	return m
}
