package autoscale

import "slices"

// InService returns the service without its evacuated zones, so that a plan puts the whole load on the others. Nothing is
// ordered in an evacuated zone, which keeps what it has for its return.
func (s Service) InService() Service {
	s.Zones = slices.DeleteFunc(slices.Clone(s.Zones), func(z Zone) bool { return z.Evacuated })
	return s
}

// PlanInService returns the wanted numbers of the zones of s.InService, in their order. The plan of a single zone has on-demand
// endpoints only. If the others are evacuated, that zone keeps its reclaimable ones, which carry the whole load while the
// on-demand ones start.
func PlanInService(s Service) []Want {
	left := s.InService()
	wants := Plan(left)
	if len(left.Zones) == 1 && len(s.Zones) > 1 {
		w := &wants[0]
		w.Reclaimable = max(w.Reclaimable, left.Zones[0].Reclaimable)
		w.OnDemand = min(w.OnDemand, max(left.Zones[0].OnDemand, s.Max-w.Reclaimable))
	}
	return wants
}

// WithoutShrink returns a want that is not below the endpoints of a zone.
func (w Want) WithoutShrink(z Zone) Want {
	return Want{OnDemand: max(w.OnDemand, z.OnDemand), Reclaimable: max(w.Reclaimable, z.Reclaimable)}
}
