package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
