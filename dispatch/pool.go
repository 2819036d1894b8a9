package dispatch

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/table"
)

// errSilent is the cause of attempts that end because their connection carries nothing any more.
var errSilent = errors.New("connection silent")

// countingConn counts the bytes written to a connection, so that an attempt can tell that nothing was sent.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	// Counted before the write: a failed write may still have sent a part.
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// generation is a set of connections to an endpoint that are given up together.
type generation struct {
	number    int64
	transport *http.Transport
	mu        sync.Mutex
	attempts  map[*attempt]struct{}
}

// pool holds the connections to an endpoint.
type pool struct {
	client *Client
	live   *table.Counters
	mu     sync.Mutex
	gen    *generation
}

func (p *pool) current() *generation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gen == nil {
		p.gen = p.next(1)
	}
	return p.gen
}

func (p *pool) next(number int64) *generation {
	if p.live != nil {
		p.live.Generation.Store(number)
	}
	return &generation{
		number: number, transport: p.client.newTransport(), attempts: map[*attempt]struct{}{},
	}
}

// retire replaces a generation. Its attempts that have received nothing for quietFor end as silent; one that received
// bytes since then has proof that its own connection works and goes on.
func (p *pool) retire(g *generation, quietFor time.Duration) {
	p.mu.Lock()
	if p.gen == g {
		p.gen = p.next(g.number + 1)
	}
	p.mu.Unlock()
	g.transport.CloseIdleConnections()
	g.mu.Lock()
	defer g.mu.Unlock()
	for a := range g.attempts {
		if a.quiet() >= quietFor {
			a.cancel(errSilent)
		}
	}
}

// attempt is one request in flight on a generation.
type attempt struct {
	gen       *generation
	cancel    context.CancelCauseFunc
	now       func() time.Time
	started   time.Time
	lastBytes atomic.Int64 // Unix nanoseconds of the latest bytes received
	conns     []connUse    // guarded by gen.mu
	reused    func()       // called when the attempt gets a connection that was used before
}

type connUse struct {
	conn *countingConn
	base int64 // bytes written on the connection before this attempt
}

// start registers an attempt with a generation.
func (c *Client) start(ctx context.Context, g *generation) (context.Context, *attempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{gen: g, cancel: cancel, now: c.settings.Now, started: c.settings.Now()}
	a.received()
	g.mu.Lock()
	g.attempts[a] = struct{}{}
	g.mu.Unlock()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn}), a
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if info.Reused && a.reused != nil {
		a.reused()
	}
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	a.gen.mu.Lock()
	defer a.gen.mu.Unlock()
	a.conns = append(a.conns, connUse{conn: conn, base: conn.written.Load()})
}

func (a *attempt) done() {
	a.gen.mu.Lock()
	delete(a.gen.attempts, a)
	a.gen.mu.Unlock()
	a.cancel(nil)
}

func (a *attempt) received() { a.lastBytes.Store(a.now().UnixNano()) }

func (a *attempt) quiet() time.Duration {
	return time.Duration(a.now().UnixNano() - a.lastBytes.Load())
}

// sent tells whether a byte was written. It must be called before the connection is given to another request, which
// the transport does only after a whole answer.
func (a *attempt) sent() Sent {
	a.gen.mu.Lock()
	defer a.gen.mu.Unlock()
	for _, u := range a.conns {
		if u.conn.written.Load() > u.base {
			return Some
		}
	}
	return Nothing
}

// failure classifies the end of an attempt by the error and by the cause of its context.
func (a *attempt) failure(ctx context.Context, err error) Result {
	r := Result{End: Lost, Sent: a.sent(), Err: err}
	a.gen.mu.Lock()
	connected := len(a.conns) > 0
	a.gen.mu.Unlock()
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		r.End = Silent
	case ctx.Err() != nil:
		r.End = Cancelled
	case !connected:
		r.End = NoConn
	}
	return r
}
