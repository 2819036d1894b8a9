package peer

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketCount is the number of groups that two fact sets are compared by. With 650 members and a few facts of
	// each, a bucket lists in about 1 KB.
	bucketCount = 64
	// maxOriginFacts bounds the facts of one origin.
	maxOriginFacts = 512
	// maxFactBytes bounds the memory of all fact values and keys.
	maxFactBytes = 24 << 20
	// frequentAge is the age below which a replaced version makes its fact a frequent one.
	frequentAge = 10 * time.Second
	// factOverhead approximates the memory of a stored fact beside key and value.
	factOverhead = 200
)

// storedFact is a fact with its ID and the local time at which it expires.
type storedFact struct {
	Fact
	id      uint64
	expires time.Time // zero: never
	stored  time.Time
	// frequent tells that the fact replaced a version that was less than frequentAge old. Only such facts are paced;
	// those about the membership never are.
	frequent bool
}

func (f *storedFact) size() int { return len(f.Key) + len(f.Value) + factOverhead }

// remaining returns the wire TTL at now, and false when the fact has expired.
func (f *storedFact) remaining(now time.Time) (uint64, bool) {
	if f.expires.IsZero() {
		return 0, true
	}
	left := f.expires.Sub(now).Milliseconds()
	return uint64(max(left, 0)), left > 0
}

// factStore holds the highest version of each fact and hashes of them by bucket.
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

// mix spreads an ID and a version over 64 bits, so that the XOR of many detects a difference.
func mix(id, version uint64) uint64 {
	x := id ^ (version * 0x9e3779b97f4a7c15)
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return x
}

func bucketOf(id uint64) int { return int(id % bucketCount) }

// put stores f when its version is higher than the stored one. It returns the stored fact, or nil.
func (s *factStore) put(f Fact, now time.Time) *storedFact {
	id := factID(f.Origin, f.Key)
	old := s.byID[id]
	if old != nil && old.Version >= f.Version {
		return nil
	}
	n := &storedFact{Fact: f, id: id}
	if old == nil && (s.bytes+n.size() > maxFactBytes || len(s.byOrigin[f.Origin]) >= maxOriginFacts) {
		return nil
	}
	n.stored = now
	if old != nil {
		n.frequent = now.Sub(old.stored) < frequentAge && !strings.HasPrefix(f.Key, reservedPrefix)
		s.remove(old)
	}
	if f.TTL > 0 {
		n.expires = now.Add(f.TTL)
	}
	s.add(n)
	return n
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

func (s *factStore) removeOrigin(origin string, keep func(*storedFact) bool) {
	for _, f := range s.byOrigin[origin] {
		if !keep(f) {
			s.remove(f)
		}
	}
}

// expire removes and returns the facts whose life has ended.
func (s *factStore) expire(now time.Time) []*storedFact {
	var expired []*storedFact
	for _, f := range s.byID {
		if !f.expires.IsZero() && !now.Before(f.expires) {
			s.remove(f)
			expired = append(expired, f)
		}
	}
	return expired
}

func (s *factStore) root() uint64 {
	var r uint64
	for i, b := range s.buckets {
		r ^= mix(b, uint64(i))
	}
	return r
}

func (s *factStore) bucketHashes() []uint32 {
	hashes := make([]uint32, bucketCount)
	for i, b := range s.buckets {
		hashes[i] = uint32(b ^ b>>32)
	}
	return hashes
}
