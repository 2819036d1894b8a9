package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var errMemClosed = errors.New("connection closed")

// memNet is an in-memory network with faults. Without faults, messages arrive immediately.
type memNet struct {
	mu      sync.Mutex
	nodes   map[string]*Node // by address
	conns   []*memConn
	blocked func(from, to string) bool // drops messages and dials
	delayed func(from, to string) bool // delays messages while it returns true
	loss    float64                    // probability that a message after the hello is lost
	reorder time.Duration              // random extra delay of each message
	rng     *rand.Rand
	bytes   atomic.Int64 // payload and WebSocket frame headers
}

func newMemNet() *memNet {
	no := func(string, string) bool { return false }
	return &memNet{nodes: map[string]*Node{}, blocked: no, delayed: no, rng: rand.New(rand.NewPCG(1, 1))}
}

func (n *memNet) set(fn func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fn()
}

type memTransport struct {
	net  *memNet
	from string
}

type memConn struct {
	net       *memNet
	from, to  string
	inbox     chan []byte
	backlog   [][]byte // delayed messages
	other     *memConn
	closed    chan struct{}
	once      sync.Once
	stalled   atomic.Bool // drops what this end sends
	sent      int
	maskBytes int64 // bytes of the mask that a client adds to each frame
}

func (t memTransport) Dial(ctx context.Context, address string) (Conn, error) {
	n := t.net
	n.mu.Lock()
	target, blocked := n.nodes[address], n.blocked(t.from, address) || n.blocked(address, t.from)
	n.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if target == nil {
		return nil, errors.New("connection refused")
	}
	a, b := n.newEnd(t.from, address), n.newEnd(address, t.from)
	a.other, b.other, a.maskBytes = b, a, 4
	n.set(func() { n.conns = append(n.conns, a, b) })
	go target.Serve(b)
	return a, nil
}

func (n *memNet) newEnd(from, to string) *memConn {
	return &memConn{net: n, from: from, to: to, inbox: make(chan []byte, 1024), closed: make(chan struct{})}
}

// frameBytes is the size of a WebSocket frame with its header.
func (c *memConn) frameBytes(payload int) int64 {
	switch {
	case payload < 126:
		return int64(payload) + 2 + c.maskBytes
	case payload < 1<<16:
		return int64(payload) + 4 + c.maskBytes
	default:
		return int64(payload) + 10 + c.maskBytes
	}
}

func (c *memConn) Send(b []byte) error {
	select {
	case <-c.closed:
		return errMemClosed
	default:
	}
	c.net.bytes.Add(c.frameBytes(len(b)))
	c.net.mu.Lock()
	c.sent++
	first := c.sent == 1 // the hello
	lost := c.stalled.Load() || c.net.blocked(c.from, c.to) || (!first && c.net.rng.Float64() < c.net.loss)
	extra := time.Duration(c.net.rng.Float64() * float64(c.net.reorder))
	delayed := len(c.backlog) > 0 || c.net.delayed(c.from, c.to)
	if delayed {
		c.backlog = append(c.backlog, b)
		if len(c.backlog) == 1 {
			go c.release()
		}
	}
	c.net.mu.Unlock()
	switch {
	case lost || delayed:
	case extra > 0 && !first:
		time.AfterFunc(extra, func() { c.other.push(b) })
	default:
		c.other.push(b)
	}
	return nil
}

// release delivers the backlog once the connection is no longer delayed.
func (c *memConn) release() {
	for {
		time.Sleep(20 * time.Millisecond)
		c.net.mu.Lock()
		if c.net.delayed(c.from, c.to) {
			c.net.mu.Unlock()
			continue
		}
		messages := c.backlog
		c.backlog = nil
		c.net.mu.Unlock()
		for _, b := range messages {
			c.other.push(b)
		}
		return
	}
}

// push puts a received message into the inbox.
func (c *memConn) push(b []byte) {
	select {
	case c.inbox <- b:
	case <-c.closed:
	}
}

func (c *memConn) Receive() ([]byte, error) {
	select {
	case b := <-c.inbox:
		return b, nil
	case <-c.closed:
		return nil, errMemClosed
	}
}

// Close closes this side, and the other one unless the network between them drops or delays messages.
func (c *memConn) Close() error {
	c.net.mu.Lock()
	blocked := c.stalled.Load() || c.net.blocked(c.from, c.to) || c.net.delayed(c.from, c.to)
	c.net.mu.Unlock()
	c.once.Do(func() { close(c.closed) })
	if !blocked {
		c.other.once.Do(func() { close(c.other.closed) })
	}
	return nil
}

// stall drops all further messages on the established connections between two addresses in the given direction. It
// returns the number of these connections.
func (n *memNet) stall(from, to string) (stalled int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if c.from == from && c.to == to {
			c.stalled.Store(true)
			stalled++
		}
	}
	return stalled
}

// start starts a node with an echo handler and stops it at the end of the test.
func (n *memNet) start(t testing.TB, self Member, seeds ...string) *Node {
	node, err := New(Settings{Self: self, Seeds: seeds, Transport: memTransport{n, self.Address}, RandomSeed: 7})
	must.NoError(t, err)
	node.Handle("echo", func(_ context.Context, from string, body []byte) ([]byte, error) {
		return append([]byte(from+":"), body...), nil
	})
	n.set(func() { n.nodes[self.Address] = node })
	node.Start()
	t.Cleanup(node.kill)
	return node
}

// kill removes a node from the network and stops it without an announcement.
func (n *memNet) kill(node *Node) {
	n.set(func() { delete(n.nodes, node.Self().Address) })
	node.kill()
}

// cluster starts count members spread over failure domains and regions, and waits until each lists all of them.
func (n *memNet) cluster(t testing.TB, count, domains, regions int) []*Node {
	nodes := make([]*Node, count)
	for i := range nodes {
		nodes[i] = n.start(t, testMember(i, domains, regions), testMember(0, domains, regions).Address)
	}
	waitFor(t, 30*time.Second, "complete membership", func() bool { return allHaveMembers(nodes, count) })
	return nodes
}

// testMember returns member i; its failure domain and region are derived from i.
func testMember(i, domains, regions int) Member {
	id := string(rune('a'+i/26/26)) + string(rune('a'+i/26%26)) + string(rune('a'+i%26))
	d := i % domains
	return Member{
		ID: id, Address: "10.0.0." + id + ":7100", FailureDomain: "d" + string(rune('0'+d)),
		Region: "r" + string(rune('0'+d%regions)),
	}
}

// allHaveMembers reports whether each node lists count members.
func allHaveMembers(nodes []*Node, count int) bool {
	return !slices.ContainsFunc(nodes, func(n *Node) bool { return len(n.Members()) != count })
}

// waitFor polls ok in real or virtual time and returns the time until it was true. It fails the test after limit.
func waitFor(t testing.TB, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			t.Fatalf("not reached within %v: %s", limit, what)
		}
		time.Sleep(25 * time.Millisecond)
	}
	return time.Since(start)
}

// factValue returns the value of a fact that a node has stored, or "".
func factValue(n *Node, origin, key string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.m.facts.byID[factID(origin, key)]
	if f == nil {
		return ""
	}
	return string(f.Value)
}

// allHaveFact returns a condition for waitFor: each node has stored the value want ("" for no fact).
func allHaveFact(nodes []*Node, origin, key, want string) func() bool {
	return func() bool {
		return !slices.ContainsFunc(nodes, func(n *Node) bool { return factValue(n, origin, key) != want })
	}
}
