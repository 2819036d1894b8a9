package peer

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
)

// Settings of a Node.
type Settings struct {
	Self      Member   // Incarnation and Leaving are ignored
	Seeds     []string // peer addresses (host:port) to start from; may include the own one
	Transport Transport
	Log       logrus.FieldLogger // optional
	Seed      uint64             // of the random numbers
	// PaceBytes bounds the bytes a second that frequent facts may use; 0: 2,500, for fleets of hundreds of members.
	PaceBytes float64
}

// Stats are counters since the start. Bytes are those of the messages, without frames.
type Stats struct {
	BytesSent, BytesReceived       int64
	MessagesSent, MessagesReceived int64
	Connections, Outgoing, Facts   int
}

type stats struct {
	bytesSent, bytesReceived       atomic.Int64
	messagesSent, messagesReceived atomic.Int64
}

type subscription struct {
	prefix string
	fn     func(Fact)
}

// event is a fact for the subscribers; a non-nil only is the one subscriber that it is for.
type event struct {
	fact Fact
	only *subscription
}

// Node is this process's member of the mesh. Its methods are safe for concurrent use.
type Node struct {
	id        string
	transport Transport
	log       logrus.FieldLogger
	handlers  map[string]Handler // constant after Start
	running   chan struct{}
	stats     stats
	members   atomic.Pointer[[]Member]

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{}

	mu       sync.Mutex
	m        *machine
	sessions map[linkID]*session
	accepted map[*session]struct{} // incoming connections for calls
	direct   map[string]*dialing
	lastLink linkID
	subs     []*subscription
	closed   bool

	eventMu sync.Mutex
	events  []event
	eventCh chan struct{}
}

var _ Mesh = (*Node)(nil)

// New returns a Node that connects after Start.
func New(s Settings) (*Node, error) {
	if err := s.Self.check(); err != nil {
		return nil, err
	}
	if s.Transport == nil {
		return nil, oops.Errorf("peer settings of %s have no transport", s.Self.ID)
	}
	n := &Node{
		id: s.Self.ID, transport: s.Transport, log: s.Log,
		handlers: map[string]Handler{}, running: make(chan struct{}, maxRunningCalls),
		wake: make(chan struct{}, 1), eventCh: make(chan struct{}, 1),
		sessions: map[linkID]*session{}, accepted: map[*session]struct{}{}, direct: map[string]*dialing{},
	}
	if n.log == nil {
		n.log = discardLog()
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.m = newMachine(s.Self, s.Seeds, time.Now(), s.Seed)
	if s.PaceBytes > 0 {
		n.m.paceRate = s.PaceBytes
	}
	n.carryOut(n.m.take())
	return n, nil
}

// Start begins to connect to other members.
func (n *Node) Start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.spawn(n.loop)
	n.spawn(n.deliver)
}

// spawn runs fn in a goroutine that Close waits for.
func (n *Node) spawn(fn func()) {
	n.wg.Go(fn)
}

// do runs one event through the machine and carries out what it asks for.
func (n *Node) do(event func(m *machine, now time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	event(n.m, time.Now())
	n.carryOut(n.m.take())
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// carryOut needs n.mu.
func (n *Node) carryOut(outputs []any) {
	for _, o := range outputs {
		switch o := o.(type) {
		case sendOutput:
			if s := n.sessions[o.link]; s != nil {
				s.send(o.msg)
			}
		case closeOutput:
			if s := n.sessions[o.link]; s != nil {
				delete(n.sessions, o.link)
				s.close()
			}
		case dialOutput:
			n.spawn(func() { n.dial(o) })
		case membersOutput:
			n.members.Store(&o.members)
		case factOutput:
			n.notify(event{fact: o.fact})
		}
	}
}

// loop calls the machine when something is due.
func (n *Node) loop() {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for n.ctx.Err() == nil {
		n.mu.Lock()
		due, closed := n.m.next(), n.closed
		n.mu.Unlock()
		if closed {
			return
		}
		wait := time.Until(due)
		if wait <= 0 {
			n.do(func(m *machine, now time.Time) {
				m.tick(now)
				n.checkDirectEverySecond(now)
			})
			continue
		}
		timer.Reset(wait)
		select {
		case <-n.ctx.Done():
		case <-timer.C:
		case <-n.wake:
		}
	}
}

// checkDirectEverySecond needs n.mu.
func (n *Node) checkDirectEverySecond(now time.Time) {
	if len(n.direct) > 0 && now.UnixMilli()/1000 != now.Add(-tickInterval).UnixMilli()/1000 {
		n.checkDirect(now)
	}
}

// dial opens a connection that carries facts.
func (n *Node) dial(o dialOutput) {
	s, h, err := n.open(o.address, o.member, false)
	if err != nil {
		n.do(func(m *machine, now time.Time) { m.dialFailed(o.member, now) })
		return
	}
	n.do(func(m *machine, _ time.Time) { m.dialDone(o.member) })
	n.runLink(s, h, true)
}

// open dials an address and exchanges hellos. A non-empty member must be the one that answers.
func (n *Node) open(address, member string, callsOnly bool) (*session, *hello, error) {
	ctx, cancel := context.WithTimeout(n.ctx, handshakeLimit)
	defer cancel()
	c, err := n.transport.Dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	h, err := n.handshake(ctx, c, callsOnly)
	if err == nil && member != "" && h.Member.ID != member {
		err = oops.Errorf("%s answers at %s instead of %s", h.Member.ID, address, member)
	}
	if err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	return newSession(c, h.Member.ID, &n.stats), h, nil
}

// handshake sends this member's hello and waits for the other one.
func (n *Node) handshake(ctx context.Context, c Conn, callsOnly bool) (*hello, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if err := c.Send(encodeMessage(&message{Kind: kindHello, Hello: n.hello(callsOnly)})); err != nil {
		return nil, err
	}
	return readHello(c)
}

func readHello(c Conn) (*hello, error) {
	b, err := c.Receive()
	if err != nil {
		return nil, err
	}
	m, err := decodeMessage(b)
	if err != nil {
		return nil, err
	}
	if m.Kind != kindHello {
		return nil, oops.Errorf("peer opened with a message of kind %d, want a hello", m.Kind)
	}
	return m.Hello, nil
}

func (n *Node) hello(callsOnly bool) *hello {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &hello{Member: n.m.self, Start: n.m.start, Facts: len(n.m.facts.byID), CallsOnly: callsOnly}
}

// Serve runs an incoming connection until it ends.
func (n *Node) Serve(c Conn) {
	defer func() { _ = c.Close() }()
	n.mu.Lock()
	closed := n.closed
	if !closed {
		n.wg.Add(1)
	}
	n.mu.Unlock()
	if closed {
		return
	}
	defer n.wg.Done()
	h, err := n.accept(c)
	if err != nil {
		return
	}
	s := newSession(c, h.Member.ID, &n.stats)
	if h.CallsOnly {
		n.runAccepted(s)
		return
	}
	n.runLink(s, h, false)
}

func (n *Node) accept(c Conn) (*hello, error) {
	ctx, cancel := context.WithTimeout(n.ctx, handshakeLimit)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	h, err := readHello(c)
	if err != nil {
		return nil, err
	}
	return h, c.Send(encodeMessage(&message{Kind: kindHello, Hello: n.hello(h.CallsOnly)}))
}

// runAccepted serves an incoming connection for calls.
func (n *Node) runAccepted(s *session) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.accepted[s] = struct{}{}
	n.spawn(s.write)
	n.mu.Unlock()
	n.readCalls(s)
	n.mu.Lock()
	delete(n.accepted, s)
	n.mu.Unlock()
}

// runLink registers a connection with the machine and reads it until it ends.
func (n *Node) runLink(s *session, h *hello, outbound bool) {
	wanted := false
	n.do(func(m *machine, now time.Time) {
		n.lastLink++
		s.id = n.lastLink
		n.sessions[s.id] = s
		if wanted = m.linkUp(s.id, h, outbound, now); !wanted {
			delete(n.sessions, s.id)
			return
		}
		n.spawn(s.write)
	})
	if !wanted {
		s.close()
		return
	}
	n.log.WithFields(logrus.Fields{"peer": s.peer, "outbound": outbound}).Debug("peer connected")
	n.readLink(s)
	n.do(func(m *machine, now time.Time) {
		delete(n.sessions, s.id)
		m.linkDown(s.id, now)
	})
}

func (n *Node) readLink(s *session) {
	defer s.close()
	for {
		msg, err := s.receive()
		if err != nil {
			n.log.WithFields(logrus.Fields{"peer": s.peer}).WithError(err).Debug("peer connection ended")
			return
		}
		switch msg.Kind {
		case kindCall:
			n.serveCall(s, msg.Call)
		case kindReply:
			s.resolve(msg.Reply)
		}
		n.do(func(m *machine, now time.Time) { m.receive(s.id, msg, now) })
	}
}

// notify queues a fact for the subscribers.
func (n *Node) notify(e event) {
	n.eventMu.Lock()
	n.events = append(n.events, e)
	n.eventMu.Unlock()
	select {
	case n.eventCh <- struct{}{}:
	default:
	}
}

// deliver calls the subscribers in the order in which facts arrived.
func (n *Node) deliver() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.eventCh:
		}
		n.eventMu.Lock()
		events := n.events
		n.events = nil
		n.eventMu.Unlock()
		n.mu.Lock()
		subs := n.subs
		n.mu.Unlock()
		for _, e := range events {
			e.deliverTo(subs)
		}
	}
}

func (e *event) deliverTo(subs []*subscription) {
	for _, s := range subs {
		if strings.HasPrefix(e.fact.Key, s.prefix) && (e.only == nil || e.only == s) {
			s.fn(e.fact)
		}
	}
}
