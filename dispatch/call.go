package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/table"
)

// PlainCall describes one attempt at a call of a plain service.
type PlainCall struct {
	Endpoint *table.Endpoint
	Method   string
	Path     string // escaped path with the query
	Header   http.Header
	Body     []byte
	// SendOnce is set for calls that are not idempotent. They use a new connection, and the transport never resends them.
	SendOnce bool
	// NewConn requests a new connection, whose dial proves that the endpoint is reachable. SendOnce implies it.
	NewConn bool
	// ReusedTimeout replaces AnswerTimeout on a reused connection, which may be stalled, if it is shorter; 0: not used.
	ReusedTimeout time.Duration
	// AnswerTimeout is the time limit for the buffered start of the answer; 0: until the context ends.
	AnswerTimeout time.Duration
	// BufferBytes is the number of body bytes that are read before Call returns. Event streams are not buffered.
	BufferBytes int
}

// Answer is the answer of a plain service. Rest is nil when Body is the whole answer; otherwise the caller reads
// the rest and closes it.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
}

// Call makes one attempt at a plain service. The answer is nil unless Result.End is Complete.
func (c *Client) Call(ctx context.Context, call *PlainCall) (*Answer, Result) {
	p := c.pool(call.Endpoint)
	g := p.current()
	if call.SendOnce || call.NewConn {
		// A separate transport guarantees a connection that no other request has used or can use.
		g = &generation{transport: c.newTransport(), attempts: map[*attempt]struct{}{}}
		g.transport.DisableKeepAlives = true
	}
	ctx, a := c.start(ctx, g)
	if call.AnswerTimeout > 0 {
		timer := time.AfterFunc(call.AnswerTimeout, func() { a.cancel(errStalled); p.replaceGeneration(g) })
		defer timer.Stop()
		if call.ReusedTimeout > 0 {
			a.onReused = func() { timer.Reset(min(call.ReusedTimeout, call.AnswerTimeout)) }
		}
	}
	answer, result := c.roundTrip(ctx, a, call)
	if answer == nil || answer.Rest == nil {
		a.finish()
	}
	return answer, result
}

// replaceGeneration replaces a generation without ending its attempts: a missing header alone doesn't prove that the
// connections are stalled, since the service may be slow.
func (p *pool) replaceGeneration(g *generation) { p.retire(g, time.Hour) }

func (c *Client) roundTrip(ctx context.Context, a *attempt, call *PlainCall) (*Answer, Result) {
	req, err := newPlainRequest(ctx, call)
	if err != nil {
		return nil, Result{End: Cancelled, Err: err}
	}
	resp, err := a.gen.transport.RoundTrip(req)
	if err != nil {
		return nil, a.classify(ctx, err)
	}
	a.recordReceive()
	first := a.now().Sub(a.started)
	buffer := call.BufferBytes
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		// The caller waits for each event.
		buffer = 0
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(buffer)+1))
	if err != nil {
		resp.Body.Close()
		r := a.classify(ctx, fmt.Errorf("read answer: %w", err))
		r.Status = resp.StatusCode
		return nil, r
	}
	answer := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	result := Result{End: Complete, Sent: SentAll, Status: resp.StatusCode, FirstEvent: first}
	if len(body) <= buffer {
		resp.Body.Close()
		return answer, result
	}
	result.Sent = SentSome
	answer.Rest = &restBody{ReadCloser: resp.Body, attempt: a}
	return answer, result
}

// restBody ends the attempt when the rest of an answer has been read.
type restBody struct {
	io.ReadCloser
	attempt *attempt
}

func (b *restBody) Close() error {
	defer b.attempt.finish()
	return b.ReadCloser.Close()
}

func newPlainRequest(ctx context.Context, call *PlainCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Endpoint.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header = call.Header
	if call.SendOnce {
		// With GetBody the transport could send the body a second time.
		req.GetBody = nil
	}
	return req, nil
}
