package relay

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/problem"
)

// fakeNetwork connects the fake meshes of the relays in a test.
type fakeNetwork struct {
	mu      sync.Mutex
	members map[string]*fakeMesh
}

type fakeMesh struct {
	net      *fakeNetwork
	self     peer.Member
	dead     bool
	handlers map[string]peer.Handler
}

func (n *fakeNetwork) join(id, domain string) *fakeMesh {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members == nil {
		n.members = map[string]*fakeMesh{}
	}
	m := &fakeMesh{net: n, self: peer.Member{ID: id, FailureDomain: domain}, handlers: map[string]peer.Handler{}}
	n.members[id] = m
	return m
}

func (m *fakeMesh) kill() {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	m.dead = true
}

func (m *fakeMesh) Self() peer.Member { return m.self }

func (m *fakeMesh) Members() (out []peer.Member) {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	for _, o := range m.net.members {
		if !o.dead {
			out = append(out, o.self)
		}
	}
	slices.SortFunc(out, func(a, b peer.Member) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	return out
}

func (m *fakeMesh) Publish(string, []byte, time.Duration) {}
func (m *fakeMesh) Subscribe(string, func(peer.Fact))     {}
func (m *fakeMesh) Handle(kind string, h peer.Handler)    { m.handlers[kind] = h }
func (n *fakeNetwork) find(id string) (*fakeMesh, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	o, ok := n.members[id]
	return o, ok && !o.dead
}

func (m *fakeMesh) Call(ctx context.Context, member, kind string, body []byte) ([]byte, error) {
	o, ok := m.net.find(member)
	if !ok {
		return nil, errors.New("member unreachable")
	}
	answer, err := o.handlers[kind](ctx, m.self.ID, body)
	if _, ok := m.net.find(member); !ok {
		return nil, errors.New("member unreachable")
	}
	return answer, err
}

// memoryClaims is a Claimer that keeps its claims in memory.
type memoryClaims struct {
	mu     sync.Mutex
	claims map[string]*memoryClaim
}

type memoryClaim struct {
	body  []byte
	state Claim
}

func newMemoryClaims() *memoryClaims { return &memoryClaims{claims: map[string]*memoryClaim{}} }

func (m *memoryClaims) Claim(_ context.Context, call *Call) (Claim, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.claims[call.Key]
	if !ok {
		m.claims[call.Key] = &memoryClaim{body: call.Body, state: Claim{State: ClaimPending}}
		return Claim{State: ClaimGranted}, nil
	}
	if !bytes.Equal(c.body, call.Body) {
		return Claim{}, problem.New(problem.KeyReused, "key %s was used with another body", call.Key)
	}
	return c.state, nil
}

func (m *memoryClaims) Complete(call *Call, answer RecordedAnswer) {
	if !answer.Retained {
		m.set(call, Claim{State: ClaimAnswerNotRetained})
		return
	}
	m.set(call, Claim{State: ClaimRecorded, Answer: &answer})
}

func (m *memoryClaims) MarkUnknown(call *Call) { m.set(call, Claim{State: ClaimUnknown}) }

func (m *memoryClaims) Release(call *Call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.claims, call.Key)
}

func (m *memoryClaims) set(call *Call, c Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claims[call.Key].state = c
}

// fixedQuarantine is a Quarantine that gives the same result for every request.
type fixedQuarantine struct{ isolate, quarantined bool }

func (s fixedQuarantine) Quarantined(uint64) (time.Time, bool) {
	return time.Now().Add(time.Minute), s.quarantined
}

func (s fixedQuarantine) MustIsolate(uint64, time.Duration) bool { return s.isolate }

func (s fixedQuarantine) MustHold(uint64) bool              { return false }
func (s fixedQuarantine) BeginIsolated(uint64, string) bool { return true }

// twoCrashQuarantine is a Quarantine that quarantines a fingerprint after two crashes and isolates it after one.
type twoCrashQuarantine struct {
	mu      sync.Mutex
	crashes map[uint64]int
}

func (q *twoCrashQuarantine) recordCrash(c core.EndpointCrashed) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range c.Running {
		q.crashes[f.Fingerprint]++
	}
}

func (q *twoCrashQuarantine) Quarantined(f uint64) (time.Time, bool) {
	return time.Now().Add(time.Minute), q.count(f) >= 2
}

func (q *twoCrashQuarantine) MustIsolate(f uint64, _ time.Duration) bool { return q.count(f) == 1 }

func (q *twoCrashQuarantine) count(f uint64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.crashes[f]
}

func (q *twoCrashQuarantine) MustHold(uint64) bool              { return false }
func (q *twoCrashQuarantine) BeginIsolated(uint64, string) bool { return true }
