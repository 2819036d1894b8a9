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
	type weighted struct {
		member string
		weight uint64
	}
	all := make([]weighted, len(members))
	for i, m := range members {
		all[i] = weighted{m, weight(key, m)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member, b.member))
	})
	top := make([]string, 0, min(n, len(all)))
	for _, w := range all[:min(n, len(all))] {
		top = append(top, w.member)
	}
	return top
}

func weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Digest writes never fail.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}
