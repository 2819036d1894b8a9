package node

import (
	"testing"

	"github.com/shoenig/test/must"
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
