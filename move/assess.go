package move

import (
	"math"
	"time"
)

// Error rates of a move. The tests are anytime-valid, so evaluating them repeatedly doesn't raise the rates. Over
// several routes, measures and windows a rate is divided among the tests (Bonferroni). At most 1% of good versions may
// be aborted or rolled back. The two rates for that add up to less, because each instance can abort, and the instances
// evaluate the same evidence at different times.
const (
	falseAbortRate    = 0.005 // that a good version is aborted, over the whole move
	falseRollbackRate = 0.003 // that a good version is rolled back by the tests at the deadline
	// sequentialRollbackRate is the part of falseRollbackRate for the tests by likelihood ratios. The rest is for the
	// exact tests, which need fewer events and are valid only once.
	sequentialRollbackRate = falseRollbackRate / 2
	falseSoundRate         = 0.03 // that a bad version is taken for sound on a route
)

const (
	badFailGap = 0.05 // least excess of a bad version's failure rate
	failMargin = 0.01 // a smaller excess of the failure rate is no fault

	// Margins of comparisons with past attempts, made while the old version gets no traffic. They are wider than those
	// of comparisons with attempts at the same time.
	pastFailMargin = 0.03
	pastSlowMargin = 0.05
	pastMarginBins = 2 // latency bins

	windowsPerMove  = 24 // number of windows from start to deadline
	openWindows     = 2  // latest windows that are tested besides the whole move
	assessInterval  = time.Second
	minEdgeSamples  = 20  // least number of the old version's latencies from which a bin edge is computed
	minPastAttempts = 100 // least number of attempts of a load class to compare with
	suspectFraction = 0.6 // of the log threshold of a fault; above it the share stops rising
)

// scales is the number of batch sizes. Small batches reveal a strong fault soon. Large ones hold enough events of the
// old version to reveal a weak fault on a route with little traffic: with small batches only, a failure rate higher by
// 10 percentage points on such a route was found after 774 s.
const scales = 2

// batchSize is the number of attempts on both versions that closes a batch; batchWindows is its maximum age in
// windows.
var (
	batchSize    = [scales]int{100, 1000}
	batchWindows = [scales]float64{0.5, 3}
)

// event is a binary outcome of an attempt. Its frequencies on both versions are compared.
type event int

// The events are a failure, an answer that is no success, and a latency above a quantile of the old version's latencies.
const (
	failure event = iota
	unsuccessful
	firstTokenMedian
	firstTokenP80
	perTokenMedian
	perTokenP80
	events

	countedEvents = firstTokenMedian // the events before it are counted as such
)

// quantileOf holds, for each latency event, the quantile of the old version's latencies that it exceeds.
var quantileOf = [events]float64{firstTokenMedian: 0.5, firstTokenP80: 0.8, perTokenMedian: 0.5, perTokenP80: 0.8}

func (e event) histogram(c *cell) *histogram {
	if e == firstTokenMedian || e == firstTokenP80 {
		return &c.firstToken
	}
	return &c.perToken
}

// measures are the compared measures of quality and the events that each is tested by.
var measures = [...]struct {
	name   string
	events []event
}{
	{"failures", []event{failure}},
	{"unsuccessful answers", []event{unsuccessful}},
	{"first token", []event{firstTokenMedian, firstTokenP80}},
	{"time per token", []event{perTokenMedian, perTokenP80}},
}

// tally accumulates the log likelihood ratios of a route's batches. Tallies of several routes can be added, and the
// difference of two tallies of a route is the tally of the time between them.
type tally struct {
	worseLogRatios  [strata][events][len(worseOddsRatios)]float64
	betterLogRatios [events][len(betterOddsRatios)]float64 // against "1.5 times slower"; only for medians
	counted         [countedEvents][strata]sample
}

func (t *tally) addScaled(o *tally, factor float64) {
	for i := range t.worseLogRatios {
		for e := range t.worseLogRatios[i] {
			for g := range t.worseLogRatios[i][e] {
				t.worseLogRatios[i][e][g] += factor * o.worseLogRatios[i][e][g]
			}
		}
		for e := range countedEvents {
			if factor < 0 {
				t.counted[e][i] = t.counted[e][i].subtract(o.counted[e][i])
			} else {
				t.counted[e][i].add(o.counted[e][i])
			}
		}
	}
}

// verdict is the result of testing the evidence of a move. If there is a fault, route, measure and logEValue describe
// the strongest one.
type verdict struct {
	fault     bool
	suspect   bool // no fault yet, but enough evidence for one to stop raising the share
	sound     bool // on each route with traffic the new version has been shown not to be bad
	route     string
	measure   string
	logEValue float64
}

// assessment tests the evidence of a move at intervals.
type assessment struct {
	routes      int // number of configured routes
	windows     int // number of windows in the whole move and watch period
	windowLen   time.Duration
	windowStart time.Time
	nextUpdate  time.Time
}

// update tests the evidence if a batch was closed, at most once per assessInterval, and reports whether it did.
// allOnNew means that all traffic is on the new version, so that only past attempts remain to compare with.
func (a *assessment) update(now time.Time, routes []*routeEvidence, allOnNew bool) (verdict, bool) {
	if now.Before(a.nextUpdate) {
		return verdict{}, false
	}
	a.nextUpdate = now.Add(assessInterval)
	closed := false
	for _, r := range routes {
		closed = r.closeBatches(now, allOnNew, a.windowLen) || closed
	}
	if !closed {
		return verdict{}, false
	}
	v := a.assess(routes)
	a.rollWindow(now, routes)
	return v, true
}

// rollWindow starts a new window when the current one is over.
func (a *assessment) rollWindow(now time.Time, routes []*routeEvidence) {
	if a.windowStart.IsZero() {
		a.windowStart = now
	}
	if now.Sub(a.windowStart) < a.windowLen {
		return
	}
	a.windowStart = now
	for _, r := range routes {
		for i := range r.scales {
			r.scales[i].rollWindow()
		}
	}
}

func (x *batchSeries) rollWindow() {
	x.baselines = append(x.baselines, x.tally)
	if len(x.baselines) > openWindows {
		x.baselines = x.baselines[1:]
	}
}

// assess tests each route and all routes together, over the whole move and over the open windows. A window reveals a
// fault that begins late and would be diluted over the whole move.
func (a *assessment) assess(routes []*routeEvidence) verdict {
	v := verdict{sound: true}
	tests := a.testCount(routes) * 2
	for x := range scales {
		v.testWindow(routes, x, -1, math.Log(tests/falseAbortRate))
		for w := range openWindows {
			v.testWindow(routes, x, w, math.Log(tests*float64(a.windows)/falseAbortRate))
		}
	}
	for _, r := range routes {
		if r.total.observed(oldSide)+r.total.observed(newSide) > 0 {
			v.sound = v.sound && r.sound()
		}
	}
	return v
}

// testAtDeadline tests the whole move once at the deadline, with falseRollbackRate as its error rate. It includes the
// attempts of the open batches: a short move may end before its large batches close.
func (a *assessment) testAtDeadline(routes []*routeEvidence) verdict {
	for _, r := range routes {
		r.closeOpenBatches()
	}
	var v verdict
	for x := range scales {
		v.testWindow(routes, x, -1, math.Log(a.testCount(routes)/sequentialRollbackRate))
	}
	if !v.fault {
		v.testExact(routes, (falseRollbackRate-sequentialRollbackRate)/float64(int(countedEvents)*(max(a.routes, len(routes))+1)))
	}
	return v
}

func (a *assessment) testCount(routes []*routeEvidence) float64 {
	return float64(scales * len(measures) * (max(a.routes, len(routes)) + 1))
}

// testWindow tests the batches of one size in the given window, or in the whole move if window is negative.
func (v *verdict) testWindow(routes []*routeEvidence, scaleIndex, window int, threshold float64) {
	var all tally
	for _, r := range routes {
		x := &r.scales[scaleIndex]
		t := x.tally
		if window >= len(x.baselines) {
			continue
		}
		if window >= 0 {
			t.addScaled(&x.baselines[window], -1)
		}
		v.evaluate(r.name, &t, threshold)
		all.addScaled(&t, 1)
	}
	v.evaluate("*", &all, threshold)
}

func (v *verdict) evaluate(route string, t *tally, threshold float64) {
	for _, m := range measures {
		log := t.faultLogEValue(m.events)
		v.suspect = v.suspect || log >= suspectFraction*threshold
		if log >= threshold && log > v.logEValue {
			v.fault, v.route, v.measure, v.logEValue = true, route, m.name, log
		}
	}
}

// faultLogEValue returns the logarithm of the e-value against the hypothesis that the new version is no worse. The
// e-value is the mean over the events, over each load class and all of them together, and over the odds ratios.
func (t *tally) faultLogEValue(es []event) float64 {
	var logEValues [2 * (strata + 1)]float64
	n := 0
	for _, e := range es {
		var all [len(worseOddsRatios)]float64
		var counted sample
		for i := range t.worseLogRatios {
			if e < countedEvents {
				counted.add(t.counted[e][i])
				logEValues[n] = eventLogEValue(&t.worseLogRatios[i][e], &t.counted[e][i])
			} else {
				logEValues[n] = eventLogEValue(&t.worseLogRatios[i][e], nil)
			}
			n++
			for g := range all {
				all[g] += t.worseLogRatios[i][e][g]
			}
		}
		logEValues[n] = eventLogEValue(&all, &counted)
		n++
	}
	return logMean(logEValues[:n])
}

// eventLogEValue returns the logarithm of the e-value for one event. It ignores an excess of counted events below
// failMargin; ignoring it can only lower the error rate.
func eventLogEValue(logs *[len(worseOddsRatios)]float64, counted *sample) float64 {
	if counted != nil && counted.n[oldSide] > 0 && counted.excess() < failMargin {
		return 0
	}
	return logMean(logs[:])
}

// closeBatches closes the batches that are full or too old by adding their attempts to the tallies, and reports whether
// it closed any. The time at which a batch closes must not depend on the outcomes of its attempts.
func (r *routeEvidence) closeBatches(now time.Time, allOnNew bool, window time.Duration) (closed bool) {
	if !allOnNew {
		r.beforeAllOnNew = nil
	} else if r.beforeAllOnNew == nil {
		before := r.total
		r.beforeAllOnNew = &before
	}
	for i := range r.scales {
		x := &r.scales[i]
		size := r.total.attempts() - x.tallied.attempts()
		maxAge := time.Duration(batchWindows[i] * float64(window))
		if size == 0 || size < batchSize[i] && now.Sub(x.closedAt) < maxAge {
			continue
		}
		x.closedAt = now
		x.addBatch(r)
		closed = true
	}
	return closed
}

// closeOpenBatches closes all batches, whatever their size and age.
func (r *routeEvidence) closeOpenBatches() {
	for i := range r.scales {
		r.scales[i].addBatch(r)
	}
}

// addBatch adds the attempts that are not in the tally yet.
func (x *batchSeries) addBatch(r *routeEvidence) {
	delta := r.total
	delta.apply(&x.tallied, sub)
	for i := range strata {
		oldCell, newCell := &delta[oldSide][i], &delta[newSide][i]
		if oldCell.n+newCell.n+oldCell.answered+newCell.answered == 0 {
			continue
		}
		var counts [countedEvents]sample
		for e := range countedEvents {
			counts[e] = countsOf(e, oldCell, newCell)
			x.tally.counted[e][i].add(counts[e])
		}
		if r.beforeAllOnNew != nil {
			x.tally.addPast(r.beforeAllOnNew, i, newCell)
			continue
		}
		for e, s := range counts {
			addConditional(x.tally.worseLogRatios[i][e][:], worseLogOdds, s)
			x.exact[e].add(s)
		}
		for e := firstTokenMedian; e < events; e++ {
			if edge, ok := x.binEdge(r, i, e); ok {
				x.tally.addLatency(i, e, edge, oldCell, newCell)
			}
		}
	}
	x.tallied = r.total
}

func countsOf(e event, oldCell, newCell *cell) sample {
	var s sample
	s.k[oldSide], s.n[oldSide] = oldCell.count(e)
	s.k[newSide], s.n[newSide] = newCell.count(e)
	return s
}

// addLatency compares how often both versions exceed a bin edge. For the fault tests the new version's latencies are
// first reduced by the margin, for the soundness tests by the factor by which a bad version is slower.
func (t *tally) addLatency(stratum int, e event, edge int, oldCell, newCell *cell) {
	o, f := e.histogram(oldCell), e.histogram(newCell)
	n0, k0, n1 := above(o, 0), above(o, edge), above(f, 0)
	counts := func(shift int) sample {
		return sample{n: [sides]float64{n0, n1}, k: [sides]float64{k0, above(f, edge+shift)}}
	}
	addConditional(t.worseLogRatios[stratum][e][:], worseLogOdds, counts(marginBins))
	if e == firstTokenMedian || e == perTokenMedian {
		addConditional(t.betterLogRatios[e][:], betterLogOdds, counts(slowBins))
	}
}

// binEdge returns the bin edge that defines a latency event: a quantile of the old version's latencies, of those before
// the current batch if there are enough, else of all. It returns false if there are too few.
func (x *batchSeries) binEdge(r *routeEvidence, stratum int, e event) (int, bool) {
	for _, c := range [...]*counters{&x.tallied, &r.total} {
		s := e.histogram(&c[oldSide][stratum])
		if n := above(s, 0); n >= minEdgeSamples {
			return quantile(s, n, quantileOf[e]), true
		}
	}
	return 0, false
}

// addPast compares the new version with the attempts on both versions before all traffic went to the new one.
func (t *tally) addPast(past *counters, stratum int, newCell *cell) {
	old, before := &past[oldSide][stratum], &past[newSide][stratum]
	enough := old.n >= minPastAttempts && before.n >= minPastAttempts
	for e := range countedEvents {
		rate, observed := past.rate(e)
		if e == unsuccessful && observed < minPastAttempts {
			continue // how usual such answers are is not known, for example after an upgrade from a release that didn't count them
		}
		p := rate + badFailGap
		if enough {
			oldK, oldN := old.count(e)
			k, n := before.count(e)
			p = max(oldK/max(oldN, 1), k/max(n, 1)) + pastFailMargin
		}
		k, n := newCell.count(e)
		addReference(t.worseLogRatios[stratum][e][:], worseLogOdds, n, k, min(p, 0.99))
	}
	if !enough {
		return
	}
	for e := firstTokenMedian; e < events; e++ {
		s, f := e.histogram(before), e.histogram(newCell)
		n := above(s, 0)
		if n < minPastAttempts {
			continue
		}
		edge := quantile(s, n, quantileOf[e])
		p := min(above(s, edge)/n+pastSlowMargin, 0.99)
		addReference(t.worseLogRatios[stratum][e][:], worseLogOdds, above(f, 0), above(f, edge+pastMarginBins), p)
	}
}

// rate returns the higher rate of a counted event of the two versions over all load classes, and the number of attempts on
// both that could show it.
func (c *counters) rate(e event) (rate, observed float64) {
	for s := range c {
		all, with := 0.0, 0.0
		for i := range c[s] {
			k, n := c[s][i].count(e)
			all, with = all+n, with+k
		}
		rate, observed = max(rate, with/max(all, 1)), observed+all
	}
	return rate, observed
}

// above counts the latencies in the bin edge and the slower bins.
func above(s *histogram, edge int) float64 {
	n := uint32(0)
	for b := min(edge, bins); b < bins; b++ {
		n += s[b]
	}
	return float64(n)
}

// quantile returns the lowest bin edge that is not below the q-quantile of n latencies.
func quantile(s *histogram, n, q float64) int {
	seen := 0.0
	for b, c := range s {
		if seen += float64(c); seen >= q*n {
			return b + 1
		}
	}
	return bins
}
