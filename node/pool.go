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
	// planInterval is the pace of plans; a reclaim leaves 2 to 3 s.
	planInterval = 250 * time.Millisecond
	// dryTime is how long a zone counts as dry after an order found none.
	dryTime = 1500 * time.Millisecond
	// bootMargin is added to the boot time before an order that brought nothing is repeated.
	bootMargin = 2 * time.Second
	// listStable is the time without a change, beside the pace of the list, after which the list of endpoints is believed
	// to be whole at the start.
	listStable = 1500 * time.Millisecond
	// settleLoad is how long a holder watches the load before a plan may shrink the pool that it found.
	settleLoad = 25 * time.Second
)

// sizer sizes the pools of all services while this instance holds the duty.
type sizer struct {
	n     *Node
	since time.Time
	next  time.Time
	pools map[string]*pool
}

// pool is the state of one service.
type pool struct {
	load    autoscale.Load
	found   float64 // need that the endpoints before the first order would cover
	count   int     // endpoints at the last look
	changed time.Time
	ordered map[target]ordered
	dry     map[string]time.Time // by zone: until when
}

// target is what one order is about.
type target struct {
	zone        string
	reclaimable bool
}

type ordered struct {
	count int
	at    time.Time
}

func newSizer(n *Node, now time.Time) *sizer {
	return &sizer{n: n, since: now, pools: map[string]*pool{}}
}

// work plans and orders. mayAct is asked right before each call.
func (s *sizer) work(ctx context.Context, token uint64, mayAct func() bool) {
	now := time.Now()
	table := s.n.table.Load()
	if table == nil || now.Before(s.next) {
		return
	}
	s.next = now.Add(planInterval)
	for _, service := range table.Services {
		if service.Scaling != nil && len(service.Scaling.ZonePrices) > 0 {
			s.size(ctx, service, token, mayAct, now)
		}
	}
}

func (s *sizer) size(ctx context.Context, service *routing.Service, token uint64, mayAct func() bool, now time.Time) {
	p := s.pools[service.Name]
	if p == nil {
		p = &pool{ordered: map[target]ordered{}, dry: map[string]time.Time{}}
		s.pools[service.Name] = p
	}
	input := s.input(service, p, now)
	if !p.isListed(now, listStable+s.n.watchPace(s.n.platform.Kinds.Endpoints)) {
		return
	}
	for i, want := range autoscale.Plan(input) {
		zone := input.Zones[i]
		s.order(ctx, p, service, target{zone.Name, true}, want.Reclaimable, zone.Reclaimable, token, mayAct, now)
		s.order(ctx, p, service, target{zone.Name, false}, want.OnDemand, zone.OnDemand, token, mayAct, now)
	}
}

// input counts the endpoints of each zone and takes the need from the load.
func (s *sizer) input(service *routing.Service, p *pool, now time.Time) autoscale.Service {
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
		in.Zones = append(in.Zones, autoscale.Zone{Name: zone, Price: c.ZonePrices[zone]})
	}
	total := 0
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
	p.note(total, autoscale.Covered(in.Zones), now)
	p.load.Observe(s.n.work.total(service.Name, now), now)
	in.Need = p.load.Need()
	if now.Sub(s.since) < settleLoad {
		in.Need = max(in.Need, p.found)
	}
	return in
}

// note takes over the number of endpoints and the need that they cover. Until the first order, the pool that was found
// stands for the load.
func (p *pool) note(total int, covered float64, now time.Time) {
	if total != p.count {
		p.count, p.changed = total, now
	}
	if len(p.ordered) == 0 {
		p.found = covered
	}
}

// isListed reports whether the list of endpoints seems whole, so that a plan may follow from it.
func (p *pool) isListed(now time.Time, stable time.Duration) bool {
	return len(p.ordered) > 0 || p.count > 0 && now.Sub(p.changed) >= stable
}

// order sends an order when the wanted number has changed, or when the last one did not bring it in time.
func (s *sizer) order(ctx context.Context, p *pool, service *routing.Service, t target, want, have int, token uint64, mayAct func() bool, now time.Time) {
	last, known := p.ordered[t]
	switch {
	case known && last.count == want && (have == want || now.Sub(last.at) < service.Scaling.Boot+bootMargin):
		return
	case !known && want == have:
		return
	case t.reclaimable && now.Before(p.dry[t.zone]) && want >= have:
		return
	case !mayAct():
		return
	}
	err := s.n.platform.API.Order(ctx, token, Order{Service: service.Name, Zone: t.zone, Desired: want, Reclaimable: t.reclaimable})
	log := s.n.log.WithFields(logrus.Fields{
		"service": service.Name, "zone": t.zone, "reclaimable": t.reclaimable, "want": want, "have": have, "need": p.load.Need(),
	})
	switch {
	case errors.Is(err, ErrNoneAvailable):
		p.dry[t.zone] = now.Add(dryTime)
		log.Info("order found no endpoints")
	case err != nil:
		delete(p.ordered, t)
		log.WithError(err).Info("order failed")
	default:
		p.ordered[t] = ordered{count: want, at: now}
		log.Info("endpoints ordered")
	}
}
