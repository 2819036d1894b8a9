package table

import (
	"sync/atomic"
	"time"
)

// A PrefixCache has 64 sets of 4 entries and takes 2 KB an endpoint, 5.7 MB for 2,800 endpoints.
const (
	prefixSets = 64
	prefixWays = 4
	stampBits  = 24 // bits of an entry that hold the time in seconds
)

const stampMask = 1<<stampBits - 1

// PrefixCache is a bounded, lossy set of prompt prefix hashes with the time of their last use. It is safe for
// concurrent use. Concurrent writers to one set may lose an entry, which only makes an estimate less accurate.
type PrefixCache struct {
	entries [prefixSets][prefixWays]atomic.Uint64
}

// Add records the use of a prefix. A new prefix replaces an empty or the least recently used entry of its set.
func (c *PrefixCache) Add(hash uint64, now time.Time) {
	set := &c.entries[hash%prefixSets]
	victim, oldest := 0, uint64(1<<63)
	for i := range set {
		e := set[i].Load()
		if e&^stampMask == tag(hash) {
			victim = i
			break
		}
		if e == 0 {
			victim, oldest = i, 0
			continue
		}
		if s := e & stampMask; s < oldest {
			victim, oldest = i, s
		}
	}
	set[victim].Store(tag(hash) | stamp(now))
}

// Remove removes a prefix that the endpoint reports as evicted.
func (c *PrefixCache) Remove(hash uint64) {
	set := &c.entries[hash%prefixSets]
	for i := range set {
		if e := set[i].Load(); e&^stampMask == tag(hash) {
			set[i].CompareAndSwap(e, 0)
		}
	}
}

// Has reports whether the prefix was used within the given age and not removed since.
func (c *PrefixCache) Has(hash uint64, now time.Time, maxAge time.Duration) bool {
	set := &c.entries[hash%prefixSets]
	for i := range set {
		e := set[i].Load()
		if e != 0 && e&^stampMask == tag(hash) {
			age := (stamp(now) - e&stampMask) & stampMask
			return age <= uint64(maxAge/time.Second)
		}
	}
	return false
}

// tag returns the bits of a hash that an entry holds.
func tag(hash uint64) uint64 {
	return hash &^ stampMask
}

// stamp returns the time bits of an entry. An entry is 0, and so lost, only if its tag and its time bits are both 0.
func stamp(now time.Time) uint64 {
	return uint64(now.Unix()) & stampMask
}
