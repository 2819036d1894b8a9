package relay

import (
	"context"
	"net/http"
	"time"

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
	s := &search{call: call, tried: map[string]bool{}}
	defer r.stopSearch(s)
	for {
		got, err := r.acquire(ctx, s)
		if err != nil {
			r.cfg.Claimer.Release(call)
			return nil, err
		}
		answer, result := r.callEndpoint(ctx, call, got, true)
		switch {
		case answer != nil:
			r.cfg.Claimer.Complete(call, answer.recorded())
			return answer, nil
		case result.Sent != dispatch.Nothing:
			r.cfg.Claimer.MarkUnknown(call)
			return nil, problem.New(problem.OutcomeUnknown, "the endpoint gave no whole answer: %v", result.Err)
		}
		s.noteFailed(got.endpoint, false)
	}
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
