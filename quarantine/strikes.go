package quarantine

import (
	"sync"
	"time"
)

const (
	// maxStrikes is the number of crashes after which a request is refused: the users allow three, and the third may be
	// under way at another instance when the second one is known.
	maxStrikes = 2
	// strikeLife is how long a strike counts. Requests that are taken for crashing by chance are served again after it.
	strikeLife = 2 * time.Minute
	// maxStruck bounds the memory for requests with strikes, 100 bytes each.
	maxStruck = 10_000
)

// Strikes counts the crashes in which a request took part since a request with the same content was last answered. It
// serves engines that run dozens of requests at once, where a suspect can't run alone as Table has it. It is safe for
// concurrent use.
type Strikes struct {
	mu     sync.Mutex
	struck map[Fingerprint]*strikes
}

type strikes struct {
	count int
	last  time.Time
}

// NewStrikes returns an empty count.
func NewStrikes() *Strikes { return &Strikes{struck: map[Fingerprint]*strikes{}} }

// Any reports whether any request has strikes. It spares the others their fingerprint.
func (s *Strikes) Any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.struck) > 0
}

// IsRefused reports whether requests with the fingerprint may run no more.
func (s *Strikes) IsRefused(fp Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.struck[fp]
	return k != nil && k.count >= maxStrikes && now.Sub(k.last) < strikeLife
}

// Crashed counts the crash, at a time, of an endpoint to which a request had been sent, and returns the count. Crashes of
// endpoints that ran it at the same time count once: they were lost together.
func (s *Strikes) Crashed(fp Fingerprint, sent, at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.entry(fp, at)
	if k.count == 0 || sent.After(k.last) {
		k.count++
	}
	k.last = at
	return k.count
}

// Raise takes over the count of a peer.
func (s *Strikes) Raise(fp Fingerprint, count int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.entry(fp, now); count > k.count {
		k.count, k.last = count, now
	}
}

// entry returns the strikes of a fingerprint; while the count is full, some that are not kept. It needs s.mu.
func (s *Strikes) entry(fp Fingerprint, now time.Time) *strikes {
	k := s.struck[fp]
	if k != nil && now.Sub(k.last) < strikeLife {
		return k
	}
	s.expire(now)
	k = &strikes{last: now}
	if len(s.struck) < maxStruck {
		s.struck[fp] = k
	}
	return k
}

// Answered forgets the strikes of a request that an endpoint has answered, and reports whether it had any.
func (s *Strikes) Answered(fp Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, had := s.struck[fp]
	delete(s.struck, fp)
	return had
}

// expire needs s.mu.
func (s *Strikes) expire(now time.Time) {
	for fp, k := range s.struck {
		if now.Sub(k.last) >= strikeLife {
			delete(s.struck, fp)
		}
	}
}
