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
	// Callers wait no longer than 3 s on a stalled path: as long as a machine counts as out of reach after it is back. Probes
	// go out 1 s and 2 s after the last sign of life, and the third one finds that the limit has passed. Whole seconds are
	// the finest setting of the kernel, so an endpoint whose kernel is silent at both moments, for more than 1 s, is lost.
	probeIdle     = time.Second
	probeInterval = time.Second
	// userTimeout is the time in milliseconds after which a connection whose sent bytes are not confirmed is closed. If it is
	// set, the kernel also closes by it, and not by probeCount, a connection with unanswered probes. It lies between the
	// second probe and the third, so that neither a late timer nor an early one shifts the end by a probe.
	userTimeout = 2500
	// probeCount gives the same limit of 3 s while userTimeout is off (see uploadWatch).
	probeCount = 2
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
