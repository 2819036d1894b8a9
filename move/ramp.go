package move

import (
	"time"

	"github.com/trefoillug/trefoillug/config"
)

const (
	firstShare  = 0.02 // of the traffic until each route has been seen a little
	probeShare  = 0.25 // highest share until each route has been seen enough
	littleSeen  = 20   // attempts on the new version of a route that allow more than smallShare
	smallShare  = 0.05
	enoughSeen  = 300 // attempts on the new version that usually show that it is sound
	seekPart    = 0.6 // of the time to the deadline in which each route should have been seen enough
	relaxPart   = 0.7 // after this part of the time the share rises although not enough has been seen
	fullPart    = 0.85
	relaxShare  = 0.5
	rampParts   = 40 // the default ramp's steps last this part of the time to the deadline, within the bounds below
	minStep     = 3 * time.Second
	maxStep     = time.Minute
	leadParts   = 20 // the decision at the deadline is taken this part of the time before it, within the bounds below
	minLead     = time.Second
	maxLead     = 10 * time.Second
	minWatch    = time.Minute
	maxWatch    = 30 * time.Minute
	minWindow   = 5 * time.Second
	minPlanTime = time.Second
)

// defaultRamp follows once each route has been seen enough.
var defaultRamp = [...]float64{0.1, 0.25, 0.5, 1}

// plan is the committed plan of a move with the times derived from it.
type plan struct {
	move   config.Move
	length time.Duration
	stages []config.Stage
	ramped bool          // the default ramp, which starts only when the evidence is sound
	total  time.Duration // of the stages
}

func newPlan(m *config.Move) plan {
	p := plan{move: *m, length: max(m.Deadline.Sub(m.Start), minPlanTime), stages: m.Stages}
	if len(p.stages) == 0 {
		p.ramped = true
		for _, share := range defaultRamp {
			p.stages = append(p.stages, config.Stage{Share: share, MinTime: p.step()})
		}
	}
	for _, s := range p.stages {
		p.total += s.MinTime
	}
	return p
}

func (p *plan) step() time.Duration {
	return min(max(p.length/rampParts, minStep), maxStep, p.length/8)
}

// decideAt is when an open move is decided, early enough to be recorded before the deadline.
func (p *plan) decideAt() time.Time {
	return p.move.Deadline.Add(-min(max(p.length/leadParts, minLead), maxLead, p.length/4))
}

func (p *plan) watch() time.Duration {
	return min(max(p.length/2, minWatch), maxWatch)
}

func (p *plan) window() time.Duration {
	return max(p.length/windowsPer, minWindow)
}

// stage returns the share after the given time of good evidence on the ramp.
func (p *plan) stage(clock time.Duration) float64 {
	share := 0.0
	for _, s := range p.stages {
		share = s.Share
		if clock < s.MinTime {
			break
		}
		clock -= s.MinTime
	}
	return share
}

// share returns the share of the new version that plan, time and evidence allow.
func (p *plan) share(elapsed, clock time.Duration, sound bool, seen seenRoutes) float64 {
	if sound {
		return p.stage(clock)
	}
	probe := p.probe(elapsed, seen)
	if p.ramped {
		return probe
	}
	return min(p.stage(clock), probe)
}

// probe is the share that shows enough of each route in time, small until each has been seen a little. Towards the
// deadline it rises without: with little traffic the version can otherwise not be observed at all.
func (p *plan) probe(elapsed time.Duration, seen seenRoutes) float64 {
	part := float64(elapsed) / float64(p.length)
	switch {
	case seen.observed && part >= fullPart:
		return 1
	case part >= relaxPart:
		return relaxShare
	}
	left := max(p.length.Seconds()*(seekPart-part), p.length.Seconds()/20)
	share := firstShare
	if seen.slowest > 0 {
		share = seen.missing / (seen.slowest * left)
	}
	if seen.little && part < 0.1 {
		return min(max(share, firstShare), smallShare)
	}
	return min(max(share, firstShare), probeShare)
}

// seenRoutes sums up how much of the routes has been observed.
type seenRoutes struct {
	little   bool    // a route has been seen less than littleSeen times on the new version
	observed bool    // each route with traffic has been observed on the new version
	missing  float64 // attempts that the route in need of the highest share still lacks
	slowest  float64 // attempts a second of that route
}

func survey(routes []*routeEvidence, elapsed time.Duration) seenRoutes {
	s := seenRoutes{observed: true}
	need := 0.0
	for _, r := range routes {
		fresh := r.total.observed(newSide)
		all := fresh + r.total.observed(oldSide)
		if all == 0 {
			continue
		}
		s.little = s.little || fresh < littleSeen
		s.observed = s.observed && observedEnough(fresh, all)
		rate := float64(all) / max(elapsed.Seconds(), 1)
		missing := float64(max(enoughSeen-fresh, 0))
		if missing/rate > need {
			need, s.missing, s.slowest = missing/rate, missing, rate
		}
	}
	return s
}

// observedEnough is the least that the decision at the deadline asks of a route with traffic: three attempts on the
// new version, and of a route with fewer than 30 attempts one in ten.
func observedEnough(fresh, all int) bool {
	return fresh >= min(3, max(1, all/10))
}
