package feed

import "time"

// NotifyChange is NotifyChangeIn for a change in the era in which the feed is.
func (f *Feed) NotifyChange(changed uint64) {
	f.mu.Lock()
	number := f.era
	f.mu.Unlock()
	f.NotifyChangeIn(number, changed)
}

// NotifyChangeIn tells the feed that a peer has received a change; changed is its revision in the era with the given
// number. If the feed's own watch does not return the change soon, the watch may be stalled, and the objects are listed
// again. A revision of another era says nothing.
func (f *Feed) NotifyChangeIn(number, changed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.era != number || f.changed >= changed || f.notified >= changed {
		return
	}
	f.notified = changed
	// A watch that pauses to keep its pace is not stalled, nor is one that may be stale.
	delay := notifyDelay + max(0, time.Until(f.pausedUntil))
	if f.mayBeStale {
		delay += maxStaleness
	}
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.listed || f.era != number || f.changed >= changed {
			return
		}
		f.mustList = true
		f.interrupt()
		select {
		case f.retryWake <- struct{}{}:
		default:
		}
	})
}

// LimitWait cancels a watch that would wait for longer than wait from now; the next one starts at once.
func (f *Feed) LimitWait(wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Until(f.watchEnd) > wait {
		f.interrupt()
	}
}

// CancelStaleWatch cancels a watch that may be stale if the next one must not be.
func (f *Feed) CancelStaleWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mayBeStale && !f.settings.MayBeStale() {
		f.interrupt()
	}
}

// interrupt cancels the waiting watch. Callers must hold f.mu.
func (f *Feed) interrupt() {
	if f.cancel != nil {
		f.interrupted = true
		f.cancel()
	}
}
