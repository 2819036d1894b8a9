package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	minPoll = 20 * time.Millisecond
	maxPoll = 500 * time.Millisecond
	// backgroundTimeout bounds one attempt to record an outcome or a release.
	backgroundTimeout = 10 * time.Second
	// maxBackgroundOps bounds the outcomes and releases that wait to be recorded. When one is dropped, its key stays
	// pending, and repeats of the key get an unknown outcome.
	maxBackgroundOps = 10_000
)

// waiter is the state of one call of Claim.
type waiter struct {
	service     *Service
	attempt     *Attempt
	heldByOther bool // an answer showed that another attempt holds the key
}

// wait repeats the claim until it is granted, refused or ctx ends. The attempt ID makes repeats idempotent.
func (w *waiter) wait(ctx context.Context) (Result, error) {
	op := w.attempt.operation(opClaim, nil)
	for poll := minPoll; ; poll = min(2*poll, maxPoll) {
		a, err := w.service.claimOnce(ctx, op)
		if err == nil && a.Verdict == verdictGranted && ctx.Err() == nil && time.Now().Before(w.attempt.deadline) {
			w.service.granted.Store(w.attempt.key, w.attempt.id)
			return Result{Attempt: w.attempt}, nil
		}
		if err == nil && a.Verdict != verdictPending && a.Verdict != verdictGranted {
			return w.result(a)
		}
		w.heldByOther = w.heldByOther || a.Verdict == verdictPending
		if err != nil || ctx.Err() != nil || a.Verdict == verdictGranted {
			return Result{}, w.giveUp(err)
		}
		sleep(ctx, poll)
	}
}

// claimOnce submits a claim unless an attempt of this instance holds the key.
func (s *Service) claimOnce(ctx context.Context, op operation) (answer, error) {
	if id, ok := s.granted.Load(op.Key); ok && id != op.Attempt {
		return answer{Verdict: verdictPending}, nil
	}
	return s.submit(ctx, op)
}

// giveUp returns the error of a claim that was neither granted nor refused. The claim may have been recorded, or may
// still be, so it is released.
func (w *waiter) giveUp(cause error) error {
	a := w.attempt
	w.service.Release(a)
	if w.heldByOther || w.service.slots[a.slot].mayBeHeld(a.key, a.id) {
		return problem.New(problem.OutcomeUnknown, "another attempt with this key had no outcome before the deadline")
	}
	if cause == nil {
		cause = context.DeadlineExceeded
	}
	return problem.New(problem.StoreUnavailable, "claim not recorded before the deadline: %w", cause)
}

// result converts a final answer to the result of Claim.
func (w *waiter) result(a answer) (Result, error) {
	switch a.Verdict {
	case verdictDone:
		if a.Response == nil || !a.Response.Retained {
			return Result{}, problem.New(problem.AnswerNotRetained, "the call has run, and its response is too large for repeats")
		}
		return Result{Response: a.Response}, nil
	case verdictReused:
		return Result{}, problem.New(problem.KeyReused, "the key was used with another body")
	case verdictUnknown:
		return Result{}, problem.New(problem.OutcomeUnknown, "an earlier attempt with this key may have run")
	default:
		return Result{}, problem.New(problem.Internal, "claim: unexpected verdict %d", a.Verdict)
	}
}

// submit executes an operation through the owner of its slot, or on this instance when the owner does not answer in
// time, and alternates between the two until ctx ends.
func (s *Service) submit(ctx context.Context, op operation) (answer, error) {
	for {
		a, err := s.submitToOwner(ctx, op)
		if err == nil || ctx.Err() != nil {
			return a, err
		}
		a, err = s.submitLocally(ctx, op)
		if err == nil || ctx.Err() != nil || s.ctx.Err() != nil {
			return a, err
		}
	}
}

var errNoRemoteOwner = errors.New("no other instance owns the slot, or its owner is skipped")

func (s *Service) submitToOwner(ctx context.Context, op operation) (answer, error) {
	for time.Now().UnixNano() > s.skipOwnerUntil[op.Slot].Load() {
		owner := s.owner(op.Slot)
		if owner == "" {
			break
		}
		a, err := s.callOwner(ctx, owner, op)
		if err == nil && a.Verdict == verdictBusy {
			continue
		}
		if err != nil && ctx.Err() == nil {
			s.skipOwnerUntil[op.Slot].Store(time.Now().Add(s.opts.OwnerSkipTime).UnixNano())
		}
		return a, err
	}
	return answer{}, errNoRemoteOwner
}

// submitLocally executes an operation on this instance. Unless this instance owns the slot, it gives up after
// OwnerSkipTime, so that the owner is tried again.
func (s *Service) submitLocally(ctx context.Context, op operation) (answer, error) {
	if s.owner(op.Slot) != "" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.opts.OwnerSkipTime)
		defer cancel()
	}
	return s.slots[op.Slot].submit(ctx, s.ctx, op)
}

// owner returns the member that batches a slot's writes, and "" when that is this instance.
func (s *Service) owner(slot int) string {
	members := s.mesh.Members()
	ids := make([]string, 0, len(members))
	for _, m := range members {
		if !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	owner := rendezvous.First(fmt.Sprintf("claim/%d", slot), ids)
	if owner == s.mesh.Self().ID {
		return ""
	}
	return owner
}

func (s *Service) callOwner(ctx context.Context, owner string, op operation) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.OwnerTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	// One fifth of the time is left for the answer to return.
	op.TimeoutMillis = (time.Until(deadline) * 4 / 5).Milliseconds()
	body, err := s.mesh.Call(ctx, owner, callKind, encode(op))
	if err != nil {
		return answer{}, err
	}
	var a answer
	if err := cbor.Unmarshal(body, &a); err != nil {
		return answer{}, fmt.Errorf("decode claim answer of %s: %w", owner, err)
	}
	return a, nil
}

// handle executes an operation for another instance, whether or not this instance owns the slot.
func (s *Service) handle(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var op operation
	if err := cbor.Unmarshal(body, &op); err != nil {
		return nil, fmt.Errorf("decode claim operation: %w", err)
	}
	if op.Slot < 0 || op.Slot >= len(s.slots) {
		return nil, fmt.Errorf("claim operation for slot %d of %d", op.Slot, len(s.slots))
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(op.TimeoutMillis)*time.Millisecond)
	defer cancel()
	slot := s.slots[op.Slot]
	a, err := slot.submit(ctx, s.ctx, op)
	if err != nil && slot.confirmedWithin(2*s.opts.OwnerTimeout) {
		a, err = answer{Verdict: verdictBusy}, nil
	}
	if err != nil {
		return nil, err
	}
	return encode(a), nil
}

// background repeats an operation until it is recorded or the service is closed.
func (s *Service) background(a *Attempt, op operation) {
	if s.backgroundOps.Add(1) > maxBackgroundOps {
		s.backgroundOps.Add(-1)
		s.granted.CompareAndDelete(a.key, a.id)
		return
	}
	s.backgroundGroup.Go(func() {
		defer s.backgroundOps.Add(-1)
		for s.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(s.ctx, backgroundTimeout)
			_, err := s.submit(ctx, op)
			cancel()
			if err == nil {
				s.granted.CompareAndDelete(a.key, a.id)
				return
			}
			sleep(s.ctx, minPoll)
		}
	})
}
