package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/problem"
)

// Signals implements forward.Wire: "Leaving" and "Pause", a duration, are the headers of the tests.
func (wire) Signals(_ int, h http.Header) fleet.Signals {
	pause, _ := time.ParseDuration(h.Get("Pause")) // 0 without one
	return fleet.Signals{Leaving: h.Get("Leaving") != "", Pause: pause}
}

// closingMover closes the channel when a run is moved.
type closingMover chan struct{}

func (m closingMover) Move(context.Context, string, *fleet.Endpoint, *fleet.Endpoint) (string, error) {
	close(m)
	return "ref", nil
}

// Guards against a run that is lost because it was begun on an endpoint that has been leaving for long, and against one
// that is moved though its endpoint began to leave only now.
func TestServe_RunBegunOnLeavingEndpoint(t *testing.T) {
	for name, knownBefore := range map[string]bool{"leaving for unknown time": false, "just began to leave": true} {
		t.Run(name, func(t *testing.T) {
			m := make(closingMover)
			w := newHarness(t, 2, func(a *arrival) {
				if a.after != "" {
					a.stream()
					a.chunk(event(2))
					a.end()
					return
				}
				_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", a.id)
				a.chunk(event(1))
				<-m
				_ = a.conn.Close()
			}, func(c *forward.Config) { c.Mover = m })
			w.table.Services[service].Engine = engine()
			w.table.Routes[2].Timeout = 3 * time.Second
			if knownBefore {
				for _, e := range w.fleet.Service(service) {
					e.RecordSignals(fleet.Signals{}, time.Now())
				}
			}
			got := w.send(t.Context(), "stream")
			must.NoError(t, got.broken)
			must.Eq(t, event(1)+event(2), got.body.String())
			must.Eq(t, knownBefore, got.took > 700*time.Millisecond, must.Sprint(got.took))
			must.Len(t, 1, w.fleet.Service(service))
		})
	}
}

// Guards against requests to an endpoint that wants none while another one has room, against repeats that use the retry
// budget though no endpoint accepts them, and against callers that are told to come back too early.
func TestServe_EndpointsWantNothing(t *testing.T) {
	for _, route := range []string{"once", "safe"} {
		w := newHarness(t, 3, func(a *arrival) {
			if a.endpoint == "e2" {
				a.reply(http.StatusOK, "done")
				return
			}
			a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1", "Pause", "2s")
		})
		for range 10 {
			must.Eq(t, http.StatusOK, w.send(t.Context(), route).status)
		}
		must.LessEq(t, 12, w.arrivalCount())
		w.fleet.MarkLeaving("e2", 0, time.Time{})
		w.retries = 5
		used := w.arrivalCount()
		for range 20 {
			got := w.send(t.Context(), route)
			must.Eq(t, problem.Overloaded, problem.KindOf(got.refusal.Err))
			must.Greater(t, 1500*time.Millisecond, got.refusal.RetryAfter)
			must.Less(t, 4*time.Second, got.refusal.RetryAfter)
		}
		must.LessEq(t, used+2, w.arrivalCount())
		must.GreaterEq(t, 4, w.retries)
		must.Eq(t, 10, w.quotaUsed)
	}
}

// Guards against an answer that is replaced by an error of the system because no endpoint accepts the repeat.
func TestServe_AnswerIsKeptWhileEndpointsWantNothing(t *testing.T) {
	w := newHarness(t, 1, func(a *arrival) { a.reply(http.StatusServiceUnavailable, "full", "Pause", "1s") })
	got := w.send(t.Context(), "safe")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, "full", got.body.String())
	must.Eq(t, 1, w.arrivalCount())
}

// pausingMover records the targets of moves. It stops the run, and closes the first target once the run is there.
type pausingMover struct {
	stopped chan struct{}
	targets []string
}

func (m *pausingMover) Move(_ context.Context, _ string, _, to *fleet.Endpoint) (string, error) {
	m.targets = append(m.targets, to.ID)
	close(m.stopped)
	to.RecordSignals(fleet.Signals{Pause: 2 * time.Second}, time.Now())
	return "ref", nil
}

// Guards against runs that are moved to an endpoint that wants none, and against a moved run that is lost because its
// target wants none any more.
func TestServe_MovesAvoidEndpointsThatWantNothing(t *testing.T) {
	m := &pausingMover{stopped: make(chan struct{})}
	began := make(chan string, 1)
	w := newHarness(t, 3, func(a *arrival) {
		a.stream()
		if a.after != "" {
			a.chunk(event(2))
			a.end()
			return
		}
		a.chunk(event(1))
		began <- a.endpoint
		<-m.stopped
		_ = a.conn.Close()
	}, func(c *forward.Config) { c.Mover = m })
	w.table.Services[service].Engine = engine()
	w.table.Routes[2].Timeout = 3 * time.Second
	var from, paused string
	go func() {
		from = <-began
		all := w.fleet.Service(service)
		other := all[slices.IndexFunc(all, func(e *fleet.Endpoint) bool { return e.ID != from })]
		paused = other.ID
		other.RecordSignals(fleet.Signals{Pause: 3 * time.Second}, time.Now())
		w.fleet.MarkLeaving(from, 0, time.Time{})
	}()
	got := w.send(t.Context(), "stream")
	must.NoError(t, got.broken)
	must.Eq(t, event(1)+event(2), got.body.String())
	must.Len(t, 1, m.targets)
	must.NotEq(t, paused, m.targets[0])
	must.Eq(t, []string{from, from}, w.arrivals) // the target wants none, and the first endpoint still has the memory
}
