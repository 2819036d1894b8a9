package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Forwarder carries TCP connections to an address. Its established connections can stop carrying bytes in one or
// both directions, or break, while new ones work.
type Forwarder struct {
	listener net.Listener
	target   string
	accepted atomic.Int64
	mu       sync.Mutex
	pairs    []*forwardedPair
}

type forwardedPair struct {
	near, far    net.Conn
	noUp, noDown atomic.Bool // swallow bytes towards or from the target
}

// NewForwarder returns a forwarder to target that listens on a loopback address.
func NewForwarder(target string) (*Forwarder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Forwarder{listener: l, target: target}
	go f.run()
	return f, nil
}

// Address returns the address that the forwarder listens on.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Accepted returns the number of connections accepted so far.
func (f *Forwarder) Accepted() int64 { return f.accepted.Load() }

// Close stops the forwarder and breaks its connections.
func (f *Forwarder) Close() {
	f.listener.Close()
	f.Cut()
}

func (f *Forwarder) run() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.accepted.Add(1)
		far, err := net.Dial("tcp", f.target)
		if err != nil {
			near.Close()
			continue
		}
		p := &forwardedPair{near: near, far: far}
		f.mu.Lock()
		f.pairs = append(f.pairs, p)
		f.mu.Unlock()
		go carry(far, near, &p.noUp)
		go carry(near, far, &p.noDown)
	}
}

func carry(to, from net.Conn, silent *atomic.Bool) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if n > 0 && !silent.Load() {
			_, _ = to.Write(b[:n])
		}
		if err != nil {
			if err == io.EOF || !silent.Load() {
				to.Close()
			}
			return
		}
	}
}

// Silence stops the established connections from carrying bytes towards the target (up) or from it (down).
func (f *Forwarder) Silence(up, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pairs {
		p.noUp.Store(up)
		p.noDown.Store(down)
	}
}

// Cut breaks the established connections.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pairs {
		p.near.Close()
		p.far.Close()
	}
	f.pairs = nil
}
