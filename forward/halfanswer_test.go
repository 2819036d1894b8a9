package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/standin"
)

// halfAnswer is an answer that its endpoint cuts.
type halfAnswer struct {
	*standin.RawAnswer
	route string
	reset bool // the connection ends with a reset
	// again is set if the next endpoint cuts its answer at the same byte; otherwise its answer is whole.
	again bool

	mu       sync.Mutex
	arrivals map[string]int // by request ID
}

// idOf returns the ID of the request whose answer is cut after n bytes.
func idOf(n int) string { return fmt.Sprintf("cut-%04d", n) }

func (h *halfAnswer) bytes(id string) *standin.RawBytes { return h.Bytes(h.Body(""), "Id: "+id) }

// script answers a request.
func (h *halfAnswer) script(a *arrival) {
	h.mu.Lock()
	h.arrivals[a.id]++
	first := h.arrivals[a.id] == 1
	h.mu.Unlock()
	if !first && !h.again {
		if h.Events { // in chunks, since a stream without a length can't be continued after its last event
			a.stream()
			if rest := h.Body(a.after); rest != "" {
				a.chunk(rest)
			}
			a.end()
			return
		}
		_, _ = io.WriteString(a.conn, h.Bytes(h.Body(""), "Id: "+a.id, "Connection: close").Text)
		standin.CloseConn(a.conn, false)
		return
	}
	text := h.bytes(a.id).Text
	var cut int
	_, _ = fmt.Sscanf(a.id, "cut-%d", &cut)
	_, _ = io.WriteString(a.conn, text[:cut])
	standin.CloseConn(a.conn, h.reset)
}

// withoutComments removes the comments of a stream, which a continued stream may repeat.
func withoutComments(stream string) string { return strings.ReplaceAll(stream, standin.RawComment, "") }

// lastRawEvent is the last event of the streams that are cut, without its ID.
const lastRawEvent = "data: 2\n\n"

// check makes a request whose answer is cut after n bytes, and checks what its caller gets.
func (h *halfAnswer) check(t *testing.T, w *harness, n int) {
	id := idOf(n)
	now := time.Now()
	got := &caller{}
	got.broken = w.forwarder.Serve(t.Context(), got, &forward.Request{
		ID: id, Method: http.MethodPost, Host: "h", Path: "/" + h.route + "/x", URI: "/" + h.route + "/x", Key: "k",
		Header: http.Header{}, Arrived: now, Deadline: now.Add(10 * time.Second),
	})
	raw := h.bytes(id)
	body, whole := raw.WholeAt(n, h.reset)
	mayRepeat := h.route == "safe" || h.route == "resume"
	h.mu.Lock()
	arrivals := h.arrivals[id]
	h.mu.Unlock()
	what := must.Sprintf("%q, then got %d %q, refused %v, broken off %v, %d arrivals", raw.Text[:n], got.status, got.body.String(), got.refusal, got.broken, arrivals)

	isWhole := got.refusal == nil && got.broken == nil
	started := h.Events && h.route == "safe" && n > raw.Head // its bytes are relayed as they arrive
	// A continuation after the last event has none, which does not show that its endpoint took the position.
	nothingLeft := h.Events && h.route == "resume" && !whole && n >= strings.LastIndex(raw.Text, lastRawEvent)+len(lastRawEvent)
	switch {
	case nothingLeft:
		must.Eq(t, 2, arrivals, what)
		must.False(t, isWhole, what)
	case whole && (h.Status < 500 || !mayRepeat):
		must.Eq(t, 1, arrivals, what)
		must.True(t, isWhole, what)
	case whole, mayRepeat && !h.again && !(started && got.broken != nil):
		must.Eq(t, 2, arrivals, what)
		must.True(t, isWhole, what)
		body = raw.Body
	default:
		must.False(t, isWhole, what)
	}
	if isWhole {
		must.Eq(t, h.Status, got.status, what)
		must.Eq(t, withoutComments(body), withoutComments(got.body.String()), what)
		return
	}
	if got.refusal != nil {
		must.Eq(t, problem.EndpointFailed, problem.KindOf(got.refusal.Err), what) // 503 and 429 state that it did not run
		must.Eq(t, "", got.body.String(), what)
		return
	}
	must.Eq(t, h.Status, got.status, what)
	must.True(t, strings.HasPrefix(withoutComments(raw.Body), withoutComments(got.body.String())) || strings.HasPrefix(raw.Body, got.body.String()), what)
	must.True(t, h.route == "safe" || h.route == "once" || strings.HasSuffix(got.body.String(), "\n\n"), what)
	must.True(t, h.Events, what) // others are read completely first
}

// Guards against an answer that ends early and looks whole, against a refusal which states that a request did not run
// that has run, and against a request that is not repeated after half an answer although it may run again. Answers end
// after each of their bytes, closed or reset.
func TestServe_HalfAnswers(t *testing.T) {
	for _, answer := range standin.RawAnswers() {
		for _, route := range []string{"once", "safe", "stream", "resume"} {
			for _, reset := range []bool{false, true} {
				for _, again := range []bool{false, true} {
					isStreaming := route == "stream" || route == "resume"
					if again && (reset || route == "once" || route == "stream") || isStreaming && !answer.Events && (reset || again) {
						continue // the same code serves it as in another case
					}
					h := &halfAnswer{RawAnswer: &answer, route: route, reset: reset, again: again, arrivals: map[string]int{}}
					t.Run(fmt.Sprintf("%s/%s/reset=%t/again=%t", answer.Name, route, reset, again), func(t *testing.T) {
						t.Parallel()
						w := newHarness(t, 2, h.script)
						w.setRetries(1 << 30)
						w.setPatient()
						for n := range len(h.bytes(idOf(0)).Text) + 1 {
							h.check(t, w, n)
						}
					})
				}
			}
		}
	}
}
