package peer

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
)

// Errors of Call. After ErrUnknownMember, ErrUnreachable, ErrNoHandler and ErrBusy the call has not run.
var (
	ErrUnknownMember  = errors.New("no address is known for the member")
	ErrUnreachable    = errors.New("the member can't be reached")
	ErrNoHandler      = errors.New("the member has no handler for this kind of call")
	ErrBusy           = errors.New("the member runs too many calls")
	ErrConnectionLost = errors.New("the connection was lost while the call waited; it may have run")
	ErrClosed         = errors.New("this member has stopped")
	ErrTooLarge       = errors.New("the body exceeds the size limit of a call")
)

// RemoteError is the error that the handler at the called member returned.
type RemoteError struct {
	Member, Kind, Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Kind + " at " + e.Member + ": " + e.Text }

const (
	// MaxBodyBytes is the largest body of a call or reply in bytes.
	MaxBodyBytes = 1<<20 + 64<<10
	// maxRunningCalls is the number of handlers that may run concurrently for other members.
	maxRunningCalls   = 256
	directIdleTimeout = 30 * time.Second
	// acceptedIdleTimeout is the time without a message after which an accepted connection for calls is closed. The member that
	// dialled it closes it earlier, and pings during calls, so that only one that has vanished or is frozen is that silent.
	acceptedIdleTimeout = 2 * directIdleTimeout
	handshakeTimeout    = time.Second
)

// directConn is a connection for calls only. s and err are set when the dial has ended and done is closed.
type directConn struct {
	done chan struct{}
	s    *session
	err  error
}

// Call implements Mesh. It returns an error that wraps one of the errors above or that of ctx, or a *RemoteError. The
// body may have up to MaxBodyBytes bytes.
func (n *Node) Call(ctx context.Context, member, kind string, body []byte) ([]byte, error) {
	if len(body) > MaxBodyBytes {
		return nil, oops.Wrapf(ErrTooLarge, "%d bytes for %s", len(body), kind)
	}
	if member == n.id {
		return n.callSelf(ctx, kind, body)
	}
	s, err := n.sessionFor(ctx, member)
	if err != nil {
		return nil, err
	}
	return s.call(ctx, kind, body)
}

// callSelf runs the handler of a call that this member addresses to itself.
func (n *Node) callSelf(ctx context.Context, kind string, body []byte) ([]byte, error) {
	h := n.handlers[kind]
	if h == nil {
		return nil, oops.Wrapf(ErrNoHandler, "calling %s here", kind)
	}
	out, err := h(ctx, n.id, body)
	if err != nil {
		return nil, &RemoteError{Member: n.id, Kind: kind, Text: err.Error()}
	}
	return out, nil
}

// sessionFor returns an established connection to a member, or dials one that carries calls only.
func (n *Node) sessionFor(ctx context.Context, member string) (*session, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, oops.Wrapf(ErrClosed, "calling %s", member)
	}
	if l := n.m.byPeer[member]; l != nil {
		if s := n.sessions[l.id]; s != nil {
			n.mu.Unlock()
			return s, nil
		}
	}
	d := n.direct[member]
	if d == nil {
		address := n.m.addressOf(member)
		if address == "" {
			n.mu.Unlock()
			return nil, oops.Wrapf(ErrUnknownMember, "calling %s", member)
		}
		d = &directConn{done: make(chan struct{})}
		n.direct[member] = d
		n.spawn(func() { n.dialDirect(d, address, member) })
	}
	n.mu.Unlock()
	select {
	case <-d.done:
		return d.s, d.err
	case <-ctx.Done():
		return nil, oops.Wrapf(errors.Join(ErrUnreachable, ctx.Err()), "dialling %s", member)
	}
}

// addressOf returns the peer address of a member from its record or else from the platform's list; "" if unknown.
func (m *machine) addressOf(member string) string {
	if r := m.members.records[member]; r != nil {
		return r.Address
	}
	return m.connectivity.listed[member].Address
}

// dialDirect opens a connection for calls and serves it until it is closed.
func (n *Node) dialDirect(d *directConn, address, member string) {
	s, _, err := n.open(address, member, true)
	if err != nil {
		d.err = oops.Wrapf(errors.Join(ErrUnreachable, err), "dialling %s", member)
		n.removeDirect(member, d)
		close(d.done)
		return
	}
	n.mu.Lock()
	if n.closed {
		s.close()
	}
	d.s = s
	close(d.done)
	n.mu.Unlock()
	n.spawn(s.write)
	n.readCalls(s)
	n.removeDirect(member, d)
}

func (n *Node) removeDirect(member string, d *directConn) {
	n.mu.Lock()
	if n.direct[member] == d {
		delete(n.direct, member)
	}
	n.mu.Unlock()
}

// readCalls handles the messages of a connection that carries calls only, until it is closed.
func (n *Node) readCalls(s *session) {
	defer s.close()
	for {
		m, err := s.receive()
		if err != nil {
			return
		}
		switch m.Kind {
		case kindPing:
			s.send(&message{Kind: kindPong, Seq: m.Seq})
		case kindCall:
			n.serveCall(s, m.Call)
		case kindReply:
			s.resolve(m.Reply)
		}
	}
}

// checkDirectConns pings the direct connections with pending calls and closes idle and stalled connections, also accepted
// ones. The caller must hold n.mu.
func (n *Node) checkDirectConns(now time.Time) {
	for s := range n.accepted {
		if now.Sub(time.Unix(0, s.lastReceived.Load())) >= acceptedIdleTimeout {
			s.close()
		}
	}
	for member, d := range n.direct {
		select {
		case <-d.done:
		default:
			continue
		}
		s := d.s
		if s == nil {
			continue
		}
		lastCall, lastReceived := time.Unix(0, s.lastCall.Load()), time.Unix(0, s.lastReceived.Load())
		if s.pendingCalls() == 0 {
			if now.Sub(lastCall) >= directIdleTimeout {
				s.close()
				delete(n.direct, member)
			}
			continue
		}
		if now.Sub(later(lastCall, lastReceived)) >= stallTimeout {
			s.close()
			delete(n.direct, member)
			continue
		}
		s.send(&message{Kind: kindPing})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// serveCall runs the handler of a call and sends its reply.
func (n *Node) serveCall(s *session, c *call) {
	h := n.handlers[c.Kind]
	if h == nil {
		s.send(&message{Kind: kindReply, Reply: &reply{ID: c.ID, Failure: replyNoHandler}})
		return
	}
	select {
	case n.running <- struct{}{}:
	default:
		s.send(&message{Kind: kindReply, Reply: &reply{ID: c.ID, Failure: replyBusy}})
		return
	}
	n.spawn(func() {
		defer func() { <-n.running }()
		s.send(&message{Kind: kindReply, Reply: n.runHandler(h, s, c)})
	})
}

// runHandler runs the handler h of a call within the call's timeout and returns its reply.
func (n *Node) runHandler(h Handler, s *session, c *call) *reply {
	ctx, cancel := n.ctx, context.CancelFunc(func() {})
	if c.Timeout > 0 && c.Timeout < uint64(time.Hour/time.Millisecond) {
		ctx, cancel = context.WithTimeout(n.ctx, time.Duration(c.Timeout)*time.Millisecond)
	}
	defer cancel()
	body, err := h(ctx, s.peer, c.Body)
	if err == nil && len(body) > MaxBodyBytes {
		err = ErrTooLarge
	}
	if err != nil {
		return &reply{ID: c.ID, Failure: replyFailed, Text: err.Error()}
	}
	return &reply{ID: c.ID, Body: body}
}
