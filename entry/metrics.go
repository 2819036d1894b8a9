package entry

import (
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/trefoillug/trefoillug/core"
)

// reportInterval is the time between two updates of the counters under /metrics.
const reportInterval = time.Second

// metrics counts the events of the request path and serves the counters in the Prometheus text format.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
}

func newMetrics() *metrics {
	registry := prom.NewRegistry() // one per instance, since tests run several in a process
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "trefoillug", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &metrics{scope: scope, handler: reporter.HTTPHandler()}
}

// resultLabels holds the metric label of each result of an attempt.
var resultLabels = map[core.Result]string{
	core.Succeeded: "succeeded", core.Failed: "failed", core.EndpointLost: "endpoint_lost",
	core.Cancelled: "cancelled", core.TimedOut: "timed_out",
}

func (m *metrics) observe(e core.Event) {
	switch e := e.(type) {
	case core.Served:
		m.scope.Tagged(map[string]string{"service": e.Service, "workspace": e.Workspace}).Counter("served_total").Inc(1)
	case core.Refused:
		m.scope.Tagged(map[string]string{"service": e.Service, "workspace": e.Workspace, "kind": string(e.Kind)}).
			Counter("refused_total").Inc(1)
	case core.AttemptDone:
		s := m.scope.Tagged(map[string]string{"service": e.Service, "version": e.Version, "result": resultLabels[e.Result]})
		s.Counter("attempts_total").Inc(1)
		s.Counter("tokens_total").Inc(int64(e.Tokens))
		s.Counter("recomputed_tokens_total").Inc(int64(e.Recomputed))
		s.Timer("attempt_first_token").Record(e.FirstToken)
		if e.Refused != "" {
			m.scope.Tagged(map[string]string{"cause": string(e.Refused)}).Counter("continuations_refused_total").Inc(1)
		}
	}
}
