package standin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstPort to lastPort lie below the ephemeral range of the kernel, so that outgoing connections never take them.
	firstPort = 20_000
	lastPort  = 32_000
	// portStride separates the first ports of processes that run at the same time, such as the tests of several packages.
	portStride = 53
)

var nextPort = func() *atomic.Int64 {
	var p atomic.Int64
	p.Store(int64(os.Getpid() * portStride))
	return &p
}()

// FreeAddress returns a loopback host:port that nothing listens on. Later calls in this process return it again only
// after all other ports of the range.
func FreeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close() // nothing was accepted
			return address
		}
	}
}
