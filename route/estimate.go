package route

import (
	"time"

	"github.com/trefoillug/trefoillug/table"
)

// Estimates used until an endpoint's own figures are known.
const (
	defaultPrefillRate = 4000.0 // prompt tokens a second
	defaultPerToken    = 0.015  // seconds for a token of a stream that runs alone
	perTokenSlope      = 0.03   // growth of the time per token with each further stream
	defaultResponse    = 0.050  // seconds, answer of a plain service
	waitingPrompt      = 1000.0 // prompt tokens of a request that waits at the endpoint
)

const (
	freshFor    = 2 * time.Second  // a load report counts fully up to this age
	staleAfter  = 10 * time.Second // and not at all from this age on
	prefixAge   = 10 * time.Minute // a prefix is expected in the cache up to this time after its last use
	knownHit    = 0.9              // probability that a prefix recorded for an endpoint is still cached
	priceWeight = 0.05             // relative extra time accepted for half the price
	reclaimRisk = 0.02             // relative extra time for an endpoint that can be reclaimed
	// computeWeight is the weight of computing a prompt beyond its own time: it takes the engine's capacity from the
	// other streams, which waiting doesn't.
	computeWeight = 3.0
	lateLoss      = 2.0  // weight of work that a reclaim at a known time would cut off
	jitter        = 0.02 // relative noise that keeps instances from choosing alike on the same report
)

// ringHit is the probability that an endpoint at the first, second or third ring position of a prefix has it cached
// although nothing is recorded: other instances send the prefix there as well.
var ringHit = [...]float64{0.8, 0.3, 0.1}

func freshness(l *table.Load, now time.Time) float64 {
	if l.At.IsZero() {
		return 0
	}
	age := now.Sub(l.At)
	if age <= freshFor {
		return 1
	}
	if age >= staleAfter {
		return 0
	}
	return float64(staleAfter-age) / float64(staleAfter-freshFor)
}

// othersAt is the number of attempts of other instances in a load report.
func othersAt(l *table.Load) float64 {
	return float64(max(0, l.Running+l.Waiting-l.Own))
}

// inFlight estimates the attempts of all instances at e. A report that ages gives way to the mean of the version, so
// that an endpoint that has stopped reporting doesn't look idle.
func inFlight(e *table.Endpoint, meanOthers float64, now time.Time) float64 {
	w := freshness(&e.Load, now)
	return float64(e.Live.InFlight.Load()) + w*othersAt(&e.Load) + (1-w)*meanOthers
}

// finish estimates the seconds from dispatch at e to the end of the answer, with hit prompt tokens cached.
func (c *chooser) finish(e *table.Endpoint, load, hit float64) float64 {
	if c.req.PromptTokens == 0 && c.req.ExpectedOutput == 0 {
		return plainFinish(e, load, c.limit(e))
	}
	wait := float64(e.Live.Prefill.Load()) + freshness(&e.Load, c.now)*float64(e.Load.Waiting)*waitingPrompt
	own := (float64(c.req.PromptTokens) - hit) / defaultPrefillRate
	prefill := wait/defaultPrefillRate + own*(1+computeWeight)
	perToken := defaultPerToken * (1 + perTokenSlope*load)
	if measured := e.Live.PerToken.Load(); measured > 0 {
		perToken = (perToken + float64(measured)/1e6) / 2
	}
	t := prefill + float64(c.req.ExpectedOutput)*perToken
	return t + queueing(load, c.limit(e), t)
}

func plainFinish(e *table.Endpoint, load, limit float64) float64 {
	t := defaultResponse
	if measured := e.Live.FirstToken.Load(); measured > 0 {
		t = float64(measured) / 1e6
	}
	return t*(1+load/max(limit, 1)) + queueing(load, limit, t)
}

// queueing is the wait for a slot when more attempts are under way than the endpoint runs at once.
func queueing(load, limit, service float64) float64 {
	if limit <= 0 || load < limit {
		return 0
	}
	return (load - limit + 1) * service / limit
}

// score is the expected finishing time, weighted by price and by what a reclaim would cost.
func (c *chooser) score(e *table.Endpoint, load, hit float64) float64 {
	t := c.finish(e, load, hit)
	factor := 1 + jitter*c.rng.Float64()
	if c.index.MinPrice > 0 {
		factor += priceWeight * (e.Price/c.index.MinPrice - 1)
	}
	if e.Reclaimable {
		factor += reclaimRisk
	}
	s := t * factor
	if !e.LeaveBy.IsZero() {
		left := e.LeaveBy.Sub(c.now).Seconds()
		s += lateLoss * max(0, t-left)
	}
	return s
}
