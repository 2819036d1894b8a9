package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/graceful"
	"github.com/trefoillug/trefoillug/standin"
)

// halfAnswer is an answer that its endpoints cut.
type halfAnswer struct {
	*standin.RawAnswer
	reset bool // the connection ends with a reset
	times int  // the number of arrivals whose answers are cut

	mu       sync.Mutex
	cut      int // the answer is cut after this number of bytes
	arrivals int
	left     int // of times
	bytes    func(req *http.Request) *standin.RawBytes
	whole    func(req *http.Request) *standin.RawBytes
}

// serve answers a request.
func (h *halfAnswer) serve(c net.Conn, req *http.Request) {
	if req.URL.Path == engine.PathCancel {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	h.mu.Lock()
	h.arrivals++
	h.left--
	cut, whole := h.cut, h.left < 0
	h.mu.Unlock()
	if whole {
		_, _ = io.WriteString(c, h.whole(req).Text)
		return
	}
	text := h.bytes(req).Text
	_, _ = io.WriteString(c, text[:min(cut, len(text))]) // a continuation is shorter
	standin.CloseConn(c, h.reset)
}

// start starts a relay before endpoints of a service that cut their answers.
func (h *halfAnswer) start(t *testing.T) (env *testEnv, url string, address string) {
	env = newTestEnv(t)
	e, err := standin.StartRawEndpoint(h.serve)
	must.NoError(t, err)
	t.Cleanup(e.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	_, url = env.startRelay(Config{Claimer: newMemoryClaims(), NewID: sequentialIDs(), Log: log})
	return env, url, e.Address()
}

// cutAt sets where the next answers are cut, and replaces the endpoints with ones that have not failed.
func (h *halfAnswer) cutAt(env *testEnv, service, address string, n int) {
	h.mu.Lock()
	h.cut, h.arrivals, h.left = n, 0, h.times
	h.mu.Unlock()
	env.instances = nil
	for i := range h.times + 1 {
		env.addInstance(cloud.Instance{ID: fmt.Sprintf("%s-%d-%d", service, n, i), Address: address, FailureDomain: "fd1", Service: service})
	}
}

func (h *halfAnswer) arrivalCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.arrivals
}

// eachHalfAnswer runs a test for each answer, closed and reset, and for some of them cut by two endpoints in turn.
func eachHalfAnswer(t *testing.T, run func(t *testing.T, h *halfAnswer)) {
	for _, answer := range standin.RawAnswers() {
		for _, reset := range []bool{false, true} {
			for _, times := range []int{1, 2} {
				if times > 1 && (reset || !strings.HasSuffix(answer.Name, "chunks")) {
					continue
				}
				t.Run(fmt.Sprintf("%s/reset=%t/times=%d", answer.Name, reset, times), func(t *testing.T) {
					t.Parallel()
					run(t, &halfAnswer{RawAnswer: &answer, reset: reset, times: times})
				})
			}
		}
	}
}

// Guards against a plain answer that ends early and looks whole, against a refusal which states that a call did not run
// that has run, and against an idempotent call that is not repeated after half an answer. Answers end after each of their
// bytes, closed or reset.
func TestPlain_HalfAnswers(t *testing.T) {
	eachHalfAnswer(t, func(t *testing.T, h *halfAnswer) {
		h.bytes = func(*http.Request) *standin.RawBytes { return h.Bytes(h.Body("")) }
		h.whole = func(*http.Request) *standin.RawBytes { return h.Bytes(h.Body(""), "Connection: close") }
		raw := h.bytes(nil)
		env, url, address := h.start(t)
		for n := range len(raw.Text) + 1 {
			body, whole := raw.WholeAt(n, h.reset)
			for _, once := range []bool{false, true} {
				h.cutAt(env, "orders", address, n)
				var got reply
				if once {
					got = send(http.MethodPost, url+"/services/orders/book", "x", "Idempotency-Key", fmt.Sprintf("key-%d", n), "Connection", "close")
				} else {
					got = send(http.MethodGet, url+"/services/orders/list", "", "Connection", "close")
				}
				arrivals := h.arrivalCount()
				what := must.Sprintf("%q, then got %+v, %d arrivals, once: %t", raw.Text[:n], got, arrivals, once)
				must.StrNotContains(t, got.body, "not_run", what)
				started := h.Events && n > raw.Head // its bytes are relayed as they arrive
				switch {
				case whole:
					must.Eq(t, 1, arrivals, what)
					must.NoError(t, got.err, what)
					must.Eq(t, h.Status, got.status, what)
					must.Eq(t, body, got.body, what)
				case started && got.err != nil:
					must.True(t, strings.HasPrefix(raw.Body, got.body), what)
				case once:
					must.Eq(t, 1, arrivals, what)
					must.NoError(t, got.err, what)
					must.Eq(t, http.StatusBadGateway, got.status, what)
					must.StrContains(t, got.body, `"outcome":"unknown"`, what)
				default:
					must.Eq(t, h.times+1, arrivals, what)
					must.NoError(t, got.err, what)
					must.Eq(t, h.Status, got.status, what)
					must.Eq(t, raw.Body, got.body, what)
				}
			}
		}
	})
}

// Guards against an answer that is broken off and looks whole to a caller whose protocol has no chunks.
func TestPlain_BrokenAnswerToHTTP10Caller(t *testing.T) {
	for name, answer := range map[string]string{
		"events": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 100\r\n\r\ndata: 1\n\n",
		"long":   fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*bufferBytes, strings.Repeat("x", bufferBytes+1)),
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			e, err := standin.StartRawEndpoint(func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, answer) })
			must.NoError(t, err)
			t.Cleanup(e.Close)
			env.addInstance(cloud.Instance{ID: "s", Address: e.Address(), FailureDomain: "fd1", Service: "orders"})
			r, _ := env.startRelay(Config{})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			server := graceful.New(NewServer(r))
			go func() { _ = server.Serve(l) }()
			t.Cleanup(func() { _ = server.Close() })
			c, err := net.Dial("tcp", l.Addr().String())
			must.NoError(t, err)
			defer c.Close()
			must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(c, "GET /services/orders/list HTTP/1.0\r\n\r\n")
			must.NoError(t, err)
			got, err := io.ReadAll(c)
			must.ErrorIs(t, err, syscall.ECONNRESET, must.Sprintf("%d bytes", len(got)))
		})
	}
}
