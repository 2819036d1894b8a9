package clock_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/clock"
)

// Guards against a Wall that drifts from the system's wall clock although that clock was not stepped.
func TestWall_FollowsTimeOfDay(t *testing.T) {
	w := clock.NewWall()
	time.Sleep(20 * time.Millisecond)
	must.Between(t, -10*time.Millisecond, time.Until(w.Now()), 10*time.Millisecond)
}

// Guards against a clock that does not advance.
func TestNow_Advances(t *testing.T) {
	first := clock.Now()
	time.Sleep(5 * time.Millisecond)
	must.True(t, clock.Now().Sub(first) >= 5*time.Millisecond)
}
