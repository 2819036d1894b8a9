package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

// Cancellation causes of sessions that end before their answer is complete.
var (
	errHandedOver         = errors.New("handed over to another instance")
	errCallerDisconnected = errors.New("caller gone")
	errClosed             = errors.New("relay closed")
)

// session is a model answer in progress. One goroutine appends tokens to it; any number of callers read it, each from
// its own position.
type session struct {
	relay     *Relay
	call      *Call
	ctx       context.Context
	cancel    context.CancelCauseFunc
	search    endpointSearch
	maybeSent atomic.Bool // whether an endpoint may have run the request

	mu            sync.Mutex
	text          []byte
	tokenEnds     []int // end offset of each token in text
	finished      bool
	err           error // has a problem.Kind; set together with finished
	handedOver    bool  // continued by another instance; nothing is appended here any more
	readers       map[chan struct{}]struct{}
	delivery      delivery
	origins       []origin // which endpoint generated which tokens, in order
	retainedBytes int      // bytes counted while the session is retained for re-attach; 0 if it is not
	callers       int      // attached callers
	runs          runs
}

// delivery describes how an answer was produced.
type delivery struct {
	endpoint, version string
	resumes           int
	recomputed        int // tokens recomputed because of resumes
}

// origin is the endpoint that generated the tokens of an answer from a position on, until the next origin.
type origin struct {
	from              int
	endpoint, version string
}

// newSession registers a session. The caller starts generate.
func (r *Relay) newSession(call *Call) *session {
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(call.Deadline.Sub(r.cfg.Now())))
	ctx, cancel := context.WithCancelCause(ctx)
	s := &session{relay: r, call: call, ctx: ctx, readers: map[chan struct{}]struct{}{}}
	s.cancel = func(cause error) { cancel(cause); stop() }
	s.search = endpointSearch{call: call, failedEndpoints: map[string]bool{}}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions[call.RequestID] = s
	return s
}

func (r *Relay) session(id string) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sessions[id]
}

// attach registers a caller that reads the session.
func (s *session) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers++
}

// detach unregisters a caller. The session is canceled when it has no callers left and is not retained for re-attach.
func (s *session) detach() {
	s.mu.Lock()
	s.callers--
	keep := s.callers > 0 || s.retainedBytes > 0
	s.mu.Unlock()
	if !keep {
		s.cancel(errCallerDisconnected)
		s.relay.removeSession(s)
	}
}

// removeSession unregisters a session and releases its retained bytes.
func (r *Relay) removeSession(s *session) {
	s.call.received.Release()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions[s.call.RequestID] == s {
		delete(r.sessions, s.call.RequestID)
		r.retainedBytes -= s.retainedBytes
	}
}

// openSessions returns the sessions that are neither finished nor handed over.
func (r *Relay) openSessions() []*session {
	r.mu.Lock()
	all := make([]*session, 0, len(r.sessions))
	for _, s := range r.sessions {
		all = append(all, s)
	}
	r.mu.Unlock()
	open := all[:0]
	for _, s := range all {
		if !s.isEnded() {
			open = append(open, s)
		}
	}
	return open
}

func (s *session) isEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finished || s.handedOver
}

// appendToken appends a token that an endpoint generated. s.mu must be held.
func (s *session) appendToken(e *table.Endpoint, token string) {
	if len(s.origins) == 0 || s.delivery.endpoint != e.ID {
		s.origins = append(s.origins, origin{from: len(s.tokenEnds), endpoint: e.ID, version: e.Version})
		s.delivery.endpoint, s.delivery.version = e.ID, e.Version
	}
	s.text = append(s.text, token...)
	s.tokenEnds = append(s.tokenEnds, len(s.text))
	s.notifyReaders()
}

// finish ends the session; err is nil if the answer is complete.
func (s *session) finish(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished || s.handedOver {
		return
	}
	s.finished, s.err = true, err
	s.notifyReaders()
}

// notifyReaders wakes the subscribed readers. s.mu must be held.
func (s *session) notifyReaders() {
	for c := range s.readers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// emitted returns the number of tokens generated so far and their text.
func (s *session) emitted() (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokenEnds), string(s.text)
}

// segment is the state of an answer with its tokens from a position on.
type segment struct {
	tokens      []string
	finished    bool
	handedOver  bool
	err         error
	delivery    delivery // its endpoint is the latest one
	firstOrigin origin   // origin of the first token
}

// segmentFrom returns the state of the session with the tokens from a position on.
func (s *session) segmentFrom(position int) segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	seg := segment{finished: s.finished, handedOver: s.handedOver, err: s.err, delivery: s.delivery}
	for _, o := range s.origins {
		if o.from <= position {
			seg.firstOrigin = o
		}
	}
	for i := position; i < len(s.tokenEnds); i++ {
		start := 0
		if i > 0 {
			start = s.tokenEnds[i-1]
		}
		seg.tokens = append(seg.tokens, string(s.text[start:s.tokenEnds[i]]))
	}
	return seg
}

// subscribe returns a channel that receives a value when the session changes.
func (s *session) subscribe() (changed chan struct{}, unsubscribe func()) {
	changed = make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers[changed] = struct{}{}
	return changed, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.readers, changed)
	}
}

// awaitSegment waits until the session has tokens from a position on or has ended.
func (s *session) awaitSegment(ctx context.Context, changed <-chan struct{}, position int) (segment, error) {
	for {
		seg := s.segmentFrom(position)
		if len(seg.tokens) > 0 || seg.finished || seg.handedOver {
			return seg, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return segment{}, ctx.Err()
		}
	}
}

// mayHaveRun reports whether an endpoint may have run the request or is running it.
func (s *session) mayHaveRun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maybeSent.Load() || s.runs.current != nil || s.runs.offered != nil
}

// incompleteError returns the error for a session that ended before its answer was complete.
func (s *session) incompleteError(kind problem.Kind, format string, args ...any) error {
	n, _ := s.emitted()
	switch mayHaveRun := s.mayHaveRun() && problem.AnswerFor(kind).Outcome == problem.NotRun; {
	case n > 0:
		kind = problem.StreamBroken
	case mayHaveRun && kind == problem.InvalidRequest:
		// The kind tells the caller not to repeat the request.
		return problem.WithUnknownOutcome(problem.New(kind, format, args...))
	case mayHaveRun:
		// An earlier endpoint, now lost, may have run the request, so the error must not claim that it was not run.
		kind = problem.EndpointFailed
	}
	return problem.New(kind, format, args...)
}
