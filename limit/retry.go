package limit

import (
	"sync"
	"time"
)

const (
	// RetryRatio is the allowed number of retries as a fraction of a service's requests.
	RetryRatio = 0.10
	// MinRetriesPerSecond is the number of retries a second that each instance allows regardless of its requests.
	MinRetriesPerSecond = 3

	retryWindow = time.Second
	retrySlots  = 20
	retrySlot   = retryWindow / retrySlots
)

// RetryBudget bounds the retries of one service on this instance. Each second that ends at a retry contains at
// most three retries or, if that is more, 10% of the number of its requests. It is safe for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	slots   [retrySlots]int64
	slot    int64       // number of the newest slot
	retries []time.Time // within the last window, oldest first
}

// CountRequest counts a request. It must not be called for retries.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.slots[b.slot%retrySlots]++
}

// AcquireRetry reports whether one more retry is within the budget, and counts it if it is.
func (b *RetryBudget) AcquireRetry(now time.Time) bool {
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

// allowed returns the number of retries that RetryRatio allows. It counts only the slots that are entirely within the
// last window.
func (b *RetryBudget) allowed() int {
	var n int64
	for _, s := range b.slots {
		n += s
	}
	return int(float64(n) * RetryRatio)
}

// advance clears the slots that are older than the window.
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
