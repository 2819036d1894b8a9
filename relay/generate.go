package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/attempt"
	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

const (
	// maxErrorAnswers bounds the attempts of a request that endpoints answer with errors of their own.
	maxErrorAnswers = 4
	// bytesPerToken is the usual length of a token of a JSON prompt.
	bytesPerToken = 4
	// budgetPoll is the time between looks at an exhausted retry budget.
	budgetPoll = 50 * time.Millisecond
	// crashNotedTime bounds the wait for a crash to show in the snapshot: two ticks and a half.
	crashNotedTime = 250 * time.Millisecond
	crashNotedPoll = 2 * time.Millisecond
)

// engineRun is the attempt that a session has in progress.
type engineRun struct {
	slot   *slot
	cancel context.CancelCauseFunc
	move   *streamMove // set once the stream is being moved away
}

// generate runs attempts until the answer is complete, the deadline passes or the session is given up.
func (s *session) generate() {
	p := &generation{session: s}
	defer s.relay.stopSearch(&s.search)
	defer s.cancel(nil)
	s.relay.cfg.RetryBudget.Request(s.call.Service.Name)
	err := attempt.Run(s.ctx, p)
	p.next.release()
	s.finish(err)
}

// generation is a session's request on its way.
type generation struct {
	*session
	next   *slot // where the stream was moved; nil unless it was
	moved  bool
	errors int // answers of endpoints that failed
}

// Choose implements attempt.Path.
func (g *generation) Choose(ctx context.Context) (*slot, error) {
	if got := g.next; got != nil {
		g.next = nil
		return got, nil
	}
	got, err := g.relay.acquire(ctx, &g.search)
	if err != nil {
		return nil, g.ended(err)
	}
	return got, nil
}

// Try implements attempt.Path.
func (g *generation) Try(ctx context.Context, got *slot) dispatch.Result {
	result := g.attempt(got)
	if result.Sent != dispatch.Nothing {
		g.sent.Store(true)
	}
	if result.End == dispatch.Answered {
		g.errors++
	}
	g.next, g.moved = g.endRun()
	if result.End == dispatch.Lost {
		g.relay.awaitCrashNoted(ctx, g.call, got.endpoint.ID)
	}
	return result
}

// IsAnswered implements attempt.Path.
func (g *generation) IsAnswered(result dispatch.Result) bool { return result.End == dispatch.Complete }

// Permit implements attempt.Path.
func (g *generation) Permit(ctx context.Context, _ *slot, result dispatch.Result) error {
	switch {
	case ctx.Err() != nil:
		return g.ended(problem.New(problem.EndpointFailed, "the deadline passed while an endpoint held the request"))
	case result.End == dispatch.Answered && badRequest(result.Status):
		return g.broken(problem.InvalidRequest, "%v", result.Err)
	case g.errors >= maxErrorAnswers:
		return g.broken(problem.EndpointFailed, "%d endpoints failed: %v", g.errors, result.Err)
	case g.relay.cfg.Quarantine.IsQuarantined(g.call.Fingerprint):
		return g.broken(problem.Quarantined, "the request crashed its endpoints")
	}
	return nil
}

// TakeRepeat implements attempt.Path. Moves are not charged: the endpoint has not failed.
func (g *generation) TakeRepeat(ctx context.Context, got *slot, result dispatch.Result) error {
	g.mu.Lock()
	g.route.resumes++
	g.mu.Unlock()
	if g.moved {
		return nil
	}
	if result.FirstEvent > 0 {
		// The attempt brought the answer forward; what failed before it may be tried again.
		clear(g.search.tried)
	}
	g.search.noteFailed(got.endpoint, result.End == dispatch.Answered || result.End == dispatch.Broken)
	return g.relay.awaitBudget(ctx, g.call, func() error {
		return g.broken(problem.EndpointFailed, "no retry before the deadline: %v", result.Err)
	})
}

// GiveUp implements attempt.Path.
func (g *generation) GiveUp(_ context.Context, _ *dispatch.Result, cause error) error { return cause }

// ended explains a session whose search for an endpoint was cut off.
func (s *session) ended(err error) error {
	if cause := context.Cause(s.ctx); errors.Is(cause, errCallerGone) || errors.Is(cause, errClosed) {
		return s.broken(problem.Internal, "request was given up: %v", cause)
	}
	return s.broken(problem.KindOf(err), "%v", err)
}

// attempt runs one attempt and reports its end.
func (s *session) attempt(got *slot) dispatch.Result {
	defer got.release()
	offset, text := s.emitted()
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	s.setRun(&engineRun{slot: got, cancel: cancel})
	body, err := s.body(offset, text)
	if err != nil {
		return dispatch.Result{End: dispatch.Cancelled, Err: err}
	}
	log := attemptLog{started: s.relay.cfg.Now(), prompt: int64(len(s.call.Body) / bytesPerToken)}
	got.endpoint.Live.Prefill.Add(log.prompt)
	defer log.prefilled(got.endpoint)
	result := s.relay.cfg.Dispatch.Stream(ctx, &dispatch.StreamCall{
		Endpoint: got.endpoint, RequestID: s.call.RequestID, AttemptID: got.attempt, Body: body, First: offset,
	}, func(e *engine.StreamEvent) error { s.receive(got.endpoint, e, &log, offset > 0); return nil })
	s.relay.noteEnd(s.call, got, &log, result)
	if result.End == dispatch.Cancelled || result.End == dispatch.Broken || result.End == dispatch.Silent {
		go s.relay.cfg.Dispatch.Cancel(got.endpoint, engine.AttemptRef{RequestID: s.call.RequestID, AttemptID: got.attempt})
	}
	return result
}

func (s *session) body(offset int, text string) ([]byte, error) {
	var resume *engine.Resume
	if offset > 0 {
		resume = &engine.Resume{Offset: offset, Text: text}
	}
	return s.call.Chat.engineBody(s.call, resume)
}

func (s *session) setRun(run *engineRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine = run
}

// attemptLog gathers the figures of an attempt.
type attemptLog struct {
	started    time.Time
	first      time.Duration
	tokens     int
	recomputed int
	prompt     int64 // estimated tokens that the endpoint has yet to process before the first token
}

// prefilled records that the prompt is processed or no longer wanted.
func (l *attemptLog) prefilled(e *table.Endpoint) {
	e.Live.Prefill.Add(-l.prompt)
	l.prompt = 0
}

func (s *session) receive(from *table.Endpoint, e *engine.StreamEvent, log *attemptLog, resumed bool) {
	if e.Usage != nil && resumed {
		log.recomputed = e.Usage.RecomputedTokens
		s.mu.Lock()
		s.route.recomputed += e.Usage.RecomputedTokens
		s.mu.Unlock()
	}
	if e.Finish != "" {
		return
	}
	if log.tokens == 0 {
		log.prefilled(from)
		log.first = s.relay.cfg.Now().Sub(log.started)
	}
	log.tokens++
	s.add(from, e.Content)
}

// badRequest tells that an engine's answer blames the request, so that every other engine would give it too.
func badRequest(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge || status == http.StatusUnprocessableEntity
}

// awaitBudget waits for a retry from the budget. The budget delays retries instead of refusing the request.
func (r *Relay) awaitBudget(ctx context.Context, call *Call, refused func() error) error {
	for !r.cfg.RetryBudget.Retry(call.Service.Name) {
		select {
		case <-ctx.Done():
			return refused()
		case <-time.After(budgetPoll):
		}
	}
	return nil
}

// noteEnd posts the end of an attempt, and the crash when the endpoint broke with requests running on it.
func (r *Relay) noteEnd(call *Call, got *slot, log *attemptLog, result dispatch.Result) {
	total := r.cfg.Now().Sub(log.started)
	done := core.AttemptDone{
		Endpoint: got.endpoint.ID, Service: call.Service.Name, Version: got.endpoint.Version, Route: call.Route.Name,
		Workspace: call.Workspace, Result: resultOf(result), Started: log.started, FirstToken: log.first, Total: total,
		InFlight: got.inFlight, Fingerprint: call.Fingerprint, Tokens: log.tokens, Recomputed: log.recomputed,
	}
	if log.tokens > 1 {
		done.PerToken = (total - log.first) / time.Duration(log.tokens-1)
	}
	if result.FirstEvent > 0 || result.End == dispatch.Complete || result.End == dispatch.Answered {
		r.running.noteAnswer(got.endpoint.ID, log.started)
	}
	if result.End == dispatch.Lost && !r.isLeaving(call.Service.Name, got.endpoint.ID) {
		r.running.crashed(got.endpoint.ID, got.attempt, result.Status != 0, func(running []core.RunningRequest) {
			r.cfg.Post(core.EndpointCrashed{Endpoint: got.endpoint.ID, Running: running})
		})
	}
	r.cfg.Post(done)
	if done.Result != core.Succeeded {
		r.logAttempt(call, got, result)
	}
}

// logAttempt writes a line for an attempt that brought no whole answer.
func (r *Relay) logAttempt(call *Call, got *slot, result dispatch.Result) {
	r.cfg.Log.WithError(result.Err).WithFields(logrus.Fields{
		"request": call.RequestID, "attempt": got.attempt, "workspace": call.Workspace, "service": call.Service.Name,
		"version": got.endpoint.Version, "endpoint": got.endpoint.ID, "end": result.End,
	}).Info("attempt ended without a whole answer")
}

// awaitCrashNoted waits until the snapshot shows that an endpoint broke. The core counts the crash against the
// requests that ran on it in the same step; a retry before could cost one endpoint more than the quarantine allows.
func (r *Relay) awaitCrashNoted(ctx context.Context, call *Call, endpoint string) {
	ctx, cancel := context.WithTimeout(ctx, crashNotedTime)
	defer cancel()
	for ctx.Err() == nil {
		svc, ok := r.cfg.Snapshots().Service(call.Service.Name)
		if !ok {
			return
		}
		if e := find(svc, endpoint); e == nil || e.Condition != table.Ready {
			return
		}
		time.Sleep(crashNotedPoll)
	}
}

func resultOf(r dispatch.Result) core.Result {
	switch r.End {
	case dispatch.Complete:
		return core.Succeeded
	case dispatch.NoConn, dispatch.Lost, dispatch.Silent:
		return core.EndpointLost
	case dispatch.Answered, dispatch.Broken:
		return core.Failed
	case dispatch.Moved:
		return core.Cancelled
	}
	if errors.Is(r.Err, context.DeadlineExceeded) {
		return core.TimedOut
	}
	return core.Cancelled
}
