package limit

import (
	"sync"
	"time"
)

// ArrivalLimit bounds the repeated arrivals at a service over all instances together: in each window at most a ratio
// of the requests and a slack.
type ArrivalLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// arrivalMargin keeps the sum of all instances below the limit when their windows are not the same.
const arrivalMargin = 0.85

// Arrivals is one instance's part of an ArrivalLimit. The ratio part is safe in sum, since it follows the instance's
// own requests; the slack is divided evenly among the instances. It is safe for concurrent use.
type Arrivals struct {
	mu        sync.Mutex
	limit     ArrivalLimit
	instances int
	requests  []time.Time
	repeats   []time.Time
}

// NewArrivals returns a budget without requests. instances is the number among which the slack is divided.
func NewArrivals(limit ArrivalLimit, instances int) *Arrivals {
	return &Arrivals{limit: limit, instances: max(1, instances)}
}

// SetInstances sets the number of instances among which the slack is divided.
func (a *Arrivals) SetInstances(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances = max(1, n)
}

// First counts a request.
func (a *Arrivals) First(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.within(a.requests, now), now)
}

// Repeat reports whether one more arrival of a request is within the budget, and counts it when it is.
func (a *Arrivals) Repeat(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests, a.repeats = a.within(a.requests, now), a.within(a.repeats, now)
	allowed := a.limit.Ratio*float64(len(a.requests)) + a.limit.Slack/float64(a.instances)
	if float64(len(a.repeats)+1) > allowed*arrivalMargin {
		return false
	}
	a.repeats = append(a.repeats, now)
	return true
}

// within drops the times that have left the window.
func (a *Arrivals) within(times []time.Time, now time.Time) []time.Time {
	i := 0
	for i < len(times) && now.Sub(times[i]) > a.limit.Window {
		i++
	}
	if i > len(times)/2 {
		return append([]time.Time(nil), times[i:]...) // frees the part before
	}
	return times[i:]
}
