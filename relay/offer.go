package relay

import (
	"context"
	"errors"
	"maps"

	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/table"
)

var errSuperseded = errors.New("the stream goes on elsewhere")

// engineRun is an attempt of a session at an engine.
type engineRun struct {
	slot   *slot
	ctx    context.Context
	cancel context.CancelCauseFunc
	move   *streamMove // set when the stream is being moved to another endpoint
	done   chan struct{}
	result dispatch.Result // valid once done is closed
}

// runs holds the attempts of a session in progress. An engine that is silent may only be pausing, so the current attempt
// is kept while the stream is offered to another engine, until that one has sent the event that is due. Whichever
// goes on first is kept, and the other one is canceled. session.mu guards the fields.
type runs struct {
	current *engineRun // its events are appended to the answer; nil between attempts
	offered *engineRun // at another engine; nil: none
	stalls  int        // times that a current attempt was silent for a gap
	failed  []failedOffer

	cancelSearch context.CancelFunc // of the search for an engine in progress; nil: there is none
	searched     chan struct{}      // closed at the end of the latest search
}

// failedOffer is an attempt that ended before it was the current one.
type failedOffer struct {
	endpoint      *table.Endpoint
	answeredError bool
}

// newRun returns an attempt that has not been started.
func (s *session) newRun(acquired *slot) *engineRun {
	run := &engineRun{slot: acquired, done: make(chan struct{})}
	run.ctx, run.cancel = context.WithCancelCause(s.ctx)
	return run
}

// start runs an attempt in a goroutine of its own.
func (g *generation) start(run *engineRun) {
	go func() {
		run.result = g.attempt(run, func() bool { return g.mayAbandon(run) })
		run.cancel(nil)
		g.mu.Lock()
		if g.runs.offered == run {
			g.runs.offered = nil
			g.recordSent(run.result)
			g.runs.failed = append(g.runs.failed, failedOffer{run.slot.endpoint, run.result.IsEngineError()})
		}
		g.mu.Unlock()
		close(run.done)
	}()
}

// begin returns the current attempt: an accepted offer, or a new attempt.
func (g *generation) begin(acquired *slot) *engineRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs.current == nil {
		g.runs.current = g.newRun(acquired)
		g.start(g.runs.current)
	}
	return g.runs.current
}

// adopt makes an offer in progress the current attempt if there is none, and returns the slot of the current attempt.
func (g *generation) adopt() *slot {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs.current == nil {
		g.runs.current, g.runs.offered = g.runs.offered, nil
	}
	if g.runs.current == nil {
		return nil
	}
	return g.runs.current.slot
}

// hasNext reports whether another attempt is in progress after the current one has ended.
func (g *generation) hasNext() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs.current != nil || g.runs.offered != nil
}

// withdraw cancels the offer and the search for an engine, if any. s.mu must be held.
func (s *session) withdraw() {
	if s.runs.cancelSearch != nil {
		s.runs.cancelSearch()
	}
	if s.runs.offered != nil {
		s.runs.offered.cancel(errSuperseded)
		s.runs.offered = nil
		s.maybeSent.Store(true)
	}
}

// endRuns withdraws the offer when the session has ended.
func (s *session) endRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdraw()
}

// accept reports whether an event of a run belongs to the answer. The event of an offer makes it the current attempt.
// s.mu must be held.
func (s *session) accept(run *engineRun) bool {
	switch {
	case s.finished:
		return false
	case run == s.runs.current:
		s.withdraw()
		return true
	case run == s.runs.offered:
		if s.runs.current != nil {
			s.runs.current.cancel(progress.ErrStalled)
		}
		s.runs.current, s.runs.offered = run, nil
		return true
	}
	return false
}

// mayAbandon reports whether a run without progress may be given up. The current one is offered to another engine
// instead. A request that is suspected of crashing engines must not run at two of them: its attempt is given up once the
// next one is allowed.
func (g *generation) mayAbandon(run *engineRun) bool {
	isSuspect := g.relay.isSuspect(g.call)
	g.mu.Lock()
	defer g.mu.Unlock()
	if run != g.runs.current {
		return true
	}
	g.runs.stalls++
	if isSuspect {
		return g.successor.Acquire(func() bool { return g.relay.cfg.RetryBudget.AcquireRetry(g.call.Service.Name) })
	}
	if run.move == nil && g.runs.offered == nil && g.runs.cancelSearch == nil {
		g.startSearch(run)
	}
	return false
}

// startSearch starts a search for an engine to which the stream of a stalled run is offered. g.mu must be held.
func (g *generation) startSearch(stalled *engineRun) {
	search := endpointSearch{call: g.call, failedEndpoints: maps.Clone(g.search.failedEndpoints), failedVersions: maps.Clone(g.search.failedVersions)}
	search.recordFailure(stalled.slot.endpoint, false)
	for _, f := range g.runs.failed {
		search.recordFailure(f.endpoint, f.answeredError)
	}
	ctx, cancel := context.WithCancel(stalled.ctx)
	searched := make(chan struct{})
	g.runs.cancelSearch, g.runs.searched = cancel, searched
	go func() {
		defer close(searched)
		defer cancel()
		defer g.relay.releaseReservation(&search)
		acquired := g.relay.acquireOffer(ctx, &search)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.runs.cancelSearch = nil
		switch {
		case acquired == nil:
		case ctx.Err() != nil || stalled != g.runs.current || stalled.move != nil:
			acquired.release()
		default:
			g.runs.offered = g.newRun(acquired)
			g.start(g.runs.offered)
		}
	}()
}

// isSuspect reports whether a call is suspected of crashing endpoints.
func (r *Relay) isSuspect(call *Call) bool {
	return r.cfg.Quarantine.MustHold(call.Fingerprint) || r.cfg.Quarantine.MustIsolate(call.Fingerprint, 0)
}

// acquireOffer acquires another endpoint and an attempt from the retry budget, and waits for them until ctx ends. It
// returns nil if there is none, or if the call is suspected of crashing endpoints.
func (r *Relay) acquireOffer(ctx context.Context, search *endpointSearch) *slot {
	search.isOffer = true
	defer func() { search.isOffer = false }()
	for ctx.Err() == nil {
		acquired, err := r.acquire(ctx, search)
		if err != nil {
			return nil
		}
		if ctx.Err() == nil && r.cfg.RetryBudget.AcquireRetry(search.call.Service.Name) {
			return acquired
		}
		acquired.release()
		pause(ctx, budgetPollInterval)
	}
	return nil
}

// endSearch ends the search for another engine with the current attempt. If keep is false, the offer is withdrawn too.
func (g *generation) endSearch(keep bool) {
	g.mu.Lock()
	if g.runs.cancelSearch != nil {
		g.runs.cancelSearch()
	}
	if !keep {
		g.withdraw()
	}
	searched := g.runs.searched
	g.mu.Unlock()
	if searched != nil {
		<-searched
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range g.runs.failed {
		g.search.recordFailure(f.endpoint, f.answeredError)
	}
	g.runs.failed = nil
}

// receive appends an event of a run to the answer. It returns an error if the stream goes on at another engine.
func (s *session) receive(run *engineRun, e *engine.StreamEvent, stats *attemptStats, resumed bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.accept(run) {
		return errSuperseded
	}
	if e.Usage != nil && resumed {
		stats.recomputed = e.Usage.RecomputedTokens
		s.delivery.recomputed += e.Usage.RecomputedTokens
	}
	if e.FinishReason != "" {
		return nil
	}
	if stats.tokens == 0 {
		stats.recordPrefilled(run.slot.endpoint)
		stats.firstToken = s.relay.cfg.Now().Sub(stats.started)
	}
	stats.tokens++
	s.appendToken(run.slot.endpoint, e.Content)
	return nil
}
