package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/progress"
)

// plainRun is an attempt of a plain call in progress.
type plainRun struct {
	slot      *slot
	cancel    context.CancelCauseFunc
	done      chan plainResult // receives the result
	isCurrent atomic.Bool      // it is not an offer beside another attempt
}

// start runs an attempt in a goroutine of its own.
func (s *plainSteps) start(ctx context.Context, acquired *slot) *plainRun {
	run := &plainRun{slot: acquired, done: make(chan plainResult, 1)}
	ctx, run.cancel = context.WithCancelCause(ctx)
	newConnections := s.newConnections
	go func() {
		answer, result := s.relay.callEndpoint(ctx, s.call, acquired, newConnections, func() bool { return s.mayAbandon(run) })
		if result.End == dispatch.Lost {
			s.relay.awaitCrashVisible(ctx, s.call, acquired.endpoint.ID)
		}
		run.done <- plainResult{answer, result}
	}()
	return run
}

// discard cancels a run whose result is not used. It does nothing on a nil run.
func (p *plainRun) discard(cause error) {
	if p == nil {
		return
	}
	p.cancel(cause)
	go func() {
		if out := <-p.done; out.answer != nil {
			out.answer.close()
		}
	}()
}

// offers offers a plain call whose endpoint is silent to another one while the attempt is kept. The first usable answer
// is returned, and the other attempt is canceled. Its methods are called from the goroutine of the call.
type offers struct {
	steps   *plainSteps
	ctx     context.Context
	current *plainRun
	offered *plainRun // at another endpoint; nil: none
	failed  int       // offers that failed

	cancelSearch context.CancelFunc // of the search for an endpoint in progress; nil: there is none
	found        chan *slot         // receives its result, nil without an endpoint
}

// run returns the first usable answer, or the result of the current attempt once it has failed. The offer is then in
// progress as the next attempt, if there is one.
func (o *offers) run() plainResult {
	for {
		var offered chan plainResult
		if o.offered != nil {
			offered = o.offered.done
		}
		select {
		case out := <-o.current.done:
			o.endSearch()
			if out.isUsable() || o.ctx.Err() != nil {
				o.offered.discard(errSuperseded)
				o.offered = nil
			}
			return out
		case out := <-offered:
			if out.isUsable() {
				o.current.discard(progress.ErrStalled)
				o.current, o.offered = o.offered, nil
				return out
			}
			if out.answer != nil {
				out.answer.close()
			}
			o.steps.search.recordFailure(o.offered.slot.endpoint, out.answer != nil)
			o.offered.cancel(nil)
			o.offered = nil
			if o.failed++; o.failed < maxErrorAnswers {
				o.startSearch(errorPause(o.failed))
			}
		case <-o.steps.stalled:
			if o.offered == nil && o.cancelSearch == nil {
				o.startSearch(0)
			}
		case acquired := <-o.found:
			o.cancelSearch()
			o.cancelSearch, o.found = nil, nil
			if acquired != nil {
				o.offered = o.steps.start(o.ctx, acquired)
			}
		}
	}
}

// startSearch starts a search for another endpoint after a delay.
func (o *offers) startSearch(delay time.Duration) {
	o.steps.newConnections = true
	o.steps.search.recordFailure(o.current.slot.endpoint, false)
	ctx, cancel := context.WithCancel(o.ctx)
	found := make(chan *slot, 1)
	o.cancelSearch, o.found = cancel, found
	go func() {
		pause(ctx, delay)
		found <- o.steps.relay.acquireOffer(ctx, &o.steps.search)
	}()
}

// endSearch ends the search in progress, if any.
func (o *offers) endSearch() {
	if o.cancelSearch == nil {
		return
	}
	o.cancelSearch()
	(<-o.found).release()
	o.cancelSearch, o.found = nil, nil
}

// isUsable reports whether an attempt has an answer that is none of an overloaded or failing endpoint.
func (out plainResult) isUsable() bool { return out.answer != nil && !isRetriable(out.result.Status) }

// mayAbandon reports whether an attempt that has stalled may be given up. The current one is offered to another endpoint
// instead. A call that is suspected of crashing endpoints must not run at two of them: its attempt is given up once the
// next one is allowed.
func (s *plainSteps) mayAbandon(run *plainRun) bool {
	if !run.isCurrent.Load() {
		return true
	}
	if s.relay.isSuspect(s.call) {
		return s.successor.Acquire(func() bool { return s.relay.cfg.RetryBudget.AcquireRetry(s.call.Service.Name) })
	}
	select {
	case s.stalled <- struct{}{}:
	default:
	}
	return false
}
