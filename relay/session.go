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

// Causes of the end of a session before its answer is complete.
var (
	errHandedOver = errors.New("handed over to another instance")
	errCallerGone = errors.New("caller gone")
	errClosed     = errors.New("relay closed")
)

// session is a model answer in progress. One goroutine generates it; callers read it from any position.
type session struct {
	relay  *Relay
	call   *Call
	ctx    context.Context
	cancel context.CancelCauseFunc
	search search
	sent   atomic.Bool // an endpoint may have received the request

	mu       sync.Mutex
	text     []byte
	ends     []int // end of each token in text
	finished bool
	err      error // of kind problem.Kind; set with finished
	gone     bool  // handed over
	readers  map[chan struct{}]struct{}
	route    delivery
	origins  []origin // who generated which part, in order
	retained int      // bytes counted for an answer that is kept without a caller; 0: not kept
	callers  int      // callers that follow the answer
	engine   *engineRun
}

// delivery tells who produced an answer.
type delivery struct {
	endpoint, version string
	resumes           int
	recomputed        int // tokens computed again because of resumes
}

// origin is the endpoint that generated the tokens of an answer from a position on.
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
	s.search = search{call: call, tried: map[string]bool{}}
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

// attach counts a caller that follows a session.
func (s *session) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers++
}

// detach ends the following of a caller. A session without callers is given up, unless it is kept for re-attach.
func (s *session) detach() {
	s.mu.Lock()
	s.callers--
	keep := s.callers > 0 || s.retained > 0
	s.mu.Unlock()
	if !keep {
		s.cancel(errCallerGone)
		s.relay.forget(s)
	}
}

// forget drops a session.
func (r *Relay) forget(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions[s.call.RequestID] == s {
		delete(r.sessions, s.call.RequestID)
		r.retained -= s.retained
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
		if !s.isOver() {
			open = append(open, s)
		}
	}
	return open
}

func (s *session) isOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finished || s.gone
}

// add appends a token that an endpoint generated.
func (s *session) add(e *table.Endpoint, token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.origins) == 0 || s.route.endpoint != e.ID {
		s.origins = append(s.origins, origin{from: len(s.ends), endpoint: e.ID, version: e.Version})
		s.route.endpoint, s.route.version = e.ID, e.Version
	}
	s.text = append(s.text, token...)
	s.ends = append(s.ends, len(s.text))
	s.wake()
}

// finish ends the session; err is nil when the answer is complete.
func (s *session) finish(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished || s.gone {
		return
	}
	s.finished, s.err = true, err
	s.wake()
}

// wake tells the readers that something changed. s.mu is held.
func (s *session) wake() {
	for c := range s.readers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// emitted returns the number of tokens and their text.
func (s *session) emitted() (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ends), string(s.text)
}

// part is what a session holds after a position.
type part struct {
	tokens   []string
	finished bool
	gone     bool
	err      error
	route    delivery // with the latest endpoint
	first    origin   // of the first of the tokens
}

// after returns the tokens from position on.
func (s *session) after(position int) part {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := part{finished: s.finished, gone: s.gone, err: s.err, route: s.route}
	for _, o := range s.origins {
		if o.from <= position {
			p.first = o
		}
	}
	for i := position; i < len(s.ends); i++ {
		start := 0
		if i > 0 {
			start = s.ends[i-1]
		}
		p.tokens = append(p.tokens, string(s.text[start:s.ends[i]]))
	}
	return p
}

// subscribe returns a channel that receives when the session changes.
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

// next waits until the session holds something after a position or has ended.
func (s *session) next(ctx context.Context, changed <-chan struct{}, position int) (part, error) {
	for {
		p := s.after(position)
		if len(p.tokens) > 0 || p.finished || p.gone {
			return p, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return part{}, ctx.Err()
		}
	}
}

// broken returns the error for a session that ended before its answer was complete.
func (s *session) broken(kind problem.Kind, format string, args ...any) error {
	if n, _ := s.emitted(); n > 0 {
		kind = problem.StreamBroken
	} else if s.sent.Load() && kind != problem.InvalidRequest && problem.AnswerFor(kind).Outcome == problem.NotRun {
		// An endpoint that was lost may have run the request before another one was looked for in vain.
		kind = problem.EndpointFailed
	}
	return problem.New(kind, format, args...)
}
