package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// reportInterval is the time between two demand messages to a home.
	reportInterval = time.Second
	// grantLife is how long a grant lasts, measured by its holder from before it asked. The home measures from
	// after it was asked, so that a grant ends at its holder first.
	grantLife = 3 * time.Second
	// skewAllowance is the assumed bound on the time between two members learning of the same change of membership.
	skewAllowance = 2 * time.Second
	// idleAfter is the time without requests after which a node stops to report a workspace.
	idleAfter = 3 * time.Second
	// forgetAfter bounds the memory of workspaces that are no longer used.
	forgetAfter = 10 * time.Minute
	// The demand is the higher one of two moving averages: a short one that follows a rise, and a long one that keeps
	// the grant through the gaps between random arrivals.
	demandMemory     = time.Second
	longDemandMemory = 5 * time.Second
	// lowered is the part of its rate that a grant loses for its holder to confirm that at once, so that the home can
	// give it to others.
	lowered = 0.2
	// defaultBurst is the burst of a workspace without one, as time at its rate.
	defaultBurst = 100 * time.Millisecond
)

// key names a workspace of a service.
type key struct{ service, workspace string }

func (k key) String() string { return k.service + "/" + k.workspace }

// global is the configured limit of a workspace.
type global struct {
	rate  float64 // requests a second over all members
	burst float64
}

func newGlobal(rate, burst float64) global {
	if burst <= 0 {
		burst = rate * defaultBurst.Seconds()
	}
	return global{rate: rate, burst: max(burst, 1)}
}

// burstFor returns the burst of a member that holds a part of the rate; a request must fit in.
func (g global) burstFor(rate float64) float64 { return max(1, g.burst*rate/g.rate) }

// share is this member's part of a workspace's limit.
type share struct {
	key
	global  global
	bucket  bucket
	granted float64   // rate of the last grant
	until   time.Time // end of the grant
	// missed tells that the home was asked in vain since the last grant; without it and without a grant, requests
	// wait for the answer of the home.
	missed  bool
	asking  bool
	seq     uint64
	urgent  bool    // reports before the second is over
	hopeful bool    // the last message brought more
	demand  float64 // requests a second, short moving average
	steady  float64 // requests a second, long moving average
	counted time.Time
	last    time.Time // last request
	// A refused request was told to come back before keep, by the rate floor; the grant must not fall until then.
	keep    time.Time
	floor   float64
	waiters []*waiter
	timer   *time.Timer
}

// waiter is a request that waits for tokens.
type waiter struct {
	cost     float64
	deadline time.Time
	ready    chan struct{} // closed when the tokens were taken or the request is refused
	taken    bool
	wait     time.Duration // expected wait at the refusal
}

func newShare(k key, g global, now time.Time) *share {
	return &share{key: k, global: g, bucket: bucket{last: now, burst: 1}, counted: now, last: now}
}

// arrive counts a request towards the demand, refused or not.
func (s *share) arrive(cost float64, now time.Time) {
	s.decay(now)
	s.demand += cost / demandMemory.Seconds()
	s.steady += cost / longDemandMemory.Seconds()
	s.last = now
}

func (s *share) decay(now time.Time) {
	if elapsed := now.Sub(s.counted); elapsed > 0 {
		s.demand *= math.Exp(-float64(elapsed) / float64(demandMemory))
		s.steady *= math.Exp(-float64(elapsed) / float64(longDemandMemory))
		s.counted = now
	}
}

func (s *share) holds(now time.Time) bool { return now.Before(s.until) }

// settle moves the bucket to the even split when the grant has ended. Until the home was asked in vain, the rate is
// zero and requests wait for its answer.
func (s *share) settle(now time.Time, members int) {
	if s.holds(now) {
		return
	}
	// Tokens that accrue after the end of the grant must not accrue at its rate.
	if !s.until.IsZero() {
		s.bucket.refill(s.until)
		s.bucket.rate = 0
		s.until = time.Time{}
	}
	rate := 0.0
	if s.missed {
		rate = s.global.rate / float64(max(members, 1))
	}
	if rate != s.bucket.rate {
		s.bucket.set(rate, s.global.burstFor(rate), now)
	}
}

// apply takes the answer of the home to a question asked at the given time.
func (s *share) apply(g grant, asked, now time.Time, members int) {
	if !g.Home || !now.Before(asked.Add(grantLife)) {
		s.failed(now, members)
		return
	}
	s.settle(now, members)
	if !s.holds(now) {
		s.bucket.tokens = 0 // what accrued without a grant is not part of it
	}
	s.missed = false
	before := s.granted
	s.urgent = g.Rate < before*(1-lowered) && before-g.Rate > 1
	s.hopeful = g.Rate > before*(1+lowered) || g.Tokens > 0
	s.granted, s.until = g.Rate, asked.Add(grantLife)
	s.bucket.set(g.Rate, s.global.burstFor(g.Rate), now)
	s.bucket.tokens = min(s.bucket.tokens+g.Tokens, s.bucket.burst)
}

// failed takes the lack of an answer.
func (s *share) failed(now time.Time, members int) {
	s.missed = true
	s.settle(now, members)
}

// due reports whether the home should hear of this share before the second is over: to confirm a lower grant, or
// because requests wait and the last message brought more.
func (s *share) due() bool { return s.urgent || (len(s.waiters) > 0 && s.hopeful) }

// idle reports whether the home need not hear of this share.
func (s *share) idle(now time.Time) bool {
	return now.Sub(s.last) >= idleAfter && len(s.waiters) == 0 && !now.Before(s.keep)
}

// serve lets waiters through in order while there are tokens. It returns the time until the next one's turn.
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

// expectedWait returns the time until a further request of the given cost has its turn, and false while no rate is
// known because the home hasn't answered yet.
func (s *share) expectedWait(cost float64, now time.Time) (time.Duration, bool) {
	ahead := 0.0
	for _, w := range s.waiters {
		ahead += w.cost
	}
	return s.bucket.wait(ahead, cost, now), s.holds(now) || s.missed
}

// shed refuses the waiters that can't make their deadline at the present rate, so that they learn it at once.
func (s *share) shed(now time.Time) {
	if !s.holds(now) && !s.missed {
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

// drop removes a waiter; it reports false when it isn't waiting.
func (s *share) drop(w *waiter) bool {
	i := slices.Index(s.waiters, w)
	if i < 0 {
		return false
	}
	s.waiters = slices.Delete(s.waiters, i, i+1)
	return true
}

// giveBack returns the tokens of a request that wasn't run.
func (s *share) giveBack(cost float64) {
	s.bucket.tokens = min(s.bucket.burst, s.bucket.tokens+cost)
}

// report returns the demand message of the share.
func (s *share) report(now time.Time) demand {
	s.decay(now)
	s.seq++
	d := demand{Service: s.service, Workspace: s.workspace, Rate: float32(max(s.demand, s.steady)), Seq: s.seq}
	if now.Before(s.keep) {
		d.Rate = max(d.Rate, float32(s.floor/headroom))
	}
	for _, w := range s.waiters {
		d.Short += float32(w.cost)
	}
	if s.holds(now) {
		d.Held, d.HeldFor = float32(s.granted), uint32(s.until.Sub(now).Milliseconds())
	}
	return d
}
