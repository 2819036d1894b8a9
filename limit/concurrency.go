package limit

import (
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/table"
)

const (
	// maxLatencyRatio is the ratio of recent to baseline latency above which a limit is decreased.
	maxLatencyRatio = 2.0
	decreaseFactor  = 0.8
	// recentWeight is the weight of a new sample in the moving average of the latency.
	recentWeight = 0.1
	// baselineWeight is the weight with which the baseline follows the recent latency. It follows a fall always, and a
	// rise only while so few requests run that none queues at the endpoint. A baseline that also rose under load would
	// include the queueing delay that it should reveal: p95 in the model was 495 ms instead of 180 ms.
	baselineWeight = 0.05
	// unloadedRequests is the largest number of concurrent requests that counts as no load.
	unloadedRequests = 1
)

// concurrency adapts the limit on concurrent requests of this instance at an endpoint: additive increase while the
// limit is used, multiplicative decrease when latency rises above its baseline. It isn't safe for concurrent use.
type concurrency struct {
	limit       float64
	maxLimit    float64
	recent      float64 // seconds
	baseline    float64 // seconds
	decreasedAt time.Time
}

func newConcurrency(start, maxLimit int) *concurrency {
	maxLimit = max(maxLimit, 1)
	return &concurrency{limit: float64(min(max(start, 1), maxLimit)), maxLimit: float64(maxLimit)}
}

// sample records the latency of a finished request and the number of requests in flight when it started.
func (c *concurrency) sample(latency time.Duration, inFlight int, overloaded bool, now time.Time) {
	c.observe(latency.Seconds(), inFlight)
	if overloaded || c.recent > maxLatencyRatio*c.baseline {
		// Requests that started before the last decrease say nothing about the limit after it.
		if now.Sub(c.decreasedAt) > time.Duration(c.recent*float64(time.Second)) {
			c.limit = max(1, c.limit*decreaseFactor)
			c.decreasedAt = now
		}
		return
	}
	if float64(inFlight) >= c.limit-1 {
		c.limit = min(c.maxLimit, c.limit+1/c.limit)
	}
}

func (c *concurrency) observe(seconds float64, inFlight int) {
	if seconds <= 0 {
		return
	}
	if c.baseline == 0 {
		c.recent, c.baseline = seconds, seconds
		return
	}
	c.recent += recentWeight * (seconds - c.recent)
	if c.recent < c.baseline || inFlight <= unloadedRequests {
		c.baseline += baselineWeight * (c.recent - c.baseline)
	}
}

// endpointLimits holds the adaptive limits of the endpoints. It is safe for concurrent use.
type endpointLimits struct {
	mu         sync.Mutex
	byEndpoint map[string]*concurrency
}

// update adds new endpoints, publishes the limits of all and returns the capacity of a service.
func (l *endpointLimits) update(svc *table.Service, members int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	capacity := 0
	for _, e := range svc.Endpoints {
		c := l.byEndpoint[e.ID]
		if c == nil {
			maxLimit := max(svc.Config.Concurrency, 1)
			// Every instance sends to every endpoint. Twice the even share leaves headroom for uneven load.
			c = newConcurrency((2*maxLimit+members-1)/max(members, 1), maxLimit)
			l.byEndpoint[e.ID] = c
		}
		if e.Live != nil {
			e.Live.Limit.Store(int64(c.limit))
		}
		if e.Condition == table.Ready {
			capacity += int(c.limit)
		}
	}
	return capacity
}

func (l *endpointLimits) retain(keep map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.byEndpoint {
		if !keep[id] {
			delete(l.byEndpoint, id)
		}
	}
}

func (l *endpointLimits) sample(r *Result, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.byEndpoint[r.Endpoint]
	if c == nil || r.Latency <= 0 {
		return
	}
	c.sample(r.Latency, r.InFlight, r.Overloaded, now)
}
