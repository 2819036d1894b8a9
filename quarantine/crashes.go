package quarantine

import (
	"sync"
	"time"
)

const (
	// maxCrashes is the number of crashes after which a request is refused. The requirement allows three, and another
	// instance may already be running the request for the third time when the second crash is counted.
	maxCrashes = 2
	// CrashTTL is how long a crash counts. A request that was on crashed endpoints only by chance is served again
	// after it.
	CrashTTL = 2 * time.Minute
	// sweepInterval is the least time between sweeps for expired counts, so that a burst of crashes doesn't cause one
	// sweep per crash.
	sweepInterval = 10 * time.Second
	// maxCounted bounds the number of requests with crashes and so their memory, 100 bytes each.
	maxCounted = 10_000
)

// Crashes counts the endpoint crashes for each fingerprint of the requests that were running. The count restarts when a
// request with the fingerprint is answered. It is meant for engines that run dozens of requests at once, where suspects
// can't be isolated as Table requires. It is safe for concurrent use.
type Crashes struct {
	mu     sync.Mutex
	counts map[Fingerprint]*crashCount
	swept  time.Time // when old counts were last dropped
}

type crashCount struct {
	count       int
	first, last time.Time // first: when the request of the last counted crash was sent; last: time of the latest crash
}

// NewCrashes returns an empty count.
func NewCrashes() *Crashes { return &Crashes{counts: map[Fingerprint]*crashCount{}} }

// Any reports whether any request has crashes. While none has, callers needn't compute fingerprints.
func (s *Crashes) Any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.counts) > 0
}

// Len returns the number of requests with crashes.
func (s *Crashes) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.counts)
}

// IsRefused reports whether requests with the fingerprint are refused because of their crashes.
func (s *Crashes) IsRefused(fp Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.counts[fp]
	return k != nil && Refuses(k.count) && now.Sub(k.last) < CrashTTL
}

// Crashed counts the crash of an endpoint at the time at, while it ran a request that was sent to it at the time sent,
// and returns the new count. Crashes of endpoints that ran the request at the same time count once, because endpoints
// can be lost together. The crashes may be reported in any order.
func (s *Crashes) Crashed(fp Fingerprint, sent, at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.countFor(fp, at)
	if k.count == 0 || sent.After(k.last) || at.Before(k.first) {
		k.count++
		k.first = sent
	}
	k.last = later(k.last, at)
	return k.count
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// MergeCount sets the count of a fingerprint to that of a peer, whose latest crash was at the time at, if the peer's is
// higher. It reports whether it was.
func (s *Crashes) MergeCount(fp Fingerprint, count int, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.countFor(fp, at)
	if count <= k.count {
		return false
	}
	k.count, k.first, k.last = count, at, at
	return true
}

// countFor returns the count of a fingerprint, a new one if it has none. While maxCounted counts are stored, a new one
// is returned but not stored. The caller must hold s.mu.
func (s *Crashes) countFor(fp Fingerprint, now time.Time) *crashCount {
	k := s.counts[fp]
	if k != nil && now.Sub(k.last) < CrashTTL {
		return k
	}
	if now.Sub(s.swept) >= sweepInterval {
		s.expire(now)
	}
	k = &crashCount{last: now}
	if len(s.counts) < maxCounted {
		s.counts[fp] = k
	}
	return k
}

// Answered drops the crashes of a request that an endpoint has answered, and returns how many there were.
func (s *Crashes) Answered(fp Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.counts[fp]
	if k == nil {
		return 0
	}
	delete(s.counts, fp)
	return k.count
}

// Refuses reports whether requests with the given number of crashes are refused.
func Refuses(crashes int) bool { return crashes >= maxCrashes }

// expire drops the counts whose last crash is older than CrashTTL. The caller must hold s.mu.
func (s *Crashes) expire(now time.Time) {
	s.swept = now
	for fp, k := range s.counts {
		if now.Sub(k.last) >= CrashTTL {
			delete(s.counts, fp)
		}
	}
}
