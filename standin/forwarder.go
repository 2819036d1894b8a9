package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Forwarder is a TCP proxy. Its established connections can be stalled in one or both directions, held, or closed, while
// new connections work, and new connections can fail while the established ones live on.
type Forwarder struct {
	address  string
	target   string
	accepted atomic.Int64

	mu         sync.Mutex
	listener   net.Listener
	acceptance Acceptance
	fillers    []net.Conn // in the queue of a listener that lets new connections hang
	pairs      []*forwardedPair
	held       bool
	released   *sync.Cond // held is no longer set
}

type forwardedPair struct {
	client, server   net.Conn
	dropUp, dropDown atomic.Bool // discard bytes sent towards or by the target
}

// NewForwarder returns a forwarder to target that listens on a loopback address.
func NewForwarder(target string) (*Forwarder, error) { return NewForwarderAt("127.0.0.1:0", target) }

// NewForwarderAt returns a forwarder to target that listens on address.
func NewForwarderAt(address, target string) (*Forwarder, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{listener: l, address: l.Addr().String(), target: target}
	f.released = sync.NewCond(&f.mu)
	go f.run(l)
	return f, nil
}

// Address returns the address that the forwarder listens on.
func (f *Forwarder) Address() string { return f.address }

// Accepted returns the number of connections accepted so far.
func (f *Forwarder) Accepted() int64 { return f.accepted.Load() }

// Close stops the forwarder and closes its connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	f.closeListener()
	f.mu.Unlock()
	f.Hold(false)
	f.CloseConnections()
}

func (f *Forwarder) run(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		f.accepted.Add(1)
		server, err := net.Dial("tcp", f.target)
		if err != nil {
			client.Close()
			continue
		}
		p := &forwardedPair{client: client, server: server}
		f.mu.Lock()
		if f.listener != l { // closed in the meantime
			f.mu.Unlock()
			client.Close()
			server.Close()
			return
		}
		f.pairs = append(f.pairs, p)
		f.mu.Unlock()
		go f.copyBytes(server, client, &p.dropUp)
		go f.copyBytes(client, server, &p.dropDown)
	}
}

// copyBytes copies from one connection to the other until a read fails, and then closes the other one. While dropping
// is set, it discards the bytes, and only an EOF closes the other connection. While the connections are held, it waits.
func (f *Forwarder) copyBytes(to, from net.Conn, dropping *atomic.Bool) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		f.awaitRelease()
		if n > 0 && !dropping.Load() {
			_, _ = to.Write(b[:n])
		}
		if err != nil {
			if err == io.EOF || !dropping.Load() {
				to.Close()
			}
			return
		}
	}
}

// Stall sets whether the established connections discard the bytes sent towards the target (up) and by it (down).
// Connections accepted later are not affected.
func (f *Forwarder) Stall(up, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pairs {
		p.dropUp.Store(up)
		p.dropDown.Store(down)
	}
}

// CloseConnections resets the established connections, as a crash does.
func (f *Forwarder) CloseConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pairs {
		if c, ok := p.client.(*net.TCPConn); ok {
			_ = c.SetLinger(0) // an answer without a length must not look complete
		}
		p.client.Close()
		p.server.Close()
	}
	f.pairs = nil
}

// Hold sets whether the connections keep what is sent on them until they are released, as over a link without a path.
func (f *Forwarder) Hold(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = on
	f.released.Broadcast()
}

func (f *Forwarder) awaitRelease() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.held {
		f.released.Wait()
	}
}
