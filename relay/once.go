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
	p := &claimedPath{plainPath{relay: r, call: call,
		search: endpointSearch{call: call, failedEndpoints: map[string]bool{}}, newConnections: true}}
	defer r.releaseReservation(&p.search)
	err := attempt.Run(ctx, p)
	return p.answer, err
}

// claimedPath implements attempt.Path for a call that runs at most once. Any answer is final, and no further endpoint
// is tried after one to which a byte was sent.
type claimedPath struct{ plainPath }

// Choose implements attempt.Path.
func (p *claimedPath) Choose(ctx context.Context) (*slot, error) {
	return p.relay.acquire(ctx, &p.search)
}

// Try implements attempt.Path.
func (p *claimedPath) Try(ctx context.Context, acquired *slot) plainResult {
	answer, result := p.relay.callEndpoint(ctx, p.call, acquired, p.newConnections)
	return plainResult{answer, result}
}

// IsAnswered implements attempt.Path.
func (p *claimedPath) IsAnswered(out plainResult) bool {
	if out.answer == nil {
		return false
	}
	p.relay.cfg.Claimer.Complete(p.call, out.answer.toRecorded())
	p.answer = out.answer
	return true
}

// CheckRetry implements attempt.Path.
func (p *claimedPath) CheckRetry(_ context.Context, acquired *slot, out plainResult) error {
	if out.result.Sent != dispatch.SentNothing {
		return problem.New(problem.OutcomeUnknown, "the endpoint gave no whole answer: %v", out.result.Err)
	}
	p.search.recordFailure(acquired.endpoint, false)
	return nil
}

// AcquireRetry implements attempt.Path. It uses no retry budget, because nothing was sent to an endpoint.
func (p *claimedPath) AcquireRetry(context.Context, *slot, plainResult) error { return nil }

// GiveUp implements attempt.Path.
func (p *claimedPath) GiveUp(_ context.Context, last *plainResult, cause error) error {
	if last != nil && last.result.Sent != dispatch.SentNothing {
		p.relay.cfg.Claimer.MarkUnknown(p.call)
	} else {
		p.relay.cfg.Claimer.Release(p.call)
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
