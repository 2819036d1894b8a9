package autoscale

import "slices"

// InService returns the service without its evacuated zones, so that a plan puts the whole load on the others. Nothing is
// ordered in an evacuated zone, which keeps what it has for its return.
func (s Service) InService() Service {
	s.Zones = slices.DeleteFunc(slices.Clone(s.Zones), func(z Zone) bool { return z.Evacuated })
	return s
}

// WithoutShrink returns a want that is not below the endpoints of a zone.
func (w Want) WithoutShrink(z Zone) Want {
	return Want{OnDemand: max(w.OnDemand, z.OnDemand), Reclaimable: max(w.Reclaimable, z.Reclaimable)}
}
