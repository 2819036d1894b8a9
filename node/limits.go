package node

import (
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/limit"
)

// repeats implements forward.Repeats with a budget for each service.
type repeats struct {
	limit limit.ArrivalLimit

	mu        sync.Mutex
	instances int
	byService map[string]*limit.Arrivals
}

func (r *repeats) budget(service string) *limit.Arrivals {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.byService[service]
	if budget == nil {
		budget = limit.NewArrivals(r.limit, r.instances)
		r.byService[service] = budget
	}
	return budget
}

func (r *repeats) CountRequest(service string) { r.budget(service).First(time.Now()) }

func (r *repeats) AcquireRetry(service string) bool { return r.budget(service).Repeat(time.Now()) }

// setLimit sets the limit. If it has changed, all budgets start anew.
func (r *repeats) setLimit(l limit.ArrivalLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l != r.limit {
		r.limit, r.byService = l, map[string]*limit.Arrivals{}
	}
}

func (r *repeats) setInstances(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = n
	for _, a := range r.byService {
		a.SetInstances(n)
	}
}
