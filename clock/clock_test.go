package clock_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/clock"
)

// Guards against a wall clock that drifts from the time of day without a step of it.
func TestWall_FollowsTimeOfDay(t *testing.T) {
	w := clock.NewWall()
	time.Sleep(20 * time.Millisecond)
	must.Between(t, -10*time.Millisecond, time.Until(w.Now()), 10*time.Millisecond)
}

// Guards against a clock that stands still.
func TestNow_Advances(t *testing.T) {
	first := clock.Now()
	time.Sleep(5 * time.Millisecond)
	must.True(t, clock.Now().Sub(first) >= 5*time.Millisecond)
}
