package relay

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/engine"
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
	// longPause exceeds the gap after which the table's relays hold a stream for stalled.
	longPause = 1300 * time.Millisecond
	tableGap  = 400 * time.Millisecond
	// answerPieces is the number of tokens of a whole stream and of pieces of other bodies.
	answerPieces = 9
)

// plan describes the answer of an endpoint to one arrival.
type plan struct {
	status    int
	mediaType string
	length    bool   // the body has a Content-Length rather than chunks
	badHead   string // sent in place of the head
	first     int    // stream of an engine: position of the first token
	pieces    []string
	ending    ending
}

// arrival identifies a request that has arrived at an endpoint.
type arrival struct{ run, request, attempt string }

// generated returns the events of an engine from a position to the end of the answer.
func (x arrival) generated(from int) []string {
	var events []string
	for n := from; n <= answerPieces; n++ {
		e := engine.StreamEvent{RequestID: x.request, AttemptID: x.attempt, Seq: n, Content: fmt.Sprintf("%s/%d ", x.run, n)}
		if n == answerPieces {
			e.Content, e.FinishReason = "", engine.FinishStop
		}
		b, _ := json.Marshal(&e) // marshaling strings and numbers can't fail
		events = append(events, fmt.Sprintf("data: %s\n\n", b))
	}
	return events
}

func (x arrival) text() []string {
	return strings.SplitAfter(strings.Repeat(x.run+" ", answerPieces), " ")
}

func (x arrival) body(status int) plan {
	return plan{status: status, length: true, mediaType: "application/json", pieces: x.text()}
}

func events(first int, pieces []string) plan {
	return plan{status: http.StatusOK, mediaType: "text/event-stream", first: first, pieces: pieces}
}

func shuffled(pieces []string) []string {
	pieces[0], pieces[1] = pieces[1], pieces[0]
	return pieces
}

func withoutField(pieces []string, field string) []string {
	for i, p := range pieces {
		pieces[i] = strings.Replace(p, field, "_"+field, 1)
	}
	return pieces
}

// tableFirst are the answers to the first arrival. One that is cut has a third of its pieces.
var tableFirst = map[string]func(x arrival) plan{
	"head only":          func(arrival) plan { return events(0, nil) },
	"body with length":   func(x arrival) plan { return x.body(http.StatusOK) },
	"chunks":             func(x arrival) plan { return plan{status: http.StatusOK, pieces: x.text()} },
	"events":             func(x arrival) plan { return events(0, x.generated(0)) },
	"events without seq": func(x arrival) plan { return events(0, withoutField(x.generated(0), "seq")) },
	"seq not increasing": func(x arrival) plan { return events(0, shuffled(x.generated(0))) },
}

// tableSecond are the answers to the second arrival, which was asked for the tokens from a position on.
var tableSecond = map[string]func(x arrival, next int) plan{
	"goes on":          func(x arrival, next int) plan { return events(next, x.generated(next)) },
	"from the start":   func(x arrival, _ int) plan { return events(0, x.generated(0)) },
	"hole":             func(x arrival, next int) plan { return events(next+2, x.generated(next+2)) },
	"without seq":      func(x arrival, _ int) plan { return events(0, withoutField(x.generated(0), "seq")) },
	"another attempt":  func(x arrival, next int) plan { x.attempt = "other"; return events(next, x.generated(next)) },
	"another request":  func(x arrival, next int) plan { x.request = "other"; return events(next, x.generated(next)) },
	"another type":     func(x arrival, _ int) plan { return x.body(http.StatusOK) },
	"no content":       func(arrival, int) plan { return plan{status: http.StatusNoContent} },
	"redirect":         func(x arrival, _ int) plan { return x.body(http.StatusFound) },
	"bad request":      func(x arrival, _ int) plan { return x.body(http.StatusBadRequest) },
	"not found":        func(x arrival, _ int) plan { return x.body(http.StatusNotFound) },
	"429":              func(x arrival, _ int) plan { return x.body(http.StatusTooManyRequests) },
	"503":              func(x arrival, _ int) plan { return x.body(http.StatusServiceUnavailable) },
	"server error":     func(x arrival, _ int) plan { return x.body(http.StatusInternalServerError) },
	"error and events": func(x arrival, next int) plan { p := events(next, x.generated(next)); p.status = 500; return p },
	"broken head":      func(arrival, int) plan { return plan{badHead: "HTTP/1.1 2x0 OK\r\nX\r\n\r\n"} },
	"head cut":         func(arrival, int) plan { return plan{badHead: "HTTP/1.1 200 OK\r\nContent-Type: text/ev"} },
}

func (p *plan) isComplete() bool {
	return p.badHead == "" && (p.ending == endWhole || p.ending == endPaused || p.status == http.StatusNoContent)
}

func (p *plan) answer(seal string) sentAnswer {
	pieces := p.pieces
	if !p.isComplete() {
		pieces = p.cutPieces()
	}
	return sentAnswer{
		seal: seal, status: p.status, headOK: p.badHead == "", rejected: p.status == http.StatusBadRequest && p.isComplete(), first: p.first,
		tokens: len(p.pieces) - 1, body: strings.Join(pieces, ""), complete: p.isComplete(),
	}
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

// send sends the answer on a connection and closes it.
func (p *plan) send(c net.Conn, x arrival) {
	defer c.Close()
	if p.ending == endReset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	if p.badHead != "" {
		_, _ = io.WriteString(c, p.badHead)
		return
	}
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d x\r\n%s: %s\r\nSeal: %s\r\nConnection: close\r\n", p.status, engine.HeaderAttemptID, x.attempt, x.run)
	if p.mediaType != "" {
		fmt.Fprintf(&head, "Content-Type: %s\r\n", p.mediaType)
	}
	hasBody := p.status != http.StatusNoContent
	switch {
	case !hasBody:
	case p.length:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(strings.Join(p.pieces, "")))
	default:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	}
	_, _ = io.WriteString(c, head.String()+"\r\n")
	sent := p.cutPieces()
	p.sendPieces(c, sent)
	if p.ending == endPaused {
		_ = c.SetReadDeadline(time.Now().Add(longPause))
		_, _ = c.Read(make([]byte, 1)) // ends early when the relay closes the connection
	}
	if !hasBody || !p.isComplete() {
		return
	}
	p.sendPieces(c, p.pieces[len(sent):])
	if !p.length {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

func (p *plan) sendPieces(c net.Conn, pieces []string) {
	for _, piece := range pieces {
		switch {
		case piece == "":
		case p.length:
			_, _ = io.WriteString(c, piece)
		default:
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
		}
	}
}

// tableCell is one case of the table.
type tableCell struct {
	kind, first string
	firstEnd    ending
	second      string
	secondEnd   ending
}

func (c *tableCell) String() string {
	return fmt.Sprintf("%s/%s/%s/%s/%s", c.kind, c.first, c.firstEnd, c.second, c.secondEnd)
}

// tableKinds are the kinds of request.
var tableKinds = map[string]struct {
	service string
	send    func(url string) reply
	check   func(sent []sentAnswer, got reply) error
}{
	"stream": {"wording", func(url string) reply { return chat(url, "p", answerPieces) }, checkStream},
	"completion": {
		"wording", func(url string) reply { return send("POST", url+engine.PathChat, chatBody("p", answerPieces, false)) }, checkCompletion,
	},
	"idempotent": {
		"orders", func(url string) reply { return send("GET", url+"/services/orders/list", "") },
		func(sent []sentAnswer, got reply) error { return checkPlain(sent, got, false) },
	},
	"not idempotent": {
		"orders", func(url string) reply { return book(url, "k", "b") },
		func(sent []sentAnswer, got reply) error { return checkPlain(sent, got, true) },
	},
}

func tableCells() []tableCell {
	var all []tableCell
	for kind := range tableKinds {
		for first := range tableFirst {
			all = append(all, tableCell{kind, first, endWhole, "goes on", endWhole})
			for _, firstEnd := range []ending{endClosed, endReset, endPaused} {
				for second := range tableSecond {
					all = append(all, tableCell{kind, first, firstEnd, second, endWhole})
					if kind == "not idempotent" || kind == "completion" {
						continue // no second answer is asked for, or it is read like that of a stream
					}
					for _, secondEnd := range []ending{endClosed, endReset, endPaused} {
						all = append(all, tableCell{kind, first, firstEnd, second, secondEnd})
					}
				}
			}
		}
	}
	return all
}

// plan returns the answer to the nth arrival, which was asked for the tokens from a position on.
func (c *tableCell) plan(n int, x arrival, next int) plan {
	var p plan
	switch n {
	case 0:
		p = tableFirst[c.first](x)
		p.ending = c.firstEnd
	case 1:
		p = tableSecond[c.second](x, next)
		p.ending = c.secondEnd
	default:
		p = events(next, x.generated(next))
		p.ending = endWhole
	}
	return p
}

// mustComplete reports whether a caller is to get a whole answer whatever the timing.
func (c *tableCell) mustComplete() bool {
	isStream := c.kind == "stream" || c.kind == "completion"
	if c.firstEnd == endWhole {
		return !isStream || c.first == "events"
	}
	return isStream && c.first == "events" && c.firstEnd != endPaused && c.second == "goes on" && c.secondEnd != endPaused
}

// run makes the request of a cell and returns what the endpoints sent and what the caller got.
func (c *tableCell) run(t *testing.T) ([]sentAnswer, reply) {
	var mu sync.Mutex
	var sent []sentAnswer
	env := newTestEnv(t)
	env.streamGap = tableGap
	instance := rand.Text()
	endpoint := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == engine.PathCancel {
			return
		}
		if !strings.HasPrefix(req.Header.Get(engine.HeaderRequestID), instance) {
			return // of another process that has used the address before
		}
		var body engine.ChatRequest
		_ = json.NewDecoder(req.Body).Decode(&body) // calls to plain services have no chat
		next := 0
		if body.Resume != nil {
			next = body.Resume.Offset
		}
		mu.Lock()
		x := arrival{run: fmt.Sprintf("run%d", len(sent)), request: req.Header.Get(engine.HeaderRequestID), attempt: req.Header.Get(engine.HeaderAttemptID)}
		p := c.plan(len(sent), x, next)
		sent = append(sent, p.answer(x.run))
		mu.Unlock()
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		p.send(conn, x)
	})
	for n := range 3 {
		id := fmt.Sprintf("e%d", n)
		env.addInstance(cloud.Instance{ID: id, Address: env.serve(endpoint), FailureDomain: "fd1", Service: tableKinds[c.kind].service})
	}
	_, url := env.startRelay(Config{Instance: instance, FailureDomain: "fd1", Claimer: newMemoryClaims()})
	got := tableKinds[c.kind].send(url)
	mu.Lock()
	defer mu.Unlock()
	return slices.Clone(sent), got
}

// tableParallel is the number of cells that run at a time; most of them wait.
const tableParallel = 100

// Guards against answers that are joined of two runs otherwise than by resuming a stream, end early and look complete, or
// carry a failure within, and against a claim that a request did not run that is untrue.
func TestRelay_SecondAnswers(t *testing.T) {
	slots := make(chan struct{}, tableParallel)
	var wg sync.WaitGroup
	for _, c := range tableCells() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			// Subtests that are not marked parallel are not bound by the number of processors.
			t.Run(c.String(), func(t *testing.T) {
				sent, got := c.run(t)
				must.NoError(t, tableKinds[c.kind].check(sent, got))
				if c.mustComplete() {
					must.True(t, got.err == nil && got.status == http.StatusOK && !strings.Contains(got.body, "event: error"), must.Sprint(got))
				}
			})
		})
	}
	wg.Wait()
}
