// Package quota limits the total use of each workspace over all instances. Each instance keeps a token bucket per
// workspace. It deducts its own use at once and the use of other instances when they report it. Between reports it
// assumes that the other instances continue at their recent rate.
//
// Instances that receive reports from each other and from no other instance form a group. A group may use a share of
// the quota in proportion to its number of instances; the rest is left to the unreachable instances. An instance is in
// no group if one of its peers reaches a different set of instances. It then limits itself to an even share, since it
// receives no reports from the instances that only its peers reach.
//
// In large fleets an instance serves few requests of a workspace at a time and reports are infrequent, so neither the
// reported total nor an even share tells whether a request is within the quota. There each workspace has an owner, an
// instance that takes tokens from its bucket on behalf of all instances that reach it. An instance uses its even share
// only while it reaches no owner.
package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is the quota of a workspace: a rate in units a second and a burst in units. A rate of 0 or less means no
// limit.
type Limit struct{ PerSecond, Burst float64 }

// Tolerance is the amount by which the use in a window may exceed the quota: a share of the quota plus a number of
// units.
type Tolerance struct{ Share, Units float64 }

const (
	// bucketRateShare and bucketUnitShare are the shares of the tolerance that are added to the buckets, so that a
	// request larger than the burst of a small workspace is served and random peaks below the quota are not refused.
	// The rest covers use that the instances have not yet reported to each other.
	bucketRateShare = 0.6
	bucketUnitShare = 0.5
)

// bucketLimit returns the limit that the buckets enforce: l plus a share of the tolerance.
func (t Tolerance) bucketLimit(l Limit) Limit {
	return Limit{PerSecond: l.PerSecond * (1 + t.Share*bucketRateShare), Burst: l.Burst + t.Units*bucketUnitShare}
}

const (
	// unreachableIntervals is the age of the last report, in intervals, from which an instance counts as unreachable.
	unreachableIntervals = 4
	// defaultInterval is the report interval until Expect sets another.
	defaultInterval = 400 * time.Millisecond
	// processExpiry is the age of the last report after which the record of a process is dropped. It is more than
	// twice the window over which use is compared with the quota.
	processExpiry = 20 * time.Second
	// rateAveragingTime is the time constant of the moving average of the rate at which another process uses a quota.
	rateAveragingTime = 2 * time.Second
	// startSpread is the time within which processes that are restarted together start. The initial level of a new
	// bucket accounts for what an older process used before that time.
	startSpread = time.Second
	// requiredCostShare is the share of a request's cost that the bucket must hold. Requiring the whole cost would
	// refuse large requests far below the limit.
	requiredCostShare = 0.25
	// initialLevelShare is the share of the burst that a new bucket holds. After a restart of all instances their
	// earlier use is lost, but it still counts in the current window of the quota.
	initialLevelShare = 0.3
	// evenShareFactor enlarges the even share of an instance, since callers spread unevenly over the instances.
	evenShareFactor = 1.3
	// partitionedShareFactor reduces the even share of an instance that reaches no owner, since the owner reserves that
	// share only after several reports of the instance are missing.
	partitionedShareFactor = 0.75
	// secondaryOwnerShare is the largest share of a quota that a secondary owner may grant while some instances do not
	// reach the owner.
	secondaryOwnerShare = 0.5
	// minRetry and maxRetry bound the retry delay returned with a refusal.
	minRetry = 100 * time.Millisecond
	maxRetry = 5 * time.Second
)

// Report is the message that each instance sends to the others.
type Report struct {
	Used            map[string]uint64 `cbor:"1,keyasint,omitempty"` // units since its start, by workspace
	ReachableDigest uint64            `cbor:"2,keyasint"`           // digest of its reachable instances, itself included
	Age             time.Duration     `cbor:"3,keyasint"`           // since its start
}

// Ledger holds one instance's buckets and the reports that it received. It is safe for concurrent use.
type Ledger struct {
	mu             sync.Mutex
	self           string
	since          time.Time
	tolerance      Tolerance
	own            map[string]uint64 // units used by this process, by workspace
	buckets        map[string]*bucket
	processes      map[string]*peerProcess
	expected       int // number of instances that should exist, this one included
	interval       time.Duration
	reportedDigest uint64 // reachableDigest at the last report
}

type bucket struct {
	limit       Limit
	level       float64
	groupLevel  float64 // what this instance's group may use of level
	unreachable int     // number of unreachable instances at the last update
	ownLevel    float64 // what this instance may use by itself
	updatedAt   time.Time
}

// add changes the levels that the reachable instances share.
func (b *bucket) add(units float64) {
	b.level += units
	b.groupLevel += units
}

// peerProcess holds the reports of another instance's process.
type peerProcess struct {
	instance        string
	digest          uint64 // hash of the instance ID
	used            map[string]uint64
	rates           map[string]float64 // units a second, by workspace
	reachableDigest uint64             // digest of its own reachable instances
	reportedAt      time.Time          // when the newest report arrived
	ended           bool
}

// NewLedger returns an empty ledger. expected is the number of instances that should exist, this one included.
func NewLedger(self string, tolerance Tolerance, expected int, now time.Time) *Ledger {
	return &Ledger{
		self: self, since: now, tolerance: tolerance, own: map[string]uint64{}, buckets: map[string]*bucket{},
		processes: map[string]*peerProcess{}, expected: max(1, expected), interval: defaultInterval,
	}
}

// SetLimits creates the buckets of new workspaces before their first requests, so that they fill up and the reported
// use of other instances is deducted from them.
func (l *Ledger) SetLimits(limits map[string]Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace, limit := range limits {
		if limit.PerSecond > 0 && l.buckets[workspace] == nil {
			l.bucket(workspace, l.tolerance.bucketLimit(limit), l.ownShare(), now)
		}
	}
}

// SetTolerance replaces the tolerance. Existing buckets use the new one from their next request on.
func (l *Ledger) SetTolerance(t Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = t
}

// Expect sets the number of instances that should exist, this one included, and the report interval.
func (l *Ledger) Expect(n int, interval time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected, l.interval = max(1, n), interval
}

// Acquire acquires cost units of a workspace's quota. It reports whether they were within the limit and, if not, the
// time after which to retry.
func (l *Ledger) Acquire(workspace string, limit Limit, cost float64, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ungrouped := l.unreachableCount(now) > 0 && !l.inGroup(now)
	return l.acquire(workspace, limit, cost, checks{share: l.ownShare(), total: true, group: true, own: ungrouped}, now)
}

// AcquireAsOwner is Acquire called by the owner of the workspace on behalf of any instance. secondary is true if the
// instance does not reach the owner and this is the secondary owner; other instances may still reach the owner.
func (l *Ledger) AcquireAsOwner(workspace string, limit Limit, cost float64, secondary bool, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	unreachable := l.unreachableCount(now)
	share := l.groupShare(unreachable)
	if secondary {
		share = min(share, secondaryOwnerShare)
	}
	return l.acquire(workspace, limit, cost, checks{share: share, total: true, own: share < 1}, now)
}

// AcquireFromEvenShare is Acquire for an instance that reaches no owner of the workspace. It takes from the instance's
// even share.
func (l *Ledger) AcquireFromEvenShare(workspace string, limit Limit, cost float64, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acquire(workspace, limit, cost, checks{share: partitionedShareFactor / float64(l.expected), own: true}, now)
}

// checks selects the levels that a request is checked against.
type checks struct {
	share float64 // share of the quota that this instance may use by itself
	total bool    // check the total use of all reachable instances
	group bool    // with total: check against the group's share of the quota instead of the whole
	own   bool    // check this instance's use against share
}

// acquire implements Acquire, AcquireAsOwner and AcquireFromEvenShare. The caller must hold l.mu.
func (l *Ledger) acquire(workspace string, limit Limit, cost float64, c checks, now time.Time) (bool, time.Duration) {
	if limit.PerSecond <= 0 {
		l.own[workspace] += uint64(cost)
		return true, 0
	}
	limit = l.tolerance.bucketLimit(limit)
	b := l.bucket(workspace, limit, c.share, now)
	deficit, perSecond := 0.0, limit.PerSecond
	if c.total {
		level := b.level
		if c.group {
			level = b.groupLevel
		}
		deficit = cost*requiredCostShare - (level - l.predictedUse(workspace, now))
	}
	if ownDeficit := cost*requiredCostShare - b.ownLevel; c.own && ownDeficit > deficit {
		deficit, perSecond = ownDeficit, limit.PerSecond*c.share
	}
	if deficit > 0 {
		return false, min(max(minRetry, time.Duration(deficit/perSecond*float64(time.Second))), maxRetry)
	}
	b.add(-cost)
	b.ownLevel -= cost
	l.own[workspace] += uint64(cost)
	return true, 0
}

// Release releases the units that were acquired for a request that did not run.
func (l *Ledger) Release(workspace string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[workspace] -= min(l.own[workspace], uint64(cost))
	if b := l.buckets[workspace]; b != nil {
		b.add(cost)
		b.ownLevel += cost
	}
}

// bucket returns the bucket of a workspace, refilled up to now. share is the share of the quota that this instance may
// use by itself. The caller must hold l.mu.
func (l *Ledger) bucket(workspace string, limit Limit, share float64, now time.Time) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{level: limit.Burst * initialLevelShare, updatedAt: now, unreachable: l.unreachableCount(now)}
		b.ownLevel, b.groupLevel = b.level*share, b.level*l.groupShare(b.unreachable)
		l.buckets[workspace] = b
	}
	b.limit = limit
	elapsed := now.Sub(b.updatedAt).Seconds()
	b.updatedAt = now
	b.level = min(limit.Burst, b.level+limit.PerSecond*elapsed)
	b.ownLevel = min(limit.Burst*share, b.ownLevel+limit.PerSecond*share*elapsed)
	l.updateGroupLevel(b, elapsed, now)
	return b
}

// updateGroupLevel refills the group level. When an instance becomes unreachable, the group level drops by that
// instance's share of a full bucket, which the instance may have used since its last report. When instances become
// reachable again, the group level rises, since their reports contain what they used. The caller must hold l.mu.
func (l *Ledger) updateGroupLevel(b *bucket, elapsed float64, now time.Time) {
	before := b.unreachable
	b.unreachable = l.unreachableCount(now)
	if b.unreachable > before {
		full := b.limit.Burst + b.limit.PerSecond*l.reportTimeout().Seconds()
		b.groupLevel -= full * float64(b.unreachable-before) / float64(l.expected)
	} else if before > 0 {
		b.groupLevel += (b.level - b.groupLevel) * float64(before-b.unreachable) / float64(before)
	}
	share := l.groupShare(b.unreachable)
	b.groupLevel = min(b.groupLevel+b.limit.PerSecond*share*elapsed, b.limit.Burst*share, b.level)
}

// groupShare returns the share of a quota that belongs to the reachable instances. The caller must hold l.mu.
func (l *Ledger) groupShare(unreachable int) float64 {
	return float64(l.expected-unreachable) / float64(l.expected)
}

// ownShare returns the share of a quota that this instance may use by itself. The caller must hold l.mu.
func (l *Ledger) ownShare() float64 { return evenShareFactor / float64(l.expected) }

// predictedUse returns the units that the other reachable instances are expected to have used since their last reports.
// The caller must hold l.mu.
func (l *Ledger) predictedUse(workspace string, now time.Time) float64 {
	sum := 0.0
	for _, p := range l.processes {
		if l.isReachable(p, now) {
			sum += p.rates[workspace] * now.Sub(p.reportedAt).Seconds()
		}
	}
	return sum
}

// isReachable reports whether a process has reported recently and has not ended. The caller must hold l.mu.
func (l *Ledger) isReachable(p *peerProcess, now time.Time) bool {
	return !p.ended && now.Sub(p.reportedAt) < l.reportTimeout()
}

// reachableDigest returns an order-independent digest of the reachable instances, this one included. The caller must
// hold l.mu.
func (l *Ledger) reachableDigest(now time.Time) uint64 {
	sum := xxhash.Sum64String(l.self)
	for _, p := range l.processes {
		if l.isReachable(p, now) {
			sum ^= p.digest
		}
	}
	return sum
}

// inGroup reports whether all reachable instances have the same reachable instances as this one. The caller must hold
// l.mu.
func (l *Ledger) inGroup(now time.Time) bool {
	digest := l.reachableDigest(now)
	for _, p := range l.processes {
		if l.isReachable(p, now) && p.reachableDigest != digest {
			return false
		}
	}
	return true
}

// reportTimeout returns the age of the last report from which an instance counts as unreachable. The caller must hold
// l.mu.
func (l *Ledger) reportTimeout() time.Duration { return unreachableIntervals * l.interval }

// unreachableCount returns the number of instances that should exist and are unreachable. The caller must hold l.mu.
func (l *Ledger) unreachableCount(now time.Time) int {
	reachable := 1
	for _, p := range l.processes {
		if l.isReachable(p, now) {
			reachable++
		}
	}
	return max(0, l.expected-reachable)
}

// UnreachableInstances returns the number of instances that should exist and are unreachable. Their share of the quotas
// is reserved for them.
func (l *Ledger) UnreachableInstances(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unreachableCount(now)
}

// Report returns this instance's report. The report shares no memory with the ledger.
func (l *Ledger) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedDigest = l.reachableDigest(now)
	return Report{Used: maps.Clone(l.own), ReachableDigest: l.reportedDigest, Age: now.Sub(l.since)}
}

// ReachabilityChanged reports whether the set of reachable instances has changed since this instance's last report.
func (l *Ledger) ReachabilityChanged(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reachableDigest(now) != l.reportedDigest
}

// Receive records a report of another instance's process. Earlier processes of that instance count as ended.
func (l *Ledger) Receive(instance, process string, r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.processes[process]
	if p == nil {
		l.receiveFirst(instance, process, r, now)
		return
	}
	elapsed := max(now.Sub(p.reportedAt).Seconds(), 0.05)
	weight := min(1, elapsed/rateAveragingTime.Seconds())
	for ws, n := range r.Used {
		used := float64(n) - float64(p.used[ws])
		p.rates[ws] += (max(0, used)/elapsed - p.rates[ws]) * weight
		if b := l.buckets[ws]; b != nil {
			b.add(-used)
		}
	}
	p.used, p.reachableDigest, p.reportedAt, p.ended = r.Used, r.ReachableDigest, now, false
}

// receiveFirst records the first report of a process. If the process is older than startSpread, only the average use
// during startSpread, which may have occurred since the buckets were created, is deducted from them. The caller must
// hold l.mu.
func (l *Ledger) receiveFirst(instance, process string, r Report, now time.Time) {
	l.expireProcesses(now)
	for _, earlier := range l.processes {
		earlier.ended = earlier.ended || earlier.instance == instance // replaced by the new process
	}
	p := &peerProcess{instance: instance, digest: xxhash.Sum64String(instance), used: r.Used, rates: map[string]float64{}, reachableDigest: r.ReachableDigest, reportedAt: now}
	l.processes[process] = p
	age := max(r.Age, defaultInterval)
	for ws, n := range r.Used {
		p.rates[ws] = float64(n) / age.Seconds()
		if b := l.buckets[ws]; b != nil {
			b.add(-float64(n) * min(1, startSpread.Seconds()/age.Seconds()))
		}
	}
}

// expireProcesses drops the processes without a recent report. The caller must hold l.mu.
func (l *Ledger) expireProcesses(now time.Time) {
	for id, p := range l.processes {
		if now.Sub(p.reportedAt) > processExpiry {
			delete(l.processes, id)
		}
	}
}

// ProcessEnded marks another instance's process as ended, so that it is no longer reachable and no further use is
// predicted.
func (l *Ledger) ProcessEnded(process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.processes[process]; p != nil {
		p.ended = true
	}
}
