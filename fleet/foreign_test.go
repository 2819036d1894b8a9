package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
)

// Guards against an endpoint that counts as idle because its last report is old, and against this instance's own requests
// being counted twice.
func TestStats_ExpectedRunning(t *testing.T) {
	const mean, stay = 4.0, 500 * time.Millisecond
	now := time.Unix(1000, 0)
	var s fleet.Stats
	expected := func(now time.Time) float64 { n, _ := s.ExpectedRunning(mean, stay, now); return n }
	must.Eq(t, mean, expected(now))
	s.Begin(0)
	s.Begin(0)
	must.Eq(t, mean+2, expected(now))
	s.RecordLoad(fleet.Load{Running: 9, Waiting: 3, Slots: 9}, now) // 2 of them are this instance's
	must.Eq(t, 12, expected(now))
	s.End()
	must.Eq(t, 11, expected(now))
	must.Between(t, 9, expected(now.Add(10*time.Second)), 11)
	must.Between(t, mean+1, expected(now.Add(5*time.Minute)), mean+1.1)
	_, fresh := s.ExpectedRunning(mean, stay, now)
	_, old := s.ExpectedRunning(mean, stay, now.Add(time.Second))
	must.Less(t, 0.1, fresh)
	must.Greater(t, 2, old)
}

// Guards against an overloaded endpoint that gets more requests because it does not answer, and against one that is taken
// for silent though nothing waits for it.
func TestStats_Silence(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	var s fleet.Stats
	must.Eq(t, 0, s.Silence(now))
	for _, prefill := range []float64{1000, 400.1} {
		s.Begin(prefill)
		s.AwaitFirst(now)
	}
	must.Eq(t, time.Second, s.Silence(at(time.Second)))
	s.RecordLoad(fleet.Load{Running: 2}, at(time.Second))
	must.Eq(t, 0, s.Silence(at(time.Second)))
	s.RecordPrefilled(1000)
	must.Eq(t, time.Second, s.Silence(at(2*time.Second)))
	s.RecordPrefilled(400.1)
	must.Eq(t, 0, s.Silence(at(3*time.Second)))
}
