package fleet

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// zones records the zones whose endpoints must get no new work, and which services that leaves without endpoints. It is
// written with Table.mu held.
type zones struct {
	evacuated atomic.Pointer[map[string]bool]
	returned  atomic.Pointer[map[string]time.Time] // by zone: end of its latest evacuation
	withheld  atomic.Pointer[map[string]int]       // by service: endpoints that would take work if their zone was not evacuated
}

// unreadEntryTime is how long endpoints count as cold at the return of their zone, unless their entries tell more: the end of
// the evacuation may be known seconds before the entries that say that they are cold, as far as the pace of watches in large
// fleets.
const unreadEntryTime = 2500 * time.Millisecond

// SetEvacuated sets the zones whose endpoints must get no new work. Work that they have already may end. It reports whether
// the set has changed.
func (t *Table) SetEvacuated(names []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	evacuated := make(map[string]bool, len(names))
	for _, name := range names {
		evacuated[name] = true
	}
	before := t.zones.evacuatedZones()
	if maps.Equal(evacuated, before) {
		return false
	}
	returned := maps.Clone(t.zones.returnedZones())
	for name := range before {
		if !evacuated[name] {
			if returned == nil {
				returned = map[string]time.Time{}
			}
			returned[name] = now
		}
	}
	for _, r := range t.byID {
		if zone := r.endpoint.Zone; before[zone] && !evacuated[zone] {
			r.endpoint.recordCold(unreadEntryTime, now)
		}
	}
	t.zones.returned.Store(&returned)
	t.zones.evacuated.Store(&evacuated)
	t.publish(now)
	return true
}

// Evacuated returns the names of the evacuated zones, sorted.
func (t *Table) Evacuated() []string { return slices.Sorted(maps.Keys(t.zones.evacuatedZones())) }

// IsEvacuated reports whether all endpoints of a service that would take work are in evacuated zones.
func (t *Table) IsEvacuated(service string) bool {
	return t.Withheld(service) > 0 && len(t.Service(service)) == 0
}

// IsEvacuated reports whether the endpoint is in an evacuated zone and must get no new work.
func (e *Endpoint) IsEvacuated() bool {
	return e.table != nil && e.table.zones.evacuatedZones()[e.Zone]
}

// IsZoneEvacuated reports whether a zone is evacuated.
func (t *Table) IsZoneEvacuated(name string) bool { return t.zones.evacuatedZones()[name] }

// Withheld returns the number of endpoints of a service that take no work because their zones are evacuated.
func (t *Table) Withheld(service string) int {
	if m := t.zones.withheld.Load(); m != nil {
		return (*m)[service]
	}
	return 0
}

const (
	// returnStep is the time between two steps in which a zone that has returned gets its share of the load: about that in
	// which instances see from answers what the step before has done to the endpoints.
	returnStep = time.Second
	// returnSteps is the number of steps. Of several sizes of a step only this one was tried.
	returnSteps = 4
)

// ReturnShare returns the share of its load that a zone gets at now: 1, or less after an evacuation, in steps.
func (t *Table) ReturnShare(zone string, now time.Time) float64 {
	at, ok := t.zones.returnedZones()[zone]
	if !ok {
		return 1
	}
	return returnShare(now.Sub(at))
}

// returnShare returns the share of the load of a zone that was returned for some time.
func returnShare(since time.Duration) float64 {
	return min(1, max(0, float64(1+since/returnStep))/returnSteps)
}

// returnPeriod is how long a zone counts as just returned: longer than endpoints are cold.
const returnPeriod = 30 * time.Second

// HasReturned reports whether the evacuation of a zone has ended recently.
func (t *Table) HasReturned(zone string, now time.Time) bool {
	at, ok := t.zones.returnedZones()[zone]
	return ok && !t.IsZoneEvacuated(zone) && now.Sub(at) < returnPeriod
}

func (z *zones) returnedZones() map[string]time.Time {
	if m := z.returned.Load(); m != nil {
		return *m
	}
	return nil
}

func (z *zones) evacuatedZones() map[string]bool {
	if m := z.evacuated.Load(); m != nil {
		return *m
	}
	return nil
}
