package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/quarantine"
)

// plain returns the identity of a request that is alone in its family.
func plain(n int) quarantine.Identity {
	return quarantine.Identity{Request: quarantine.Fingerprint(n), Family: quarantine.Fingerprint(1_000_000 + n)}
}

// crashed records the crash of an endpoint that ran the given requests, all of which were sent at a time.
func crashed(s *quarantine.Crashes, sent, at time.Time, requests ...quarantine.Identity) {
	r := quarantine.Report{Endpoint: fmt.Sprint("e", at.UnixNano()), At: at}
	for _, id := range requests {
		r.Accused = append(r.Accused, quarantine.Accused{Identity: id, Since: sent})
	}
	s.Record(r, true, at)
}

func isRefused(s *quarantine.Crashes, n int, now time.Time) bool {
	_, refused := s.Refused(plain(n), now)
	return refused
}

// Guards against a request that is repeated on one endpoint after another and crashes each of them.
func TestCrashes_CrashingRequestIsRefused(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	crashed(s, now.Add(-time.Second), now, plain(1))
	must.False(t, isRefused(s, 1, now))
	crashed(s, now.Add(time.Millisecond), now.Add(100*time.Millisecond), plain(1)) // the caller repeats it immediately
	must.True(t, isRefused(s, 1, now.Add(4*time.Second)))
	must.False(t, isRefused(s, 2, now.Add(4*time.Second)))
	must.False(t, isRefused(s, 1, now.Add(4*time.Minute)))
}

// Guards against a second crash that is not counted because it is reported before the first one.
func TestCrashes_FoundInReverse(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	crashed(s, now.Add(20*time.Millisecond), now.Add(30*time.Millisecond), plain(1))
	must.False(t, isRefused(s, 1, now.Add(time.Second)))
	crashed(s, now, now.Add(10*time.Millisecond), plain(1))
	must.True(t, isRefused(s, 1, now.Add(time.Second)))
}

// Guards against refusing a frequent request because it ran on endpoints that were lost together, or on endpoints that
// were lost one after the other while others answered the same request.
func TestCrashes_PopularRequestIsServed(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	for i := range 30 { // the endpoints of a failure domain
		crashed(s, now.Add(-time.Second), now.Add(time.Duration(i)*10*time.Millisecond), plain(1))
	}
	must.False(t, isRefused(s, 1, now.Add(time.Second)))
	for i := range 10 {
		at := now.Add(time.Duration(i) * 3 * time.Second)
		crashed(s, at.Add(-time.Second), at, plain(1))
		must.False(t, isRefused(s, 1, at.Add(time.Second)))
		answered, _ := s.Answered(plain(1), at.Add(time.Second))
		must.True(t, answered)
	}
	answered, _ := s.Answered(plain(1), now.Add(time.Minute))
	must.False(t, answered)
}

// Guards against memory that grows with the crashes and the requests that were running during them, and against a long
// determination of what is refused.
func TestCrashes_MemoryIsBounded(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	for i := range 1000 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		var ids []quarantine.Identity
		for k := range 100 {
			ids = append(ids, plain(1000*i+k))
		}
		crashed(s, at, at.Add(time.Millisecond), ids...)
	}
	must.LessEq(t, 512*100, s.Len())
	var many []quarantine.Identity
	for k := range 5000 {
		many = append(many, plain(2_000_000+k))
	}
	later := now.Add(3 * time.Minute)
	crashed(s, later, later, many...)
	must.LessEq(t, 1024, s.Len())
	crashed(s, later, later.Add(time.Second), plain(1))
	crashed(s, later.Add(2*time.Second), later.Add(3*time.Second), plain(1))
	must.True(t, isRefused(s, 1, later.Add(4*time.Second)))
}

// Guards against a crash that counts twice because several instances report it, and against crashes that are missed because
// two instances have seen one each.
func TestCrashes_ReportsOfPeers(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	report := func(endpoint string, at time.Duration, request int) {
		s.Record(quarantine.Report{Endpoint: endpoint, At: now.Add(at), Accused: []quarantine.Accused{{Identity: plain(request), Since: now.Add(at - time.Millisecond)}}}, false, now.Add(at))
	}
	report("e1", 0, 1)
	report("e1", 20*time.Millisecond, 1)
	must.False(t, isRefused(s, 1, now.Add(time.Second)))
	report("e2", 10*time.Millisecond, 1)
	must.True(t, isRefused(s, 1, now.Add(time.Second)))
	r, _ := s.Refused(plain(1), now.Add(time.Second))
	must.False(t, r.IsOwn)
	must.Eq(t, 2, r.Crashes)
}

// Guards against a harmless request that is refused because it was on endpoints that another one crashed, and against a deadly
// one that is not refused because others always run beside it. Each step is a crash a second after the one before, or the answer
// to a request; a negative number is a request that its endpoint had begun to answer.
func TestCrashes_RequestsBeside(t *testing.T) {
	for name, c := range map[string]struct {
		crashes  [][]int
		answered map[int]int // by request: the crash before its answer
		refused  []int
		served   []int
	}{
		"twice, alone once":               {crashes: [][]int{{1}, {1, 2}}, served: []int{1, 2}},
		"four times, alone once":          {crashes: [][]int{{1}, {1, 2}, {1, 3}, {1, 4}}, refused: []int{1}, served: []int{2, 3, 4}},
		"the reports of others are lost":  {crashes: [][]int{{1, 2}, {2}, {1}, {1}}, refused: []int{1}, served: []int{2}},
		"twice, beside others":            {crashes: [][]int{{1, 2}, {1, 3}}, served: []int{1, 2, 3}},
		"three times, beside others":      {crashes: [][]int{{1, 2}, {1, 3}, {1, 2}}, served: []int{1, 2, 3}},
		"four times, beside others":       {crashes: [][]int{{1, 2}, {1, 3}, {1, 2}, {1, 3}}, refused: []int{1}, served: []int{2, 3}},
		"beside two deadly ones":          {crashes: [][]int{{1, 3}, {2, 3}, {1, 3}}, served: []int{1, 2, 3}},
		"beside an answered one":          {crashes: [][]int{{1, 2}, {1, 2}}, answered: map[int]int{2: 1}, refused: []int{1}, served: []int{2}},
		"two that can't be told apart":    {crashes: [][]int{{1, 2}, {1, 2}, {1, 2}}, served: []int{1, 2}},
		"told apart later":                {crashes: [][]int{{1, 2}, {1, 2}, {1, 2}, {1}, {1}}, refused: []int{1}, served: []int{2}},
		"explained by a faulty one":       {crashes: [][]int{{1}, {1}, {1, 2, 3}, {1, 2}}, refused: []int{1}, served: []int{2, 3}},
		"two faulty ones":                 {crashes: [][]int{{1}, {2}, {1, 3}, {2, 3}, {1}, {2}}, refused: []int{1, 2}, served: []int{3}},
		"beside generations":              {crashes: [][]int{{1, -2}, {1, -2, -3}}, refused: []int{1}, served: []int{2, 3}},
		"a generation":                    {crashes: [][]int{{-1}, {-1}}, served: []int{1}},
		"generations that crash each one": {crashes: [][]int{{-1}, {-1, -2}, {-1, -3}, {-1}}, refused: []int{1}, served: []int{2, 3}},
		"an answer in between":            {crashes: [][]int{{1}, {1}}, answered: map[int]int{1: 0}, served: []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
			for i, crash := range c.crashes {
				at := now.Add(time.Duration(i) * time.Second)
				r := quarantine.Report{Endpoint: fmt.Sprint("e", i), At: at}
				for _, n := range crash {
					r.Accused = append(r.Accused, quarantine.Accused{Identity: plain(max(n, -n)), Since: at.Add(-time.Millisecond), HadBegun: n < 0})
				}
				s.Record(r, true, at)
				for n, after := range c.answered {
					if after == i {
						s.Answered(plain(n), at.Add(500*time.Millisecond))
					}
				}
			}
			end := now.Add(time.Duration(len(c.crashes)) * time.Second)
			for _, n := range c.refused {
				must.True(t, isRefused(s, n, end), must.Sprint(n))
			}
			for _, n := range c.served {
				must.False(t, isRefused(s, n, end), must.Sprint(n))
			}
		})
	}
}

// Guards against a refusal before the reports of the other instances, which say what else was on the endpoint, have arrived.
func TestCrashes_AwaitsReports(t *testing.T) {
	s, now := quarantine.NewCrashes(), time.Unix(1000, 0)
	crashed(s, now.Add(-time.Second), now, plain(1))
	second := now.Add(2 * time.Second)
	crashed(s, now.Add(time.Second), second, plain(1))
	must.False(t, isRefused(s, 1, second.Add(quarantine.SettleTime/2)))
	must.True(t, isRefused(s, 1, second.Add(quarantine.SettleTime)))
	crashed(s, now.Add(time.Second), second, plain(3)) // the same crash, as another instance saw it
	must.False(t, isRefused(s, 1, second.Add(quarantine.SettleTime)))
}

// family returns the identity of the request with a number in one family.
func family(n int) quarantine.Identity {
	return quarantine.Identity{Request: quarantine.Fingerprint(n), Family: 7_000_000}
}

// Guards against a deadly request that is never refused because its caller adds a time to it, against harmless ones that differ
// from a deadly one in a header or the query and are refused with it, and against a family that stays refused although its
// endpoints failed for another reason.
func TestCrashes_Families(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	crash := func(s *quarantine.Crashes, seconds float64, requests ...int) {
		var ids []quarantine.Identity
		for _, n := range requests {
			ids = append(ids, family(n))
		}
		crashed(s, at(seconds-0.1), at(seconds), ids...)
	}
	refused := func(s *quarantine.Crashes, n int, seconds float64) bool {
		r, refused := s.Refused(family(n), at(seconds))
		must.True(t, !refused || r.Until().After(at(seconds)))
		return refused
	}
	const fp = 7_000_000
	t.Run("each one differs", func(t *testing.T) {
		s := quarantine.NewCrashes()
		for n := range 3 {
			must.False(t, refused(s, 9, float64(n)))
			crash(s, float64(n), n+1)
		}
		must.True(t, refused(s, 9, 3))
		must.False(t, s.BeginProbe(fp, at(10)))
		must.True(t, s.BeginProbe(fp, at(18)))
		must.False(t, s.BeginProbe(fp, at(18)))
		crash(s, 18.1, 9)
		must.False(t, s.BeginProbe(fp, at(60)))
		must.True(t, refused(s, 10, 60))
		must.False(t, refused(s, 10, 140))
	})
	t.Run("one is deadly", func(t *testing.T) {
		s := quarantine.NewCrashes()
		for n := range 4 {
			crash(s, float64(n), 1, 20+n) // another one of the family ran beside it
		}
		must.True(t, refused(s, 1, 5))
		must.False(t, refused(s, 9, 5))
		must.False(t, refused(s, 20, 5))
	})
	t.Run("a probe is answered", func(t *testing.T) {
		s := quarantine.NewCrashes()
		for n := range 3 {
			crash(s, float64(n), n+1)
		}
		must.True(t, refused(s, 9, 3))
		_, had := s.Answered(family(9), at(20))
		must.True(t, had)
		must.False(t, refused(s, 10, 20))
	})
	t.Run("an answer in between", func(t *testing.T) {
		s := quarantine.NewCrashes()
		crash(s, 0, 1)
		crash(s, 1, 2)
		must.True(t, s.FamilyAnswered(fp, at(1.5)))
		must.False(t, s.FamilyAnswered(fp, at(1.6)))
		crash(s, 2, 3)
		must.False(t, refused(s, 9, 3))
	})
	t.Run("lost together", func(t *testing.T) {
		s := quarantine.NewCrashes()
		for n := range 9 {
			crash(s, float64(n)/100, n+1)
		}
		must.False(t, refused(s, 10, 1))
	})
}

// Guards against crashes from before an answer that count because their report arrives after that of the answer, and against
// a refusal that an answer from before the crashes ends.
func TestCrashes_AnswersInAnyOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, subject := range []quarantine.Subject{{Scope: quarantine.ScopeRequest, Fingerprint: 1}, {Scope: quarantine.ScopeFamily, Fingerprint: 7_000_000}} {
		first := func(s *quarantine.Crashes, from int) {
			for k := range 3 {
				n := 1
				if subject.Scope == quarantine.ScopeFamily {
					n += from + k // another one each time
				}
				at := now.Add(time.Duration(from+k) * time.Second)
				crashed(s, at.Add(-time.Millisecond), at, family(n))
			}
		}
		refused := func(s *quarantine.Crashes, at int) bool {
			_, refused := s.Refused(family(1), now.Add(time.Duration(at)*time.Second))
			return refused
		}
		s := quarantine.NewCrashes()
		s.MergeAnswered(subject, now.Add(3*time.Second))
		first(s, 0)
		must.False(t, refused(s, 5))
		first(s, 6)
		must.True(t, refused(s, 10))
		s.MergeAnswered(subject, now.Add(5*time.Second))
		must.True(t, refused(s, 10))
		s.MergeAnswered(subject, now.Add(9*time.Second))
		must.False(t, refused(s, 10))
	}
}

// Guards against a stored refusal that begins anew, outlives an answer, or replaces a later one.
func TestCrashes_StoredRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quarantine.NewCrashes()
	subject := quarantine.Subject{Scope: quarantine.ScopeRequest, Fingerprint: 1}
	s.RefuseStored(quarantine.Refusal{Subject: subject, Crashes: 2, Latest: now})
	s.RefuseStored(quarantine.Refusal{Subject: subject, Crashes: 2, Latest: now.Add(-time.Second)})
	must.True(t, s.Any())
	must.True(t, isRefused(s, 1, now.Add(quarantine.CrashTTL-time.Millisecond)))
	must.False(t, isRefused(s, 1, now.Add(quarantine.CrashTTL)))
	must.SliceLen(t, 1, s.AllRefused(now))
	s.MergeAnswered(subject, now.Add(time.Second))
	must.False(t, isRefused(s, 1, now.Add(2*time.Second)))
	s.RefuseStored(quarantine.Refusal{Subject: subject, Crashes: 2, Latest: now}) // read from an older copy
	must.False(t, isRefused(s, 1, now.Add(2*time.Second)))
}

// Guards against harmless requests that stay refused, and a deadly one that is not refused, over random mixes of requests that
// come again and share endpoints, as several instances see them.
func TestCrashes_RandomMixes(t *testing.T) {
	const deadly = 1
	for seed := range uint64(200) {
		rng, now := rand.New(rand.NewPCG(seed, 0)), time.Unix(1000, 0)
		s := quarantine.NewCrashes()
		crashes, wrong := 0, 0
		for range 40 {
			now = now.Add(time.Second)
			if isRefused(s, deadly, now) {
				break
			}
			must.Less(t, 8, crashes, must.Sprint("seed ", seed))
			crashes++
			var beside []quarantine.Identity
			for n := 2; n < 12; n++ {
				switch {
				case isRefused(s, n, now):
					wrong++
				case rng.IntN(4) == 0:
					beside = append(beside, plain(n))
				case rng.IntN(4) == 0:
					s.Answered(plain(n), now)
				}
			}
			crashed(s, now, now.Add(time.Millisecond), append(beside, plain(deadly))...)
		}
		must.Zero(t, wrong, must.Sprint("seed ", seed))
		for n := 2; n < 12; n++ {
			must.False(t, isRefused(s, n, now.Add(time.Second)), must.Sprint("seed ", seed, " request ", n))
		}
	}
}
