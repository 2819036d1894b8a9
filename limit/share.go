package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// reportInterval is the time between demand messages to an owner.
	reportInterval = time.Second
	// grantLifetime is how long a grant lasts. The holder measures it from before it sent its demand and the owner
	// from after it received the demand, so a grant ends at its holder first.
	grantLifetime = 3 * time.Second
	// skewAllowance is the assumed bound on the time between two members observing the same change of membership.
	skewAllowance = 2 * time.Second
	// idleAfter is the time without requests after which a member stops reporting a workspace.
	idleAfter = 3 * time.Second
	// shareExpiry is the time without requests after which the state of a workspace is dropped.
	shareExpiry = 10 * time.Minute
	// The demand is the higher one of two moving averages: a short one that follows a rise quickly, and a long one that
	// keeps the grant during the gaps between random arrivals.
	shortAveragingTime = time.Second
	longAveragingTime  = 5 * time.Second
	// significantChange is the fraction of its rate by which a grant must change for its holder to report early. A
	// holder confirms a lower grant early, so that the owner can grant that rate to other members.
	significantChange = 0.2
	// defaultBurst is the burst of a workspace that configures none, as the time in which its rate yields that burst.
	defaultBurst = 100 * time.Millisecond
)

// key identifies a workspace of a service.
type key struct{ service, workspace string }

func (k key) String() string { return k.service + "/" + k.workspace }

// globalLimit is the configured limit of a workspace.
type globalLimit struct {
	rate  float64 // requests a second over all members
	burst float64
}

func newGlobalLimit(rate, burst float64) globalLimit {
	if burst <= 0 {
		burst = rate * defaultBurst.Seconds()
	}
	return globalLimit{rate: rate, burst: max(burst, 1)}
}

// burstFor returns the burst of a member that holds the given rate, at least 1 so that a request fits in.
func (g globalLimit) burstFor(rate float64) float64 { return max(1, g.burst*rate/g.rate) }

// share is this member's share of a workspace's limit.
type share struct {
	key
	global       globalLimit
	bucket       bucket
	grantedRate  float64   // rate of the last grant
	grantedUntil time.Time // end of the grant
	// demandFailed is true if a demand since the last grant got no grant; the even split is used then. While it is false
	// and there is no grant, requests wait for the answer of the owner.
	demandFailed  bool
	demandPending bool
	seq           uint64
	grantLowered  bool    // the last grant was significantly lower than the one before
	grantRaised   bool    // the last grant brought a significantly higher rate, or tokens
	shortDemand   float64 // requests a second, short moving average
	longDemand    float64 // requests a second, long moving average
	decayedAt     time.Time
	lastRequest   time.Time // time of the last request
	// The Retry-After of a refused request was computed with reservedRate and ends before reservedUntil; the grant must
	// not be lowered until then.
	reservedUntil time.Time
	reservedRate  float64
	waiters       []*waiter
	timer         *time.Timer
}

// waiter is a request that waits for tokens.
type waiter struct {
	cost     float64
	deadline time.Time
	ready    chan struct{} // closed when the tokens were taken or the request is refused
	taken    bool
	wait     time.Duration // expected wait at the refusal
}

func newShare(k key, g globalLimit, now time.Time) *share {
	return &share{key: k, global: g, bucket: bucket{last: now, burst: 1}, decayedAt: now, lastRequest: now}
}

// countRequest counts a request towards the demand, refused or not.
func (s *share) countRequest(cost float64, now time.Time) {
	s.decay(now)
	s.shortDemand += cost / shortAveragingTime.Seconds()
	s.longDemand += cost / longAveragingTime.Seconds()
	s.lastRequest = now
}

func (s *share) decay(now time.Time) {
	if elapsed := now.Sub(s.decayedAt); elapsed > 0 {
		s.shortDemand *= math.Exp(-float64(elapsed) / float64(shortAveragingTime))
		s.longDemand *= math.Exp(-float64(elapsed) / float64(longAveragingTime))
		s.decayedAt = now
	}
}

func (s *share) hasGrant(now time.Time) bool { return now.Before(s.grantedUntil) }

// expireGrant sets the bucket to the even split if the grant has ended and a demand has failed. Until a demand fails,
// the rate is zero and requests wait for the answer of the owner.
func (s *share) expireGrant(now time.Time, members int) {
	if s.hasGrant(now) {
		return
	}
	// No tokens accrue at the rate of the grant after its end.
	if !s.grantedUntil.IsZero() {
		s.bucket.refill(s.grantedUntil)
		s.bucket.rate = 0
		s.grantedUntil = time.Time{}
	}
	rate := 0.0
	if s.demandFailed {
		rate = s.global.rate / float64(max(members, 1))
	}
	if rate != s.bucket.rate {
		s.bucket.set(rate, s.global.burstFor(rate), now)
	}
}

// apply applies the owner's answer to a demand that was sent at requestedAt.
func (s *share) apply(g grant, requestedAt, now time.Time, members int) {
	if !g.IsOwner || !now.Before(requestedAt.Add(grantLifetime)) {
		s.applyFailure(now, members)
		return
	}
	s.expireGrant(now, members)
	if !s.hasGrant(now) {
		s.bucket.tokens = 0 // tokens of the even split are not part of the grant
	}
	s.demandFailed = false
	before := s.grantedRate
	s.grantLowered = g.Rate < before*(1-significantChange) && before-g.Rate > 1
	s.grantRaised = g.Rate > before*(1+significantChange) || g.Tokens > 0
	s.grantedRate, s.grantedUntil = g.Rate, requestedAt.Add(grantLifetime)
	s.bucket.set(g.Rate, s.global.burstFor(g.Rate), now)
	s.bucket.tokens = min(s.bucket.tokens+g.Tokens, s.bucket.burst)
}

// applyFailure records that a demand got no grant.
func (s *share) applyFailure(now time.Time, members int) {
	s.demandFailed = true
	s.expireGrant(now, members)
}

// reportsEarly reports whether to send a demand before reportInterval is over: to confirm a lower grant, or because
// requests wait and the last grant was raised.
func (s *share) reportsEarly() bool { return s.grantLowered || (len(s.waiters) > 0 && s.grantRaised) }

// idle reports whether no demand needs to be sent.
func (s *share) idle(now time.Time) bool {
	return now.Sub(s.lastRequest) >= idleAfter && len(s.waiters) == 0 && !now.Before(s.reservedUntil)
}

// serve admits waiters in order while there are tokens. It returns the time until there are tokens for the next one.
func (s *share) serve(now time.Time) time.Duration {
	for len(s.waiters) > 0 {
		w := s.waiters[0]
		if !s.bucket.take(w.cost, now) {
			return s.bucket.wait(0, w.cost, now)
		}
		w.taken = true
		close(w.ready)
		s.waiters = s.waiters[1:]
	}
	return 0
}

// expectedWait returns the time until a further request of the given cost gets its tokens, and false while there is no
// rate because the owner hasn't answered yet.
func (s *share) expectedWait(cost float64, now time.Time) (time.Duration, bool) {
	ahead := 0.0
	for _, w := range s.waiters {
		ahead += w.cost
	}
	return s.bucket.wait(ahead, cost, now), s.hasGrant(now) || s.demandFailed
}

// refuseLate refuses the waiters that can't meet their deadline at the current rate, instead of letting them wait for
// it.
func (s *share) refuseLate(now time.Time) {
	if !s.hasGrant(now) && !s.demandFailed {
		return
	}
	kept, ahead := s.waiters[:0], 0.0
	for _, w := range s.waiters {
		w.wait = s.bucket.wait(ahead, w.cost, now)
		if now.Add(w.wait).After(w.deadline) {
			close(w.ready)
			continue
		}
		ahead += w.cost
		kept = append(kept, w)
	}
	s.waiters = kept
}

// drop removes a waiter. It returns false if the waiter isn't in the queue.
func (s *share) drop(w *waiter) bool {
	i := slices.Index(s.waiters, w)
	if i < 0 {
		return false
	}
	s.waiters = slices.Delete(s.waiters, i, i+1)
	return true
}

// releaseTokens puts back into the bucket the tokens of a request that did not run.
func (s *share) releaseTokens(cost float64) {
	s.bucket.tokens = min(s.bucket.burst, s.bucket.tokens+cost)
}

// report returns the next demand message of the share.
func (s *share) report(now time.Time) demand {
	s.decay(now)
	s.seq++
	d := demand{Service: s.service, Workspace: s.workspace, Rate: float32(max(s.shortDemand, s.longDemand)), Seq: s.seq}
	if now.Before(s.reservedUntil) {
		d.Rate = max(d.Rate, float32(s.reservedRate/headroom))
	}
	for _, w := range s.waiters {
		d.Waiting += float32(w.cost)
	}
	if s.hasGrant(now) {
		d.Held, d.HeldFor = float32(s.grantedRate), uint32(s.grantedUntil.Sub(now).Milliseconds())
	}
	return d
}
