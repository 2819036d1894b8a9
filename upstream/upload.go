package upstream

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/trefoillug/trefoillug/sockets"
)

const (
	// uploadCheckInterval is the time between two looks at the path of a long request. Most exchanges have ended by the
	// first one.
	uploadCheckInterval = 250 * time.Millisecond
	// soundSilence is the longest time for which a sound endpoint and its kernel may be silent.
	soundSilence = 1500 * time.Millisecond
)

// errPathStalled means that the endpoint's kernel has answered none of the probes sent within more than soundSilence.
var errPathStalled = errors.New("the path of the connection has stalled")

// uploadWatch watches the path of a long request until the endpoint's kernel has confirmed all of it, and ends the exchange
// if the path has stalled. From the first look on it takes the place of TCP_USER_TIMEOUT, which also ends a connection whose
// other side answers all probes but does not read: an endpoint may read a long body only once it has a free slot.
type uploadWatch struct {
	conn    *conn
	written *atomic.Bool // the request was written completely

	mu      sync.Mutex
	timer   *time.Timer // runs check; nil: the watch has ended
	relaxed bool        // TCP_USER_TIMEOUT is off
	probes  probeRecord
}

// probeRecord tells from the probes of a connection whether its path has stalled. A probe is a segment that is sent again,
// or one that asks whether the other side reads again. The kernel sends them at times that are ever farther apart.
type probeRecord struct {
	unanswered int       // probes since the last sign of life
	since      time.Time // when the first of them was noticed
	latest     time.Time // when the latest of them was noticed
}

// isStalled records the number of unanswered probes at a time, and reports whether the path has stalled: some of them are
// more than soundSilence apart, and the latest one has had time for an answer.
func (p *probeRecord) isStalled(unanswered int, now time.Time) bool {
	switch {
	case unanswered == 0:
		*p = probeRecord{}
	case p.unanswered == 0 || unanswered < p.unanswered:
		*p = probeRecord{unanswered, now, now}
	case unanswered > p.unanswered:
		p.unanswered, p.latest = unanswered, now
	default:
		// A probe is noticed up to uploadCheckInterval after it was sent.
		return p.latest.Sub(p.since) >= soundSilence+uploadCheckInterval
	}
	return false
}

func (c *conn) watchUpload(written *atomic.Bool) *uploadWatch {
	w := &uploadWatch{conn: c, written: written}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(uploadCheckInterval, w.check)
	return w
}

// stop ends the watch; TCP_USER_TIMEOUT holds again. It does nothing on a nil watch.
func (w *uploadWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end()
}

// end is stop while mu is held.
func (w *uploadWatch) end() {
	if w.timer == nil {
		return
	}
	w.timer.Stop()
	w.timer = nil
	if w.relaxed {
		setUserTimeout(w.conn.Conn, userTimeout)
	}
}

func (w *uploadWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	written := w.written.Load() // before the state of the socket, which covers all that is written by then
	info, err := tcpInfo(w.conn.Conn)
	switch {
	case err != nil, written && info.Unacked == 0 && info.Notsent_bytes == 0:
		w.end()
		return
	case w.probes.isStalled(int(info.Retransmits)+int(info.Probes), time.Now()):
		w.conn.stalled.Store(true)
		_ = w.conn.SetDeadline(time.Unix(1, 0)) // fails only if the connection is closed
		w.end()
		return
	case !w.relaxed:
		w.relaxed = true
		setUserTimeout(w.conn.Conn, 0)
	}
	w.timer.Reset(uploadCheckInterval)
}

// tcpInfo returns the state of a TCP connection. It fails for connections that are closed or are not sockets.
func tcpInfo(c syscall.Conn) (info *unix.TCPInfo, err error) {
	controlErr := sockets.Control(c, func(fd int) error {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, controlErr
}

// setUserTimeout sets TCP_USER_TIMEOUT in milliseconds, 0: none. It fails only for connections that are closed or are not
// sockets.
func setUserTimeout(c syscall.Conn, timeout int) {
	_ = sockets.Control(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout) })
}
