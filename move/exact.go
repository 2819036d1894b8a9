package move

import "math"

// maxExactEvents is the number of events up to which the exact distribution is kept. With more of them the tests by
// likelihood ratios find what is worth finding, and the distribution would cost time with each batch.
const maxExactEvents = 256

// exactTest holds the distribution of the number of events on the new version if both versions are alike, given how many
// attempts and events each batch holds on both together (Fisher's exact test, stratified by batch). Unlike a likelihood
// ratio it assumes nothing of how bad the new version is, so a few events suffice. It may be evaluated only once.
type exactTest struct {
	dist     []float64 // probability of each number of events, from low on; nil: no batch yet
	low      int       // least possible number of events
	observed int
	full     bool // there were more than maxExactEvents
}

// add adds the events of a batch.
func (x *exactTest) add(s sample) {
	n0, n1, k := int(s.n[oldSide]), int(s.n[newSide]), int(s.k[oldSide]+s.k[newSide])
	if x.full || n0 == 0 || n1 == 0 || k == 0 || k == n0+n1 {
		return
	}
	batch := exactTest{low: max(0, k-n0), observed: int(s.k[newSide])}
	high := min(n1, k)
	if batch.observed < batch.low || batch.observed > high {
		return // counters that an origin has reported wrongly
	}
	weight, total := 0.0, logSum{}
	logs := make([]float64, 0, high-batch.low+1)
	for i := batch.low; i <= high; i++ {
		logs = append(logs, weight)
		total.add(weight)
		weight += math.Log(float64(n1-i) * float64(k-i) / (float64(i+1) * float64(n0-k+i+1)))
	}
	for _, l := range logs {
		batch.dist = append(batch.dist, math.Exp(l-total.value()))
	}
	x.merge(&batch)
}

// merge adds the events of another test, which must be independent.
func (x *exactTest) merge(o *exactTest) {
	switch {
	case x.full || o.full || x.dist != nil && o.dist != nil && len(x.dist)+len(o.dist) > maxExactEvents:
		*x = exactTest{full: true}
		return
	case o.dist == nil:
		return
	case x.dist == nil:
		*x = exactTest{dist: o.dist, low: o.low, observed: o.observed}
		return
	}
	sum := make([]float64, len(x.dist)+len(o.dist)-1)
	for i, p := range x.dist {
		for j, q := range o.dist {
			sum[i+j] += p * q
		}
	}
	x.dist, x.low, x.observed = sum, x.low+o.low, x.observed+o.observed
}

// pValue returns the probability of at least the observed number of events on the new version if both are alike.
func (x *exactTest) pValue() float64 {
	if x.dist == nil {
		return 1
	}
	p := 0.0
	for _, q := range x.dist[x.observed-x.low:] {
		p += q
	}
	return p
}

// testExact tests each counted event on each route and on all routes together by its exact distribution. level is the
// error rate of each test. A few events on the new version suffice for it to find a fault.
func (v *verdict) testExact(routes []*routeEvidence, level float64) {
	for _, m := range measures {
		e := m.events[0]
		if e >= countedEvents {
			continue
		}
		var all exactTest
		var counted sample
		for _, r := range routes {
			x := &r.scales[scales-1]
			var c sample
			for i := range strata {
				c.add(x.tally.counted[e][i])
			}
			v.evaluateExact(r.name, m.name, &x.exact[e], &c, level)
			all.merge(&x.exact[e])
			counted.add(c)
		}
		v.evaluateExact("*", m.name, &all, &counted, level)
	}
}

func (v *verdict) evaluateExact(route, measure string, x *exactTest, counted *sample, level float64) {
	p := x.pValue()
	if p > level || counted.excess() < failMargin || v.fault && -math.Log(p) <= v.logEValue {
		return
	}
	v.fault, v.route, v.measure, v.logEValue = true, route, measure, -math.Log(p)
}
