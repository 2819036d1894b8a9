package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/upstream"
)

// maxBuffered is the size in bytes up to which an answer is read completely before it is relayed. Answers of plain
// services have a few KB; a larger one is relayed as it arrives.
const maxBuffered = 256 << 10

// relayWhole reads an answer completely before relaying it, so that the request can be repeated if the answer breaks
// off. onStall is called while the answer to a request that may be repeated makes no progress.
func (r *exchange) relayWhole(ctx context.Context, reply *upstream.Reply, onStall func()) outcome {
	defer context.AfterFunc(ctx, reply.Abort)()
	if reply.Length > progress.MaxAnswerBytes {
		return outcome{end: lost, reached: true, err: fmt.Errorf("%w: it has %d bytes", progress.ErrTooLong, reply.Length)}
	}
	whole := maxBuffered
	if isStream(reply) {
		whole = 0 // its events are relayed as they arrive
	}
	held := &heldAnswer{memory: r.answerMemory}
	defer held.release()
	err := r.readStart(held, reply, whole+1, onStall)
	if err != nil {
		return r.classifyError(ctx, &upstream.Error{Sent: true, Err: err})
	}
	body := held.body
	isWhole := len(body) <= whole && !held.short
	a := &answer{status: reply.Status, header: reply.Header, body: body}
	if isWhole && reply.Status >= http.StatusInternalServerError {
		return outcome{end: answered, reached: true, answer: a, err: errors.New("the endpoint answered " + http.StatusText(reply.Status))}
	}
	if !r.offers.claimWhole() {
		return outcome{end: lost, reached: true, err: progress.ErrStalled}
	}
	if !isWhole {
		return r.relayLong(ctx, a, held, reply)
	}
	if len(body) > 0 {
		r.recordBegun()
	}
	if err := r.deliver(a); err != nil {
		return outcome{end: ended, reached: true, err: err}
	}
	return outcome{end: answered, reached: true, delivered: true}
}

// readStart reads up to n bytes of an answer. onStall is that of relayWhole.
func (r *exchange) readStart(held *heldAnswer, reply *upstream.Reply, n int, onStall func()) error {
	if !r.route.MayRepeat() {
		return held.read(reply.Body, n)
	}
	watch := progress.Start(r.stallTimeout(), onStall)
	defer watch.Stop()
	return held.read(&progress.Reader{Reader: reply.Body, Watch: watch}, n)
}

// relayLong relays an answer as it arrives: one that is larger than maxBuffered, or a stream of events on a route of
// another kind. What the caller has of it can't be continued. a holds the bytes read so far, which are released once relayed.
func (r *exchange) relayLong(ctx context.Context, a *answer, held *heldAnswer, reply *upstream.Reply) outcome {
	r.stream.started = true
	r.w.WriteHead(a.status, a.header, reply.Length)
	if _, err := r.w.Write(a.body); err != nil {
		return outcome{end: ended, reached: true, err: err}
	}
	left := int64(progress.MaxAnswerBytes - len(a.body))
	a.body = nil
	held.release()
	source := &errorRecorder{Reader: io.LimitReader(reply.Body, left+1)}
	var w io.Writer = r.w
	if isStream(reply) {
		w = &flushWriter{r.w}
	}
	n, err := io.Copy(w, source)
	switch {
	case source.err != nil:
		out := r.classifyError(ctx, &upstream.Error{Sent: true, Err: source.err})
		out.partial = true
		return out
	case err != nil:
		return outcome{end: ended, reached: true, err: err}
	case n > left:
		return outcome{end: lost, reached: true, partial: true, err: progress.ErrTooLong}
	}
	return outcome{end: answered, reached: true, delivered: true}
}

// flushWriter sends each write to the caller at once.
type flushWriter struct{ w ResponseWriter }

func (f *flushWriter) Write(b []byte) (int, error) {
	n, err := f.w.Write(b)
	if err == nil {
		err = f.w.Flush()
	}
	return n, err
}

// errorRecorder records a failed read, which io.Copy does not tell apart from a failed write.
type errorRecorder struct {
	io.Reader
	err error // never io.EOF
}

func (e *errorRecorder) Read(b []byte) (int, error) {
	n, err := e.Reader.Read(b)
	if err != nil && err != io.EOF {
		e.err = err
	}
	return n, err
}

func (r *exchange) deliver(a *answer) error {
	r.f.cfg.Metrics.recordAnswerTime(time.Since(r.req.Arrived))
	return a.deliver(r.w)
}

func (a *answer) deliver(w ResponseWriter) error {
	w.WriteHead(a.status, a.header, int64(len(a.body)))
	_, err := w.Write(a.body)
	return err
}
