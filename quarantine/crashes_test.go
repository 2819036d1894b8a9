package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/quarantine"
)

// plain returns the identity of a request that is alone in its family.
func plain(n int) quarantine.Identity {
	return quarantine.Identity{Request: quarantine.Fingerprint(n), Family: quarantine.Fingerprint(1_000_000 + n)}
}

// crashed counts the crash of an endpoint that ran the request alone, and returns the number of its crashes.
func crashed(s *quarantine.Crashes, n int, since, at time.Time) int {
	c, _ := s.Crashed(plain(n), quarantine.Crash{Since: since, At: at, Attributed: true})
	return c.Crashes
}

func isRefused(s *quarantine.Crashes, n int, now time.Time) bool {
	_, refused := s.Refused(plain(n), now)
	return refused
}

// Guards against a request that is repeated on one endpoint after another and crashes each of them.
func TestCrashes_CrashingRequestIsRefused(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	crashed(s, 1, now.Add(-time.Second), now)
	must.False(t, isRefused(s, 1, now))
	crashed(s, 1, now.Add(time.Millisecond), now.Add(100*time.Millisecond)) // the caller repeats it immediately
	must.True(t, isRefused(s, 1, now.Add(4*time.Second)))
	must.False(t, isRefused(s, 2, now.Add(4*time.Second)))
	must.False(t, isRefused(s, 1, now.Add(4*time.Minute)))
}

// Guards against a second crash that is not counted because it is reported before the first one.
func TestCrashes_FoundInReverse(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	must.Eq(t, 1, crashed(s, 1, now.Add(20*time.Millisecond), now.Add(30*time.Millisecond)))
	must.Eq(t, 2, crashed(s, 1, now, now.Add(10*time.Millisecond)))
}

// Guards against refusing a frequent request because it ran on endpoints that were lost together, or on endpoints that
// were lost one after the other while others answered the same request.
func TestCrashes_PopularRequestIsServed(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	for i := range 30 { // the endpoints of a failure domain
		crashed(s, 1, now.Add(-time.Second), now.Add(time.Duration(i)*10*time.Millisecond))
	}
	must.False(t, isRefused(s, 1, now.Add(time.Second)))
	for i := range 10 {
		at := now.Add(time.Duration(i) * 3 * time.Second)
		crashed(s, 1, at.Add(-time.Second), at)
		must.False(t, isRefused(s, 1, at))
		answered, _ := s.Answered(plain(1), at)
		must.Eq(t, 1, answered.Crashes)
	}
	answered, _ := s.Answered(plain(1), now)
	must.Eq(t, 0, answered.Crashes)
}

// Guards against memory that grows with the number of requests that were running during crashes.
func TestCrashes_MemoryIsBounded(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	for fp := range 20_000 {
		crashed(s, fp, now, now)
	}
	for i := range 3 { // not stored: the number of counts is at its bound
		at := now.Add(time.Duration(i) * time.Second)
		crashed(s, 19_999, at, at.Add(time.Millisecond))
	}
	must.False(t, isRefused(s, 19_999, now.Add(2*time.Second)))
	later := now.Add(3 * time.Minute)
	crashed(s, 20_000, later, later)
	crashed(s, 20_000, later.Add(time.Millisecond), later.Add(time.Second))
	must.True(t, isRefused(s, 20_000, later.Add(time.Second)))
}

// Guards against a count that misses the crashes reported by peers, and against adding up reports of the same crash.
func TestCrashes_PeerCountsAreMerged(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	s.MergeRequest(1, quarantine.Count{Crashes: 1, Attributed: true}, now)
	s.MergeRequest(1, quarantine.Count{Crashes: 1, Attributed: true}, now.Add(time.Millisecond))
	must.False(t, isRefused(s, 1, now.Add(time.Second)))
	must.Eq(t, 2, crashed(s, 1, now.Add(time.Second), now.Add(2*time.Second)))
	must.True(t, isRefused(s, 1, now.Add(2*time.Second)))
}

// Guards against a harmless request that is refused because it was repeated on the endpoint that the deadly one, repeated as
// well, crashed next, and against a deadly one that is never refused because others always run beside it.
func TestCrashes_SharedCrashes(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	for i := range 3 {
		for _, n := range []int{1, 2} {
			must.False(t, isRefused(s, n, now))
			sent := now.Add(time.Duration(2*i) * time.Second)
			s.Crashed(plain(n), quarantine.Crash{Since: sent, At: sent.Add(time.Second)})
		}
		if i == 1 {
			s.Answered(plain(2), now.Add(3*time.Second)) // it came again
		}
	}
	must.True(t, isRefused(s, 1, now.Add(6*time.Second)))
	must.False(t, isRefused(s, 2, now.Add(6*time.Second)))
	s.Crashed(plain(2), quarantine.Crash{Since: now.Add(7 * time.Second), At: now.Add(8 * time.Second), Attributed: true})
	must.True(t, isRefused(s, 2, now.Add(8*time.Second)))
}

// family returns the identity of the request with a number in one family.
func family(n int) quarantine.Identity {
	return quarantine.Identity{Request: quarantine.Fingerprint(n), Family: 7}
}

// Guards against a deadly request that is never refused because its caller adds a time to it, against harmless ones that differ
// from a deadly one in a header or the query and are refused with it, and against a family that stays refused although its
// endpoints failed for another reason.
func TestCrashes_Families(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	crash := func(s *quarantine.Crashes, n int, seconds float64) {
		s.Crashed(family(n), quarantine.Crash{Since: at(seconds - 0.1), At: at(seconds), Attributed: true})
	}
	refused := func(s *quarantine.Crashes, n int, seconds float64) bool {
		r, refused := s.Refused(family(n), at(seconds))
		must.True(t, !refused || r.Until.After(at(seconds)))
		return refused
	}
	t.Run("each one differs", func(t *testing.T) {
		s := quarantine.NewCrashes()
		for n := range 3 {
			must.False(t, refused(s, 9, float64(n)))
			crash(s, n, float64(n))
		}
		must.True(t, refused(s, 9, 3))
		must.False(t, s.BeginProbe(7, at(10)))
		must.True(t, s.BeginProbe(7, at(18)))
		must.False(t, s.BeginProbe(7, at(18)))
		crash(s, 9, 18.1)
		must.False(t, s.BeginProbe(7, at(60)))
		must.True(t, refused(s, 10, 60))
		must.False(t, refused(s, 10, 140))
	})
	t.Run("one is deadly", func(t *testing.T) {
		s := quarantine.NewCrashes()
		for n := range 4 {
			crash(s, 1, float64(n))
			crash(s, 20+n, float64(n)) // ran beside it
			s.FamilyAnswered(7, at(float64(n)+0.5))
		}
		must.True(t, refused(s, 1, 5))
		must.False(t, refused(s, 9, 5))
	})
	t.Run("a probe is answered", func(t *testing.T) {
		s := quarantine.NewCrashes()
		for n := range 3 {
			crash(s, n, float64(n))
		}
		must.True(t, refused(s, 9, 3))
		s.Answered(family(9), at(20))
		must.False(t, refused(s, 10, 20))
	})
	t.Run("lost together", func(t *testing.T) {
		s := quarantine.NewCrashes()
		for n := range 9 {
			crash(s, n, float64(n)/100)
		}
		must.False(t, refused(s, 10, 1))
	})
}

// Guards against crashes from before an answer that count because their report arrives after that of the answer, and against
// a refusal that a late report prolongs.
func TestCrashes_ReportsInAnyOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	three := quarantine.Count{Crashes: 3, Attributed: true}
	s := quarantine.NewCrashes()
	s.MergeFamilyAnswered(7, now.Add(time.Second))
	s.MergeFamily(7, three, now)
	_, refused := s.Refused(family(1), now.Add(2*time.Second))
	must.False(t, refused)
	s.MergeFamily(7, three, now.Add(2*time.Second))
	s.MergeFamily(7, three, now.Add(10*time.Second)) // the same count
	r, refused := s.Refused(family(1), now.Add(10*time.Second))
	must.True(t, refused)
	must.Eq(t, now.Add(2*time.Second+quarantine.CrashTTL), r.Until)
	s.MergeFamilyAnswered(7, now.Add(time.Second))
	_, refused = s.Refused(family(1), now.Add(10*time.Second))
	must.True(t, refused)
}
