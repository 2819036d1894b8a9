package limit

import (
	"sync"
	"time"
)

const (
	// RetryRatio is the part of a service's requests that may be retries.
	RetryRatio = 0.10
	// MinRetriesPerSecond is allowed on each instance however few requests there are.
	MinRetriesPerSecond = 3

	retryWindow = time.Second
	retrySlots  = 20
	retrySlot   = retryWindow / retrySlots
)

// RetryBudget bounds the retries of one service on this instance: in the second up to each retry there are at most as
// many retries as 10% of the requests of that second, or three. It is safe for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	slots   [retrySlots]int64
	slot    int64       // number of the newest slot
	retries []time.Time // within the last window, oldest first
}

// Request counts a request, not its retries.
func (b *RetryBudget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.slots[b.slot%retrySlots]++
}

// Retry reports whether one more retry is within the budget, and counts it when it is.
func (b *RetryBudget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	for len(b.retries) > 0 && now.Sub(b.retries[0]) >= retryWindow {
		b.retries = b.retries[1:]
	}
	if len(b.retries) >= max(MinRetriesPerSecond, b.allowed()) {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// allowed returns the part of the requests in slots that are certainly within the last window.
func (b *RetryBudget) allowed() int {
	var n int64
	for _, s := range b.slots {
		n += s
	}
	return int(float64(n) * RetryRatio)
}

// advance clears the slots that have left the window.
func (b *RetryBudget) advance(now time.Time) {
	slot := now.UnixNano() / int64(retrySlot)
	if slot-b.slot >= retrySlots {
		clear(b.slots[:])
		b.slot = slot
		return
	}
	for b.slot < slot {
		b.slot++
		b.slots[b.slot%retrySlots] = 0
	}
}
