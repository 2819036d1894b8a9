package graceful

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

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
		draining := l.server.isDraining()
		start := time.Now()
		if draining {
			_ = l.SetDeadline(start.Add(acceptWindow)) // fails only if the listener is closed
		}
		nc, err := l.deadlineListener.Accept()
		switch {
		case err == nil:
			c := &conn{Conn: nc, acceptedAt: time.Now(), headerTimeout: l.server.HeaderTimeout, onClose: l.server.OnClose}
			l.server.add(c)
			return c, nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case draining && time.Since(start) >= acceptWindow:
			// Accept has waited, so no connection was left. A deadline that passes before the call fails without a look.
			return nil, errors.Join(net.ErrClosed, l.Close())
		}
	}
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
	acceptedAt    time.Time
	headerTimeout func() time.Duration // nil: no limit
	onClose       func(Closing)        // nil: not reported

	mu         sync.Mutex
	state      http.ConnState
	phase      phase
	bufferSize int  // of net/http's reader
	waiting    bool // the server waits for the first byte of a request
	closed     bool // closed because it was idle
	// headerTimer runs while the header of a request arrives.
	headerTimer *time.Timer
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.beginRead(len(b))
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, io.EOF // the bytes are lost, but the request has not begun
	}
	if c.waiting && n > 0 {
		c.beginHeader()
	}
	c.waiting = false
	return n, err
}

// beginRead records that the server reads up to n bytes. It reads into the free part of its buffer, which is the whole
// buffer only if the server holds no bytes of the next request.
func (c *conn) beginRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferSize == 0 {
		c.bufferSize = n
	}
	if c.phase == phaseIdle && n < c.bufferSize {
		c.beginHeader()
	}
	c.waiting = c.phase == phaseNew || c.phase == phaseIdle
}

// SetReadDeadline implements net.Conn. After an answer net/http sets the deadline for the first bytes of the next
// request, looks for them in its buffer and on the connection, and sets the deadline for the header.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	switch c.phase {
	case phaseAnswered:
		c.phase = phaseIdle
	case phaseIdle:
		c.beginHeader()
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// beginHeader records that a request has begun, and starts the time limit of its header. c.mu must be held.
func (c *conn) beginHeader() {
	c.phase = phaseHeader
	if c.headerTimeout == nil {
		return
	}
	if timeout := c.headerTimeout(); timeout > 0 {
		c.headerTimer = time.AfterFunc(timeout, c.expireHeader)
	}
}

// recordState records a state that net/http reports.
func (c *conn) recordState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	switch state {
	case http.StateActive:
		c.phase = phaseRequest
		if c.headerTimer != nil {
			c.headerTimer.Stop()
			c.headerTimer = nil
		}
	case http.StateIdle:
		c.phase = phaseAnswered
	}
}

// expireHeader closes a connection on which a header has not arrived in time.
func (c *conn) expireHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headerTimer != nil {
		c.report(ReasonHeaderTimeout)
		_ = c.Conn.Close() // the request has not begun
	}
}

// tryClose closes the connection if it is idle. A new one counts as idle only after firstByteTimeout, because its
// caller opened it for a request.
func (c *conn) tryClose(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || c.phase == phaseNew && now.Sub(c.acceptedAt) < firstByteTimeout || !sockets.IsQuiet(c.Conn) {
		return false
	}
	c.closed = true
	c.report(ReasonIdleAtStop)
	_ = c.Conn.Close() // nothing is pending on an idle connection
	return true
}

// cut records that the connection is closed whatever its state.
func (c *conn) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(ReasonClose)
}

// report tells the owner of the server that the connection is closed. c.mu must be held.
func (c *conn) report(why Reason) {
	if c.onClose != nil {
		c.onClose(Closing{Reason: why, State: c.state, Begun: c.phase == phaseHeader || c.phase == phaseRequest, Caller: c.RemoteAddr().String()})
	}
}
