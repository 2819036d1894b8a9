// Package quota limits what workspaces use over all instances together. Each instance keeps a token bucket for each
// workspace, takes its own use from it at once, and that of the others as they report it. Between two reports it
// assumes that the others go on as before. An instance out of touch with others keeps to an even share.
package quota

import (
	"sync"
	"time"
)

// Limit is the quota of a workspace: units a second and a burst of units.
type Limit struct{ PerSecond, Burst float64 }

// Tolerance is what the use in a window may exceed the quota by: a part of it and a number of units.
type Tolerance struct{ Share, Units float64 }

const (
	// Of the tolerance, a part widens the buckets, so that a request larger than the burst of a small workspace is
	// served and requests below the quota are not refused by chance. The rest is for what the instances use before
	// they hear of each other.
	ratePart = 0.6
	unitPart = 0.5
)

// widened returns the limit that the buckets enforce.
func (t Tolerance) widened(l Limit) Limit {
	return Limit{PerSecond: l.PerSecond * (1 + t.Share*ratePart), Burst: l.Burst + t.Units*unitPart}
}

const (
	// silentIntervals is the age of a report, in intervals, after which an instance counts as out of touch.
	silentIntervals = 4
	// defaultInterval is the interval of reports until Expect names another.
	defaultInterval = 400 * time.Millisecond
	// forgetAfter is when a silent instance is no longer believed to serve: longer than the window of the quota rule.
	forgetAfter = 10 * time.Second
	// rateMemory is the time over which the use of another instance is averaged.
	rateMemory = 2 * time.Second
	// neededShare is the part of a request's cost that must be left in the bucket. A bucket that had to hold the whole
	// cost would refuse large requests far below the limit.
	neededShare = 0.25
	// startShare is the part of the burst in a new bucket. What the instances used before a common restart is not
	// known, and the window of the rule reaches back before it.
	startShare = 0.3
	// shareFactor widens the even share of an instance out of touch, since callers spread unevenly.
	shareFactor = 1.3
	// largeShareFactor does so in large fleets, where an instance has few requests of a workspace at a time.
	largeShareFactor = 1.5
	// largeFleet is the number of instances above which each keeps to its share also in touch: their reports are
	// slower, and together they would go far beyond a quota before they hear of each other.
	largeFleet = 16
	// minRetry and maxRetry bound the Retry-After of a refusal.
	minRetry = 100 * time.Millisecond
	maxRetry = 5 * time.Second
)

// Report is what an instance has used since its start, by workspace.
type Report map[string]uint64

// Ledger is the view of one instance. It is safe for concurrent use.
type Ledger struct {
	mu        sync.Mutex
	tolerance Tolerance
	own       Report
	buckets   map[string]*bucket
	origins   map[string]*origin
	expected  int // instances that should exist, this one included
	interval  time.Duration
}

type bucket struct {
	limit Limit
	level float64
	share float64 // level of this instance's even share
	at    time.Time
}

// origin is another instance's process.
type origin struct {
	instance string
	used     Report
	rates    map[string]float64 // units a second
	at       time.Time          // of the newest report
	left     bool
}

// NewLedger returns a ledger without use. expected is the number of instances that should exist.
func NewLedger(tolerance Tolerance, expected int) *Ledger {
	return &Ledger{tolerance: tolerance, own: Report{}, buckets: map[string]*bucket{}, origins: map[string]*origin{}, expected: max(1, expected), interval: defaultInterval}
}

// SetTolerance replaces the tolerance.
func (l *Ledger) SetTolerance(t Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = t
}

// Expect sets the number of instances that should exist, this one included, and the interval of their reports.
func (l *Ledger) Expect(n int, interval time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected, l.interval = max(1, n), interval
}

// Take counts cost against a workspace's limit and reports whether it was within it, and else when a retry may be.
func (l *Ledger) Take(workspace string, limit Limit, cost float64, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit.PerSecond <= 0 {
		l.own[workspace] += uint64(cost)
		return true, 0
	}
	limit = l.tolerance.widened(limit)
	b := l.bucket(workspace, limit, now)
	missing := cost*neededShare - (b.level - l.predicted(workspace, now))
	perSecond := limit.PerSecond
	if l.expected > largeFleet || l.outOfTouch(now) > 0 {
		if lack := cost*neededShare - b.share; lack > missing {
			missing, perSecond = lack, limit.PerSecond*l.share()
		}
	}
	if missing > 0 {
		return false, min(max(minRetry, time.Duration(missing/perSecond*float64(time.Second))), maxRetry)
	}
	b.level -= cost
	b.share -= cost
	l.own[workspace] += uint64(cost)
	return true, 0
}

// Return gives back the cost of a request that did not run.
func (l *Ledger) Return(workspace string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[workspace] -= min(l.own[workspace], uint64(cost))
	if b := l.buckets[workspace]; b != nil {
		b.level += cost
		b.share += cost
	}
}

// bucket needs l.mu.
func (l *Ledger) bucket(workspace string, limit Limit, now time.Time) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{limit: limit, level: limit.Burst * startShare, at: now}
		b.share = b.level / float64(l.expected)
		l.buckets[workspace] = b
	}
	b.limit = limit
	passed := now.Sub(b.at).Seconds()
	b.at = now
	b.level = min(limit.Burst, b.level+limit.PerSecond*passed)
	part := l.share()
	b.share = min(limit.Burst*part, b.share+limit.PerSecond*part*passed)
	return b
}

// share is the part of a quota that this instance may use by itself. It needs l.mu.
func (l *Ledger) share() float64 {
	factor := shareFactor
	if l.expected > largeFleet {
		factor = largeShareFactor
	}
	return factor / float64(l.expected)
}

// predicted is what the others are expected to have used since their reports. It needs l.mu.
func (l *Ledger) predicted(workspace string, now time.Time) float64 {
	sum := 0.0
	for _, o := range l.origins {
		age := now.Sub(o.at)
		if !o.left && age < forgetAfter {
			sum += o.rates[workspace] * age.Seconds()
		}
	}
	return sum
}

// outOfTouch is the number of instances that should exist and have not been heard of lately. It needs l.mu.
func (l *Ledger) outOfTouch(now time.Time) int {
	heard := 1
	for _, o := range l.origins {
		if !o.left && now.Sub(o.at) < silentIntervals*l.interval {
			heard++
		}
	}
	return max(0, l.expected-heard)
}

// OutOfTouch returns the number of instances that should exist and have not been heard of lately. While it is not
// zero, this instance keeps to its even share.
func (l *Ledger) OutOfTouch(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outOfTouch(now)
}

// Report returns this instance's use. The result is a copy.
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(Report, len(l.own))
	for ws, n := range l.own {
		out[ws] = n
	}
	return out
}

// Receive takes over the report of another instance's process. Nothing more is expected of its earlier processes.
func (l *Ledger) Receive(instance, process string, r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.origins[process]
	if o == nil {
		l.forgetOld(now)
		for _, earlier := range l.origins {
			earlier.left = earlier.left || earlier.instance == instance // has a successor
		}
		o = &origin{instance: instance, used: Report{}, rates: map[string]float64{}, at: now.Add(-rateMemory)}
		l.origins[process] = o
	}
	passed := max(now.Sub(o.at).Seconds(), 0.05)
	weight := min(1, passed/rateMemory.Seconds())
	for ws, n := range r {
		used := float64(n) - float64(o.used[ws])
		o.rates[ws] += (max(0, used)/passed - o.rates[ws]) * weight
		if b := l.buckets[ws]; b != nil {
			b.level -= used
		}
	}
	o.used, o.at, o.left = r, now, false
}

// forgetOld needs l.mu.
func (l *Ledger) forgetOld(now time.Time) {
	for id, o := range l.origins {
		if now.Sub(o.at) > 2*forgetAfter {
			delete(l.origins, id)
		}
	}
}

// Left takes note that another instance's process has ended, so that nothing more is expected of it.
func (l *Ledger) Left(process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.origins[process]; o != nil {
		o.left = true
	}
}
