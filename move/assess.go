package move

import (
	"math"
	"time"
)

// Error rates of a move. Looks are accounted for by anytime-valid tests; routes, measures and windows by dividing
// the rate among them (Bonferroni). Instances see the same evidence at different times, and each of them can abort;
// part of the 1% for good versions is left unused for that.
const (
	faultRate    = 0.005 // a good version is aborted, over the whole move
	deadlineRate = 0.003 // a good version is rolled back by the closing test at the deadline
	soundRate    = 0.03  // a bad version counts as sound on a route
)

const (
	failGap    = 0.05 // a bad version fails at least this much more often
	failMargin = 0.01 // a version isn't at fault for failing less than this more often

	// Without the old version's attempts at the same time, the comparison is with the past and has wider margins.
	pastFailMargin = 0.03
	pastSlowMargin = 0.05
	pastBins       = 2 // latency classes

	windowsPer     = 24 // windows in the time from start to deadline
	openWindows    = 2  // windows under test besides the whole move
	assessInterval = time.Second
	batchSize      = 100 // attempts on both versions
	minEdge        = 20  // latencies of the old version that place a class edge
	minPast        = 100 // attempts at a load class that make a reference
	holdPart       = 0.6 // of the log threshold that stops a share from rising
)

// event is a yes-or-no outcome of an attempt whose frequency on both versions is compared.
type event int

// Events: failure, and latency above a quantile of the old version's.
const (
	failure event = iota
	firstHalf
	firstTail
	perTokHalf
	perTokTail
	events
)

// quantileOf is the quantile of the old version's latency that an event exceeds.
var quantileOf = [events]float64{firstHalf: 0.5, firstTail: 0.8, perTokHalf: 0.5, perTokTail: 0.8}

func (e event) sketch(c *cell) *sketch {
	if e == firstHalf || e == firstTail {
		return &c.first
	}
	return &c.perTok
}

// measures are the compared qualities with their events.
var measures = [...]struct {
	name   string
	events []event
}{
	{"failures", []event{failure}},
	{"first token", []event{firstHalf, firstTail}},
	{"time per token", []event{perTokHalf, perTokTail}},
}

// tally accumulates the log likelihood ratios of a route's batches. Its sums add up over routes, and the difference
// of two tallies of a route is the tally of the time between them.
type tally struct {
	worse  [strata][events][len(worse)]float64
	better [events][len(better)]float64 // against "1.5 times slower"; medians only
	failed [strata]sample
}

func (t *tally) plus(o *tally, sign float64) {
	for i := range t.worse {
		for e := range t.worse[i] {
			for g := range t.worse[i][e] {
				t.worse[i][e][g] += sign * o.worse[i][e][g]
			}
		}
		if sign < 0 {
			t.failed[i] = t.failed[i].minus(o.failed[i])
		} else {
			t.failed[i].plus(o.failed[i])
		}
	}
}

// verdict is what the evidence of a move says.
type verdict struct {
	fault   bool
	suspect bool // not a fault yet, but enough to stop raising the share
	sound   bool // each route with traffic has been seen enough
	route   string
	measure string
	log     float64
}

// assessment evaluates the evidence of a move.
type assessment struct {
	routes      int // configured
	windows     int // in the whole move and watch period
	windowLen   time.Duration
	windowStart time.Time
	next        time.Time
}

// update tests the evidence, at most once in assessInterval. past says that all traffic is on the new version, so
// that only its past remains to compare with.
func (a *assessment) update(now time.Time, routes []*routeEvidence, past bool) (verdict, bool) {
	if now.Before(a.next) {
		return verdict{}, false
	}
	a.next = now.Add(assessInterval)
	closed := false
	for _, r := range routes {
		closed = r.batch(now, past, a.windowLen/2) || closed
	}
	if !closed {
		return verdict{}, false
	}
	v := a.assess(routes)
	a.roll(now, routes)
	return v, true
}

// roll opens a new window when the current one is over.
func (a *assessment) roll(now time.Time, routes []*routeEvidence) {
	if a.windowStart.IsZero() {
		a.windowStart = now
	}
	if now.Sub(a.windowStart) < a.windowLen {
		return
	}
	a.windowStart = now
	for _, r := range routes {
		r.baselines = append(r.baselines, r.tally)
		if len(r.baselines) > openWindows {
			r.baselines = r.baselines[1:]
		}
	}
}

// assess tests each route and all routes together over the whole move and over the open windows. A window finds a
// fault that begins late, which the whole move would dilute.
func (a *assessment) assess(routes []*routeEvidence) verdict {
	v := verdict{sound: true}
	tests := a.tests(routes) * 2
	v.test(routes, -1, math.Log(tests/faultRate))
	for w := range openWindows {
		v.test(routes, w, math.Log(tests*float64(a.windows)/faultRate))
	}
	for _, r := range routes {
		if r.total.observed(oldSide)+r.total.observed(newSide) > 0 {
			v.sound = v.sound && r.sound()
		}
	}
	return v
}

// closing tests the whole move once at the deadline, at its own rate.
func (a *assessment) closing(routes []*routeEvidence) verdict {
	var v verdict
	v.test(routes, -1, math.Log(a.tests(routes)/deadlineRate))
	return v
}

func (a *assessment) tests(routes []*routeEvidence) float64 {
	return float64(len(measures) * (max(a.routes, len(routes)) + 1))
}

// test takes the given window, or the whole move when it is negative.
func (v *verdict) test(routes []*routeEvidence, window int, limit float64) {
	var all tally
	for _, r := range routes {
		t := r.tally
		if window >= len(r.baselines) {
			continue
		}
		if window >= 0 {
			t.plus(&r.baselines[window], -1)
		}
		v.take(r.name, &t, limit)
		all.plus(&t, 1)
	}
	v.take("*", &all, limit)
}

func (v *verdict) take(route string, t *tally, limit float64) {
	for _, m := range measures {
		log := t.fault(m.events)
		v.suspect = v.suspect || log >= holdPart*limit
		if log >= limit && log > v.log {
			v.fault, v.route, v.measure, v.log = true, route, m.name, log
		}
	}
}

// fault is the logarithm of the e-value against "no worse": the mean over the events, over each load class and all of
// them together, and over the odds ratios.
func (t *tally) fault(es []event) float64 {
	var parts [2 * (strata + 1)]float64
	n := 0
	for _, e := range es {
		var all [len(worse)]float64
		var failed sample
		for i := range t.worse {
			parts[n] = t.part(e, &t.worse[i][e], &t.failed[i])
			n++
			failed.plus(t.failed[i])
			for g := range all {
				all[g] += t.worse[i][e][g]
			}
		}
		parts[n] = t.part(e, &all, &failed)
		n++
	}
	return logMean(parts[:n])
}

// part passes over failures that exceed the old version's by less than the margin. That only lowers the error rate.
func (t *tally) part(e event, logs *[len(worse)]float64, failed *sample) float64 {
	if e == failure && failed.n[oldSide] > 0 && failed.excess() < failMargin {
		return 0
	}
	return logMean(logs[:])
}

// batch adds the attempts since the last batch to the tally when the batch is full or maxAge old. Both depend on no
// outcome. A larger batch holds more attempts of the old version to compare with, a smaller one is tested sooner.
func (r *routeEvidence) batch(now time.Time, past bool, maxAge time.Duration) bool {
	size := r.total.observed(oldSide) + r.total.observed(newSide) - r.seen.observed(oldSide) - r.seen.observed(newSide)
	if size == 0 || size < batchSize && now.Sub(r.batchAt) < maxAge {
		return false
	}
	r.batchAt = now
	r.addBatch(past)
	return true
}

func (r *routeEvidence) addBatch(past bool) {
	if past && r.past == nil {
		before := r.seen
		r.past = &before
	}
	if !past {
		r.past = nil
	}
	delta := r.total
	delta.apply(&r.seen, sub)
	for i := range strata {
		old, fresh := &delta[oldSide][i], &delta[newSide][i]
		if old.n == 0 && fresh.n == 0 {
			continue
		}
		s := failures(old, fresh)
		r.tally.failed[i].plus(s)
		if r.past != nil {
			r.addPast(i, fresh)
			continue
		}
		addConditional(r.tally.worse[i][failure][:], logWorse, s)
		for e := firstHalf; e < events; e++ {
			r.addLatency(i, e, old, fresh)
		}
	}
	r.seen = r.total
}

func failures(old, fresh *cell) sample {
	return sample{n: [sides]float64{float64(old.n), float64(fresh.n)}, k: [sides]float64{float64(old.failed), float64(fresh.failed)}}
}

// addLatency compares how often an edge is exceeded, the new version's latency being reduced by the margin, or by
// what a bad version is slower. The edge comes from earlier attempts of the old version where there are enough.
func (r *routeEvidence) addLatency(i int, e event, old, fresh *cell) {
	o, f := e.sketch(old), e.sketch(fresh)
	edge, ok := r.edge(i, e)
	if !ok {
		return
	}
	n0, k0, n1 := above(o, 0), above(o, edge), above(f, 0)
	counts := func(shift int) sample {
		return sample{n: [sides]float64{n0, n1}, k: [sides]float64{k0, above(f, edge+shift)}}
	}
	addConditional(r.tally.worse[i][e][:], logWorse, counts(marginBins))
	if e == firstHalf || e == perTokHalf {
		addConditional(r.tally.better[e][:], logBetter, counts(slowBins))
	}
}

func (r *routeEvidence) edge(i int, e event) (int, bool) {
	for _, c := range [...]*counters{&r.seen, &r.total} {
		s := e.sketch(&c[oldSide][i])
		if n := above(s, 0); n >= minEdge {
			return quantile(s, n, quantileOf[e]), true
		}
	}
	return 0, false
}

// addPast compares with the attempts of both versions before all traffic went to the new one.
func (r *routeEvidence) addPast(i int, fresh *cell) {
	old, before := &r.past[oldSide][i], &r.past[newSide][i]
	if old.n < minPast || before.n < minPast {
		p := pastRate(r.past) + failGap
		addReference(r.tally.worse[i][failure][:], logWorse, float64(fresh.n), float64(fresh.failed), min(p, 0.99))
		return
	}
	p := max(float64(old.failed)/float64(old.n), float64(before.failed)/float64(before.n)) + pastFailMargin
	addReference(r.tally.worse[i][failure][:], logWorse, float64(fresh.n), float64(fresh.failed), min(p, 0.99))
	for e := firstHalf; e < events; e++ {
		s, f := e.sketch(before), e.sketch(fresh)
		n := above(s, 0)
		if n < minPast {
			continue
		}
		edge := quantile(s, n, quantileOf[e])
		p := min(above(s, edge)/n+pastSlowMargin, 0.99)
		addReference(r.tally.worse[i][e][:], logWorse, above(f, 0), above(f, edge+pastBins), p)
	}
}

// pastRate is the higher failure rate of the two versions over all load classes.
func pastRate(c *counters) float64 {
	rate := 0.0
	for s := range c {
		n, failed := 0.0, 0.0
		for i := range c[s] {
			n += float64(c[s][i].n)
			failed += float64(c[s][i].failed)
		}
		rate = max(rate, failed/max(n, 1))
	}
	return rate
}

// above counts the latencies in class edge and slower ones.
func above(s *sketch, edge int) float64 {
	n := uint32(0)
	for b := min(edge, bins); b < bins; b++ {
		n += s[b]
	}
	return float64(n)
}

// quantile returns the class edge nearest to the quantile from above.
func quantile(s *sketch, n, q float64) int {
	seen := 0.0
	for b, c := range s {
		if seen += float64(c); seen >= q*n {
			return b + 1
		}
	}
	return bins
}

// sound reports whether the route has shown that the new version is not a bad one: neither failing failGap more
// often nor 1.5 times slower.
func (r *routeEvidence) sound() bool {
	return r.soundFailures() && r.soundLatency(firstHalf) && r.soundLatency(perTokHalf)
}

// soundFailures has two ways at half the error rate each: the new version's own failures are rare, or its odds of
// failing are less than those of a bad version.
func (r *routeEvidence) soundFailures() bool {
	limit := math.Log(2 / soundRate)
	var f sample
	for i := range r.tally.failed {
		f.plus(r.tally.failed[i])
	}
	if logRare(f.n[newSide], f.k[newSide], failGap) >= limit {
		return true
	}
	k := f.k[oldSide]
	p := min((k+1+2*math.Sqrt(k+1))/max(f.n[oldSide], 1), 0.9) // about the upper 97.5% bound
	bad := math.Inf(1)
	if p+failGap < 1 {
		bad = (p + failGap) / (1 - p - failGap) * (1 - p) / p
	}
	for g := len(worse) - 1; g >= 0; g-- {
		if worse[g] > bad {
			continue
		}
		log := 0.0
		for i := range r.tally.worse {
			log -= r.tally.worse[i][failure][g]
		}
		return log >= limit
	}
	return false
}

func (r *routeEvidence) soundLatency(e event) bool {
	measured := false
	for i := range r.total[oldSide] {
		measured = measured || above(e.sketch(&r.total[oldSide][i]), 0) > 0
	}
	return !measured || logMean(r.tally.better[e][:]) >= -math.Log(soundRate)
}
