package upstream_test

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// flood writes block to c until the connection is closed and returns the number of bytes written.
func flood(c net.Conn, block string, written *atomic.Int64) {
	for {
		n, err := io.WriteString(c, block)
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// maxSocketBytes is the most that the buffers of both sockets of a loopback connection hold unread.
const maxSocketBytes = 16 << 20

// Guards against an endpoint that fills the memory of the instance with the head of an answer that never ends.
func TestDo_EndlessHead(t *testing.T) {
	line := strings.Repeat("x", 32<<10)
	for name, c := range map[string]struct{ start, block string }{
		"no line":          {"", line},
		"one header field": {"HTTP/1.1 200 OK\r\nId: a\r\nX: ", line},
		"header fields":    {"HTTP/1.1 200 OK\r\nId: a\r\n", strings.Repeat("X-Field: value\r\n", 2<<10)},
		"interim answers":  {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Field: value\r\n\r\n", 1<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			e := serve(t, func(e *endpoint, _ int, conn net.Conn) {
				e.read(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, c.start)
				flood(conn, c.block, &written)
			})
			start := time.Now()
			_, err := do(t, e.pool(), call("a"))
			must.Error(t, err)
			must.Less(t, time.Second, time.Since(start)) // the call's deadline is 2 s
			must.Less(t, maxSocketBytes, written.Load())
		})
	}
}

// Guards against chunk extensions and trailers without end, which carry nothing of the answer.
func TestDo_EndlessChunkOverhead(t *testing.T) {
	for name, block := range map[string]string{
		"one extension": strings.Repeat("x", 32<<10),
		"extensions":    strings.Repeat("1;"+strings.Repeat("x", 100)+"\r\na\r\n", 300),
	} {
		t.Run(name, func(t *testing.T) {
			e := serve(t, func(e *endpoint, _ int, conn net.Conn) {
				e.read(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;")
				flood(conn, block, new(atomic.Int64))
			})
			start := time.Now()
			_, err := do(t, e.pool(), call("a"))
			must.Error(t, err)
			must.Less(t, time.Second, time.Since(start))
		})
	}
	t.Run("trailers", func(t *testing.T) {
		e := serve(t, func(e *endpoint, _ int, conn net.Conn) {
			e.read(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n")
			flood(conn, strings.Repeat("X-Field: value\r\n", 2<<10), new(atomic.Int64))
		})
		start := time.Now()
		_, err := do(t, e.pool(), call("a"))
		must.Error(t, err)
		must.Less(t, time.Second, time.Since(start))
	})
}

// Guards against a sound answer that is cut because its head or body arrives slowly, and against a head that arrives a
// byte at a time until the deadline.
func TestDo_HeadTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration // between two bytes of the head
		ok    bool
	}{
		"slow":    {time.Millisecond, true},
		"trickle": {50 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := serve(t, func(e *endpoint, _ int, conn net.Conn) {
				e.read(bufio.NewReader(conn))
				time.Sleep(400 * time.Millisecond) // longer than the head may take from its first byte
				for _, b := range []byte(answer("a", "ok")) {
					if _, err := conn.Write([]byte{b}); err != nil {
						return
					}
					time.Sleep(c.pause)
				}
				time.Sleep(300 * time.Millisecond)
			})
			slow := call("a")
			slow.HeadTimeout = 300 * time.Millisecond
			start := time.Now()
			body, err := do(t, e.pool(), slow)
			must.Eq(t, c.ok, err == nil, must.Sprint(err))
			if c.ok {
				must.Eq(t, "ok", body)
			}
			must.Less(t, 1200*time.Millisecond, time.Since(start))
		})
	}
}

// repeatEarlier answers each request on a connection, after copies of all earlier answers on it. name returns the ID that
// an answer states.
func repeatEarlier(name func(id string) string) func(e *endpoint, _ int, c net.Conn) {
	return func(e *endpoint, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		var copies strings.Builder
		for {
			id, ok := e.read(r)
			if !ok {
				return
			}
			own := answer(name(id), id)
			_, _ = io.WriteString(c, copies.String()+own)
			copies.WriteString(own)
		}
	}
}

// Guards against late copies of answers that reach later callers on a connection, when no answer tells whose it is.
func TestDo_LateCopiesWithoutIDs(t *testing.T) {
	p := serve(t, repeatEarlier(func(string) string { return "" })).pool()
	for _, id := range []string{"a", "b", "c"} {
		c := call(id)
		c.MatchesAnswer = nil
		body, err := do(t, p, c)
		must.NoError(t, err)
		must.Eq(t, id, body)
	}
}

// Guards against pipelined late copies of several answers that reach later callers.
func TestDo_PipelinedLateCopies(t *testing.T) {
	p := serve(t, repeatEarlier(func(id string) string { return id })).pool()
	for _, id := range []string{"a", "b", "c", "d"} {
		body, err := do(t, p, call(id))
		must.NoError(t, err)
		must.Eq(t, id, body)
	}
}

// Guards against a request without ID that gets the late answer to a request with one, sent before it on the connection.
func TestDo_LateCopyBeforeCallWithoutID(t *testing.T) {
	e := serve(t, func(e *endpoint, _ int, conn net.Conn) {
		r := bufio.NewReader(conn)
		id, _ := e.read(r)
		_, _ = io.WriteString(conn, answer(id, "first"))
		if next, ok := e.read(r); ok {
			_, _ = io.WriteString(conn, answer(id, "copy")+answer(next, "second"))
		}
	})
	p := e.pool()
	_, err := do(t, p, call("a"))
	must.NoError(t, err)
	c := call("b")
	c.MatchesAnswer = nil
	body, err := do(t, p, c)
	must.NoError(t, err)
	must.Eq(t, "first", body) // the first answer on a connection of its own
	must.Eq(t, 2, e.conns.Load())
}

// Guards against a body that is read without bound in order to skip a late copy.
func TestDo_EndlessLateCopy(t *testing.T) {
	var written atomic.Int64
	e := serve(t, func(e *endpoint, _ int, conn net.Conn) {
		r := bufio.NewReader(conn)
		id, _ := e.read(r)
		_, _ = io.WriteString(conn, answer(id, "ok"))
		if _, ok := e.read(r); !ok {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 1000000000\r\n\r\n")
		flood(conn, strings.Repeat("x", 32<<10), &written)
	})
	p := e.pool()
	_, err := do(t, p, call("a"))
	must.NoError(t, err)
	start := time.Now()
	_, err = do(t, p, call("b"))
	must.Error(t, err)
	must.Less(t, time.Second, time.Since(start))
	must.Less(t, maxSocketBytes, written.Load())
}

// largeRequest stands for what a request holds in memory.
type largeRequest struct{ body [1 << 20]byte }

func (r *largeRequest) mayTimeOut() bool { return r.body[0] == 0 }

// Guards against an idle connection that keeps the last request in memory.
func TestDo_IdleConnectionKeepsNoRequest(t *testing.T) {
	p := serve(t, repeatEarlier(func(id string) string { return id })).pool()
	var freed atomic.Bool
	func() {
		large := &largeRequest{}
		runtime.SetFinalizer(large, func(*largeRequest) { freed.Store(true) })
		c := call("a")
		c.HeadTimeout, c.MayTimeOut = time.Second, large.mayTimeOut
		_, err := do(t, p, c)
		must.NoError(t, err)
	}()
	for end := time.Now().Add(2 * time.Second); !freed.Load() && time.Now().Before(end); {
		runtime.GC()
		time.Sleep(10 * time.Millisecond)
	}
	must.True(t, freed.Load())
	runtime.KeepAlive(p)
}
