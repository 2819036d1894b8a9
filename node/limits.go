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

func (r *repeats) of(service string) *limit.Arrivals {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.byService[service]
	if a == nil {
		a = limit.NewArrivals(r.limit, r.instances)
		r.byService[service] = a
	}
	return a
}

func (r *repeats) First(service string) { r.of(service).First(time.Now()) }

func (r *repeats) Repeat(service string) bool { return r.of(service).Repeat(time.Now()) }

// setLimit replaces the limit; budgets begin anew.
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
