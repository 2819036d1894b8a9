package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/attempt"
	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/problem"
)

// runOnce runs a call that is not idempotent at most once under its key. It claims the call before it searches for an
// endpoint, so that a repeated call gets the recorded answer even while no endpoint is ready.
func (r *Relay) runOnce(ctx context.Context, call *Call) (*plainAnswer, error) {
	claim, err := r.claim(ctx, call)
	if err != nil {
		return nil, err
	}
	switch claim.State {
	case ClaimGranted:
		return r.runClaimed(ctx, call)
	case ClaimRecorded:
		return recordedAnswer(claim.Answer), nil
	case ClaimAnswerNotRetained:
		return nil, problem.New(problem.AnswerNotRetained, "the call under this key ran")
	}
	return nil, problem.New(problem.OutcomeUnknown, "an earlier call under this key may have run")
}

// claim claims a call. It waits while an earlier call under the same key is running.
func (r *Relay) claim(ctx context.Context, call *Call) (Claim, error) {
	for {
		claim, err := r.cfg.Claimer.Claim(ctx, call)
		if err != nil || claim.State != ClaimPending {
			return claim, err
		}
		select {
		case <-ctx.Done():
			return claim, nil
		case <-time.After(claimPollInterval):
		}
	}
}

// runClaimed sends a claimed call. It tries another endpoint only if nothing was sent to the previous one.
func (r *Relay) runClaimed(ctx context.Context, call *Call) (*plainAnswer, error) {
	s := &claimedSteps{plainSteps{relay: r, call: call,
		search: endpointSearch{call: call, failedEndpoints: map[string]bool{}}, newConnections: true}}
	defer r.releaseReservation(&s.search)
	err := attempt.Run(ctx, s)
	return s.answer, err
}

// claimedSteps implements attempt.Steps for a call that runs at most once. Any answer is final, and no further endpoint
// is tried after one to which a byte was sent.
type claimedSteps struct{ plainSteps }

// Choose implements attempt.Steps.
func (s *claimedSteps) Choose(ctx context.Context) (*slot, error) {
	return s.relay.acquire(ctx, &s.search)
}

// Try implements attempt.Steps.
func (s *claimedSteps) Try(ctx context.Context, acquired *slot) plainResult {
	answer, result := s.relay.callEndpoint(ctx, s.call, acquired, s.newConnections, nil)
	return plainResult{answer, result}
}

// IsAnswered implements attempt.Steps.
func (s *claimedSteps) IsAnswered(out plainResult) bool {
	if out.answer == nil {
		return false
	}
	s.relay.cfg.Claimer.Complete(s.call, out.answer.toRecorded())
	s.answer = out.answer
	return true
}

// CheckRetry implements attempt.Steps.
func (s *claimedSteps) CheckRetry(_ context.Context, acquired *slot, out plainResult) error {
	if out.result.Sent != dispatch.SentNothing {
		return problem.New(problem.OutcomeUnknown, "the endpoint gave no whole answer: %v", out.result.Err)
	}
	s.search.recordFailure(acquired.endpoint, false)
	return nil
}

// AcquireRetry implements attempt.Steps. It uses no retry budget, because nothing was sent to an endpoint.
func (s *claimedSteps) AcquireRetry(context.Context, *slot, plainResult) error { return nil }

// GiveUp implements attempt.Steps.
func (s *claimedSteps) GiveUp(_ context.Context, last *plainResult, cause error) error {
	if last != nil && last.result.Sent != dispatch.SentNothing {
		s.relay.cfg.Claimer.MarkUnknown(s.call)
	} else {
		s.relay.cfg.Claimer.Release(s.call)
	}
	return cause
}

// toRecorded returns the record of an answer that is retained for repeats of its key.
func (a *plainAnswer) toRecorded() RecordedAnswer {
	rec := RecordedAnswer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Endpoint: a.endpoint, Version: a.version}
	if a.Rest == nil && len(a.Body) <= maxRecordedBytes {
		rec.Body, rec.Retained = a.Body, true
	}
	return rec
}

func recordedAnswer(rec *RecordedAnswer) *plainAnswer {
	h := http.Header{}
	if rec.ContentType != "" {
		h.Set("Content-Type", rec.ContentType)
	}
	h.Set("Idempotency-Replayed", "true")
	return &plainAnswer{
		Answer:   &dispatch.Answer{Status: rec.Status, Header: h, Body: rec.Body},
		endpoint: rec.Endpoint, version: rec.Version,
	}
}
