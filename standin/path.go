package standin

import (
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/trefoillug/trefoillug/sockets"
)

// CutPath makes the kernel drop all that arrives on a TCP connection or at a listener, without a reset: the path to its other side looks
// stalled from there and from here.
func CutPath(c syscall.Conn) error {
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}} // keeps 0 bytes of each packet
	return sockets.Control(c, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	})
}

// RestorePath ends the effect of CutPath.
func RestorePath(c syscall.Conn) error {
	return sockets.Control(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}
