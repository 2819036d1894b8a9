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

// conn records whether a request is arriving or being answered on a connection.
type conn struct {
	net.Conn
	acceptedAt    time.Time
	headerTimeout func() time.Duration // nil: no limit
	onClose       func(Closing)        // nil: not reported

	mu        sync.Mutex
	state     http.ConnState
	inRequest bool // bytes of a request have arrived, and its answer is not complete
	served    bool // a request was answered
	closed    bool // closed because it was idle
	// headerTimer runs while the header of a request arrives.
	headerTimer *time.Timer
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, io.EOF // the bytes are lost, but the request has not begun
	}
	if n > 0 && !c.inRequest {
		c.inRequest = true
		c.beginHeader()
	}
	return n, err
}

// beginHeader starts the time limit of a header. c.mu must be held.
func (c *conn) beginHeader() {
	if c.headerTimeout == nil {
		return
	}
	if timeout := c.headerTimeout(); timeout > 0 {
		c.headerTimer = time.AfterFunc(timeout, c.expireHeader)
	}
}

func (c *conn) endHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headerTimer != nil {
		c.headerTimer.Stop()
		c.headerTimer = nil
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

func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest, c.served = false, true
}

// tryClose closes the connection if it is idle. A new one counts as idle only after firstByteTimeout, because its
// caller opened it for a request.
func (c *conn) tryClose(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inRequest || !c.served && now.Sub(c.acceptedAt) < firstByteTimeout || !sockets.IsQuiet(c.Conn) {
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

func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
}

// report tells the owner of the server that the connection is closed. c.mu must be held.
func (c *conn) report(why Reason) {
	if c.onClose != nil {
		c.onClose(Closing{Reason: why, State: c.state, Begun: c.inRequest, Caller: c.RemoteAddr().String()})
	}
}
