// Package quota limits what workspaces use over all instances together. Each instance keeps a token bucket for each
// workspace, takes its own use from it at once, and that of the others as they report it. Between two reports it
// assumes that the others go on as before.
//
// Instances that hear each other and nobody else form a group. A group shares its part of the quota, by the number of
// its instances, and leaves the rest to those that it does not hear. An instance whose peers hear others than itself is
// in no group and keeps to an even share by itself, since what the others use there cannot be known.
//
// In large fleets an instance has few requests of a workspace at a time, and reports are slow, so that neither the sum
// nor a share says whether one may be served. There each workspace has a home, an instance that takes from its bucket
// for all that reach it; the others use their shares only while they reach no home.
package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// forgetAfter is the age of the newest report after which a process's record is dropped: more than twice the window
	// of the quota rule.
	forgetAfter = 20 * time.Second
	// rateMemory is the time over which the use of another instance is averaged.
	rateMemory = 2 * time.Second
	// startSpread is the time within which processes that are restarted together start: what an older process used
	// before it stands in the starting level of a new bucket.
	startSpread = time.Second
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

// Report is what an instance tells the others.
type Report struct {
	Used  map[string]uint64 `cbor:"1,keyasint,omitempty"` // since its start, by workspace
	Heard uint64            `cbor:"2,keyasint"`           // digest of the instances it hears, itself included
	Age   time.Duration     `cbor:"3,keyasint"`           // since its start
}

// Ledger is the view of one instance. It is safe for concurrent use.
type Ledger struct {
	mu        sync.Mutex
	self      string
	since     time.Time
	tolerance Tolerance
	own       map[string]uint64 // by workspace
	buckets   map[string]*bucket
	origins   map[string]*origin
	expected  int // instances that should exist, this one included
	interval  time.Duration
	reported  uint64 // digest of the instances in touch at the last report
}

type bucket struct {
	limit  Limit
	level  float64
	group  float64 // of the level, without the parts of the instances out of touch
	silent int     // instances out of touch at the last look
	share  float64 // level of this instance's even share
	at     time.Time
}

// add changes what the instances in touch have left.
func (b *bucket) add(units float64) {
	b.level += units
	b.group += units
}

// origin is another instance's process.
type origin struct {
	instance string
	digest   uint64 // of the instance
	used     map[string]uint64
	rates    map[string]float64 // units a second
	heard    uint64             // digest of the instances that it hears
	at       time.Time          // of the newest report
	left     bool
}

// NewLedger returns the ledger of an instance, without use. expected is the number of instances that should exist.
func NewLedger(self string, tolerance Tolerance, expected int, now time.Time) *Ledger {
	return &Ledger{
		self: self, since: now, tolerance: tolerance, own: map[string]uint64{}, buckets: map[string]*bucket{},
		origins: map[string]*origin{}, expected: max(1, expected), interval: defaultInterval,
	}
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
	alone := l.outOfTouch(now) > 0 && !l.isGroup(now)
	return l.take(workspace, limit, cost, terms{part: l.share(), sum: true, grouped: true, shared: alone}, now)
}

// TakeAtHome is Take by the home of the workspace, for any instance. A substitute acts for a home that the instance
// does not reach; others may still reach it.
func (l *Ledger) TakeAtHome(workspace string, limit Limit, cost float64, substitute bool, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := l.outOfTouch(now)
	part := l.partOfGroup(silent)
	if substitute {
		part = min(part, substitutePart)
	}
	return l.take(workspace, limit, cost, terms{part: part, sum: true, shared: part < 1}, now)
}

// TakeAlone is Take by an instance that reaches no home of the workspace, from its even share.
func (l *Ledger) TakeAlone(workspace string, limit Limit, cost float64, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.take(workspace, limit, cost, terms{part: aloneFactor / float64(l.expected), shared: true}, now)
}

// terms tell what a request is taken from.
type terms struct {
	part    float64 // of the quota, that this instance may use by itself
	sum     bool    // the use of all instances in touch binds
	grouped bool    // their part of the quota binds too
	shared  bool    // the part of this instance binds
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
		level := b.level
		if t.grouped {
			level = b.group
		}
		missing = cost*neededShare - (level - l.predicted(workspace, now))
	}
	if lack := cost*neededShare - b.share; t.shared && lack > missing {
		missing, perSecond = lack, limit.PerSecond*t.part
	}
	if missing > 0 {
		return false, min(max(minRetry, time.Duration(missing/perSecond*float64(time.Second))), maxRetry)
	}
	b.add(-cost)
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
		b.add(cost)
		b.share += cost
	}
}

// bucket brings a bucket up to date. part is that of the quota which this instance may use by itself. It needs l.mu.
func (l *Ledger) bucket(workspace string, limit Limit, part float64, now time.Time) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{level: limit.Burst * startShare, at: now, silent: l.outOfTouch(now)}
		b.share, b.group = b.level*part, b.level*l.partOfGroup(b.silent)
		l.buckets[workspace] = b
	}
	b.limit = limit
	passed := now.Sub(b.at).Seconds()
	b.at = now
	b.level = min(limit.Burst, b.level+limit.PerSecond*passed)
	b.share = min(limit.Burst*part, b.share+limit.PerSecond*part*passed)
	l.updateGroup(b, passed, now)
	return b
}

// updateGroup fills the part of the instances in touch. Of one that falls silent it is not known whether it used its part
// of a full bucket before that was noticed; one that is heard of again has told what it used. It needs l.mu.
func (l *Ledger) updateGroup(b *bucket, passed float64, now time.Time) {
	before := b.silent
	b.silent = l.outOfTouch(now)
	if b.silent > before {
		full := b.limit.Burst + b.limit.PerSecond*l.silence().Seconds()
		b.group -= full * float64(b.silent-before) / float64(l.expected)
	} else if before > 0 {
		b.group += (b.level - b.group) * float64(before-b.silent) / float64(before)
	}
	part := l.partOfGroup(b.silent)
	b.group = min(b.group+b.limit.PerSecond*part*passed, b.limit.Burst*part, b.level)
}

// partOfGroup is the part of the quotas of the instances in touch. It needs l.mu.
func (l *Ledger) partOfGroup(silent int) float64 {
	return float64(l.expected-silent) / float64(l.expected)
}

// share is the part of a quota that this instance may use by itself. It needs l.mu.
func (l *Ledger) share() float64 { return shareFactor / float64(l.expected) }

// predicted is what the others in touch are expected to have used since their reports. It needs l.mu.
func (l *Ledger) predicted(workspace string, now time.Time) float64 {
	sum := 0.0
	for _, o := range l.origins {
		if l.isHeard(o, now) {
			sum += o.rates[workspace] * now.Sub(o.at).Seconds()
		}
	}
	return sum
}

// isHeard reports whether an instance's process is in touch. It needs l.mu.
func (l *Ledger) isHeard(o *origin, now time.Time) bool {
	return !o.left && now.Sub(o.at) < l.silence()
}

// heard is a digest of the instances in touch, this one included, in any order. It needs l.mu.
func (l *Ledger) heard(now time.Time) uint64 {
	sum := xxhash.Sum64String(l.self)
	for _, o := range l.origins {
		if l.isHeard(o, now) {
			sum ^= o.digest
		}
	}
	return sum
}

// isGroup reports whether all instances in touch hear the same instances as this one. It needs l.mu.
func (l *Ledger) isGroup(now time.Time) bool {
	heard := l.heard(now)
	for _, o := range l.origins {
		if l.isHeard(o, now) && o.heard != heard {
			return false
		}
	}
	return true
}

// silence is the age of a report after which an instance counts as out of touch. It needs l.mu.
func (l *Ledger) silence() time.Duration { return silentIntervals * l.interval }

// outOfTouch is the number of instances that should exist and have not been heard of lately. It needs l.mu.
func (l *Ledger) outOfTouch(now time.Time) int {
	heard := 1
	for _, o := range l.origins {
		if l.isHeard(o, now) {
			heard++
		}
	}
	return max(0, l.expected-heard)
}

// OutOfTouch returns the number of instances that should exist and have not been heard of lately. They have their part
// of the quotas.
func (l *Ledger) OutOfTouch(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outOfTouch(now)
}

// Report returns this instance's report. It shares nothing with the ledger.
func (l *Ledger) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported = l.heard(now)
	return Report{Used: maps.Clone(l.own), Heard: l.reported, Age: now.Sub(l.since)}
}

// HearsOthersThanReported reports whether the instances in touch are others than in this instance's last report.
func (l *Ledger) HearsOthersThanReported(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard(now) != l.reported
}

// Receive takes over the report of another instance's process. Nothing more is expected of its earlier processes.
func (l *Ledger) Receive(instance, process string, r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.origins[process]
	if o == nil {
		l.receiveFirst(instance, process, r, now)
		return
	}
	passed := max(now.Sub(o.at).Seconds(), 0.05)
	weight := min(1, passed/rateMemory.Seconds())
	for ws, n := range r.Used {
		used := float64(n) - float64(o.used[ws])
		o.rates[ws] += (max(0, used)/passed - o.rates[ws]) * weight
		if b := l.buckets[ws]; b != nil {
			b.add(-used)
		}
	}
	o.used, o.heard, o.at, o.left = r.Used, r.Heard, now, false
}

// receiveFirst takes over the first report of a process. Of an older process's use only what may fall after the start of
// the buckets is taken from them. It needs l.mu.
func (l *Ledger) receiveFirst(instance, process string, r Report, now time.Time) {
	l.forgetOld(now)
	for _, earlier := range l.origins {
		earlier.left = earlier.left || earlier.instance == instance // has a successor
	}
	o := &origin{instance: instance, digest: xxhash.Sum64String(instance), used: r.Used, rates: map[string]float64{}, heard: r.Heard, at: now}
	l.origins[process] = o
	age := max(r.Age, defaultInterval)
	for ws, n := range r.Used {
		o.rates[ws] = float64(n) / age.Seconds()
		if b := l.buckets[ws]; b != nil {
			b.add(-float64(n) * min(1, startSpread.Seconds()/age.Seconds()))
		}
	}
}

// forgetOld needs l.mu.
func (l *Ledger) forgetOld(now time.Time) {
	for id, o := range l.origins {
		if now.Sub(o.at) > forgetAfter {
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
