package graceful

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/sockets"
)

// serveBounded starts a server for two connections whose handler waits at /wait until the test ends, and hijacks the
// connection at /hijack.
func serveBounded(t *testing.T) (address string, full chan struct{}) {
	t.Helper()
	end, full := make(chan struct{}), make(chan struct{}, 100)
	s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/wait":
			_ = http.NewResponseController(w).Flush()
			<-end
		case "/hijack":
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\n\r\n")
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}
	})})
	s.MaxConns = func() int { return 2 }
	s.ReceiveBuffer = func(int) int { return 64 << 10 }
	s.OnFull = func() {
		select {
		case full <- struct{}{}:
		default:
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { close(end); _ = s.Close() })
	return l.Addr().String(), full
}

// open opens a connection, sends text and, unless it is empty, waits for the head of the answer.
func open(t *testing.T, address, text string, answered bool) (net.Conn, *http.Response) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	must.NoError(t, err)
	if !answered {
		return c, nil
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	return c, resp
}

func request(path string) string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path) }

// isClosed reports whether the server closes a connection within a time.
func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := io.Copy(io.Discard, c)
	return err == nil || strings.Contains(err.Error(), "reset")
}

// Guards against idle connections that keep new callers out at the bound.
func TestMaxConns_ClosesIdleOnes(t *testing.T) {
	t.Parallel()
	address, _ := serveBounded(t)
	oldest, _ := open(t, address, request("/"), true)
	time.Sleep(20 * time.Millisecond)
	_, resp := open(t, address, request("/wait"), true)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	_, resp = open(t, address, request("/wait"), true)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.True(t, isClosed(oldest))
}

// Guards against a request in progress that is cut for a new connection, and against a refusal that the caller can't read.
func TestMaxConns_RefusesAboveBound(t *testing.T) {
	t.Parallel()
	address, full := serveBounded(t)
	for range 2 {
		_, resp := open(t, address, request("/wait"), true)
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	c, resp := open(t, address, request("/"), true)
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.Eq(t, "1", resp.Header.Get("Retry-After"))
	must.True(t, isClosed(c))
	<-full
}

// Guards against connections without a request, or with a header that does not end, that keep new callers out for longer than
// callers need to send one.
func TestMaxConns_ClosesSlowOnes(t *testing.T) {
	t.Parallel()
	for _, text := range []string{"", "GET / HTTP/1.1\r\nX: "} {
		address, _ := serveBounded(t)
		slow, _ := open(t, address, text, false)
		time.Sleep(100 * time.Millisecond) // makes it the older one
		open(t, address, text, false)
		status := 0
		for end := time.Now().Add(10 * time.Second); status != http.StatusOK && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			_, resp := open(t, address, request("/wait"), true)
			status = resp.StatusCode
		}
		must.Eq(t, http.StatusOK, status)
		must.True(t, isClosed(slow))
	}
}

// Guards against hijacked connections that are not counted, and against counting them after their end.
func TestMaxConns_CountsHijacked(t *testing.T) {
	t.Parallel()
	address, _ := serveBounded(t)
	var hijacked net.Conn
	for range 2 {
		c, resp := open(t, address, request("/hijack"), true)
		must.Eq(t, http.StatusSwitchingProtocols, resp.StatusCode)
		hijacked = c
	}
	_, resp := open(t, address, request("/"), true)
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	_ = hijacked.Close()
	status := 0
	for end := time.Now().Add(10 * time.Second); status != http.StatusOK && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		_, resp := open(t, address, request("/"), true)
		status = resp.StatusCode
	}
	must.Eq(t, http.StatusOK, status)
}

// Guards against a request that is closed at the bound because the server had no processor time to read or to parse a header
// that has arrived.
func TestCloseSpare_KeepsHeaderThatHasArrived(t *testing.T) {
	for name, test := range map[string]struct {
		unread, parsing, closed bool
	}{
		"waits for bytes":      {closed: true},
		"bytes are not read":   {unread: true},
		"header is being read": {parsing: true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer l.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			must.NoError(t, err)
			defer caller.Close()
			accepted, err := l.Accept()
			must.NoError(t, err)
			defer accepted.Close()
			raw, err := accepted.(*net.TCPConn).SyscallConn()
			must.NoError(t, err)
			begin := time.Now()
			c := &conn{Conn: accepted, raw: raw, server: New(&http.Server{}), state: http.StateNew, phase: phaseHeader, phaseBegan: begin}
			if !test.parsing { // net/http waits for more of the header
				must.NoError(t, raw.Control(func(fd uintptr) { _, _, _ = c.tryRead(fd, make([]byte, 1)) }))
			}
			if test.unread {
				_, err = io.WriteString(caller, "rest of the header")
				must.NoError(t, err)
				for end := time.Now().Add(5 * time.Second); sockets.IsQuiet(accepted) && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
			}
			must.Eq(t, test.closed, c.closeSpare(begin.Add(headPatience)))
		})
	}
}

// Guards against receive buffers of hijacked connections, such as those of peers, that take more than their share of the machine
// because only other connections are counted.
func TestReceiveBuffer_CountsHijacked(t *testing.T) {
	t.Parallel()
	opened := make(chan int, 2)
	s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	})})
	s.ReceiveBuffer = func(open int) int {
		opened <- open
		return 64 << 10
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	for i := range 2 {
		open(t, l.Addr().String(), request("/"), true)
		must.Eq(t, i, <-opened)
	}
}
