package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/placement"
	"github.com/trefoillug/trefoillug/upstream"
)

// end tells how an attempt ended.
type end int

const (
	answered    end = iota // a whole answer arrived
	unreachable            // nothing was sent
	rejected               // the endpoint states that it did not run the request
	lost                   // the connection broke, or went silent, after a byte was sent
	ended                  // the caller left or the time is up
)

func (e end) String() string {
	return [...]string{"answered", "unreachable", "rejected", "lost", "ended"}[e]
}

// outcome of an attempt.
type outcome struct {
	end       end
	arrived   bool // a byte may have reached the endpoint
	delivered bool
	answer    *answer // whole answer that reports a failure
	err       error
}

// mayHaveRun reports whether the endpoint may have run the request.
func (o *outcome) mayHaveRun() bool { return o.arrived && o.end != rejected }

// answer is a whole answer in memory.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// maxBuffered bounds the bytes of an answer that is read before it is passed on. Answers of plain services have a few
// KB; a longer one is passed on as it arrives.
const maxBuffered = 256 << 10

// errSilent ends an attempt that has brought no answer for so long that another endpoint does better.
var errSilent = errors.New("no answer from the endpoint in the expected time")

// repeatAfter is the wait for an idempotent request's answer before it is given to another endpoint. It lies above
// nearly all answers of plain services (60 ms, seldom 300) and below their objective of 300 ms.
const repeatAfter = 220 * time.Millisecond

func (r *run) attempt(ctx context.Context, e *fleet.Endpoint) (out outcome) {
	r.tried[e] = true
	prefill := r.begin(e)
	defer e.Live.End()
	sent := time.Now()
	r.sent = sent
	r.first, r.load = 0, e.Live.View(sent).Running-1
	first := func() {
		if r.first == 0 {
			r.first = time.Since(sent)
		}
		e.Live.Prefilled(prefill)
		r.worked(time.Duration(prefill / placement.PrefillRate * float64(time.Millisecond)))
		prefill = 0
	}
	defer func() { e.Live.Prefilled(prefill) }()

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if wait := r.silence(); wait > 0 {
		timer := time.AfterFunc(wait, func() { cancel(errSilent) })
		defer timer.Stop()
	}
	relocation, stop := r.relocate(ctx, e)
	defer stop()
	defer func() {
		if !out.delivered {
			r.moved = relocation.result()
		}
	}()
	reply, err := e.Pool.Do(ctx, r.call(ctx, e))
	if err != nil {
		return r.failedExchange(ctx, err)
	}
	defer reply.Finish()
	if load, ok := r.f.cfg.Wire.Load(reply.Header); ok {
		e.Live.NoteLoad(load, time.Now())
	}
	if r.f.cfg.Wire.IsNotRun(reply.Status, reply.Header) {
		_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, maxBuffered)) // only whether the connection can be kept depends on it
		return outcome{end: rejected, arrived: true, err: errors.New("the endpoint had no room: " + http.StatusText(reply.Status))}
	}
	r.mayRun = true
	if isStream(reply) {
		return r.relayStream(ctx, reply, relocation, first)
	}
	r.first = time.Since(sent)
	r.worked(r.first / time.Duration(max(1, e.Slots)))
	return r.relayWhole(ctx, reply)
}

func (r *run) worked(work time.Duration) { r.f.cfg.Worked(r.service.Name, work) }

func (r *run) begin(e *fleet.Endpoint) float64 {
	prefill := 0.0
	if p := r.prompt(); p.Input > 0 && r.moved == nil {
		now := time.Now()
		prefill = max(0, float64(p.Input)-r.f.expectedCached(e, p, now))
		r.f.caches.sent(e, p, now)
	}
	e.Live.Begin(prefill)
	return prefill
}

// silence is the time after which a request that may be repeated goes to another endpoint; 0: never.
func (r *run) silence() time.Duration {
	if !r.route.MayRepeat() || r.runs+1 >= r.route.MaxAttempts || r.req.Prompt != nil {
		return 0
	}
	return repeatAfter
}

func (r *run) call(ctx context.Context, e *fleet.Endpoint) *upstream.Call {
	deadline, _ := ctx.Deadline()
	a := &Attempt{
		Request: r.req, Endpoint: e, Priority: r.priority(), TimeLeft: time.Until(deadline), LastEventID: r.req.LastEventID,
	}
	if r.workspace != nil {
		a.Workspace = r.workspace.Name
	}
	if r.stream.lastID != "" {
		a.LastEventID = r.stream.lastID
	}
	if r.moved != nil {
		a.MovedFrom = r.moved.ref
		r.moved = nil
	}
	return &upstream.Call{
		Method: r.req.Method, URI: r.req.URI, Host: r.req.Host, Header: r.f.cfg.Wire.Outbound(a), Body: r.req.Body,
		Once:  !r.route.MayRepeat(),
		IsOwn: func(h http.Header) bool { return r.f.cfg.Wire.IsAnswerTo(h, r.req.ID) },
	}
}

func (r *run) failedExchange(ctx context.Context, err error) outcome {
	out := outcome{end: lost, arrived: true, err: err}
	var failed *upstream.Error
	if errors.As(err, &failed) && !failed.Sent {
		out.end, out.arrived = unreachable, false
	}
	if out.arrived {
		r.mayRun = true
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		out.end = ended
	}
	return out
}

// note records an attempt for the choice of endpoints, the limits and the log.
func (r *run) note(e *fleet.Endpoint, out *outcome) {
	now := time.Now()
	if out.arrived {
		r.arrivals++
	}
	if out.mayHaveRun() {
		r.noteBegun()
		if r.moved == nil {
			r.runs++ // a run that goes on elsewhere is the same run
		}
	}
	switch {
	case out.end == unreachable && !errors.Is(out.err, upstream.ErrLimit):
		e.Live.NoteUnreachable(now)
	case out.end == lost && r.moved == nil:
		e.Live.NoteAnswer(true, now)
		if errors.Is(out.err, errSilent) {
			e.Pool.DropIdle() // they may have gone silent together
		}
	case out.end == answered:
		e.Live.NoteAnswer(out.answer != nil && out.answer.status >= http.StatusInternalServerError, now)
	case out.end == rejected:
		e.Live.NoteLoad(fleet.Load{Running: e.Slots, Waiting: e.Slots, Slots: e.Slots}, now)
	}
	r.observe(e, out)
	r.noteSuspect(e, out)
	r.f.cfg.Metrics.attempt(out.end)
	if r.moved == nil && (out.end != answered || out.answer != nil) {
		r.log.WithError(out.err).WithFields(logrus.Fields{
			"route": r.route.Name, "endpoint": e.ID, "end": out.end.String(), "arrivals": r.arrivals, "ms": time.Since(r.req.Arrived).Milliseconds(),
		}).Info("attempt delivered no answer")
	}
}

// observe passes the end of an attempt on as evidence of its version.
func (r *run) observe(e *fleet.Endpoint, out *outcome) {
	if r.f.cfg.Versions == nil {
		return
	}
	failed := out.end == lost || out.answer != nil && out.answer.status >= http.StatusInternalServerError
	r.failedNew = r.failedNew || failed
	r.f.cfg.Versions.Observe(Observation{
		Service: r.service.Name, Version: e.Version, Route: r.route.Name, Failed: failed, First: r.first, Load: r.load,
		Excluded: out.end == unreachable || out.end == rejected || out.end == ended || r.moved != nil || e.IsLeaving(),
	})
}

// noteBegun counts the request once for the usage report.
func (r *run) noteBegun() {
	if r.began || r.workspace == nil {
		return
	}
	r.began = true
	r.f.cfg.Began(r.workspace.Name, time.Now())
}

// relayWhole reads an answer completely before a byte of it is passed on, so that a broken one can be repeated.
func (r *run) relayWhole(ctx context.Context, reply *upstream.Reply) outcome {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBuffered+1))
	if err != nil {
		out := r.failedExchange(ctx, &upstream.Error{Sent: true, Err: err})
		return out
	}
	a := &answer{status: reply.Status, header: reply.Header, body: body}
	if len(body) > maxBuffered {
		return r.relayLong(a, reply)
	}
	if reply.Status >= http.StatusInternalServerError {
		return outcome{end: answered, arrived: true, answer: a, err: errors.New("the endpoint answered " + http.StatusText(reply.Status))}
	}
	if err := r.deliver(a); err != nil {
		return outcome{end: ended, arrived: true, err: err}
	}
	return outcome{end: answered, arrived: true, delivered: true}
}

// relayLong passes on an answer that is too long to be held.
func (r *run) relayLong(a *answer, reply *upstream.Reply) outcome {
	r.stream.started = true
	r.w.WriteHead(a.status, a.header, reply.Length)
	_, err := r.w.Write(a.body)
	if err == nil {
		_, err = io.Copy(r.w, reply.Body)
	}
	if err != nil {
		return outcome{end: ended, arrived: true, err: err}
	}
	return outcome{end: answered, arrived: true, delivered: true}
}

func (r *run) deliver(a *answer) error {
	r.f.cfg.Metrics.answered(time.Since(r.req.Arrived))
	return a.deliver(r.w)
}

func (a *answer) deliver(w ResponseWriter) error {
	w.WriteHead(a.status, a.header, int64(len(a.body)))
	_, err := w.Write(a.body)
	return err
}
