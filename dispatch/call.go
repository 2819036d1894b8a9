package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/progress"
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
	// AnswerTimeout is the time limit for the head of the answer; 0: until the context ends. With a limit, the buffered
	// start of the answer must make progress too.
	AnswerTimeout time.Duration
	// MayAbandon reports whether the attempt may be given up for one of the limits of time; nil: it may. It is called from
	// other goroutines, and again after each further limit.
	MayAbandon func() bool
	// BufferBytes is the number of body bytes that are read before Call returns. Event streams are not buffered.
	BufferBytes int
	// Reserve reports whether there is memory for more bytes of the body. If there is none, Call returns with fewer bytes
	// than BufferBytes; nil: there always is.
	Reserve func(bytes int) bool
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
	ctx, a := c.start(ctx, g, call.MayAbandon)
	stall := func() { a.stall(); p.replaceGeneration(g) }
	if call.AnswerTimeout > 0 {
		watch := progress.Start(call.AnswerTimeout, stall)
		a.onHead = func() *progress.Watch {
			watch.Stop()
			return progress.Start(c.settings.StreamGap, stall)
		}
		defer watch.Stop()
		if call.ReusedTimeout > 0 {
			a.onReused = func() { watch.SetGap(min(call.ReusedTimeout, call.AnswerTimeout)) }
		}
	}
	answer, result := c.roundTrip(ctx, p, a, call)
	if answer == nil || answer.Rest == nil {
		a.finish()
	}
	return answer, result
}

// replaceGeneration replaces a generation without ending its attempts: a missing header alone doesn't prove that the
// connections are stalled, since the service may be slow.
func (p *pool) replaceGeneration(g *generation) { p.retire(g, time.Hour) }

func (c *Client) roundTrip(ctx context.Context, p *pool, a *attempt, call *PlainCall) (*Answer, Result) {
	req, err := newPlainRequest(ctx, call)
	if err != nil {
		return nil, Result{End: Cancelled, Err: err}
	}
	// Without its ID in the answer, a late copy of another answer on a connection in use again looks like the answer.
	req.Close = !p.returnsIDs.Load()
	resp, err := a.gen.transport.RoundTrip(req)
	if err != nil {
		return nil, a.classify(ctx, err)
	}
	a.recordReceive()
	first := a.now().Sub(a.started)
	if err := p.checkAnswer(req, resp); err != nil {
		resp.Body.Close()
		p.replaceGeneration(a.gen)
		return nil, Result{End: InvalidStream, Sent: SentSome, Status: resp.StatusCode, Err: err}
	}
	if isUnframed(resp) && progress.IsEventStream(resp.Header) {
		resp.Body = &eventBody{EventReader: progress.EventReader{Reader: resp.Body}, Closer: resp.Body}
	}
	body, err := readStart(resp, a, call.BufferBytes, call.Reserve)
	if err != nil {
		resp.Body.Close()
		r := a.classify(ctx, fmt.Errorf("read answer: %w", err))
		r.Status = resp.StatusCode
		return nil, r
	}
	answer := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body.buffered}
	result := Result{End: Complete, Sent: SentAll, Status: resp.StatusCode, FirstEvent: first}
	if body.complete {
		resp.Body.Close()
		return answer, result
	}
	result.Sent = SentSome
	rest := &io.LimitedReader{R: resp.Body, N: progress.MaxAnswerBytes}
	answer.Rest = &restBody{Reader: rest, body: resp.Body, limit: rest, attempt: a}
	return answer, result
}

// checkAnswer reports whether an answer may be relayed: it has a final status, belongs to the request, as far as the service
// returns the IDs of attempts, and is not too long. It removes the ID, which is of no use to callers, from the answer.
func (p *pool) checkAnswer(req *http.Request, resp *http.Response) error {
	sent, returned := req.Header.Get(engine.HeaderAttemptID), resp.Header.Get(engine.HeaderAttemptID)
	resp.Header.Del(engine.HeaderAttemptID)
	if err := progress.CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	switch {
	case resp.ContentLength > progress.MaxAnswerBytes:
		return fmt.Errorf("%w: it has %d bytes", progress.ErrTooLong, resp.ContentLength)
	case sent != "" && sent == returned:
		p.returnsIDs.Store(true)
	case returned != "" || !req.Close:
		p.returnsIDs.Store(false)
		return errOtherRequest
	}
	return nil
}

// isUnframed reports whether only the end of the connection marks the end of the body.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// eventBody is the body of an event stream that ends with its connection.
type eventBody struct {
	progress.EventReader
	io.Closer
}

// startOfBody is the buffered start of a body.
type startOfBody struct {
	buffered []byte
	complete bool
}

// readStart reads the start of a body, up to one byte above limit or until reserve finds no memory for more. The start
// of an event stream is not buffered, since its caller waits for each event.
func readStart(resp *http.Response, a *attempt, limit int, reserve func(int) bool) (startOfBody, error) {
	if progress.IsEventStream(resp.Header) {
		limit = 0
	}
	var source io.Reader = resp.Body
	if a.onHead != nil {
		watch := a.onHead()
		defer watch.Stop()
		source = &progress.Reader{Reader: resp.Body, Watch: watch}
	}
	b, short, err := progress.ReadHeld(source, limit+1, reserve)
	return startOfBody{b, len(b) <= limit && !short}, err
}

// restBody ends the attempt when the rest of an answer has been read.
type restBody struct {
	io.Reader
	body    io.Closer
	limit   *io.LimitedReader
	attempt *attempt
}

func (b *restBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && b.limit.N <= 0 {
		err = progress.ErrTooLong
	}
	return n, err
}

func (b *restBody) Close() error {
	defer b.attempt.finish()
	return b.body.Close()
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
