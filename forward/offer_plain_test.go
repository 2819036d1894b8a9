package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	plainHead = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 600\r\n\r\n"
	// The answer of the first endpoint stalls after this many bytes.
	beforeAnswer, inHead, inBody = 0, 20, 400
)

var plainBody = strings.Repeat("x", 600)

// answerThen returns a script whose first arrival sends the given number of bytes of its answer, and the rest once goOn is
// closed. Later arrivals get the other script.
func answerThen(first int, goOn <-chan struct{}, canceled chan<- struct{}, other func(a *arrival)) func(a *arrival) {
	var arrivals atomic.Int32
	return func(a *arrival) {
		if arrivals.Add(1) > 1 {
			other(a)
			return
		}
		text := fmt.Sprintf(plainHead, a.id) + plainBody
		_, _ = io.WriteString(a.conn, text[:first])
		select {
		case <-goOn:
			_, _ = io.WriteString(a.conn, text[first:])
		case <-a.connClosed:
			close(canceled)
		}
	}
}

// Guards against an idempotent request that is given up for silence although the endpoint that was to answer it rejects
// it, fails, or is silent too.
func TestServe_StalledAnswerThenFailure(t *testing.T) {
	for at, first := range map[string]int{"before the answer": beforeAnswer, "in the head": inHead, "in the body": inBody} {
		for name, other := range map[string]func(a *arrival){
			"rejection":    func(a *arrival) { a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1") },
			"server error": func(a *arrival) { a.reply(http.StatusInternalServerError, "failed") },
			"closed":       func(a *arrival) { _ = a.conn.Close() },
			"silent":       func(*arrival) {},
		} {
			t.Run(at+", "+name, func(t *testing.T) {
				goOn, canceled := make(chan struct{}), make(chan struct{})
				resume := sync.OnceFunc(func() { close(goOn) })
				w := newHarness(t, 2, answerThen(first, goOn, canceled, func(a *arrival) {
					other(a)
					time.AfterFunc(50*time.Millisecond, resume)
				}))
				w.table.Routes[1].Timeout = 3 * time.Second
				got := w.send(t.Context(), "safe")
				must.NoError(t, got.broken)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, plainBody, got.body.String())
				must.Eq(t, 2, w.arrivalCount())
			})
		}
	}
}

// Guards against a stalled run of an idempotent request that goes on, or an answer that is not used, once another endpoint
// has answered.
func TestServe_StalledAnswerThenAnswered(t *testing.T) {
	for at, first := range map[string]int{"before the answer": beforeAnswer, "in the head": inHead, "in the body": inBody} {
		t.Run(at, func(t *testing.T) {
			canceled := make(chan struct{})
			w := newHarness(t, 2, answerThen(first, nil, canceled, func(a *arrival) { a.reply(http.StatusOK, "other") }))
			w.table.Routes[1].Timeout = 3 * time.Second
			got := w.send(t.Context(), "safe")
			must.NoError(t, got.broken)
			must.Eq(t, "other", got.body.String())
			must.Eq(t, 2, w.arrivalCount())
			waitClosed(t, canceled)
		})
	}
}

// Guards against an idempotent request that goes to no further endpoint when the second one is silent too.
func TestServe_TwoSilentEndpoints(t *testing.T) {
	var arrivals atomic.Int32
	w := newHarness(t, 3, func(a *arrival) {
		if arrivals.Add(1) == 3 {
			a.reply(http.StatusOK, "third")
		}
	})
	w.table.Routes[1].Timeout = 3 * time.Second
	w.table.Routes[1].MaxAttempts = 3
	got := w.send(t.Context(), "safe")
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "third", got.body.String())
	must.Eq(t, 3, w.arrivalCount())
}

// Guards against a refusal that promises that a request was not run, although an endpoint to which it was offered may have
// run it.
func TestServe_OfferThatRan(t *testing.T) {
	goOn := make(chan struct{})
	var arrivals atomic.Int32
	resume := sync.OnceFunc(func() { close(goOn) })
	w := newHarness(t, 2, func(a *arrival) {
		if arrivals.Add(1) > 1 {
			resume()
			_ = a.conn.Close()
			return
		}
		<-goOn
		time.Sleep(50 * time.Millisecond) // the offer ends
		a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1")
	})
	w.table.Routes[1].Timeout = 3 * time.Second
	w.retries = 1
	got := w.send(t.Context(), "safe")
	must.NotNil(t, got.refusal)
	must.Eq(t, http.StatusBadGateway, got.status)
}

// Guards against more than one attempt beside a stalled one, and against attempts beyond those that the route allows.
func TestServe_OneOfferAtATime(t *testing.T) {
	var running, most atomic.Int32
	w := newHarness(t, 6, func(a *arrival) {
		n := running.Add(1)
		for {
			m := most.Load()
			if n <= m || most.CompareAndSwap(m, n) {
				break
			}
		}
		<-a.connClosed
		running.Add(-1)
	})
	w.table.Routes[1].Timeout = 3 * time.Second
	w.table.Routes[1].MaxAttempts = 4
	got := w.send(t.Context(), "safe")
	must.Eq(t, http.StatusGatewayTimeout, got.status)
	must.Eq(t, 4, w.arrivalCount())
	must.LessEq(t, 3, most.Load()) // an endpoint may notice the end of one offer after the start of the next
}
