package peer

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/intake"
)

// Settings configures a Node.
type Settings struct {
	Self       Member   // Incarnation and Leaving are ignored
	Seeds      []string // peer addresses (host:port) of initial members; may include this member's own
	Transport  Transport
	Log        logrus.FieldLogger // optional
	RandomSeed uint64             // seed of the random numbers
	// PaceBytesPerSecond limits the bytes a second sent for frequent facts. 0 means 2,500, which is meant for fleets of
	// hundreds of members.
	PaceBytesPerSecond float64
	Memory             *intake.Memory // for messages of accepted connections that arrive; nil: no bound
}

// Stats are the counters of a Node since its start, and its current connections and facts. The bytes are those of
// messages, without WebSocket frames.
type Stats struct {
	BytesSent, BytesReceived                int64
	MessagesSent, MessagesReceived          int64
	Connections, OutgoingConnections, Facts int
}

// stats counts the messages of all sessions and their bytes.
type stats struct {
	bytesSent, bytesReceived       atomic.Int64
	messagesSent, messagesReceived atomic.Int64
}

// subscription is a subscriber and the prefix of the keys it receives.
type subscription struct {
	prefix string
	fn     func(Fact)
}

// event is a fact for all subscribers, or only for recipient if that isn't nil.
type event struct {
	fact      Fact
	recipient *subscription
}

// Node runs this process's member of the mesh. Its methods are safe for concurrent use.
type Node struct {
	id        string
	transport Transport
	log       logrus.FieldLogger
	memory    *intake.Memory
	handlers  map[string]Handler // read-only after Start
	running   chan struct{}      // semaphore of the running handlers
	stats     stats
	members   atomic.Pointer[[]Member]

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{} // makes loop recompute its wait

	mu       sync.Mutex
	m        *machine
	sessions map[linkID]*session
	accepted map[*session]struct{}  // incoming connections for calls
	direct   map[string]*directConn // outgoing connections for calls, by member
	lastLink linkID
	subs     []*subscription
	closed   bool

	eventMu sync.Mutex
	events  []event
	eventCh chan struct{}
}

var _ Mesh = (*Node)(nil)

// New returns a Node that connects after Start. It fails if s.Self is invalid or s.Transport is nil.
func New(s Settings) (*Node, error) {
	if err := s.Self.check(); err != nil {
		return nil, err
	}
	if s.Transport == nil {
		return nil, oops.Errorf("peer settings of %s have no transport", s.Self.ID)
	}
	n := &Node{
		id: s.Self.ID, transport: s.Transport, log: s.Log, memory: s.Memory,
		handlers: map[string]Handler{}, running: make(chan struct{}, maxRunningCalls),
		wake: make(chan struct{}, 1), eventCh: make(chan struct{}, 1),
		sessions: map[linkID]*session{}, accepted: map[*session]struct{}{}, direct: map[string]*directConn{},
	}
	if n.log == nil {
		n.log = discardLog()
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.m = newMachine(s.Self, s.Seeds, time.Now(), s.RandomSeed)
	if s.PaceBytesPerSecond > 0 {
		n.m.paceRate = s.PaceBytesPerSecond
	}
	n.execute(n.m.takeOutputs())
	return n, nil
}

// Start begins to connect to other members.
func (n *Node) Start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.spawn(n.loop)
	n.spawn(n.deliver)
}

// spawn runs fn in a goroutine for which Close waits.
func (n *Node) spawn(fn func()) {
	n.wg.Go(fn)
}

// do applies an event to the machine, executes the outputs and wakes loop. It does nothing after Close.
func (n *Node) do(event func(m *machine, now time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	event(n.m, time.Now())
	n.execute(n.m.takeOutputs())
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// execute carries out the outputs of the machine. The caller must hold n.mu.
func (n *Node) execute(outputs []any) {
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

// loop calls the machine's tick whenever it is due.
func (n *Node) loop() {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for n.ctx.Err() == nil {
		n.mu.Lock()
		due, closed := n.m.nextDue(), n.closed
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

// checkDirectEverySecond calls checkDirectConns about once a second. The caller must hold n.mu.
func (n *Node) checkDirectEverySecond(now time.Time) {
	if len(n.direct)+len(n.accepted) > 0 && now.UnixMilli()/1000 != now.Add(-tickInterval).UnixMilli()/1000 {
		n.checkDirectConns(now)
	}
}

// dial opens a connection that carries facts and serves it until it is closed.
func (n *Node) dial(o dialOutput) {
	s, h, err := n.open(o.address, o.member, false)
	if err != nil {
		n.do(func(m *machine, now time.Time) { m.dialFailed(o.member, now) })
		return
	}
	n.do(func(m *machine, _ time.Time) { m.dialDone(o.member) })
	n.runLink(s, h, true)
}

// open dials an address and exchanges hellos. It fails if member isn't empty and another member answers.
func (n *Node) open(address, member string, callsOnly bool) (*session, *hello, error) {
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
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

// handshake sends this member's hello and returns the hello of the other side.
func (n *Node) handshake(ctx context.Context, c Conn, callsOnly bool) (*hello, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if err := c.Send(encodeMessage(&message{Kind: kindHello, Hello: n.hello(callsOnly)})); err != nil {
		return nil, err
	}
	return readHello(c)
}

// readHello receives the first message of a connection, which must be a hello.
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

// Serve handles an incoming connection until it is closed.
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

// accept waits for the hello of the other side and replies with this member's.
func (n *Node) accept(c Conn) (*hello, error) {
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	h, err := readHello(c)
	if err != nil {
		return nil, err
	}
	return h, c.Send(encodeMessage(&message{Kind: kindHello, Hello: n.hello(h.CallsOnly)}))
}

// runAccepted serves an incoming connection for calls until it is closed.
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

// runLink registers a connection with the machine and reads from it until it is closed.
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

// readLink handles the messages of a connection that carries facts, until it is closed.
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

// deliver passes queued facts to the subscribers, in the order of arrival.
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
		if strings.HasPrefix(e.fact.Key, s.prefix) && (e.recipient == nil || e.recipient == s) {
			s.fn(e.fact)
		}
	}
}
