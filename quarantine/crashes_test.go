package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/quarantine"
)

// Guards against a request that is repeated on one endpoint after another and crashes each of them.
func TestCrashes_CrashingRequestIsRefused(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	s.Crashed(1, now.Add(-time.Second), now)
	must.False(t, s.IsRefused(1, now))
	s.Crashed(1, now.Add(time.Millisecond), now.Add(100*time.Millisecond)) // the caller repeats it immediately
	must.True(t, s.IsRefused(1, now.Add(4*time.Second)))
	must.False(t, s.IsRefused(2, now.Add(4*time.Second)))
	must.False(t, s.IsRefused(1, now.Add(4*time.Minute)))
}

// Guards against a second crash that is not counted because it is reported before the first one.
func TestCrashes_FoundInReverse(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	must.Eq(t, 1, s.Crashed(1, now.Add(20*time.Millisecond), now.Add(30*time.Millisecond)))
	must.Eq(t, 2, s.Crashed(1, now, now.Add(10*time.Millisecond)))
}

// Guards against refusing a frequent request because it ran on endpoints that were lost together, or on endpoints that
// were lost one after the other while others answered the same request.
func TestCrashes_PopularRequestIsServed(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	for i := range 30 { // the endpoints of a failure domain
		s.Crashed(1, now.Add(-time.Second), now.Add(time.Duration(i)*10*time.Millisecond))
	}
	must.False(t, s.IsRefused(1, now.Add(time.Second)))
	for i := range 10 {
		at := now.Add(time.Duration(i) * 3 * time.Second)
		s.Crashed(1, at.Add(-time.Second), at)
		must.False(t, s.IsRefused(1, at))
		must.Eq(t, 1, s.Answered(1))
	}
	must.Eq(t, 0, s.Answered(1))
}

// Guards against memory that grows with the number of requests that were running during crashes.
func TestCrashes_MemoryIsBounded(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	for fp := range quarantine.Fingerprint(20_000) {
		s.Crashed(fp, now, now)
	}
	for i := range 3 { // not stored: the number of counts is at its bound
		at := now.Add(time.Duration(i) * time.Second)
		s.Crashed(19_999, at, at.Add(time.Millisecond))
	}
	must.False(t, s.IsRefused(19_999, now.Add(2*time.Second)))
	later := now.Add(3 * time.Minute)
	s.Crashed(20_000, later, later)
	s.Crashed(20_000, later.Add(time.Millisecond), later.Add(time.Second))
	must.True(t, s.IsRefused(20_000, later.Add(time.Second)))
}

// Guards against a count that misses the crashes reported by peers, and against adding up reports of the same crash.
func TestCrashes_PeerCountsAreMerged(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	s.MergeCount(1, 1, now)
	s.MergeCount(1, 1, now.Add(time.Millisecond))
	must.False(t, s.IsRefused(1, now.Add(time.Second)))
	must.Eq(t, 2, s.Crashed(1, now.Add(time.Second), now.Add(2*time.Second)))
	must.True(t, s.IsRefused(1, now.Add(2*time.Second)))
}
