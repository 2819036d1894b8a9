package graceful

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minLingerInterval and maxLingerInterval bound the time between two looks at a connection that waits to be closed.
	minLingerInterval = 5 * time.Millisecond
	maxLingerInterval = 40 * time.Millisecond
	// callerCloseTimeout is how long a caller that has received everything may take to close its side, if bytes that it
	// sent remain unread.
	callerCloseTimeout = 500 * time.Millisecond
	// stallTimeout is the time without any progress after which a caller no longer counts as reading.
	stallTimeout = 2 * time.Second
	// maxLinger bounds the time that a caller who reads slowly keeps a connection that waits to be closed.
	maxLinger = 30 * time.Second
)

// linger ends the sending side of the connection and returns when closing the rest loses no part of an answer. The
// kernel drops what it has not yet sent when a connection is closed with unread bytes, or gets more bytes afterwards.
func (c *conn) linger() {
	if err := c.CloseWrite(); err != nil {
		return // closed by the caller
	}
	begin, progress := time.Now(), sendProgress{}
	for interval := minLingerInterval; !c.server.closing.Load(); interval = min(2*interval, maxLingerInterval) {
		s, err := c.socketState()
		now := time.Now()
		switch {
		case err != nil || s.broken:
			return
		case !s.unread && (s.unconfirmed == 0 || s.callerDone):
			return
		case progress.stalledFor(s.unconfirmed, now) >= s.patience(), now.Sub(begin) >= maxLinger:
			return
		}
		time.Sleep(interval)
	}
}

// CloseWrite ends the sending side of the connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// sendProgress tells how long the number of bytes that are left has been the same.
type sendProgress struct {
	bytes int
	since time.Time
}

func (p *sendProgress) stalledFor(bytes int, now time.Time) time.Duration {
	if p.since.IsZero() || bytes != p.bytes {
		p.bytes, p.since = bytes, now
	}
	return now.Sub(p.since)
}

// socketState is what the kernel knows about a connection.
type socketState struct {
	unconfirmed int  // bytes that the caller's side has not confirmed
	unread      bool // bytes of the caller wait to be read
	callerDone  bool // the caller has closed its sending side
	broken      bool
}

// patience is how long to wait without progress.
func (s socketState) patience() time.Duration {
	if s.unconfirmed > 0 {
		return stallTimeout
	}
	return callerCloseTimeout
}

// unsent returns the number of bytes that the kernel has yet to send; 0 if it does not tell. Those that the caller has
// only to confirm don't count: it confirms the end of an answer with its next request.
func (c *conn) unsent() int {
	n := 0
	// Errors mean that the kernel does not tell, or that the connection is closed.
	_ = c.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD) })
	return n
}

func (c *conn) socketState() (s socketState, err error) {
	controlErr := c.raw.Control(func(fd uintptr) {
		var unread int
		s.unconfirmed, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err != nil {
			return
		}
		unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		if err != nil {
			return
		}
		s.unread = unread > 0
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err = unix.Poll(poll, 0)
		s.callerDone = poll[0].Revents&unix.POLLRDHUP != 0
		s.broken = poll[0].Revents&unix.POLLERR != 0
	})
	return s, errors.Join(controlErr, err)
}
