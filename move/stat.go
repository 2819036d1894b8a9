package move

import "math"

// logFault returns the logarithm of an e-value against "the event is at most margin more frequent on the new version
// than on the old". The numerator is a Beta(1/2, 1/2) mixture for both versions, the denominator the largest
// likelihood under the hypothesis, so the ratio is at most a likelihood ratio for every version that meets the
// hypothesis. By Ville's inequality it ever reaches 1/a with probability at most a, however often it is looked at.
func logFault(oldN, oldK, newN, newK, margin float64) float64 {
	if newN == 0 || oldN == 0 {
		return 0
	}
	numerator := logBeta(oldN, oldK) + logBeta(newN, newK)
	if newK/newN <= oldK/oldN+margin {
		return numerator - logMax(oldN, oldK) - logMax(newN, newK)
	}
	return numerator - logBoundary(oldN, oldK, newN, newK, margin)
}

// logSound returns the logarithm of an e-value against "the event is at least gap more frequent on the new version".
// The numerator is a Beta(1/2, 1/2) mixture of one frequency for both versions.
func logSound(oldN, oldK, newN, newK, gap float64) float64 {
	if newN == 0 || oldN == 0 {
		return 0
	}
	numerator := logBeta(oldN+newN, oldK+newK)
	if newK/newN >= oldK/oldN+gap {
		return numerator - logMax(oldN, oldK) - logMax(newN, newK)
	}
	return numerator - logBoundary(oldN, oldK, newN, newK, gap)
}

// logBeta is the log likelihood of k events in n trials under a Beta(1/2, 1/2) mixture.
func logBeta(n, k float64) float64 {
	return lgamma(k+0.5) + lgamma(n-k+0.5) - lgamma(n+1) - math.Log(math.Pi)
}

// logMax is the largest binomial log likelihood.
func logMax(n, k float64) float64 {
	return xlog(k, k/n) + xlog(n-k, 1-k/n)
}

// logBoundary is the largest log likelihood with the new frequency exactly d above the old one.
func logBoundary(oldN, oldK, newN, newK, d float64) float64 {
	slope := func(p float64) float64 {
		return ratio(oldK, p) - ratio(oldN-oldK, 1-p) + ratio(newK, p+d) - ratio(newN-newK, 1-p-d)
	}
	lo, hi := 0.0, 1-d
	// 30 halvings place p within 1e-9, which changes the likelihood of 1e6 trials by less than 1e-3.
	for range 30 {
		if mid := (lo + hi) / 2; slope(mid) > 0 {
			lo = mid
		} else {
			hi = mid
		}
	}
	p := (lo + hi) / 2
	return xlog(oldK, p) + xlog(oldN-oldK, 1-p) + xlog(newK, p+d) + xlog(newN-newK, 1-p-d)
}

func ratio(a, b float64) float64 {
	if a == 0 {
		return 0
	}
	return a / b
}

func xlog(a, p float64) float64 {
	if a == 0 {
		return 0
	}
	return a * math.Log(p)
}

func lgamma(x float64) float64 {
	v, _ := math.Lgamma(x)
	return v
}

// logMean is the logarithm of the mean of e-values, which is an e-value itself.
func logMean(logs []float64) float64 {
	if len(logs) == 0 {
		return 0
	}
	top := math.Inf(-1)
	for _, l := range logs {
		top = max(top, l)
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - top)
	}
	return top + math.Log(sum/float64(len(logs)))
}
