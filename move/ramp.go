package move

import (
	"time"

	"github.com/trefoillug/trefoillug/config"
)

const (
	initialShare        = 0.02 // share before any route's rate is measured, and the least share of a probe
	maxProbeShare       = 0.25 // greatest share until enough attempts have been observed on each route
	fewAttempts         = 20   // on the new version; a route with fewer limits the share to maxShareFewAttempts
	maxShareFewAttempts = 0.05
	enoughAttempts      = 300  // on the new version of a route; usually enough to show that it is sound
	probeFraction       = 0.6  // of the move's length, in which each route should reach enoughAttempts
	relaxFraction       = 0.7  // of the length, after which the share is relaxShare whatever was observed
	fullFraction        = 0.85 // of the length, after which the share is 1 if each route has been observed
	relaxShare          = 0.5
	stepDivisor         = 40 // a step of the default ramp lasts length/stepDivisor, within minStep and maxStep
	minStep             = 3 * time.Second
	maxStep             = time.Minute
	leadDivisor         = 20 // a decision is made length/leadDivisor before the deadline, within minLead and maxLead
	minLead             = time.Second
	maxLead             = 10 * time.Second
	minWatch            = time.Minute
	maxWatch            = 30 * time.Minute
	minWindow           = 5 * time.Second
	minPlanTime         = time.Second
)

// defaultRamp holds the shares of the steps that follow once each route is sound, for plans without stages.
var defaultRamp = [...]float64{0.1, 0.25, 0.5, 1}

// plan is the committed plan of a move and the times derived from it.
type plan struct {
	move            config.Move
	length          time.Duration
	stages          []config.Stage
	usesDefaultRamp bool          // the ramp starts only when all routes are sound
	rampTime        time.Duration // sum of the stages' times
}

func newPlan(m *config.Move) plan {
	p := plan{move: *m, length: max(m.Deadline.Sub(m.Start), minPlanTime), stages: m.Stages}
	if len(p.stages) == 0 {
		p.usesDefaultRamp = true
		for _, share := range defaultRamp {
			p.stages = append(p.stages, config.Stage{Share: share, MinTime: p.stepTime()})
		}
	}
	for _, s := range p.stages {
		p.rampTime += s.MinTime
	}
	return p
}

func (p *plan) stepTime() time.Duration {
	return min(max(p.length/stepDivisor, minStep), maxStep, p.length/8)
}

// decideAt returns when a move that is still undecided is decided, early enough to record it before the deadline.
func (p *plan) decideAt() time.Time {
	return p.move.Deadline.Add(-min(max(p.length/leadDivisor, minLead), maxLead, p.length/4))
}

func (p *plan) watchPeriod() time.Duration {
	return min(max(p.length/2, minWatch), maxWatch)
}

func (p *plan) windowLen() time.Duration {
	return max(p.length/windowsPerMove, minWindow)
}

// stageShare returns the planned share after the given time on the ramp.
func (p *plan) stageShare(rampTime time.Duration) float64 {
	share := 0.0
	for _, s := range p.stages {
		share = s.Share
		if rampTime < s.MinTime {
			break
		}
		rampTime -= s.MinTime
	}
	return share
}

// allowedShare returns the share of the new version that plan, time and evidence allow.
func (p *plan) allowedShare(elapsed, rampTime time.Duration, sound bool, coverage routeCoverage) float64 {
	if sound {
		return p.stageShare(rampTime)
	}
	probe := p.probeShare(elapsed, coverage)
	if p.usesDefaultRamp {
		return probe
	}
	return min(p.stageShare(rampTime), probe)
}

// probeShare returns the share that yields enough attempts on the new version of each route in time. During the first
// tenth of the move's length, it is at most maxShareFewAttempts while a route has fewer than fewAttempts. Towards the
// deadline it rises even without enough attempts, since with little traffic the new version might otherwise not be
// observed at all.
func (p *plan) probeShare(elapsed time.Duration, coverage routeCoverage) float64 {
	fraction := float64(elapsed) / float64(p.length)
	switch {
	case coverage.observed && fraction >= fullFraction:
		return 1
	case fraction >= relaxFraction:
		return relaxShare
	}
	left := max(p.length.Seconds()*(probeFraction-fraction), p.length.Seconds()/20)
	share := initialShare
	if coverage.rate > 0 {
		share = coverage.missing / (coverage.rate * left)
	}
	if coverage.few && fraction < 0.1 {
		return min(max(share, initialShare), maxShareFewAttempts)
	}
	return min(max(share, initialShare), maxProbeShare)
}

// routeCoverage summarizes how far the routes have been observed on the new version.
type routeCoverage struct {
	few      bool    // a route has fewer than fewAttempts attempts on the new version
	observed bool    // each route with traffic has been observed on the new version
	missing  float64 // attempts still missing on the route that needs the highest share
	rate     float64 // attempts a second on that route
}

func surveyRoutes(routes []*routeEvidence, elapsed time.Duration) routeCoverage {
	s := routeCoverage{observed: true}
	need := 0.0
	for _, r := range routes {
		onNew := r.total.observed(newSide)
		all := onNew + r.total.observed(oldSide)
		if all == 0 {
			continue
		}
		s.few = s.few || onNew < fewAttempts
		s.observed = s.observed && observedEnough(onNew, all)
		rate := float64(all) / max(elapsed.Seconds(), 1)
		missing := float64(max(enoughAttempts-onNew, 0))
		if missing/rate > need {
			need, s.missing, s.rate = missing/rate, missing, rate
		}
	}
	return s
}

// observedEnough reports whether a route with traffic has the attempts on the new version that the decision at the
// deadline requires: three, or one in ten on a route with fewer than 30 attempts, and at least one.
func observedEnough(onNew, all int) bool {
	return onNew >= min(3, max(1, all/10))
}
