// Package route selects an endpoint of a table snapshot for each attempt, by expected finishing time, prefix cache
// affinity, price and reclaim risk.
package route

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoillug/trefoillug/table"
)

// ringPoints is the number of ring positions of an endpoint. With 8 the most loaded of 2,800 endpoints owns about
// three times the mean arc; the load bound in expectedHit compensates for that.
const ringPoints = 8

// Build fills svc.Index from svc.Endpoints, which must be sorted by ID. The ring depends only on IDs and versions, so
// it is the same at each instance, and it is reused from prev (may be nil) when those are unchanged. Leaving and
// suspect endpoints keep their positions, so that a change of condition moves no prefix of another endpoint.
func Build(svc, prev *table.Service, now time.Time) {
	if prev != nil && sameEndpoints(svc.Endpoints, prev.Endpoints) {
		svc.Index = slices.Clone(prev.Index)
	} else {
		svc.Index = buildIndex(svc.Endpoints)
	}
	for i := range svc.Index {
		summarize(&svc.Index[i], svc.Endpoints, now)
	}
}

func sameEndpoints(a, b []*table.Endpoint) bool {
	return slices.EqualFunc(a, b, func(x, y *table.Endpoint) bool {
		return x == y || x.ID == y.ID && x.Version == y.Version
	})
}

func buildIndex(endpoints []*table.Endpoint) []table.VersionIndex {
	var index []table.VersionIndex
	for i, e := range endpoints {
		v := slices.IndexFunc(index, func(x table.VersionIndex) bool { return x.Version == e.Version })
		if v < 0 {
			v = len(index)
			index = append(index, table.VersionIndex{Version: e.Version})
		}
		index[v].Members = append(index[v].Members, int32(i))
	}
	for v := range index {
		index[v].Ring = buildRing(endpoints, index[v].Members)
	}
	return index
}

func buildRing(endpoints []*table.Endpoint, members []int32) []uint64 {
	ring := make([]uint64, 0, len(members)*ringPoints)
	for _, m := range members {
		h := xxhash.Sum64String(endpoints[m].ID)
		for range ringPoints {
			h = mix64(h)
			ring = append(ring, h&^math.MaxUint32|uint64(m))
		}
	}
	slices.Sort(ring)
	return ring
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// summarize updates the means and the minimum price of a version. The means include only ready endpoints with a load
// report that has not reached zeroWeightAge.
func summarize(v *table.VersionIndex, endpoints []*table.Endpoint, now time.Time) {
	others, all, n := 0.0, 0, 0
	v.MinPrice = 0
	for _, m := range v.Members {
		e := endpoints[m]
		if v.MinPrice == 0 || e.Price < v.MinPrice {
			v.MinPrice = e.Price
		}
		if e.Condition == table.Ready && reportWeight(&e.Load, now) > 0 {
			others += otherAttempts(&e.Load)
			all += e.Load.Running + e.Load.Waiting
			n++
		}
	}
	v.MeanOthers = others / float64(max(n, 1))
	v.MeanLoad = float64(all) / float64(max(n, 1))
}

// ringStart returns the first ring position at or after the mixed hash.
func ringStart(ring []uint64, hash uint64) int {
	i, _ := slices.BinarySearch(ring, mix64(hash)&^math.MaxUint32)
	if i == len(ring) {
		return 0
	}
	return i
}
