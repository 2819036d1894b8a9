package pool

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	seeds      = flag.Int("seeds", 20, "seeds for each row of the day model")
	base       = flag.Uint64("seed", 1, "first seed of the day model")
	printTable = flag.Bool("table", false, "run the rows of the day model that have no bound as well")
)

type workload struct {
	name      string
	usualRate rateCurve
	peak      int // minute of the day
}

var workloads = []workload{{"all-day mix", allDay, 10 * 60}, {"dawn peak", dawnPeak, 4*60 + 30}}

var domains = []string{"fd1", "fd2", "fd3", "fd4"}

// wavesFor returns a reclaim wave at the peak, in a failure domain that changes with the seed, and further waves in
// random failure domains at random times, at least 90 minutes apart.
func wavesFor(w workload, seed uint64) []reclaimWave {
	rng := rand.New(rand.NewPCG(seed, 9))
	waves := []reclaimWave{{w.peak + rng.IntN(60), domains[seed%4]}}
	for m := rng.IntN(120); m < dayMinutes; m += 120 + rng.IntN(360) {
		if m < w.peak-90 || m > w.peak+150 {
			waves = append(waves, reclaimWave{m, domains[rng.IntN(4)]})
		}
	}
	return waves
}

func onDemandOffers() []Offer {
	var offers []Offer
	for _, o := range dayOffers() {
		if !o.Reclaimable {
			offers = append(offers, o)
		}
	}
	return offers
}

type dayTotals struct {
	cost        float64
	refused     int
	refusalDays int // days with a refusal minute
}

func (o *dayTotals) add(d *day) {
	o.cost += d.cost
	o.refused += d.refused
	if d.refused > 0 {
		o.refusalDays++
	}
}

// Guards against refusal minutes after the loss of a failure domain at the peak, and against a pool that costs as much
// as on-demand instances alone. The table rows of each workload are in docs/measurements.md.
func TestNextPlan_Day(t *testing.T) {
	for _, w := range workloads {
		var planned, onDemand, cheapest, twoWaves dayTotals
		for s := range uint64(*seeds) {
			seed := *base + s
			waves := wavesFor(w, seed)
			day := newDay(seed, w.usualRate, dayOffers(), waves).run(NextPlan)
			planned.add(day)
			must.EqOp(t, 0, day.refused, must.Sprint(w.name, ", seed ", seed, ", waves ", waves))
			if s >= 2 && !*printTable {
				continue
			}
			all := newDay(seed, w.usualRate, onDemandOffers(), waves).run(NextPlan)
			must.Less(t, all.cost, day.cost, must.Sprint(w.name, ", seed ", seed))
			onDemand.add(all)
			if !*printTable {
				continue
			}
			cheapest.add(newDay(seed, w.usualRate, dayOffers(), waves).run(cheapestOnly))
			again := append(waves, reclaimWave{waves[0].minute + 5, domains[(seed+1)%4]})
			twoWaves.add(newDay(seed, w.usualRate, dayOffers(), again).run(NextPlan))
		}
		if !*printTable {
			continue
		}
		for _, row := range []struct {
			name string
			dayTotals
		}{{"pool", planned}, {"all on-demand, spread", onDemand}, {"cheapest only", cheapest}, {"pool, second domain 5 min later", twoWaves}} {
			n := float64(*seeds)
			t.Logf("| %s | %s | %.1f | %.1f | %d of %d |", w.name, row.name, row.cost/n, float64(row.refused)/n, row.refusalDays, *seeds)
		}
	}
}

// Guards against a plan that, with all its starts granted, lacks capacity after the loss of a failure domain, and
// against drains that leave too few ready instances for that. A version that a move needs keeps at least one instance
// in each of two failure domains.
func TestNextPlan_SurvivesLossOfAnyDomain(t *testing.T) {
	now := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d := Demand{Service: "chat", Version: "v1", RecentRate: float64(rng.IntN(200)), MaxShare: rng.Float64(), Needed: true}
		if rng.IntN(4) == 0 {
			d.MaxShare = 0
		}
		in := Input{Demands: []Demand{d}, Offers: dayOffers()}
		for i := range rng.IntN(60) {
			in.Instances = append(in.Instances, Instance{
				ID: fmt.Sprint(i), Service: "chat", Version: "v1", FailureDomain: domains[rng.IntN(1+rng.IntN(4))],
				Price: rng.Float64(), Reclaimable: rng.IntN(2) == 0, Capacity: float64(5 + 5*rng.IntN(2)), State: State(rng.IntN(5)),
			})
		}
		p := NextPlan(now, in)
		need := max(d.RecentRate*growthFactor*d.MaxShare, neededRate) / defaultUsable
		future, ready := mix{byDomain: map[string]float64{}}, mix{byDomain: map[string]float64{}}
		for _, s := range p.Starts {
			future.add(itemOfOffer(&s.Offer))
		}
		for i := range in.Instances {
			if inst := &in.Instances[i]; inst.State != Draining && !slices.Contains(p.Drains, inst.ID) {
				future.add(itemOfInstance(inst))
				if inst.State == Ready {
					ready.add(itemOfInstance(inst))
				}
			}
		}
		// A wrong forecast may drain at most a tenth of the ready instances before the next plan.
		must.LessEq(t, max(1, (len(ready.items)+len(p.Drains))/10), len(p.Drains))
		must.True(t, future.sufficient(need), must.Sprint("after starts, seed ", seed))
		must.True(t, len(p.Drains) == 0 || ready.sufficient(need), must.Sprint("after drains, seed ", seed))
	}
}

// Guards against a refused offer that blocks other offers, is requested again before the end of its back-off, or isn't
// requested after it.
func TestNextPlan_RefusedOffersBackOff(t *testing.T) {
	now := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	in := Input{Demands: []Demand{{Service: "chat", Version: "v1", RecentRate: 10, MaxShare: 1}}, Offers: dayOffers()}
	uses := func(now time.Time, offer string) bool {
		return slices.ContainsFunc(NextPlan(now, in).Starts, func(s Start) bool { return s.Offer.ID == offer })
	}
	must.True(t, uses(now, "fd2-0"))
	in.Offers[2].Refusals, in.Offers[2].LastRefusal = 3, now
	must.False(t, uses(now, "fd2-0"))
	must.SliceNotEmpty(t, NextPlan(now, in).Starts)
	must.False(t, uses(now.Add(2*time.Minute-1), "fd2-0"))
	must.True(t, uses(now.Add(2*time.Minute), "fd2-0"))
}

// Guards against ordering all loads at once. They would share the weight store's rate, and all instances would become
// ready late.
func TestNextPlan_LoadsPaced(t *testing.T) {
	in := Input{WeightRate: 2, Demands: []Demand{
		{Service: "a", Version: "v1", RecentRate: 10, MaxShare: 1, WeightBytes: 30},
		{Service: "b", Version: "v1", RecentRate: 10, MaxShare: 1, WeightBytes: 30},
	}}
	for i := range 6 {
		in.Instances = append(in.Instances, Instance{ID: fmt.Sprint(i), Service: "a", Version: "v1", Capacity: 10, State: Unloaded})
	}
	in.Instances[0].State = Ready
	in.Instances[5].Service = "b"
	must.Eq(t, []Load{{"5", "b", "v1"}, {"1", "a", "v1"}}, NextPlan(time.Time{}, in).Loads)
	in.Instances[5].State, in.Instances[1].State = Loading, Loading
	must.SliceEmpty(t, NextPlan(time.Time{}, in).Loads)
}
