package feed

import "time"

// NotifyChange tells that a peer has taken over a change. When the own watch does not bring them soon, it
// may be silent, and the objects are listed again.
func (f *Feed) NotifyChange(changed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed >= changed || f.wanted >= changed {
		return
	}
	f.wanted = changed
	// A watch that rests to keep its pace is not silent, nor is one that may be behind.
	delay := notifyDelay + max(0, time.Until(f.pausedUntil))
	if f.mayBeOld {
		delay += oldTime
	}
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.listed || f.changed >= changed {
			return
		}
		f.behind = true
		f.interrupt()
	})
}

// LimitWait gives up a watch that would wait for longer than wait from now; the next one begins at once.
func (f *Feed) LimitWait(wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Until(f.watchEnd) > wait {
		f.interrupt()
	}
}

// Refresh gives up a watch that may be behind when the next one may not.
func (f *Feed) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mayBeOld && !f.s.MayBeOld() {
		f.interrupt()
	}
}

// interrupt needs f.mu.
func (f *Feed) interrupt() {
	if f.cancel != nil {
		f.interrupted = true
		f.cancel()
	}
}
