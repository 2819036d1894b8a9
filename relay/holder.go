package relay

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	// kindAttach is the peer call that reads an answer held at another instance.
	kindAttach = "attach"
	// holdersAsked is the number of failure domains whose first member is asked for a request.
	holdersAsked = 3
	// probeTime bounds the search for the holder of a request.
	probeTime = 500 * time.Millisecond
	// attachWait is how long a holder waits for the next token before it answers empty.
	attachWait = time.Second
	// attachTimeout bounds one read from a holder; a holder that takes longer is searched anew.
	attachTimeout = 3 * time.Second
)

// attachCall asks for what follows a position of an answer.
type attachCall struct {
	RequestID string        `cbor:"1,keyasint"`
	Position  int           `cbor:"2,keyasint"`
	Wait      time.Duration `cbor:"3,keyasint"`
}

// attachReply is a part of an answer.
type attachReply struct {
	Held        bool         `cbor:"1,keyasint"`
	Tokens      []string     `cbor:"2,keyasint"`
	Finished    bool         `cbor:"3,keyasint"`
	Kind        problem.Kind `cbor:"4,keyasint"` // of the error that ended it, empty without one
	Detail      string       `cbor:"5,keyasint"`
	Endpoint    string       `cbor:"6,keyasint"`
	Version     string       `cbor:"7,keyasint"`
	Resumes     int          `cbor:"8,keyasint"`
	Recomputed  int          `cbor:"9,keyasint"`
	Service     string       `cbor:"10,keyasint"`
	Workspace   string       `cbor:"11,keyasint"`
	From        string       `cbor:"12,keyasint"` // endpoint of the first of the tokens
	FromVersion string       `cbor:"13,keyasint"` // its version
}

func (a *attachReply) part() part {
	p := part{
		tokens: a.Tokens, finished: a.Finished, first: origin{endpoint: a.From, version: a.FromVersion},
		route: delivery{endpoint: a.Endpoint, version: a.Version, resumes: a.Resumes, recomputed: a.Recomputed},
	}
	if a.Kind != "" {
		p.err = problem.New(a.Kind, "%s", a.Detail)
	}
	return p
}

// handleAttach answers another instance that re-attaches a caller.
func (r *Relay) handleAttach(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var call attachCall
	if err := cbor.Unmarshal(body, &call); err != nil {
		return nil, err
	}
	s := r.session(call.RequestID)
	if s == nil || s.isGone() {
		return cbor.Marshal(attachReply{})
	}
	if call.Wait > 0 {
		// The caller reads through another instance from now on; its connection here, if any, may be gone.
		r.keep(s)
	}
	ctx, cancel := context.WithTimeout(ctx, min(call.Wait, attachWait))
	defer cancel()
	s.attach()
	defer s.detach()
	// A wait that ran out gives an empty part.
	p, _ := s.read(ctx, max(0, call.Position))
	reply := attachReply{
		Held: !p.gone, Tokens: p.tokens, Finished: p.finished, Endpoint: p.route.endpoint, Version: p.route.version,
		Resumes: p.route.resumes, Recomputed: p.route.recomputed, From: p.first.endpoint, FromVersion: p.first.version,
	}
	reply.Service, reply.Workspace = s.owner()
	if p.err != nil {
		reply.Kind, reply.Detail = problem.KindOf(p.err), p.err.Error()
	}
	return cbor.Marshal(reply)
}

func (s *session) isGone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

// findHolder returns the answer of a request that is held here or at another instance.
func (r *Relay) findHolder(ctx context.Context, at position) (source, bool) {
	if s := r.session(at.requestID); s != nil && !s.isGone() {
		return s, true
	}
	if r.cfg.Mesh == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	candidates := r.holders(at.requestID)
	found := make(chan *remote, len(candidates))
	for _, member := range candidates {
		go func() {
			reply, err := r.callAttach(ctx, member, attachCall{RequestID: at.requestID, Position: MaxAnswerTokens + 1})
			if err != nil || !reply.Held {
				found <- nil
				return
			}
			found <- &remote{relay: r, request: at.requestID, holder: member, service: reply.Service, workspace: reply.Workspace}
		}()
	}
	for range candidates {
		if src := <-found; src != nil {
			return src, true
		}
	}
	return nil, false
}

// holders returns the members that may hold a request: the first ones of the failure domains in rendezvous order and
// the instance that accepted it.
func (r *Relay) holders(requestID string) []string {
	members := r.cfg.Mesh.Members()
	staying := slices.DeleteFunc(slices.Clone(members), func(m peer.Member) bool { return m.Leaving })
	out := firstOfDomains(requestID, staying)
	out = append(out[:min(holdersAsked, len(out))], firstOfDomains(requestID, members)...)
	if origin := originOf(requestID); slices.ContainsFunc(members, func(m peer.Member) bool { return m.ID == origin }) {
		out = append(out, origin)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(id string) bool { return id == r.cfg.Instance })
}

// firstOfDomains returns the first member of each failure domain in rendezvous order over a request ID. A handover
// leaves out the domain of the instance that leaves, so the holder is among the first two.
func firstOfDomains(requestID string, members []peer.Member) []string {
	domains := map[string][]string{}
	for _, m := range members {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], m.ID)
	}
	firsts := make([]string, 0, len(domains))
	for _, ids := range domains {
		firsts = append(firsts, rendezvous.First(requestID, ids))
	}
	return rendezvous.Top(requestID, firsts, len(firsts))
}

// originOf returns the instance that accepted a request.
func originOf(requestID string) string {
	if i := strings.LastIndexByte(requestID, '.'); i >= 0 {
		return requestID[:i]
	}
	return ""
}

func (r *Relay) callAttach(ctx context.Context, member string, call attachCall) (*attachReply, error) {
	body, err := cbor.Marshal(call)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	answer, err := r.cfg.Mesh.Call(ctx, member, kindAttach, body)
	if err != nil {
		return nil, err
	}
	var reply attachReply
	if err := cbor.Unmarshal(answer, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// remote is an answer held at another instance.
type remote struct {
	relay              *Relay
	request, holder    string
	service, workspace string
}

func (m *remote) id() string              { return m.request }
func (m *remote) owner() (string, string) { return m.service, m.workspace }
func (m *remote) attach()                 { m.relay.relayed.Add(1) }
func (m *remote) detach()                 { m.relay.relayed.Add(-1) }

var errNotHeld = errors.New("answer is not held any more")

// read asks the holder, and searches it anew when it is gone or has handed the answer over. When this instance is
// reclaimed, the caller is told to re-attach elsewhere.
func (m *remote) read(ctx context.Context, at int) (part, error) {
	caller := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(m.relay.reclaimed, cancel)()
	p, err := m.ask(ctx, at)
	if err != nil && caller.Err() == nil {
		return part{gone: true}, nil
	}
	return p, err
}

func (m *remote) ask(ctx context.Context, at int) (part, error) {
	for {
		reply, err := m.relay.callAttach(ctx, m.holder, attachCall{RequestID: m.request, Position: at, Wait: attachWait})
		if err == nil && !reply.Held {
			err = errNotHeld
		}
		if ctx.Err() != nil {
			return part{}, ctx.Err()
		}
		if err == nil && (len(reply.Tokens) > 0 || reply.Finished) {
			return reply.part(), nil
		}
		if err == nil {
			continue
		}
		src, ok := m.relay.findHolder(ctx, position{requestID: m.request})
		if !ok {
			return part{finished: true, err: problem.New(problem.UnknownRequest, "the holder of the request is gone: %v", err)}, nil
		}
		if other, isRemote := src.(*remote); isRemote {
			m.holder = other.holder
			continue
		}
		return src.read(ctx, at)
	}
}
