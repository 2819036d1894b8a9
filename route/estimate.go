package route

import (
	"time"

	"github.com/trefoillug/trefoillug/table"
)

// Estimates for what has not been measured at an endpoint.
const (
	defaultPrefillRate = 4000.0 // prompt tokens a second
	defaultPerToken    = 0.015  // seconds for a token while one stream runs
	perTokenSlope      = 0.03   // growth of the time per token with each further stream
	defaultResponse    = 0.050  // seconds to the response header of a plain service
	queuedPromptTokens = 1000.0 // prompt tokens of a request queued at the endpoint
)

const (
	fullWeightAge   = 2 * time.Second  // a load report has full weight up to this age
	zeroWeightAge   = 10 * time.Second // and no weight from this age on
	maxPrefixAge    = 10 * time.Minute // a prefix is assumed to be cached up to this time after its last use
	recordedHitRate = 0.9              // probability that a prefix recorded for an endpoint is still cached
	priceWeight     = 0.05             // relative time penalty of an endpoint at twice the lowest price
	reclaimPenalty  = 0.02             // relative extra time for an endpoint that can be reclaimed
	// computeWeight is the extra weight of the time to compute a prompt, during which the engine slows its other
	// streams; waiting in the queue doesn't slow them.
	computeWeight = 3.0
	cutOffWeight  = 2.0  // weight of work that a reclaim at a known time would cut off
	jitter        = 0.02 // relative noise, so that instances with the same reports choose different endpoints
)

// ringHitRate is the probability that an endpoint at the first, second or third ring position of a prefix has it
// cached although this instance has not recorded that: other instances send the prefix there as well.
var ringHitRate = [...]float64{0.8, 0.3, 0.1}

// reportWeight returns the weight of a load report by its age, from 1 down to 0.
func reportWeight(l *table.Load, now time.Time) float64 {
	if l.MeasuredAt.IsZero() {
		return 0
	}
	age := now.Sub(l.MeasuredAt)
	if age <= fullWeightAge {
		return 1
	}
	if age >= zeroWeightAge {
		return 0
	}
	return float64(zeroWeightAge-age) / float64(zeroWeightAge-fullWeightAge)
}

// otherAttempts returns the number of attempts of other instances in a load report.
func otherAttempts(l *table.Load) float64 {
	return float64(max(0, l.Running+l.Waiting-l.OwnInFlight))
}

// inFlight estimates the attempts of all instances at e. As a report ages, the mean of the version replaces it, so that
// an endpoint that has stopped reporting doesn't appear idle.
func inFlight(e *table.Endpoint, meanOthers float64, now time.Time) float64 {
	w := reportWeight(&e.Load, now)
	return float64(e.Live.InFlight.Load()) + w*otherAttempts(&e.Load) + (1-w)*meanOthers
}

// finishSeconds estimates the seconds from dispatch at e to the end of the answer. hit is the expected number of cached
// prompt tokens.
func (c *chooser) finishSeconds(e *table.Endpoint, load, hit float64) float64 {
	if c.req.PromptTokens == 0 && c.req.ExpectedOutputTokens == 0 {
		return plainFinishSeconds(e, load, c.limit(e))
	}
	wait := float64(e.Live.PrefillTokens.Load()) + reportWeight(&e.Load, c.now)*float64(e.Load.Waiting)*queuedPromptTokens
	own := (float64(c.req.PromptTokens) - hit) / defaultPrefillRate
	prefill := wait/defaultPrefillRate + own*(1+computeWeight)
	perToken := defaultPerToken * (1 + perTokenSlope*load)
	if measured := e.Live.PerToken.Load(); measured > 0 {
		perToken = (perToken + float64(measured)/1e6) / 2
	}
	t := prefill + float64(c.req.ExpectedOutputTokens)*perToken
	return t + queueSeconds(load, c.limit(e), t)
}

func plainFinishSeconds(e *table.Endpoint, load, limit float64) float64 {
	t := defaultResponse
	if measured := e.Live.FirstToken.Load(); measured > 0 {
		t = float64(measured) / 1e6
	}
	return t*(1+load/max(limit, 1)) + queueSeconds(load, limit, t)
}

// queueSeconds returns the wait in seconds for a slot when at least as many attempts are in flight as the endpoint runs
// at once. service is the time in seconds that an attempt takes.
func queueSeconds(load, limit, service float64) float64 {
	if limit <= 0 || load < limit {
		return 0
	}
	return (load - limit + 1) * service / limit
}

// score returns the expected seconds to finish, weighted by price and by the cost of a reclaim. Lower is better.
func (c *chooser) score(e *table.Endpoint, load, hit float64) float64 {
	t := c.finishSeconds(e, load, hit)
	factor := 1 + jitter*c.rng.Float64()
	if c.index.MinPrice > 0 {
		factor += priceWeight * (e.Price/c.index.MinPrice - 1)
	}
	if e.Reclaimable {
		factor += reclaimPenalty
	}
	s := t * factor
	if !e.LeaveBy.IsZero() {
		left := e.LeaveBy.Sub(c.now).Seconds()
		s += cutOffWeight * max(0, t-left)
	}
	return s
}
