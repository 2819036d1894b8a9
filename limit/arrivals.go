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

// repeatMargin keeps the total of all instances below the limit although their windows are not aligned.
const repeatMargin = 0.85

// RepeatBudget is one instance's share of a RepeatLimit. The ratio applies to the instance's own requests and the slack
// is divided evenly among the instances, so that their total stays within the limit. It is safe for concurrent use.
type RepeatBudget struct {
	mu        sync.Mutex
	limit     RepeatLimit
	instances int
	requests  []time.Time
	repeats   []time.Time
}

// NewRepeatBudget returns a budget without requests. instances is the number of instances among which the slack is
// divided.
func NewRepeatBudget(limit RepeatLimit, instances int) *RepeatBudget {
	return &RepeatBudget{limit: limit, instances: max(1, instances)}
}

// SetInstances sets the number of instances among which the slack is divided.
func (b *RepeatBudget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(1, n)
}

// CountRequest counts the first arrival of a request.
func (b *RepeatBudget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.dropExpired(b.requests, now), now)
}

// AcquireRetry reports whether one more repeated arrival is within the budget, and counts it if it is.
func (b *RepeatBudget) AcquireRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests, b.repeats = b.dropExpired(b.requests, now), b.dropExpired(b.repeats, now)
	allowed := b.limit.Ratio*float64(len(b.requests)) + b.limit.Slack/float64(b.instances)
	if float64(len(b.repeats)+1) > allowed*repeatMargin {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

// dropExpired drops the times that are older than the window.
func (b *RepeatBudget) dropExpired(times []time.Time, now time.Time) []time.Time {
	i := 0
	for i < len(times) && now.Sub(times[i]) > b.limit.Window {
		i++
	}
	if i > len(times)/2 {
		return append([]time.Time(nil), times[i:]...) // lets the dropped times be garbage-collected
	}
	return times[i:]
}
