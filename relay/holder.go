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
	// kindAttach is the kind of the peer call that reads an answer held by another instance.
	kindAttach = "attach"
	// probedDomains is the number of failure domains whose first member is asked whether it holds a request.
	probedDomains = 3
	// probeTimeout bounds the search for the holder of a request.
	probeTimeout = 500 * time.Millisecond
	// attachWait is how long a holder waits for the next token before it returns an empty reply.
	attachWait = time.Second
	// attachTimeout bounds one read from a holder. After it, the holder is searched for again.
	attachTimeout = 3 * time.Second
)

// attachRequest asks the holder of a request for the tokens of its answer from a position on.
type attachRequest struct {
	RequestID string        `cbor:"1,keyasint"`
	Position  int           `cbor:"2,keyasint"`
	MaxWait   time.Duration `cbor:"3,keyasint"`
}

// attachReply is a segment of an answer. Held is false if the instance does not hold the request.
type attachReply struct {
	Held          bool         `cbor:"1,keyasint"`
	Tokens        []string     `cbor:"2,keyasint"`
	Finished      bool         `cbor:"3,keyasint"`
	Kind          problem.Kind `cbor:"4,keyasint"` // kind of the error that ended the answer; empty without one
	Detail        string       `cbor:"5,keyasint"`
	Endpoint      string       `cbor:"6,keyasint"`
	Version       string       `cbor:"7,keyasint"`
	Resumes       int          `cbor:"8,keyasint"`
	Recomputed    int          `cbor:"9,keyasint"`
	Service       string       `cbor:"10,keyasint"`
	Workspace     string       `cbor:"11,keyasint"`
	FirstEndpoint string       `cbor:"12,keyasint"` // endpoint that generated the first of Tokens
	FirstVersion  string       `cbor:"13,keyasint"` // version of FirstEndpoint
}

func (a *attachReply) segment() segment {
	seg := segment{
		tokens: a.Tokens, finished: a.Finished, firstOrigin: origin{endpoint: a.FirstEndpoint, version: a.FirstVersion},
		delivery: delivery{endpoint: a.Endpoint, version: a.Version, resumes: a.Resumes, recomputed: a.Recomputed},
	}
	if a.Kind != "" {
		seg.err = problem.New(a.Kind, "%s", a.Detail)
	}
	return seg
}

// handleAttach returns a segment of an answer held here to another instance, which delivers the answer to its caller.
func (r *Relay) handleAttach(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var call attachRequest
	if err := cbor.Unmarshal(body, &call); err != nil {
		return nil, err
	}
	s := r.session(call.RequestID)
	if s == nil || s.isHandedOver() {
		return cbor.Marshal(attachReply{})
	}
	if call.MaxWait > 0 {
		// The caller now reads through another instance and may have closed its connection to this one.
		r.retain(s)
	}
	ctx, cancel := context.WithTimeout(ctx, min(call.MaxWait, attachWait))
	defer cancel()
	s.attach()
	defer s.detach()
	// The only error is a timeout, which gives an empty segment.
	seg, _ := s.read(ctx, max(0, call.Position))
	reply := attachReply{
		Held: !seg.handedOver, Tokens: seg.tokens, Finished: seg.finished,
		Endpoint: seg.delivery.endpoint, Version: seg.delivery.version,
		Resumes: seg.delivery.resumes, Recomputed: seg.delivery.recomputed,
		FirstEndpoint: seg.firstOrigin.endpoint, FirstVersion: seg.firstOrigin.version,
	}
	reply.Service, reply.Workspace = s.serviceAndWorkspace()
	if seg.err != nil {
		reply.Kind, reply.Detail = problem.KindOf(seg.err), seg.err.Error()
	}
	return cbor.Marshal(reply)
}

func (s *session) isHandedOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handedOver
}

// findHolder returns the answer to a request from the instance that holds it, which may be this one.
func (r *Relay) findHolder(ctx context.Context, at position) (answerSource, bool) {
	if s := r.session(at.requestID); s != nil && !s.isHandedOver() {
		return s, true
	}
	if r.cfg.Mesh == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	candidates := r.possibleHolders(at.requestID)
	found := make(chan *remoteAnswer, len(candidates))
	for _, member := range candidates {
		go func() {
			reply, err := r.callAttach(ctx, member, attachRequest{RequestID: at.requestID, Position: MaxAnswerTokens + 1})
			if err != nil || !reply.Held {
				found <- nil
				return
			}
			found <- &remoteAnswer{relay: r, requestID: at.requestID, holder: member,
				service: reply.Service, workspace: reply.Workspace}
		}()
	}
	for range candidates {
		if src := <-found; src != nil {
			return src, true
		}
	}
	return nil, false
}

// possibleHolders returns the other members that may hold a request: the first member of each failure domain in
// rendezvous order, determined both with and without leaving members, and the instance that accepted the request.
func (r *Relay) possibleHolders(requestID string) []string {
	members := r.cfg.Mesh.Members()
	notLeaving := slices.DeleteFunc(slices.Clone(members), func(m peer.Member) bool { return m.Leaving })
	out := firstPerDomain(requestID, notLeaving)
	out = append(out[:min(probedDomains, len(out))], firstPerDomain(requestID, members)...)
	if accepting := acceptingInstance(requestID); slices.ContainsFunc(members,
		func(m peer.Member) bool { return m.ID == accepting }) {
		out = append(out, accepting)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(id string) bool { return id == r.cfg.Instance })
}

// firstPerDomain returns the first member of each failure domain, in rendezvous order over a request ID. A handover
// skips the failure domain of the leaving instance, so the holder is among the first two.
func firstPerDomain(requestID string, members []peer.Member) []string {
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

// acceptingInstance returns the ID of the instance that accepted a request, which is part of the request ID.
func acceptingInstance(requestID string) string {
	if i := strings.LastIndexByte(requestID, '.'); i >= 0 {
		return requestID[:i]
	}
	return ""
}

func (r *Relay) callAttach(ctx context.Context, member string, call attachRequest) (*attachReply, error) {
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

// remoteAnswer is an answer held by another instance.
type remoteAnswer struct {
	relay              *Relay
	requestID, holder  string
	service, workspace string
}

func (m *remoteAnswer) id() string                            { return m.requestID }
func (m *remoteAnswer) serviceAndWorkspace() (string, string) { return m.service, m.workspace }
func (m *remoteAnswer) attach()                               { m.relay.remoteStreams.Add(1) }
func (m *remoteAnswer) detach()                               { m.relay.remoteStreams.Add(-1) }

var errNotHeld = errors.New("answer is not held any more")

// read reads from the holder. If the holder is unreachable or has handed the answer over, read searches for the new
// holder. When this instance is reclaimed, the returned segment tells the caller to re-attach elsewhere.
func (m *remoteAnswer) read(ctx context.Context, at int) (segment, error) {
	caller := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(m.relay.remoteCtx, cancel)()
	seg, err := m.fetch(ctx, at)
	if err != nil && caller.Err() == nil {
		return segment{handedOver: true}, nil
	}
	return seg, err
}

func (m *remoteAnswer) fetch(ctx context.Context, at int) (segment, error) {
	for {
		reply, err := m.relay.callAttach(ctx, m.holder,
			attachRequest{RequestID: m.requestID, Position: at, MaxWait: attachWait})
		if err == nil && !reply.Held {
			err = errNotHeld
		}
		if ctx.Err() != nil {
			return segment{}, ctx.Err()
		}
		if err == nil && (len(reply.Tokens) > 0 || reply.Finished) {
			return reply.segment(), nil
		}
		if err == nil {
			continue
		}
		src, ok := m.relay.findHolder(ctx, position{requestID: m.requestID})
		if !ok {
			return segment{finished: true, err: problem.New(problem.UnknownRequest,
				"the holder of the request is gone: %v", err)}, nil
		}
		if other, isRemote := src.(*remoteAnswer); isRemote {
			m.holder = other.holder
			continue
		}
		return src.read(ctx, at)
	}
}
