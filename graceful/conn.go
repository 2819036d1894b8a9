package graceful

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/trefoillug/trefoillug/sockets"
)

// listener wraps the connections that it accepts. Once the server is draining, it returns those that wait, and then
// closes.
type listener struct {
	deadlineListener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		draining := l.server.draining.Load()
		start := time.Now()
		if draining {
			_ = l.SetDeadline(start.Add(acceptWindow)) // fails only if the listener is closed
		}
		nc, err := l.deadlineListener.Accept()
		switch {
		case err == nil && !l.server.makeRoom(time.Now()):
			l.server.refuse(nc)
		case err == nil:
			return l.wrap(nc)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case draining && time.Since(start) >= acceptWindow && !l.hasWaiting():
			// Accept has waited. A deadline that passes before the call fails without a look.
			return nil, errors.Join(net.ErrClosed, l.Close())
		}
	}
}

// hasWaiting reports whether a connection waits to be accepted, such as one opened while the instance had no processor
// time.
func (l *listener) hasWaiting() bool {
	sc, ok := l.deadlineListener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) })
	return err == nil && n > 0
}

func (l *listener) wrap(nc net.Conn) (net.Conn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errors.Join(fmt.Errorf("connection %T is not a socket", nc), nc.Close())
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, nc.Close())
	}
	c := &conn{Conn: nc, raw: raw, server: l.server, acceptedAt: time.Now()}
	if l.server.ReceiveBuffer != nil {
		c.setReceiveBuffer(l.server.ReceiveBuffer(l.server.countedConns()))
	}
	l.server.add(c)
	return c, nil
}

// phase is what the server does with a connection. It follows the calls that net/http makes on the connection, since
// reads alone do not show it: net/http buffers bytes of the next request along with the one before.
type phase int

const (
	phaseNew      phase = iota // the first request has not begun
	phaseHeader                // bytes of a request were read, and its header is not complete
	phaseRequest               // a request is being answered, or the connection was hijacked
	phaseAnswered              // an answer is complete, and the server has yet to look for the next request
	phaseIdle                  // the server looks for the next request
)

// conn records whether a request is arriving or being answered on a connection.
type conn struct {
	net.Conn
	raw        syscall.RawConn
	server     *Server
	acceptedAt time.Time

	mu         sync.Mutex
	state      http.ConnState
	phase      phase
	phaseBegan time.Time     // set for phaseHeader and phaseIdle
	timeout    time.Duration // in force when that phase began
	bufferSize int           // of net/http's reader
	waiting    bool          // the server waits for the first byte of a request
	starved    bool          // the server waits for bytes of a request, and the socket had none
	closed     bool          // closed because it was idle
	progress   sendProgress  // used during a shutdown

	received atomic.Int64 // bytes read
	unframed atomic.Bool  // the end of the connection may mark the end of the answer in progress
	aborted  atomic.Bool  // the handler has broken an answer off, or a write has failed
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if !c.beginRead(len(b)) {
		n, err := c.Conn.Read(b)
		c.received.Add(int64(n))
		return n, err
	}
	n, err := c.readHeader(b)
	c.received.Add(int64(n))
	if err != nil && err != io.EOF {
		err = &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	}
	return n, err
}

// beginRead records that the server reads up to n bytes, and reports whether they belong to a header. The server reads
// into the free part of its buffer, which is the whole buffer only if it holds no bytes of the next request.
func (c *conn) beginRead(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferSize == 0 {
		c.bufferSize = n
	}
	if c.phase == phaseIdle && n < c.bufferSize {
		c.beginHeader()
	}
	c.waiting = c.phase == phaseNew || c.phase == phaseIdle
	return c.waiting || c.phase == phaseHeader
}

// readHeader reads bytes of a header until its time limit. The limit ends only a wait for bytes: those that have
// arrived are read however late the server is.
func (c *conn) readHeader(b []byte) (n int, err error) {
	read := func(fd uintptr) (done bool) {
		n, err, done = c.tryRead(fd, b)
		return done
	}
	for {
		_ = c.Conn.SetReadDeadline(c.readLimit()) // fails only if the connection is closed
		waitErr := c.raw.Read(read)
		if waitErr == nil {
			return n, err
		}
		done := false
		if !errors.Is(waitErr, os.ErrDeadlineExceeded) || c.raw.Control(func(fd uintptr) { done = read(fd) }) != nil {
			return 0, waitErr
		}
		if done {
			return n, err
		}
		if c.expire() {
			_ = c.Close() // net/http would answer 400 to a header in part
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// tryRead reads bytes of a header without waiting. It holds c.mu while it reads and records that, so that tryClose never
// takes a connection for idle whose bytes have left the socket.
func (c *conn) tryRead(fd uintptr, b []byte) (n int, err error, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed, true
	}
	n, err = readNow(fd, b)
	c.starved = errors.Is(err, unix.EAGAIN)
	if c.starved {
		if c.endsWithAnswer() {
			return 0, net.ErrClosed, true
		}
		return 0, err, false
	}
	if c.waiting && n > 0 {
		c.beginHeader()
	}
	c.waiting = false
	return n, err, true
}

// endsWithAnswer reports whether the connection is closed instead of waiting for another request: its last answer is
// complete, and the server is shutting down. The head of that answer may have been sent before, without a
// "Connection: close". c.mu must be held.
func (c *conn) endsWithAnswer() bool {
	if !c.waiting || c.phase != phaseIdle || !c.server.draining.Load() {
		return false
	}
	c.waiting, c.closed = false, true
	c.report(ReasonIdleAtStop)
	return true
}

// readLimit returns when the bytes that the server waits for have to arrive, and the zero time if there is no limit. A
// timeout is never less than the one in force when the wait began.
func (c *conn) readLimit() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := c.server.headerTimeout()
	if c.phase != phaseHeader {
		timeout = c.server.idleTimeout()
	}
	if c.phase == phaseNew {
		return limitAfter(c.acceptedAt, max(timeout, c.server.http.ReadHeaderTimeout))
	}
	if timeout <= 0 || c.timeout <= 0 {
		return time.Time{}
	}
	return limitAfter(c.phaseBegan, max(timeout, c.timeout))
}

// limitAfter returns the time at which a timeout passes, and the zero time for no timeout.
func limitAfter(begin time.Time, timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return begin.Add(timeout)
}

// expire reports whether the time limit has passed, which may have changed since it was set.
func (c *conn) expire() bool {
	if limit := c.readLimit(); limit.IsZero() || limit.After(time.Now()) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.phase == phaseHeader {
		c.report(ReasonHeaderTimeout)
	} else {
		c.report(ReasonIdleTimeout)
	}
	return true
}

// readNow reads from a socket that does not block.
func readNow(fd uintptr, b []byte) (int, error) {
	for {
		n, err := unix.Read(int(fd), b)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// SetReadDeadline implements net.Conn. After an answer net/http sets the deadline for the first bytes of the next
// request, looks for them in its buffer and on the connection, and sets the deadline for the header.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	switch c.phase {
	case phaseAnswered:
		c.begin(phaseIdle, c.server.idleTimeout())
		c.progress = sendProgress{}
	case phaseIdle:
		c.beginHeader()
	}
	if c.phase != phaseRequest {
		t = time.Time{} // readHeader sets the deadline
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// beginHeader records that a request has begun. c.mu must be held.
func (c *conn) beginHeader() { c.begin(phaseHeader, c.server.headerTimeout()) }

func (c *conn) begin(p phase, timeout time.Duration) {
	c.phase, c.phaseBegan, c.timeout = p, time.Now(), timeout
}

// recordState records a state that net/http reports.
func (c *conn) recordState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	switch state {
	case http.StateActive:
		c.phase = phaseRequest
	case http.StateIdle:
		c.phase = phaseAnswered
		c.setUnframed(false)
	case http.StateHijacked:
		c.setUnframed(false)
	}
}

// tryClose closes the connection if it is idle.
func (c *conn) tryClose(now time.Time) bool {
	c.mu.Lock()
	if !c.isIdle(now) {
		c.mu.Unlock()
		return false
	}
	c.closed = true
	c.report(ReasonIdleAtStop)
	c.mu.Unlock()      // Close waits for tryRead, which takes c.mu
	_ = c.Conn.Close() // nothing is pending on an idle connection
	return true
}

// isIdle reports whether no request is arriving or being answered. A new connection counts as idle only after
// firstByteTimeout, because its caller opened it for a request. c.mu must be held.
func (c *conn) isIdle(now time.Time) bool {
	if !c.waiting || c.phase == phaseNew && now.Sub(c.acceptedAt) < firstByteTimeout {
		return false
	}
	if n := c.unsent(); n > 0 && c.progress.stalledFor(n, now) < stallTimeout {
		return false // the caller still receives the last answer
	}
	return sockets.IsQuiet(c.Conn)
}

// Close implements net.Conn. It lets the caller receive the last answer first, unless the whole server is closed. It
// resets the connection within an answer whose end the connection marks.
func (c *conn) Close() error {
	switch {
	case c.isHijacked():
		c.server.forgetHijacked(c)
	case c.isBrokenOff():
		c.awaitConfirmed()
	default:
		c.setUnframed(false)
		c.linger()
	}
	return c.Conn.Close()
}

func (c *conn) isHijacked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == http.StateHijacked
}

// cut records that the connection is closed whatever its state.
func (c *conn) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(ReasonClose)
}

// report tells the owner of the server that the connection is closed. c.mu must be held.
func (c *conn) report(why Reason) {
	if c.server.OnClose != nil {
		begun := c.phase == phaseHeader || c.phase == phaseRequest
		c.server.OnClose(Closing{Reason: why, State: c.state, Begun: begun, Caller: c.RemoteAddr().String()})
	}
}
