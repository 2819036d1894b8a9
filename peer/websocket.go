package peer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/samber/oops"

	"github.com/trefoillug/trefoillug/intake"
)

const (
	// Path is the URL path at which the peer listener accepts connections of other members.
	Path = "/peer"
	// sendTimeout limits the write of a message. It equals stallTimeout, the 3 s after which a stalled connection is
	// closed.
	sendTimeout = 3 * time.Second
)

// WebSocket is the Transport between processes. It counts the bytes of its outgoing connections and of those accepted
// from Listener.
type WebSocket struct {
	client   *http.Client
	sent     atomic.Int64
	received atomic.Int64
}

// NewWebSocket returns a transport that opens one TCP connection for each Conn.
func NewWebSocket() *WebSocket {
	w := &WebSocket{}
	d := &net.Dialer{}
	w.client = &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c, sent: &w.sent, received: &w.received}, nil
		},
	}}
	return w
}

// Bytes returns the bytes written to and read from the TCP connections, WebSocket handshakes and frames included.
func (w *WebSocket) Bytes() (sent, received int64) { return w.sent.Load(), w.received.Load() }

// Listener wraps l so that Bytes covers its connections too.
func (w *WebSocket) Listener(l net.Listener) net.Listener {
	return &countingListener{Listener: l, transport: w}
}

// Dial implements Transport.
func (w *WebSocket) Dial(ctx context.Context, address string) (Conn, error) {
	c, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: w.client})
	if err != nil {
		return nil, oops.Wrapf(err, "dialling peer %s", address)
	}
	return newSocket(c, nil), nil
}

// Handler returns the HTTP handler that accepts connections of other members; it belongs at Path.
func (n *Node) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, nil)
		if err != nil {
			return // Accept has answered the request
		}
		s := newSocket(c, n.memory)
		n.Serve(s)
		s.release()
	})
}

// socket is a Conn over a WebSocket connection.
type socket struct {
	c      *websocket.Conn
	ctx    context.Context
	cancel context.CancelFunc

	memory  *intake.Memory              // for messages; nil: no bound
	message atomic.Pointer[intake.Body] // the latest one, which counts until the next one is awaited
}

func newSocket(c *websocket.Conn, memory *intake.Memory) *socket {
	c.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(context.Background())
	return &socket{c: c, ctx: ctx, cancel: cancel, memory: memory}
}

func (s *socket) Send(b []byte) error {
	ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
	defer cancel()
	return s.c.Write(ctx, websocket.MessageBinary, b)
}

func (s *socket) Receive() ([]byte, error) {
	if s.memory == nil {
		_, b, err := s.c.Read(s.ctx)
		return b, err
	}
	s.release()
	_, r, err := s.c.Reader(s.ctx)
	if err != nil {
		return nil, err
	}
	message, err := s.memory.ReadMessage(r, maxMessageBytes, s.cancel)
	if err != nil {
		s.cancel()
		return nil, err
	}
	s.message.Store(message)
	return message.Bytes(), nil
}

// release returns the memory of the latest message.
func (s *socket) release() { s.message.Swap(nil).Release() }

func (s *socket) Close() error {
	s.cancel()
	return s.c.CloseNow()
}

// countingConn adds the bytes read and written to the counters of a WebSocket.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// countingListener wraps accepted connections in countingConn.
type countingListener struct {
	net.Listener
	transport *WebSocket
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, sent: &l.transport.sent, received: &l.transport.received}, nil
}
