package pool

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The day model simulates a planning policy over 24 h in steps of a minute.
const (
	dayStep        = time.Minute
	dayStart       = 3 * time.Minute // from a request until the instance is on the list
	dayCapacity    = 10.0            // requests a second of an instance
	dayDrain       = 2               // minutes until a drained instance is idle
	dayRefusalTime = 45              // minutes for which a lost failure domain refuses starts
	dayWarmUp      = 60              // minutes simulated before midnight and not counted
	dayMinutes     = 24 * 60
	dayWeight      = 1.0 // bytes; the weight store serves one instance a minute
)

// dayPrices holds the prices of an instance in currency units per hour by failure domain: reclaimable, on demand.
var dayPrices = map[string][2]float64{"fd1": {0.30, 1.00}, "fd2": {0.34, 1.05}, "fd3": {0.38, 1.10}, "fd4": {0.55, 1.15}}

func dayOffers() []Offer {
	var offers []Offer
	for fd, prices := range dayPrices {
		for i, price := range prices {
			id := fmt.Sprintf("%s-%d", fd, i)
			offers = append(offers, Offer{ID: id, FailureDomain: fd, Price: price, Reclaimable: i == 0, Capacity: dayCapacity})
		}
	}
	slices.SortFunc(offers, func(a, b Offer) int { return cmp.Compare(a.ID, b.ID) })
	return offers
}

// rateCurve returns the usual rate in requests a second at a minute of the day.
type rateCurve func(minute int) float64

func ramp(minute, from, to int) float64 {
	return min(max(float64(minute-from)/float64(to-from), 0), 1)
}

// allDay is the mix of the traffic of two teams between 6:00 and 20:00.
func allDay(m int) float64 {
	return 1 + 30*ramp(m, 350, 400) + 25*ramp(m, 480, 540) - 25*ramp(m, 840, 900) - 30*ramp(m, 1170, 1230)
}

// dawnPeak has its peak between 4:10 and 6:00.
func dawnPeak(m int) float64 { return 3 + 45*ramp(m, 230, 250) - 45*ramp(m, 360, 390) }

// reclaimWave is the loss of all instances of a failure domain at a minute of the day.
type reclaimWave struct {
	minute int
	domain string
}

// day is one run of the day model.
type day struct {
	rng          *rand.Rand
	in           Input
	usualRate    rateCurve
	dayFactor    float64 // ratio of today's rates to the usual ones
	noise        float64
	waves        []reclaimWave
	refuseChance float64 // chance that a start is refused
	refusesUntil map[string]int
	readyAt      map[string]int // minute of the next change of state, by instance
	history      []float64
	seq          int
	cost         float64
	refused      int // minutes in which the rate exceeded the usable capacity
}

func newDay(seed uint64, usual rateCurve, offers []Offer, waves []reclaimWave) *day {
	rng := rand.New(rand.NewPCG(seed, 7))
	d := &day{
		rng: rng, usualRate: usual, waves: waves, refuseChance: 0.2, dayFactor: 0.95 + 0.1*rng.Float64(),
		refusesUntil: map[string]int{}, readyAt: map[string]int{},
		in: Input{Offers: slices.Clone(offers), StartTime: dayStart, WeightRate: dayWeight / dayStep.Seconds()},
	}
	demand := Demand{
		Service: "chat", Version: "v1", MaxShare: 1, Needed: true,
		Latency: 600 * time.Millisecond, Target: 1900 * time.Millisecond, WeightBytes: dayWeight,
	}
	yesterday := 0.95 + 0.1*rng.Float64()
	for i := range demand.Profile {
		for m := range 10 {
			demand.Profile[i] = max(demand.Profile[i], yesterday*usual(i*10+m))
		}
	}
	d.in.Demands = []Demand{demand}
	return d
}

func (d *day) run(policy func(time.Time, Input) Plan) *day {
	midnight := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)
	for m := -dayWarmUp; m < dayMinutes; m++ {
		now := midnight.Add(time.Duration(m) * dayStep)
		d.reclaim(m)
		d.progress(m)
		rate := d.demand(m)
		d.account(m, rate)
		d.apply(m, now, policy(now, d.in))
	}
	return d
}

func (d *day) demand(m int) float64 {
	if m%10 == 0 {
		d.noise = 0.95 + 0.1*d.rng.Float64()
	}
	rate := d.usualRate((m+dayMinutes)%dayMinutes) * d.dayFactor * d.noise
	d.history = append(d.history, rate)
	d.in.Demands[0].RecentRate = slices.Max(d.history[max(0, len(d.history)-10):])
	return rate
}

func (d *day) account(m int, rate float64) {
	if m < 0 {
		return
	}
	ready := 0.0
	for _, i := range d.in.Instances {
		d.cost += i.Price / 60
		if i.State == Ready {
			ready += i.Capacity
		}
	}
	if rate > ready*d.in.Demands[0].usable() {
		d.refused++
	}
}

// reclaim removes the instances of a failure domain at the notice, since they get no new work from then on.
func (d *day) reclaim(m int) {
	for _, w := range d.waves {
		if w.minute == m {
			d.refusesUntil[w.domain] = m + dayRefusalTime
			d.in.Instances = slices.DeleteFunc(d.in.Instances, func(i Instance) bool { return i.FailureDomain == w.domain })
		}
	}
}

func (d *day) progress(m int) {
	for k := range d.in.Instances {
		i := &d.in.Instances[k]
		if m < d.readyAt[i.ID] {
			continue
		}
		switch i.State {
		case Starting:
			i.State = Unloaded
		case Loading:
			i.State = Ready
		case Draining:
			i.Idle = true
		}
	}
}

func (d *day) apply(m int, now time.Time, p Plan) {
	for _, s := range p.Starts {
		d.start(m, now, s)
	}
	for k := range d.in.Instances {
		i := &d.in.Instances[k]
		if slices.Contains(p.Drains, i.ID) {
			i.State, d.readyAt[i.ID] = Draining, m+dayDrain
		}
		for _, l := range p.Loads {
			if l.Instance == i.ID {
				i.State, d.readyAt[i.ID] = Loading, m+1
			}
		}
	}
	d.in.Instances = slices.DeleteFunc(d.in.Instances, func(i Instance) bool { return slices.Contains(p.Stops, i.ID) })
}

func (d *day) start(m int, now time.Time, s Start) {
	o := &d.in.Offers[slices.IndexFunc(d.in.Offers, func(o Offer) bool { return o.ID == s.Offer.ID })]
	until, lost := d.refusesUntil[o.FailureDomain]
	if (lost && m < until) || d.rng.Float64() < d.refuseChance {
		o.Refusals, o.LastRefusal = o.Refusals+1, now
		return
	}
	o.Refusals = 0
	d.seq++
	i := Instance{
		ID: fmt.Sprint("i", d.seq), Service: s.Service, Version: s.Version, FailureDomain: o.FailureDomain,
		Price: o.Price, Reclaimable: o.Reclaimable, Capacity: o.Capacity, State: Starting,
	}
	d.in.Instances = append(d.in.Instances, i)
	d.readyAt[i.ID] = m + int(dayStart/dayStep)
}

// cheapestOnly is a policy for comparison. It requests the cheapest offer for each missing instance and doesn't spread
// instances over failure domains.
func cheapestOnly(now time.Time, in Input) Plan {
	p := Plan{Loads: in.loads(now), Stops: in.stops()}
	v := in.planVersion(now, &in.Demands[0])
	total, best := 0.0, item{cost: math.Inf(1)}
	for _, i := range v.instances {
		total += i.Capacity
	}
	for _, it := range v.offers {
		if it.cost < best.cost {
			best = it
		}
	}
	for have := total; have < v.need && best.offer != nil; have += best.capacity {
		p.Starts = append(p.Starts, Start{Offer: *best.offer, Service: "chat", Version: "v1"})
	}
	ready := v.existing(func(i *Instance) bool { return i.State == Ready })
	if len(ready) > 1 && v.draining == 0 && total-ready[0].capacity >= v.keep {
		p.Drains = []string{ready[0].instance.ID}
	}
	return p
}
