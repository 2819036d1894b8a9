package upstream

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/progress"
)

var (
	errHeadTooLong = fmt.Errorf("%w: the head has more than %d bytes", progress.ErrTooLong, progress.MaxHeadBytes)
	errHeadTimeout = fmt.Errorf("%w: the head is incomplete", progress.ErrStalled)
)

// headLimiter reads from a connection and, while the head of an answer is being read, bounds its size and the time from
// its first byte to its end.
type headLimiter struct {
	conn       net.Conn
	onReceived func()
	inHead     bool
	left       int // bytes that the head may still have
	timeout    time.Duration

	mu sync.Mutex
	// mayExpire decides whether the head has failed when timeout has passed; nil: it has.
	mayExpire func() bool
	heads     int         // begun so far
	timer     *time.Timer // runs from the first byte of the head
	expired   bool
}

// beginHead starts the bounds of a head; timeout 0 means no limit of time. The returned function ends them.
func (l *headLimiter) beginHead(timeout time.Duration, mayExpire func() bool) (end func()) {
	l.inHead, l.left, l.timeout = true, progress.MaxHeadBytes, timeout
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heads++
	l.mayExpire = mayExpire
	return l.endHead
}

func (l *headLimiter) endHead() {
	l.inHead = false
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
	l.mayExpire = nil // an idle connection must not keep the request in memory
}

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.inHead {
		n, err := l.conn.Read(b)
		if n > 0 {
			l.onReceived()
		}
		return n, err
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.conn.Read(b[:min(len(b), l.left)])
	l.left -= n
	if n > 0 {
		l.onReceived()
		l.startTimer()
	}
	if err != nil && l.hasExpired() {
		err = errHeadTimeout
	}
	return n, err
}

func (l *headLimiter) startTimer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil || l.timeout <= 0 {
		return
	}
	head := l.heads
	l.timer = time.AfterFunc(l.timeout, func() { l.expire(head) })
}

// expire ends the pending read when the time of a head, given by its number, has passed. The connection is not used after
// a failed head.
func (l *headLimiter) expire(head int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer == nil || l.heads != head {
		return // the head has ended in the meantime, and another one may have begun
	}
	if l.mayExpire != nil && !l.mayExpire() {
		l.timer.Reset(l.timeout)
		return
	}
	l.expired = true
	_ = l.conn.SetReadDeadline(time.Unix(1, 0))
}

func (l *headLimiter) hasExpired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expired
}
