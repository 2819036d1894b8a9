// Package dispatch makes single attempts at endpoints. It pools connections, detects stalled ones and validates event
// streams.
package dispatch

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/sockets"
	"github.com/trefoillug/trefoillug/table"
)

// Dialer opens connections to endpoints.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Settings configures a Client. Zero values mean the defaults.
type Settings struct {
	Dialer      Dialer
	DialTimeout time.Duration // default DefaultDialTimeout
	StreamGap   time.Duration // longest time without progress of an answer; default DefaultStreamGap
	Now         func() time.Time
	// OnSent is called before bytes are written to an endpoint, and OnReceived when some have arrived; both must return at once.
	OnSent, OnReceived func()
}

const (
	// DefaultDialTimeout leaves time for one lost SYN (retransmitted after 1 s) within a region.
	DefaultDialTimeout = 1500 * time.Millisecond
	// DefaultStreamGap is the longest time without progress on a healthy stream. Engines send comments while a request
	// waits.
	DefaultStreamGap = 2 * time.Second
	// maxIdleConns bounds the idle connections kept for an endpoint. It exceeds the number of streams that an endpoint
	// runs at once.
	maxIdleConns = 256
	// idleTimeout is below the shortest keep-alive time of common servers (5 s). A request sent just as the server
	// closes its idle connection would look like one that crashed the endpoint.
	idleTimeout = 4 * time.Second
)

// End is the way an attempt ended.
type End int

// Ends of an attempt.
const (
	Complete      End = iota // the whole answer arrived
	NoConn                   // no connection could be opened
	Lost                     // the connection broke
	Stalled                  // the answer made no progress
	ErrorStatus              // the endpoint answered with an error status
	InvalidStream            // the answer had a gap, was too long, invalid or one to another request
	Moved                    // the engine exported the KV cache and ended the stream
	Cancelled                // the context ended
)

// String returns the end as shown in logs.
func (e End) String() string {
	return [...]string{"complete", "no_connection", "lost", "silent", "answered", "broken", "moved", "cancelled"}[e]
}

// Sent is the extent to which the endpoint may have received a request.
type Sent int

// Values of Sent.
const (
	SentNothing Sent = iota // no byte was written
	SentSome                // bytes were written, but the whole answer has not arrived
	SentAll                 // the whole answer arrived
)

// Result describes how an attempt ended.
type Result struct {
	End        End
	Sent       Sent
	Status     int           // HTTP status of the answer; 0: none
	FirstEvent time.Duration // from the start to the first event or the response header
	Err        error
}

// IsEngineError reports whether the endpoint answered with an error or with an invalid stream.
func (r Result) IsEngineError() bool { return r.End == ErrorStatus || r.End == InvalidStream }

// Client makes attempts at endpoints. It keeps a pool of connections for each endpoint and is safe for concurrent use.
type Client struct {
	settings Settings
	mu       sync.Mutex
	pools    map[string]*pool // by endpoint address
}

// New returns a client without connections.
func New(s Settings) *Client {
	if s.DialTimeout == 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.StreamGap == 0 {
		s.StreamGap = DefaultStreamGap
	}
	if s.Dialer == nil {
		s.Dialer = &net.Dialer{Timeout: s.DialTimeout}
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.OnSent == nil {
		s.OnSent = func() {}
	}
	if s.OnReceived == nil {
		s.OnReceived = func() {}
	}
	return &Client{settings: s, pools: map[string]*pool{}}
}

// Close closes idle connections and ends the attempts of each endpoint's current generation as Stalled.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.retire(p.current(), 0)
	}
}

// DropUnused removes the pools of addresses that are no longer in use. Attempts in flight continue.
func (c *Client) DropUnused(inUse func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if !inUse(address) {
			p.current().transport.CloseIdleConnections()
			delete(c.pools, address)
		}
	}
}

func (c *Client) pool(e *table.Endpoint) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[e.Address]
	if !ok {
		p = &pool{client: c, live: e.Live}
		c.pools[e.Address] = p
	}
	return p
}

// newTransport returns a transport that sends requests as they are: no proxy, no compression, HTTP/1.1 only.
func (c *Client) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: progress.MaxHeadBytes,
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.DialTimeout)
	defer cancel()
	conn, err := c.settings.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: sockets.NewConn(conn), settings: &c.settings}, nil
}
