package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
)

// sendQueueLen is the number of messages that may be queued for a connection; it is closed when more are sent.
const sendQueueLen = 512

// session is a connection with its send queue and its pending calls.
type session struct {
	id           linkID // 0: carries calls only
	peer         string
	conn         Conn
	queue        chan []byte
	done         chan struct{}
	once         sync.Once
	stats        *stats
	lastReceived atomic.Int64 // time of the last message received, nanoseconds since 1970
	lastCall     atomic.Int64 // time of the last call, nanoseconds since 1970
	nextID       atomic.Uint64

	mu      sync.Mutex
	pending map[uint64]chan *reply // calls that wait for a reply, by ID
}

func newSession(c Conn, peer string, st *stats) *session {
	s := &session{peer: peer, conn: c, queue: make(chan []byte, sendQueueLen), done: make(chan struct{}), stats: st, pending: map[uint64]chan *reply{}}
	s.lastReceived.Store(time.Now().UnixNano())
	s.lastCall.Store(time.Now().UnixNano())
	return s
}

// send queues a message. It closes the session if the queue is full.
func (s *session) send(m *message) {
	select {
	case s.queue <- encodeMessage(m):
	case <-s.done:
	default:
		s.close()
	}
}

// write sends the queued messages until the session is closed.
func (s *session) write() {
	for {
		select {
		case b := <-s.queue:
			if err := s.conn.Send(b); err != nil {
				s.close()
				return
			}
			s.stats.messagesSent.Add(1)
			s.stats.bytesSent.Add(int64(len(b)))
		case <-s.done:
			return
		}
	}
}

// drain waits until the queue is empty, at most for limit.
func (s *session) drain(limit time.Duration) {
	for end := time.Now().Add(limit); len(s.queue) > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *session) close() {
	s.once.Do(func() {
		close(s.done)
		// The connection is abandoned, so an error of Close doesn't matter.
		_ = s.conn.Close()
	})
}

// receive waits for the next message.
func (s *session) receive() (*message, error) {
	b, err := s.conn.Receive()
	if err != nil {
		return nil, err
	}
	s.lastReceived.Store(time.Now().UnixNano())
	s.stats.messagesReceived.Add(1)
	s.stats.bytesReceived.Add(int64(len(b)))
	return decodeMessage(b)
}

// pendingCalls returns the number of calls that wait for a reply.
func (s *session) pendingCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// resolve passes a reply to its call. It drops the reply if the call has ended.
func (s *session) resolve(r *reply) {
	s.mu.Lock()
	ch := s.pending[r.ID]
	delete(s.pending, r.ID)
	s.mu.Unlock()
	if ch != nil {
		ch <- r
	}
}

// call sends a request and waits for its reply.
func (s *session) call(ctx context.Context, kind string, body []byte) ([]byte, error) {
	c := &call{ID: s.nextID.Add(1), Kind: kind, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		c.Timeout = uint64(max(time.Until(deadline).Milliseconds(), 1))
	}
	ch := make(chan *reply, 1)
	s.mu.Lock()
	s.pending[c.ID] = ch
	s.mu.Unlock()
	defer s.removePending(c.ID)
	s.lastCall.Store(time.Now().UnixNano())
	s.send(&message{Kind: kindCall, Call: c})
	select {
	case r := <-ch:
		return r.result(s.peer, kind)
	case <-s.done:
		return nil, oops.Wrapf(ErrConnectionLost, "calling %s at %s", kind, s.peer)
	case <-ctx.Done():
		return nil, oops.Wrapf(ctx.Err(), "calling %s at %s", kind, s.peer)
	}
}

func (s *session) removePending(id uint64) {
	s.mu.Lock()
	delete(s.pending, id)
	s.mu.Unlock()
}

// result returns the body of a reply or its failure as an error of Call.
func (r *reply) result(peer, kind string) ([]byte, error) {
	switch r.Failure {
	case replyOK:
		return r.Body, nil
	case replyNoHandler:
		return nil, oops.Wrapf(ErrNoHandler, "calling %s at %s", kind, peer)
	case replyBusy:
		return nil, oops.Wrapf(ErrBusy, "calling %s at %s", kind, peer)
	default:
		return nil, &RemoteError{Member: peer, Kind: kind, Text: r.Text}
	}
}
