package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// EngineFaults are set by POST /faults. Fields that name an event count the events of an attempt from 1; 0 switches the
// fault off.
type EngineFaults struct {
	CrashMarker string  `json:"crash_marker"` // a run whose prompt contains this text crashes the engine
	CrashMS     int     `json:"crash_ms"`     // time that the engine is down after a crash, ms
	StallFrom   int     `json:"silent_from"`  // the stream stalls from this event on
	Double      int     `json:"double"`       // this event is sent twice
	Reorder     int     `json:"reorder"`      // this event is sent after the next one
	Drop        int     `json:"drop"`         // this event is not sent
	Foreign     int     `json:"foreign"`      // this event carries another request's ID
	LateAttempt bool    `json:"late_attempt"` // an event of an abandoned attempt is sent before the second event
	ErrorRate   float64 `json:"error_rate"`   // share of requests answered with status 500
	Slow        float64 `json:"slow"`         // factor on the duration of all work; 0 means 1
	LeaveInMS   int     `json:"leave_in_ms"`  // the engine goes down after this time, ms
	Seed        uint64  `json:"seed"`         // seed of the random draws for ErrorRate
	DownNow     bool    `json:"down_now"`     // break all connections now and stay down until the next change
	Unframed    bool    `json:"unframed"`     // streams have no length and end with their connection
	Export      string  `json:"export"`       // how an export that has ended its attempt is answered; one of the Export constants
}

// Answers to exports that have ended their attempt.
const (
	ExportLost    = "lost"    // the connection breaks without an answer
	ExportGarbled = "garbled" // the answer is not readable
	ExportFailed  = "failed"  // status 500
	ExportGone    = "gone"    // status 404
	ExportLate    = "late"    // the answer comes after lateMoveTime
)

// serveExportFault answers an export with the current fault. It returns false if there is none.
func (e *Engine) serveExportFault(w http.ResponseWriter) bool {
	switch e.currentFaults().Export {
	case ExportLost:
		panic(http.ErrAbortHandler)
	case ExportGarbled:
		_, _ = w.Write([]byte("{\"")) // the caller may have gone
	case ExportFailed:
		w.WriteHeader(http.StatusInternalServerError)
	case ExportGone:
		w.WriteHeader(http.StatusNotFound)
	case ExportLate:
		time.Sleep(lateMoveTime)
		return false
	default:
		return false
	}
	return true
}

// faultState is the state of the engine that results from its faults.
type faultState struct {
	downUntil  time.Time
	down       bool
	leaveTimer *time.Timer
	random     *rand.Rand
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

// SetFaults replaces the faults. Streams in progress keep the event faults that they started with.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	if e.state.leaveTimer != nil {
		e.state.leaveTimer.Stop()
	}
	e.faults = f
	e.state = faultState{random: rand.New(rand.NewPCG(f.Seed, f.Seed))}
	if f.LeaveInMS > 0 {
		e.state.leaveTimer = time.AfterFunc(time.Duration(f.LeaveInMS)*time.Millisecond, e.goDown)
	}
	e.mu.Unlock()
	if f.DownNow {
		e.goDown()
	}
}

// goDown breaks all runs and keeps the engine down until the faults are replaced.
func (e *Engine) goDown() {
	e.mu.Lock()
	e.state.down = true
	e.mu.Unlock()
	e.breakRuns()
}

// breakRuns ends all runs, as a crash does, and empties the prefix cache.
func (e *Engine) breakRuns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		r.end(endCrashed)
	}
	e.cache.blocks, e.cache.order = nil, nil
}

// Down reports whether the engine is down because of a crash or a fault.
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
	if e.faults.ErrorRate == 0 || e.state.random.Float64() >= e.faults.ErrorRate {
		return false
	}
	e.counts.Errors++
	return true
}

// scaleDuration applies the fault Slow to the duration of some work.
func (e *Engine) scaleDuration(d time.Duration) time.Duration {
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
