package fleet

import (
	"math/rand/v2"
	"time"
)

// pauseJitter divides a pause to get the random time by which it is extended: many instances may be told to come back at
// the same moment.
const pauseJitter = 10

// Signals is what an endpoint says of itself with an answer.
type Signals struct {
	Leaving bool          // it is leaving
	Pause   time.Duration // it wants no request from this instance for so long; 0: says nothing
	Cold    time.Duration // it is cold for so long; 0: says nothing
	// Tolerates is the number of rejected requests in a second above which the endpoint falls over; 0: says nothing.
	Tolerates int
	Rejected  bool  // the answer rejects the request for want of room
	Invalid   error // a signal that could not be read and counts for nothing; nil: none
}

// OnSignal sets the function that is called with the signals of each answer that has any; Rejected counts as one while the
// service is brittle, Tolerates does not. isNew is set if they changed
// what was known of the endpoint. It must be called before the table is used; fn must not call RecordSignals.
func (t *Table) OnSignal(fn func(e *Endpoint, s Signals, isNew bool)) { t.onSignal = fn }

// RecordSignals records the signals of an answer of this endpoint that arrived at now, also those of an answer without
// any.
func (e *Endpoint) RecordSignals(s Signals, now time.Time) {
	if !s.Leaving {
		e.answeredAt.Store(now.UnixNano())
	}
	if s.Cold > 0 {
		e.recordCold(s.Cold, now)
	}
	if s.Tolerates > 0 && e.table != nil {
		e.table.recordBrittle(e, s.Tolerates, now)
	}
	s.Rejected = s.Rejected && !s.Leaving && e.IsBrittle(now)
	if s.Rejected {
		e.places.reject()
		// The jitter keeps the instances apart that were rejected at the same time.
		pause := e.brittle.rejectionPause(e.Slots)
		e.gate.pause(now.Add(pause+rand.N(pause/2+1)), now)
	}
	if e.table == nil || !s.Leaving && s.Pause <= 0 && s.Invalid == nil && !s.Rejected {
		return
	}
	isNew := false
	if s.Leaving {
		isNew = e.table.recordLeaving(e)
	}
	if s.Pause > 0 && e.gate.pause(now.Add(s.Pause+rand.N(s.Pause/pauseJitter+1)), now) {
		isNew = true
	}
	if e.table.onSignal != nil {
		e.table.onSignal(e, s, isNew)
	}
}

// FirstInvalid reports whether it is called for the first time for this endpoint, so that a faulty one is logged once.
func (e *Endpoint) FirstInvalid() bool { return !e.saidInvalid.Swap(true) }

// recordLeaving stops new work for an endpoint that says that it is leaving, and reports whether that is news.
func (t *Table) recordLeaving(e *Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNew := t.departed.add(e.ID, e.StartedMs, e.Address)
	if e.IsLeaving() {
		return isNew
	}
	e.leavingSince.Store(max(1, e.answeredAt.Load()))
	e.leave(time.Time{})
	t.publish(time.Now())
	return true
}

// LeavingSince returns the earliest time at which an endpoint that says that it is leaving may have begun to leave: that
// of its last answer that did not say so, and the Unix epoch if there was none. It is the zero time for other endpoints.
func (e *Endpoint) LeavingSince() time.Time {
	if ns := e.leavingSince.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}
