package limit

import (
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/table"
)

const (
	// latencyTolerance is the ratio of present to baseline latency above which a limit is cut.
	latencyTolerance = 2.0
	limitCut         = 0.8
	// recentWeight is the weight of a new sample in the recent latency.
	recentWeight = 0.1
	// baselineWeight is the weight with which the baseline follows the recent latency: down always, up only while so
	// few requests run that they can't queue at the endpoint. A baseline that also rose under load followed the queue
	// that it should reveal: p95 in the model was 495 ms instead of 180 ms.
	baselineWeight = 0.05
	// fewRequests is the number of requests that count as no load.
	fewRequests = 1
)

// concurrency adapts the number of requests that this instance runs at an endpoint: additive increase while the limit
// is used, multiplicative decrease when latency rises above its own baseline. It isn't safe for concurrent use.
type concurrency struct {
	limit    float64
	most     float64
	recent   float64 // seconds
	baseline float64 // seconds
	cutAt    time.Time
}

func newConcurrency(start, most int) *concurrency {
	most = max(most, 1)
	return &concurrency{limit: float64(min(max(start, 1), most)), most: float64(most)}
}

// sample takes the latency of a finished request and the number that were running with it.
func (c *concurrency) sample(latency time.Duration, inFlight int, overloaded bool, now time.Time) {
	c.observe(latency.Seconds(), inFlight)
	if overloaded || c.recent > latencyTolerance*c.baseline {
		// Requests that started before the last cut say nothing about the limit after it.
		if now.Sub(c.cutAt) > time.Duration(c.recent*float64(time.Second)) {
			c.limit = max(1, c.limit*limitCut)
			c.cutAt = now
		}
		return
	}
	if float64(inFlight) >= c.limit-1 {
		c.limit = min(c.most, c.limit+1/c.limit)
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
	if c.recent < c.baseline || inFlight <= fewRequests {
		c.baseline += baselineWeight * (c.recent - c.baseline)
	}
}

// endpointLimits holds the adaptive limits of the endpoints. It is safe for concurrent use.
type endpointLimits struct {
	mu  sync.Mutex
	all map[string]*concurrency
}

// update adds new endpoints, drops those that are gone and returns the capacity of a service.
func (l *endpointLimits) update(svc *table.Service, members int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	capacity := 0
	for _, e := range svc.Endpoints {
		c := l.all[e.ID]
		if c == nil {
			most := max(svc.Config.Concurrency, 1)
			// Every instance sends to every endpoint. Twice the even part leaves room for uneven load.
			c = newConcurrency((2*most+members-1)/max(members, 1), most)
			l.all[e.ID] = c
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
	for id := range l.all {
		if !keep[id] {
			delete(l.all, id)
		}
	}
}

func (l *endpointLimits) sample(r *Result, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.all[r.Endpoint]
	if c == nil || r.Latency <= 0 {
		return
	}
	c.sample(r.Latency, r.InFlight, r.Overloaded, now)
}
