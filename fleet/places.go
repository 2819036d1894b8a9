package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	// reservedPlaces is the part of an endpoint's slots, as a divisor, that no instance has: a request that an instance
	// sends in its turn, or whose run has outlived its exchange, then takes no place of another instance.
	reservedPlaces = 8
	// handoverTime is how long a place stays unused that has come to this instance from another one: the other may have heard
	// later of the change of the members or endpoints, and its request must end.
	handoverTime = 1500 * time.Millisecond
	// lingeringTime is how long a request counts as running at the endpoint after its connection was lost or closed.
	lingeringTime = 250 * time.Millisecond
	// borrowTime is how long a borrowed place may be unused.
	borrowTime = 500 * time.Millisecond
	// placeRetry is the wait for a place: a request of this instance may end at any time.
	placeRetry = 10 * time.Millisecond
	// noPlaceRetry is the longest wait for a turn that an instance without places states: its callers are then refused, and
	// may reach another instance that has places.
	noPlaceRetry = 500 * time.Millisecond
)

// placesOf returns the number of requests that all instances together may send to an endpoint without a turn.
func placesOf(slots int) int {
	slots = max(1, slots)
	return slots - slots/reservedPlaces
}

// rankedMembers is the number of members for each place of an endpoint that are ranked at first: most of these have less than
// an even share, and a ranking of all takes time.
const rankedMembers = 4

// dividePlaces divides the places of the endpoints of a service among the members, and returns how many of each endpoint
// self has. Each endpoint's places go to its first members by rendezvous hashing that have less than an even share of all, so
// that a change of the members or the endpoints moves few places.
func dividePlaces(endpoints []*Endpoint, members []string, self string) []int {
	total := 0
	for _, e := range endpoints {
		total += placesOf(e.Slots)
	}
	own := make([]int, len(endpoints))
	if len(members) <= 1 {
		for i, e := range endpoints {
			own[i] = placesOf(e.Slots)
		}
		return own
	}
	share := (total + len(members) - 1) / len(members)
	given := make(map[string]int, len(members))
	for i, e := range endpoints {
		left := placesOf(e.Slots)
		ranking := rendezvous.Top(e.ID, members, rankedMembers*left)
		for k := 0; left > 0; k++ {
			k %= len(members)
			if k == len(ranking) {
				ranking = rendezvous.Top(e.ID, members, len(members))
			}
			m := ranking[k]
			if given[m] >= share {
				continue
			}
			given[m]++
			left--
			if m == self {
				own[i]++
			}
		}
	}
	return own
}

// places counts the requests of this instance at an endpoint whose service is brittle.
type places struct {
	mu        sync.Mutex
	own       int
	before    int // value of own until usableAt
	usableAt  time.Time
	taken     int
	lingering []time.Time // until when requests that have ended count as running
	turn      int64       // number of the latest turn that was used
	// borrowedAt is the latest use of a borrowed place: the one that the endpoint had for a request that was sent in a turn.
	// This instance keeps it until the endpoint rejects a request or the place is not used.
	borrowedAt time.Time
}

// set sets the places of this instance. Added ones are usable after a delay.
func (p *places) set(own int, delay time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if own == p.own {
		return
	}
	p.before = min(p.ownAt(now), own)
	p.own, p.usableAt = own, now.Add(delay)
}

// usable returns the places that this instance may use, with a borrowed one. p.mu must be held.
func (p *places) usable(now time.Time) int {
	if !p.borrowedAt.IsZero() && now.Sub(p.borrowedAt) < borrowTime {
		return p.ownAt(now) + 1
	}
	return p.ownAt(now)
}

// ownAt returns the own places that are usable. p.mu must be held.
func (p *places) ownAt(now time.Time) int {
	if now.Before(p.usableAt) {
		return p.before
	}
	return p.own
}

// used returns the places in use. running is the number of this instance's requests at the endpoint, some of which may have
// begun before the service was brittle. p.mu must be held.
func (p *places) used(running int, now time.Time) int {
	p.lingering = slices.DeleteFunc(p.lingering, func(until time.Time) bool { return !now.Before(until) })
	return max(p.taken, running) + len(p.lingering)
}

// reject ends the use of a borrowed place.
func (p *places) reject() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrowedAt = time.Time{}
}

// placeUse is the use of a place by one request.
type placeUse struct {
	of    *places
	ended atomic.Bool
}

// end ends the use. A request that may be running at the endpoint for some more time keeps its place for lingeringTime.
func (u *placeUse) end(mayRun bool, now time.Time) {
	if u == nil || u.ended.Swap(true) {
		return
	}
	u.of.mu.Lock()
	defer u.of.mu.Unlock()
	u.of.taken--
	if !u.of.borrowedAt.IsZero() && u.of.taken >= u.of.ownAt(now) {
		u.of.borrowedAt = now
	}
	if mayRun {
		u.of.lingering = append(u.of.lingering, now.Add(lingeringTime))
	}
}

// placeAt returns when the endpoint may get another request of this instance by its places and turns: at now, or when that is
// worth another try.
func (e *Endpoint) placeAt(now time.Time) time.Time {
	if !e.IsBrittle(now) {
		return now
	}
	running := e.Stats.Snapshot(now)
	p := &e.places
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used(running.Running, now) < p.usable(now) {
		return now
	}
	number, begins := e.turnAt(now)
	if number != p.turn && !begins.After(now) && !isFull(&running, e.Slots) {
		return now
	}
	if p.own > 0 {
		return now.Add(placeRetry)
	}
	if latest := now.Add(noPlaceRetry); begins.After(latest) || !begins.After(now) {
		return latest
	}
	return begins
}

// isFull reports whether the latest report of an endpoint shows no free slot.
func isFull(v *Snapshot, slots int) bool {
	return v.Freshness > 0 && v.Reported.Running+v.Reported.Waiting >= max(1, slots)
}

// takePlace takes a place at an endpoint whose service is brittle, or uses the turn of this instance. use is nil if the
// service is not brittle.
func (e *Endpoint) takePlace(now time.Time) (use *placeUse, ok bool) {
	if !e.IsBrittle(now) {
		return nil, true
	}
	running := e.Stats.Snapshot(now)
	p := &e.places
	p.mu.Lock()
	defer p.mu.Unlock()
	if used := p.used(running.Running, now); used >= p.usable(now) {
		number, begins := e.turnAt(now)
		if number == p.turn || begins.After(now) || isFull(&running, e.Slots) {
			return nil, false
		}
		p.turn, p.borrowedAt = number, now
	} else if used >= p.ownAt(now) {
		p.borrowedAt = now
	}
	p.taken++
	return &placeUse{of: p}, true
}

// turnAt returns the number of the turn of this instance at the endpoint that is under way at now, or else of the next one,
// and when it begins. The turns of the instances at an endpoint have random phases, and a turn that is not used is lost, so
// that instances that have sent little for a while don't all send at once.
func (e *Endpoint) turnAt(now time.Time) (number int64, begins time.Time) {
	period := e.brittle.turnPeriod()
	offset := int64(e.turnPhase * float64(period))
	since := now.UnixNano() - offset
	number = since / int64(period)
	begins = time.Unix(0, number*int64(period)+offset)
	if now.Sub(begins) >= turnLength && period > turnLength {
		number++
		begins = begins.Add(period)
	}
	return number, begins
}

// Room returns how many requests this instance may have at the endpoints of a service at a time while the service is brittle;
// false: it is not. hold is the mean time that a request stays at an endpoint.
func (t *Table) Room(service string, hold time.Duration, now time.Time) (room float64, brittle bool) {
	all := t.Service(service)
	if len(all) == 0 || !all[0].IsBrittle(now) {
		return 0, false
	}
	period := all[0].brittle.turnPeriod()
	for _, e := range all {
		if !e.PausedUntil(now).IsZero() {
			continue
		}
		e.places.mu.Lock()
		room += float64(e.places.usable(now))
		e.places.mu.Unlock()
		room += float64(hold) / float64(period)
	}
	return max(room, minRoom), true
}

// minRoom is the room of an instance that has no places: a caller that it refuses may return after a few of the usual times of
// a request, and then reach another instance.
const minRoom = 0.25
