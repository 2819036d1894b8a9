package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"
)

// AnswerFault is a way in which a worker answers the requests that it runs.
type AnswerFault string

// Answer faults. With SlowAnswers, LateCopies and Unframed every answer is sound.
const (
	NoAnswerFault AnswerFault = ""
	EndlessHeads  AnswerFault = "endless-heads"  // a header field never ends
	EndlessBodies AnswerFault = "endless-bodies" // the first event, or a body without length, never ends
	Trickles      AnswerFault = "trickles"       // after the header, a byte now and then
	ResetsBodies  AnswerFault = "resets-bodies"  // the connection is reset after the header
	SlowAnswers   AnswerFault = "slow-answers"   // everything takes slowFactor times as long
	LateCopies    AnswerFault = "late-copies"    // a copy of each answer precedes the next one on its connection
	Unframed      AnswerFault = "unframed"       // answers have no length and end with their connection
	BreaksEvents  AnswerFault = "breaks-events"  // streams have no length and end inside an event with their connection
	RefusalCopies AnswerFault = "refusal-copies" // every second request on a connection is refused; a copy precedes the next answer
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
	switch {
	case fault == NoAnswerFault, fault == SlowAnswers, fault == RefusalCopies, fault == LateCopies && hasEvents(r), fault == BreaksEvents && !isStream(r):
		return false
	}
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(maxFaultTime))
	head := u.rawHead(r)
	if hasEvents(r) {
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
	case Unframed:
		// A write fails if the caller has gone, or after maxFaultTime. Only a reset shows then that the answer is incomplete.
		err := u.writeAnswer(conn, r, int(max(0, r.ContentLength)), "\r\n", connectionWriter(conn))
		if c, ok := conn.(*net.TCPConn); ok && err != nil && !errors.Is(err, errMoved) {
			_ = c.SetLinger(0)
		}
	case BreaksEvents:
		u.breakEvent(conn, r)
	}
	return true
}

func (u *PlatformWorker) rawHead(r *http.Request) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Trefoillug-Attempt-Id: %s\r\nX-Trefoillug-Response-Seal: %s\r\n", r.Header.Get("X-Trefoillug-Attempt-Id"), SealOf(u.ID))
	if u.leaving.Load() {
		head += "Server-Leaving: 1\r\n"
	}
	return head
}

func connectionWriter(c net.Conn) func(text string) error {
	return func(text string) error {
		_, err := io.WriteString(c, text)
		return err
	}
}

// writeAnswer runs a request and writes its answer to a connection. headEnd ends the header, and write writes the body.
func (u *PlatformWorker) writeAnswer(c net.Conn, r *http.Request, bodyBytes int, headEnd string, write func(text string) error) error {
	head := u.rawHead(r)
	if hasEvents(r) {
		if _, err := io.WriteString(c, head+"Content-Type: text/event-stream\r\n"+headEnd); err != nil {
			return err
		}
		return u.writeEvents(r, write)
	}
	time.Sleep(u.Work * u.slowness())
	if _, err := io.WriteString(c, head+headEnd); err != nil {
		return err
	}
	return u.writePausing(u.plainAnswer(r, bodyBytes), write)
}

// breakEvent writes the events of a stream up to the middle of one, and ends it there.
func (u *PlatformWorker) breakEvent(c net.Conn, r *http.Request) {
	events := 0
	_ = u.writeAnswer(c, r, 0, "\r\n", func(text string) error {
		if events++; events > u.eventCount(r)/2 {
			_, _ = io.WriteString(c, text[:len(text)/2])
			return errBreak
		}
		_, err := io.WriteString(c, text)
		return err
	})
}

var errBreak = errors.New("answer ends inside an event")

// serveRefusalCopies refuses a request that the worker has read. On the same connection it runs the next request, whose
// answer follows a copy of the refusal, refuses the one after it, and so on. Every second refusal has no attempt ID.
func (u *PlatformWorker) serveRefusalCopies(w http.ResponseWriter, first *http.Request) bool {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	for refused, n := first, 0; ; n++ {
		_ = conn.SetDeadline(time.Now().Add(maxFaultTime))
		refusal := u.rawRefusal(refused, n%2 == 0)
		u.recordRefusal(refused, "")
		if _, err := io.WriteString(conn, refusal); err != nil {
			return true
		}
		next, body, err := nextRequest(rw.Reader)
		if err != nil {
			return true
		}
		u.recordRequest(next, body, time.Now(), u.leaving.Load())
		if _, err := io.WriteString(conn, refusal); err != nil {
			return true
		}
		headEnd := "Transfer-Encoding: chunked\r\n\r\n"
		last := u.currentAnswerFault() != RefusalCopies
		if last {
			headEnd = "Connection: close\r\n" + headEnd
		}
		chunks := httputil.NewChunkedWriter(conn)
		err = u.writeAnswer(conn, next, len(body), headEnd, func(text string) error {
			_, err := io.WriteString(chunks, text)
			return err
		})
		if err != nil {
			return true
		}
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil || last {
			return true
		}
		if refused, _, err = nextRequest(rw.Reader); err != nil {
			return true
		}
	}
}

func (u *PlatformWorker) rawRefusal(r *http.Request, named bool) string {
	head := "HTTP/1.1 503 Service Unavailable\r\nX-Trefoillug-Not-Executed: 1\r\nContent-Length: 0\r\n"
	if named {
		head += "X-Trefoillug-Attempt-Id: " + r.Header.Get("X-Trefoillug-Attempt-Id") + "\r\n"
	}
	if u.leaving.Load() {
		head += "Server-Leaving: 1\r\n"
	}
	return head + "\r\n"
}

// nextRequest reads a request and its body. It returns an error for calls that are not requests of callers.
func nextRequest(r *bufio.Reader) (*http.Request, []byte, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, err
	}
	if req.Header.Get("X-Trefoillug-Attempt-Id") == "" {
		return nil, nil, errors.New("request without attempt ID")
	}
	body, err := io.ReadAll(req.Body)
	return req, body, err
}

// Pause makes the worker fall silent for a time: all its answers pause, before the header or in the body, and go on
// afterwards.
func (u *PlatformWorker) Pause(d time.Duration) { u.pausedUntil.Store(time.Now().Add(d).UnixNano()) }

func (u *PlatformWorker) pauseLeft() time.Duration {
	return time.Until(time.Unix(0, u.pausedUntil.Load()))
}

func (u *PlatformWorker) awaitPause() {
	for left := u.pauseLeft(); left > 0; left = u.pauseLeft() {
		time.Sleep(left)
	}
}

// pausesBeforeHead reports whether a pause delays the header of the answer and not only its body. That is so for about
// half of the requests.
func (u *PlatformWorker) pausesBeforeHead(r *http.Request) bool {
	id := r.Header.Get("X-Trefoillug-Attempt-Id")
	return id == "" || id[len(id)-1]%2 == 0
}

// writePausing writes a text. During a pause it writes half of it before and half of it after the end of the pause.
func (u *PlatformWorker) writePausing(text string, write func(text string) error) error {
	if u.pauseLeft() > 0 {
		half := len(text) / 2
		if err := write(text[:half]); err != nil {
			return err
		}
		text = text[half:]
		u.awaitPause()
	}
	return write(text)
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
		next, sent, err := nextRequest(r)
		if err != nil || hasEvents(next) {
			return // the connection closes without an answer to a request of another kind
		}
		u.recordRequest(next, sent, time.Now(), u.leaving.Load())
		req, body = next, int64(len(sent))
	}
}
