package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Keep-alive probes close a connection about 3 s after its path went silent, the time after which the rules
	// count a machine as in touch again.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout closes a connection whose sent bytes are not confirmed, in milliseconds.
	userTimeout = 2500
)

// DialTCP opens a TCP connection that notices a silent path by itself.
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

// isQuiet reports whether an idle connection is open and has nothing to read. Bytes that arrive without a request
// belong to no request.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
