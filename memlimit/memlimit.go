// Package memlimit accounts for the memory that requests hold against one bound, and decides who waits and who is evicted
// when the bound is reached. It is not safe for concurrent use; package intake adds the lock, the clock and the reads.
package memlimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time over which the rate of progress of a holder is measured.
	rateWindow = time.Second
	// minAge bounds the rate of a holder that has just been opened.
	minAge = time.Millisecond
	// MinRate is the progress in bytes a second below which a holder counts as stalled while memory is short. The header
	// limits of the configuration (16,384 bytes in 3 s) demand five times as much of a head.
	MinRate = 1 << 10
	// graceTime is the age up to which a holder does not count as stalled: the time that the configuration allows for a head.
	graceTime = 3 * time.Second
	// stallTime is the time without a byte after which a holder counts as stalled at any age and whatever it received before.
	// It exceeds the time for which a holder may wait for memory, while nothing is read for it.
	stallTime = 2 * time.Second
	// pressureShare is the share of the bound above which stalled holders are evicted.
	pressureShare = 0.75
	// answersShare is the share of the bound that TryAdd may use. The rest is left to holders, so that held answers never
	// keep requests from being read.
	answersShare = 0.5
)

// Hold is the memory of one request or message.
type Hold struct {
	Priority int // 0 is the most urgent
	Owner    any // for the user of the account

	bytes    int64
	opened   time.Time
	updated  time.Time // when rate was computed
	rate     float64   // bytes received, decaying over rateWindow, a second
	complete bool
	evicted  bool
}

// Bytes returns the memory that is counted for the holder.
func (h *Hold) Bytes() int64 { return h.bytes }

// IsEvicted reports whether the holder has to give up its memory.
func (h *Hold) IsEvicted() bool { return h.evicted }

func (h *Hold) decayedAt(now time.Time) float64 { return h.rate * decay(now.Sub(h.updated)) }

// rateAt returns the rate of progress in bytes a second. That of a young holder is taken over its age, since it had no whole
// window to receive in.
func (h *Hold) rateAt(now time.Time) float64 {
	return h.decayedAt(now) / (1 - decay(max(minAge, now.Sub(h.opened))))
}

// decay returns the weight of what was received a time ago.
func decay(age time.Duration) float64 { return math.Exp(-float64(max(0, age)) / float64(rateWindow)) }

// isStalled reports whether a holder that is not complete makes too little progress to keep its memory while that is short.
func (h *Hold) isStalled(now time.Time) bool {
	return now.Sub(h.updated) >= stallTime || now.Sub(h.opened) >= graceTime && h.rateAt(now) < MinRate
}

// cost returns how long the holder keeps its memory for a byte of progress. A stalled holder costs most.
func (h *Hold) cost(now time.Time) float64 { return float64(h.bytes) / (h.rateAt(now) + MinRate) }

// Waiter is a holder that waits for more memory.
type Waiter struct {
	Hold *Hold
	// Granted is closed when the memory is counted for the holder.
	Granted chan struct{}

	bytes int64
	order uint64
}

// Account is a bound with what is counted against it. Use New.
type Account struct {
	bound    int64
	used     int64
	added    int64 // part of used: by TryAdd
	evicting int64 // part of used: of holders that were evicted and not closed yet
	holds    map[*Hold]struct{}
	waiters  []*Waiter // by priority, then by arrival
	arrivals uint64
}

// New returns an account with a bound in bytes.
func New(bound int64) *Account { return &Account{bound: bound, holds: map[*Hold]struct{}{}} }

// SetBound changes the bound. What is held above a lower one is not evicted until more is asked for.
func (a *Account) SetBound(bound int64) {
	a.bound = bound
	a.grant()
}

// Used returns the bytes that are counted.
func (a *Account) Used() int64 { return a.used }

// Open adds a holder without memory.
func (a *Account) Open(now time.Time, priority int, owner any) *Hold {
	h := &Hold{Priority: priority, Owner: owner, opened: now, updated: now}
	a.holds[h] = struct{}{}
	return h
}

// RecordProgress records that a holder has received n bytes.
func (a *Account) RecordProgress(now time.Time, h *Hold, n int) {
	h.rate = h.decayedAt(now) + float64(n)/rateWindow.Seconds()
	h.updated = now
}

// Complete records that a holder has received everything. It is not evicted any more.
func (a *Account) Complete(h *Hold) { h.complete = true }

// TryGrow counts n more bytes for a holder and reports whether they fit. They do not if a holder waits that comes first.
func (a *Account) TryGrow(h *Hold, n int64) bool {
	if a.used+n > a.bound || len(a.waiters) > 0 && a.waiters[0].Hold.Priority <= h.Priority {
		return false
	}
	a.count(h, n)
	return true
}

// TryGrowInCalm is TryGrow for memory that a holder can do without. It leaves room for others.
func (a *Account) TryGrowInCalm(h *Hold, n int64) bool {
	_, open := a.holds[h]
	return open && float64(a.used+n) <= pressureShare*float64(a.bound) && a.TryGrow(h, n)
}

func (a *Account) count(h *Hold, n int64) {
	h.bytes += n
	a.used += n
	if h.evicted {
		a.evicting += n
	}
}

// Shrink returns n bytes of a holder.
func (a *Account) Shrink(h *Hold, n int64) {
	a.count(h, -n)
	a.grant()
}

// Close returns all bytes of a holder.
func (a *Account) Close(h *Hold) {
	if _, ok := a.holds[h]; !ok {
		return
	}
	delete(a.holds, h)
	a.waiters = slices.DeleteFunc(a.waiters, func(w *Waiter) bool { return w.Hold == h })
	a.Shrink(h, h.bytes)
}

// TryAdd counts n bytes that no holder has and reports whether they fit into the share for them. Return them by Remove.
func (a *Account) TryAdd(n int64) bool {
	if float64(a.added+n) > answersShare*float64(a.bound) || a.used+n > a.bound {
		return false
	}
	a.added += n
	a.used += n
	return true
}

// Remove returns n bytes that TryAdd has counted.
func (a *Account) Remove(n int64) {
	a.added -= n
	a.used -= n
	a.grant()
}

// Wait makes a holder wait for n more bytes. It returns the holders that must be evicted to make room: those that hold most
// memory for least progress, as long as that is more than of the waiting one.
func (a *Account) Wait(now time.Time, h *Hold, n int64) (*Waiter, []*Hold) {
	a.arrivals++
	w := &Waiter{Hold: h, Granted: make(chan struct{}), bytes: n, order: a.arrivals}
	a.waiters = append(a.waiters, w)
	slices.SortFunc(a.waiters, func(x, y *Waiter) int {
		return cmp.Or(cmp.Compare(x.Hold.Priority, y.Hold.Priority), cmp.Compare(x.order, y.order))
	})
	need := a.used - a.evicting - a.bound
	for _, other := range a.waiters {
		if !other.Hold.evicted {
			need += other.bytes
		}
	}
	if need <= 0 {
		return w, nil
	}
	limit := h.cost(now)
	var candidates []candidate
	for other := range a.holds {
		if other == h || other.complete || other.evicted || other.bytes == 0 {
			continue
		}
		if cost := other.cost(now); cost > limit {
			candidates = append(candidates, candidate{other, cost})
		}
	}
	var victims []*Hold
	for _, other := range byCost(candidates) {
		if need <= 0 {
			break
		}
		need -= other.bytes
		a.evict(other)
		victims = append(victims, other)
	}
	return w, victims
}

// candidate is a holder that may be evicted with its cost, which takes too long to compute for each comparison.
type candidate struct {
	*Hold
	cost float64
}

// byCost returns the holders with those that cost most first, and less urgent ones first among equals.
func byCost(candidates []candidate) []*Hold {
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.cost, x.cost), cmp.Compare(y.Priority, x.Priority))
	})
	holds := make([]*Hold, len(candidates))
	for i, c := range candidates {
		holds[i] = c.Hold
	}
	return holds
}

// Cancel ends a wait. It reports whether the memory has been granted before.
func (a *Account) Cancel(w *Waiter) (granted bool) {
	select {
	case <-w.Granted:
		return true
	default:
	}
	a.waiters = slices.DeleteFunc(a.waiters, func(other *Waiter) bool { return other == w })
	a.grant()
	return false
}

// grant gives memory to those who wait, in their order.
func (a *Account) grant() {
	for len(a.waiters) > 0 && a.used+a.waiters[0].bytes <= a.bound {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		a.count(w.Hold, w.bytes)
		close(w.Granted)
	}
}

func (a *Account) evict(h *Hold) {
	h.evicted = true
	a.evicting += h.bytes
}

// EvictStalled evicts the stalled holders, if memory is short, and returns them.
func (a *Account) EvictStalled(now time.Time) []*Hold {
	if float64(a.used-a.evicting) <= pressureShare*float64(a.bound) {
		return nil
	}
	return a.evictStalled(now, math.MaxInt)
}

// EvictOneStalled evicts the stalled holder that holds most for least progress. It returns nil if there is none.
func (a *Account) EvictOneStalled(now time.Time) *Hold {
	if victims := a.evictStalled(now, 1); len(victims) > 0 {
		return victims[0]
	}
	return nil
}

func (a *Account) evictStalled(now time.Time, most int) []*Hold {
	var candidates []candidate
	for h := range a.holds {
		if !h.complete && !h.evicted && h.isStalled(now) {
			candidates = append(candidates, candidate{h, h.cost(now)})
		}
	}
	stalled := byCost(candidates)
	stalled = stalled[:min(len(stalled), most)]
	for _, h := range stalled {
		a.evict(h)
	}
	return stalled
}
