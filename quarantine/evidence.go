package quarantine

import (
	"slices"
	"time"
)

// evaluate determines the requests that are refused, the one with the strongest evidence first, since it may explain crashes
// that others are accused of.
func (s *Crashes) evaluate(now time.Time) {
	if now.Before(s.evaluateAt) {
		return
	}
	s.expire(now)
	clear(s.faulty)
	s.evaluateAt = now.Add(CrashTTL)
	for _, c := range s.crashes {
		if settled := c.recordedAt.Add(SettleTime); settled.After(now) && settled.Before(s.evaluateAt) {
			s.evaluateAt = settled
		}
	}
	for {
		best, strength := Fingerprint(0), 0
		for request := range s.requests {
			if n := s.strength(request, now); n > strength || n == strength && n > 0 && request < best {
				best, strength = request, n
			}
		}
		if strength == 0 {
			return
		}
		s.faulty[best] = s.requestRefusal(best)
	}
}

// strength returns how strong the evidence against a request is that is not faulty yet; 0: not strong enough to refuse it.
func (s *Crashes) strength(request Fingerprint, now time.Time) int {
	if _, known := s.faulty[request]; known || len(s.requests[request]) < maxCrashes {
		return 0
	}
	var crashes, alone []*crashRecord
	for _, c := range s.requests[request] {
		if c.accuses(request) && !s.isExplained(c, request) {
			crashes = append(crashes, c)
			if c.isAttributed(now) {
				alone = append(alone, c)
			}
		}
	}
	since := func(c *crashRecord) time.Time { return c.accused[request].Since }
	n := countSeparate(crashes, since)
	switch {
	case countSeparate(alone, since) >= maxCrashes:
		return n + maxCrashRecords // stronger than crashes that others may have caused
	case n >= maxTiedCrashes, n >= maxSharedCrashes && !isTied(crashes, request):
		return n
	}
	return 0
}

// accuses reports whether a request counts as a possible cause. One that the endpoint had begun to answer does if all had begun.
func (c *crashRecord) accuses(request Fingerprint) bool {
	a, ok := c.accused[request]
	if !ok || !a.HadBegun {
		return ok
	}
	for _, other := range c.accused {
		if !other.HadBegun {
			return false
		}
	}
	return true
}

// isAttributed reports whether one request only is accused of the crash, and had not begun.
func (c *crashRecord) isAttributed(now time.Time) bool {
	n := 0
	for _, a := range c.accused {
		if !a.HadBegun {
			n++
		}
	}
	return n == 1 && now.Sub(c.recordedAt) >= SettleTime
}

// isExplained reports whether a faulty request other than the given one may have caused a crash.
func (s *Crashes) isExplained(c *crashRecord, request Fingerprint) bool {
	for other := range c.accused {
		if _, faulty := s.faulty[other]; faulty && other != request && c.accuses(other) {
			return true
		}
	}
	return false
}

// isTied reports whether another request is accused of all of the crashes too.
func isTied(crashes []*crashRecord, request Fingerprint) bool {
	for other := range crashes[0].accused {
		if other != request && !slices.ContainsFunc(crashes, func(c *crashRecord) bool { return !c.accuses(other) }) {
			return true
		}
	}
	return false
}

// countSeparate returns the number of crashes of endpoints that ran after the crash before. since returns when an endpoint ran.
func countSeparate(crashes []*crashRecord, since func(c *crashRecord) time.Time) int {
	slices.SortFunc(crashes, func(a, b *crashRecord) int { return a.at.Compare(b.at) })
	n, last := 0, time.Time{}
	for _, c := range crashes {
		if n == 0 || since(c).After(last) {
			n++
		}
		last = later(last, c.at)
	}
	return n
}

func (s *Crashes) requestRefusal(request Fingerprint) Refusal {
	all := slices.Clone(s.requests[request])
	n := countSeparate(all, func(c *crashRecord) time.Time { return c.accused[request].Since })
	return refusalFor(Subject{ScopeRequest, request}, all, n)
}

func refusalFor(subject Subject, crashes []*crashRecord, n int) Refusal {
	r := Refusal{Subject: subject, Crashes: n}
	for _, c := range crashes {
		r.Latest, r.IsOwn = later(r.Latest, c.at), r.IsOwn || c.isOwn
	}
	return r
}

// familyRefusal returns why a family is refused: other requests of it crash endpoints each time. One that is accused twice
// is judged by itself.
func (s *Crashes) familyRefusal(family Fingerprint) (Refusal, bool) {
	var crashes []*crashRecord
	seen := map[Fingerprint]bool{}
	cleared := s.cleared[Subject{ScopeFamily, family}]
	for _, c := range s.families[family] {
		if !c.at.After(cleared) || s.isExplained(c, 0) {
			continue
		}
		crashes = append(crashes, c)
		for request, a := range c.accused {
			if a.Family == family && seen[request] {
				return Refusal{}, false
			}
			seen[request] = a.Family == family
		}
	}
	n := countSeparate(crashes, func(c *crashRecord) (since time.Time) {
		for _, a := range c.accused {
			if a.Family == family {
				since = later(since, a.Since)
			}
		}
		return since
	})
	return refusalFor(Subject{ScopeFamily, family}, crashes, n), n >= maxFamilyCrashes
}
