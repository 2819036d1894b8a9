package admission

import (
	"math"
	"time"
)

const (
	// queueingShare is the share of the objective that requests may wait in the queues of the endpoints. A short queue
	// keeps the endpoints busy between two answers; a long one delays the urgent requests that arrive later.
	queueingShare = 0.3
	// minQueued and maxQueued bound the requests that may wait at an endpoint, as a share of its slots. Endpoints reject
	// requests from about twice the slots on.
	minQueued = 0.1
	maxQueued = 0.8
	// enterMargin is the usage above the target at which the shortage begins; it is above the usual variation of a service
	// with enough capacity.
	enterMargin = 0.25
	// leastUsage is the reported usage below which there is no shortage, however fast the load grows.
	leastUsage = 0.8
	// minObserved is the number of samples below which there is no shortage: one busy endpoint is none.
	minObserved = 3
	// observeInterval is the least time between two adjustments of the window.
	observeInterval = 25 * time.Millisecond
	// averagingTime is that of the mean number of running requests. It is about the age of the reports that the usage is
	// made of, so that the quotient of both is the instance's part of the slots.
	averagingTime = 700 * time.Millisecond
	// maxTrend bounds the factor by which the usage is extrapolated from the reports with the instance's own requests.
	maxTrend = 2.0
	// trendDamping in requests keeps the extrapolation from following the variation of a few requests.
	trendDamping = 3
	// adjustment is the share of its distance to the wanted size by which the window changes in averagingTime.
	adjustment = 2.0
	// increase is the additive increase in requests a second, with which the windows of instances become even, and that of
	// a window with less than one request grows. Its jitter keeps instances that see the same free slots apart.
	increase = 2.0
	// minUsage bounds the growth of the window while the endpoints have free slots.
	minUsage = 0.5
	// minWindow lets an instance with little traffic send a request from time to time, whose answer shows the load.
	minWindow = 0.25
	// urgentBoost is the share of the window by which the most urgent requests may exceed it. The endpoints' queues have
	// room for it, and engines run urgent requests first. One urgent request may always run, since a smaller window would
	// delay or reject it because of the one before it.
	urgentBoost = 0.3
	// exitAfter is the time without waiting requests and without a shortage after which requests go at once again.
	exitAfter = time.Second
	// holdWeight is the weight of the latest request in the mean time from start to end.
	holdWeight = 0.1
	// serviceWeight and serviceGrowth are the weights with which the mean time in a slot follows a shorter and a longer
	// one. Under load the measured times include waits at the endpoints.
	serviceWeight = 0.02
	serviceGrowth = 0.01
	// objectiveWeight is the weight with which the least objective follows a longer one.
	objectiveWeight = 0.01
	// defaultHold applies until a request has ended.
	defaultHold = 500 * time.Millisecond
)

// Window bounds the requests of one instance at the endpoints of a service during a shortage. Its size follows from the
// usage that the endpoints report: the instance's part of their slots is the quotient of its own requests and the usage.
// Requests that wait at the endpoints are a part of both, so that the size is the same while a queue there drains.
type Window struct {
	random    func() float64 // in [0, 1)
	limit     float64        // 0: no shortage
	bound     float64        // see Service.SetBound; 0: none
	running   int
	mean      float64 // mean of running
	meanAt    time.Time
	slack     float64 // random part of a request, so that the mean number of requests is the limit
	hold      float64 // mean seconds from start to end
	service   float64 // mean seconds for which a request uses a slot, in the latest time of little load
	objective float64 // seconds; the shortest of late
	usage     float64 // of the endpoints, latest sample
	observed  int
	adjusted  time.Time
	calmSince time.Time // without waiting requests and without a shortage; zero: not calm
	lastStart time.Time
}

// Limit returns the size of the window in requests, and 0 while there is neither a shortage nor a bound.
func (w *Window) Limit() float64 {
	switch {
	case w.bound == 0:
		return w.limit
	case w.limit == 0:
		return w.bound
	}
	return min(w.limit, w.bound)
}

// Usage returns the usage of the endpoints: their running and waiting requests divided by their slots.
func (w *Window) Usage() float64 { return w.usage }

// Running returns the number of requests in the window.
func (w *Window) Running() int { return w.running }

// Hold returns the mean time from the start to the end of a request.
func (w *Window) Hold() time.Duration {
	if w.hold == 0 {
		return defaultHold
	}
	return time.Duration(w.hold * float64(time.Second))
}

// Target returns the usage of the endpoints that the window aims at.
func (w *Window) Target() float64 {
	if w.service == 0 {
		return 1 + minQueued
	}
	return 1 + min(max(queueingShare*w.objective/w.service, minQueued), maxQueued)
}

// HasRoom reports whether another request may start. urgent is set for the most urgent requests.
func (w *Window) HasRoom(urgent bool, now time.Time) bool {
	limit := w.Limit()
	if limit == 0 {
		return true
	}
	if urgent {
		limit = max(1, limit*(1+urgentBoost))
	}
	if limit < 1 {
		interval := time.Duration(float64(w.Hold()) / limit)
		return w.running == 0 && now.Sub(w.lastStart) >= interval
	}
	return float64(w.running)+1 <= limit+w.slack
}

// Interval returns the mean time between two starts in a full window.
func (w *Window) Interval() time.Duration {
	limit := w.Limit()
	if limit == 0 {
		limit = minWindow
	}
	return time.Duration(float64(w.Hold()) / limit)
}

// start begins a request that is expected to use a slot for the time service.
func (w *Window) start(objective, service time.Duration, now time.Time) {
	w.updateMean(now)
	w.running++
	w.lastStart = now
	w.slack = w.random()
	weight := serviceWeight
	if w.service == 0 {
		weight = 1
	} else if service.Seconds() > w.service {
		weight = serviceGrowth
	}
	w.service += weight * (service.Seconds() - w.service)
	if s := objective.Seconds(); s > 0 && (w.objective == 0 || s < w.objective) {
		w.objective = s
	} else if s > 0 {
		w.objective += (s - w.objective) * objectiveWeight
	}
}

// end ends a request. ran is false if no endpoint ran it.
func (w *Window) end(hold time.Duration, ran bool, now time.Time) {
	w.updateMean(now)
	w.running--
	w.slack = w.random()
	if !ran {
		return
	}
	if w.hold == 0 {
		w.hold = hold.Seconds()
	}
	w.hold += holdWeight * (hold.Seconds() - w.hold)
}

// updateMean adds the time since its last call to the mean number of running requests.
func (w *Window) updateMean(now time.Time) {
	if age := now.Sub(w.meanAt); age > 0 {
		w.mean += (float64(w.running) - w.mean) * -math.Expm1(-float64(age)/float64(averagingTime))
		w.meanAt = now
	}
}

// isDue reports whether the window is to be adjusted.
func (w *Window) isDue(now time.Time) bool { return now.Sub(w.adjusted) >= observeInterval }

// observe adjusts the window to the usage of the endpoints. A shortage begins by the cautious usage. waiting is the number of
// requests that wait for the window.
func (w *Window) observe(usage, cautious float64, waiting int, now time.Time) {
	w.updateMean(now)
	w.usage = usage
	w.observed++
	age := now.Sub(w.adjusted)
	w.adjusted = now
	target := w.Target()
	wanted := target * w.mean / max(w.usage, minUsage)
	if w.limit == 0 {
		if w.observed >= minObserved && cautious*w.trend() > target+enterMargin && cautious > leastUsage {
			w.limit = max(minWindow, wanted)
			w.calmSince = time.Time{}
		}
		return
	}
	isLimited := waiting > 0 || float64(w.running) >= w.limit-1
	if isLimited || wanted < w.limit && w.usage > target {
		w.limit += (wanted - w.limit) * -math.Expm1(-adjustment*float64(age)/float64(averagingTime))
	}
	if isLimited && w.usage < target {
		w.limit += increase * min(age, averagingTime).Seconds() * (0.5 + w.random())
	}
	w.limit = max(minWindow, w.limit)
	w.checkExit(waiting, now)
}

// trend returns by how much the instance's own requests have grown since the time of the reports.
func (w *Window) trend() float64 {
	return min(maxTrend, max(1/maxTrend, (float64(w.running)+trendDamping)/(w.mean+trendDamping)))
}

// checkExit ends the shortage once nothing has waited for a time.
func (w *Window) checkExit(waiting int, now time.Time) {
	switch {
	case waiting > 0 || w.usage > w.Target():
		w.calmSince = time.Time{}
	case w.calmSince.IsZero():
		w.calmSince = now
	case now.Sub(w.calmSince) >= exitAfter:
		w.limit, w.calmSince = 0, time.Time{}
	}
}
