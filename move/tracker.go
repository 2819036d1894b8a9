package move

import (
	"fmt"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/config"
)

// Outcome is how a move is settled.
type Outcome string

// Outcomes of a move.
const (
	Done       Outcome = "done"
	RolledBack Outcome = "rolled_back"
	Superseded Outcome = "superseded" // another move or none was published before it was decided
)

// Record is the settlement of a move, written once by a conditional create of move/<service>/<move id>.
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

	share float64
	clock time.Duration // time on the ramp with good evidence

	abort     string    // reason; sticky; empty: none
	decided   *Record   // own decision, not yet recorded
	recorded  *Record   // outcome read back from the store
	doneAt    time.Time // when the recorded outcome done became known here
	proposeAt time.Time
	readAt    time.Time // next read of the outcome object
	backRead  bool      // the outcome object of the move back has been read
	back      *Record   // recorded move back after done
	hint      Outcome   // a peer's outcome, used only until the store answers
	closing   bool      // no longer in the configuration
}

func newTracker(service string, m *config.Move, routes int, now time.Time) *tracker {
	t := &tracker{service: service, readAt: now}
	t.setPlan(m, routes)
	return t
}

func (t *tracker) setPlan(m *config.Move, routes int) {
	t.plan = newPlan(m)
	span := t.plan.length + t.plan.watch()
	t.assess.routes = routes
	t.assess.windowLen = t.plan.window()
	t.assess.windows = int(span/t.assess.windowLen) + 1
}

func (t *tracker) id() string { return t.plan.move.ID }

// backID names the move back that follows a fault in the watch period.
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

// watching reports whether the move is done and the old version still held.
func (t *tracker) watching(now time.Time) bool {
	return t.doneRecorded() && t.abort == "" && now.Before(t.watchEnd())
}

// watchEnd is when the old version may go: after the watch period, and not before the deadline.
func (t *tracker) watchEnd() time.Time {
	end := t.doneAt.Add(t.plan.watch())
	if end.Before(t.plan.move.Deadline) {
		return t.plan.move.Deadline
	}
	return end
}

func (t *tracker) doneRecorded() bool { return t.recorded != nil && t.recorded.Outcome == Done }

// finished reports that no evidence can change anything any more.
func (t *tracker) finished(now time.Time) bool {
	return t.recorded != nil && !t.watching(now)
}

// setAbort stops the move for good. An abort known after the outcome done starts the move back while the old version
// is held, and changes nothing afterwards.
func (t *tracker) setAbort(now time.Time, reason string) bool {
	if t.abort != "" || t.doneRecorded() && !t.watching(now) {
		return false
	}
	t.abort = reason
	t.share = 0
	return true
}

// step advances the move. fresh says that evidence of the other instances is up to date, woken that this instance
// stood still and has not heard from them since.
func (t *tracker) step(now time.Time, passed time.Duration, fresh, woken bool) (aborted bool) {
	if now.Before(t.plan.move.Start) || t.finished(now) {
		return false
	}
	if v, ok := t.assess.update(now, t.routes, t.doneRecorded() || t.share == 1); ok {
		t.verdict = v
	}
	if t.verdict.fault && t.abort == "" {
		aborted = t.setAbort(now, t.verdict.reason())
	}
	if t.recorded != nil || t.closing {
		return aborted
	}
	t.decide(now, fresh)
	t.raise(now, passed, fresh, woken)
	return aborted
}

func (v *verdict) reason() string {
	return fmt.Sprintf("%s on route %s worse than on the old version", v.measure, v.route)
}

// raise sets the share. Without fresh evidence, and while the version is suspect, it may fall but not rise.
func (t *tracker) raise(now time.Time, passed time.Duration, fresh, woken bool) {
	if t.abort != "" || woken {
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
	if t.verdict.sound || !t.plan.ramped {
		t.clock += passed
	}
	elapsed := now.Sub(t.plan.move.Start)
	t.share = max(t.share, t.plan.share(elapsed, t.clock, t.verdict.sound, survey(t.routes, elapsed)))
}

// decidedShare is the share between the own decision and the recorded one.
func (t *tracker) decidedShare() float64 {
	if t.decided.Outcome == Done {
		return 1
	}
	return 0
}

// decide takes the own decision: rolled back on an abort at once, done at the end of a ramp with good evidence, and
// otherwise at the deadline. An abort replaces an own decision that isn't recorded yet.
func (t *tracker) decide(now time.Time, fresh bool) {
	if t.abort != "" {
		if t.decided == nil || t.decided.Outcome == Done {
			t.resolve(now, RolledBack, t.abort)
		}
		return
	}
	if t.decided != nil {
		return
	}
	if t.hint == Done && !now.Before(t.plan.decideAt()) {
		t.resolve(now, Done, "as another instance reports")
		return
	}
	if fresh && t.verdict.sound && !t.verdict.suspect && t.clock >= t.plan.total && t.share >= t.plan.stage(t.plan.total) {
		t.resolve(now, Done, "each route seen enough and no fault found")
		return
	}
	if !now.Before(t.plan.decideAt()) {
		t.close(now, fresh)
	}
}

// close decides an open move at the deadline. An instance without fresh evidence first leaves the decision to others.
func (t *tracker) close(now time.Time, fresh bool) {
	lead := t.plan.move.Deadline.Sub(t.plan.decideAt())
	if !fresh && now.Before(t.plan.move.Deadline.Add(-lead/4)) {
		return
	}
	if !fresh {
		t.resolve(now, RolledBack, "deadline reached without evidence of the other instances")
		return
	}
	for _, r := range t.routes {
		n := r.total.observed(newSide)
		all := n + r.total.observed(oldSide)
		if all > 0 && !observedEnough(n, all) {
			t.resolve(now, RolledBack, fmt.Sprintf("deadline reached before route %s was observed", r.name))
			return
		}
	}
	if v := t.assess.closing(t.routes); v.fault {
		t.resolve(now, RolledBack, "deadline reached and "+v.reason())
		return
	}
	t.resolve(now, Done, "deadline reached, each route observed and no fault found")
}

func (t *tracker) resolve(now time.Time, o Outcome, reason string) {
	t.decided = &Record{Service: t.service, Move: t.id(), Outcome: o, Reason: reason, At: now}
	t.proposeAt = time.Time{}
}

// record takes over the outcome read back from the store, which overrides the own decision. An abort known here
// still keeps the share at zero: after the outcome done it counts as a fault in the watch period.
func (t *tracker) record(now time.Time, r *Record) {
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
	if t.abort == "" {
		t.share = 1
	}
	t.readAt = now
}

// recordBack takes over the recorded move back.
func (t *tracker) recordBack(r *Record) {
	t.backRead = true
	if r == nil || t.back != nil {
		return
	}
	t.back = r
	if t.abort == "" {
		t.abort = r.Reason
	}
	t.share = 0
}

// supersede settles a move that left the configuration undecided.
func (t *tracker) supersede(now time.Time, reason string) {
	t.closing = true
	t.share = 0
	if t.recorded == nil && t.decided == nil {
		t.resolve(now, Superseded, reason)
	}
}

// pending returns the settlement that this instance proposes.
func (t *tracker) pending(now time.Time) *Record {
	if t.recorded == nil {
		return t.decided
	}
	if t.doneRecorded() && t.abort != "" && t.back == nil {
		return &Record{Service: t.service, Move: t.backID(), Outcome: Done, Reason: t.abort, At: now}
	}
	return nil
}

// successful reports whether the new version is the one to serve after the move.
func (t *tracker) successful() bool {
	if t.abort != "" {
		return false
	}
	if t.recorded != nil {
		return t.recorded.Outcome == Done
	}
	return t.decided != nil && t.decided.Outcome == Done
}
