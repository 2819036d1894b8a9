package forward_test

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/forward"
)

// ending is how an endpoint's answer ends.
type ending string

const (
	endWhole  ending = "whole"
	endClosed ending = "closed"
	endReset  ending = "reset"
	endPaused ending = "paused" // silent for longPause, then whole
)

const (
	// longPause is longer than the pause after which a stream is offered to another endpoint.
	longPause = 1300 * time.Millisecond
	// A slow machine must not keep an answer from starting within tableLatency, or an event from following within a few
	// times tableGap: the attempts that this costs would be missing for the answers under test.
	tableLatency = 4 * time.Second
	tableGap     = 350 * time.Millisecond
	tableTimeout = 8 * time.Second
	// streamEvents is the number of events of a whole stream.
	streamEvents = 9
)

// plan describes the answer of an endpoint to one arrival.
type plan struct {
	status    int
	mediaType string
	length    bool // the body has a Content-Length rather than chunks
	notRun    bool
	badHead   string // sent in place of the head
	pieces    []string
	ending    ending
}

// numbered returns the events from one position to the last of a stream. tag names the run that generated them.
func numbered(tag string, from int) []string {
	var events []string
	for n := from; n <= streamEvents; n++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, tag, n))
	}
	return events
}

func unnumbered(tag string) []string {
	var events []string
	for n := range streamEvents {
		events = append(events, fmt.Sprintf("data: %s/%d\n\n", tag, n))
	}
	return events
}

func shuffled(tag string) []string {
	events := numbered(tag, 1)
	events[0], events[1] = events[1], events[0]
	return events
}

func events(pieces []string) plan {
	return plan{status: http.StatusOK, mediaType: "text/event-stream", pieces: pieces}
}

// firstParts are the answers to the first arrival. One that is cut has a third of its pieces.
var firstParts = map[string]func(tag string) plan{
	"head only":           func(string) plan { return events(nil) },
	"body with length":    func(tag string) plan { return plan{status: 200, length: true, pieces: textPieces(tag)} },
	"chunks":              func(tag string) plan { return plan{status: 200, pieces: textPieces(tag)} },
	"events with IDs":     func(tag string) plan { return events(numbered(tag, 1)) },
	"events without IDs":  func(tag string) plan { return events(unnumbered(tag)) },
	"IDs not increasing":  func(tag string) plan { return events(shuffled(tag)) },
	"head only with size": func(tag string) plan { return plan{status: 200, length: true, pieces: []string{"", tag}} },
}

func textPieces(tag string) []string {
	return strings.SplitAfter(strings.Repeat(tag+" ", streamEvents), " ")
}

// secondAnswers are the answers to the second arrival, which was asked for what follows the event at position last.
var secondAnswers = map[string]func(tag string, last int) plan{
	"goes on":           func(tag string, last int) plan { return events(numbered(tag, last+1)) },
	"from the start":    func(tag string, _ int) plan { return events(numbered(tag, 1)) },
	"hole":              func(tag string, last int) plan { return events(numbered(tag, last+3)) },
	"no IDs":            func(tag string, _ int) plan { return events(unnumbered(tag)) },
	"another type":      func(tag string, _ int) plan { return body(200, tag) },
	"no content":        func(string, int) plan { return plan{status: 204} },
	"redirect":          func(tag string, _ int) plan { return body(http.StatusFound, tag) },
	"not found":         func(tag string, _ int) plan { return body(http.StatusNotFound, tag) },
	"429":               func(tag string, _ int) plan { return body(http.StatusTooManyRequests, tag) },
	"503":               func(tag string, _ int) plan { return body(http.StatusServiceUnavailable, tag) },
	"429 not run":       func(tag string, _ int) plan { return rejection(http.StatusTooManyRequests, tag) },
	"503 not run":       func(tag string, _ int) plan { return rejection(http.StatusServiceUnavailable, tag) },
	"server error":      func(tag string, _ int) plan { return body(http.StatusInternalServerError, tag) },
	"error with events": func(tag string, last int) plan { p := events(numbered(tag, last+1)); p.status = 500; return p },
	"broken head":       func(string, int) plan { return plan{badHead: "HTTP/1.1 2x0 OK\r\nX\r\n\r\n"} },
	"head cut":          func(string, int) plan { return plan{badHead: "HTTP/1.1 200 OK\r\nContent-Type: text/ev"} },
}

func body(status int, tag string) plan {
	return plan{status: status, length: true, mediaType: "application/json", pieces: textPieces(tag)}
}

func rejection(status int, tag string) plan {
	p := body(status, tag)
	p.notRun = true
	return p
}

// answer returns what the endpoint sends in full.
func (p *plan) answer(seal, after string) sentAnswer {
	s := sentAnswer{
		seal: seal, status: p.status, headOK: p.badHead == "", notRun: p.notRun, after: after, isStream: p.mediaType == "text/event-stream",
		complete: p.badHead == "" && (p.ending == endWhole || p.ending == endPaused || p.status == http.StatusNoContent),
	}
	pieces := p.pieces
	if !s.complete {
		pieces = p.cutPieces()
	}
	s.body = strings.Join(pieces, "")
	if s.isStream {
		s.events = pieces
	}
	return s
}

// cutPieces returns the pieces before a cut or a pause; before a reset, the last one of them is incomplete.
func (p *plan) cutPieces() []string {
	pieces := slices.Clone(p.pieces[:(len(p.pieces)+2)/3])
	if p.ending == endReset && len(pieces) > 0 {
		next := p.pieces[len(pieces)]
		pieces = append(pieces, next[:len(next)/2])
	}
	return pieces
}

func (p *plan) send(a *arrival, seal string) {
	if p.badHead != "" {
		_, _ = io.WriteString(a.conn, p.badHead)
		p.finish(a)
		return
	}
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d x\r\nId: %s\r\nSeal: %s\r\n", p.status, a.id, seal)
	if p.mediaType != "" {
		fmt.Fprintf(&head, "Content-Type: %s\r\n", p.mediaType)
	}
	if p.notRun {
		head.WriteString("Not-Run: 1\r\n")
	}
	switch {
	case p.status == http.StatusNoContent:
	case p.length:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(strings.Join(p.pieces, "")))
	default:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	}
	_, _ = io.WriteString(a.conn, head.String()+"\r\n")
	pieces := p.cutPieces()
	for _, piece := range pieces {
		p.sendPiece(a, piece)
	}
	if p.ending == endPaused {
		select {
		case <-time.After(longPause):
		case <-a.connClosed:
			return
		}
	}
	if p.ending == endWhole || p.ending == endPaused {
		for _, piece := range p.pieces[len(pieces):] {
			p.sendPiece(a, piece)
		}
		if !p.length && p.status != http.StatusNoContent {
			a.end()
		}
	}
	p.finish(a)
}

func (p *plan) sendPiece(a *arrival, piece string) {
	switch {
	case piece == "":
	case p.length:
		_, _ = io.WriteString(a.conn, piece)
	default:
		a.chunk(piece)
	}
}

func (p *plan) finish(a *arrival) {
	switch {
	case p.ending == endReset:
		reset(a)
	case p.ending == endClosed, p.badHead != "":
		_ = a.conn.Close()
	}
}

// cell is one case of the table.
type cell struct {
	route, first string
	firstEnd     ending
	second       string
	secondEnd    ending
	after        string // the ID of the event after which the caller resumes a stream
}

func (c *cell) String() string {
	return fmt.Sprintf("%s/%s/%s/%s/%s", c.route, c.first, c.firstEnd, c.second, c.secondEnd)
}

// tableRoutes are the kinds of route. maxAttempts is also that of the routes that may not repeat a request, so that only
// their kind keeps it from running twice.
var tableRoutes = map[string]routeRules{
	"plain":          {name: "safe", maxAttempts: 1, mayRepeat: true},
	"idempotent":     {name: "safe", maxAttempts: 3, mayRepeat: true},
	"not idempotent": {name: "once", maxAttempts: 3},
	"streaming":      {name: "stream", maxAttempts: 3},
	"resumable":      {name: "resume", maxAttempts: 3, mayRepeat: true, resumable: true},
}

func cells() []cell {
	var all []cell
	for route := range tableRoutes {
		for first := range firstParts {
			all = append(all, cell{route: route, first: first, firstEnd: endWhole, second: "goes on", secondEnd: endWhole})
			for _, firstEnd := range []ending{endClosed, endReset, endPaused} {
				for second := range secondAnswers {
					all = append(all, cell{route: route, first: first, firstEnd: firstEnd, second: second, secondEnd: endWhole})
					if !tableRoutes[route].canRepeat() {
						continue // no second answer is asked for
					}
					for _, secondEnd := range []ending{endClosed, endReset, endPaused} {
						all = append(all, cell{route: route, first: first, firstEnd: firstEnd, second: second, secondEnd: secondEnd})
					}
				}
			}
		}
	}
	return all
}

// run makes the request of a cell and returns what the endpoints sent and what the caller got.
func (c *cell) run(t *testing.T) ([]sentAnswer, view) {
	var mu sync.Mutex
	var sent []sentAnswer
	id := rand.Text()
	w := newHarness(t, 3, func(a *arrival) {
		if a.id != id {
			_ = a.conn.Close() // of another process that has used the address before
			return
		}
		mu.Lock()
		n := len(sent)
		seal := fmt.Sprintf("run%d", n)
		p := c.plan(n, seal, a.after)
		sent = append(sent, p.answer(seal, a.after))
		mu.Unlock()
		p.send(a, seal)
	})
	rules := tableRoutes[c.route]
	for i := range w.table.Routes {
		r := &w.table.Routes[i]
		r.MaxAttempts, r.Timeout, r.TargetLatency, r.TargetGap = rules.maxAttempts, tableTimeout, tableLatency, tableGap
	}
	got := w.sendRequest(t.Context(), rules.name, &forward.Request{ID: id, LastEventID: c.after, Deadline: time.Now().Add(tableTimeout)})
	v := view{
		refused: got.refusal != nil, status: got.status, seal: got.header.Get("Seal"), length: got.length, body: got.body.String(),
		broken: got.broken != nil,
	}
	mu.Lock()
	defer mu.Unlock()
	return slices.Clone(sent), v
}

// plan returns the answer to the nth arrival, which was asked for what follows the event with the ID after.
func (c *cell) plan(n int, seal, after string) plan {
	last, _ := strconv.Atoi(after)
	var p plan
	switch {
	case n == 0 && c.first != "":
		p = firstParts[c.first](seal)
		p.ending = c.firstEnd
	case n == 0 && c.first == "", n == 1 && c.first != "":
		p = secondAnswers[c.second](seal, last)
		p.ending = c.secondEnd
	default:
		p = events(numbered(seal, last+1))
		p.ending = endWhole
	}
	return p
}

// mustComplete reports whether the pages promise the caller a whole answer whatever the timing.
func (c *cell) mustComplete() bool {
	if c.firstEnd == endWhole || c.after != "" && c.second == "goes on" && c.secondEnd != endPaused {
		return true
	}
	return c.route == "resumable" && c.first == "events with IDs" && c.firstEnd != endPaused && c.second == "goes on" && c.secondEnd != endPaused
}

// tableParallel is the number of cells that run at a time; most of them wait.
const tableParallel = 160

// Guards against answers that are joined of two runs otherwise than by resuming a stream, end early and look complete, or
// carry a failure within, against refusals that are untrue, and against more runs than the route allows.
func TestServe_SecondAnswers(t *testing.T) { runCells(t, cells()) }

// Guards against a stream that starts at another event than the caller asks for when it resumes one.
func TestServe_CallerResumes(t *testing.T) {
	var all []cell
	for answer := range secondAnswers {
		for _, end := range []ending{endWhole, endClosed, endReset, endPaused} {
			all = append(all, cell{route: "resumable", second: answer, secondEnd: end, after: "2"})
		}
	}
	runCells(t, all)
}

func runCells(t *testing.T, cells []cell) {
	t.Helper()
	slots := make(chan struct{}, tableParallel)
	var wg sync.WaitGroup
	for _, c := range cells {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			// Subtests that are not marked parallel are not bound by the number of processors.
			t.Run(c.String(), func(t *testing.T) {
				sent, v := c.run(t)
				must.NoError(t, checkView(tableRoutes[c.route], c.after, sent, v))
				if c.mustComplete() {
					must.False(t, v.refused || v.broken, must.Sprintf("no whole answer: %+v", v))
				}
			})
		})
	}
	wg.Wait()
}
