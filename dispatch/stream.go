package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/table"
)

// maxEventBytes bounds a line of an engine stream.
const maxEventBytes = 256 << 10

// keptErrorBytes bounds the part of an error answer that is kept.
const keptErrorBytes = 4 << 10

// StreamCall is an attempt to run a model request.
type StreamCall struct {
	Endpoint  *table.Endpoint
	RequestID string
	AttemptID string
	Body      []byte // engine.ChatRequest
	First     int    // sequence number of the first event
}

// Stream runs an attempt and passes each event once and in order to sink, which must not block for long. An error of
// sink ends the attempt as cancelled.
func (c *Client) Stream(ctx context.Context, call *StreamCall, sink func(*engine.StreamEvent) error) Result {
	p := c.pool(call.Endpoint)
	g := p.current()
	ctx, a := c.start(ctx, g)
	defer a.done()
	gap := c.settings.StreamGap
	watch := time.AfterFunc(gap, func() {
		a.cancel(errSilent)
		p.retire(g, gap/2)
	})
	defer watch.Stop()
	req, err := newEngineRequest(ctx, call)
	if err != nil {
		return Result{End: Cancelled, Err: err}
	}
	resp, err := g.transport.RoundTrip(req)
	if err != nil {
		return a.failure(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, keptErrorBytes))
		return Result{End: Answered, Sent: All, Status: resp.StatusCode, Err: fmt.Errorf("engine answered status %d: %s", resp.StatusCode, bytes.TrimSpace(detail))}
	}
	s := stream{call: call, next: call.First, sink: sink, alive: func() { a.received(); watch.Reset(gap) }}
	r := s.read(resp.Body)
	if r.End == Lost {
		r = a.failure(ctx, r.Err)
		r.Status = resp.StatusCode
	}
	if s.first > 0 {
		r.FirstEvent = time.Duration(s.first - a.started.UnixNano())
	}
	return r
}

func newEngineRequest(ctx context.Context, call *StreamCall) (*http.Request, error) {
	url := "http://" + call.Endpoint.Address + engine.PathChat
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(engine.HeaderRequestID, call.RequestID)
	req.Header.Set(engine.HeaderAttemptID, call.AttemptID)
	return req, nil
}

// Errors of the stream checks.
var (
	errForeign = errors.New("stream event of another request")
	errGap     = errors.New("gap in the stream")
	errSink    = errors.New("receiver ended the stream")
)

// stream checks the events of one attempt.
type stream struct {
	call  *StreamCall
	next  int
	first int64 // Unix nanoseconds of the first accepted event
	sink  func(*engine.StreamEvent) error
	alive func()
}

func (s *stream) read(body io.Reader) Result {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 1024), maxEventBytes)
	for lines.Scan() {
		line := lines.Bytes()
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			if len(line) > 0 {
				s.alive()
			}
			continue
		}
		if end, err := s.event(data); err != nil || end != Lost {
			return Result{End: end, Sent: sentAt(end), Status: http.StatusOK, Err: err}
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Result{End: Lost, Status: http.StatusOK, Err: err}
}

func sentAt(end End) Sent {
	if end == Complete {
		return All
	}
	return Some
}

// event handles one event. It returns Lost while the stream goes on.
func (s *stream) event(data []byte) (End, error) {
	var e engine.StreamEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return Broken, fmt.Errorf("decode stream event: %w", err)
	}
	switch {
	case e.RequestID != s.call.RequestID:
		return Broken, errForeign
	case e.AttemptID != s.call.AttemptID || e.Seq < s.next:
		// Late events of an abandoned attempt and duplicates are dropped. They don't count as signs of life, so that
		// a stream that carries nothing else is given up.
		return Lost, nil
	case e.Seq > s.next:
		return Broken, errGap
	}
	s.alive()
	if s.first == 0 {
		s.first = time.Now().UnixNano()
	}
	switch e.Finish {
	case "":
	case engine.FinishMoved:
		return Moved, nil
	default:
		return s.deliver(&e, Complete)
	}
	s.next++
	return s.deliver(&e, Lost)
}

func (s *stream) deliver(e *engine.StreamEvent, end End) (End, error) {
	if err := s.sink(e); err != nil {
		return Cancelled, errors.Join(errSink, err)
	}
	return end, nil
}
