package intake

import (
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/graceful"
)

const (
	// reservedFds is the number of descriptors that are not for connections.
	reservedFds = 200
	// callerShare divides the descriptors for connections to get the bound for those of callers. A request in progress needs
	// a connection of its caller and one to an endpoint; the last third is for idle ones to endpoints, peers and the store.
	callerShare = 3
	// peerShare does so for the listener for peers and operators.
	peerShare    = 10
	minPeerConns = 24
	// minConns is the least number of descriptors for connections, for settings with fewer than the reserved ones.
	minConns = 90
	// readyConns bounds the connections of readiness checks, of which a balancer opens one at a time.
	readyConns = 16
	// connShare divides the memory of the machine to get that for connections of callers, and connBytes is what one takes
	// in the kernel and in the process, when all are open.
	connShare = 4
	connBytes = 64 << 10
	// receiveShare divides the memory of the machine to get that for receive buffers. The kernel doubles SO_RCVBUF for its
	// overhead, and keeps nearly as many bytes.
	receiveShare = 7
	// maxReceiveBuffer is the SO_RCVBUF with which Linux begins; it would let the buffer grow to 6 MB. minReceiveBuffer
	// still takes a head at once.
	maxReceiveBuffer = 64 << 10
	minReceiveBuffer = 16 << 10
)

// ConnBounds bounds the open connections of the listeners of a process. 0 means no bound.
type ConnBounds struct {
	Callers, Peers, Ready int

	receiveBytes int64 // for the receive buffers of a listener's connections; 0: unknown
}

// receiveBuffer returns the SO_RCVBUF of a connection that is opened while there are others.
func (b ConnBounds) receiveBuffer(open int) int {
	if b.receiveBytes == 0 {
		return maxReceiveBuffer
	}
	return int(max(minReceiveBuffer, min(maxReceiveBuffer, b.receiveBytes/2/int64(open+1))))
}

// ConnBoundsFor returns the bounds for a machine. 0 means that memory or descriptors are not bounded.
func ConnBoundsFor(machineBytes int64, maxFds int) ConnBounds {
	var b ConnBounds
	if maxFds > 0 {
		conns := max(maxFds-reservedFds, minConns)
		b = ConnBounds{Callers: conns / callerShare, Peers: max(conns/peerShare, minPeerConns), Ready: readyConns}
	}
	if machineBytes > 0 {
		b.receiveBytes = machineBytes / receiveShare
		most := int(machineBytes / connShare / connBytes)
		if b.Callers == 0 || b.Callers > most {
			b.Callers = most
		}
	}
	return b
}

// Apply bounds the connections of a server to maxConns. At the bound, stalled bodies of memory are given up.
func (b ConnBounds) Apply(s *graceful.Server, maxConns int, memory *Memory) {
	s.MaxConns = func() int { return maxConns }
	s.ReceiveBuffer = b.receiveBuffer
	if memory != nil {
		s.OnFull = memory.EvictOneStalled
	}
}

// unreadBodyTime bounds the time in which net/http receives the rest of a body that its handler has not read.
const unreadBodyTime = 2 * time.Second

// BoundUnreadBodies returns a handler that serves with next, which may answer without reading the body. Without a deadline a
// client that stops short of the end of such a body would keep its connection for good.
func BoundUnreadBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			// ReadBody replaces the deadline. The error is ignored: writers without a connection do not support deadlines.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
		}
		next.ServeHTTP(w, r)
	})
}

// RefuseBodies returns a handler that serves requests without a body with next, and refuses others before a byte of the body
// is read.
func RefuseBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		// The error is ignored: writers without a connection do not support deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(past)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
}
