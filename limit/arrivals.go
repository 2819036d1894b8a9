package limit

import (
	"sync"
	"time"
)

// ArrivalLimit bounds the repeated arrivals of requests at a service, in total over all instances: in each window at
// most Ratio times the number of requests, plus Slack.
type ArrivalLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// arrivalMargin keeps the total of all instances below the limit although their windows are not aligned.
const arrivalMargin = 0.85

// Arrivals is one instance's share of an ArrivalLimit. The ratio applies to the instance's own requests, so its total
// over all instances stays within the limit; the slack is divided evenly among them. It is safe for concurrent use.
type Arrivals struct {
	mu        sync.Mutex
	limit     ArrivalLimit
	instances int
	requests  []time.Time
	repeats   []time.Time
}

// NewArrivals returns a budget without requests. instances is the number of instances among which the slack is divided.
func NewArrivals(limit ArrivalLimit, instances int) *Arrivals {
	return &Arrivals{limit: limit, instances: max(1, instances)}
}

// SetInstances sets the number of instances among which the slack is divided.
func (a *Arrivals) SetInstances(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances = max(1, n)
}

// First counts the first arrival of a request.
func (a *Arrivals) First(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.dropExpired(a.requests, now), now)
}

// Repeat reports whether one more repeated arrival is within the budget, and counts it if it is.
func (a *Arrivals) Repeat(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests, a.repeats = a.dropExpired(a.requests, now), a.dropExpired(a.repeats, now)
	allowed := a.limit.Ratio*float64(len(a.requests)) + a.limit.Slack/float64(a.instances)
	if float64(len(a.repeats)+1) > allowed*arrivalMargin {
		return false
	}
	a.repeats = append(a.repeats, now)
	return true
}

// dropExpired drops the times that are older than the window.
func (a *Arrivals) dropExpired(times []time.Time, now time.Time) []time.Time {
	i := 0
	for i < len(times) && now.Sub(times[i]) > a.limit.Window {
		i++
	}
	if i > len(times)/2 {
		return append([]time.Time(nil), times[i:]...) // lets the dropped times be garbage-collected
	}
	return times[i:]
}
