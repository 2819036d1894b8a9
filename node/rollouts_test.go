package node

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/trefoillug/trefoillug/clock"
	"github.com/trefoillug/trefoillug/era"
	"github.com/trefoillug/trefoillug/feed"
)

// Guards against requests that are refused after a start, until the first tick, because they go to the old version of a
// complete rollout, whose endpoints have stopped.
func TestRollouts_VersionBeforeFirstTick(t *testing.T) {
	for state, want := range map[RolloutState]bool{
		RolloutNew: false, RolloutInProgress: false, RolloutComplete: true, RolloutReverted: false,
	} {
		r := newRollouts(&Node{})
		r.orders["s"] = Rollout{Service: "s", Target: "v2", State: state}
		version, isTarget, moving := r.Version("s", "id")
		must.Eq(t, "v2", version)
		must.Eq(t, want, isTarget, must.Sprint(state))
		must.True(t, moving)
	}
}

// rolloutRecorder records the states that are written for rollouts.
type rolloutRecorder chan Rollout

func (r rolloutRecorder) Record(_ context.Context, o Rollout) error {
	r <- o
	return nil
}

// Guards against a rollout that begins again after it was decided, because a restored store has forgotten the decision or
// contains an earlier order until the operator writes the latest one again.
func TestRollouts_StoreForgetsDecision(t *testing.T) {
	const ramp = 10 * time.Second
	decided := Rollout{Service: "s", Target: "v3", Ramp: ramp, Revision: 20, Order: 18, State: RolloutReverted, Reason: "failures"}
	earlier := Rollout{Service: "s", Target: "v2", Ramp: ramp, Revision: 9, Order: 8, State: RolloutComplete}
	again := func(revision uint64, state RolloutState) Rollout {
		return Rollout{Service: "s", Target: "v3", Ramp: ramp, Revision: revision, Order: revision, State: state}
	}
	undecided := decided
	undecided.Revision, undecided.State = 19, RolloutInProgress
	for name, c := range map[string]struct {
		before, after []Rollout // as the store shows them
		isKept        bool
	}{
		"status_is_older":         {[]Rollout{decided}, []Rollout{undecided}, true},
		"written_again":           {[]Rollout{decided}, []Rollout{again(12, RolloutNew)}, true},
		"earlier_order_meanwhile": {[]Rollout{earlier, decided}, []Rollout{earlier, again(12, RolloutNew)}, true},
		"another_ramp":            {[]Rollout{decided}, []Rollout{{Service: "s", Target: "v3", Ramp: 2 * ramp, Revision: 12, Order: 12}}, false},
		"ordered_again_before":    {[]Rollout{decided, earlier}, []Rollout{again(12, RolloutNew)}, false},
		"ordered_again_after":     {[]Rollout{decided}, []Rollout{earlier, again(11, RolloutReverted), earlier, again(14, RolloutNew)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			recorded := make(rolloutRecorder, 10)
			var shown Rollout
			log, _ := test.NewNullLogger()
			n := &Node{log: log, metrics: newMetrics(), eras: era.NewTracker(), wall: clock.NewWall(), platform: Platform{
				Rollouts: recorded, DecodeRollout: func(feed.Object) (Rollout, error) { return shown, nil },
			}}
			r := newRollouts(n)
			show := func(orders []Rollout) {
				for _, shown = range orders {
					r.Apply(feed.Event{Object: feed.Object{Name: "s", Revision: shown.Revision, Era: n.eras.Number()}}, true)
				}
			}
			show(c.before)
			n.eras.Restored(0, era.CauseRevisions)
			show(c.after)
			last := c.after[len(c.after)-1]
			r.mu.Lock()
			state := r.orders["s"].State
			r.mu.Unlock()
			if !c.isKept {
				must.Eq(t, last.State, state)
				return
			}
			must.Eq(t, RolloutReverted, state)
			written := <-recorded
			must.Eq(t, RolloutReverted, written.State)
			must.Eq(t, last.Revision, written.Revision)
			must.Eq(t, decided.Reason, written.Reason)
			r.mu.Lock()
			defer r.mu.Unlock()
			now := n.wall.Now()
			must.SliceEmpty(t, r.repeatForgotten(now.Add(forgottenRetry/2)))
			repeated := r.repeatForgotten(now.Add(2 * forgottenRetry))
			must.Len(t, 1, repeated)
			must.Eq(t, RolloutReverted, repeated[0].State)
		})
	}
}
