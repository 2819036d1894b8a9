package node

import (
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/limit"
)

// repeats implements forward.Repeats with a budget for each service.
type repeats struct {
	limit limit.RepeatLimit

	mu        sync.Mutex
	instances int
	byService map[string]*limit.RepeatBudget
}

func (r *repeats) budget(service string) *limit.RepeatBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.byService[service]
	if budget == nil {
		budget = limit.NewRepeatBudget(r.limit, r.instances)
		r.byService[service] = budget
	}
	return budget
}

func (r *repeats) CountRequest(service string) { r.budget(service).CountRequest(time.Now()) }

func (r *repeats) AcquireRetry(service string) bool {
	return r.budget(service).AcquireRetry(time.Now())
}

// setLimit sets the limit. If it has changed, all budgets start anew.
func (r *repeats) setLimit(l limit.RepeatLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l != r.limit {
		r.limit, r.byService = l, map[string]*limit.RepeatBudget{}
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
