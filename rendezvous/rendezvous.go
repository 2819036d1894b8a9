// Package rendezvous implements rendezvous hashing (highest random weight): it picks members for a key so that a change
// of membership moves only the keys of the members that changed.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// First returns the member with the highest weight for key, and "" if there are no members.
func First(key string, members []string) string {
	best, bestWeight := "", uint64(0)
	for _, m := range members {
		w := weight(key, m)
		if best == "" || w > bestWeight || (w == bestWeight && m < best) {
			best, bestWeight = m, w
		}
	}
	return best
}

// Top returns the n members with the highest weights for key, or all if there are fewer, in descending order of weight.
func Top(key string, members []string, n int) []string {
	n = min(n, len(members))
	if n <= 0 {
		return []string{}
	}
	best := make([]weighted, 0, n+1) // sorted
	for _, m := range members {
		w := weighted{m, weight(key, m)}
		if len(best) == n && compare(w, best[n-1]) > 0 {
			continue // the usual case
		}
		at, _ := slices.BinarySearchFunc(best, w, compare)
		best = slices.Insert(best, at, w)[:min(len(best)+1, n)]
	}
	top := make([]string, n)
	for i, w := range best {
		top[i] = w.member
	}
	return top
}

// Before returns the members that precede self in the descending order of weights for key, in no particular order.
func Before(key string, members []string, self string) []string {
	own := weighted{self, weight(key, self)}
	var before []string
	for _, m := range members {
		if compare(weighted{m, weight(key, m)}, own) < 0 {
			before = append(before, m)
		}
	}
	return before
}

// weighted is a member with its weight for a key.
type weighted struct {
	member string
	weight uint64
}

// compare orders by descending weight.
func compare(a, b weighted) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member, b.member))
}

// maxOnStack is the length in bytes of a key and a member up to which their hash needs no allocation.
const maxOnStack = 128

func weight(key, member string) uint64 {
	var buffer [maxOnStack]byte
	b := append(buffer[:0], key...)
	b = append(b, 0)
	b = append(b, member...)
	return xxhash.Sum64(b)
}
