package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/review/lab"
)

// ordersApp is the plain service of the small site with its two kinds of requests.
func ordersApp() rollout {
	return rollout{
		service: lab.Service("orders"),
		routes: []any{
			lab.Route("book", "non_idempotent", "orders", nil),
			lab.Route("look", "idempotent", "orders", map[string]any{"maxAttempts": 2}),
		},
		loads: []load{
			{method: http.MethodPost, path: "/book/order", body: "one van", rate: 25.6, deadline: 1500 * time.Millisecond},
			{method: http.MethodGet, path: "/look/status", rate: 10.3, deadline: 1500 * time.Millisecond},
		},
		worker: func() *lab.Worker { return &lab.Worker{Slots: 6, Work: 60 * time.Millisecond} },
	}
}

// badRoute: the new version fails a part of its answers on one route.
func badRoute(r *lab.Record, trouble bool) (lab.ExitCode, error) {
	const share = 0.15
	c := ordersApp()
	c.spoil = func(w *lab.Worker) {
		w.Fails = func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/look/") && rand.Float64() < share }
	}
	return c.run(r, trouble)
}

// missingRoute: the new version answers all requests of one route with 404.
func missingRoute(r *lab.Record, trouble bool) (lab.ExitCode, error) {
	c := ordersApp()
	c.spoil = func(w *lab.Worker) {
		w.FailStatus = http.StatusNotFound
		w.Fails = func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/look/") }
	}
	return c.run(r, trouble)
}

// timedOutAnswers: a part of the new version's answers take eight times as long, which is more than the route's timeout.
func timedOutAnswers(r *lab.Record, trouble bool) (lab.ExitCode, error) {
	const share, factor = 0.4, 8
	c := ordersApp()
	c.worker = func() *lab.Worker { return &lab.Worker{Slots: 6, Work: 120 * time.Millisecond} }
	c.spoil = func(w *lab.Worker) {
		w.Slowness = func(r *http.Request) float64 {
			if strings.HasPrefix(r.URL.Path, "/book/") && rand.Float64() < share {
				return factor
			}
			return 1
		}
	}
	return c.run(r, trouble)
}

// slowEvents: the new version generates its streams four times as slowly; their first events come in time.
func slowEvents(r *lab.Record, trouble bool) (lab.ExitCode, error) {
	const factor = 4
	c := rollout{
		service: map[string]any{
			"name": "model-pool", "healthPath": "/health", "maxConns": 360,
			"engine": map[string]any{"slots": 64, "kvCapacity": 747920, "kvTokenBytes": 35136, "linkMbps": 1500000.0, "moves": true, "stride": 6, "handleS": 5.0},
		},
		routes: []any{lab.Route("notes", "streaming", "model-pool", map[string]any{
			"timeoutMs": 12000, "targetLatencyMs": 500, "targetGapMs": 500, "maxAttempts": 2, "resumable": true, "priority": 0, "sticky": true,
		})},
		loads: []load{{
			method: http.MethodPost, path: "/notes/ask", body: "a note", rate: 33, deadline: 12 * time.Second,
			header: http.Header{"X-Trefoillug-Token-Count": {"826,294"}, "X-Trefoillug-Prompt-Prefix": {"a1:119,b2:79,c3:628"}},
		}},
		worker: func() *lab.Worker {
			return &lab.Worker{Slots: 64, Work: 80 * time.Millisecond, Events: 49, EventTime: 25 * time.Millisecond}
		},
		spoil: func(w *lab.Worker) { w.Slowness = func(*http.Request) float64 { return factor } },
	}
	return c.run(r, trouble)
}
