package graceful

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn stores the connection in the context of its requests, after next, which may be nil.
func withConn(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, nc net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, nc)
		}
		if c, ok := nc.(*conn); ok {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
}

// resetAborted returns a handler that serves with next. Callers before HTTP/1.1 know no chunks, so only the end of the
// connection may mark the end of an answer to them. One that is broken off resets the connection, since it would look
// whole otherwise.
func resetAborted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		c.setUnframed(true)
		whole := false
		defer func() {
			if !whole {
				c.aborted.Store(true)
			}
		}()
		next.ServeHTTP(w, r)
		whole = true
	})
}

// setUnframed records whether the end of the connection may mark the end of an answer. While it may, the kernel resets
// the connection if the process ends.
func (c *conn) setUnframed(unframed bool) {
	if c.unframed.Swap(unframed) == unframed {
		return
	}
	l := unix.Linger{}
	if unframed {
		l.Onoff = 1 // with a time of 0 s
	}
	// Errors mean that the connection is closed.
	_ = c.raw.Control(func(fd uintptr) { _ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &l) })
}

// Write implements net.Conn. An answer of which a write has failed is broken off, whatever its handler does.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.aborted.Store(true)
	}
	return n, err
}

// isBrokenOff reports whether the connection is closed within an answer whose end it marks.
func (c *conn) isBrokenOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unframed.Load() && (c.aborted.Load() || c.server.closing.Load() && c.state == http.StateActive)
}

// awaitConfirmed returns when the caller's side has confirmed what was sent, or makes no progress. A reset drops what it
// has not confirmed.
func (c *conn) awaitConfirmed() {
	begin, progress := time.Now(), sendProgress{}
	for interval := minLingerInterval; !c.server.closing.Load(); interval = min(2*interval, maxLingerInterval) {
		s, err := c.socketState()
		now := time.Now()
		if err != nil || s.broken || s.unconfirmed == 0 ||
			progress.stalledFor(s.unconfirmed, now) >= stallTimeout || now.Sub(begin) >= maxLinger {
			return
		}
		time.Sleep(interval)
	}
}
