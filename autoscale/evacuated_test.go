package autoscale_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/autoscale"
)

// Guards against an evacuated zone whose endpoints count as capacity, or which gets orders, and against other zones that
// are not extended at once.
func TestService_InService(t *testing.T) {
	for need := 1.0; need <= 40; need += 3 {
		s := autoscale.Service{Min: 1, Max: 100, ReclaimablePrice: 0.3, Need: need, Zones: []autoscale.Zone{
			{Name: "a", Price: 1}, {Name: "b", Price: 2}, {Name: "c", Price: 1}, {Name: "d", Price: 1},
		}}
		for i, w := range autoscale.Plan(s) {
			s.Zones[i].OnDemand, s.Zones[i].Reclaimable = w.OnDemand, w.Reclaimable
		}
		for i := range s.Zones {
			evacuated := s
			evacuated.Zones = append([]autoscale.Zone{}, s.Zones...)
			evacuated.Zones[i] = autoscale.Zone{Name: s.Zones[i].Name, Price: s.Zones[i].Price, Evacuated: true}
			left := evacuated.InService()
			must.Len(t, 3, left.Zones)
			running, most := 0, 0
			for k, w := range autoscale.Plan(left) {
				must.NotEq(t, s.Zones[i].Name, left.Zones[k].Name)
				have := left.Zones[k]
				running += w.OnDemand + min(w.Reclaimable, have.Reclaimable)
				most = max(most, min(w.Reclaimable, have.Reclaimable))
			}
			must.GreaterEq(t, need, float64(running-most)) // after the loss of one more zone
		}
	}
	must.Len(t, 0, autoscale.Plan(autoscale.Service{Need: 3, Zones: []autoscale.Zone{{Evacuated: true}}}.InService()))
}

// Guards against other zones that are shrunk while a zone that has returned gets its load in steps.
func TestWant_WithoutShrink(t *testing.T) {
	must.Eq(t, autoscale.Want{OnDemand: 2, Reclaimable: 5},
		autoscale.Want{OnDemand: 1, Reclaimable: 5}.WithoutShrink(autoscale.Zone{OnDemand: 2, Reclaimable: 4}))
}

// Guards against the removal of the reclaimable endpoints of the only zone left in service, which serve the whole load
// until on-demand ones have started.
func TestPlan_OnlyZoneLeftKeepsItsEndpoints(t *testing.T) {
	s := autoscale.Service{Min: 1, Max: 100, ReclaimablePrice: 0.3, Need: 10, ReclaimableRatio: 1.4, Zones: []autoscale.Zone{
		{Name: "a", Price: 1, Evacuated: true}, {Name: "b", Price: 2, Reclaimable: 14},
	}}
	wants := autoscale.PlanInService(s)
	must.Len(t, 1, wants)
	must.Eq(t, 14, wants[0].Reclaimable)
	must.Positive(t, wants[0].OnDemand)
	s.Zones[0].Evacuated = false
	must.Eq(t, autoscale.Plan(s), autoscale.PlanInService(s))
}
