package move

import "math"

// sound reports whether the evidence of the route shows that the new version isn't bad: that its rates of failures and of
// unsuccessful answers aren't higher by badFailGap, and that it isn't 1.5 times slower.
func (r *routeEvidence) sound() bool {
	return r.rateSound(failure) && r.rateSound(unsuccessful) && r.latencySound(firstTokenMedian) && r.latencySound(perTokenMedian)
}

// rateSound reports whether one of several tests shows the rate of a counted event to be sound. The error rate is divided
// equally among them. One test for each batch size shows that the odds of the event are below those of a bad version; a
// further one shows that it is rare on the new version, whatever the old one's rate.
func (r *routeEvidence) rateSound(e event) bool {
	limit := math.Log((scales + 1) / falseSoundRate)
	var f sample
	for i := range strata {
		f.add(countsOf(e, &r.total[oldSide][i], &r.total[newSide][i]))
	}
	if f.n[oldSide]+f.n[newSide] == 0 {
		return true // no instance counts it
	}
	if logRare(f.n[newSide], f.k[newSide], badFailGap) >= limit {
		return true
	}
	g, ok := badOdds(f.n[oldSide], f.k[oldSide])
	if !ok {
		return false
	}
	for x := range r.scales {
		log := 0.0
		for i := range strata {
			log -= r.scales[x].tally.worseLogRatios[i][e][g]
		}
		if log >= limit {
			return true
		}
	}
	return false
}

// badOdds returns the index of the highest odds ratio in worseOddsRatios that a bad version is certain to reach, given
// k failures in n attempts on the old version. It returns false when there is none.
func badOdds(n, k float64) (int, bool) {
	p := min((k+1+2*math.Sqrt(k+1))/max(n, 1), 0.9) // about the upper 97.5% bound of the old version's failure rate
	badRatio := math.Inf(1)
	if p+badFailGap < 1 {
		badRatio = (p + badFailGap) / (1 - p - badFailGap) * (1 - p) / p
	}
	for g := len(worseOddsRatios) - 1; g >= 0; g-- {
		if worseOddsRatios[g] <= badRatio {
			return g, true
		}
	}
	return 0, false
}

func (r *routeEvidence) latencySound(e event) bool {
	measured := false
	for i := range strata {
		measured = measured || above(e.histogram(&r.total[oldSide][i]), 0) > 0
	}
	return !measured || logMean(r.scales[0].tally.betterLogRatios[e][:]) >= -math.Log(falseSoundRate)
}
