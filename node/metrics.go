package node

import (
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is the time between updates of the metrics that are served under /metrics.
const metricsInterval = time.Second

type metrics struct {
	scope   tally.Scope
	handler http.Handler
}

func newMetrics() *metrics {
	registry := prom.NewRegistry() // one per instance, since tests run several in a process
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "trefoillug", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	return &metrics{scope: scope, handler: reporter.HTTPHandler()}
}
