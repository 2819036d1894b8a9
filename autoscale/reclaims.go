package autoscale

import (
	"math"
	"time"
)

const (
	// usualSurplus is the share of reclaimable endpoints that is planned above those that are needed, until reclaims have
	// not been seen for surplusHold. They are cheap, and several zones are often reclaimed in succession, with no
	// replacements offered for many seconds.
	usualSurplus = 0.4
	// maxSurplus bounds the surplus after two zones were lost at once: with four zones, those that remain cover the need.
	maxSurplus = 0.5
	// surplusHold is how long the surplus stays after the latest zone was back. Zones are reclaimed in waves of some minutes,
	// and a caller whose endpoint is lost in the second of two zones finds none until others have started.
	surplusHold = 10 * time.Minute
	// surplusHalfLife is the time in which the surplus halves after that, so that the pool of a calm hour covers the loss of
	// the largest zone and little more.
	surplusHalfLife = 10 * time.Minute
)

// Reclaims estimates from the reclaims that were seen how many reclaimable endpoints to plan for each one that is needed.
// It needs no history of other instances: one that has just started plans as after a reclaim. The zero value is ready for
// use. It isn't safe for concurrent use.
type Reclaims struct {
	had      map[string]bool // zones that have had reclaimable endpoints
	surplus  float64         // at lastAway
	lastAway time.Time       // when a zone without its reclaimable endpoints was last seen
}

// Observe records the zones of a service at the time now. A zone that has lost all its reclaimable endpoints counts as
// reclaimed until it has some again.
func (r *Reclaims) Observe(zones []Zone, now time.Time) {
	if r.had == nil {
		r.had, r.surplus, r.lastAway = map[string]bool{}, usualSurplus, now
	}
	away := 0
	for _, z := range zones {
		switch {
		case z.Reclaimable > 0:
			r.had[z.Name] = true
		case r.had[z.Name]:
			away++
		}
	}
	if away > 0 {
		r.surplus, r.lastAway = max(r.surplusAt(now), surplusFor(away, len(zones))), now
	}
}

// Ratio returns the number of reclaimable endpoints to plan for each one that is needed, 1 at least.
func (r *Reclaims) Ratio(now time.Time) float64 {
	if r.had == nil {
		return 1 + usualSurplus
	}
	return 1 + r.surplusAt(now)
}

func (r *Reclaims) surplusAt(now time.Time) float64 {
	calm := max(0, now.Sub(r.lastAway)-surplusHold)
	return r.surplus * math.Exp2(-calm.Seconds()/surplusHalfLife.Seconds())
}

// surplusFor returns the surplus with which the need is covered while so many zones are away at once. The plan covers the
// loss of one zone without a surplus.
func surplusFor(away, zones int) float64 {
	if away < 2 || zones <= 2 {
		return usualSurplus
	}
	return min(maxSurplus, max(usualSurplus, float64(zones-1)/float64(zones-2)-1))
}
