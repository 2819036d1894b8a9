package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/attempt"
	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/problem"
)

// runOnce runs a call that is not idempotent at most once under its key. The claim comes before the search for an
// endpoint, so that a repeat gets the recorded answer even while no endpoint is ready.
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
	case ClaimNoAnswer:
		return nil, problem.New(problem.AnswerNotRetained, "the call under this key ran")
	}
	return nil, problem.New(problem.OutcomeUnknown, "an earlier call under this key may have run")
}

// claim claims a call and waits while an earlier one under its key is running.
func (r *Relay) claim(ctx context.Context, call *Call) (Claim, error) {
	for {
		claim, err := r.cfg.Claimer.Claim(ctx, call)
		if err != nil || claim.State != ClaimPending {
			return claim, err
		}
		select {
		case <-ctx.Done():
			return claim, nil
		case <-time.After(claimPoll):
		}
	}
}

// runClaimed sends the call. Another endpoint is tried only while nothing was sent.
func (r *Relay) runClaimed(ctx context.Context, call *Call) (*plainAnswer, error) {
	p := &claimedPath{plainPath{relay: r, call: call, search: search{call: call, tried: map[string]bool{}}, fresh: true}}
	defer r.stopSearch(&p.search)
	err := attempt.Run(ctx, p)
	return p.answer, err
}

// claimedPath is a call on its way that runs at most once. Any answer is final, and an endpoint that was sent a byte is
// the last one.
type claimedPath struct{ plainPath }

// Choose implements attempt.Path.
func (p *claimedPath) Choose(ctx context.Context) (*slot, error) {
	return p.relay.acquire(ctx, &p.search)
}

// Try implements attempt.Path.
func (p *claimedPath) Try(ctx context.Context, got *slot) plainOutcome {
	answer, result := p.relay.callEndpoint(ctx, p.call, got, p.fresh)
	return plainOutcome{answer, result}
}

// IsAnswered implements attempt.Path.
func (p *claimedPath) IsAnswered(out plainOutcome) bool {
	if out.answer == nil {
		return false
	}
	p.relay.cfg.Claimer.Complete(p.call, out.answer.recorded())
	p.answer = out.answer
	return true
}

// Permit implements attempt.Path.
func (p *claimedPath) Permit(_ context.Context, got *slot, out plainOutcome) error {
	if out.result.Sent != dispatch.Nothing {
		return problem.New(problem.OutcomeUnknown, "the endpoint gave no whole answer: %v", out.result.Err)
	}
	p.search.noteFailed(got.endpoint, false)
	return nil
}

// TakeRepeat implements attempt.Path. A call of which nothing was sent has not burdened an endpoint.
func (p *claimedPath) TakeRepeat(context.Context, *slot, plainOutcome) error { return nil }

// GiveUp implements attempt.Path.
func (p *claimedPath) GiveUp(_ context.Context, last *plainOutcome, cause error) error {
	if last != nil && last.result.Sent != dispatch.Nothing {
		p.relay.cfg.Claimer.MarkUnknown(p.call)
	} else {
		p.relay.cfg.Claimer.Release(p.call)
	}
	return cause
}

// recorded returns what is retained of an answer.
func (a *plainAnswer) recorded() Recorded {
	rec := Recorded{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Endpoint: a.endpoint, Version: a.version}
	if a.Rest == nil && len(a.Body) <= recordedBytes {
		rec.Body, rec.Retained = a.Body, true
	}
	return rec
}

func recordedAnswer(rec *Recorded) *plainAnswer {
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
