package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/forward"
)

// soon is the time until the end of an endpoint whose runs are moved before they count as stalled.
const soon = 1200 * time.Millisecond

// movedRun is a run that is moved from its endpoint after the first event. Its reference can be used once.
type movedRun struct {
	moved closingMover
	began chan string // ID of the endpoint of the first arrival

	mu       sync.Mutex
	arrivals int
	used     int // arrivals that continued the run by its reference
	second   int // uses of the reference after the first one, which were rejected
}

// serve answers an arrival. onUse answers the one that continues the run by its reference.
func (m *movedRun) serve(a *arrival, onUse func(a *arrival)) {
	m.mu.Lock()
	m.arrivals++
	first, again := m.arrivals == 1, false
	if a.from != "" {
		again = m.used > 0
		if again {
			m.second++
		} else {
			m.used++
		}
	}
	m.mu.Unlock()
	switch {
	case first:
		a.stream()
		a.chunk(event(1))
		m.began <- a.endpoint
		select {
		case <-m.moved:
		case <-a.connClosed:
		}
		_ = a.conn.Close()
	case again:
		a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1")
	case a.from != "":
		onUse(a)
	default:
		a.stream()
		for n := 2; n <= 4; n++ {
			if fmt.Sprint(n) > a.after {
				a.chunk(event(n))
			}
		}
		a.end()
	}
}

// Guards against a reference to the memory of a moved run that is used again when the stream is resumed: the second use is
// rejected, and costs the stream an attempt.
func TestServe_MoveReferenceIsUsedOnce(t *testing.T) {
	parts := map[string]func(a *arrival){
		"broken head":       func(a *arrival) { _, _ = fmt.Fprint(a.conn, "HTTP/1.1 2x0\r\n\r\n"); _ = a.conn.Close() },
		"no answer":         func(a *arrival) { _ = a.conn.Close() },
		"head only":         func(a *arrival) { a.stream(); _ = a.conn.Close() },
		"one event":         func(a *arrival) { a.stream(); a.chunk(event(2)); _ = a.conn.Close() },
		"one event, reset":  func(a *arrival) { a.stream(); a.chunk(event(2)); reset(a) },
		"part of an event":  func(a *arrival) { a.stream(); a.chunk(event(2) + "id: 3"); _ = a.conn.Close() },
		"silent, no event":  func(a *arrival) { a.stream(); <-a.connClosed },
		"silent, one event": func(a *arrival) { a.stream(); a.chunk(event(2)); <-a.connClosed },
		"server error":      func(a *arrival) { a.reply(http.StatusInternalServerError, "failed") },
	}
	for name, part := range parts {
		for _, route := range []string{"resume", "stream"} {
			t.Run(route+"/"+name, func(t *testing.T) {
				t.Parallel()
				m := &movedRun{moved: make(closingMover), began: make(chan string, 1)}
				w := newHarness(t, 3, func(a *arrival) { m.serve(a, part) }, func(c *forward.Config) { c.Mover = m.moved })
				w.table.Services[service].Engine = engine()
				for i := range w.table.Routes {
					w.table.Routes[i].Timeout, w.table.Routes[i].MaxAttempts = 4*time.Second, 3
				}
				go func() { w.fleet.MarkLeaving(<-m.began, 0, time.Now().Add(soon)) }()
				got := w.send(t.Context(), route)
				m.mu.Lock()
				defer m.mu.Unlock()
				whole := event(1) + event(2) + event(3) + event(4)
				if route == "resume" {
					must.NoError(t, got.broken)
					must.Eq(t, whole, got.body.String())
				} else {
					must.Error(t, got.broken)
					must.StrHasPrefix(t, got.body.String(), whole)
					must.Eq(t, 2, m.arrivals) // the first endpoint, and the one with the reference
				}
				must.Eq(t, 1, m.used)
				must.Eq(t, 0, m.second)
			})
		}
	}
}

// Guards against a moved run that is given up, or runs twice, because an endpoint without room rejects it: the reference
// was not used then.
func TestServe_RejectedMoveReferenceIsKept(t *testing.T) {
	m := &movedRun{moved: make(closingMover), began: make(chan string, 1)}
	var rejected sync.Once
	w := newHarness(t, 3, func(a *arrival) {
		reject := false
		if a.from != "" {
			rejected.Do(func() { reject = true })
		}
		if reject {
			a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1")
			return
		}
		m.serve(a, func(a *arrival) { a.stream(); a.chunk(event(2)); a.end() })
	}, func(c *forward.Config) { c.Mover = m.moved })
	w.table.Services[service].Engine = engine()
	w.table.Routes[2].Timeout = 4 * time.Second
	go func() { w.fleet.MarkLeaving(<-m.began, 0, time.Now().Add(soon)) }()
	got := w.send(t.Context(), "stream")
	must.NoError(t, got.broken)
	must.Eq(t, event(1)+event(2), got.body.String())
	m.mu.Lock()
	defer m.mu.Unlock()
	must.Eq(t, 1, m.used)
}

// Guards against events of two runs when another endpoint accepts a stalled stream while the first one has sent a part of
// an event, and then sends the rest of it.
func TestServe_OfferIsAcceptedWithinEvent(t *testing.T) {
	for part := 1; part < len(numbered("run0", 2)[0]); part += 3 {
		for _, order := range []string{"rest first", "events first"} {
			t.Run(fmt.Sprintf("%d bytes, %s", part, order), func(t *testing.T) {
				t.Parallel()
				accepted, sentRest := make(chan struct{}), make(chan struct{})
				var mu sync.Mutex
				var sent []sentAnswer
				w := newHarness(t, 3, func(a *arrival) {
					mu.Lock()
					n := len(sent)
					p := plan{status: http.StatusOK, mediaType: "text/event-stream", pieces: numbered(fmt.Sprintf("run%d", n), 1), ending: endWhole}
					if n > 0 {
						p.pieces = p.pieces[1:]
					}
					seal := fmt.Sprintf("run%d", n)
					sent = append(sent, p.answer(seal, a.after))
					mu.Unlock()
					switch n {
					case 0:
						_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: run0\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", a.id)
						a.chunk(p.pieces[0])
						a.chunk(p.pieces[1][:part])
						select {
						case <-accepted:
						case <-time.After(3 * time.Second):
						}
						a.chunk(p.pieces[1][part:] + strings.Join(p.pieces[2:], ""))
						close(sentRest)
						a.end()
					case 1:
						a.stream()
						if order == "events first" {
							a.chunk(p.pieces[0])
						}
						close(accepted)
						waitClosed(t, sentRest)
						if order == "rest first" {
							a.chunk(p.pieces[0])
						}
						a.chunk(strings.Join(p.pieces[1:], ""))
						a.end()
					default:
						p.send(a, seal)
					}
				})
				w.table.Routes[3].Timeout, w.table.Routes[3].MaxAttempts = 4*time.Second, 2
				got := w.send(t.Context(), "resume")
				v := view{status: got.status, seal: got.header.Get("Seal"), length: got.length, body: got.body.String(), broken: got.broken != nil}
				mu.Lock()
				defer mu.Unlock()
				must.NoError(t, checkView(routeRules{mayRepeat: true, resumable: true, maxAttempts: 2}, "", sent, v))
				must.False(t, v.broken, must.Sprint(v.body))
			})
		}
	}
}

// Guards against pieces that are missing or doubled, and against an endpoint that works on, when a caller resumes a stream
// while its earlier connection to another instance, or to the same one, is still open.
func TestServe_ResumedWhileOldConnectionIsOpen(t *testing.T) {
	for _, sameInstance := range []bool{true, false} {
		for _, stalled := range []bool{true, false} {
			t.Run(fmt.Sprintf("same instance %v, stalled %v", sameInstance, stalled), func(t *testing.T) {
				t.Parallel()
				goOn, begun, released := make(chan struct{}), make(chan struct{}), make(chan struct{})
				w := newHarness(t, 3, func(a *arrival) {
					a.stream()
					if a.after == "" {
						a.chunk(event(1) + event(2))
						close(begun)
						select {
						case <-goOn:
							a.chunk(event(3))
						case <-a.connClosed:
						}
						<-a.connClosed
						close(released)
						return
					}
					a.chunk(event(3) + event(4))
					a.end()
				})
				w.table.Routes[3].Timeout, w.table.Routes[3].MaxAttempts = 4*time.Second, 1
				other := w.forwarder
				if !sameInstance {
					other = forward.New(w.config)
				}
				ctx, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				old := make(chan *caller, 1)
				go func() { old <- w.send(ctx, "resume") }()
				waitClosed(t, begun)
				if !stalled {
					close(goOn)
				}
				got := w.sendTo(t.Context(), other, "resume", &forward.Request{LastEventID: "2"})
				must.NoError(t, got.broken)
				must.Eq(t, event(3)+event(4), got.body.String())
				disconnect()
				waitClosed(t, released)
				must.StrHasPrefix(t, (<-old).body.String(), event(1)+event(2)+event(3))
				must.Eq(t, 2, w.arrivalCount())
			})
		}
	}
}
