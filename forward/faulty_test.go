package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/upstream"
)

// Guards against a sound answer to an idempotent request that is cut, or run again, because its body arrives slowly.
func TestServe_SlowAnswerIsWhole(t *testing.T) {
	for name, size := range map[string]int{"read completely first": 100 << 10, "relayed as it arrives": 600 << 10} {
		t.Run(name, func(t *testing.T) {
			half := strings.Repeat("x", size/2)
			w := newHarness(t, 2, func(a *arrival) {
				_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", a.id, size, half)
				time.Sleep(300 * time.Millisecond)
				_, _ = io.WriteString(a.conn, half)
			})
			got := w.send(t.Context(), "safe")
			must.NoError(t, got.broken)
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, size, got.body.Len())
			must.Eq(t, 1, w.arrivalCount())
		})
	}
}

// Guards against a sound stream that is cut, or run again elsewhere, because it lasts long.
func TestServe_SlowStreamIsWhole(t *testing.T) {
	const events = 10
	w := newHarness(t, 2, func(a *arrival) {
		a.stream()
		for n := 1; n <= events; n++ {
			time.Sleep(50 * time.Millisecond)
			a.chunk(event(n))
		}
		a.end()
	})
	got := w.send(t.Context(), "resume")
	must.NoError(t, got.broken)
	must.Eq(t, 1, w.arrivalCount())
	want := ""
	for n := 1; n <= events; n++ {
		want += event(n)
	}
	must.Eq(t, want, got.body.String())
}

// Guards against a stalled stream that is kept by bytes that complete no event.
func TestServe_TricklingStreamResumes(t *testing.T) {
	for name, block := range map[string]string{"part of a line": ":", "comments": ": wait\n\n", "empty lines": "\n"} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, 2, func(a *arrival) {
				a.stream()
				if a.after != "" {
					a.chunk(event(2))
					a.end()
					return
				}
				a.chunk(event(1))
				trickle(a, func() { a.chunk(block) })
			})
			w.table.Routes[3].Timeout = 3 * time.Second
			got := w.send(t.Context(), "resume")
			must.NoError(t, got.broken)
			must.StrHasSuffix(t, event(2), got.body.String())
			must.StrContains(t, got.body.String(), event(1))
			must.Less(t, time.Second, got.took)
		})
	}
}

// firstArrival returns a script that answers the first arrival with script, and all others with "yes".
func firstArrival(script func(a *arrival)) func(a *arrival) {
	var arrivals atomic.Int32
	return func(a *arrival) {
		if arrivals.Add(1) == 1 {
			script(a)
			return
		}
		a.reply(http.StatusOK, "yes")
	}
}

// trickle calls send each 50 ms until the forwarder closes the connection.
func trickle(a *arrival, send func()) {
	for {
		select {
		case <-a.connClosed:
			return
		case <-time.After(50 * time.Millisecond):
			send()
		}
	}
}

// Guards against an answer that arrives a byte at a time and holds up an idempotent request until its deadline.
func TestServe_TricklingAnswerIsRepeated(t *testing.T) {
	for name, start := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX: ",
		"body": "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 800\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, 2, firstArrival(func(a *arrival) {
				_, _ = io.WriteString(a.conn, strings.Replace(start, "%s", a.id, 1))
				trickle(a, func() { _, _ = io.WriteString(a.conn, "x") })
			}))
			w.table.Routes[1].Timeout = 3 * time.Second
			got := w.send(t.Context(), "safe")
			must.Eq(t, "yes", got.body.String())
			must.Less(t, time.Second, got.took)
		})
	}
}

// Guards against an endless event or answer that is collected without bound, and against an endpoint that sends one and
// does not count as failed.
func TestServe_EndlessBody(t *testing.T) {
	block := strings.Repeat("x", 32<<10)
	for _, c := range []struct {
		name, route, head string
		status            int
	}{
		{"event", "stream", "Content-Type: text/event-stream\r\n", http.StatusBadGateway},
		{"answer that is too long", "once", fmt.Sprintf("Content-Length: %d\r\n", progress.MaxAnswerBytes+1), http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t, 1, func(a *arrival) {
				_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n", a.id, c.head)
				for {
					if _, err := io.WriteString(a.conn, block); err != nil {
						return
					}
				}
			})
			got := w.send(t.Context(), c.route)
			must.Eq(t, c.status, got.status)
			must.Eq(t, problem.EndpointFailed, problem.KindOf(got.refusal.Err))
			must.Less(t, 500*time.Millisecond, got.took)
			must.Positive(t, w.failures())
		})
	}
}

// Guards against an endpoint that does not count as failed although it breaks off long answers.
func TestServe_LongAnswerBreaksOff(t *testing.T) {
	w := newHarness(t, 1, func(a *arrival) {
		_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", a.id, 1<<20, strings.Repeat("x", 512<<10))
		time.Sleep(20 * time.Millisecond) // the body is read before the connection ends
		reset(a)
	})
	got := w.send(t.Context(), "once")
	must.Error(t, got.broken)
	must.Positive(t, w.failures())
}

// failures returns the share of failed answers of the first endpoint.
func (w *harness) failures() float64 {
	return w.fleet.Service(service)[0].Stats.Snapshot(time.Now()).Failures
}

// Guards against a request that waits for the rest of a refusal that arrives a byte at a time.
func TestServe_TricklingRefusal(t *testing.T) {
	w := newHarness(t, 2, firstArrival(func(a *arrival) {
		_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 800\r\n\r\n", a.id)
		trickle(a, func() { _, _ = io.WriteString(a.conn, "x") })
	}))
	got := w.send(t.Context(), "once")
	must.Eq(t, "yes", got.body.String())
	must.Less(t, 300*time.Millisecond, got.took)
}

// Guards against running work that is started again or given up because its endpoint, silent for a while, has left the
// list.
func TestServe_EndpointLeavesList(t *testing.T) {
	for _, route := range []string{"stream", "resume"} {
		t.Run(route, func(t *testing.T) {
			began, removed := make(chan string, 1), make(chan struct{})
			w := newHarness(t, 2, func(a *arrival) {
				a.stream()
				a.chunk(event(1))
				began <- a.endpoint
				<-removed
				time.Sleep(100 * time.Millisecond)
				a.chunk(event(2))
				a.end()
			})
			go func() {
				w.fleet.Remove(<-began, true, time.Now())
				close(removed)
			}()
			got := w.send(t.Context(), route)
			must.NoError(t, got.broken)
			must.Eq(t, event(1)+event(2), got.body.String())
			must.Eq(t, 1, w.arrivalCount())
		})
	}
}

// Guards against a service that is slow as a whole and gets each idempotent request twice.
func TestServe_SlowServiceIsNotAskedTwice(t *testing.T) {
	w := newHarness(t, 2, func(a *arrival) {
		time.Sleep(260 * time.Millisecond) // longer than three quarters of the objective
		a.reply(http.StatusOK, "yes")
	})
	for range 10 {
		must.Eq(t, "yes", w.send(t.Context(), "safe").body.String())
	}
	before := w.arrivalCount()
	for range 4 {
		must.Eq(t, "yes", w.send(t.Context(), "safe").body.String())
	}
	must.Eq(t, before+4, w.arrivalCount())
}

// Guards against a request that tries to connect to its only endpoint again and again without a pause.
func TestServe_OnlyEndpointIsUnreachable(t *testing.T) {
	var dials atomic.Int32
	table := fleet.NewTable(func(address string) *upstream.Pool {
		return upstream.NewPool(address, upstream.Settings{Dial: func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			return nil, errors.New("connection refused")
		}})
	})
	table.Put(fleet.Entry{ID: "e0", Service: service, Address: "127.0.0.1:1", Slots: 8})
	w := newHarness(t, 0, nil, func(c *forward.Config) { c.Fleet = table })
	got := w.send(t.Context(), "safe")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Less(t, 20, dials.Load())
}
