package peer

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketCount is the number of groups by which two fact sets are compared. With 650 members and a few facts of
	// each, the list of one bucket takes about 1 KB.
	bucketCount = 64
	// maxOriginFacts is the maximum number of facts of one origin.
	maxOriginFacts = 512
	// maxSharedFacts is the maximum number of shared facts: those of 32 members with as many as they may have themselves.
	maxSharedFacts = 32 * maxOriginFacts
	// maxFactBytes is the maximum of the approximate memory of all facts.
	maxFactBytes = 24 << 20
	// frequentInterval is the interval between two versions below which a fact counts as frequent.
	frequentInterval = 10 * time.Second
	// factOverhead approximates the memory of a stored fact besides its key and value, in bytes.
	factOverhead = 200
)

// storedFact is a fact with its ID and the local time at which it expires.
type storedFact struct {
	Fact
	id        uint64
	expiresAt time.Time // zero: never
	storedAt  time.Time
	// frequent is true when the fact replaced a version that was less than frequentInterval old. Only such facts are
	// rate-limited; membership facts never are.
	frequent bool
}

// size returns the approximate memory of the fact in bytes.
func (f *storedFact) size() int { return len(f.Key) + len(f.Value) + factOverhead }

// remaining returns the TTL at now in milliseconds (0 for a fact that never expires), and false when it has expired.
func (f *storedFact) remaining(now time.Time) (uint64, bool) {
	if f.expiresAt.IsZero() {
		return 0, true
	}
	left := f.expiresAt.Sub(now).Milliseconds()
	return uint64(max(left, 0)), left > 0
}

// factStore holds the highest version of each fact and a hash of each bucket of facts.
type factStore struct {
	byID     map[uint64]*storedFact
	byOrigin map[string]map[uint64]*storedFact
	buckets  [bucketCount]uint64
	bytes    int
}

func newFactStore() *factStore {
	return &factStore{byID: map[uint64]*storedFact{}, byOrigin: map[string]map[uint64]*storedFact{}}
}

func factID(origin, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Digest writes never fail.
	_, _ = d.WriteString(origin)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// mix hashes an ID and a version to 64 bits, so that the XOR over a set of facts detects a difference.
func mix(id, version uint64) uint64 {
	x := id ^ (version * 0x9e3779b97f4a7c15)
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return x
}

func bucketOf(id uint64) int { return int(id % bucketCount) }

// put stores f if its version is higher than that of the stored fact. If no such fact is stored, f must be within the
// limits instead. It returns the fact as stored, or nil if f was not stored.
func (s *factStore) put(f Fact, now time.Time) *storedFact {
	id := factID(f.Origin, f.Key)
	old := s.byID[id]
	if old != nil && old.Version >= f.Version {
		return nil
	}
	n := &storedFact{Fact: f, id: id}
	if old == nil && (s.bytes+n.size() > maxFactBytes || len(s.byOrigin[f.Origin]) >= maxFacts(&f)) {
		return nil
	}
	n.storedAt = now
	if old != nil {
		n.frequent = now.Sub(old.storedAt) < frequentInterval && !strings.HasPrefix(f.Key, reservedPrefix)
		s.remove(old)
	}
	if f.TTL > 0 {
		n.expiresAt = now.Add(f.TTL)
	}
	s.add(n)
	return n
}

// maxFacts returns the maximum number of facts of the origin of a fact. The state of failure domains, which has no origin
// either, must not be kept out by shared facts.
func maxFacts(f *Fact) int {
	switch {
	case f.isShared():
		return maxSharedFacts
	case f.Origin == "":
		return maxSharedFacts + maxOriginFacts
	}
	return maxOriginFacts
}

func (s *factStore) add(f *storedFact) {
	s.byID[f.id] = f
	set := s.byOrigin[f.Origin]
	if set == nil {
		set = map[uint64]*storedFact{}
		s.byOrigin[f.Origin] = set
	}
	set[f.id] = f
	s.buckets[bucketOf(f.id)] ^= mix(f.id, f.Version)
	s.bytes += f.size()
}

func (s *factStore) remove(f *storedFact) {
	delete(s.byID, f.id)
	set := s.byOrigin[f.Origin]
	delete(set, f.id)
	if len(set) == 0 {
		delete(s.byOrigin, f.Origin)
	}
	s.buckets[bucketOf(f.id)] ^= mix(f.id, f.Version)
	s.bytes -= f.size()
}

// removeOrigin removes the facts of origin for which keep returns false.
func (s *factStore) removeOrigin(origin string, keep func(*storedFact) bool) {
	for _, f := range s.byOrigin[origin] {
		if !keep(f) {
			s.remove(f)
		}
	}
}

// expire removes and returns the facts whose TTL has passed.
func (s *factStore) expire(now time.Time) []*storedFact {
	var expired []*storedFact
	for _, f := range s.byID {
		if !f.expiresAt.IsZero() && !now.Before(f.expiresAt) {
			s.remove(f)
			expired = append(expired, f)
		}
	}
	return expired
}

// rootHash returns a hash of all facts.
func (s *factStore) rootHash() uint64 {
	var r uint64
	for i, b := range s.buckets {
		r ^= mix(b, uint64(i))
	}
	return r
}

// bucketHashes returns the hash of each bucket, folded to 32 bits.
func (s *factStore) bucketHashes() []uint32 {
	hashes := make([]uint32, bucketCount)
	for i, b := range s.buckets {
		hashes[i] = uint32(b ^ b>>32)
	}
	return hashes
}
