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
	// leavingCheckInterval is the time between checks for streams on leaving endpoints. Notice periods are only seconds
	// long.
	leavingCheckInterval = 50 * time.Millisecond
	// cleanupInterval is the time between removals of state and connections of endpoints that are no longer listed.
	cleanupInterval = 30 * time.Second
	// moveLead is how long before an endpoint leaves its streams are moved. Streams that complete before that need no
	// move.
	moveLead = 5 * time.Second
	// exportMargin is reserved before an endpoint leaves, so that the response to the export still arrives.
	exportMargin = 100 * time.Millisecond
	// minExportTime is the minimum time left for which an export is attempted. With less, the prefix is recomputed.
	minExportTime = 200 * time.Millisecond
	// exportRetryInterval is the time between export requests while the attempt has not reached the engine yet.
	exportRetryInterval = 20 * time.Millisecond
	// maxTransferTime bounds export and import together, during which the caller receives no tokens.
	maxTransferTime = 2 * time.Second
)

// errMoving is the cancellation cause of an attempt whose stream continues at another endpoint.
var errMoving = errors.New("moved to another endpoint")

// streamMove is the move of a stream from a leaving endpoint to another one.
type streamMove struct {
	done     chan struct{}
	target   *slot
	takeOnce sync.Once
}

// awaitTarget waits for the end of the move and returns the slot at the new endpoint. Only the first call gets the
// slot; later calls return nil.
func (m *streamMove) awaitTarget() *slot {
	<-m.done
	var to *slot
	m.takeOnce.Do(func() { to = m.target })
	return to
}

// isLeaving reports whether the departure of an endpoint was announced or the endpoint is no longer listed.
func (r *Relay) isLeaving(service, endpoint string) bool {
	svc, ok := r.cfg.Snapshots().Service(service)
	if !ok {
		return false
	}
	e := findEndpoint(svc, endpoint)
	return e == nil || e.Condition == table.Leaving
}

// watchLeaving periodically moves streams off leaving endpoints and removes state of unlisted ones, until ctx ends.
func (r *Relay) watchLeaving(ctx context.Context) {
	tick, cleanup := time.NewTicker(leavingCheckInterval), time.NewTicker(cleanupInterval)
	defer tick.Stop()
	defer cleanup.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.moveLeaving()
		case <-cleanup.C:
			r.removeUnlisted()
		}
	}
}

// removeUnlisted removes the state and connections of endpoints that are no longer listed.
func (r *Relay) removeUnlisted() {
	r.tracker.removeIdle()
	listed := map[string]bool{}
	for _, svc := range r.cfg.Snapshots().Services {
		for _, e := range svc.Endpoints {
			listed[e.Address] = true
		}
	}
	r.cfg.Dispatch.DropUnused(func(address string) bool { return listed[address] })
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

// moveIfLeaving starts the move of a stream if its endpoint leaves within moveLead and another endpoint is available.
func (r *Relay) moveIfLeaving(s *session, svc *table.Service) {
	run := s.movableRun()
	if run == nil {
		return
	}
	from := findEndpoint(svc, run.slot.endpoint.ID)
	if from == nil || from.Condition != table.Leaving {
		return
	}
	left := time.Until(from.LeaveBy)
	if left > moveLead && !from.LeaveBy.IsZero() {
		return
	}
	to, _ := r.tryAcquire(&endpointSearch{call: s.call, failedEndpoints: map[string]bool{from.ID: true}}, widenAfter)
	if to == nil {
		// The stream continues at the leaving endpoint; the next check tries again.
		return
	}
	m := &streamMove{done: make(chan struct{}), target: to}
	if !s.setMove(run, m) {
		to.release()
		return
	}
	if from.LeaveBy.IsZero() {
		left = maxTransferTime
	}
	go r.move(s, run, m, left-exportMargin)
}

// move transfers the KV cache to the new endpoint if there is enough time, and ends the attempt at the leaving
// endpoint.
func (r *Relay) move(s *session, run *engineRun, m *streamMove, left time.Duration) {
	defer close(m.done)
	if left < minExportTime {
		r.cfg.Log.WithField("request", s.call.RequestID).WithField("left", left.String()).
			Info("too little time for a KV export, the prefix will be recomputed")
		run.cancel(errMoving)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, min(left, maxTransferTime))
	defer cancel()
	kv, err := s.exportKV(ctx, run)
	if err != nil {
		r.cfg.Log.WithError(err).WithField("request", s.call.RequestID).
			Warn("KV export failed, the prefix will be recomputed")
		run.cancel(errMoving)
		return
	}
	if err := r.cfg.Dispatch.ImportKV(ctx, m.target.endpoint, kv); err != nil {
		r.cfg.Log.WithError(err).WithField("request", s.call.RequestID).
			Warn("KV import failed, the prefix will be recomputed")
	}
	// An export ends the stream at the engine. The cancellation covers engines that don't end it.
	time.AfterFunc(minExportTime, func() { run.cancel(errMoving) })
}

// exportKV exports the KV cache of an attempt. It retries while the engine has not received the attempt yet.
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
		case <-time.After(exportRetryInterval):
		}
	}
}

func (s *session) isCurrent(run *engineRun) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.current == run
}

func (s *session) movableRun() *engineRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs.current == nil || s.runs.current.move != nil {
		return nil
	}
	return s.runs.current
}

// setMove attaches a move to an attempt. It returns false if the attempt has ended or already has a move.
func (s *session) setMove(run *engineRun, m *streamMove) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs.current != run || run.move != nil {
		return false
	}
	s.withdraw()
	run.move = m
	return true
}

// closeRun clears an attempt that has ended, so that no move can start, and returns the target slot if a move had
// started.
func (s *session) closeRun(run *engineRun) (to *slot, moved bool) {
	s.mu.Lock()
	if s.runs.current == run {
		s.runs.current = nil
	}
	s.mu.Unlock()
	if run.move == nil {
		return nil, false
	}
	return run.move.awaitTarget(), true
}
