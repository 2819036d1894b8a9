package fleet

import (
	"maps"
	"slices"
	"sync/atomic"
)

// zones records the zones whose endpoints must get no new work, and which services that leaves without endpoints. It is
// written with Table.mu held.
type zones struct {
	evacuated atomic.Pointer[map[string]bool]
	withheld  atomic.Pointer[map[string]int] // by service: endpoints that would take work if their zone was not evacuated
}

// SetEvacuated sets the zones whose endpoints must get no new work. Work that they have already may end. It reports whether
// the set has changed.
func (t *Table) SetEvacuated(names []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	evacuated := make(map[string]bool, len(names))
	for _, name := range names {
		evacuated[name] = true
	}
	if maps.Equal(evacuated, t.zones.evacuatedZones()) {
		return false
	}
	t.zones.evacuated.Store(&evacuated)
	t.publish()
	return true
}

// Evacuated returns the names of the evacuated zones, sorted.
func (t *Table) Evacuated() []string { return slices.Sorted(maps.Keys(t.zones.evacuatedZones())) }

// IsEvacuated reports whether all endpoints of a service that would take work are in evacuated zones.
func (t *Table) IsEvacuated(service string) bool {
	withheld := t.zones.withheld.Load()
	return withheld != nil && (*withheld)[service] > 0 && len(t.Service(service)) == 0
}

// IsEvacuated reports whether the endpoint is in an evacuated zone and must get no new work.
func (e *Endpoint) IsEvacuated() bool {
	return e.table != nil && e.table.zones.evacuatedZones()[e.Zone]
}

func (z *zones) evacuatedZones() map[string]bool {
	if m := z.evacuated.Load(); m != nil {
		return *m
	}
	return nil
}
