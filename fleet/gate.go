package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

// rampStep is the interval after a pause in which one more request may wait for an answer at the endpoint, in addition
// to one for each answer: engines that are busy may take seconds for the first.
const rampStep = 50 * time.Millisecond

// gate holds back requests while an endpoint wants none, and lets them through step by step afterwards.
type gate struct {
	active atomic.Bool // false: the gate is open, and the rest is not used

	mu       sync.Mutex
	until    time.Time // end of the pause
	ramp     uint64    // number of the pause; Admission.ramp refers to it
	begun    time.Time // when the first request after the pause was admitted; zero: none was
	answered int       // requests admitted since the pause that were answered
	waiting  int       // requests admitted since the pause that wait for their answers
}

// pause closes the gate until a time, unless it already is for longer, and reports whether it was not closed before.
func (g *gate) pause(until, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasClosed := g.active.Load() && now.Before(g.until)
	if until.After(g.until) {
		g.until = until
	}
	g.ramp++
	g.begun, g.answered, g.waiting = time.Time{}, 0, 0
	g.active.Store(true)
	return !wasClosed
}

// room returns how many more requests may be sent, and 0 while the gate is closed. g.mu must be held.
func (g *gate) room(now time.Time) int {
	if now.Before(g.until) {
		return 0
	}
	return g.window(now) - g.waiting
}

// window returns how many requests may wait for answers at a time. g.mu must be held.
func (g *gate) window(now time.Time) int {
	window := 1 + g.answered
	if !g.begun.IsZero() {
		window += int(now.Sub(g.begun) / rampStep)
	}
	return window
}

// Admission is the permission to send one request to an endpoint.
type Admission struct {
	ramp  uint64
	place *placeUse // nil: the service is not brittle
}

// AcceptsAt returns when the endpoint accepts another request: now, or the end of its pause. After a pause it accepts as
// many requests as it has answered, and some more with time; between these steps the result is slightly after now. So it is
// while this instance has no place at an endpoint of a brittle service.
func (e *Endpoint) AcceptsAt(now time.Time) time.Time {
	if at := e.gate.acceptsAt(now); at.After(now) {
		return at
	}
	return e.placeAt(now)
}

func (g *gate) acceptsAt(now time.Time) time.Time {
	if !g.active.Load() {
		return now
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case now.Before(g.until):
		return g.until
	case g.room(now) > 0:
		return now
	}
	return now.Add(rampStep / 5)
}

// PausedUntil returns the end of the pause that the endpoint asked for, and the zero time if there is none at now.
func (e *Endpoint) PausedUntil(now time.Time) time.Time {
	g := &e.gate
	if !g.active.Load() {
		return time.Time{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.until) {
		return g.until
	}
	return time.Time{}
}

// IsRamping reports whether the endpoint is closed, or gets its requests step by step after a pause.
func (e *Endpoint) IsRamping() bool { return e.gate.active.Load() }

// Admit asks for the permission to send a request to the endpoint. A request that was admitted must be ended by
// EndAdmission once it is answered, and by EndRun after its run, or by CancelAdmission.
func (e *Endpoint) Admit(now time.Time) (Admission, bool) {
	place, ok := e.takePlace(now)
	if !ok {
		return Admission{}, false
	}
	a, ok := e.gate.admit(e.Slots, now)
	if !ok {
		place.end(false, now)
		return Admission{}, false
	}
	a.place = place
	return a, true
}

func (g *gate) admit(slots int, now time.Time) (Admission, bool) {
	if !g.active.Load() {
		return Admission{}, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.room(now) <= 0 {
		return Admission{}, false
	}
	if g.window(now) > max(1, slots) {
		g.active.Store(false)
		return Admission{}, true
	}
	if g.begun.IsZero() {
		g.begun = now
	}
	g.waiting++
	return Admission{ramp: g.ramp}, true
}

// EndRun ends the run of an admitted request. mayRun is set if the endpoint may still be at work on it.
func (e *Endpoint) EndRun(a Admission, mayRun bool, now time.Time) { a.place.end(mayRun, now) }

// CancelAdmission ends an admission whose request was not sent.
func (e *Endpoint) CancelAdmission(a Admission) {
	e.EndAdmission(a, false)
	a.place.end(false, time.Time{})
}

// EndAdmission ends the wait of an admitted request for its answer. answered is false if there was none, or if the
// endpoint did not run the request.
func (e *Endpoint) EndAdmission(a Admission, answered bool) {
	if a.ramp == 0 {
		return
	}
	g := &e.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.ramp != g.ramp {
		return
	}
	g.waiting--
	if answered {
		g.answered++
	}
}
