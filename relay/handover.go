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
	// kindHandover is the kind of the peer call that hands over an open stream.
	kindHandover = "handover"
	// maxConcurrentHandovers bounds the handovers that a leaving instance runs concurrently.
	maxConcurrentHandovers = 32
	// handoverTimeout bounds one handover call. The notice period is only seconds long and must leave time to try
	// another member.
	handoverTimeout = time.Second
	// drainPollInterval is the time between checks for open streams.
	drainPollInterval = 20 * time.Millisecond
	// finalHandoverTimeout bounds the handover of the streams that a planned stop could not complete within its limit.
	finalHandoverTimeout = 2 * time.Second
	// estimatedAnswerBytes is counted for the answer of a retained stream, whose final size is not known yet.
	estimatedAnswerBytes = 64 << 10
)

// DrainMode is the reason why an instance leaves.
type DrainMode int

// Reasons to leave.
const (
	DrainPlanned DrainMode = iota // streams run to completion
	DrainReclaim                  // streams are handed over
)

// Errors of handovers and drains.
var (
	errNoMember       = errors.New("no member accepted the stream")
	errRetentionLimit = errors.New("no room for another held stream")
	errLeaving        = errors.New("instance is leaving")
)

// handover is the body of the peer call that hands over an open stream.
type handover struct {
	RequestID  string        `cbor:"1,keyasint"`
	Service    string        `cbor:"2,keyasint"`
	Workspace  string        `cbor:"3,keyasint"`
	Body       []byte        `cbor:"4,keyasint"`
	Tokens     []string      `cbor:"5,keyasint"` // generated so far
	Endpoint   string        `cbor:"6,keyasint"` // endpoint that holds the KV cache
	Version    string        `cbor:"7,keyasint"`
	TimeLeft   time.Duration `cbor:"8,keyasint"` // time until the deadline
	Resumes    int           `cbor:"9,keyasint"`
	Recomputed int           `cbor:"10,keyasint"`
	MayHaveRun bool          `cbor:"11,keyasint"` // an endpoint may have run the request
}

// Drain completes or hands over the open work of a leaving instance. It returns nil once no stream or call is open.
// Requests that arrive meanwhile are still served. With DrainReclaim each open stream is handed over to a member,
// preferably in another failure domain, and Drain returns an error if work is still open when ctx ends. With
// DrainPlanned only the streams that are still open when ctx ends are handed over, within finalHandoverTimeout.
func (r *Relay) Drain(ctx context.Context, mode DrainMode) error {
	r.draining.Store(true)
	if mode == DrainPlanned && r.awaitIdle(ctx, nil) {
		return nil
	}
	if mode == DrainPlanned {
		finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalHandoverTimeout)
		defer cancel()
		ctx = finalCtx
	}
	r.cancelRemote()
	if !r.awaitIdle(ctx, r.handOverAll) {
		streams, calls := r.OpenCounts()
		return fmt.Errorf("drain: %d streams and %d calls still open: %w", streams, calls, ctx.Err())
	}
	return nil
}

// OpenCounts returns the number of open streams, including those read from other instances, and of open plain calls.
func (r *Relay) OpenCounts() (streams, calls int) {
	return len(r.openSessions()) + int(r.remoteStreams.Load()), int(r.plainCalls.Load())
}

// awaitIdle calls onPoll repeatedly until no stream or call is open. It returns false if ctx ends first.
func (r *Relay) awaitIdle(ctx context.Context, onPoll func(context.Context)) bool {
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for {
		if onPoll != nil {
			onPoll(ctx)
		}
		if streams, calls := r.OpenCounts(); streams+calls == 0 {
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
	semaphore := make(chan struct{}, maxConcurrentHandovers)
	for _, s := range r.openSessions() {
		semaphore <- struct{}{}
		all.Go(func() {
			defer func() { <-semaphore }()
			if err := r.handOver(ctx, s); err != nil {
				r.cfg.Log.WithError(err).WithField("request", s.call.RequestID).Debug("handover failed, will retry")
			}
		})
	}
	all.Wait()
}

// handOver hands a stream over to another member. The stream continues here until a member has accepted it, so the
// caller does not notice a failed handover.
func (r *Relay) handOver(ctx context.Context, s *session) error {
	body, err := cbor.Marshal(s.newHandover(r.cfg.Now()))
	if err != nil {
		return err
	}
	failed := errNoMember
	for _, member := range r.handoverTargets(s.call.RequestID) {
		callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		_, err := r.cfg.Mesh.Call(callCtx, member, kindHandover, body)
		cancel()
		if err == nil {
			s.markHandedOver()
			return nil
		}
		failed = errors.Join(failed, err)
	}
	return failed
}

// handoverTargets returns the members to try for a handover, in order: the first member of each other failure domain
// or, if no other failure domain has members, the first other member of this instance's failure domain.
func (r *Relay) handoverTargets(requestID string) []string {
	if r.cfg.Mesh == nil {
		return nil
	}
	others := slices.DeleteFunc(r.cfg.Mesh.Members(), func(m peer.Member) bool {
		return m.Leaving || m.ID == r.cfg.Instance
	})
	sameDomain := func(m peer.Member) bool { return m.FailureDomain == r.cfg.FailureDomain }
	otherDomains := slices.DeleteFunc(slices.Clone(others), sameDomain)
	if len(otherDomains) == 0 {
		return firstPerDomain(requestID, others)
	}
	return firstPerDomain(requestID, otherDomains)
}

func (s *session) newHandover(now time.Time) handover {
	seg := s.segmentFrom(0)
	return handover{
		RequestID: s.call.RequestID, Service: s.call.Service.Name, Workspace: s.call.Workspace, Body: s.call.Body,
		Tokens: seg.tokens, Endpoint: seg.delivery.endpoint, Version: seg.delivery.version,
		TimeLeft: s.call.Deadline.Sub(now), Resumes: seg.delivery.resumes, Recomputed: seg.delivery.recomputed,
		MayHaveRun: s.mayHaveRun(),
	}
}

// markHandedOver ends a session at this instance. Its callers are told to re-attach.
func (s *session) markHandedOver() {
	s.mu.Lock()
	s.handedOver = !s.finished
	s.notifyReaders()
	s.mu.Unlock()
	s.cancel(errHandedOver)
}

// handleHandover accepts a stream from a leaving instance and continues it.
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
	s, created, err := r.holdSession(call, &h)
	if err != nil {
		return nil, err
	}
	if created {
		r.cfg.Log.WithField("request", h.RequestID).WithField("from", from).Debug("took over stream from leaving instance")
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
	call := &Call{
		RequestID: h.RequestID, Service: svc.Config, Route: route, Workspace: h.Workspace, Method: "POST",
		Path: engine.PathChat, Body: h.Body, Accepted: now, Deadline: now.Add(h.TimeLeft), Chat: chat,
	}
	call.Fingerprint = call.fingerprint()
	return call, nil
}

// holdSession creates a session for a stream that was handed over, or returns the existing one if the handover is
// repeated. created is false for an existing session.
func (r *Relay) holdSession(call *Call, h *handover) (s *session, created bool, err error) {
	if existing := r.session(call.RequestID); existing != nil && !existing.isHandedOver() {
		return existing, false, nil
	}
	s = r.newSession(call)
	s.mu.Lock()
	for _, t := range h.Tokens {
		s.text = append(s.text, t...)
		s.tokenEnds = append(s.tokenEnds, len(s.text))
	}
	s.origins = []origin{{endpoint: h.Endpoint, version: h.Version}}
	s.search.preferred = h.Endpoint
	s.maybeSent.Store(h.MayHaveRun)
	s.delivery = delivery{endpoint: h.Endpoint, version: h.Version, resumes: h.Resumes + 1, recomputed: h.Recomputed}
	s.mu.Unlock()
	if !r.retain(s) {
		s.cancel(errClosed)
		r.removeSession(s)
		return nil, false, errRetentionLimit
	}
	return s, true, nil
}

// retain keeps a session for re-attach even without callers, until Limits.RetentionTime after its deadline. It returns
// false if that would exceed Limits.MaxRetainedBytes.
func (r *Relay) retain(s *session) bool {
	size := len(s.call.Body) + estimatedAnswerBytes
	r.mu.Lock()
	defer r.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retainedBytes > 0 {
		return true
	}
	if r.retainedBytes+size > r.cfg.Limits.MaxRetainedBytes || r.sessions[s.call.RequestID] != s {
		return false
	}
	r.retainedBytes += size
	s.retainedBytes = size
	time.AfterFunc(s.call.Deadline.Sub(r.cfg.Now())+r.cfg.Limits.RetentionTime, func() { r.removeSession(s) })
	return true
}
