package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/attempt"
	"github.com/trefoillug/trefoillug/continuation"
	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

const (
	// maxErrorAnswers bounds the attempts of a request that endpoints answer with an error. It does not apply once an
	// attempt has stalled: its endpoint may be sound, so the request goes on until its deadline, with pauses that double
	// from minErrorPause up to maxErrorPause.
	maxErrorAnswers = 4
	minErrorPause   = 50 * time.Millisecond
	maxErrorPause   = 800 * time.Millisecond
	// bytesPerToken is the typical length of a token in a JSON prompt, used to estimate prompt tokens.
	bytesPerToken = 4
	// budgetPollInterval is the time between checks of an exhausted retry budget.
	budgetPollInterval = 50 * time.Millisecond
	// crashVisibleTimeout bounds the wait for a crash to appear in the snapshot: two and a half ticks of the core.
	crashVisibleTimeout      = 250 * time.Millisecond
	crashVisiblePollInterval = 2 * time.Millisecond
)

// generate runs attempts until the answer is complete, the deadline passes or the session is canceled.
func (s *session) generate() {
	p := &generation{session: s}
	defer s.relay.releaseReservation(&s.search)
	defer s.cancel(nil)
	s.relay.cfg.RetryBudget.CountRequest(s.call.Service.Name)
	err := attempt.Run(s.ctx, p)
	s.endRuns()
	p.moveTarget.release()
	s.finish(err)
}

// generation implements attempt.Steps for a session.
type generation struct {
	*session
	moveTarget   *slot // slot to which the stream was moved; nil if it was not moved
	moved        bool
	errorAnswers int // attempts that endpoints answered with an error
	successor    attempt.Successor
}

// Choose implements attempt.Steps.
func (g *generation) Choose(ctx context.Context) (*slot, error) {
	if target := g.moveTarget; target != nil {
		g.moveTarget = nil
		return target, nil
	}
	if accepted := g.adopt(); accepted != nil {
		return accepted, nil
	}
	acquired, err := g.relay.acquire(ctx, &g.search)
	if err != nil {
		return nil, g.abortError(err)
	}
	return acquired, nil
}

// Try implements attempt.Steps.
func (g *generation) Try(ctx context.Context, acquired *slot) dispatch.Result {
	g.successor.Begin()
	run := g.begin(acquired)
	<-run.done
	g.successor.End()
	result := run.result
	g.endSearch(result.End != dispatch.Complete && ctx.Err() == nil)
	g.recordSent(result)
	if result.End == dispatch.ErrorStatus {
		g.errorAnswers++
	}
	g.moveTarget, g.moved = g.closeRun(run)
	if result.End == dispatch.Lost {
		g.relay.awaitCrashVisible(ctx, g.call, acquired.endpoint.ID)
	}
	return result
}

// IsAnswered implements attempt.Steps.
func (g *generation) IsAnswered(result dispatch.Result) bool { return result.End == dispatch.Complete }

// recordSent records whether an attempt that has ended may have run the request.
func (s *session) recordSent(result dispatch.Result) {
	if result.Sent != dispatch.SentNothing && !isBadRequest(result) {
		s.maybeSent.Store(true)
	}
}

// CheckRetry implements attempt.Steps.
func (g *generation) CheckRetry(ctx context.Context, _ *slot, result dispatch.Result) error {
	switch {
	case ctx.Err() != nil:
		return g.abortError(problem.New(problem.EndpointFailed, "the deadline passed while an endpoint held the request"))
	case isBadRequest(result):
		return g.incompleteError(problem.InvalidRequest, "%v", result.Err)
	case g.errorAnswers >= maxErrorAnswers && !g.hasStalled():
		return g.incompleteError(problem.EndpointFailed, "%d endpoints failed: %v",
			g.errorAnswers, result.Err)
	}
	if err := g.relay.checkQuarantine(g.call); err != nil {
		return g.incompleteError(problem.Quarantined, "%v", err)
	}
	return nil
}

// AcquireRetry implements attempt.Steps. Moves don't use the retry budget, because the endpoint has not failed.
func (g *generation) AcquireRetry(ctx context.Context, acquired *slot, result dispatch.Result) error {
	g.mu.Lock()
	g.delivery.resumes++
	if !g.moved {
		if result.FirstEvent > 0 {
			// The attempt made progress, so endpoints that failed before it may be tried again.
			clear(g.search.failedEndpoints)
		}
		g.search.recordFailure(acquired.endpoint, result.IsEngineError())
	}
	g.mu.Unlock()
	if g.moved || g.hasNext() {
		return nil
	}
	if g.hasStalled() && result.End == dispatch.ErrorStatus {
		pause(ctx, errorPause(g.errorAnswers))
	}
	if g.successor.Take() {
		return nil
	}
	return g.relay.awaitBudget(ctx, g.call, func() error {
		return g.incompleteError(problem.EndpointFailed, "no retry before the deadline: %v", result.Err)
	})
}

// errorPause returns the pause after an answer that is the nth error of a request.
func errorPause(n int) time.Duration { return min(maxErrorPause, minErrorPause<<min(n-1, 10)) }

// pause waits for d, or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// hasStalled reports whether an attempt was silent for a gap.
func (s *session) hasStalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.stalls > 0
}

// GiveUp implements attempt.Steps.
func (g *generation) GiveUp(_ context.Context, _ *dispatch.Result, cause error) error { return cause }

// abortError returns the error for a session that ended while it searched for an endpoint or ran an attempt.
func (s *session) abortError(err error) error {
	if cause := context.Cause(s.ctx); errors.Is(cause, errCallerDisconnected) || errors.Is(cause, errClosed) {
		return s.incompleteError(problem.Internal, "request was given up: %v", cause)
	}
	return s.incompleteError(problem.KindOf(err), "%v", err)
}

// attempt runs one attempt at an endpoint, reports its end and releases the slot. mayAbandon is that of
// dispatch.StreamCall.
func (s *session) attempt(run *engineRun, mayAbandon func() bool) dispatch.Result {
	acquired := run.slot
	defer acquired.release()
	offset, text := s.emitted()
	body, err := s.requestBody(offset, text)
	if err != nil {
		return dispatch.Result{End: dispatch.Cancelled, Err: err}
	}
	stats := attemptStats{started: s.relay.cfg.Now(), promptTokens: int64(len(s.call.Body) / bytesPerToken)}
	acquired.endpoint.Live.PrefillTokens.Add(stats.promptTokens)
	defer stats.recordPrefilled(acquired.endpoint)
	result := s.relay.cfg.Dispatch.Stream(run.ctx, &dispatch.StreamCall{
		Endpoint: acquired.endpoint, RequestID: s.call.RequestID, AttemptID: acquired.attempt, Body: body, First: offset,
		MayAbandon: mayAbandon,
	}, func(e *engine.StreamEvent) error { return s.receive(run, e, &stats, offset > 0) })
	s.relay.reportEnd(s.call, acquired, &stats, result)
	if result.End == dispatch.Cancelled || result.End == dispatch.InvalidStream || result.End == dispatch.Stalled {
		go s.relay.cfg.Dispatch.Cancel(acquired.endpoint,
			engine.AttemptRef{RequestID: s.call.RequestID, AttemptID: acquired.attempt})
	}
	return result
}

func (s *session) requestBody(offset int, text string) ([]byte, error) {
	var resume *engine.Resume
	if offset > 0 {
		resume = &engine.Resume{Offset: offset, Text: text}
	}
	return s.call.Chat.engineBody(s.call, resume)
}

// attemptStats holds the measurements of an attempt.
type attemptStats struct {
	started      time.Time
	firstToken   time.Duration
	tokens       int
	recomputed   int
	promptTokens int64 // estimated prompt tokens that the endpoint still has to process
}

// recordPrefilled subtracts the estimated prompt tokens from the endpoint's pending prefill. It is called when the
// prompt has been processed and when the attempt has ended; the second call has no effect.
func (s *attemptStats) recordPrefilled(e *table.Endpoint) {
	e.Live.PrefillTokens.Add(-s.promptTokens)
	s.promptTokens = 0
}

// isBadRequest reports whether an engine has answered that the request is invalid, so that it did not run it and every
// other engine rejects it too.
func isBadRequest(result dispatch.Result) bool {
	if result.End != dispatch.ErrorStatus {
		return false
	}
	switch result.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// awaitBudget waits until the budget allows a retry: an exhausted budget delays retries instead of refusing the
// request. If ctx ends first, it returns the error of onTimeout.
func (r *Relay) awaitBudget(ctx context.Context, call *Call, onTimeout func() error) error {
	for !r.cfg.RetryBudget.AcquireRetry(call.Service.Name) {
		select {
		case <-ctx.Done():
			return onTimeout()
		case <-time.After(budgetPollInterval):
		}
	}
	return nil
}

// reportEnd posts the end of an attempt and, if the attempt was lost because the endpoint crashed, the crash with the
// requests that were running on it.
func (r *Relay) reportEnd(call *Call, acquired *slot, stats *attemptStats, result dispatch.Result) {
	total := r.cfg.Now().Sub(stats.started)
	done := core.AttemptDone{
		Endpoint: acquired.endpoint.ID, Service: call.Service.Name, Version: acquired.endpoint.Version,
		Route: call.Route.Name, Workspace: call.Workspace, Result: attemptResult(result), Started: stats.started,
		Unsuccessful: result.End == dispatch.Complete && result.Status >= http.StatusMultipleChoices,
		FirstToken:   stats.firstToken, Total: total,
		InFlight: acquired.inFlight, Fingerprint: call.Fingerprint, Tokens: stats.tokens, Recomputed: stats.recomputed,
	}
	if stats.tokens > 1 {
		done.PerToken = (total - stats.firstToken) / time.Duration(stats.tokens-1)
	}
	var refused *continuation.Error
	if errors.As(result.Err, &refused) {
		done.Refused = refused.Cause
	}
	if result.FirstEvent > 0 || result.End == dispatch.Complete || result.End == dispatch.ErrorStatus {
		r.tracker.recordAnswer(acquired.endpoint.ID, stats.started)
	}
	if result.End == dispatch.Lost && !r.isLeaving(call.Service.Name, acquired.endpoint.ID) {
		r.tracker.reportCrash(acquired.endpoint.ID, acquired.attempt, result.Status != 0,
			func(running []core.RunningRequest) {
				r.cfg.Post(core.EndpointCrashed{Endpoint: acquired.endpoint.ID, Running: running})
			})
	}
	r.cfg.Post(done)
	if done.Result != core.Succeeded {
		r.logFailedAttempt(call, acquired, result, refused)
	}
}

// logFailedAttempt logs an attempt that ended without a complete answer. refused is not nil if the answer did not
// continue the stream.
func (r *Relay) logFailedAttempt(call *Call, acquired *slot, result dispatch.Result, refused *continuation.Error) {
	log := r.cfg.Log.WithError(result.Err).WithFields(logrus.Fields{
		"request": call.RequestID, "attempt": acquired.attempt, "workspace": call.Workspace, "service": call.Service.Name,
		"version": acquired.endpoint.Version, "endpoint": acquired.endpoint.ID, "end": result.End,
	})
	if refused != nil {
		log = log.WithFields(logrus.Fields{"cause": refused.Cause, "position": refused.Position, "offered": refused.Offered})
	}
	log.Info("attempt ended without a complete answer")
}

// awaitCrashVisible waits until the snapshot no longer shows a lost endpoint as ready. In the same step the core counts
// the crash against the requests that ran on the endpoint. A retry before that could crash one more endpoint than the
// quarantine allows.
func (r *Relay) awaitCrashVisible(ctx context.Context, call *Call, endpoint string) {
	ctx, cancel := context.WithTimeout(ctx, crashVisibleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		svc, ok := r.cfg.Snapshots().Service(call.Service.Name)
		if !ok {
			return
		}
		if e := findEndpoint(svc, endpoint); e == nil || e.Condition != table.Ready {
			return
		}
		time.Sleep(crashVisiblePollInterval)
	}
}

func attemptResult(r dispatch.Result) core.Result {
	switch r.End {
	case dispatch.Complete:
		return core.Succeeded
	case dispatch.NoConn, dispatch.Lost, dispatch.Stalled:
		return core.EndpointLost
	case dispatch.ErrorStatus, dispatch.InvalidStream:
		return core.Failed
	case dispatch.Moved:
		return core.Cancelled
	}
	if errors.Is(r.Err, context.DeadlineExceeded) {
		return core.TimedOut
	}
	return core.Cancelled
}
