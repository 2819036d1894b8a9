package node

import (
	"context"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/autoscale"
)

// reclaimTick is how often each instance looks for reclaimed zones, which are away for many seconds.
const reclaimTick = time.Second

// reclaims estimates the ratio of reclaimable endpoints of each service. All instances do so, since any may become the
// holder of the duties.
type reclaims struct {
	mu        sync.Mutex
	byService map[string]*autoscale.Reclaims
}

// observeReclaims records which zones have reclaimable endpoints.
func (n *Node) observeReclaims(context.Context) {
	table, now := n.table.Load(), time.Now()
	if table == nil || !n.settings.SizePool || !isClosed(n.feeds[n.platform.Kinds.Endpoints].Ready()) {
		return
	}
	for name, service := range table.Services {
		if service.Scaling == nil || len(service.Scaling.ZonePrices) == 0 {
			continue
		}
		running := map[string]int{}
		for _, e := range n.fleet.Service(name) {
			if e.Reclaimable {
				running[e.Zone]++
			}
		}
		var zones []autoscale.Zone
		for zone := range service.Scaling.ZonePrices {
			zones = append(zones, autoscale.Zone{Name: zone, Reclaimable: running[zone]})
		}
		n.reclaims.observe(name, zones, now)
	}
}

func (r *reclaims) observe(service string, zones []autoscale.Zone, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byService == nil {
		r.byService = map[string]*autoscale.Reclaims{}
	}
	if r.byService[service] == nil {
		r.byService[service] = &autoscale.Reclaims{}
	}
	r.byService[service].Observe(zones, now)
}

func (r *reclaims) ratio(service string, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if estimate := r.byService[service]; estimate != nil {
		return estimate.Ratio(now)
	}
	return new(autoscale.Reclaims).Ratio(now)
}
