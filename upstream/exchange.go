package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/progress"
)

const (
	// maxInlineBody is the largest body in bytes that is written before the answer is read. Larger ones are written
	// in the background, since an endpoint may answer early and stop reading.
	maxInlineBody = 4 << 10
	// maxSkippedAnswers bounds the late answers to earlier requests that are skipped on a connection.
	maxSkippedAnswers = 3
	// maxSkippedBytes bounds the body of a late answer that is read in order to skip it.
	maxSkippedBytes = 64 << 10
	// maxInterim bounds the informational (1xx) answers before the final one.
	maxInterim = 5
)

// Call is a request to an endpoint.
type Call struct {
	Method string
	URI    string // request target as the caller sent it, which is sent unchanged
	Host   string
	Header http.Header // not modified
	Body   []byte
	// NonIdempotent marks a request that must not run twice; it gets only connections that were used or opened just
	// before.
	NonIdempotent bool
	// MatchesAnswer reports whether an answer belongs to this request. reused means that the connection has carried
	// another request, of whose answer this may be a late copy. If MatchesAnswer is nil, the request gets a connection of
	// its own.
	MatchesAnswer func(h http.Header, reused bool) bool
	// UnusedSince, unless zero, excludes connections that were in use since then: one that has carried the same request
	// may deliver another copy of its answer.
	UnusedSince time.Time
	// OpensConn makes the request open a connection, which shows that the endpoint runs when it gets the request.
	OpensConn bool
	// HeadTimeout is the time in which the head of an answer has to arrive once its first byte has; 0: no limit.
	HeadTimeout time.Duration
	// MayTimeOut is called when HeadTimeout has passed, from another goroutine. If it returns false, the exchange goes on and
	// MayTimeOut is called again after a further HeadTimeout; nil: the exchange fails at once.
	MayTimeOut func() bool
	// MaySend is called once a connection is there, right before the request is written. If it returns an error, the exchange
	// fails with it, nothing is sent, and the connection is kept; nil: the request is always sent.
	MaySend func() error
}

// Error is the error of a failed exchange.
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

// Reply is an answer whose body has not been read yet. Finish must be called.
type Reply struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the length of the body in bytes; -1 if unknown.
	Length int64

	conn       *conn
	resp       *http.Response
	complete   bool
	written    *atomic.Bool // the request was written completely
	upload     *uploadWatch // of a long request; nil: none
	single     bool         // the connection is not used again
	stopCancel func() bool
}

// Do sends a request and returns the answer once its header has arrived. If ctx ends before Finish, the connection is
// closed at once. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, call *Call) (*Reply, error) {
	if ctx.Err() != nil {
		return nil, &Error{Err: context.Cause(ctx)}
	}
	c, err := p.connFor(ctx, call)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if call.MaySend != nil {
		if err := call.MaySend(); err != nil {
			p.putUnused(c)
			return nil, &Error{Err: err}
		}
	}
	reused := c.used
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.SetDeadline(time.Unix(1, 0)); c.discard() })
	written := &atomic.Bool{}
	var upload *uploadWatch
	if len(call.Body) > maxInlineBody {
		upload = c.watchUpload(written)
	}
	sent, err := c.send(call, written)
	if err == nil {
		var resp *http.Response
		if resp, err = c.receive(call); err == nil {
			c.setIdleTimeout(resp.Header)
			r := &Reply{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
				conn: c, resp: resp, written: written, upload: upload, stopCancel: stop, single: call.MatchesAnswer == nil,
			}
			r.Body = &bodyReader{reply: r}
			if r.IsUnframed() && progress.IsEventStream(r.Header) {
				r.Body = &progress.EventReader{Reader: r.Body}
			}
			return r, nil
		}
		sent = true
	}
	stop()
	upload.stop()
	c.discard()
	if c.stalled.Load() {
		err = errors.Join(errPathStalled, err)
	}
	if ctx.Err() != nil {
		err = errors.Join(context.Cause(ctx), err)
	}
	return nil, &Error{Sent: sent, Reused: reused, Err: err}
}

// putUnused returns a connection to the pool on which nothing was sent.
func (p *Pool) putUnused(c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		c.discard()
	}
}

// send writes the request; a large body is written in the background. sent reports whether a byte may have been sent.
func (c *conn) send(call *Call, written *atomic.Bool) (sent bool, err error) {
	head, err := call.head()
	if err != nil {
		return false, err
	}
	c.pool.settings.OnSent()
	if len(call.Body) <= maxInlineBody {
		_, err := c.Conn.Write(append(head, call.Body...))
		written.Store(err == nil)
		return true, err // a failed write may have sent some bytes
	}
	go func() {
		// A failed write shows in the answer, or in a missing answer.
		_, err := c.Conn.WriteBuffers(net.Buffers{head, call.Body})
		written.Store(err == nil)
	}()
	return true, nil
}

// receive reads answers until the one that belongs to the call; late answers to earlier requests are skipped.
func (c *conn) receive(call *Call) (*http.Response, error) {
	for skipped, interim := 0, 0; ; {
		resp, err := c.readHead(call)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if isInformational(resp.StatusCode) {
			if interim++; interim > maxInterim {
				return nil, fmt.Errorf("more than %d informational answers", maxInterim)
			}
			continue
		}
		if err := progress.CheckStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		if call.MatchesAnswer == nil || call.MatchesAnswer(resp.Header, c.used) {
			return resp, nil
		}
		if skipped++; skipped > maxSkippedAnswers || !c.used {
			return nil, fmt.Errorf("answer %d belongs to another request", resp.StatusCode)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes || resp.Close {
			return nil, errors.Join(errors.New("late answer to another request could not be skipped"), err)
		}
	}
}

// isInformational reports whether another answer follows one with this status. None follows on 101, which ends HTTP on the
// connection.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// readHead reads the head of an answer within its bounds.
func (c *conn) readHead(call *Call) (*http.Response, error) {
	end := c.incoming.beginHead(call.HeadTimeout, call.MayTimeOut)
	defer end()
	return http.ReadResponse(c.reader, &http.Request{Method: call.Method})
}

// Finish ends the exchange. The connection is reused only after a complete answer to a completely written request.
func (r *Reply) Finish() {
	notCanceled := r.stopCancel()
	r.upload.stop()
	if !notCanceled || r.single || !r.complete || !r.written.Load() || r.conn.stalled.Load() || r.conn.reader.Buffered() > 0 || r.endsConnection() {
		r.conn.discard()
		return
	}
	r.conn.pool.put(r.conn)
}

// endsConnection reports whether the answer is the last one on its connection, by its header or because only the end of
// the connection marks its end.
func (r *Reply) endsConnection() bool { return r.resp.Close || r.IsUnframed() }

// IsUnframed reports whether only the end of the connection marks the end of the body.
func (r *Reply) IsUnframed() bool {
	return r.resp.ContentLength < 0 && len(r.resp.TransferEncoding) == 0 && r.resp.Body != http.NoBody
}

// bodyReader records that a body was read to its end.
type bodyReader struct{ reply *Reply }

func (w *bodyReader) Read(b []byte) (int, error) {
	n, err := w.reply.resp.Body.Read(b)
	switch {
	case err == io.EOF:
		w.reply.complete = true
	case err != nil && w.reply.conn.stalled.Load():
		err = errors.Join(errPathStalled, err)
	}
	return n, err
}

// Abort closes the connection, which ends a pending read of the body.
func (r *Reply) Abort() { r.conn.discard() }
