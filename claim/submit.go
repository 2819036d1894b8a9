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
	// backgroundTry bounds one try to record an outcome or a release.
	backgroundTry = 10 * time.Second
	// maxBackground bounds the outcomes that wait for the store. A dropped one leaves its key pending, which
	// repeats get as unknown.
	maxBackground = 10_000
)

// waiter is one call of Claim.
type waiter struct {
	service *Service
	attempt *Attempt
	taken   bool // another attempt was seen to hold the key
}

// wait repeats the claim until it is settled. The attempt ID makes the repeats harmless.
func (w *waiter) wait(ctx context.Context) (Result, error) {
	op := w.attempt.operation(opClaim, nil)
	for poll := minPoll; ; poll = min(2*poll, maxPoll) {
		a, err := w.service.claimOnce(ctx, op)
		if err == nil && a.Verdict == verdictGranted && ctx.Err() == nil && time.Now().Before(w.attempt.until) {
			w.service.held.Store(w.attempt.key, w.attempt.id)
			return Result{Attempt: w.attempt}, nil
		}
		if err == nil && a.Verdict != verdictPending && a.Verdict != verdictGranted {
			return w.result(a)
		}
		w.taken = w.taken || a.Verdict == verdictPending
		if err != nil || ctx.Err() != nil || a.Verdict == verdictGranted {
			return Result{}, w.giveUp(err)
		}
		pause(ctx, poll)
	}
}

// claimOnce submits a claim unless an attempt of this instance holds the key.
func (s *Service) claimOnce(ctx context.Context, op operation) (answer, error) {
	if id, ok := s.held.Load(op.Key); ok && id != op.Attempt {
		return answer{Verdict: verdictPending}, nil
	}
	return s.submit(ctx, op)
}

// giveUp ends a claim without a settled answer. The claim may have been recorded, or may yet be, so it is released.
func (w *waiter) giveUp(cause error) error {
	a := w.attempt
	w.service.Release(a)
	if w.taken || w.service.slots[a.slot].mayBeTaken(a.key, a.id) {
		return problem.New(problem.OutcomeUnknown, "another attempt with this key had no outcome before the deadline")
	}
	if cause == nil {
		cause = context.DeadlineExceeded
	}
	return problem.New(problem.StoreUnavailable, "claim not recorded before the deadline: %w", cause)
}

func (w *waiter) result(a answer) (Result, error) {
	switch a.Verdict {
	case verdictDone:
		if a.Response == nil || !a.Response.Retained {
			return Result{}, problem.New(problem.AnswerNotRetained, "the response was over %d bytes", MaxRecordedBody)
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

// submit carries out an operation through the home of its slot, or by itself when the home gives no answer in time,
// and changes between the two until ctx ends.
func (s *Service) submit(ctx context.Context, op operation) (answer, error) {
	for {
		a, err := s.submitHome(ctx, op)
		if err == nil || ctx.Err() != nil {
			return a, err
		}
		a, err = s.submitSelf(ctx, op)
		if err == nil || ctx.Err() != nil || s.ctx.Err() != nil {
			return a, err
		}
	}
}

var errNoHome = errors.New("the slot has no other home")

func (s *Service) submitHome(ctx context.Context, op operation) (answer, error) {
	for time.Now().UnixNano() > s.avoid[op.Slot].Load() {
		home := s.home(op.Slot)
		if home == "" {
			break
		}
		a, err := s.askHome(ctx, home, op)
		if err == nil && a.Verdict == verdictBusy {
			continue
		}
		if err != nil && ctx.Err() == nil {
			s.avoid[op.Slot].Store(time.Now().Add(s.opts.HomeAvoid).UnixNano())
		}
		return a, err
	}
	return answer{}, errNoHome
}

// submitSelf lets this instance write the slot. Unless it is the home, it returns to the home after HomeAvoid.
func (s *Service) submitSelf(ctx context.Context, op operation) (answer, error) {
	if s.home(op.Slot) != "" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.opts.HomeAvoid)
		defer cancel()
	}
	return s.slots[op.Slot].submit(ctx, s.ctx, op)
}

// home returns the member that batches a slot's writes, and "" when that is this instance.
func (s *Service) home(slot int) string {
	members := s.mesh.Members()
	ids := make([]string, 0, len(members))
	for _, m := range members {
		if !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	home := rendezvous.First(fmt.Sprintf("claim/%d", slot), ids)
	if home == s.mesh.Self().ID {
		return ""
	}
	return home
}

func (s *Service) askHome(ctx context.Context, home string, op operation) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.HomeTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	// The rest of the time is left for the way back.
	op.Within = (time.Until(deadline) * 4 / 5).Milliseconds()
	body, err := s.mesh.Call(ctx, home, callKind, encode(op))
	if err != nil {
		return answer{}, err
	}
	var a answer
	if err := cbor.Unmarshal(body, &a); err != nil {
		return answer{}, fmt.Errorf("decode claim answer of %s: %w", home, err)
	}
	return a, nil
}

// handle carries out an operation for another instance, whether or not this one is the slot's home.
func (s *Service) handle(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var op operation
	if err := cbor.Unmarshal(body, &op); err != nil {
		return nil, fmt.Errorf("decode claim operation: %w", err)
	}
	if op.Slot < 0 || op.Slot >= len(s.slots) {
		return nil, fmt.Errorf("claim operation for slot %d of %d", op.Slot, len(s.slots))
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(op.Within)*time.Millisecond)
	defer cancel()
	slot := s.slots[op.Slot]
	a, err := slot.submit(ctx, s.ctx, op)
	if err != nil && slot.progressing(2*s.opts.HomeTimeout) {
		a, err = answer{Verdict: verdictBusy}, nil
	}
	if err != nil {
		return nil, err
	}
	return encode(a), nil
}

// background repeats an operation until it is recorded or the service is closed.
func (s *Service) background(a *Attempt, op operation) {
	if s.queued.Add(1) > maxBackground {
		s.queued.Add(-1)
		s.held.CompareAndDelete(a.key, a.id)
		return
	}
	s.ops.Go(func() {
		defer s.queued.Add(-1)
		for s.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(s.ctx, backgroundTry)
			_, err := s.submit(ctx, op)
			cancel()
			if err == nil {
				s.held.CompareAndDelete(a.key, a.id)
				return
			}
			pause(s.ctx, minPoll)
		}
	})
}
