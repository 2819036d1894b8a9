package quarantine

import (
	"sync"
	"time"
)

const (
	// maxCrashes is the number of crashes after which a request is refused: the users allow three, and the third may be
	// under way at another instance when the second one is known.
	maxCrashes = 2
	// CrashLife is how long a crash counts. Requests that are taken for crashing by chance are served again after it.
	CrashLife = 2 * time.Minute
	// sweepInterval keeps a burst of crashes from looking through all counts for each of them.
	sweepInterval = 10 * time.Second
	// maxCounted bounds the memory for requests with crashes, 100 bytes each.
	maxCounted = 10_000
)

// Crashes counts the crashes in which a request took part since a request with the same content was last answered. It
// serves engines that run dozens of requests at once, where a suspect can't run alone as Table has it. It is safe for
// concurrent use.
type Crashes struct {
	mu      sync.Mutex
	counted map[Fingerprint]*crashCount
	swept   time.Time // when old counts were last dropped
}

type crashCount struct {
	count       int
	first, last time.Time // from the sending of the request to the crash that was counted last
}

// NewCrashes returns an empty count.
func NewCrashes() *Crashes { return &Crashes{counted: map[Fingerprint]*crashCount{}} }

// Any reports whether any request has crashes. It spares the others their fingerprint.
func (s *Crashes) Any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.counted) > 0
}

// IsRefused reports whether requests with the fingerprint may run no more.
func (s *Crashes) IsRefused(fp Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.counted[fp]
	return k != nil && k.count >= maxCrashes && now.Sub(k.last) < CrashLife
}

// Crashed counts the crash, at a time, of an endpoint to which a request had been sent, and returns the count. Crashes of
// endpoints that ran it at the same time count once: they were lost together. They may be found in any order.
func (s *Crashes) Crashed(fp Fingerprint, sent, at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.entry(fp, at)
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

// Raise takes over the count of a peer.
func (s *Crashes) Raise(fp Fingerprint, count int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.entry(fp, now); count > k.count {
		k.count, k.first, k.last = count, now, now
	}
}

// entry returns the crashes of a fingerprint; while the count is full, some that are not kept. It needs s.mu.
func (s *Crashes) entry(fp Fingerprint, now time.Time) *crashCount {
	k := s.counted[fp]
	if k != nil && now.Sub(k.last) < CrashLife {
		return k
	}
	if now.Sub(s.swept) >= sweepInterval {
		s.expire(now)
	}
	k = &crashCount{last: now}
	if len(s.counted) < maxCounted {
		s.counted[fp] = k
	}
	return k
}

// Answered forgets the crashes of a request that an endpoint has answered, and reports whether it had any.
func (s *Crashes) Answered(fp Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, had := s.counted[fp]
	delete(s.counted, fp)
	return had
}

// expire needs s.mu.
func (s *Crashes) expire(now time.Time) {
	s.swept = now
	for fp, k := range s.counted {
		if now.Sub(k.last) >= CrashLife {
			delete(s.counted, fp)
		}
	}
}
