package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
)

// sendQueue is the number of messages that may wait for a slow connection before it is closed.
const sendQueue = 512

// session is a connection with its send queue and the calls that wait for a reply on it.
type session struct {
	id     linkID // 0: carries calls only
	peer   string
	conn   Conn
	queue  chan []byte
	done   chan struct{}
	once   sync.Once
	stats  *stats
	heard  atomic.Int64 // time of the last message received, nanoseconds since 1970
	used   atomic.Int64 // time of the last call, nanoseconds since 1970
	nextID atomic.Uint64

	mu      sync.Mutex
	pending map[uint64]chan *reply
}

func newSession(c Conn, peer string, st *stats) *session {
	s := &session{peer: peer, conn: c, queue: make(chan []byte, sendQueue), done: make(chan struct{}), stats: st, pending: map[uint64]chan *reply{}}
	s.heard.Store(time.Now().UnixNano())
	s.used.Store(time.Now().UnixNano())
	return s
}

// send queues a message and closes the session when its queue is full.
func (s *session) send(m *message) {
	select {
	case s.queue <- encodeMessage(m):
	case <-s.done:
	default:
		s.close()
	}
}

// write sends the queued messages until the session ends.
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

// drain waits until the queue is empty or the time is over.
func (s *session) drain(limit time.Duration) {
	for end := time.Now().Add(limit); len(s.queue) > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *session) close() {
	s.once.Do(func() {
		close(s.done)
		// The connection is given up; there is nothing to do about an error.
		_ = s.conn.Close()
	})
}

// receive returns the next message.
func (s *session) receive() (*message, error) {
	b, err := s.conn.Receive()
	if err != nil {
		return nil, err
	}
	s.heard.Store(time.Now().UnixNano())
	s.stats.messagesReceived.Add(1)
	s.stats.bytesReceived.Add(int64(len(b)))
	return decodeMessage(b)
}

func (s *session) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// resolve passes a reply to its call. A reply whose call has given up is dropped.
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
	defer s.abandon(c.ID)
	s.used.Store(time.Now().UnixNano())
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

func (s *session) abandon(id uint64) {
	s.mu.Lock()
	delete(s.pending, id)
	s.mu.Unlock()
}

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
