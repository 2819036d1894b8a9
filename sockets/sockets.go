// Package sockets inspects open TCP connections and reports their failures.
package sockets

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsQuiet reports whether a connection is open and has nothing to read. It is true for connections that are not
// sockets, such as pipes.
func IsQuiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errors.Is(err, errors.ErrUnsupported)
	}
	quiet := false
	// Control does not wait for a read in progress, as Read would.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

// Control calls fn with the descriptor of a connection or a listener, which must not be kept.
func Control(c syscall.Conn, fn func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = fn(int(fd)) })
	return errors.Join(err, failed)
}
