package move

import (
	"math"
	"time"
)

// Error rates of a move. Looks are accounted for by anytime-valid tests; routes, measures and windows by dividing
// the rate among them (Bonferroni). Instances see the same evidence at different times, and each of them can abort;
// half of the 1% for good versions is left unused for that.
const (
	faultRate    = 0.005 // a good version is aborted, over the whole move
	deadlineRate = 0.003 // a good version is rolled back by the closing test at the deadline
	soundRate    = 0.03  // a bad version counts as sound on a route
)

const (
	failMargin  = 0.01 // a good version may fail this much more often
	failGap     = 0.05 // a bad version fails at least this much more often
	watchMargin = 0.03 // fail margin without attempts of the old version at the same time
	watchBins   = 2    // latency classes of margin in that case

	measures    = 3  // failures, first token, time per token
	windowsPer  = 24 // windows in the time from start to deadline
	openWindows = 2  // windows under test besides the whole move
	minOld      = 50 // attempts of the old version in a window that make a comparison at the same time
	holdPart    = 0.6
)

// quantiles of the old version's latency whose exceedance is compared.
var quantiles = [...]float64{0.5, 0.8}

// verdict is what the evidence of a move says.
type verdict struct {
	fault   bool
	suspect bool // not a fault yet, but enough to stop raising the share
	route   string
	measure string
	sound   bool // each route with traffic has been seen enough
	log     float64
}

// assessment evaluates the evidence of a move.
type assessment struct {
	routes      int // configured
	windows     int // in the whole move and watch period
	windowLen   time.Duration
	windowStart time.Time
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
		r.baselines = append(r.baselines, r.total)
		if len(r.baselines) > openWindows {
			r.baselines = r.baselines[1:]
		}
	}
}

// assess tests each route over the whole move and over the open windows. A window finds a fault that begins late,
// which the counters of the whole move would dilute.
func (a *assessment) assess(routes []*routeEvidence) verdict {
	v := verdict{sound: true}
	tests := float64(2 * measures * max(a.routes, len(routes)))
	for _, r := range routes {
		if r.total.observed(oldSide)+r.total.observed(newSide) == 0 {
			continue
		}
		v.take(r, &r.total, &r.total[oldSide], false, math.Log(tests/faultRate))
		for i := range r.baselines {
			window := r.total
			window.apply(&r.baselines[i], sub)
			limit := math.Log(tests * float64(a.windows) / faultRate)
			if window.observed(oldSide) >= minOld {
				v.take(r, &window, &window[oldSide], false, limit)
			} else {
				v.take(r, &window, &r.total[oldSide], true, limit)
			}
		}
		v.sound = v.sound && sound(&r.total)
	}
	return v
}

// closing tests the whole move once at the deadline, at its own rate.
func (a *assessment) closing(routes []*routeEvidence) verdict {
	var v verdict
	tests := float64(measures * max(a.routes, len(routes)))
	for _, r := range routes {
		v.take(r, &r.total, &r.total[oldSide], false, math.Log(tests/deadlineRate))
	}
	return v
}

func (v *verdict) take(r *routeEvidence, window *counters, old *[strata]cell, apart bool, limit float64) {
	fresh := &window[newSide]
	margin, shift := failMargin, marginBins
	if apart {
		margin, shift = watchMargin, watchBins
	}
	v.note(r, "failures", testFailures(old, fresh, margin), limit)
	v.note(r, "first token", testLatency(old, fresh, firstToken, shift), limit)
	v.note(r, "time per token", testLatency(old, fresh, perToken, shift), limit)
}

func (v *verdict) note(r *routeEvidence, measure string, log, limit float64) {
	if log >= holdPart*limit {
		v.suspect = true
	}
	if log >= limit && !(v.fault && v.log >= log) {
		v.fault, v.route, v.measure, v.log = true, r.name, measure, log
	}
}

// testFailures compares at like load: an e-value per load class, and their product for a fault at each load.
func testFailures(old, fresh *[strata]cell, margin float64) float64 {
	var logs [strata + 1]float64
	n := 0
	for i := range old {
		if fresh[i].n == 0 || old[i].n == 0 {
			continue
		}
		l := logFault(float64(old[i].n), float64(old[i].failed), float64(fresh[i].n), float64(fresh[i].failed), margin)
		n++
		logs[n] = l
		logs[0] += l
	}
	if n == 0 {
		return 0
	}
	return logMean(logs[:n+1])
}

func firstToken(c *cell) *sketch { return &c.first }
func perToken(c *cell) *sketch   { return &c.perTok }

// testLatency compares how often a quantile of the old version's latency is exceeded, the new version's latency
// being reduced by shift classes.
func testLatency(old, fresh *[strata]cell, pick func(*cell) *sketch, shift int) float64 {
	var logs [(strata + 1) * len(quantiles)]float64
	n := 0
	for _, q := range quantiles {
		all, found := 0.0, false
		for i := range old {
			l, ok := exceedance(pick(&old[i]), pick(&fresh[i]), q, shift, logFault)
			if !ok {
				continue
			}
			logs[n] = l
			n++
			all, found = all+l, true
		}
		if found {
			logs[n] = all
			n++
		}
	}
	return logMean(logs[:n])
}

type test func(oldN, oldK, newN, newK, margin float64) float64

func exceedance(old, fresh *sketch, q float64, shift int, f test) (float64, bool) {
	oldN, newN := total(old), total(fresh)
	if oldN == 0 || newN == 0 {
		return 0, false
	}
	edge := quantile(old, oldN, q)
	return f(oldN, above(old, edge), newN, above(fresh, edge+shift), 0), true
}

func total(s *sketch) float64 { return above(s, 0) }

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

// sound reports whether the route has shown that the new version is not a bad one.
func sound(c *counters) bool {
	limit := -math.Log(soundRate)
	old, fresh := &c[oldSide], &c[newSide]
	log := 0.0
	for i := range old {
		log += logSound(float64(old[i].n), float64(old[i].failed), float64(fresh[i].n), float64(fresh[i].failed), failGap)
	}
	return log >= limit && soundLatency(old, fresh, firstToken, limit) && soundLatency(old, fresh, perToken, limit)
}

func soundLatency(old, fresh *[strata]cell, pick func(*cell) *sketch, limit float64) bool {
	measured := false
	var logs [len(quantiles)]float64
	for k, q := range quantiles {
		for i := range old {
			l, ok := exceedance(pick(&old[i]), pick(&fresh[i]), q, slowBins, logSound)
			logs[k] += l
			measured = measured || ok || total(pick(&old[i])) > 0
		}
	}
	return !measured || logMean(logs[:]) >= limit
}
