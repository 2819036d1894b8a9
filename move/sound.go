package move

import "math"

// sound reports whether the route has shown that the new version is not a bad one: neither failing failGap more
// often nor 1.5 times slower.
func (r *routeEvidence) sound() bool {
	return r.soundFailures() && r.soundLatency(firstHalf) && r.soundLatency(perTokHalf)
}

// soundFailures has a way for each scale and one more, at equal parts of the error rate: the odds of failing are less
// than those of a bad version, or the new version's own failures are rare.
func (r *routeEvidence) soundFailures() bool {
	limit := math.Log((scales + 1) / soundRate)
	var f sample
	for i := range strata {
		f.plus(failures(&r.total[oldSide][i], &r.total[newSide][i]))
	}
	if logRare(f.n[newSide], f.k[newSide], failGap) >= limit {
		return true
	}
	g, ok := badOdds(f.n[oldSide], f.k[oldSide])
	if !ok {
		return false
	}
	for x := range r.scales {
		log := 0.0
		for i := range strata {
			log -= r.scales[x].tally.worse[i][failure][g]
		}
		if log >= limit {
			return true
		}
	}
	return false
}

// badOdds returns the highest of the odds ratios that a bad version certainly has, given the old version's failures.
func badOdds(n, k float64) (int, bool) {
	p := min((k+1+2*math.Sqrt(k+1))/max(n, 1), 0.9) // about the upper 97.5% bound of the old version's rate
	bad := math.Inf(1)
	if p+failGap < 1 {
		bad = (p + failGap) / (1 - p - failGap) * (1 - p) / p
	}
	for g := len(worse) - 1; g >= 0; g-- {
		if worse[g] <= bad {
			return g, true
		}
	}
	return 0, false
}

func (r *routeEvidence) soundLatency(e event) bool {
	measured := false
	for i := range strata {
		measured = measured || above(e.sketch(&r.total[oldSide][i]), 0) > 0
	}
	return !measured || logMean(r.scales[0].tally.better[e][:]) >= -math.Log(soundRate)
}
