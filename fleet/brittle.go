package fleet

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// brittleTime is how long a service counts as brittle after the latest answer, of any of its endpoints to any instance,
	// that said so. An instance of a large fleet may send to a service once in a second, and reports of peers take another.
	brittleTime = 5 * time.Second
	// excessProbability bounds the probability that an endpoint has to reject more requests in a second than it tolerates, if
	// all instances use all their turns and it rejects each of them. Callers lose the work of an endpoint for some seconds
	// whenever it happens; at this value an endpoint is lost for less than a hundredth of the time.
	excessProbability = 1e-3
	// maxTolerance bounds the tolerance that is reckoned with.
	maxTolerance = 500
	// turnLength is how long a turn lasts: long enough for the next request of an instance under overload.
	turnLength = 250 * time.Millisecond
	// maxRejectionPause bounds the pause after a rejection.
	maxRejectionPause = 10 * time.Second
)

// brittleService is what is known of the endpoints of a service that fall over when they have to reject more than a few
// requests in a second. It is safe for concurrent use.
type brittleService struct {
	until  atomic.Int64 // end of the brittle time in Unix nanoseconds; 0: was never brittle
	period atomic.Int64 // see turnPeriod

	mu        sync.Mutex
	tolerance int       // rejections in a second that each endpoint tolerates
	saidAt    time.Time // latest answer to this instance that said so
	instances int
	rate      float64 // rejections of an endpoint in a second that the instances may cause in the mean
}

// Brittle is what is known of a brittle service.
type Brittle struct {
	Tolerance int           // rejections in a second that each endpoint tolerates
	Age       time.Duration // since the latest answer to this instance that said so; negative: there was none
}

func (b *brittleService) isActive(now time.Time) bool {
	return b != nil && b.until.Load() > now.UnixNano()
}

// record records that an endpoint has said that it tolerates so many rejections, and reports whether that begins a brittle
// time. own is set for an answer to this instance. The least tolerance of a brittle time counts.
func (b *brittleService) record(tolerance int, saidAt time.Time, own bool, now time.Time) (begins bool) {
	until := saidAt.Add(brittleTime).UnixNano()
	if until <= now.UnixNano() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	begins = !b.isActive(now)
	if begins || tolerance < b.tolerance {
		b.tolerance = tolerance
		b.rate = safeRate(tolerance)
		b.updatePeriod()
	}
	if begins {
		b.saidAt = time.Time{}
	}
	if own {
		b.saidAt = saidAt
	}
	b.until.Store(max(b.until.Load(), until))
	return begins
}

// turnPeriod returns the time between two turns of an instance at an endpoint. The instances may cause half of the
// rejections that are allowed by turns, and the other half at their places.
func (b *brittleService) turnPeriod() time.Duration { return time.Duration(b.period.Load()) }

// updatePeriod sets turnPeriod. b.mu must be held.
func (b *brittleService) updatePeriod() {
	if b.rate == 0 {
		return // not brittle yet
	}
	seconds := (time.Second + turnLength).Seconds() * float64(max(1, b.instances)) / (b.rate / 2)
	b.period.Store(int64(seconds * float64(time.Second)))
}

// rejectionPause returns for how long an endpoint that has rejected a request gets no other one of this instance. Each of the
// instances that have places there may find it full.
func (b *brittleService) rejectionPause(slots int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	senders := float64(min(max(1, b.instances), placesOf(slots)))
	return min(maxRejectionPause, time.Duration(senders/(b.rate/2)*float64(time.Second)))
}

// safeRate returns the mean number of independent events in a second at which more than n of them happen in a second with a
// probability of excessProbability at most.
func safeRate(n int) float64 {
	n = min(max(1, n), maxTolerance)
	low, high := 0.0, float64(n)
	for range 40 {
		if middle := (low + high) / 2; excess(n, middle) <= excessProbability {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// excess returns the probability of more than n events with the given mean (Poisson distribution).
func excess(n int, mean float64) float64 {
	term := math.Exp(-mean)
	sum := term
	for k := 1; k <= n; k++ {
		term *= mean / float64(k)
		sum += term
	}
	return 1 - sum
}

// IsBrittle reports whether the endpoint may fall over when it has to reject more than a few requests in a second.
func (e *Endpoint) IsBrittle(now time.Time) bool { return e.brittle.isActive(now) }

// brittleOf returns the record of a service. t.mu must be held.
func (t *Table) brittleOf(service string) *brittleService {
	b := t.brittle[service]
	if b == nil {
		b = &brittleService{instances: max(1, len(t.members))}
		t.brittle[service] = b
	}
	return b
}

// MarkBrittle records that an endpoint of a service has told a peer, some time ago, how many rejections in a second it
// tolerates.
func (t *Table) MarkBrittle(service string, tolerance int, age time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.brittleOf(service).record(tolerance, now.Add(-max(0, age)), false, now) {
		t.assignPlaces(service, 0, now)
	}
}

// recordBrittle records what an endpoint of the table says of its tolerance.
func (t *Table) recordBrittle(e *Endpoint, tolerance int, now time.Time) {
	if e.brittle.record(tolerance, now, true, now) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.assignPlaces(e.Service, 0, now)
	}
}

// Brittle returns the services that are brittle at now.
func (t *Table) Brittle(now time.Time) map[string]Brittle {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all map[string]Brittle
	for service, b := range t.brittle {
		if !b.isActive(now) {
			continue
		}
		if all == nil {
			all = map[string]Brittle{}
		}
		b.mu.Lock()
		info := Brittle{Tolerance: b.tolerance, Age: -1}
		if !b.saidAt.IsZero() {
			info.Age = max(0, now.Sub(b.saidAt))
		}
		b.mu.Unlock()
		all[service] = info
	}
	return all
}

// SetMembers sets the instances among which the places at brittle endpoints are divided: self and those that may be sending,
// unreachable ones included.
func (t *Table) SetMembers(self string, members []string, now time.Time) {
	members = slices.Clone(members)
	slices.Sort(members)
	members = slices.Compact(members)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self == self && slices.Equal(t.members, members) {
		return
	}
	t.self, t.members = self, members
	for service, b := range t.brittle {
		b.mu.Lock()
		b.instances = max(1, len(members))
		b.updatePeriod()
		b.mu.Unlock()
		if b.isActive(now) {
			t.assignPlaces(service, handoverTime, now)
		}
	}
}

// assignPlaces divides the places of the endpoints of a service. Those that this instance gets in addition are usable after a
// delay. t.mu must be held.
func (t *Table) assignPlaces(service string, delay time.Duration, now time.Time) {
	endpoints := t.Service(service)
	for i, own := range dividePlaces(endpoints, t.members, t.self) {
		endpoints[i].places.set(own, delay, now)
	}
}
