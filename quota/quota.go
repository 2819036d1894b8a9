// Package quota limits what workspaces use over all instances together. Each instance keeps a token bucket for each
// workspace, takes its own use from it at once, and that of the others as they report it. Between two reports it
// assumes that the others go on as before. An instance out of touch with others keeps to an even share.
//
// In large fleets an instance has few requests of a workspace at a time, and reports are slow, so that neither the sum
// nor a share says whether one may be served. There each workspace has a home, an instance that takes from its bucket
// for all that reach it; the others use their shares only while they reach no home.
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
	// aloneFactor narrows the even share of an instance that reaches no home: the home leaves it that share only once it
	// has missed several reports.
	aloneFactor = 0.75
	// substitutePart is the part of a quota that a second home may use while some instances do not reach the first.
	substitutePart = 0.5
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

// SetLimits opens the buckets of new workspaces before their first requests, so that they fill up and count what the
// others report.
func (l *Ledger) SetLimits(limits map[string]Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace, limit := range limits {
		if limit.PerSecond > 0 && l.buckets[workspace] == nil {
			l.bucket(workspace, l.tolerance.widened(limit), l.share(), now)
		}
	}
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
	return l.take(workspace, limit, cost, terms{part: l.share(), sum: true, shared: l.outOfTouch(now) > 0}, now)
}

// TakeAtHome is Take by the home of the workspace, for any instance. A substitute acts for a home that the instance
// does not reach; others may still reach it.
func (l *Ledger) TakeAtHome(workspace string, limit Limit, cost float64, substitute bool, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := l.outOfTouch(now)
	part := float64(l.expected-silent) / float64(l.expected)
	if substitute {
		part = min(part, substitutePart)
	}
	return l.take(workspace, limit, cost, terms{part: part, sum: true, shared: part < 1, heard: true}, now)
}

// TakeAlone is Take by an instance that reaches no home of the workspace, from its even share.
func (l *Ledger) TakeAlone(workspace string, limit Limit, cost float64, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.take(workspace, limit, cost, terms{part: aloneFactor / float64(l.expected), shared: true}, now)
}

// terms tell what a request is taken from.
type terms struct {
	part   float64 // of the quota, that this instance may use by itself
	sum    bool    // the use of all instances binds
	shared bool    // the part binds
	heard  bool    // nothing more is expected of instances out of touch, since they have the rest of the parts
}

// take needs l.mu.
func (l *Ledger) take(workspace string, limit Limit, cost float64, t terms, now time.Time) (bool, time.Duration) {
	if limit.PerSecond <= 0 {
		l.own[workspace] += uint64(cost)
		return true, 0
	}
	limit = l.tolerance.widened(limit)
	b := l.bucket(workspace, limit, t.part, now)
	missing, perSecond := 0.0, limit.PerSecond
	if t.sum {
		missing = cost*neededShare - (b.level - l.predicted(workspace, t.heard, now))
	}
	if lack := cost*neededShare - b.share; t.shared && lack > missing {
		missing, perSecond = lack, limit.PerSecond*t.part
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

// bucket brings a bucket up to date. part is that of the quota which this instance may use by itself. It needs l.mu.
func (l *Ledger) bucket(workspace string, limit Limit, part float64, now time.Time) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{limit: limit, level: limit.Burst * startShare, at: now}
		b.share = b.level * part
		l.buckets[workspace] = b
	}
	b.limit = limit
	passed := now.Sub(b.at).Seconds()
	b.at = now
	b.level = min(limit.Burst, b.level+limit.PerSecond*passed)
	b.share = min(limit.Burst*part, b.share+limit.PerSecond*part*passed)
	return b
}

// share is the part of a quota that this instance may use by itself. It needs l.mu.
func (l *Ledger) share() float64 { return shareFactor / float64(l.expected) }

// predicted is what the others, or those in touch, are expected to have used since their reports. It needs l.mu.
func (l *Ledger) predicted(workspace string, heardOnly bool, now time.Time) float64 {
	memory := forgetAfter
	if heardOnly {
		memory = l.silence()
	}
	sum := 0.0
	for _, o := range l.origins {
		age := now.Sub(o.at)
		if !o.left && age < memory {
			sum += o.rates[workspace] * age.Seconds()
		}
	}
	return sum
}

// silence is the age of a report after which an instance counts as out of touch. It needs l.mu.
func (l *Ledger) silence() time.Duration { return silentIntervals * l.interval }

// outOfTouch is the number of instances that should exist and have not been heard of lately. It needs l.mu.
func (l *Ledger) outOfTouch(now time.Time) int {
	heard := 1
	for _, o := range l.origins {
		if !o.left && now.Sub(o.at) < l.silence() {
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
