package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/upstream"
)

// endpoint is a server that handles each connection with a function of the test.
type endpoint struct {
	listener net.Listener
	conns    atomic.Int32
	requests atomic.Int32
}

// serve starts an endpoint. handle is called for each connection with its number, starting at 1.
func serve(t *testing.T, handle func(e *endpoint, n int, c net.Conn)) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	e := &endpoint{listener: l}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			n := int(e.conns.Add(1))
			wg.Go(func() { defer c.Close(); handle(e, n, c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for _, c := range open {
			_ = c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return e
}

func (e *endpoint) pool() *upstream.Pool {
	return upstream.NewPool(e.listener.Addr().String(), upstream.Settings{})
}

// read reads one request with its body and returns its ID; false means that there is none.
func (e *endpoint) read(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	e.requests.Add(1)
	return req.Header.Get("Id"), true
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func call(id string) *upstream.Call {
	return &upstream.Call{
		Method: http.MethodGet, URI: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}},
		MatchesAnswer: func(h http.Header, _ bool) bool { return h.Get("Id") == id },
	}
}

// do runs an exchange and returns the body of the answer.
func do(t *testing.T, p *upstream.Pool, c *upstream.Call) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	reply, err := p.Do(ctx, c)
	if err != nil {
		return "", err
	}
	defer reply.Finish()
	body, err := io.ReadAll(reply.Body)
	return string(body), err
}

// Guards against a new connection for each request.
func TestDo_ReusesConnection(t *testing.T) {
	e := serve(t, func(e *endpoint, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			id, ok := e.read(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	p := e.pool()
	for _, id := range []string{"a", "b", "c"} {
		body, err := do(t, p, call(id))
		must.NoError(t, err)
		must.Eq(t, "ok", body)
	}
	must.Eq(t, 1, e.conns.Load())
}

// Guards against bytes after a complete answer that are read as the answer to the next request.
func TestDo_ExtraBytesEndConnection(t *testing.T) {
	e := serve(t, func(e *endpoint, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			id, ok := e.read(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, answer(id, "ok")+answer(id, "no"))
		}
	})
	p := e.pool()
	for _, id := range []string{"a", "b", "c"} {
		body, err := do(t, p, call(id))
		must.NoError(t, err)
		must.Eq(t, "ok", body)
		time.Sleep(5 * time.Millisecond)
	}
	must.Eq(t, 3, e.conns.Load())
}

// Guards against a late answer to an earlier request that is delivered for a later one.
func TestDo_LateAnswerIsSkipped(t *testing.T) {
	e := serve(t, func(e *endpoint, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		id, _ := e.read(r)
		_, _ = io.WriteString(c, answer(id, "first"))
		next, ok := e.read(r)
		if !ok {
			return
		}
		_, _ = io.WriteString(c, answer(id, "again")+answer(next, "second"))
		_, _ = io.Copy(io.Discard, r)
	})
	p := e.pool()
	body, err := do(t, p, call("a"))
	must.NoError(t, err)
	must.Eq(t, "first", body)
	body, err = do(t, p, call("b"))
	must.NoError(t, err)
	must.Eq(t, "second", body)
}

// Guards against a truncated or malformed answer, or one to another request, that is returned as complete.
func TestDo_BrokenAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"truncated": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nabc",
		"chunked":   "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"no http":   "hello\r\n\r\n",
		"no answer": "",
		"foreign":   "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := serve(t, func(e *endpoint, _ int, c net.Conn) {
				e.read(bufio.NewReader(c))
				_, _ = io.WriteString(c, text)
			})
			_, err := do(t, e.pool(), call("a"))
			must.Error(t, err)
			must.Eq(t, 1, e.requests.Load())
		})
	}
}

// Guards against an answer without a length that ends with a reset and is returned as complete.
func TestDo_ResetAnswerWithoutLength(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			e := serve(t, func(e *endpoint, _ int, c net.Conn) {
				e.read(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
				time.Sleep(20 * time.Millisecond) // the body is read before the connection ends
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			body, err := do(t, e.pool(), call("a"))
			must.Eq(t, "part", body)
			must.Eq(t, reset, err != nil)
		})
	}
}

// Guards against a request that was not sent being reported as one that may have run, and the reverse.
func TestDo_ReportsWhatWasSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	_, err = do(t, upstream.NewPool(closed.Addr().String(), upstream.Settings{}), call("a"))
	var failed *upstream.Error
	must.True(t, errors.As(err, &failed))
	must.False(t, failed.Sent)

	e := serve(t, func(e *endpoint, _ int, c net.Conn) { e.read(bufio.NewReader(c)) })
	_, err = do(t, e.pool(), call("a"))
	must.True(t, errors.As(err, &failed))
	must.True(t, failed.Sent)
}

// Guards against a GET that is sent twice because its reused connection broke.
func TestDo_NeverRepeatsByItself(t *testing.T) {
	e := serve(t, func(e *endpoint, n int, c net.Conn) {
		r := bufio.NewReader(c)
		for first := true; ; first = false {
			id, ok := e.read(r)
			if !ok || !first {
				return // the second request of a connection gets no answer
			}
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	p := e.pool()
	_, err := do(t, p, call("a"))
	must.NoError(t, err)
	_, err = do(t, p, call("b"))
	must.Error(t, err)
	must.Eq(t, 2, e.requests.Load())
	must.Eq(t, 1, e.conns.Load())
}

// Guards against a request on an idle connection that the endpoint has closed.
func TestDo_SkipsClosedConnections(t *testing.T) {
	e := serve(t, func(e *endpoint, _ int, c net.Conn) {
		id, _ := e.read(bufio.NewReader(c))
		_, _ = io.WriteString(c, answer(id, "ok"))
	})
	p := e.pool()
	for _, id := range []string{"a", "b"} {
		_, err := do(t, p, call(id))
		must.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	must.Eq(t, 2, e.conns.Load())
}

// Guards against reuse of a connection on which the endpoint still expects the rest of a body, because it answered
// before it had read all of it.
func TestDo_EarlyAnswerEndsConnection(t *testing.T) {
	e := serve(t, func(e *endpoint, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(req.Header.Get("Id"), "no"))
		time.Sleep(100 * time.Millisecond)
	})
	p := e.pool()
	for _, id := range []string{"a", "b"} {
		c := call(id)
		c.Method, c.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
		body, err := do(t, p, c)
		must.NoError(t, err)
		must.Eq(t, "no", body)
	}
	must.Eq(t, 2, e.conns.Load())
}

// Guards against an endpoint that continues to work for a caller who has disconnected.
func TestDo_CancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	e := serve(t, func(e *endpoint, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		e.read(r)
		_, _ = r.ReadByte() // returns when the connection is closed
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { time.Sleep(20 * time.Millisecond); cancel() }()
	_, err := e.pool().Do(ctx, call("a"))
	must.Error(t, err)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection stays open after the caller disconnected")
	}
}

// Guards against more connections than the endpoint accepts.
func TestDo_LimitOfConnections(t *testing.T) {
	release := make(chan struct{})
	e := serve(t, func(e *endpoint, _ int, c net.Conn) {
		id, _ := e.read(bufio.NewReader(c))
		<-release
		_, _ = io.WriteString(c, answer(id, "ok"))
	})
	p := e.pool()
	p.SetLimit(1)
	done := make(chan error, 1)
	go func() { _, err := do(t, p, call("a")); done <- err }()
	for e.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := do(t, p, call("b"))
	var failed *upstream.Error
	must.True(t, errors.As(err, &failed))
	must.False(t, failed.Sent)
	close(release)
	must.NoError(t, <-done)
}

// Guards against a call on a connection that it excludes, and against more connections because of that.
func TestDo_UnusedSince(t *testing.T) {
	e := serve(t, func(e *endpoint, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			id, ok := e.read(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	p := e.pool()
	p.SetLimit(1)
	again := call("a")
	for _, conns := range []int32{1, 2} { // the first connection was in use since the second call's time
		before := time.Now()
		_, err := do(t, p, again)
		must.NoError(t, err)
		must.Eq(t, conns, e.conns.Load())
		again.UnusedSince = before
	}
	again.UnusedSince = time.Now()
	_, err := do(t, p, again)
	must.NoError(t, err)
	must.Eq(t, 2, e.conns.Load())
}

// Guards against the answer to a HEAD request, which has no body, that is taken for an event stream which ended early.
func TestDo_HeadOfEventStream(t *testing.T) {
	e := serve(t, func(e *endpoint, _ int, c net.Conn) {
		e.read(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n\r\n")
	})
	head := call("a")
	head.Method = http.MethodHead
	body, err := do(t, e.pool(), head)
	must.NoError(t, err)
	must.Eq(t, "", body)
}

// Guards against a call that is to show that its endpoint runs and goes out on a connection from before the endpoint's end,
// and against more connections because of that.
func TestDo_OpensConn(t *testing.T) {
	e := serve(t, func(e *endpoint, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		for id, ok := e.read(r); ok; id, ok = e.read(r) {
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	p := e.pool()
	p.SetLimit(1)
	for i, opens := range []bool{false, false, true, true} {
		c := call("a")
		c.OpensConn = opens
		_, err := do(t, p, c)
		must.NoError(t, err)
		must.Eq(t, []int32{1, 1, 2, 3}[i], e.conns.Load())
	}
}
