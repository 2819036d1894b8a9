package standin

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"time"
)

// Shares of requests that are answered oddly while Oddities are on.
const (
	brokenShare     = 0.2  // streams that break off
	secondShare     = 0.65 // continuations of a stream that are no sound ones
	halfHeadShare   = 0.02 // answers that end inside their head
	maxSkippedEvent = 3
)

// Oddities draw how requests are answered that are not answered soundly. Workers may share them.
type Oddities struct {
	mu     sync.Mutex
	rng    *rand.Rand
	on     bool
	sound  bool
	counts map[string]int
}

// NewOddities returns oddities that are off.
func NewOddities(seed uint64) *Oddities {
	return &Oddities{rng: rand.New(rand.NewPCG(seed, 0)), counts: map[string]int{}}
}

// ContinueSoundly makes all requests for the rest of a stream be answered soundly.
func (o *Oddities) ContinueSoundly() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sound = true
}

// Set sets whether requests are answered oddly from now on.
func (o *Oddities) Set(on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.on = on
}

// Counts returns the number of answers by the name of the oddity.
func (o *Oddities) Counts() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := make(map[string]int, len(o.counts))
	for name, n := range o.counts {
		counts[name] = n
	}
	return counts
}

// answerEnd is how an odd answer ends.
type answerEnd int

const (
	endWhole  answerEnd = iota
	endClosed           // the connection is closed, which the framing shows to be too early
	endReset
)

// oddAnswer is an answer that is not sound. The zero value is a sound one.
type oddAnswer struct {
	name string
	end  answerEnd
	// begin returns the position at which a stream begins that should go on after an event. nil: the answer has the fixed
	// head and body.
	begin func(after, skipped int) (from, sent int)
	// breakAt is the number of events after which a stream breaks off, -1: never. Half of the next event is written
	// before if inside is set.
	breakAt int
	inside  bool
	skipped int
	// head is the status line and fields of a fixed answer without those that each answer of a run has.
	head, body string
	// refused is set if the answer says that the request has not run.
	refused bool
	// half is set if the answer ends inside its head.
	half bool
}

func goesOn(after, _ int) (from, sent int)            { return after, after }
func startsOver(int, int) (from, sent int)            { return 0, 0 }
func skipsEvents(after, skipped int) (from, sent int) { return after + skipped, after + skipped }
func repeatsLast(after, _ int) (from, sent int)       { return after, max(0, after-1) }

const (
	eventHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	proof     = "X-Trefoillug-Not-Executed: 1\r\n"
)

// oddSeconds are the odd answers to a request that asks for the rest of a stream.
var oddSeconds = []oddAnswer{
	{name: "from event 1", begin: startsOver},
	{name: "skipped events", begin: skipsEvents},
	{name: "last event again", begin: repeatsLast},
	{name: "another content type", head: "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", body: `{"done":true}`},
	{name: "no events", head: eventHead},
	{name: "a comment only", head: eventHead, body: ": ok\n\n"},
	{name: "204", head: "HTTP/1.1 204 No Content\r\n"},
	{name: "302", head: "HTTP/1.1 302 Found\r\nLocation: /elsewhere/\r\n", body: "moved"},
	{name: "404", head: "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\n", body: "no such stream\n\n"},
	{name: "429", head: "HTTP/1.1 429 Too Many Requests\r\n", body: "data: busy\n\n"},
	{name: "429 with proof", head: "HTTP/1.1 429 Too Many Requests\r\n" + proof, refused: true},
	{name: "503", head: "HTTP/1.1 503 Service Unavailable\r\n", body: "data: busy\n\n"},
	{name: "503 with proof", head: "HTTP/1.1 503 Service Unavailable\r\n" + proof, refused: true},
	{name: "500", head: "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/event-stream\r\n", body: "event: error\ndata: failed\n\n"},
	{name: "broken head", half: true},
}

// draw returns how a request is answered whose whole stream has a number of events, 0 for other answers.
func (o *Oddities) draw(r *http.Request, events int) oddAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.on || r.Header.Get("Kv-From") != "" {
		return oddAnswer{}
	}
	a := oddAnswer{begin: goesOn, breakAt: -1}
	switch draw := o.rng.Float64(); {
	case events > 0 && r.Header.Get("Last-Event-Id") != "" && !o.sound && draw < secondShare:
		a = oddSeconds[o.rng.IntN(len(oddSeconds))]
		a.breakAt, a.skipped = -1, 1+o.rng.IntN(maxSkippedEvent)
		if a.end = answerEnd(o.rng.IntN(3)); a.begin != nil && a.end != endWhole {
			a.breakAt, a.inside = o.rng.IntN(events), o.rng.IntN(2) == 0
		}
		if a.half && a.end == endWhole {
			a.end = endClosed
		}
	case draw < halfHeadShare:
		a = oddAnswer{name: "half head", half: true, end: endClosed + answerEnd(o.rng.IntN(2))}
	case events > 0 && o.rng.Float64() < brokenShare:
		a.name, a.breakAt, a.inside, a.end = "broken stream", o.rng.IntN(events), o.rng.IntN(2) == 0, endClosed+answerEnd(o.rng.IntN(2))
	default:
		return oddAnswer{}
	}
	if a.half {
		a.breakAt = 1 + o.rng.IntN(len(eventHead)+len("X-Trefoillug-Response-Seal: "))
	}
	o.counts[a.name]++
	return a
}

// serveOddity answers a request oddly. It returns false if the request is to be answered soundly.
func (u *PlatformWorker) serveOddity(w http.ResponseWriter, r *http.Request, body []byte, arrived time.Time, leaving bool) bool {
	events := 0
	if hasEvents(r) {
		events = u.eventCount(r)
	}
	a := u.Oddities.draw(r, events)
	if a.name == "" {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(maxFaultTime))
	if a.refused {
		u.recordRefusal(r, "")
	} else {
		u.recordRequest(r, body, arrived, leaving)
	}
	// An answer that should be whole and whose write fails must not look complete, so that it is reset.
	if err := u.writeOdd(conn, r, a); a.end == endReset || err != nil && !errors.Is(err, errBreak) {
		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
	}
	return true
}

func (u *PlatformWorker) writeOdd(c net.Conn, r *http.Request, a oddAnswer) error {
	fields := fmt.Sprintf("X-Trefoillug-Attempt-Id: %s\r\nX-Trefoillug-Instance-Id: %s\r\n", r.Header.Get("X-Trefoillug-Attempt-Id"), u.ID)
	if !a.refused {
		fields += "X-Trefoillug-Response-Seal: " + SealOf(u.ID) + "\r\n"
	}
	fields += "Connection: close\r\n"
	switch {
	case a.half:
		head := eventHead + fields
		_, err := io.WriteString(c, head[:min(a.breakAt, len(head))])
		return err
	case a.begin == nil:
		return writeFixed(c, a, fields)
	}
	if _, err := io.WriteString(c, eventHead+fields+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	from, sent := a.begin(lastEvent(r), a.skipped)
	chunks, written := httputil.NewChunkedWriter(c), sent
	err := u.writeEventsAfter(r, from, sent, func(text string) error {
		if a.breakAt >= 0 && written >= a.breakAt {
			if a.inside {
				_, _ = io.WriteString(chunks, text[:len(text)/2]) // the answer ends here
			}
			return errBreak
		}
		written++
		_, err := io.WriteString(chunks, text)
		return err
	})
	if err != nil || a.end != endWhole {
		return err
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err
}

// writeFixed writes an answer without a run. One that is cut off announces more than it has.
func writeFixed(c net.Conn, a oddAnswer, fields string) error {
	length := len(a.body)
	if a.end != endWhole {
		length += 10
	}
	if !strings.Contains(a.head, " 204 ") {
		fields += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	_, err := io.WriteString(c, a.head+fields+"\r\n"+a.body)
	return err
}
