// Package upstream holds the connections to one endpoint and runs single exchanges on them. Unlike net/http's
// transport it never repeats a request by itself, and it tells whether any byte of a request was sent.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// DefaultDialTimeout is far above the few milliseconds that opening a connection takes in a region, and leaves
	// time for another endpoint within the shortest usual objective of 300 ms.
	DefaultDialTimeout = 150 * time.Millisecond
	// defaultIdle is used where an endpoint does not state its idle timeout; common servers keep 5 s or more.
	defaultIdle = 4 * time.Second
	// idleMargin is kept below the stated idle timeout for the time that a request takes to arrive.
	idleMargin = 500 * time.Millisecond
	// onceIdle is the longest idle time of a connection for a request that must not run twice: it bounds the time in
	// which a connection may have gone silent unnoticed.
	onceIdle = 1500 * time.Millisecond
	// maxOpening bounds the connections that are being opened to one endpoint at the same time.
	maxOpening = 8
	readBuffer = 4 << 10 // bytes; the head of an answer and a few events
)

// ErrLimit means that the pool has no room for another connection. It says nothing of the endpoint.
var ErrLimit = errors.New("limit of connections reached")

// Settings of a pool.
type Settings struct {
	// Dial opens a connection; nil means plain TCP with short keep-alive probes.
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	DialTimeout time.Duration // 0 means DefaultDialTimeout
}

// Pool holds the idle connections to an endpoint. It is safe for concurrent use.
type Pool struct {
	address  string
	settings Settings

	mu      sync.Mutex
	idle    []*conn // the most recently used last
	open    int
	limit   int // connections at most; 0: none
	opening chan struct{}
	closed  bool
}

// conn is a connection to the endpoint.
type conn struct {
	net.Conn
	pool     *Pool
	reader   *bufio.Reader
	used     bool          // carried a whole exchange before
	idleFrom time.Time     // when it became idle
	keep     time.Duration // idle time that the endpoint allows
	release  sync.Once
}

// NewPool returns a pool without connections.
func NewPool(address string, s Settings) *Pool {
	if s.DialTimeout == 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.Dial == nil {
		s.Dial = DialTCP
	}
	return &Pool{address: address, settings: s, opening: make(chan struct{}, maxOpening)}
}

// SetLimit bounds the connections of this pool; 0 means no bound.
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

// DropIdle closes the idle connections, after evidence that connections to the endpoint went silent.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

// get returns an idle connection that seems alive, or opens one.
func (p *Pool) get(ctx context.Context, once bool) (*conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			break
		}
		age := time.Since(c.idleFrom)
		if age < c.keep && !(once && age > onceIdle) && c.isQuiet() {
			return c, nil
		}
		c.discard()
	}
	return p.dial(ctx)
}

func (p *Pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	select {
	case p.opening <- struct{}{}:
		defer func() { <-p.opening }()
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to %s: %w: %d are being opened", p.address, ErrLimit, maxOpening)
	}
	if !p.reserve() {
		return nil, fmt.Errorf("connect to %s: %w", p.address, ErrLimit)
	}
	nc, err := p.settings.Dial(ctx, p.address)
	if err != nil {
		p.unreserve()
		return nil, fmt.Errorf("connect to %s: %w", p.address, err)
	}
	return &conn{Conn: nc, pool: p, reader: bufio.NewReaderSize(nc, readBuffer), keep: defaultIdle}, nil
}

func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 && p.open >= p.limit {
		return false
	}
	p.open++
	return true
}

func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put gives a connection back after a whole exchange.
func (p *Pool) put(c *conn) {
	c.used, c.idleFrom = true, time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.discard()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	p.trim()
}

// trim closes connections that have been idle for too long, the oldest first.
func (p *Pool) trim() {
	p.mu.Lock()
	var old []*conn
	for len(p.idle) > 0 && time.Since(p.idle[0].idleFrom) >= p.idle[0].keep {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, c := range old {
		c.discard()
	}
}

func (c *conn) discard() {
	c.release.Do(func() {
		_ = c.Conn.Close() // nothing depends on the last bytes of a connection that is given up
		c.pool.unreserve()
	})
}

// noteKeepAlive takes over the idle time that the endpoint states in whole seconds.
func (c *conn) noteKeepAlive(h http.Header) {
	for _, value := range h.Values("Keep-Alive") {
		for field := range strings.SplitSeq(value, ",") {
			name, seconds, _ := strings.Cut(strings.TrimSpace(field), "=")
			if n, err := strconv.Atoi(seconds); err == nil && strings.EqualFold(name, "timeout") {
				c.keep = max(0, time.Duration(n)*time.Second-idleMargin)
			}
		}
	}
}
