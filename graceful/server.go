// Package graceful runs HTTP servers that lose no request when they are shut down. In contrast to Server.Shutdown of
// net/http, it serves connections that still wait to be accepted, requests whose header has arrived in part, and those
// that net/http has buffered behind another.
package graceful

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pollInterval is the time between checks for idle connections during a shutdown.
	pollInterval = 5 * time.Millisecond
	// acceptWindow is the time without a waiting connection after which a draining listener is closed.
	acceptWindow = 5 * time.Millisecond
	// firstByteTimeout is the time in which the first request on a new connection is expected during a shutdown.
	firstByteTimeout = time.Second
)

// Server is an HTTP server. Use New.
type Server struct {
	// HeaderTimeout returns the time in which the header of a request has to arrive once its first byte has; 0: no limit;
	// nil: the ReadHeaderTimeout of the http.Server. It may change while the server runs; a lower value holds for
	// the headers that begin afterwards.
	HeaderTimeout func() time.Duration
	// IdleTimeout returns the time after which a connection without a request is closed; 0: no limit; nil: the
	// IdleTimeout of the http.Server. It may change while the server runs; a lower value holds from the next answer on
	// a connection. Connections without any request are kept for the ReadHeaderTimeout of the http.Server at least.
	IdleTimeout func() time.Duration
	// OnClose is told of each connection that the server closes by its own decision; nil: nobody is. It must not block
	// or call the server.
	OnClose func(Closing)
	// MaxConns returns the bound for open connections, hijacked ones included; nil or 0: no bound. At the bound a new
	// connection takes the place of an idle one or is answered with 503.
	MaxConns func() int
	// RefusalHeader has the headers of that answer; nil: a Retry-After of one second.
	RefusalHeader http.Header
	// OnFull is called when a connection is refused at the bound, so that the owner can end stalled requests; it may be nil.
	// It must not block.
	OnFull func()
	// ReceiveBuffer returns the SO_RCVBUF for a new connection, of which the kernel keeps up to twice as much until it is
	// read, while there are open ones, hijacked ones included; nil or 0: what the kernel sets.
	ReceiveBuffer func(open int) int

	http     *http.Server
	draining atomic.Bool // Shutdown was called; set while mu is held
	closing  atomic.Bool // Close was called

	mu       sync.Mutex
	listener deadlineListener // nil: closed or not yet serving
	conns    map[*conn]struct{}
	hijacked map[*conn]struct{} // not closed yet

	scannedAt time.Time     // of the last search for connections to close that found none; only Accept uses it
	refusing  chan struct{} // semaphore of refused connections that are not closed yet
}

// New returns a server with the settings of s, whose Handler must be set and whose ConnState and ReadTimeout must not. It
// changes the Handler and the ConnContext of s.
func New(s *http.Server) *Server {
	g := &Server{http: s, conns: map[*conn]struct{}{}, hijacked: map[*conn]struct{}{}, refusing: make(chan struct{}, maxRefusing)}
	s.ConnState = g.recordState
	s.ConnContext = withConn(s.ConnContext)
	s.Handler = resetAborted(s.Handler)
	return g
}

// deadlineListener is a listener whose Accept can be woken, such as a TCP listener.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// Serve serves connections from l, a TCP listener, until Shutdown or Close, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.draining.Load() {
		s.mu.Unlock()
		return l.Close()
	}
	d, ok := l.(deadlineListener)
	if !ok {
		s.mu.Unlock()
		return fmt.Errorf("listener %T has no deadline", l)
	}
	s.listener = d
	s.mu.Unlock()
	defer s.forgetListener() // only now, since http.Server accepts again after a temporary error
	err := s.http.Serve(&listener{deadlineListener: d, server: s})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Shutdown accepts the connections that wait, closes the listener, answers all requests that have begun to arrive and
// closes each connection with the answer in progress. It returns an error if ctx ends first; Close then ends the rest.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		if s.closeIdle(time.Now()) {
			return s.http.Close()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d connections still open: %w", s.openConns(), ctx.Err())
		case <-poll.C:
		}
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.closing.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		c.cut()
	}
	s.mu.Unlock()
	return s.http.Close()
}

// stopAccepting makes the listener accept only what already waits.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	if s.listener != nil {
		_ = s.listener.SetDeadline(time.Unix(1, 0)) // wakes Accept; fails only if the listener is closed
	}
}

func (s *Server) headerTimeout() time.Duration {
	if s.HeaderTimeout != nil {
		return s.HeaderTimeout()
	}
	return s.http.ReadHeaderTimeout
}

func (s *Server) idleTimeout() time.Duration {
	if s.IdleTimeout != nil {
		return s.IdleTimeout()
	}
	return s.http.IdleTimeout
}

// closeIdle closes the idle connections and reports whether none is left and the listener is closed.
func (s *Server) closeIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.tryClose(now) {
			delete(s.conns, c)
		}
	}
	return len(s.conns) == 0 && s.listener == nil
}

func (s *Server) forgetListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = nil
}

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// countedConns returns the number of open connections, hijacked ones included.
func (s *Server) countedConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + len(s.hijacked)
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

// recordState implements http.Server.ConnState.
func (s *Server) recordState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	c.recordState(state)
	if state == http.StateHijacked || state == http.StateClosed {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
		if state == http.StateHijacked {
			s.hijacked[c] = struct{}{}
		}
	}
}

// forgetHijacked records that a hijacked connection is closed.
func (s *Server) forgetHijacked(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hijacked, c)
}
