package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// MoveFault is a way in which a worker answers a call that has stopped a run for a move. The run stays stopped, and the
// worker keeps its memory.
type MoveFault string

// Move faults.
const (
	NoMoveFault        MoveFault = ""
	MoveLost           MoveFault = "lost"            // the connection closes without an answer
	MoveReset          MoveFault = "reset"           // the connection is reset without an answer
	MoveCut            MoveFault = "cut"             // the answer ends within its body
	MoveGarbled        MoveFault = "garbled"         // the body is not readable
	MoveWithoutHandle  MoveFault = "without-handle"  // status 200 without a handle
	MoveConflict       MoveFault = "conflict"        // status 409
	MoveUnavailable    MoveFault = "unavailable"     // status 503 without a handle
	MoveUnavailableRun MoveFault = "unavailable-run" // status 503 with the handle
	MoveLate           MoveFault = "late"            // the answer comes after lateMoveTime
	MoveForgets        MoveFault = "forgets"         // the connection closes, and further calls get status 404
)

// lateMoveTime exceeds the time for which callers wait for the answer to a move.
const lateMoveTime = 2500 * time.Millisecond

// stopTime is the time from the end of a stopped stream to the answer, in which its memory is copied.
const stopTime = 5 * time.Millisecond

// SetMoveFault makes the worker answer the first calls that stop a run with a fault. n is the number of calls for each run.
func (u *PlatformWorker) SetMoveFault(f MoveFault, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.moveFault, u.faultyMoves = f, n
}

// stoppedRun is a run that was stopped for a move.
type stoppedRun struct {
	run   string
	sent  int
	calls int // that have stopped it or came afterwards
}

// serveMove answers a call that moves a stream to another endpoint. The last call for a stream also ends it.
func (u *PlatformWorker) serveMove(w http.ResponseWriter, body []byte) {
	var call struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	s, stopped := u.active[call.ID], u.stopped[call.ID]
	switch {
	case s != nil && !call.Last:
		stopped = &stoppedRun{run: s.run, sent: s.sent} // not recorded: the run goes on
	case s != nil:
		delete(u.active, call.ID)
		stopped = &stoppedRun{run: s.run, sent: s.sent}
		if u.stopped == nil {
			u.stopped = map[string]*stoppedRun{}
		}
		u.stopped[call.ID] = stopped
		close(s.stop)
	}
	if stopped == nil || stopped.calls > 0 && u.moveFault == MoveForgets {
		u.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	fault := NoMoveFault
	if stopped.calls++; call.Last && stopped.calls <= u.faultyMoves {
		fault = u.moveFault
	}
	answer := map[string]any{"handle": handlePrefix + stopped.run, "createRevision": stopped.sent}
	u.mu.Unlock()
	time.Sleep(stopTime) // so that the stream ends before the copy is complete
	switch fault {
	case MoveWithoutHandle:
		writeJSONStatus(w, http.StatusOK, map[string]any{})
	case MoveConflict:
		writeJSONStatus(w, http.StatusConflict, map[string]any{})
	case MoveUnavailable:
		writeJSONStatus(w, http.StatusServiceUnavailable, map[string]any{})
	case MoveUnavailableRun:
		writeJSONStatus(w, http.StatusServiceUnavailable, answer)
	case MoveGarbled:
		_, _ = io.WriteString(w, "{\"handle\": \x00") // the caller may have gone
	case MoveLate:
		time.Sleep(lateMoveTime)
		writeJSONStatus(w, http.StatusOK, answer)
	case MoveLost, MoveForgets, MoveReset, MoveCut:
		breakMoveAnswer(w, fault)
	default:
		writeJSONStatus(w, http.StatusOK, answer)
	}
}

// breakMoveAnswer ends the connection of a call without a complete answer.
func breakMoveAnswer(w http.ResponseWriter, fault MoveFault) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	switch c, ok := conn.(*net.TCPConn); {
	case fault == MoveCut:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{\"handle\":")
	case fault == MoveReset && ok:
		_ = c.SetLinger(0)
	}
}
