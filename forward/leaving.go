package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/routing"
)

const (
	// leavingRetryAfter is the mean Retry-After of a request that a stopping instance does not take: other instances can
	// serve it at once.
	leavingRetryAfter = 20 * time.Millisecond
	// leavingSlack multiplies a recent duration of a route's answers to get the time that another one may take.
	leavingSlack = 1.25
	// usualShare is the share of the recent answers that took no longer than the duration that counts as usual.
	usualShare = 0.9
	// recentAnswers is the number of the latest answers whose durations are kept for each route.
	recentAnswers = 64
	// minRecentAnswers is the number of answers below which they say nothing about the next one.
	minRecentAnswers = 8
	// maxTimedRoutes bounds the routes whose durations are kept. The names of routes come and go with the configuration.
	maxTimedRoutes = 1024
)

// Stop describes the planned stop of an instance.
type Stop struct {
	LastSent time.Time // until then the balancer may send new connections
	End      time.Time // when the answers that are still open are cut
}

// checkLeaving refuses a request that the instance may cut when it stops. Its caller can repeat it elsewhere, which it
// could not once the request has run in part.
func (r *exchange) checkLeaving(now time.Time) *Refusal {
	stop := r.f.cfg.Stop()
	if stop == nil || r.endsInTime(stop, now) {
		return nil
	}
	return &Refusal{Err: problem.New(problem.NotReady, "the instance is stopping and may not finish the request"), RetryAfter: jitter(leavingRetryAfter)}
}

// endsInTime reports whether the answer to the request is expected to be complete before the end of a stop. A call that may
// run only once must be certain to. While the balancer still sends connections, callers who are refused may come back
// here, so the usual duration of the route's answers decides, and afterwards the longest one.
func (r *exchange) endsInTime(stop *Stop, now time.Time) bool {
	if !r.deadline().After(stop.End) {
		return true
	}
	if r.route.Kind == routing.NonIdempotent {
		return false
	}
	share := 1.0
	if now.Before(stop.LastSent) {
		share = usualShare
	}
	took, known := r.f.durations.quantile(r.route.Name, share)
	return known && now.Add(time.Duration(leavingSlack*float64(took))).Before(stop.End)
}

// recordDuration records the duration of a complete answer.
func (r *exchange) recordDuration() {
	r.f.durations.record(r.route.Name, time.Since(r.req.Arrived))
}

// routeDurations holds the durations of the latest complete answers of each route. It is safe for concurrent use; the
// zero value is empty.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[string]*recentDurations
}

type recentDurations struct {
	samples [recentAnswers]time.Duration
	count   int // of all answers
}

func (d *routeDurations) record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := d.byRoute[route]
	if recent == nil {
		if d.byRoute == nil || len(d.byRoute) >= maxTimedRoutes {
			d.byRoute = map[string]*recentDurations{}
		}
		recent = &recentDurations{}
		d.byRoute[route] = recent
	}
	recent.samples[recent.count%recentAnswers] = took
	recent.count++
}

// quantile returns the duration that a share of a route's recent answers did not exceed, and false if too few are known.
func (d *routeDurations) quantile(route string, share float64) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := d.byRoute[route]
	if recent == nil || recent.count < minRecentAnswers {
		return 0, false
	}
	known := slices.Sorted(slices.Values(recent.samples[:min(recent.count, recentAnswers)]))
	return known[int(share*float64(len(known)-1))], true
}
