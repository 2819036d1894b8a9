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
	"strconv"
	"time"

	"github.com/trefoillug/trefoillug/continuation"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/table"
)

// maxErrorBytes is the number of bytes of an error answer that are kept.
const maxErrorBytes = 4 << 10

// StreamCall describes one attempt at a model request.
type StreamCall struct {
	Endpoint  *table.Endpoint
	RequestID string
	AttemptID string
	Body      []byte // JSON of an engine.ChatRequest
	First     int    // expected sequence number of the first event
	// MayAbandon reports whether the attempt may be given up because it makes no progress; nil: it may. It is called from
	// other goroutines, and again after each further gap without progress.
	MayAbandon func() bool
}

// Stream makes one attempt and passes each event once and in order to sink, which must not block for long. An error of
// sink ends the attempt as Cancelled.
func (c *Client) Stream(ctx context.Context, call *StreamCall, sink func(*engine.StreamEvent) error) Result {
	p := c.pool(call.Endpoint)
	g := p.current()
	ctx, a := c.start(ctx, g, call.MayAbandon)
	defer a.finish()
	gap := c.settings.StreamGap
	watch := progress.Start(gap, func() {
		a.stall()
		p.retire(g, gap/2)
	})
	defer watch.Stop()
	req, err := newEngineRequest(ctx, call)
	if err != nil {
		return Result{End: Cancelled, Err: err}
	}
	resp, err := g.transport.RoundTrip(req)
	if err != nil {
		return a.classify(ctx, err)
	}
	defer resp.Body.Close()
	if err := progress.CheckStatus(resp.StatusCode); err != nil {
		return Result{End: InvalidStream, Sent: SentSome, Status: resp.StatusCode, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return Result{End: ErrorStatus, Sent: SentAll, Status: resp.StatusCode, Err: fmt.Errorf("engine answered status %d: %s", resp.StatusCode, bytes.TrimSpace(detail))}
	}
	s := stream{call: call, nextSeq: call.First, sink: sink, attempt: a, watch: watch}
	r := s.read(resp.Body)
	if r.End == Lost {
		r = a.classify(ctx, r.Err)
		r.Status = resp.StatusCode
	}
	if s.firstEventAt > 0 {
		r.FirstEvent = time.Duration(s.firstEventAt - a.started.UnixNano())
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

// Reasons for which a stream is ended.
var (
	errOtherRequest = errors.New("answer to another request")
	errSink         = errors.New("receiver ended the stream")
)

// stream validates the events of one attempt.
type stream struct {
	call         *StreamCall
	nextSeq      int
	follows      bool  // the first event continued what the caller has
	firstEventAt int64 // Unix nanoseconds of the first accepted event
	sink         func(*engine.StreamEvent) error
	attempt      *attempt
	watch        *progress.Watch
}

// read passes the events of body to sink until the stream ends. The End is Lost when body ends before the last event.
func (s *stream) read(body io.Reader) Result {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 1024), progress.MaxEventBytes)
	lines.Split(splitLine)
	for lines.Scan() {
		line := lines.Bytes()
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			if len(line) > 0 {
				s.attempt.recordReceive()
				s.watch.RecordComment()
			}
			continue
		}
		if end, err := s.handleEvent(data); err != nil || end != Lost {
			return Result{End: end, Sent: sentFor(end), Status: http.StatusOK, Err: err}
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Result{End: Lost, Status: http.StatusOK, Err: err}
}

// splitLine is a bufio.SplitFunc for lines that end in CR, LF or both. Between CR and LF it returns an empty line, which has
// no meaning on its own. It drops the part of a line within which the stream has ended.
func splitLine(b []byte, atEOF bool) (advance int, line []byte, err error) {
	n := bytes.IndexByte(b, '\n')
	if cr := bytes.IndexByte(b[:max(n, 0)], '\r'); cr >= 0 {
		n = cr
	} else if n < 0 {
		n = bytes.IndexByte(b, '\r')
	}
	switch {
	case n >= 0:
		return n + 1, b[:n], nil
	case atEOF:
		return len(b), nil, nil
	}
	return 0, nil, nil
}

func sentFor(end End) Sent {
	if end == Complete {
		return SentAll
	}
	return SentSome
}

// handleEvent validates one event and passes it to sink. It returns Lost while the stream continues.
func (s *stream) handleEvent(data []byte) (End, error) {
	var e engine.StreamEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return InvalidStream, fmt.Errorf("decode stream event: %w", err)
	}
	switch {
	case e.RequestID != s.call.RequestID:
		return InvalidStream, errOtherRequest
	case e.AttemptID != s.call.AttemptID || s.follows && e.Seq < s.nextSeq:
		// Late events of an abandoned attempt and duplicates are dropped. They are no progress, so that
		// a stream that carries nothing else times out.
		return Lost, nil
	}
	if _, err := continuation.NewJudge(continuation.AfterNumber(s.nextSeq - 1)).Add(strconv.Itoa(e.Seq)); err != nil {
		return InvalidStream, err
	}
	s.follows = true
	s.attempt.recordReceive()
	s.watch.RecordEvent()
	if s.firstEventAt == 0 {
		s.firstEventAt = s.attempt.now().UnixNano()
	}
	switch e.FinishReason {
	case "":
	case engine.FinishMoved:
		return Moved, nil
	default:
		return s.deliver(&e, Complete)
	}
	s.nextSeq++
	return s.deliver(&e, Lost)
}

func (s *stream) deliver(e *engine.StreamEvent, end End) (End, error) {
	if err := s.sink(e); err != nil {
		return Cancelled, errors.Join(errSink, err)
	}
	return end, nil
}
