package move

import (
	"fmt"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/config"
)

// Outcome is the final result of a move.
type Outcome string

// Outcomes of a move.
const (
	Done       Outcome = "done"
	RolledBack Outcome = "rolled_back"
	Superseded Outcome = "superseded" // replaced by another move, or by none, before it was decided
)

// Record is the outcome of a move, written once by a conditional create of the object move/<service>/<move id>.
type Record struct {
	Service string    `cbor:"1,keyasint"`
	Move    string    `cbor:"2,keyasint"`
	Outcome Outcome   `cbor:"3,keyasint"`
	Reason  string    `cbor:"4,keyasint"`
	At      time.Time `cbor:"5,keyasint"` // of the decision
	By      string    `cbor:"6,keyasint"` // member that proposed it
}

// tracker is the state of one move at this instance.
type tracker struct {
	service string
	plan    plan
	routes  []*routeEvidence // sorted by name
	assess  assessment
	verdict verdict

	share    float64
	rampTime time.Duration // time spent on the ramp while the evidence was fresh and nothing was suspect

	abortReason  string    // empty: not aborted; never reset
	decided      *Record   // decision of this instance, not recorded yet
	recorded     *Record   // outcome read back from the store
	doneAt       time.Time // decision time of the recorded outcome done, at most the time of its receipt
	proposeAt    time.Time
	readAt       time.Time // next read of the outcome object
	backRead     bool      // the outcome object of the move back has been read
	back         *Record   // outcome of the move back after done
	peerOutcome  Outcome   // outcome that a peer reported, used until the store answers
	unconfigured bool      // removed from the configuration or replaced
}

func newTracker(service string, m *config.Move, routes int, now time.Time) *tracker {
	t := &tracker{service: service, readAt: now}
	t.setPlan(m, routes)
	return t
}

func (t *tracker) setPlan(m *config.Move, routes int) {
	t.plan = newPlan(m)
	span := t.plan.length + t.plan.watchPeriod()
	t.assess.routes = routes
	t.assess.windowLen = t.plan.windowLen()
	t.assess.windows = int(span/t.assess.windowLen) + 1
}

func (t *tracker) id() string { return t.plan.move.ID }

// backID returns the ID of the move back that follows a fault in the watch period.
func (t *tracker) backID() string { return t.id() + "-back" }

func (t *tracker) route(name string) *routeEvidence {
	i, ok := slices.BinarySearchFunc(t.routes, name, func(r *routeEvidence, n string) int {
		switch {
		case r.name < n:
			return -1
		case r.name > n:
			return 1
		}
		return 0
	})
	if !ok {
		t.routes = slices.Insert(t.routes, i, newRouteEvidence(name))
	}
	return t.routes[i]
}

func (t *tracker) observe(now time.Time, r Result) {
	if r.Outcome == Excluded || now.Before(t.plan.move.Start) || t.finished(now) {
		return
	}
	switch r.Version {
	case t.plan.move.From:
		t.route(r.Route).observe(oldSide, r)
	case t.plan.move.To:
		t.route(r.Route).observe(newSide, r)
	}
}

// watching reports whether the move is done and in its watch period, in which the old version is kept.
func (t *tracker) watching(now time.Time) bool {
	return t.doneRecorded() && t.abortReason == "" && now.Before(t.watchEnd())
}

// watchEnd returns when the old version may be removed: after the watch period, and not before the deadline.
func (t *tracker) watchEnd() time.Time {
	end := t.doneAt.Add(t.plan.watchPeriod())
	if end.Before(t.plan.move.Deadline) {
		return t.plan.move.Deadline
	}
	return end
}

func (t *tracker) doneRecorded() bool { return t.recorded != nil && t.recorded.Outcome == Done }

// finished reports whether the outcome is recorded and the move is not in its watch period, so that no evidence can
// change anything any more.
func (t *tracker) finished(now time.Time) bool {
	return t.recorded != nil && !t.watching(now)
}

// setAbort aborts the move and reports whether that changed anything. In the watch period after the outcome done, an
// abort leads to the move back; after the watch period it has no effect.
func (t *tracker) setAbort(now time.Time, reason string) bool {
	if t.abortReason != "" || t.doneRecorded() && !t.watching(now) {
		return false
	}
	t.abortReason = reason
	t.share = 0
	return true
}

// step advances the move and reports whether a fault has aborted it. fresh means that the evidence of the other
// instances is up to date, resumed that this instance was paused and has had no fresh evidence since.
func (t *tracker) step(now time.Time, sinceLast time.Duration, fresh, resumed bool) (aborted bool) {
	if now.Before(t.plan.move.Start) || t.finished(now) {
		return false
	}
	if v, ok := t.assess.update(now, t.routes, t.doneRecorded() || t.share == 1); ok {
		t.verdict = v
	}
	if t.verdict.fault && t.abortReason == "" {
		aborted = t.setAbort(now, t.verdict.reason())
	}
	if t.recorded != nil || t.unconfigured {
		return aborted
	}
	t.decide(now, fresh)
	t.updateShare(now, sinceLast, fresh, resumed)
	return aborted
}

func (v *verdict) reason() string {
	return fmt.Sprintf("%s on route %s worse than on the old version", v.measure, v.route)
}

// updateShare sets the share. It may lower but not raise it without fresh evidence or while the new version is suspect.
func (t *tracker) updateShare(now time.Time, sinceLast time.Duration, fresh, resumed bool) {
	if t.abortReason != "" || resumed {
		t.share = 0
		return
	}
	if t.decided != nil {
		t.share = t.decidedShare()
		return
	}
	if !fresh || t.verdict.suspect {
		return
	}
	if t.verdict.sound || !t.plan.usesDefaultRamp {
		t.rampTime += sinceLast
	}
	elapsed := now.Sub(t.plan.move.Start)
	t.share = max(t.share, t.plan.allowedShare(elapsed, t.rampTime, t.verdict.sound, surveyRoutes(t.routes, elapsed)))
}

// decidedShare returns the share from the decision of this instance until an outcome is recorded.
func (t *tracker) decidedShare() float64 {
	if t.decided.Outcome == Done {
		return 1
	}
	return 0
}

// decide makes the decision of this instance: rolled back as soon as the move is aborted, done at the end of the ramp
// if all routes are sound and nothing is suspect, and otherwise shortly before the deadline. An abort replaces a
// decision that isn't recorded yet.
func (t *tracker) decide(now time.Time, fresh bool) {
	if t.abortReason != "" {
		if t.decided == nil || t.decided.Outcome == Done {
			t.setDecision(now, RolledBack, t.abortReason)
		}
		return
	}
	if t.decided != nil {
		return
	}
	if t.peerOutcome == Done && !now.Before(t.plan.decideAt()) {
		t.setDecision(now, Done, "as another instance reports")
		return
	}
	if fresh && t.verdict.sound && !t.verdict.suspect && t.rampTime >= t.plan.rampTime &&
		t.share >= t.plan.stageShare(t.plan.rampTime) {
		t.setDecision(now, Done, "each route seen enough and no fault found")
		return
	}
	if !now.Before(t.plan.decideAt()) {
		t.decideAtDeadline(now, fresh)
	}
}

// decideAtDeadline decides a move that is undecided shortly before the deadline. An instance without fresh evidence
// waits until a quarter of the time from decideAt to the deadline is left, so that others can decide first.
func (t *tracker) decideAtDeadline(now time.Time, fresh bool) {
	lead := t.plan.move.Deadline.Sub(t.plan.decideAt())
	if !fresh && now.Before(t.plan.move.Deadline.Add(-lead/4)) {
		return
	}
	if !fresh {
		t.setDecision(now, RolledBack, "deadline reached without evidence of the other instances")
		return
	}
	for _, r := range t.routes {
		n := r.total.observed(newSide)
		all := n + r.total.observed(oldSide)
		if all > 0 && !observedEnough(n, all) {
			t.setDecision(now, RolledBack, fmt.Sprintf("deadline reached before route %s was observed", r.name))
			return
		}
	}
	if v := t.assess.testAtDeadline(t.routes); v.fault {
		t.setDecision(now, RolledBack, "deadline reached and "+v.reason())
		return
	}
	t.setDecision(now, Done, "deadline reached, each route observed and no fault found")
}

func (t *tracker) setDecision(now time.Time, o Outcome, reason string) {
	t.decided = &Record{Service: t.service, Move: t.id(), Outcome: o, Reason: reason, At: now}
	t.proposeAt = time.Time{}
}

// setRecorded sets the outcome read from the store, which overrides the decision of this instance. An earlier abort
// still keeps the share at zero: after the outcome done it has the effect of a fault in the watch period.
func (t *tracker) setRecorded(now time.Time, r *Record) {
	if t.recorded != nil {
		return
	}
	t.recorded = r
	t.decided = nil
	t.share = 0
	if r.Outcome != Done {
		return
	}
	t.doneAt = now
	if !r.At.IsZero() && r.At.Before(now) {
		t.doneAt = r.At
	}
	if t.abortReason == "" {
		t.share = 1
	}
	t.readAt = now
}

// setRecordedBack applies the recorded outcome of the move back; r is nil if none is recorded.
func (t *tracker) setRecordedBack(r *Record) {
	t.backRead = true
	if r == nil || t.back != nil {
		return
	}
	t.back = r
	if t.abortReason == "" {
		t.abortReason = r.Reason
	}
	t.share = 0
}

// supersede handles the removal of a move from the configuration. An undecided move is decided as superseded.
func (t *tracker) supersede(now time.Time, reason string) {
	t.unconfigured = true
	t.share = 0
	if t.recorded == nil && t.decided == nil {
		t.setDecision(now, Superseded, reason)
	}
}

// pending returns the record that this instance proposes, or nil if there is nothing to propose.
func (t *tracker) pending(now time.Time) *Record {
	if t.recorded == nil {
		return t.decided
	}
	if t.doneRecorded() && t.abortReason != "" && t.back == nil {
		return &Record{Service: t.service, Move: t.backID(), Outcome: Done, Reason: t.abortReason, At: now}
	}
	return nil
}

// successful reports whether the move is done, by the recorded outcome or else by the decision of this instance, and
// not aborted.
func (t *tracker) successful() bool {
	if t.abortReason != "" {
		return false
	}
	if t.recorded != nil {
		return t.recorded.Outcome == Done
	}
	return t.decided != nil && t.decided.Outcome == Done
}
