package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/placement"
)

// silence exceeds the time without progress after which another endpoint is tried.
const silence = 900 * time.Millisecond

// pausingStream sends a stream that falls silent after its first event and then goes on.
func pausingStream(a *arrival) {
	a.stream()
	a.chunk(event(1))
	time.Sleep(silence)
	a.chunk(event(2))
	a.end()
}

// Guards against a stream that is cut because its sound endpoint falls silent when no other attempt is allowed.
func TestServe_SilentStreamIsNotCut(t *testing.T) {
	for name, change := range map[string]func(w *harness){
		"retry budget used up": func(w *harness) { w.retries = 0 },
		"one attempt allowed":  func(w *harness) { w.table.Routes[3].MaxAttempts = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, 2, pausingStream)
			w.table.Routes[3].Timeout = 3 * time.Second
			change(w)
			got := w.send(t.Context(), "resume")
			must.NoError(t, got.broken)
			must.Eq(t, event(1)+event(2), got.body.String())
			must.Eq(t, 1, w.arrivalCount())
		})
	}
}

// Guards against an idempotent request that is refused because the last endpoint that it may go to falls silent in the
// head, before the body or within it, or before any of it.
func TestServe_SilentAnswerIsNotRefused(t *testing.T) {
	head, body := "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 600\r\n\r\n", strings.Repeat("x", 600)
	for name, first := range map[string]int{"before the answer": 0, "in the head": 20, "before the body": len(head) + 100, "in the body": 1000} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, 2, func(a *arrival) {
				text := fmt.Sprintf(head, a.id) + body
				n := min(first, len(text)-1)
				_, _ = io.WriteString(a.conn, text[:n])
				time.Sleep(silence)
				_, _ = io.WriteString(a.conn, text[n:])
			})
			w.table.Routes[1].Timeout = 3 * time.Second
			w.retries = 0
			got := w.send(t.Context(), "safe")
			must.NoError(t, got.broken)
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, body, got.body.String())
			must.Eq(t, 1, w.arrivalCount())
		})
	}
}

// Guards against a stalled stream that is never continued because the retry budget was used up when it stalled.
func TestServe_StalledStreamResumesWithNewBudget(t *testing.T) {
	w := newHarness(t, 2, func(a *arrival) {
		a.stream()
		if a.after == "" {
			a.chunk(event(1))
			<-a.connClosed
			return
		}
		a.chunk(event(2))
		a.end()
	})
	w.table.Routes[3].Timeout = 3 * time.Second
	w.setRetries(0)
	time.AfterFunc(silence, func() { w.setRetries(1) })
	got := w.send(t.Context(), "resume")
	must.NoError(t, got.broken)
	must.Eq(t, event(1)+event(2), got.body.String())
	must.Less(t, 2*time.Second, got.took)
}

// Guards against a stream that is cut because its sound endpoint falls silent while no endpoint is ready for another
// attempt.
func TestServe_SilentStreamWithoutOtherEndpoint(t *testing.T) {
	began := make(chan string, 1)
	w := newHarness(t, 1, func(a *arrival) {
		began <- a.endpoint
		pausingStream(a)
	})
	w.table.Routes[3].Timeout = 3 * time.Second
	go func() { w.fleet.Remove(<-began, true, time.Now()) }()
	got := w.send(t.Context(), "resume")
	must.NoError(t, got.broken)
	must.Eq(t, event(1)+event(2), got.body.String())
}

// Guards against an endpoint that fell silent and is suspected to have crashed.
func TestServe_StallIsNoCrash(t *testing.T) {
	s := &suspects{}
	w := newHarness(t, 2, func(a *arrival) {
		a.stream()
		if a.after == "" {
			a.chunk(event(1))
			<-a.connClosed
			return
		}
		a.chunk(event(2))
		a.end()
	}, func(cfg *forward.Config) { cfg.Suspects = s })
	w.table.Routes[3].Timeout = 3 * time.Second
	got := w.sendPrompt(t.Context(), "resume", promptWith("shared"))
	must.NoError(t, got.broken)
	must.SliceEmpty(t, s.losses)
}

// quarantineFlip refuses each prompt block once refused is set.
type quarantineFlip struct {
	suspects
	refused atomic.Bool
}

func (s *quarantineFlip) RefusedBlock(string, []placement.Block) (string, time.Time, bool) {
	return "bad", time.Now().Add(time.Hour), s.refused.Load()
}

// Guards against a stream that is given up for silence although its prompt may not be sent to another endpoint.
func TestServe_StalledThenQuarantined(t *testing.T) {
	s := &quarantineFlip{}
	w := newHarness(t, 2, func(a *arrival) { s.refused.Store(true); pausingStream(a) }, func(cfg *forward.Config) { cfg.Suspects = s })
	w.table.Routes[3].Timeout = 3 * time.Second
	got := w.sendPrompt(t.Context(), "resume", promptWith("shared"))
	must.NoError(t, got.broken)
	must.Eq(t, event(1)+event(2), got.body.String())
}

// newVersionOnly moves all requests to version v2.
type newVersionOnly struct{}

func (newVersionOnly) Version(string, string) (string, bool, bool) { return "v2", true, true }
func (newVersionOnly) Observe(forward.Observation)                 {}

// Guards against requests that fail because the old version has no endpoints left, and the new one has failed them once
// or takes no more requests for a moment.
func TestServe_OldVersionHasGone(t *testing.T) {
	newOnly := func(t *testing.T, ids []string, script func(a *arrival)) *harness {
		w := newHarness(t, 0, script, func(cfg *forward.Config) { cfg.Versions = newVersionOnly{} })
		for _, id := range ids {
			w.fleet.Put(fleet.Entry{ID: id, Service: service, Version: "v2", Address: w.listen(id, script), Slots: 8})
		}
		return w
	}
	t.Run("stalled", func(t *testing.T) {
		w := newOnly(t, []string{"a", "b"}, func(a *arrival) {
			if a.after == "" {
				pausingStream(a)
				return
			}
			time.Sleep(silence)
			continueStream(a)
		})
		w.table.Routes[3].Timeout = 3 * time.Second
		got := w.send(t.Context(), "resume")
		must.NoError(t, got.broken)
		must.Eq(t, event(1)+event(2), got.body.String())
	})
	t.Run("after a pause", func(t *testing.T) {
		w := newOnly(t, []string{"a"}, func(a *arrival) {
			time.Sleep(60 * time.Millisecond)
			a.reply(http.StatusOK, "ok")
		})
		w.table.Routes[1].TargetLatency = 2 * time.Second
		w.fleet.Service(service)[0].RecordSignals(fleet.Signals{Pause: 5 * time.Millisecond}, time.Now())
		time.Sleep(10 * time.Millisecond) // the pause has ended
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() { must.Eq(t, http.StatusOK, w.send(t.Context(), "safe").status) })
			time.Sleep(20 * time.Millisecond) // the second request finds the one place taken
		}
		group.Wait()
	})
}

// rejectLater returns a script that runs the first arrival, rejects the next ones, and runs all others.
func rejectLater(rejections int32, first func(a *arrival)) func(a *arrival) {
	var arrivals atomic.Int32
	return func(a *arrival) {
		switch n := arrivals.Add(1); {
		case n == 1:
			first(a)
		case n <= 1+rejections:
			a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1")
		default:
			a.stream()
			a.chunk(event(2))
			a.end()
		}
	}
}

// Guards against a stream that is cut because the endpoint that should continue it is full for a moment.
func TestServe_StalledThenRejected(t *testing.T) {
	for _, rejections := range []int32{1, 2, 4} {
		t.Run(fmt.Sprint(rejections), func(t *testing.T) {
			w := newHarness(t, 3, rejectLater(rejections, pausingStream))
			w.table.Routes[3].Timeout = 5 * time.Second
			got := w.send(t.Context(), "resume")
			must.NoError(t, got.broken)
			must.Eq(t, event(1)+event(2), got.body.String())
		})
	}
}

// Guards against a stream that is given up for silence although every other endpoint turns it away.
func TestServe_StalledThenAllReject(t *testing.T) {
	w := newHarness(t, 3, rejectLater(1000, pausingStream))
	w.table.Routes[3].Timeout = 3 * time.Second
	got := w.send(t.Context(), "resume")
	must.NoError(t, got.broken)
	must.Eq(t, event(1)+event(2), got.body.String())
}

// Guards against a stream that is cut at its first rejection because it was lost twice before.
func TestServe_OneRejectionAfterTwoLosses(t *testing.T) {
	var arrivals atomic.Int32
	w := newHarness(t, 4, func(a *arrival) {
		switch n := int(arrivals.Add(1)); n {
		case 1, 2:
			a.stream()
			a.chunk(event(n))
			time.Sleep(30 * time.Millisecond) // the event is read before the connection ends
			_ = a.conn.Close()
		case 3:
			a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1")
		default:
			a.stream()
			a.chunk(event(3))
			a.end()
		}
	})
	w.table.Routes[3].MaxAttempts = 4
	got := w.send(t.Context(), "resume")
	must.NoError(t, got.broken)
	must.Eq(t, event(1)+event(2)+event(3), got.body.String())
}

// Guards against an empty stream that looks complete to its caller because its endpoint crashed before the first event,
// and sent neither a length nor chunks.
func TestServe_EmptyUnframedStream(t *testing.T) {
	w := newHarness(t, 1, func(a *arrival) {
		_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", a.id)
		_ = a.conn.Close()
	})
	got := w.send(t.Context(), "stream")
	must.Eq(t, http.StatusBadGateway, got.status)
	must.NotNil(t, got.refusal)
}

// silentMover stops the run at once and answers after a silence, or fails when its call is given up.
type silentMover struct {
	silence time.Duration
	stop    func()
}

func (m *silentMover) Move(ctx context.Context, _ string, _, _ *fleet.Endpoint) (string, error) {
	m.stop()
	select {
	case <-time.After(m.silence):
		return "ref", nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Guards against a stream that is cut because its sound endpoint, which is leaving, has stopped the run for a move and
// falls silent before it answers.
func TestServe_SilentMoveIsNotGivenUp(t *testing.T) {
	stopped := make(chan struct{})
	m := &silentMover{silence: 1500 * time.Millisecond, stop: sync.OnceFunc(func() { close(stopped) })}
	began := make(chan string, 1)
	w := newHarness(t, 2, func(a *arrival) {
		a.stream()
		if a.after != "" {
			a.chunk(event(2))
			a.end()
			return
		}
		a.chunk(event(1))
		began <- a.endpoint
		<-stopped
		_ = a.conn.Close()
	}, func(c *forward.Config) { c.Mover = m })
	w.table.Services[service].Engine = engine()
	w.table.Routes[2].Timeout = 4 * time.Second
	go func() { w.fleet.MarkLeaving(<-began, 0, time.Time{}) }()
	got := w.send(t.Context(), "stream")
	must.NoError(t, got.broken)
	must.Eq(t, event(1)+event(2), got.body.String())
}
