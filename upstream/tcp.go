package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/trefoillug/trefoillug/sockets"
)

const (
	// Keep-alive probes close a connection about 3 s after its path stalled. By the rules a machine counts as reachable
	// again after the same time.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout is the time in milliseconds after which a connection whose sent bytes are not acknowledged is
	// closed.
	userTimeout = 2500
)

// DialTCP opens a TCP connection that detects a stalled path by itself.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
			})
			return errors.Join(err, failed)
		},
	}
	return d.DialContext(ctx, "tcp4", address)
}

// isUsable reports whether an idle connection is open and has nothing to read. Bytes that arrive before the next
// request belong to no request.
func (c *conn) isUsable() bool { return c.reader.Buffered() == 0 && sockets.IsQuiet(c.Conn) }
