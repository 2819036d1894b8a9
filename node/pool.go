package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/autoscale"
	"github.com/trefoillug/trefoillug/routing"
)

const (
	// planInterval is the time between plans; a reclaim is announced 2 to 3 s ahead.
	planInterval = 250 * time.Millisecond
	// zoneUnavailableTime is how long a zone counts as having no reclaimable endpoints after an order found none.
	zoneUnavailableTime = 1500 * time.Millisecond
	// shrinkInterval is the shortest time between two orders that shrink the endpoints of a zone, each of which changes
	// the endpoint list of all instances.
	shrinkInterval = 2 * time.Second
	// bootMargin is added to the boot time before an order that had no effect is repeated.
	bootMargin = 2 * time.Second
	// listStableTime plus the pace of the watches is how long the endpoint list must be unchanged at the start before it
	// is assumed to be complete.
	listStableTime = 1500 * time.Millisecond
	// loadSettleTime is how long a new holder measures the load before a plan may shrink the pool that it found.
	loadSettleTime = 25 * time.Second
)

// sizer sizes the pools of all services while this instance holds the duties.
type sizer struct {
	n        *Node
	start    time.Time
	nextPlan time.Time
	pools    map[string]*pool
}

// pool is the state of the pool of one service.
type pool struct {
	load             autoscale.Load
	initialNeed      float64   // need that the endpoints covered before the first order
	need             float64   // at the latest plan
	endpoints        int       // at the last check
	changed          time.Time // when the number of endpoints last changed
	lastOrders       map[orderTarget]sentOrder
	unavailableUntil map[string]time.Time // by zone
}

// orderTarget is the zone and the kind of endpoint that an order applies to.
type orderTarget struct {
	zone        string
	reclaimable bool
}

type sentOrder struct {
	desired int
	at      time.Time
}

func newSizer(n *Node, now time.Time) *sizer {
	return &sizer{n: n, start: now, pools: map[string]*pool{}}
}

// tick makes a plan for each service and sends its orders. mayAct is called right before each order.
func (s *sizer) tick(ctx context.Context, token uint64, mayAct func() bool) {
	now := time.Now()
	table := s.n.table.Load()
	if table == nil || now.Before(s.nextPlan) {
		return
	}
	s.nextPlan = now.Add(planInterval)
	for _, service := range table.Services {
		if service.Scaling != nil && len(service.Scaling.ZonePrices) > 0 {
			s.sizePool(ctx, service, token, mayAct, now)
		}
	}
}

func (s *sizer) sizePool(ctx context.Context, service *routing.Service, token uint64, mayAct func() bool, now time.Time) {
	p := s.pools[service.Name]
	if p == nil {
		p = &pool{lastOrders: map[orderTarget]sentOrder{}, unavailableUntil: map[string]time.Time{}}
		s.pools[service.Name] = p
	}
	input := s.planInput(service, p, now)
	if !p.isListComplete(now, listStableTime+s.n.watchPace(s.n.platform.Kinds.Endpoints)) {
		return
	}
	inService, mayShrink := input.InService(), s.mayShrink(service.Name, input.Zones, now)
	for i, want := range autoscale.PlanInService(input) {
		zone := inService.Zones[i]
		if !mayShrink {
			want = want.WithoutShrink(zone).WithoutShrink(p.ordered(zone.Name))
		}
		s.order(ctx, p, service, orderTarget{zone.Name, true}, want.Reclaimable, zone.Reclaimable, token, mayAct, now)
		s.order(ctx, p, service, orderTarget{zone.Name, false}, want.OnDemand, zone.OnDemand, token, mayAct, now)
	}
}

// planInput counts the endpoints of each zone and derives the need from the load.
func (s *sizer) planInput(service *routing.Service, p *pool, now time.Time) autoscale.Service {
	c := service.Scaling
	in := autoscale.Service{Min: c.Min, Max: c.Max, ReclaimablePrice: c.ReclaimablePrice}
	var zones []string
	for zone := range c.ZonePrices {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	index := map[string]int{}
	for i, zone := range zones {
		index[zone] = i
		in.Zones = append(in.Zones, autoscale.Zone{Name: zone, Price: c.ZonePrices[zone], Evacuated: s.n.fleet.IsZoneEvacuated(zone)})
	}
	total := s.n.fleet.Withheld(service.Name)
	for _, e := range s.n.fleet.Service(service.Name) {
		i, ok := index[e.Zone]
		switch {
		case !ok:
		case e.Reclaimable:
			in.Zones[i].Reclaimable++
		default:
			in.Zones[i].OnDemand++
		}
		total++
	}
	in.ReclaimableRatio = s.n.reclaims.ratio(service.Name, now)
	p.update(total, autoscale.CoveredNeed(in.Zones, in.ReclaimableRatio), now)
	p.load.Observe(s.n.load.total(service.Name, now)/s.n.forwarder.MeanCapacity(service.Name, now), now)
	floor := 0.0
	if now.Sub(s.start) < loadSettleTime {
		floor = p.initialNeed
	}
	p.need = p.load.Need(floor, now)
	in.Need = p.need
	return in
}

// update records the number of endpoints and, until the first order, the need that they cover. A new holder plans for
// at least that need while it still measures the load.
func (p *pool) update(total int, covered float64, now time.Time) {
	if total != p.endpoints {
		p.endpoints, p.changed = total, now
	}
	if len(p.lastOrders) == 0 {
		p.initialNeed = covered
	}
}

// isListComplete reports whether the endpoint list seems complete, so that a plan may be based on it.
func (p *pool) isListComplete(now time.Time, stable time.Duration) bool {
	return len(p.lastOrders) > 0 || p.endpoints > 0 && now.Sub(p.changed) >= stable
}

// order sends an order when the desired number has changed, or when the last order did not take effect in time.
func (s *sizer) order(ctx context.Context, p *pool, service *routing.Service, t orderTarget, want, have int, token uint64, mayAct func() bool, now time.Time) {
	last, ordered := p.lastOrders[t]
	switch {
	case ordered && last.desired == want && (have == want || now.Sub(last.at) < service.Scaling.StartupTime+bootMargin):
		return
	case !ordered && want == have:
		return
	case ordered && want < last.desired && now.Sub(last.at) < shrinkInterval:
		return
	case t.reclaimable && now.Before(p.unavailableUntil[t.zone]) && want >= have:
		return
	case !mayAct():
		return
	}
	err := s.n.platform.API.Order(ctx, token, Order{Service: service.Name, Zone: t.zone, Desired: want, Reclaimable: t.reclaimable})
	engines := s.n.forwarder.Speed(service.Name)
	log := s.n.log.WithFields(logrus.Fields{
		"service": service.Name, "zone": t.zone, "reclaimable": t.reclaimable, "want": want, "have": have, "need": p.need, "ratio": s.n.reclaims.ratio(service.Name, now),
		"tokens_per_ms": engines.PrefillRate, "step_us": engines.Step.Microseconds(), "generation_ms": engines.Generation.Milliseconds(),
		"capacity": s.n.forwarder.MeanCapacity(service.Name, now),
	})
	switch {
	case errors.Is(err, ErrNoneAvailable):
		p.unavailableUntil[t.zone] = now.Add(zoneUnavailableTime)
		log.Info("order found no available endpoints")
	case err != nil:
		delete(p.lastOrders, t)
		log.WithError(err).Info("order failed")
	default:
		p.lastOrders[t] = sentOrder{desired: want, at: now}
		log.Info("endpoints ordered")
	}
}
