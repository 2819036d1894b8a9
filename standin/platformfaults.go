package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// AnswerFault is a way in which a worker answers the requests that it runs.
type AnswerFault string

// Answer faults. With SlowAnswers and LateCopies every answer is sound.
const (
	NoAnswerFault AnswerFault = ""
	EndlessHeads  AnswerFault = "endless-heads"  // a header field never ends
	EndlessBodies AnswerFault = "endless-bodies" // the first event, or a body without length, never ends
	Trickles      AnswerFault = "trickles"       // after the header, a byte now and then
	ResetsBodies  AnswerFault = "resets-bodies"  // the connection is reset after the header
	SlowAnswers   AnswerFault = "slow-answers"   // everything takes slowFactor times as long
	LateCopies    AnswerFault = "late-copies"    // a copy of each answer precedes the next one on its connection
)

const (
	slowFactor      = 4
	trickleInterval = 50 * time.Millisecond
	floodBlock      = 32 << 10 // bytes
	// unreachedLength ends the header of an answer that is cut off before its end, so that it can't look complete.
	unreachedLength = "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n"
	// maxFaultTime bounds an answer that would never end.
	maxFaultTime = 10 * time.Second
)

// SetAnswerFault sets how the worker answers from now on.
func (u *PlatformWorker) SetAnswerFault(f AnswerFault) { u.answerFault.Store(f) }

func (u *PlatformWorker) currentAnswerFault() AnswerFault {
	f, _ := u.answerFault.Load().(AnswerFault)
	return f
}

// slowness returns the factor on the time of all work.
func (u *PlatformWorker) slowness() time.Duration {
	if u.currentAnswerFault() == SlowAnswers {
		return slowFactor
	}
	return 1
}

// serveFault answers a request with a fault on the connection itself. It returns false if the current fault needs none
// of that.
func (u *PlatformWorker) serveFault(w http.ResponseWriter, r *http.Request) bool {
	fault := u.currentAnswerFault()
	isStream := r.Header.Get("X-Trefoillug-Token-Count") != ""
	if fault == NoAnswerFault || fault == SlowAnswers || fault == LateCopies && isStream {
		return false
	}
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(maxFaultTime))
	head := u.rawHead(r)
	if isStream {
		head += "Content-Type: text/event-stream\r\n"
	}
	block := strings.Repeat("x", floodBlock)
	switch fault {
	case EndlessHeads:
		repeatUntilError(conn, head+"X-Field: ", block, 0)
	case EndlessBodies:
		repeatUntilError(conn, head+unreachedLength, block, 0)
	case Trickles:
		repeatUntilError(conn, head+unreachedLength, ":", trickleInterval)
	case ResetsBodies:
		_, _ = io.WriteString(conn, head+"Content-Length: 1000\r\n\r\npart")
		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
	case LateCopies:
		u.serveLateCopies(conn, rw.Reader, r)
	}
	return true
}

func (u *PlatformWorker) rawHead(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Trefoillug-Attempt-Id: %s\r\nX-Trefoillug-Response-Seal: seal.%s\r\n", r.Header.Get("X-Trefoillug-Attempt-Id"), u.ID)
}

// repeatUntilError writes start, and then block at each interval until the connection is closed.
func repeatUntilError(c net.Conn, start, block string, interval time.Duration) {
	_, err := io.WriteString(c, start)
	for err == nil {
		time.Sleep(interval)
		_, err = io.WriteString(c, block)
	}
}

// serveLateCopies answers plain requests on a connection until it is closed. first has been read and recorded already.
func (u *PlatformWorker) serveLateCopies(c net.Conn, r *bufio.Reader, first *http.Request) {
	late := ""
	for req, body := first, first.ContentLength; ; {
		time.Sleep(u.Work)
		text := u.plainAnswer(req, int(max(0, body)))
		answer := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", u.rawHead(req), len(text), text)
		if _, err := io.WriteString(c, late+answer); err != nil {
			return
		}
		late = answer
		next, err := http.ReadRequest(r)
		if err != nil || next.Header.Get("X-Trefoillug-Attempt-Id") == "" || next.Header.Get("X-Trefoillug-Token-Count") != "" {
			return // the connection closes without an answer to a request of another kind
		}
		sent, err := io.ReadAll(next.Body)
		if err != nil {
			return
		}
		u.recordRequest(next, sent)
		req, body = next, int64(len(sent))
	}
}
