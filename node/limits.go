package node

import (
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/limit"
)

// retryBudgets implements forward.RetryBudget with a budget for each service.
type retryBudgets struct {
	limit limit.RepeatLimit

	mu        sync.Mutex
	instances int
	byService map[string]*limit.RepeatBudget
}

func (r *retryBudgets) budget(service string) *limit.RepeatBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.byService[service]
	if budget == nil {
		budget = limit.NewRepeatBudget(r.limit, r.instances)
		r.byService[service] = budget
	}
	return budget
}

func (r *retryBudgets) CountRequest(service string) { r.budget(service).CountRequest(time.Now()) }

func (r *retryBudgets) AcquireRetry(service string) bool {
	return r.budget(service).AcquireRetry(time.Now())
}

// setLimit sets the limit. If it has changed, all budgets start anew.
func (r *retryBudgets) setLimit(l limit.RepeatLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l != r.limit {
		r.limit, r.byService = l, map[string]*limit.RepeatBudget{}
	}
}

func (r *retryBudgets) setInstances(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = n
	for _, budget := range r.byService {
		budget.SetInstances(n)
	}
}
