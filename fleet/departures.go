package fleet

// maxDeparted bounds the lifetimes in departures, 100 bytes each.
const maxDeparted = 8192

// departures holds the lifetimes of endpoints that have said that they are leaving. They stay known after the rows of
// the endpoints are gone, so that a list that is older than the statement doesn't bring them back. Table.mu guards it.
type departures struct {
	byID map[string]departure
	next uint64 // number of the next departure
}

type departure struct {
	startedMs int64
	address   string // empty: unknown
	number    uint64
}

// add records a lifetime and reports whether it was not known. Of an ID only the latest lifetime is kept; beyond
// maxDeparted the oldest record is dropped.
func (d *departures) add(id string, startedMs int64, address string) bool {
	old, known := d.byID[id]
	if known && (old.startedMs > startedMs || old.startedMs == startedMs && (old.address == "" || address == "" || old.address == address)) {
		return false
	}
	if d.byID == nil {
		d.byID = map[string]departure{}
	}
	if !known && len(d.byID) >= maxDeparted {
		d.dropOldest()
	}
	d.byID[id] = departure{startedMs, address, d.next}
	d.next++
	return true
}

func (d *departures) dropOldest() {
	oldest, number := "", d.next
	for id, x := range d.byID {
		if x.number < number {
			oldest, number = id, x.number
		}
	}
	delete(d.byID, oldest)
}

// includes reports whether the lifetime of an entry, or a later one of its ID, is known to be leaving.
func (d *departures) includes(e *Entry) bool {
	x, known := d.byID[e.ID]
	return known && (e.StartedMs < x.startedMs || e.StartedMs == x.startedMs && (x.address == "" || x.address == e.Address))
}
