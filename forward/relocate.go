package forward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/routing"
)

// ErrNoRun means that the endpoint does not run the request, or not yet.
var ErrNoRun = errors.New("the endpoint does not run the request")

const (
	// moveLead is the time before the end of a leaving endpoint at which its runs are moved. What ends before needs no
	// move; a move takes some milliseconds for each run that is moved at the same time.
	moveLead = 1100 * time.Millisecond
	// moveSpread spreads the moves of an endpoint's runs.
	moveSpread = 250 * time.Millisecond
	// unknownStay is the time that an endpoint of unknown end is expected to stay: the least that the platform grants.
	unknownStay = 2 * time.Second
	// moveTime bounds one call of a move.
	moveTime = 800 * time.Millisecond
	// moveRetry is the pause before a run that had not begun, or found no room, is tried again.
	moveRetry = 120 * time.Millisecond
)

// moved tells where a run goes on.
type moved struct {
	to  *fleet.Endpoint
	ref string
}

// relocation moves a run away from an endpoint that leaves.
type relocation struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when the outcome is settled

	mu      sync.Mutex
	calling bool // a call of the mover is in progress
	moved   *moved
}

// relocate watches the endpoint of a run and moves the run before the endpoint ends. stop must be called.
func (r *run) relocate(ctx context.Context, e *fleet.Endpoint) (rel *relocation, stop func()) {
	rel = &relocation{done: make(chan struct{})}
	if r.f.cfg.Mover == nil || r.service.Engine == nil || !r.service.Engine.Moves {
		close(rel.done)
		return rel, func() {}
	}
	ctx, rel.cancel = context.WithCancel(ctx)
	go func() {
		defer close(rel.done)
		select {
		case <-e.Leaving():
			rel.run(ctx, r, e)
		case <-ctx.Done():
		}
	}()
	return rel, rel.cancel
}

// result returns where the run goes on, or nil. While a call is in progress it waits for its outcome, since the stream
// ends before the answer to the call arrives.
func (l *relocation) result() *moved {
	l.mu.Lock()
	calling := l.calling
	l.mu.Unlock()
	if calling {
		l.cancel() // no further tries; the call itself goes on
		<-l.done
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.moved
}

func (l *relocation) run(ctx context.Context, r *run, from *fleet.Endpoint) {
	end := from.LeavesAt()
	if end.IsZero() {
		end = time.Now().Add(unknownStay)
	}
	wait := time.Until(end) - moveLead + time.Duration(routing.Draw(r.req.ID)*float64(moveSpread))
	for ctx.Err() == nil && time.Now().Before(end.Add(moveLead)) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(0, wait)):
		}
		wait = moveRetry
		if l.try(ctx, r, from) {
			return
		}
	}
}

// maxTargets bounds the endpoints to which one stopped run is offered.
const maxTargets = 3

// try offers the run to other endpoints and reports whether the matter is settled. Once the run has stopped it must go
// on somewhere, at its own endpoint if no other has room.
func (l *relocation) try(ctx context.Context, r *run, from *fleet.Endpoint) bool {
	l.setCalling(true)
	defer l.setCalling(false)
	// The calls outlive the stream, which ends before their answers.
	ctx = context.WithoutCancel(ctx)
	tried := []*fleet.Endpoint{from}
	ref := ""
	for range maxTargets {
		to := r.f.target(r, tried)
		if to == nil {
			break
		}
		tried = append(tried, to)
		got, err := l.call(ctx, r, from, to)
		if err == nil {
			l.settle(&moved{to: to, ref: got})
			return true
		}
		if ref = got; ref == "" {
			return false
		}
	}
	if ref == "" {
		return false
	}
	l.settle(&moved{to: from, ref: ref})
	return true
}

func (l *relocation) settle(m *moved) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moved = m
}

// call makes one call of the mover. A reference that comes with an error means that the run has stopped.
func (l *relocation) call(ctx context.Context, r *run, from, to *fleet.Endpoint) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, moveTime)
	defer cancel()
	to.Live.Begin(0)
	defer to.Live.End()
	ref, err := r.f.cfg.Mover.Move(ctx, r.req.ID, from, to)
	log := r.log.WithFields(logrus.Fields{"endpoint": from.ID, "to": to.ID})
	switch {
	case err == nil:
		log.Info("run moved from a leaving endpoint")
	case !errors.Is(err, ErrNoRun):
		log.WithError(err).WithField("stopped", ref != "").Info("run not moved from a leaving endpoint")
	}
	return ref, err
}

func (l *relocation) setCalling(calling bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calling = calling
}

// target picks the endpoint that a run is moved to. The first of those tried is the one that runs it.
func (f *Forwarder) target(r *run, tried []*fleet.Endpoint) *fleet.Endpoint {
	var others []*fleet.Endpoint
	for _, e := range f.cfg.Fleet.Service(r.service.Name) {
		if !slices.Contains(tried, e) && e.Version == tried[0].Version {
			others = append(others, e)
		}
	}
	p := r.prompt()
	p.Parts = nil // the memory comes along, so caches do not matter
	return f.bestOf(p, others, nil)
}
