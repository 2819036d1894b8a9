package limit

import (
	"sync"
	"time"
)

// RepeatLimit bounds the repeated arrivals of requests at a service, in total over all instances: in each window at
// most Ratio times the number of requests, plus Slack.
type RepeatLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// arrivalMargin keeps the total of all instances below the limit although their windows are not aligned.
const arrivalMargin = 0.85

// RepeatBudget is one instance's share of an ArrivalLimit. The ratio applies to the instance's own requests, so its total
// over all instances stays within the limit; the slack is divided evenly among them. It is safe for concurrent use.
type RepeatBudget struct {
	mu        sync.Mutex
	limit     RepeatLimit
	instances int
	requests  []time.Time
	repeats   []time.Time
}

// NewRepeatBudget returns a budget without requests. instances is the number of instances among which the slack is divided.
func NewRepeatBudget(limit RepeatLimit, instances int) *RepeatBudget {
	return &RepeatBudget{limit: limit, instances: max(1, instances)}
}

// SetInstances sets the number of instances among which the slack is divided.
func (a *RepeatBudget) SetInstances(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances = max(1, n)
}

// CountRequest counts the first arrival of a request.
func (a *RepeatBudget) CountRequest(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.dropExpired(a.requests, now), now)
}

// AcquireRetry reports whether one more repeated arrival is within the budget, and counts it if it is.
func (a *RepeatBudget) AcquireRetry(now time.Time) bool {
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
func (a *RepeatBudget) dropExpired(times []time.Time, now time.Time) []time.Time {
	i := 0
	for i < len(times) && now.Sub(times[i]) > a.limit.Window {
		i++
	}
	if i > len(times)/2 {
		return append([]time.Time(nil), times[i:]...) // lets the dropped times be garbage-collected
	}
	return times[i:]
}
