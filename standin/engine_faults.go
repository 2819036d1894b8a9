package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// EngineFaults are set by POST /faults. Event numbers count the events of an attempt from 1; 0 switches a fault off.
type EngineFaults struct {
	CrashMarker string  `json:"crash_marker"` // a run whose prompt contains it crashes the engine
	CrashMS     int     `json:"crash_ms"`     // time that the engine is down after a crash
	SilentFrom  int     `json:"silent_from"`  // nothing is sent from this event on
	Double      int     `json:"double"`       // this event is sent twice
	Reorder     int     `json:"reorder"`      // this event comes after the next one
	Drop        int     `json:"drop"`         // this event is left out
	Foreign     int     `json:"foreign"`      // this event carries another request's ID
	LateAttempt bool    `json:"late_attempt"` // an event of an abandoned attempt comes in between
	ErrorRate   float64 `json:"error_rate"`   // share of requests answered with status 500
	Slow        float64 `json:"slow"`         // factor on all work; 0 means 1
	LeaveInMS   int     `json:"leave_in_ms"`  // the engine is gone after this time
	Seed        uint64  `json:"seed"`         // of the error rate
	DownNow     bool    `json:"down_now"`     // break all connections now and stay down until the next change
}

// faultState is what the faults have led to.
type faultState struct {
	downUntil time.Time
	down      bool
	leave     *time.Timer
	random    *rand.Rand
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// SetFaults replaces the faults. Streams in progress keep the faults that they started with.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	if e.state.leave != nil {
		e.state.leave.Stop()
	}
	e.faults = f
	e.state = faultState{random: rand.New(rand.NewPCG(f.Seed, f.Seed))}
	if f.LeaveInMS > 0 {
		e.state.leave = time.AfterFunc(time.Duration(f.LeaveInMS)*time.Millisecond, e.goDown)
	}
	e.mu.Unlock()
	if f.DownNow {
		e.goDown()
	}
}

func (e *Engine) goDown() {
	e.mu.Lock()
	e.state.down = true
	e.mu.Unlock()
	e.breakRuns()
}

func (e *Engine) breakRuns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		r.end(endCrashed)
	}
	e.cache.blocks, e.cache.order = nil, nil
}

// Down reports whether the engine is down after a crash or by a fault.
func (e *Engine) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.down || time.Now().Before(e.state.downUntil)
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) injectError() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.ErrorRate > 0 && e.state.random.Float64() < e.faults.ErrorRate
}

func (e *Engine) slowed(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Slow > 0 {
		d = time.Duration(float64(d) * e.faults.Slow)
	}
	return max(d, time.Microsecond)
}

// crashOnMarker takes the engine down when the prompt of a run contains the marker.
func (e *Engine) crashOnMarker(r *run) {
	f := e.currentFaults()
	if f.CrashMarker == "" || !slices.ContainsFunc(r.prompt, func(w string) bool { return strings.Contains(w, f.CrashMarker) }) {
		return
	}
	e.mu.Lock()
	e.state.downUntil = time.Now().Add(time.Duration(f.CrashMS) * time.Millisecond)
	e.mu.Unlock()
	e.breakRuns()
}
