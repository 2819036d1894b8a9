package quarantine

import (
	"sync"
	"time"
)

const (
	// maxCrashes is the number of crashes after which a request is refused. The requirement allows three, and another
	// instance may already be running the request for the third time when the second crash is counted.
	maxCrashes = 2
	// maxSharedCrashes is that number if other requests may have caused each of the crashes. A harmless request that was
	// repeated on the same endpoint as the deadly one has two crashes like it, and is answered when it comes again.
	maxSharedCrashes = 3
	// maxFamilyCrashes is the number of requests of a family that have crashed an endpoint one after the other, with no
	// answer to any request of the family in between, after which all of them are refused.
	maxFamilyCrashes = 3
	// familyProbeDelay is the time after the latest crash of a family that is refused after which one of its requests may be
	// let through, since endpoints that failed for other reasons can't answer any. Each further crash makes the time
	// probeBackoff times as long.
	familyProbeDelay = 15 * time.Second
	// CrashTTL is how long a crash counts. A request that was on crashed endpoints only by chance is served again
	// after it.
	CrashTTL = 2 * time.Minute
	// sweepInterval is the least time between sweeps for expired counts, so that a burst of crashes doesn't cause one
	// sweep per crash.
	sweepInterval = 10 * time.Second
	// maxCounted bounds the number of requests, and that of families, with crashes and so their memory, 100 bytes each.
	maxCounted = 10_000
)

// Scope is what a count of crashes is about.
type Scope string

// Scopes of counts.
const (
	ScopeRequest Scope = "request" // the fingerprint is Identity.Request
	ScopeFamily  Scope = "family"  // the fingerprint is Identity.Family
)

// Count is what is known of the crashes of a request or a family. Of two counts the one with more crashes holds.
type Count struct {
	Crashes int
	// Attributed is set if no other request can have caused one of the crashes. It is always set for families.
	Attributed bool
}

// Refuses reports whether requests are refused because of a count.
func (c Count) Refuses(scope Scope) bool {
	switch {
	case scope == ScopeFamily:
		return c.Crashes >= maxFamilyCrashes
	case c.Attributed:
		return c.Crashes >= maxCrashes
	}
	return c.Crashes >= maxSharedCrashes
}

// Refusal says why and until when a request is refused.
type Refusal struct {
	Scope   Scope
	Crashes int
	Until   time.Time
}

// Crash describes a crash of an endpoint to the requests that it ran.
type Crash struct {
	// Since is a time at which the endpoint ran, as late as is known. Crashes of endpoints that ran at the same time count
	// once, because endpoints can be lost together.
	Since time.Time
	At    time.Time
	// Attributed is set if no other request can have caused the crash.
	Attributed bool
}

// Crashes counts the endpoint crashes for each request that was running, and for each family of requests the requests
// that crashed an endpoint. The counts restart when the request, or one of the family, is answered. It is meant for engines
// that run dozens of requests at once, where suspects can't be isolated as Table requires. It is safe for concurrent use.
type Crashes struct {
	mu       sync.Mutex
	requests map[Fingerprint]*crashCount
	families map[Fingerprint]*crashCount
	answered map[Fingerprint]time.Time // by family that had crashes: when one of its requests was last answered
	swept    time.Time                 // when old counts were last dropped
}

type crashCount struct {
	Count
	first, last time.Time // first: Crash.Since of the last counted crash; last: time of the latest crash
	probed      time.Time // when a request of a refused family was last let through
}

// NewCrashes returns an empty count.
func NewCrashes() *Crashes {
	return &Crashes{requests: map[Fingerprint]*crashCount{}, families: map[Fingerprint]*crashCount{}, answered: map[Fingerprint]time.Time{}}
}

// Any reports whether any request has crashes. While none has, callers needn't compute identities.
func (s *Crashes) Any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests) > 0 || len(s.families) > 0
}

// Len returns the number of requests with crashes.
func (s *Crashes) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// IsSuspect reports whether a request has crashed an endpoint.
func (s *Crashes) IsSuspect(id Identity, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id.Request].isCurrent(now)
}

// Refused returns why a request is refused because of its crashes or those of its family, and false if it is not.
func (s *Crashes) Refused(id Identity, now time.Time) (Refusal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.requests[id.Request]; k.isCurrent(now) && k.Refuses(ScopeRequest) {
		return k.refusal(ScopeRequest), true
	}
	if k := s.families[id.Family]; k.isCurrent(now) && k.Refuses(ScopeFamily) {
		return k.refusal(ScopeFamily), true
	}
	return Refusal{}, false
}

func (k *crashCount) isCurrent(now time.Time) bool { return k != nil && now.Sub(k.last) < CrashTTL }

func (k *crashCount) refusal(scope Scope) Refusal {
	return Refusal{Scope: scope, Crashes: k.Crashes, Until: k.last.Add(CrashTTL)}
}

// StoredCount is the count of a request or family that is refused.
type StoredCount struct {
	Scope       Scope
	Fingerprint Fingerprint
	Count
	Latest time.Time // time of the latest crash
}

// AllRefused returns the counts because of which requests are refused.
func (s *Crashes) AllRefused(now time.Time) []StoredCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []StoredCount
	for scope, counts := range map[Scope]map[Fingerprint]*crashCount{ScopeRequest: s.requests, ScopeFamily: s.families} {
		for fp, k := range counts {
			if k.isCurrent(now) && k.Refuses(scope) {
				all = append(all, StoredCount{scope, fp, k.Count, k.last})
			}
		}
	}
	return all
}

// IsProbeDue reports whether a request of a refused family may be let through, as one that shows whether the family still
// crashes endpoints. Of all instances, one should do so.
func (s *Crashes) IsProbeDue(family Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.families[family].isProbeDue(now)
}

// BeginProbe records that a request of a refused family is let through, and returns false if none is due.
func (s *Crashes) BeginProbe(family Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.families[family]
	if !k.isProbeDue(now) {
		return false
	}
	k.probed = now
	return true
}

func (k *crashCount) isProbeDue(now time.Time) bool {
	if !k.isCurrent(now) || !k.Refuses(ScopeFamily) {
		return false
	}
	delay := familyProbeDelay
	for range min(k.Crashes, maxCounted) - maxFamilyCrashes {
		if delay *= probeBackoff; delay >= CrashTTL {
			break
		}
	}
	return now.Sub(later(k.last, k.probed)) >= delay
}

// Crashed counts the crash of an endpoint for a request that it ran, and returns the new counts of the request and of its
// family. The crashes may be reported in any order.
func (s *Crashes) Crashed(id Identity, c Crash) (request, family Count) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.countFor(s.requests, id.Request, c.At)
	isFirst := k.Crashes == 0
	k.add(c)
	f := s.countFor(s.families, id.Family, c.At)
	if isFirst {
		// A request that crashes several endpoints says nothing of the others of its family.
		c.Attributed = true
		f.add(c)
	}
	return k.Count, f.Count
}

func (k *crashCount) add(c Crash) {
	if k.Crashes == 0 || c.Since.After(k.last) || c.At.Before(k.first) {
		k.Crashes++
		k.first = c.Since
		k.Attributed = k.Attributed || c.Attributed
	}
	k.last = later(k.last, c.At)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// MergeRequest sets the count of a request to that of a peer, whose latest crash was at the time at, if the peer's is
// higher.
func (s *Crashes) MergeRequest(request Fingerprint, c Count, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(s.requests, request, c, at)
}

// MergeFamily is MergeRequest for a family. It ignores crashes from before an answer to a request of the family: unlike
// those of a request, reports on a family come from several instances and may arrive in any order.
func (s *Crashes) MergeFamily(family Fingerprint, c Count, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.answered[family]) {
		s.merge(s.families, family, c, at)
	}
}

func (s *Crashes) merge(counts map[Fingerprint]*crashCount, fp Fingerprint, c Count, at time.Time) {
	if c.Crashes <= 0 {
		return
	}
	k := s.countFor(counts, fp, at)
	if c.Crashes < k.Crashes {
		return
	}
	k.Attributed = k.Attributed || c.Attributed
	if c.Crashes > k.Crashes {
		k.Crashes, k.first, k.last = c.Crashes, at, at
	}
}

// countFor returns the count of a fingerprint, a new one if it has none. While maxCounted counts are stored, a new one
// is returned but not stored. The caller must hold s.mu.
func (s *Crashes) countFor(counts map[Fingerprint]*crashCount, fp Fingerprint, now time.Time) *crashCount {
	k := counts[fp]
	if k.isCurrent(now) {
		return k
	}
	if now.Sub(s.swept) >= sweepInterval {
		s.expire(now)
	}
	k = &crashCount{last: now}
	if len(counts) < maxCounted || counts[fp] != nil {
		counts[fp] = k
	}
	return k
}

// Answered drops the crashes of a request that an endpoint has answered and those of its family, and returns what they were.
func (s *Crashes) Answered(id Identity, now time.Time) (request, family Count) {
	return s.RequestAnswered(id.Request), s.FamilyAnswered(id.Family, now)
}

// RequestAnswered drops the crashes of a request that an endpoint has answered, and returns what they were.
func (s *Crashes) RequestAnswered(request Fingerprint) Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.requests[request]
	if k == nil {
		return Count{}
	}
	delete(s.requests, request)
	return k.Count
}

// FamilyAnswered drops the crashes of a family of which an endpoint has answered a request, or begun to, and returns what they
// were.
func (s *Crashes) FamilyAnswered(family Fingerprint, now time.Time) Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.families[family]
	if k == nil {
		return Count{}
	}
	delete(s.families, family)
	s.recordAnswered(family, now)
	return k.Count
}

// MergeFamilyAnswered is FamilyAnswered for a report of a peer, whose time of the answer is at. Later crashes stay.
func (s *Crashes) MergeFamilyAnswered(family Fingerprint, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.families[family]; k != nil && !k.last.After(at) {
		delete(s.families, family)
	}
	s.recordAnswered(family, at)
}

func (s *Crashes) recordAnswered(family Fingerprint, at time.Time) {
	if len(s.answered) < maxCounted {
		s.answered[family] = later(s.answered[family], at)
	}
}

// expire drops the counts whose last crash is older than CrashTTL. The caller must hold s.mu.
func (s *Crashes) expire(now time.Time) {
	s.swept = now
	for _, counts := range []map[Fingerprint]*crashCount{s.requests, s.families} {
		for fp, k := range counts {
			if !k.isCurrent(now) {
				delete(counts, fp)
			}
		}
	}
	for fp, at := range s.answered {
		if now.Sub(at) >= CrashTTL {
			delete(s.answered, fp)
		}
	}
}
