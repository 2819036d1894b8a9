package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	// inlineBody is the largest body in bytes that is written before the answer is awaited. Larger ones are written
	// beside it, since an endpoint may answer early and stop reading.
	inlineBody = 4 << 10
	// maxForeign bounds the late answers to earlier requests that are skipped on a connection.
	maxForeign = 3
	// maxForeignBytes bounds the body of a late answer that is read to get past it.
	maxForeignBytes = 64 << 10
	// maxInterim bounds the informational (1xx) answers before the final one.
	maxInterim = 5
)

// Call is a request to an endpoint.
type Call struct {
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header // not changed
	Body   []byte
	// Once marks a request that must not run twice; it gets only connections used or opened just before.
	Once bool
	// IsOwn reports whether an answer belongs to this request; nil accepts each.
	IsOwn func(http.Header) bool
}

// Error is a failed exchange.
type Error struct {
	Sent   bool // a byte of the request may have reached the endpoint
	Reused bool // the connection had carried an exchange before
	Err    error
}

func (e *Error) Error() string {
	if e.Sent {
		return "exchange broken: " + e.Err.Error()
	}
	return "request not sent: " + e.Err.Error()
}

func (e *Error) Unwrap() error { return e.Err }

// Reply is an answer whose body is still to be read. Finish must be called.
type Reply struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length of the body in bytes; -1 when it is not known.
	Length int64

	conn     *conn
	resp     *http.Response
	whole    bool
	written  *atomic.Bool // the request was written completely
	stopWait func() bool
}

// Do sends a request and returns the answer once its head has arrived. When ctx ends, the connection is closed at
// once, until Finish. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, call *Call) (*Reply, error) {
	c, err := p.get(ctx, call.Once)
	if err != nil {
		return nil, &Error{Err: err}
	}
	reused := c.used
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.SetDeadline(time.Unix(1, 0)); c.discard() })
	written := &atomic.Bool{}
	sent, err := c.send(call, written)
	if err == nil {
		var resp *http.Response
		if resp, err = c.receive(call); err == nil {
			c.noteKeepAlive(resp.Header)
			r := &Reply{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
				conn: c, resp: resp, written: written, stopWait: stop,
			}
			r.Body = &wholeReader{reply: r}
			return r, nil
		}
		sent = true
	}
	stop()
	c.discard()
	if ctx.Err() != nil {
		err = errors.Join(context.Cause(ctx), err)
	}
	return nil, &Error{Sent: sent, Reused: reused, Err: err}
}

// send writes the request, a large body in the background. sent tells whether a byte may have left.
func (c *conn) send(call *Call, written *atomic.Bool) (sent bool, err error) {
	counter := &countingWriter{w: c.Conn}
	req := call.request()
	if len(call.Body) <= inlineBody {
		err := req.Write(counter)
		written.Store(err == nil)
		return counter.n > 0, err
	}
	go func() {
		// A failed write shows in the answer, or in its absence.
		written.Store(req.Write(counter) == nil)
	}()
	return true, nil
}

func (c *Call) request() *http.Request {
	header := c.Header
	if _, ok := header["User-Agent"]; !ok {
		header = header.Clone()
		header["User-Agent"] = nil // keeps Write from adding its own
	}
	req := &http.Request{
		Method: c.Method, URL: &url.URL{Scheme: "http", Host: c.Host, Opaque: c.URI}, Host: c.Host,
		Header: header, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(c.Body)),
	}
	if len(c.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.Body))
	}
	return req
}

// receive reads answers until the one to the call; late answers to earlier requests are skipped.
func (c *conn) receive(call *Call) (*http.Response, error) {
	for foreign, interim := 0, 0; ; {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode < 200 {
			if interim++; interim > maxInterim || resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, fmt.Errorf("unexpected informational answer %d", resp.StatusCode)
			}
			continue
		}
		if call.IsOwn == nil || call.IsOwn(resp.Header) {
			return resp, nil
		}
		if foreign++; foreign > maxForeign || !c.used {
			return nil, fmt.Errorf("answer %d belongs to another request", resp.StatusCode)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
		if err != nil || n == maxForeignBytes || resp.Close {
			return nil, errors.Join(errors.New("late answer to another request could not be skipped"), err)
		}
	}
}

// Finish ends the exchange. The connection is kept only after a whole answer to a completely written request.
func (r *Reply) Finish() {
	live := r.stopWait()
	if !live || !r.whole || r.resp.Close || !r.written.Load() || r.conn.reader.Buffered() > 0 || r.resp.ContentLength < 0 && len(r.resp.TransferEncoding) == 0 {
		r.conn.discard()
		return
	}
	r.conn.pool.put(r.conn)
}

// wholeReader notes the end of a body.
type wholeReader struct{ reply *Reply }

func (w *wholeReader) Read(b []byte) (int, error) {
	n, err := w.reply.resp.Body.Read(b)
	if err == io.EOF {
		w.reply.whole = true
	}
	return n, err
}

// countingWriter counts bytes before they are written, since a failed write may still have sent a part.
type countingWriter struct {
	w io.Writer
	n int
}

func (c *countingWriter) Write(b []byte) (int, error) {
	c.n += len(b)
	return c.w.Write(b)
}

// Abort closes the connection, which ends a read of the body.
func (r *Reply) Abort() { r.conn.discard() }
