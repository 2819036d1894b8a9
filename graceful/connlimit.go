package graceful

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/trefoillug/trefoillug/sockets"
)

const (
	// scanInterval is the least time between two searches for connections to close that found none.
	scanInterval = 20 * time.Millisecond
	// headPatience is how long a header may take while there are as many connections as may be open. Callers send a header at
	// once.
	headPatience = time.Second
	// maxRefusing is the number of refused connections that are kept until their caller has read the refusal.
	maxRefusing = 8
	// refusingTime bounds the time for that.
	refusingTime = 200 * time.Millisecond
)

// refusalText answers a connection above the bound. Nothing of its request was read, so the request has not run.
const refusalText = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n%s\r\n"

// refusalHeader has the headers of that answer, unless Server.RefusalHeader replaces them.
var refusalHeader = http.Header{"Retry-After": {"1"}}

// makeRoom reports whether another connection may be served. At the bound it closes another one: the one that has been idle
// for longest, else one on which nothing has arrived, else one whose header arrives slowly.
func (s *Server) makeRoom(now time.Time) bool {
	if s.MaxConns == nil {
		return true
	}
	if s.hasRoom() {
		return true
	}
	if now.Sub(s.scannedAt) >= scanInterval {
		s.mu.Lock()
		closed := s.closeSpare(now)
		s.mu.Unlock()
		if closed {
			return true
		}
		s.scannedAt = now // only Accept uses it
		if s.OnFull != nil {
			s.OnFull()
		}
	}
	return false
}

func (s *Server) hasRoom() bool {
	most := s.MaxConns()
	return most <= 0 || s.countedConns() < most
}

// spare is a connection that may be closed at the bound.
type spare struct {
	*conn
	rank  int // lower ones are closed first
	since time.Time
}

// closeSpare closes one connection that may be closed, and reports whether there was one. s.mu must be held.
func (s *Server) closeSpare(now time.Time) bool {
	var spares []spare
	for c := range s.conns {
		if rank, since, ok := c.spareSince(now); ok {
			spares = append(spares, spare{c, rank, since})
		}
	}
	slices.SortFunc(spares, func(x, y spare) int { return cmp.Or(cmp.Compare(x.rank, y.rank), x.since.Compare(y.since)) })
	for _, c := range spares {
		if c.closeSpare(now) {
			delete(s.conns, c.conn)
			return true
		}
	}
	return false
}

// spareSince returns since when the connection may be closed at the bound, and false if it may not.
func (c *conn) spareSince(now time.Time) (rank int, since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return 0, time.Time{}, false
	case c.phase == phaseIdle && c.waiting:
		return 0, c.phaseBegan, true
	case c.phase == phaseNew:
		return 1, c.acceptedAt, c.waiting && now.Sub(c.acceptedAt) >= firstByteTimeout
	case c.phase == phaseHeader:
		return 2, c.phaseBegan, now.Sub(c.phaseBegan) >= headPatience
	}
	return 0, time.Time{}, false
}

// closeSpare closes the connection unless a request has begun meanwhile. A slow header counts only while the server waits for
// its bytes: a server without processor time reads late what its caller sent in time.
func (c *conn) closeSpare(now time.Time) bool {
	c.mu.Lock()
	isSlow := c.phase == phaseHeader && now.Sub(c.phaseBegan) >= headPatience && c.starved && sockets.IsQuiet(c.Conn)
	if c.closed || !isSlow && !c.isIdle(now) {
		c.mu.Unlock()
		return false
	}
	c.closed = true
	c.report(ReasonConnLimit)
	c.mu.Unlock() // Close waits for tryRead, which takes c.mu
	_ = c.Conn.Close()
	return true
}

// refuse answers a connection above the bound and closes it.
func (s *Server) refuse(nc net.Conn) {
	if s.OnClose != nil {
		s.OnClose(Closing{Reason: ReasonRefused, State: http.StateNew, Caller: nc.RemoteAddr().String()})
	}
	_ = nc.SetDeadline(time.Now().Add(refusingTime))
	header := refusalHeader
	if s.RefusalHeader != nil {
		header = s.RefusalHeader
	}
	var lines strings.Builder
	_ = header.Write(&lines)                            // a strings.Builder does not fail
	_, _ = fmt.Fprintf(nc, refusalText, lines.String()) // fits the empty buffer of a new connection
	select {
	case s.refusing <- struct{}{}:
	default:
		_ = nc.Close()
		return
	}
	go func() {
		defer func() { <-s.refusing }()
		defer func() { _ = nc.Close() }()
		if half, ok := nc.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		// Closing with unread bytes would reset the connection before the caller has read the refusal.
		_, _ = io.Copy(io.Discard, io.LimitReader(nc, maxRefusedBytes))
	}()
}

// maxRefusedBytes bounds what is read of a refused request.
const maxRefusedBytes = 64 << 10

// setReceiveBuffer bounds the bytes that the kernel keeps until the server reads them.
func (c *conn) setReceiveBuffer(n int) {
	if n <= 0 {
		return
	}
	// Errors mean that the connection is closed.
	_ = c.raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n) })
}
