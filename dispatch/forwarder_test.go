package dispatch_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// forwarder carries TCP connections to an address. Its established connections can stop carrying bytes in one or
// both directions, or break, while new ones work.
type forwarder struct {
	listener net.Listener
	target   string
	accepted atomic.Int64
	mu       sync.Mutex
	pairs    []*forwardedPair
}

type forwardedPair struct {
	near, far  net.Conn
	noUp, noDn atomic.Bool // swallow bytes towards or from the target
}

func newForwarder(t *testing.T, target string) *forwarder {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	f := &forwarder{listener: l, target: target}
	go f.run()
	t.Cleanup(func() { l.Close(); f.cut() })
	return f
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

func (f *forwarder) run() {
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
		go carry(near, far, &p.noDn)
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

// silence stops the established connections from carrying bytes.
func (f *forwarder) silence(up, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pairs {
		p.noUp.Store(up)
		p.noDn.Store(down)
	}
}

// cut breaks the established connections.
func (f *forwarder) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pairs {
		p.near.Close()
		p.far.Close()
	}
	f.pairs = nil
}
