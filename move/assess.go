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
	minEdge        = 20  // latencies of the old version that place a class edge
	minPast        = 100 // attempts at a load class that make a reference
	holdPart       = 0.6 // of the log threshold that stops a share from rising
)

// scales of batches. Small ones show a strong fault soon. Large ones hold enough events of the old version to show a
// weak fault on a route with little traffic: one that fails 10 points more often there was found after 774 s without.
const scales = 2

// batchSize is the number of attempts on both versions that close a batch, batchWindows its greatest age.
var (
	batchSize    = [scales]int{100, 1000}
	batchWindows = [scales]float64{0.5, 3}
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
		closed = r.batch(now, past, a.windowLen) || closed
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
		for i := range r.scales {
			r.scales[i].roll()
		}
	}
}

func (x *scale) roll() {
	x.baselines = append(x.baselines, x.tally)
	if len(x.baselines) > openWindows {
		x.baselines = x.baselines[1:]
	}
}

// assess tests each route and all routes together over the whole move and over the open windows. A window finds a
// fault that begins late, which the whole move would dilute.
func (a *assessment) assess(routes []*routeEvidence) verdict {
	v := verdict{sound: true}
	tests := a.tests(routes) * 2
	for x := range scales {
		v.test(routes, x, -1, math.Log(tests/faultRate))
		for w := range openWindows {
			v.test(routes, x, w, math.Log(tests*float64(a.windows)/faultRate))
		}
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
	for x := range scales {
		v.test(routes, x, -1, math.Log(a.tests(routes)/deadlineRate))
	}
	return v
}

func (a *assessment) tests(routes []*routeEvidence) float64 {
	return float64(scales * len(measures) * (max(a.routes, len(routes)) + 1))
}

// test takes the given window, or the whole move when it is negative.
func (v *verdict) test(routes []*routeEvidence, size, window int, limit float64) {
	var all tally
	for _, r := range routes {
		x := &r.scales[size]
		t := x.tally
		if window >= len(x.baselines) {
			continue
		}
		if window >= 0 {
			t.plus(&x.baselines[window], -1)
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

// batch adds the attempts since the last batch of each scale to its tally when the batch is full or old. Both depend
// on no outcome.
func (r *routeEvidence) batch(now time.Time, past bool, window time.Duration) (closed bool) {
	if !past {
		r.past = nil
	} else if r.past == nil {
		before := r.total
		r.past = &before
	}
	for i := range r.scales {
		x := &r.scales[i]
		size := r.total.attempts() - x.seen.attempts()
		maxAge := time.Duration(batchWindows[i] * float64(window))
		if size == 0 || size < batchSize[i] && now.Sub(x.batchAt) < maxAge {
			continue
		}
		x.batchAt = now
		x.add(r)
		closed = true
	}
	return closed
}

// add takes over the attempts that are not in the tally yet.
func (x *scale) add(r *routeEvidence) {
	delta := r.total
	delta.apply(&x.seen, sub)
	for i := range strata {
		old, fresh := &delta[oldSide][i], &delta[newSide][i]
		if old.n == 0 && fresh.n == 0 {
			continue
		}
		s := failures(old, fresh)
		x.tally.failed[i].plus(s)
		if r.past != nil {
			x.tally.addPast(r.past, i, fresh)
			continue
		}
		addConditional(x.tally.worse[i][failure][:], logWorse, s)
		for e := firstHalf; e < events; e++ {
			if edge, ok := x.edge(r, i, e); ok {
				x.tally.addLatency(i, e, edge, old, fresh)
			}
		}
	}
	x.seen = r.total
}

func failures(old, fresh *cell) sample {
	return sample{n: [sides]float64{float64(old.n), float64(fresh.n)}, k: [sides]float64{float64(old.failed), float64(fresh.failed)}}
}

// addLatency compares how often an edge is exceeded, the new version's latency being reduced by the margin, or by
// what a bad version is slower. The edge comes from earlier attempts of the old version where there are enough.
func (t *tally) addLatency(i int, e event, edge int, old, fresh *cell) {
	o, f := e.sketch(old), e.sketch(fresh)
	n0, k0, n1 := above(o, 0), above(o, edge), above(f, 0)
	counts := func(shift int) sample {
		return sample{n: [sides]float64{n0, n1}, k: [sides]float64{k0, above(f, edge+shift)}}
	}
	addConditional(t.worse[i][e][:], logWorse, counts(marginBins))
	if e == firstHalf || e == perTokHalf {
		addConditional(t.better[e][:], logBetter, counts(slowBins))
	}
}

func (x *scale) edge(r *routeEvidence, i int, e event) (int, bool) {
	for _, c := range [...]*counters{&x.seen, &r.total} {
		s := e.sketch(&c[oldSide][i])
		if n := above(s, 0); n >= minEdge {
			return quantile(s, n, quantileOf[e]), true
		}
	}
	return 0, false
}

// addPast compares with the attempts of both versions before all traffic went to the new one.
func (t *tally) addPast(past *counters, i int, fresh *cell) {
	old, before := &past[oldSide][i], &past[newSide][i]
	if old.n < minPast || before.n < minPast {
		p := pastRate(past) + failGap
		addReference(t.worse[i][failure][:], logWorse, float64(fresh.n), float64(fresh.failed), min(p, 0.99))
		return
	}
	p := max(float64(old.failed)/float64(old.n), float64(before.failed)/float64(before.n)) + pastFailMargin
	addReference(t.worse[i][failure][:], logWorse, float64(fresh.n), float64(fresh.failed), min(p, 0.99))
	for e := firstHalf; e < events; e++ {
		s, f := e.sketch(before), e.sketch(fresh)
		n := above(s, 0)
		if n < minPast {
			continue
		}
		edge := quantile(s, n, quantileOf[e])
		p := min(above(s, edge)/n+pastSlowMargin, 0.99)
		addReference(t.worse[i][e][:], logWorse, above(f, 0), above(f, edge+pastBins), p)
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
