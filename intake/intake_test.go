package intake

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"

	"github.com/trefoillug/trefoillug/graceful"
)

const limit = 64 << 10

// serve starts a server that answers 200 and the length of the body, or the status of the error, and returns its address.
// Unless keep is nil, a request that holds its body sends to keep and then waits for it.
func serve(t *testing.T, m *Memory, keep chan struct{}) string {
	t.Helper()
	s := graceful.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := m.ReadBody(w, r, Options{Limit: limit, End: time.Now().Add(20 * time.Second)})
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		case IsShortage(err):
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		defer body.Release()
		if keep != nil {
			keep <- struct{}{}
			<-keep
		}
		fmt.Fprint(w, len(body.Bytes()))
	})})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func post(t *testing.T, address string, body io.Reader) (status int, text string) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	resp, err := client.Post("http://"+address, "text/plain", body)
	must.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp.StatusCode, string(b)
}

// Guards against a single request inside the limits that is refused in calm, with and without an announced length.
func TestReadBody_WithinLimits(t *testing.T) {
	m := New(2 * limit)
	address := serve(t, m, nil)
	for _, n := range []int{0, 1, firstBlock, firstBlock + 1, limit - 1, limit} {
		text := strings.Repeat("x", n)
		for _, body := range []io.Reader{strings.NewReader(text), io.MultiReader(strings.NewReader(text))} {
			status, got := post(t, address, body)
			must.Eq(t, http.StatusOK, status, must.Sprint(n))
			must.Eq(t, fmt.Sprint(n), got)
		}
	}
	must.Eq(t, 0, m.Used())
}

// Guards against reading a body whose announced length is over the limit, and against one that is over it unannounced.
func TestReadBody_TooLarge(t *testing.T) {
	m := New(2 * limit)
	address := serve(t, m, nil)
	c, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer c.Close()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", limit+1)
	answer, err := io.ReadAll(c)
	must.NoError(t, err)
	must.StrHasPrefix(t, "HTTP/1.1 413 ", string(answer))
	must.StrContains(t, string(answer), "Connection: close")
	status, _ := post(t, address, io.MultiReader(bytes.NewReader(make([]byte, limit+1))))
	must.Eq(t, http.StatusRequestEntityTooLarge, status)
	must.Eq(t, 0, m.Used())
}

// Guards against chunks that take many bytes on the wire for few bytes of the body, beyond the bound for both.
func TestReadBody_Framing(t *testing.T) {
	address := serve(t, New(2*limit), nil)
	for chunk, want := range map[string]string{"1\r\nx\r\n": "200", "1;extension=12345\r\nx\r\n": "413"} {
		c, err := net.Dial("tcp", address)
		must.NoError(t, err)
		defer c.Close()
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"+
			strings.Repeat(chunk, limit/8)+"0\r\n\r\n")
		answer, err := io.ReadAll(c)
		must.NoError(t, err)
		must.StrHasPrefix(t, "HTTP/1.1 "+want, string(answer))
	}
}

// Guards against stalled bodies that keep an ordinary request out, and against a log that a crowd floods.
func TestReadBody_StalledAreEvicted(t *testing.T) {
	m := New(2 * limit)
	log, hook := test.NewNullLogger()
	m.Report(log, tally.NoopScope)
	address := serve(t, m, nil)
	var crowd []net.Conn
	for range 8 {
		c, err := net.Dial("tcp", address)
		must.NoError(t, err)
		defer c.Close()
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", limit, strings.Repeat("x", limit/2))
		crowd = append(crowd, c)
	}
	time.Sleep(300 * time.Millisecond) // they stall
	for range 3 {
		status, got := post(t, address, strings.NewReader(strings.Repeat("x", limit)))
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, fmt.Sprint(limit), got)
	}
	must.LessEq(t, 2*limit, m.Used())
	refused := 0
	for _, c := range crowd {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if answer, _ := io.ReadAll(c); strings.HasPrefix(string(answer), "HTTP/1.1 503 ") {
			refused++
		}
	}
	must.Greater(t, 0, refused)
	must.LessEq(t, 10, len(hook.AllEntries()))
}

// Guards against memory that is counted as free while requests still hold their bodies.
func TestReadBody_CountsUntilRelease(t *testing.T) {
	m := New(limit * 3 / 2)
	keep := make(chan struct{})
	address := serve(t, m, keep)
	first := make(chan int, 1)
	go func() {
		status, _ := post(t, address, strings.NewReader(strings.Repeat("x", limit)))
		first <- status
	}()
	<-keep // it holds its body
	must.Eq(t, limit, m.Used())
	status, _ := post(t, address, strings.NewReader(strings.Repeat("x", limit)))
	must.Eq(t, http.StatusServiceUnavailable, status)
	close(keep)
	must.Eq(t, http.StatusOK, <-first)
	must.Eq(t, 0, m.Used())
}

// Guards against a bound that no longer holds what one request inside the limits needs on the smallest machines.
func TestBoundFor_SmallestMachine(t *testing.T) {
	const machine, body = 136 << 20, 4 << 20
	must.Greater(t, body*3/2, BoundFor(machine))
	bounds := ConnBoundsFor(machine, 4100)
	must.Greater(t, 300, bounds.Callers)
	small := ConnBoundsFor(machine, 500)
	must.LessEq(t, 500-reservedFds, 2*small.Callers+small.Peers+small.Ready+3*8)
	must.Eq(t, ConnBounds{}, ConnBoundsFor(0, 0))
}

// Guards against receive buffers that take more than their share of the machine in a crowd, and against small ones in calm,
// which cost a body of ordinary size more round trips.
func TestReceiveBuffer_Share(t *testing.T) {
	bounds := ConnBoundsFor(136<<20, 4100)
	must.Eq(t, maxReceiveBuffer, bounds.receiveBuffer(0))
	must.Eq(t, maxReceiveBuffer, bounds.receiveBuffer(100))
	must.LessEq(t, 20<<10, bounds.receiveBuffer(bounds.Callers))
	must.Eq(t, minReceiveBuffer, bounds.receiveBuffer(100_000))
	must.Eq(t, maxReceiveBuffer, ConnBoundsFor(0, 4100).receiveBuffer(1000))
}

// Guards against connections of peers that end because requests hold all memory, and against long messages that are not counted.
func TestReadMessage_WhileMemoryIsFull(t *testing.T) {
	const bound = 64 << 10
	m := New(bound)
	full := m.open(0, func() {})
	must.NoError(t, full.Grow(bound))
	m.complete(full)
	for _, n := range []int{0, 100, firstBlock - 1} {
		message, err := m.ReadMessage(strings.NewReader(strings.Repeat("x", n)), bound, func() {})
		must.NoError(t, err)
		must.Len(t, n, message.Bytes())
		must.Eq(t, bound, m.Used())
		message.Release()
	}
	_, err := m.ReadMessage(strings.NewReader(strings.Repeat("x", firstBlock+1)), bound, func() {})
	must.ErrorIs(t, err, ErrNoMemory)
	full.Release()
	message, err := m.ReadMessage(strings.NewReader(strings.Repeat("x", firstBlock+1)), bound, func() {})
	must.NoError(t, err)
	must.Eq(t, 2*firstBlock, m.Used())
	message.Release()
	must.Eq(t, 0, m.Used())
}

// blockedWriter blocks the log until it is closed.
type blockedWriter chan struct{}

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w
	return len(b), nil
}

// Guards against a log that is slow to write and keeps all requests from their memory.
func TestGrow_SlowLogBlocksNobody(t *testing.T) {
	m := New(limit)
	full := m.open(0, func() {})
	must.NoError(t, full.Grow(limit))
	m.complete(full)
	end := make(blockedWriter)
	defer close(end)
	log := logrus.New()
	log.SetOutput(end)
	m.Report(log, tally.NoopScope)
	m.events.logged[eventWaited] = time.Now() // so that the first line is that of the refusal
	go func() { _ = m.open(0, func() {}).Grow(1) }()
	time.Sleep(maxWait + 200*time.Millisecond)
	released := make(chan struct{})
	go func() { full.Release(); close(released) }()
	select {
	case <-released:
	case <-time.After(5 * time.Second):
		t.Fatal("memory can't be released while a line is logged")
	}
}

// Guards against clients that keep connections for good by bodies that no handler reads, and against a deadline that ends a
// kept connection on which such a body has arrived.
func TestBoundUnreadBodies(t *testing.T) {
	s := graceful.New(&http.Server{Handler: BoundUnreadBodies(http.NotFoundHandler())})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		return c
	}
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	stalled, kept := dial(), dial()
	_, _ = io.WriteString(stalled, head+"x")
	answers := bufio.NewReader(kept)
	for range 2 {
		_, err := io.WriteString(kept, head+"body")
		must.NoError(t, err)
		resp, err := http.ReadResponse(answers, nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusNotFound, resp.StatusCode)
		_, _ = io.Copy(io.Discard, resp.Body)
		time.Sleep(unreadBodyTime + 200*time.Millisecond)
	}
	_, err = io.Copy(io.Discard, stalled)
	must.NoError(t, err, must.Sprint("the connection is not closed"))
}
