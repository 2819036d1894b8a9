package limit

import (
	"math"
	"time"
)

// bucket is a token bucket. It isn't safe for concurrent use.
type bucket struct {
	rate   float64 // tokens a second
	burst  float64 // largest number of tokens
	tokens float64
	last   time.Time
}

// refill adds the tokens that accrued since the last call.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.rate)
		b.last = now
	}
}

// set changes rate and burst from now on. Tokens above the new burst are discarded.
func (b *bucket) set(rate, burst float64, now time.Time) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// take removes cost tokens if the bucket has them, and reports whether it did. A cost above the burst requires a full
// bucket and leaves a negative balance.
func (b *bucket) take(cost float64, now time.Time) bool {
	b.refill(now)
	// Refilling accumulates rounding errors; without the tolerance a timer set for the exact time would fire too early.
	if b.tokens < min(cost, b.burst)-1e-9 {
		return false
	}
	b.tokens -= cost
	return true
}

// wait returns the time until a request of the given cost can be admitted behind others with the total cost ahead.
func (b *bucket) wait(ahead, cost float64, now time.Time) time.Duration {
	b.refill(now)
	missing := ahead + min(cost, b.burst) - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return maxWait
	}
	return time.Duration(math.Ceil(min(missing/b.rate, maxWait.Seconds()) * float64(time.Second)))
}

// maxWait is used for a wait that has no known end.
const maxWait = time.Hour
