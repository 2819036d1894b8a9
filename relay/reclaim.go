package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/table"
)

const (
	// leavingInterval is the time between looks for streams on leaving endpoints; notices are seconds long.
	leavingInterval = 50 * time.Millisecond
	// forgetInterval is the time between looks for connections to endpoints that are gone.
	forgetInterval = 30 * time.Second
	// moveLead is how long before an endpoint leaves its streams are moved. Streams that end by themselves until then
	// cost no move.
	moveLead = 5 * time.Second
	// exportMargin is kept free before an endpoint leaves, for the answer of the export to arrive.
	exportMargin = 100 * time.Millisecond
	// minExportTime is the least time in which an export is tried; with less the prefix is computed again.
	minExportTime = 200 * time.Millisecond
	// exportRetry is the time between exports of an attempt that the engine doesn't know yet.
	exportRetry = 20 * time.Millisecond
	// maxTransferTime bounds export and import, during which the caller gets no token.
	maxTransferTime = 2 * time.Second
)

// errMoving ends an attempt whose stream goes on at another endpoint.
var errMoving = errors.New("moved to another endpoint")

// streamMove is a stream's move away from a leaving endpoint.
type streamMove struct {
	done chan struct{}
	to   *slot
	once sync.Once
}

// take waits for the end of the move and returns the slot at the new endpoint.
func (m *streamMove) take() *slot {
	<-m.done
	var to *slot
	m.once.Do(func() { to = m.to })
	return to
}

// isLeaving tells whether an endpoint has been announced to leave or is not listed any more.
func (r *Relay) isLeaving(service, endpoint string) bool {
	svc, ok := r.cfg.Snapshots().Service(service)
	if !ok {
		return false
	}
	e := find(svc, endpoint)
	return e == nil || e.Condition == table.Leaving
}

// watchLeaving moves streams off endpoints that are about to leave.
func (r *Relay) watchLeaving(ctx context.Context) {
	tick, forget := time.NewTicker(leavingInterval), time.NewTicker(forgetInterval)
	defer tick.Stop()
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.moveLeaving()
		case <-forget.C:
			r.forgetEndpoints()
		}
	}
}

// forgetEndpoints drops what is kept about endpoints that are not listed any more.
func (r *Relay) forgetEndpoints() {
	r.running.tidy()
	listed := map[string]bool{}
	for _, svc := range r.cfg.Snapshots().Services {
		for _, e := range svc.Endpoints {
			listed[e.Address] = true
		}
	}
	r.cfg.Dispatch.Forget(func(address string) bool { return listed[address] })
}

func (r *Relay) moveLeaving() {
	snapshot := r.cfg.Snapshots()
	leaving := map[string]*table.Service{}
	for name, svc := range snapshot.Services {
		for _, e := range svc.Endpoints {
			if e.Condition == table.Leaving {
				leaving[name] = svc
				break
			}
		}
	}
	if len(leaving) == 0 {
		return
	}
	for _, s := range r.openSessions() {
		if svc, ok := leaving[s.call.Service.Name]; ok {
			r.moveIfLeaving(s, svc)
		}
	}
}

// moveIfLeaving starts the move of a stream when its endpoint leaves soon and another one can take it.
func (r *Relay) moveIfLeaving(s *session, svc *table.Service) {
	run := s.currentRun()
	if run == nil {
		return
	}
	from := find(svc, run.slot.endpoint.ID)
	if from == nil || from.Condition != table.Leaving {
		return
	}
	left := time.Until(from.LeaveBy)
	if left > moveLead && !from.LeaveBy.IsZero() {
		return
	}
	to, _ := r.tryAcquire(&search{call: s.call, tried: map[string]bool{from.ID: true}}, widenAfter)
	if to == nil {
		// The stream goes on where it is as long as that lasts.
		return
	}
	m := &streamMove{done: make(chan struct{}), to: to}
	if !s.setMove(run, m) {
		to.release()
		return
	}
	if from.LeaveBy.IsZero() {
		left = maxTransferTime
	}
	go r.move(s, run, m, left-exportMargin)
}

// move carries the KV cache over when the time suffices, and ends the attempt at the leaving endpoint.
func (r *Relay) move(s *session, run *engineRun, m *streamMove, left time.Duration) {
	defer close(m.done)
	if left < minExportTime {
		r.cfg.Log.WithField("request", s.call.RequestID).WithField("left", left.String()).Info("no time for a KV export; prefix is computed again")
		run.cancel(errMoving)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, min(left, maxTransferTime))
	defer cancel()
	kv, err := s.exportKV(ctx, run)
	if err != nil {
		r.cfg.Log.WithError(err).WithField("request", s.call.RequestID).Warn("KV export failed; prefix is computed again")
		run.cancel(errMoving)
		return
	}
	if err := r.cfg.Dispatch.ImportKV(ctx, m.to.endpoint, kv); err != nil {
		r.cfg.Log.WithError(err).WithField("request", s.call.RequestID).Warn("KV import failed; prefix is computed again")
	}
	// The export ends the stream at the engine; this covers an engine that doesn't.
	time.AfterFunc(minExportTime, func() { run.cancel(errMoving) })
}

// exportKV asks again while the request is still on its way to the engine.
func (s *session) exportKV(ctx context.Context, run *engineRun) (*engine.KV, error) {
	ref := engine.AttemptRef{RequestID: s.call.RequestID, AttemptID: run.slot.attempt}
	for {
		kv, err := s.relay.cfg.Dispatch.ExportKV(ctx, run.slot.endpoint, ref)
		if !errors.Is(err, dispatch.ErrNoAttempt) || !s.isCurrent(run) {
			return kv, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(exportRetry):
		}
	}
}

func (s *session) isCurrent(run *engineRun) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine == run
}

func (s *session) currentRun() *engineRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine == nil || s.engine.move != nil {
		return nil
	}
	return s.engine
}

// setMove attaches a move to an attempt that is still in progress.
func (s *session) setMove(run *engineRun, m *streamMove) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine != run || run.move != nil {
		return false
	}
	run.move = m
	return true
}

// endRun closes the current attempt for moves and returns the slot of a move, if there was one.
func (s *session) endRun() (to *slot, moved bool) {
	s.mu.Lock()
	run := s.engine
	s.engine = nil
	s.mu.Unlock()
	if run == nil || run.move == nil {
		return nil, false
	}
	return run.move.take(), true
}
