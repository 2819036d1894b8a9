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

	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/table"
)

// countingConn counts the bytes written to a connection, which shows whether an attempt has sent anything.
type countingConn struct {
	net.Conn
	settings *Settings
	written  atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.settings.OnReceived()
	}
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	// Counted before the write, because a failed write may still have sent some of the bytes.
	c.written.Add(int64(len(b)))
	c.settings.OnSent()
	return c.Conn.Write(b)
}

// generation is a set of connections to an endpoint that are replaced together once one of them has stalled.
type generation struct {
	number    int64
	transport *http.Transport
	mu        sync.Mutex
	attempts  map[*attempt]struct{}
}

// pool holds the connections to an endpoint, of which new attempts use the current generation.
type pool struct {
	client *Client
	live   *table.Counters
	// returnsIDs is set while the answers of a plain service carry the IDs of their attempts.
	returnsIDs atomic.Bool

	mu  sync.Mutex
	gen *generation
}

func (p *pool) current() *generation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gen == nil {
		p.gen = p.next(1)
	}
	return p.gen
}

// next returns an empty generation and publishes its number in the endpoint's counters.
func (p *pool) next(number int64) *generation {
	if p.live != nil {
		p.live.Generation.Store(number)
	}
	return &generation{
		number: number, transport: p.client.newTransport(), attempts: map[*attempt]struct{}{},
	}
}

// retire replaces a generation. Its attempts that have received nothing for at least minStall end as Stalled if they may
// be given up; the others continue, since the bytes received prove that their connections work.
func (p *pool) retire(g *generation, minStall time.Duration) {
	p.mu.Lock()
	if p.gen == g {
		p.gen = p.next(g.number + 1)
	}
	p.mu.Unlock()
	g.transport.CloseIdleConnections()
	g.mu.Lock()
	defer g.mu.Unlock()
	for a := range g.attempts {
		if a.sinceLastBytes() >= minStall {
			a.stall()
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
	onReused  func()       // called when the attempt gets a reused connection
	// onHead is called when the head of an answer has arrived and returns the watch for its body; nil: no watch.
	onHead func() *progress.Watch
	// mayAbandon reports whether the attempt may end as Stalled; nil: it may.
	mayAbandon func() bool
}

type connUse struct {
	conn          *countingConn
	writtenBefore int64 // bytes written on the connection before this attempt
}

// start registers an attempt with a generation.
func (c *Client) start(ctx context.Context, g *generation, mayAbandon func() bool) (context.Context, *attempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{gen: g, cancel: cancel, now: c.settings.Now, started: c.settings.Now(), mayAbandon: mayAbandon}
	a.recordReceive()
	g.mu.Lock()
	g.attempts[a] = struct{}{}
	g.mu.Unlock()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn}), a
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if info.Reused && a.onReused != nil {
		a.onReused()
	}
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	a.gen.mu.Lock()
	defer a.gen.mu.Unlock()
	a.conns = append(a.conns, connUse{conn: conn, writtenBefore: conn.written.Load()})
}

func (a *attempt) finish() {
	a.gen.mu.Lock()
	delete(a.gen.attempts, a)
	a.gen.mu.Unlock()
	a.cancel(nil)
}

// stall ends the attempt as Stalled if it may be given up.
func (a *attempt) stall() {
	if a.mayAbandon == nil || a.mayAbandon() {
		a.cancel(progress.ErrStalled)
	}
}

func (a *attempt) recordReceive() { a.lastBytes.Store(a.now().UnixNano()) }

// sinceLastBytes returns the time since bytes were last received, or since the start of the attempt.
func (a *attempt) sinceLastBytes() time.Duration {
	return time.Duration(a.now().UnixNano() - a.lastBytes.Load())
}

// sent returns SentSome if a byte of the request was written, else SentNothing. It must be called before another
// request uses the connection, which the transport allows only after a whole answer.
func (a *attempt) sent() Sent {
	a.gen.mu.Lock()
	defer a.gen.mu.Unlock()
	for _, u := range a.conns {
		if u.conn.written.Load() > u.writtenBefore {
			return SentSome
		}
	}
	return SentNothing
}

// classify returns the result of an attempt that ended with err, according to the cause of its context and to whether
// a connection was opened.
func (a *attempt) classify(ctx context.Context, err error) Result {
	r := Result{End: Lost, Sent: a.sent(), Err: err}
	a.gen.mu.Lock()
	connected := len(a.conns) > 0
	a.gen.mu.Unlock()
	switch {
	case errors.Is(context.Cause(ctx), progress.ErrStalled):
		r.End = Stalled
	case ctx.Err() != nil:
		r.End = Cancelled
	case !connected:
		r.End = NoConn
	}
	return r
}
