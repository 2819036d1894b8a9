package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/trefoillug/trefoillug/limit"
	"github.com/trefoillug/trefoillug/quota"
	"github.com/trefoillug/trefoillug/routing"
)

// quotas implements forward.Quotas.
type quotas struct{ n *Node }

func (q quotas) Take(ws *routing.Workspace, cost float64) (bool, time.Duration) {
	return q.n.quotas.Take(ws.Name, quota.Limit{PerSecond: ws.Quota.PerSecond, Burst: ws.Quota.Burst}, cost, time.Now())
}

func (q quotas) Return(ws *routing.Workspace, cost float64) { q.n.quotas.Return(ws.Name, cost) }

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

// metricsInterval is how often counters reach the exposition under /metrics.
const metricsInterval = time.Second

type metrics struct {
	scope   tally.Scope
	handler http.Handler
}

func newMetrics() *metrics {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "trefoillug", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	return &metrics{scope: scope, handler: reporter.HTTPHandler()}
}
