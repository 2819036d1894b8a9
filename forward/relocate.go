package forward

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/routing"
	"github.com/trefoillug/trefoillug/upstream"
)

// ErrNotRunning means that the endpoint does not run the request, or not yet.
var ErrNotRunning = errors.New("the endpoint does not run the request")

const (
	// moveLead is how long before the end of a leaving endpoint its runs are moved. Runs that finish earlier need no
	// move; a move takes a few milliseconds for each run that is moved at the same time.
	moveLead = 1100 * time.Millisecond
	// moveJitter is the interval over which the moves of an endpoint's runs are spread.
	moveJitter = 250 * time.Millisecond
	// assumedStay is how long a leaving endpoint with an unknown end is assumed to stay: the least that the platform
	// grants.
	assumedStay = 2 * time.Second
	// moveCallTimeout bounds one call of Mover.Move. The run has stopped while its answer is awaited: a sound endpoint may
	// fall silent for a second or so, and callers give a stream up after two seconds without an event at the earliest.
	moveCallTimeout = 2 * time.Second
	// moveRetryDelay is the pause before another try to move a run that had not begun or for which no endpoint had
	// capacity.
	moveRetryDelay = 120 * time.Millisecond
	// maxMoveRejections bounds the rejections after which a moved run is offered to an endpoint again.
	maxMoveRejections = 3
	// maxRunSearches bounds the searches for a run that may have stopped, in case its endpoint refers to it again and again.
	maxRunSearches = 3
)

// moveResult says where a moved run continues.
type moveResult struct {
	from       *fleet.Endpoint
	to         *fleet.Endpoint
	ref        string // see Mover.Move
	rejections int    // attempts to continue the run that an endpoint has rejected, or that reached none
	unreached  bool   // to was not reached
}

// afterRejection returns the move with one more rejection, and nil if the run is to be given up. unreached means that the
// endpoint was not reached. m may be nil.
func (m *moveResult) afterRejection(unreached bool) *moveResult {
	if m == nil || m.rejections >= maxMoveRejections {
		return nil
	}
	again := *m
	again.rejections++
	again.unreached = again.unreached || unreached
	return &again
}

// giveUpMove gives up a moved run. It was not counted as long as it was to continue.
func (r *exchange) giveUpMove() {
	r.pendingMove = nil
	r.runs++
}

// endpoint returns where the run continues at a time. The endpoint that has stopped it keeps its memory, and gets it back
// if the other one was not reached, wants no requests, or is in an evacuated zone. It returns nil if both are.
func (m *moveResult) endpoint(now time.Time) *fleet.Endpoint {
	switch {
	case m.to.IsEvacuated() && m.from.IsEvacuated():
		return nil
	case m.to.IsEvacuated():
		return m.from
	case m.from.IsEvacuated():
		return m.to
	case m.unreached:
		return m.from
	}
	if !m.to.PausedUntil(now).IsZero() && m.from.PausedUntil(now).IsZero() {
		return m.from
	}
	return m.to
}

// errUnconfirmedEnd is the end of an answer that only its connection marks, after a call that may have stopped the run.
var errUnconfirmedEnd = errors.New("the answer ended with its connection, and its run may have been stopped for a move")

// errNoReference means that a move has succeeded without telling where the run continues.
var errNoReference = errors.New("the answer to a move has no reference to the run")

// relocation moves a run away from an endpoint that leaves.
type relocation struct {
	from   *fleet.Endpoint
	cancel context.CancelFunc // stops further calls, but not the current one
	abort  context.CancelFunc // ends the current call
	done   chan struct{}      // closed when no further call will be made
	begin  func()             // allows calls

	mu      sync.Mutex
	ended   bool // no call may begin any more
	calling bool // a call of the mover is in progress
	// unconfirmed is set for good by a call whose outcome does not show whether the run goes on. A later answer does not
	// show it either: such a call may be carried out late, and an endpoint may not know a run any more that it has stopped.
	unconfirmed bool
	last        moveOutcome // of the latest call
	moved       *moveResult
}

// relocate watches the endpoint of a run and moves the run before the endpoint ends. The caller must call begin once the
// head of the answer has arrived, and end. Before that, an endpoint at which a stopped run continues would still refer to the
// memory that the attempt is about to use.
func (r *exchange) relocate(ctx context.Context, e *fleet.Endpoint) *relocation {
	l := &relocation{from: e, done: make(chan struct{}), unconfirmed: r.unconfirmed[e], cancel: func() {}, abort: func() {}, begin: func() {}}
	if r.f.cfg.Mover == nil || r.service.Engine == nil || !r.service.Engine.Moves || r.route.Kind != routing.Streaming {
		close(l.done)
		return l
	}
	// The calls must not be canceled with the stream, which ends before their answers arrive.
	calls, abort := context.WithCancel(context.WithoutCancel(ctx))
	ctx, cancel := context.WithCancel(ctx)
	l.cancel, l.abort = cancel, abort
	begun := make(chan struct{})
	l.begin = sync.OnceFunc(func() { close(begun) })
	if r.pendingMove == nil || r.pendingMove.from != e {
		l.begin()
	}
	go func() {
		defer close(l.done)
		for _, ready := range []<-chan struct{}{begun, e.Leaving()} {
			select {
			case <-ready:
			case <-ctx.Done():
				return
			}
		}
		l.moveBeforeEnd(ctx, calls, r)
	}()
	return l
}

// isCalling reports whether the run is being moved.
func (l *relocation) isCalling() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calling
}

// result ends the watch and returns where the run continues, or nil if it was not moved. It waits for a call in progress,
// since the stream ends before the answer to the call arrives.
func (l *relocation) result() *moveResult {
	l.mu.Lock()
	l.ended = true
	calling := l.calling
	l.mu.Unlock()
	l.cancel()
	if calling {
		<-l.done
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.moved
}

// isUnconfirmed reports whether a call may have stopped the run without an answer that says so. It waits like result.
func (l *relocation) isUnconfirmed() bool {
	l.result()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unconfirmed
}

// end ends the attempt at the endpoint and returns where the run continues, or nil.
func (l *relocation) end(ctx context.Context, r *exchange, out *outcome) *moveResult {
	defer l.abort()
	if out.delivered {
		l.abort() // the answer is complete, so that its end need not wait for the call
	}
	moved := l.result()
	if !l.isUnconfirmed() {
		return moved
	}
	if r.unconfirmed == nil {
		r.unconfirmed = map[*fleet.Endpoint]bool{}
	}
	r.unconfirmed[l.from] = true
	if moved == nil && out.end == lost && !(r.route.MayRepeat() && r.runs+1 < r.maxRuns()) {
		return l.findRun(ctx, r)
	}
	return moved
}

// findRun repeats the call for a run that has ended and may not run again: the endpoint keeps the memory of a run that
// it has stopped.
func (l *relocation) findRun(ctx context.Context, r *exchange) *moveResult {
	if r.runSearches++; r.runSearches > maxRunSearches {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, moveCallTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if l.moveOnce(ctx, r) {
			return l.moved
		}
		if l.last == runNotThere || l.last == moveNotSent {
			return nil
		}
		pause(ctx, moveRetryDelay)
	}
	return nil
}

// endReader reads an answer whose end only its connection marks. It returns errUnconfirmedEnd for an end that may be that
// of a stopped run.
type endReader struct {
	io.Reader
	move    *relocation
	metrics *Metrics
}

// Read implements io.Reader.
func (e *endReader) Read(b []byte) (int, error) {
	n, err := e.Reader.Read(b)
	switch {
	case err != io.EOF:
		return n, err
	case n > 0:
		return n, nil // the end is judged after the bytes before it were relayed
	case e.move.result() != nil:
		return 0, errUnconfirmedEnd
	case e.move.isUnconfirmed():
		e.metrics.countUnconfirmedEnd()
		return 0, errUnconfirmedEnd
	}
	return 0, io.EOF
}

// moveBeforeEnd makes calls, which end with the context calls, until the run has stopped or ctx is done.
func (l *relocation) moveBeforeEnd(ctx, calls context.Context, r *exchange) {
	from := l.from
	end := expectedEnd(from, time.Now())
	wait := time.Until(end) - moveLead + time.Duration(routing.HashFraction(r.req.ID)*float64(moveJitter))
	for ctx.Err() == nil && time.Now().Before(end.Add(moveLead)) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(0, wait)):
		}
		wait = moveRetryDelay
		if until := from.PausedUntil(time.Now()); !until.IsZero() {
			wait = time.Until(until)
			continue
		}
		if !l.beginCall() {
			return
		}
		stopped := l.moveOnce(calls, r)
		l.endCall()
		if stopped {
			return
		}
	}
}

// expectedEnd returns when a leaving endpoint is expected to end. One that says with its answers that it is leaving may
// have begun to leave at any time since the last answer that did not say so.
func expectedEnd(from *fleet.Endpoint, now time.Time) time.Time {
	end := from.LeavesAt()
	if !end.IsZero() {
		return end
	}
	begun := from.LeavingSince()
	if begun.IsZero() {
		return now.Add(assumedStay)
	}
	end = begun.Add(assumedStay)
	if earliest := now.Add(moveLead); end.Before(earliest) {
		return earliest
	}
	return end
}

// maxMoveTargets bounds the endpoints to which one stopped run is offered.
const maxMoveTargets = 3

// moveOnce offers the run to other endpoints and reports whether it has stopped and its result is set. Once the run has
// stopped it must continue somewhere, at its own endpoint if no other has capacity.
func (l *relocation) moveOnce(ctx context.Context, r *exchange) bool {
	from := l.from
	ref := ""
	for rounds := 0; ; rounds++ {
		to, got := l.offerRun(ctx, r, from, ref)
		if to != nil {
			l.setResult(&moveResult{from: from, to: to, ref: got})
			return true
		}
		if ref = got; ref == "" {
			return false
		}
		// In an evacuated zone the run must not continue where it has stopped.
		if !from.IsEvacuated() || rounds == maxMoveRejections {
			break
		}
		pause(ctx, moveRetryDelay)
	}
	l.setResult(&moveResult{from: from, to: from, ref: ref})
	return true
}

// offerRun offers the run to other endpoints. ref is not empty if the run has stopped before. It returns the endpoint that has
// taken the run, or nil; without a reference the run goes on.
func (l *relocation) offerRun(ctx context.Context, r *exchange, from *fleet.Endpoint, ref string) (*fleet.Endpoint, string) {
	tried := []*fleet.Endpoint{from}
	for range maxMoveTargets {
		to := r.f.pickMoveTarget(r, tried)
		if to == nil || ref != "" && !from.PausedUntil(time.Now()).IsZero() {
			break
		}
		tried = append(tried, to)
		got, err := l.callMover(ctx, r, from, to)
		if err == nil {
			return to, got
		}
		if got != "" {
			ref = got
		}
		if ref == "" {
			break
		}
	}
	return nil, ref
}

func (l *relocation) setResult(m *moveResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moved = m
}

// callMover makes one call of the mover. A reference that comes with an error means that the run has stopped.
func (l *relocation) callMover(ctx context.Context, r *exchange, from, to *fleet.Endpoint) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, moveCallTimeout)
	defer cancel()
	to.Stats.Begin(0)
	defer to.Stats.End()
	ref, err := r.f.cfg.Mover.Move(ctx, r.req.ID, from, to)
	if err == nil && ref == "" {
		err = errNoReference
	}
	l.recordCall(r, from, to, ref, err)
	return ref, err
}

// moveOutcome says what a call of the mover shows about the run.
type moveOutcome string

const (
	runMoved      moveOutcome = "moved"       // it has stopped, and another endpoint has its memory
	runStopped    moveOutcome = "stopped"     // it has stopped, and only its endpoint has its memory
	runNotThere   moveOutcome = "not_running" // the call has not stopped it
	moveNotSent   moveOutcome = "not_sent"    // the call has not stopped it
	moveUncertain moveOutcome = "unknown"     // it may have stopped
)

// outcomeOfMove returns what a call of the mover shows.
func outcomeOfMove(ref string, err error) moveOutcome {
	var failed *upstream.Error
	switch {
	case err == nil:
		return runMoved
	case ref != "":
		return runStopped
	case errors.Is(err, ErrNotRunning):
		return runNotThere
	case errors.As(err, &failed) && !failed.Sent:
		return moveNotSent
	}
	return moveUncertain
}

// recordCall records the outcome of a call of the mover.
func (l *relocation) recordCall(r *exchange, from, to *fleet.Endpoint, ref string, err error) {
	outcome := outcomeOfMove(ref, err)
	l.mu.Lock()
	l.last = outcome
	l.unconfirmed = l.unconfirmed || outcome == moveUncertain
	unconfirmed := l.unconfirmed
	l.mu.Unlock()
	r.f.cfg.Metrics.countMove(outcome)
	log := r.log.WithFields(logrus.Fields{"endpoint": from.ID, "to": to.ID})
	switch {
	case outcome == runMoved:
		log.Info("run moved from a leaving endpoint")
	case outcome != runNotThere || unconfirmed:
		log.WithError(err).WithFields(logrus.Fields{"outcome": string(outcome), "unconfirmed": unconfirmed}).Info("run not moved from a leaving endpoint")
	}
}

// beginCall reports whether a call may begin: the answer has not ended.
func (l *relocation) beginCall() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calling = !l.ended
	return l.calling
}

func (l *relocation) endCall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calling = false
}

// pickMoveTarget picks the endpoint that a run is moved to. tried[0] is the endpoint that runs it.
func (f *Forwarder) pickMoveTarget(r *exchange, tried []*fleet.Endpoint) *fleet.Endpoint {
	now := time.Now()
	var others, ramping []*fleet.Endpoint
	for _, e := range r.inRegion(f.cfg.Fleet.Service(r.service.Name)) {
		switch {
		case slices.Contains(tried, e) || e.Version != tried[0].Version || e.AcceptsAt(now).After(now):
		case r.isCold(e, now) && !r.hasPermit(e, now):
		case e.IsRamping(), r.isCold(e, now):
			ramping = append(ramping, e)
		default:
			others = append(others, e)
		}
	}
	if len(others) == 0 {
		others = ramping
	}
	p := r.prompt()
	p.Blocks = nil // the KV cache moves with the run, so prompts cached elsewhere don't matter
	return f.bestOf(p, others, nil)
}
