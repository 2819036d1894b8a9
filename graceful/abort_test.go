package graceful_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/graceful"
)

// answerUntil returns a handler that sends start, waits for end, and breaks its answer off unless whole is set. It closes
// begun once start is sent.
func answerUntil(start string, begun chan<- struct{}, end <-chan struct{}, whole bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, start)
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-end
		if !whole {
			panic(http.ErrAbortHandler)
		}
	})
}

// exchange sends a request. receive returns everything that the caller receives, and the error that ends it unless the
// server has closed the connection without a reset.
func exchange(t *testing.T, address, request string) (receive func() (string, error)) {
	t.Helper()
	c := dial(t, address)
	_, err := io.WriteString(c, request)
	must.NoError(t, err)
	return func() (string, error) {
		must.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		b, err := io.ReadAll(c)
		return string(b), err
	}
}

const (
	requestHTTP10      = "GET / HTTP/1.0\r\n\r\n"
	requestHTTP11      = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	requestHTTP11Close = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
)

// Guards against an answer that is broken off and looks whole to its caller, since nothing but the end of the connection
// marks its end.
func TestServe_BrokenAnswerIsVisible(t *testing.T) {
	const part = "event 1\n"
	for name, c := range map[string]struct {
		request string
		stop    func(s *graceful.Server) error // ends the answer; nil: its handler does
		whole   bool
	}{
		"HTTP/1.0, broken off":          {request: requestHTTP10},
		"HTTP/1.0, server closed":       {request: requestHTTP10, stop: (*graceful.Server).Close},
		"HTTP/1.0, whole":               {request: requestHTTP10, whole: true},
		"HTTP/1.1, broken off":          {request: requestHTTP11},
		"HTTP/1.1, server closed":       {request: requestHTTP11, stop: (*graceful.Server).Close},
		"HTTP/1.1 close, broken off":    {request: requestHTTP11Close},
		"HTTP/1.1 close, server closed": {request: requestHTTP11Close, stop: (*graceful.Server).Close},
		"HTTP/1.1 close, whole":         {request: requestHTTP11Close, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun, end := make(chan struct{}), make(chan struct{})
			s, address := startServer(t, &http.Server{Handler: answerUntil(part, begun, end, c.whole)}, nil)
			receive := exchange(t, address, c.request)
			<-begun
			if c.stop != nil {
				must.NoError(t, c.stop(s))
				defer close(end)
			} else {
				close(end)
			}
			got, err := receive()
			if c.stop == nil {
				must.StrContains(t, got, part) // what was sent before the end is not lost
			}
			chunked := strings.Contains(got, "chunked")
			if chunked {
				must.Eq(t, c.whole, strings.HasSuffix(got, "\r\n0\r\n\r\n"))
				return
			}
			must.Eq(t, c.whole, err == nil, must.Sprintf("%q, %v", got, err))
			must.Eq(t, !c.whole, errors.Is(err, syscall.ECONNRESET))
		})
	}
}

// Guards against the loss of what was sent of an answer before it was broken off, to a caller that reads slowly.
func TestServe_BrokenAnswerKeepsItsStart(t *testing.T) {
	start := strings.Repeat(fmt.Sprintf("%063d\n", 0), 8<<10)
	begun, end := make(chan struct{}), make(chan struct{})
	_, address := startServer(t, &http.Server{Handler: answerUntil(start, begun, end, false)}, nil)
	receive := exchange(t, address, requestHTTP10)
	<-begun // the start is in the buffers of both sockets
	close(end)
	time.Sleep(100 * time.Millisecond)
	got, err := receive()
	must.ErrorIs(t, err, syscall.ECONNRESET)
	must.StrHasSuffix(t, start, got)
}

// Guards against an answer that looks whole to its caller although a write of it has failed, such as one that took too
// long, which its handler ignores.
func TestServe_FailedWriteIsVisible(t *testing.T) {
	failed := make(chan error, 1)
	answer := strings.Repeat("x", 64<<20) // more than both sockets hold
	_, address := startServer(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		must.NoError(t, http.NewResponseController(w).SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		_, err := io.WriteString(w, answer)
		failed <- err
	})}, nil)
	receive := exchange(t, address, requestHTTP10)
	must.Error(t, <-failed)
	got, err := receive()
	must.ErrorIs(t, err, syscall.ECONNRESET)
	must.StrContains(t, got, "xxx")
}
