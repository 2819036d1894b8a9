package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an answer without a length that looks whole although its connection was reset, because the error was
// reported to the write of the request's body, which was still in progress.
func TestDo_ResetWhileRequestIsWritten(t *testing.T) {
	e := serve(t, func(e *endpoint, _ int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
		time.Sleep(10 * time.Millisecond) // both sides of the connection wait
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	long := call("a")
	long.Method, long.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
	whole := 0
	for range 30 {
		if body, err := do(t, e.pool(), long); err == nil {
			must.Eq(t, "half", body)
			whole++
		}
	}
	must.Eq(t, 0, whole)
}

// Guards against a whole answer without a length that counts as cut because its endpoint did not read the rest of the
// request.
func TestDo_AnswerEndsWhileRequestIsWritten(t *testing.T) {
	e := serve(t, func(e *endpoint, _ int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(10 * time.Millisecond)
	})
	long := call("a")
	long.Method, long.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
	for range 30 {
		body, err := do(t, e.pool(), long)
		must.NoError(t, err)
		must.Eq(t, "whole", body)
	}
}
