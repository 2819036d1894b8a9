package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/peer"
)

const (
	// kindHandover is the peer call that passes on an open stream.
	kindHandover = "handover"
	// handoversAtOnce bounds the concurrent handovers of a leaving instance.
	handoversAtOnce = 32
	// handoverTime bounds one handover; a notice is seconds long and another member must still be tried.
	handoverTime = time.Second
	// drainPoll is the time between looks at the streams that are left.
	drainPoll = 20 * time.Millisecond
	// lastHandover is the time for handing over what a planned stop could not finish within its limit.
	lastHandover = 2 * time.Second
	// answerBytes is counted for the answer of a held stream until its size is known.
	answerBytes = 64 << 10
)

// DrainMode tells why an instance leaves.
type DrainMode int

// Reasons to leave.
const (
	DrainPlanned DrainMode = iota // streams run to completion
	DrainReclaim                  // streams are handed over
)

// Errors of handovers and drains.
var (
	errNoMember = errors.New("no member can take the stream")
	errFull     = errors.New("no room for another held stream")
	errLeaving  = errors.New("instance is leaving")
)

// handover passes on an open stream.
type handover struct {
	RequestID  string        `cbor:"1,keyasint"`
	Service    string        `cbor:"2,keyasint"`
	Workspace  string        `cbor:"3,keyasint"`
	Body       []byte        `cbor:"4,keyasint"`
	Tokens     []string      `cbor:"5,keyasint"` // emitted so far
	Endpoint   string        `cbor:"6,keyasint"` // that holds the KV cache
	Version    string        `cbor:"7,keyasint"`
	Left       time.Duration `cbor:"8,keyasint"` // until the deadline
	Resumes    int           `cbor:"9,keyasint"`
	Recomputed int           `cbor:"10,keyasint"`
}

// Drain ends the work of an instance that leaves. It returns once nothing is open, or with an error when ctx ends
// before. Requests that still arrive meanwhile are served. On a reclaim notice each open stream is handed over to a
// member in another failure domain; on a planned stop only those that did not end within ctx.
func (r *Relay) Drain(ctx context.Context, mode DrainMode) error {
	r.draining.Store(true)
	if mode == DrainPlanned && r.awaitIdle(ctx, nil) {
		return nil
	}
	if mode == DrainPlanned {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastHandover)
		defer cancel()
		ctx = last
	}
	r.reclaim()
	if !r.awaitIdle(ctx, r.handOverAll) {
		streams, calls := r.Open()
		return fmt.Errorf("drain: %d streams and %d calls left: %w", streams, calls, ctx.Err())
	}
	return nil
}

// Open returns the numbers of open streams, those read from other instances included, and of plain calls.
func (r *Relay) Open() (streams, calls int) {
	return len(r.openSessions()) + int(r.relayed.Load()), int(r.calls.Load())
}

// awaitIdle calls each until nothing is open. It reports false when ctx ends before.
func (r *Relay) awaitIdle(ctx context.Context, each func(context.Context)) bool {
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for {
		if each != nil {
			each(ctx)
		}
		if streams, calls := r.Open(); streams+calls == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-poll.C:
		}
	}
}

func (r *Relay) handOverAll(ctx context.Context) {
	var all sync.WaitGroup
	turns := make(chan struct{}, handoversAtOnce)
	for _, s := range r.openSessions() {
		turns <- struct{}{}
		all.Go(func() {
			defer func() { <-turns }()
			if err := r.handOver(ctx, s); err != nil {
				r.cfg.Log.WithError(err).WithField("request", s.call.RequestID).Debug("handover failed; it is tried again")
			}
		})
	}
	all.Wait()
}

// handOver passes a stream on. It goes on here until a member has accepted it, so a failure costs the caller nothing.
func (r *Relay) handOver(ctx context.Context, s *session) error {
	body, err := cbor.Marshal(s.handover(r.cfg.Now()))
	if err != nil {
		return err
	}
	failed := errNoMember
	for _, member := range r.successors(s.call.RequestID) {
		callCtx, cancel := context.WithTimeout(ctx, handoverTime)
		_, err := r.cfg.Mesh.Call(callCtx, member, kindHandover, body)
		cancel()
		if err == nil {
			s.handedOver()
			return nil
		}
		failed = errors.Join(failed, err)
	}
	return failed
}

// successors returns the members that can take a stream, those in other failure domains first.
func (r *Relay) successors(requestID string) []string {
	if r.cfg.Mesh == nil {
		return nil
	}
	others := slices.DeleteFunc(r.cfg.Mesh.Members(), func(m peer.Member) bool {
		return m.Leaving || m.ID == r.cfg.Instance
	})
	own := func(m peer.Member) bool { return m.FailureDomain == r.cfg.FailureDomain }
	elsewhere := slices.DeleteFunc(slices.Clone(others), own)
	if len(elsewhere) == 0 {
		return firstOfDomains(requestID, others)
	}
	return firstOfDomains(requestID, elsewhere)
}

func (s *session) handover(now time.Time) handover {
	p := s.after(0)
	return handover{
		RequestID: s.call.RequestID, Service: s.call.Service.Name, Workspace: s.call.Workspace, Body: s.call.Body,
		Tokens: p.tokens, Endpoint: p.route.endpoint, Version: p.route.version, Left: s.call.Deadline.Sub(now),
		Resumes: p.route.resumes, Recomputed: p.route.recomputed,
	}
}

// handedOver ends a session here; its callers are told to re-attach.
func (s *session) handedOver() {
	s.mu.Lock()
	s.gone = !s.finished
	s.wake()
	s.mu.Unlock()
	s.cancel(errHandedOver)
}

// handleHandover takes over a stream of a leaving instance.
func (r *Relay) handleHandover(_ context.Context, from string, body []byte) ([]byte, error) {
	var h handover
	if err := cbor.Unmarshal(body, &h); err != nil {
		return nil, err
	}
	if r.draining.Load() {
		return nil, errLeaving
	}
	call, err := r.handoverCall(&h)
	if err != nil {
		return nil, err
	}
	s, fresh, err := r.holdSession(call, &h)
	if err != nil {
		return nil, err
	}
	if fresh {
		r.cfg.Log.WithField("request", h.RequestID).WithField("from", from).Debug("stream taken over")
		go s.generate()
	}
	return nil, nil
}

func (r *Relay) handoverCall(h *handover) (*Call, error) {
	svc, ok := r.cfg.Snapshots().Service(h.Service)
	if !ok {
		return nil, fmt.Errorf("service %s is not configured here", h.Service)
	}
	chat, err := parseChat(h.Body)
	if err != nil {
		return nil, err
	}
	route, ok := svc.Config.RouteFor("POST", engine.PathChat)
	if !ok {
		return nil, fmt.Errorf("service %s has no route for %s", h.Service, engine.PathChat)
	}
	now := r.cfg.Now()
	return &Call{
		RequestID: h.RequestID, Service: svc.Config, Route: route, Workspace: h.Workspace, Method: "POST",
		Path: engine.PathChat, Body: h.Body, Accepted: now, Deadline: now.Add(h.Left), Chat: chat,
		Fingerprint: fingerprint(h.Service, route.Name, chat.content()),
	}, nil
}

// holdSession registers a stream that was handed over. A repeated handover finds the session of the first.
func (r *Relay) holdSession(call *Call, h *handover) (s *session, fresh bool, err error) {
	if old := r.session(call.RequestID); old != nil && !old.isGone() {
		return old, false, nil
	}
	s = r.newSession(call)
	s.mu.Lock()
	for _, t := range h.Tokens {
		s.text = append(s.text, t...)
		s.ends = append(s.ends, len(s.text))
	}
	s.origins = []origin{{endpoint: h.Endpoint, version: h.Version}}
	s.search.prefer = h.Endpoint
	s.route = delivery{endpoint: h.Endpoint, version: h.Version, resumes: h.Resumes + 1, recomputed: h.Recomputed}
	s.mu.Unlock()
	if !r.keep(s) {
		s.cancel(errClosed)
		r.forget(s)
		return nil, false, errFull
	}
	return s, true, nil
}

// keep holds a session for re-attach without a caller, for a time after its deadline. It reports false when there is
// no room.
func (r *Relay) keep(s *session) bool {
	size := len(s.call.Body) + answerBytes
	r.mu.Lock()
	defer r.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retained > 0 {
		return true
	}
	if r.retained+size > r.cfg.Limits.Retained || r.sessions[s.call.RequestID] != s {
		return false
	}
	r.retained += size
	s.retained = size
	time.AfterFunc(s.call.Deadline.Sub(r.cfg.Now())+r.cfg.Limits.Retain, func() { r.forget(s) })
	return true
}
