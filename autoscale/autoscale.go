// Package autoscale plans how many endpoints of a service run in each zone. It has no side effects: it computes the
// wanted numbers from the state of the pool and the load.
//
// Reclaimable endpoints cost a fraction of on-demand ones, but the platform may reclaim those of a whole zone at once
// and offer no replacement for some seconds. The plan has enough of them to lose any one zone, and adds on-demand
// endpoints while some reclaimable ones are not available.
package autoscale

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Zone describes the endpoints of a service in one zone.
type Zone struct {
	Name        string
	Price       float64 // of an on-demand endpoint
	OnDemand    int     // on-demand endpoints that take work
	Reclaimable int     // reclaimable endpoints that take work
	Evacuated   bool    // its endpoints may not take work
}

// Service holds the limits, prices, zones and load of one service, from which Plan computes the wanted numbers.
type Service struct {
	Min, Max         int     // endpoints of both kinds in each zone
	ReclaimablePrice float64 // as a fraction of the on-demand price; 0 where none are offered
	Zones            []Zone  // in the same order at each call
	Need             float64
	// ReclaimableRatio is the number of reclaimable endpoints planned for each one that is needed; see Reclaims.
	ReclaimableRatio float64
}

// Want is the number of endpoints wanted in a zone.
type Want struct{ OnDemand, Reclaimable int }

// Plan returns the wanted numbers of each zone, in the order of s.Zones. With these, at least s.Need endpoints remain
// after the loss of the zone with the most reclaimable ones, as far as s.Max permits.
func Plan(s Service) []Want {
	wants := make([]Want, len(s.Zones))
	need := max(1, roundUp(s.Need))
	if s.ReclaimablePrice > 0 && s.ReclaimablePrice < 1 && len(s.Zones) > 1 {
		each := perZone(roundUp(s.Need*s.ReclaimableRatio), len(s.Zones))
		for i := range wants {
			wants[i].Reclaimable = min(each, s.Max)
		}
	}
	s.addOnDemand(wants, need)
	s.enforceMinimum(wants)
	return wants
}

// CoveredNeed returns the need for which Plan would leave a pool unchanged: its endpoints without the zone whose loss the plan
// covers and without the surplus of reclaimable endpoints. ratio is the ReclaimableRatio of the plan. If some but not all zones
// have no reclaimable endpoints, these zones have just been reclaimed. They count as if they had as many as the others,
// and the on-demand endpoints that replace them temporarily do not count in addition.
func CoveredNeed(zones []Zone, ratio float64) float64 {
	onDemand, reclaimable, largest, occupied := 0.0, 0.0, 0.0, 0
	for _, z := range zones {
		onDemand += float64(z.OnDemand)
		reclaimable += float64(z.Reclaimable)
		largest = max(largest, float64(z.Reclaimable))
		if z.Reclaimable > 0 {
			occupied++
		}
	}
	remainingShare := float64(len(zones)-1) / float64(max(1, len(zones)))
	running := (onDemand + reclaimable/ratio) * remainingShare
	if occupied == 0 || occupied == len(zones) {
		return running
	}
	beforeReclaim := reclaimable / ratio * float64(len(zones)) / float64(occupied) * remainingShare
	plannedNeed := onDemand + reclaimable - largest // the need up to which addOnDemand has added endpoints
	return max(beforeReclaim, min(running, plannedNeed))
}

// roundUp rounds up. The need that CoveredNeed returns times its ratio may be a little above a whole number, by which the
// pool must not grow.
func roundUp(x float64) int { return int(math.Ceil(x - 1e-9)) }

// perZone returns the number of reclaimable endpoints in each zone with which need endpoints remain after the loss of
// one zone.
func perZone(need, zones int) int { return (need + zones - 2) / (zones - 1) }

// addOnDemand adds on-demand endpoints for the need that the running reclaimable ones don't cover. Ordered endpoints
// don't count, so that an on-demand endpoint is removed only after its replacement is running.
func (s *Service) addOnDemand(wants []Want, need int) {
	ready, largest := 0, 0
	for i, z := range s.Zones {
		n := min(z.Reclaimable, wants[i].Reclaimable)
		ready += n
		largest = max(largest, n)
	}
	missing := need - (ready - largest)
	for _, i := range s.cheapest() {
		for missing > 0 && wants[i].OnDemand+min(s.Zones[i].Reclaimable, wants[i].Reclaimable) < s.Max {
			wants[i].OnDemand++
			missing--
			if wants[i].OnDemand >= s.maxOnDemandPerZone(need) {
				break
			}
		}
	}
}

// maxOnDemandPerZone returns the most on-demand endpoints that addOnDemand adds to a zone, so that they spread evenly.
func (s *Service) maxOnDemandPerZone(need int) int { return max(1, (need+len(s.Zones)-1)/len(s.Zones)) }

// enforceMinimum adds on-demand endpoints to the zones that are below s.Min.
func (s *Service) enforceMinimum(wants []Want) {
	for i := range wants {
		running := wants[i].OnDemand + min(s.Zones[i].Reclaimable, wants[i].Reclaimable)
		if missing := s.Min - running; missing > 0 {
			wants[i].OnDemand += missing
		}
	}
}

// cheapest returns the indexes of the zones in the order of their on-demand price, lowest first.
func (s *Service) cheapest() []int {
	order := make([]int, len(s.Zones))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.Zones[a].Price, s.Zones[b].Price) })
	return order
}

const (
	// peakWindow is how long the highest load counts: the need falls only after the load has been lower for this long.
	peakWindow = 20 * time.Second
	// needHalfLife is the time in which the need falls to half at most: the prompts that removed endpoints have cached
	// must be processed again, which raises the load for a while.
	needHalfLife = 15 * time.Second
	// targetUtilization is the fraction of the endpoints' time that the load may take. Above it the latency of first
	// events grows faster than the cost of endpoints falls.
	targetUtilization = 0.7
)

// Load computes the need of a service from its measured work. It isn't safe for concurrent use.
type Load struct {
	samples []sample
	need    float64 // at the latest call of Need
	needAt  time.Time
}

type sample struct {
	at   time.Time
	work float64
}

// Observe records the work at the time now, in endpoint-seconds a second.
func (l *Load) Observe(work float64, now time.Time) {
	l.samples = append(l.samples, sample{now, work})
	l.samples = slices.DeleteFunc(l.samples, func(s sample) bool { return now.Sub(s.at) > peakWindow })
}

// Need returns the number of endpoints required for the highest load within peakWindow. It is at least floor, and falls
// only slowly.
func (l *Load) Need(floor float64, now time.Time) float64 {
	highest := 0.0
	for _, s := range l.samples {
		highest = max(highest, s.work)
	}
	need := max(floor, highest/targetUtilization)
	if !l.needAt.IsZero() {
		need = max(need, l.need*math.Exp2(-now.Sub(l.needAt).Seconds()/needHalfLife.Seconds()))
	}
	l.need, l.needAt = need, now
	return need
}
