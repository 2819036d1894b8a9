package move

import "math"

// Odds ratios of an event, new version to old version. They are the alternatives of the tests.
var (
	worseOddsRatios  = [...]float64{1.25, 1.5, 2, 3, 4, 6, 10, 30, 100}
	betterOddsRatios = [...]float64{1 / 1.25, 1 / 1.5, 1.0 / 2, 1.0 / 4}

	worseLogOdds  = logAll(worseOddsRatios[:])
	betterLogOdds = logAll(betterOddsRatios[:])
)

func logAll(ratios []float64) []float64 {
	out := make([]float64, len(ratios))
	for i, r := range ratios {
		out[i] = math.Log(r)
	}
	return out
}

// sample counts attempts and events on both versions.
type sample struct {
	n, k [sides]float64
}

func (s *sample) add(o sample) {
	for i := range s.n {
		s.n[i] += o.n[i]
		s.k[i] += o.k[i]
	}
}

func (s *sample) subtract(o sample) sample {
	out := *s
	for i := range s.n {
		out.n[i] -= o.n[i]
		out.k[i] -= o.k[i]
	}
	return out
}

// excess returns the event's frequency on the new version minus that on the old one; 0 if either has no attempts.
func (s *sample) excess() float64 {
	if s.n[oldSide] == 0 || s.n[newSide] == 0 {
		return 0
	}
	return s.k[newSide]/s.n[newSide] - s.k[oldSide]/s.n[oldSide]
}

// addConditional adds to sums the log likelihood ratio of each odds ratio against 1 for a batch of attempts, given
// how many events the batch holds (Fisher's noncentral hypergeometric distribution). The base rate of events cancels
// out, so it may differ from batch to batch. The product over batches is an e-value: when the odds ratio is at most 1,
// the probability that it ever reaches 1/a is at most a, however often it is evaluated (Ville's inequality).
func addConditional(sums, logRatios []float64, s sample) {
	n0, n1, k := s.n[oldSide], s.n[newSide], s.k[oldSide]+s.k[newSide]
	if n0 == 0 || n1 == 0 || k == 0 || k == n0+n1 {
		return
	}
	var base logSum
	var tilted [len(worseOddsRatios)]logSum
	weight := 0.0
	for i := max(0, k-n0); i <= min(n1, k); i++ {
		base.add(weight)
		for g, r := range logRatios {
			tilted[g].add(weight + i*r)
		}
		weight += math.Log((n1 - i) * (k - i) / ((i + 1) * (n0 - k + i + 1)))
	}
	for g, r := range logRatios {
		sums[g] += s.k[newSide]*r - tilted[g].value() + base.value()
	}
}

// addReference adds the log likelihood ratio of each odds ratio against an event frequency of at most p, for a batch
// without attempts on the old version.
func addReference(sums, logRatios []float64, n, k, p float64) {
	for g, r := range logRatios {
		sums[g] += k*r - n*math.Log1p(p*math.Expm1(r))
	}
}

// logSum is the logarithm of a sum of exponentials.
type logSum struct {
	top, sum float64
}

func (l *logSum) add(x float64) {
	switch {
	case math.IsInf(x, -1):
	case l.sum == 0:
		l.top, l.sum = x, 1
	case x <= l.top:
		l.sum += math.Exp(x - l.top)
	default:
		l.sum = l.sum*math.Exp(l.top-x) + 1
		l.top = x
	}
}

func (l *logSum) value() float64 { return l.top + math.Log(l.sum) }

// logMean returns the logarithm of the mean of e-values, given their logarithms. The mean is an e-value itself.
func logMean(logs []float64) float64 {
	var l logSum
	for _, x := range logs {
		l.add(x)
	}
	return l.value() - math.Log(float64(len(logs)))
}

// logRare returns the logarithm of an e-value against "the frequency is at least p", for k events in n attempts. The
// alternative is a Beta(1/2, 1/(2p)) mixture, which favours frequencies well below p.
func logRare(n, k, p float64) float64 {
	if n == 0 || k/n >= p {
		return 0
	}
	a, b := 0.5, 0.5/p
	mixture := lgamma(k+a) + lgamma(n-k+b) - lgamma(n+a+b) - lgamma(a) - lgamma(b) + lgamma(a+b)
	return mixture - k*math.Log(p) - (n-k)*math.Log1p(-p)
}

func lgamma(x float64) float64 {
	v, _ := math.Lgamma(x)
	return v
}
