// Package upstream holds the connections to one endpoint and runs single exchanges on them. Unlike net/http's
// transport it never repeats a request by itself, and it reports whether any byte of a request was sent.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/sockets"
)

const (
	// DefaultDialTimeout is far above the few milliseconds that opening a connection takes within a region, and
	// leaves time for another endpoint within the shortest usual objective of 300 ms.
	DefaultDialTimeout = 150 * time.Millisecond
	// defaultIdleTimeout is used for endpoints that do not state their idle timeout; common servers keep idle
	// connections for 5 s or more.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the stated idle timeout for the time that a request takes to arrive.
	idleMargin = 500 * time.Millisecond
	// maxNonIdempotentIdle is the longest idle time of a connection for a request that must not run twice: it bounds
	// the time in which a connection may have stalled unnoticed.
	maxNonIdempotentIdle = 1500 * time.Millisecond
	// maxDialing bounds the connections that are being opened to one endpoint at the same time.
	maxDialing = 8
	readBuffer = 4 << 10 // bytes; the header of an answer and a few events
)

// ErrConnectionLimit means that the pool has no capacity for another connection. It implies nothing about the state of
// the endpoint.
var ErrConnectionLimit = errors.New("limit of connections reached")

// Settings configures a pool.
type Settings struct {
	// Dial opens a connection; nil means plain TCP with short keep-alive probes.
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	DialTimeout time.Duration // 0 means DefaultDialTimeout
	// OnSent is called before a request is written, and OnReceived when bytes have arrived; both must return at once. nil:
	// not called.
	OnSent, OnReceived func()
}

// Pool holds the idle connections to an endpoint and opens new ones. It is safe for concurrent use.
type Pool struct {
	address  string
	settings Settings

	mu          sync.Mutex
	idle        []*conn       // most recently used last
	connections int           // open ones, idle or in use
	limit       int           // maximum number of connections; 0: no limit
	dialing     chan struct{} // holds an element for each connection that is being opened
	closed      bool
}

// conn is a connection to the endpoint.
type conn struct {
	*sockets.Conn
	pool        *Pool
	incoming    *headLimiter
	reader      *bufio.Reader // reads from incoming
	used        bool          // has carried a complete exchange
	idleSince   time.Time
	idleTimeout time.Duration // how long the endpoint keeps the connection idle, less idleMargin
	stalled     atomic.Bool   // an uploadWatch has ended the exchange
	closeOnce   sync.Once
}

// NewPool returns a pool without connections.
func NewPool(address string, s Settings) *Pool {
	if s.DialTimeout == 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.Dial == nil {
		s.Dial = DialTCP
	}
	if s.OnSent == nil {
		s.OnSent = func() {}
	}
	if s.OnReceived == nil {
		s.OnReceived = func() {}
	}
	return &Pool{address: address, settings: s, dialing: make(chan struct{}, maxDialing)}
}

// SetLimit sets the maximum number of connections of this pool; 0 means no limit.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
}

// Close closes the idle connections; those in use are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

// DropIdle closes the idle connections. It is called when connections to the endpoint appear to be stalled.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

// connFor returns a connection for a call.
func (p *Pool) connFor(ctx context.Context, call *Call) (*conn, error) {
	if call.MatchesAnswer == nil {
		return p.dial(ctx)
	}
	if call.OpensConn {
		return p.dialInPlace(ctx)
	}
	return p.get(ctx, call)
}

// get returns an idle connection that seems usable, or opens a new one.
func (p *Pool) get(ctx context.Context, call *Call) (*conn, error) {
	for {
		c := p.takeIdle(call.UnusedSince)
		if c == nil {
			break
		}
		age := time.Since(c.idleSince)
		if age < c.idleTimeout && !(call.NonIdempotent && age > maxNonIdempotentIdle) && c.isUsable() {
			return c, nil
		}
		c.discard()
	}
	return p.dialInPlace(ctx)
}

// dialInPlace opens a connection in the place of an idle one that the call may not use, if there is any, so that the number of
// connections stays within the limit.
func (p *Pool) dialInPlace(ctx context.Context) (*conn, error) {
	if c := p.takeIdle(time.Time{}); c != nil {
		c.discard()
	}
	return p.dial(ctx)
}

// takeIdle takes the most recently used idle connection out of the pool, of those not in use since unusedSince unless
// that is zero.
func (p *Pool) takeIdle(unusedSince time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle) - 1
	for n >= 0 && !unusedSince.IsZero() && p.idle[n].idleSince.After(unusedSince) {
		n--
	}
	if n < 0 {
		return nil
	}
	c := p.idle[n]
	p.idle = slices.Delete(p.idle, n, n+1)
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	select {
	case p.dialing <- struct{}{}:
		defer func() { <-p.dialing }()
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to %s: %w: %d are being opened", p.address, ErrConnectionLimit, maxDialing)
	}
	if !p.reserve() {
		return nil, fmt.Errorf("connect to %s: %w", p.address, ErrConnectionLimit)
	}
	nc, err := p.settings.Dial(ctx, p.address)
	if err != nil {
		p.unreserve()
		return nil, fmt.Errorf("connect to %s: %w", p.address, err)
	}
	sc := sockets.NewConn(nc)
	incoming := &headLimiter{conn: sc, onReceived: p.settings.OnReceived}
	return &conn{Conn: sc, pool: p, incoming: incoming, reader: bufio.NewReaderSize(incoming, readBuffer), idleTimeout: defaultIdleTimeout}, nil
}

func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 && p.connections >= p.limit {
		return false
	}
	p.connections++
	return true
}

func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections--
}

// put returns a connection to the pool after a complete exchange.
func (p *Pool) put(c *conn) {
	c.used, c.idleSince = true, time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.discard()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	p.closeExpired()
}

// closeExpired closes connections that have exceeded their idle timeout, oldest first.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	var expired []*conn
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) >= p.idle[0].idleTimeout {
		expired = append(expired, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.discard()
	}
}

func (c *conn) discard() {
	c.closeOnce.Do(func() {
		_ = c.Conn.Close() // nothing depends on the last bytes of a discarded connection
		c.pool.unreserve()
	})
}

// setIdleTimeout sets the idle timeout that the endpoint states, in whole seconds, in its Keep-Alive header.
func (c *conn) setIdleTimeout(h http.Header) {
	for _, value := range h.Values("Keep-Alive") {
		for field := range strings.SplitSeq(value, ",") {
			name, seconds, _ := strings.Cut(strings.TrimSpace(field), "=")
			if n, err := strconv.Atoi(seconds); err == nil && strings.EqualFold(name, "timeout") {
				c.idleTimeout = max(0, time.Duration(n)*time.Second-idleMargin)
			}
		}
	}
}
