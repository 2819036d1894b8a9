package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
)

// Signals implements forward.Wire: "Leaving" is the header of the tests.
func (wire) Signals(_ int, h http.Header) fleet.Signals {
	return fleet.Signals{Leaving: h.Get("Leaving") != ""}
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
