package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/attempt"
	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/problem"
)

const (
	// bufferBytes is the part of a plain answer that is held before the first byte goes to the caller. An answer up to
	// this size can be fetched again from another endpoint when the first one breaks off.
	bufferBytes = 256 << 10
	// recordedBytes bounds the body of an answer that is retained for repeats of its key.
	recordedBytes = 4 << 10
	// reusedTimeout is the least time to the answer on a reused connection before it counts as silent.
	reusedTimeout = 2 * time.Second
	// slowFactor times the endpoint's usual time to the answer is allowed on a reused connection, so that slow calls
	// are not taken for silent connections and run twice.
	slowFactor = 4
	// claimPoll is the time between looks at a claim that another attempt holds.
	claimPoll = 100 * time.Millisecond
)

// servePlain answers calls of plain services.
func (r *Relay) servePlain(w http.ResponseWriter, req *http.Request) {
	r.calls.Add(1)
	defer r.calls.Add(-1)
	id := r.newRequestID()
	call, f := r.plainCall(w, req, id)
	if f.err != nil {
		f.requestID = id
		r.refuse(w, f)
		return
	}
	f = refusal{requestID: id, service: call.Service.Name, workspace: call.Workspace}
	release, err := r.admitPlain(req.Context(), call)
	if err != nil {
		if call.once() {
			err = problem.Unverified(err)
		}
		f.err = err
		r.refuse(w, f)
		return
	}
	defer release()
	// The context of a call that runs at most once outlives its caller: the answer is recorded for a repeat.
	base := req.Context()
	if call.once() {
		base = context.WithoutCancel(base)
	}
	ctx, cancel := context.WithTimeout(base, call.Deadline.Sub(r.cfg.Now()))
	defer cancel()
	answer, err := r.runPlain(ctx, call)
	if err != nil {
		f.err = err
		r.refuse(w, f)
		return
	}
	r.writePlain(w, call, answer)
}

func (r *Relay) plainCall(w http.ResponseWriter, req *http.Request, id string) (*Call, refusal) {
	name := req.PathValue("service")
	svc, err := r.service(name)
	if err != nil {
		if req.Header.Get(headerKey) != "" {
			err = problem.Unverified(err)
		}
		return nil, refusal{err: err}
	}
	body, err := r.readBody(w, req)
	if err != nil {
		return nil, refusal{err: err, service: name}
	}
	path := strings.TrimPrefix(req.URL.EscapedPath(), "/services/"+name)
	call, err := r.newCall(req, svc, id, path, body)
	if err != nil {
		return nil, refusal{err: err, service: name}
	}
	if req.URL.RawQuery != "" {
		call.Path += "?" + req.URL.RawQuery
	}
	call.Header = forwardedHeader(req.Header)
	call.Fingerprint = fingerprint(name, call.Route.Name, append([]byte(call.Method+" "+call.Path+"\x00"), body...))
	if call.once() && call.Key == "" {
		return nil, refusal{err: problem.New(problem.KeyMissing, "route %s needs an %s", call.Route.Name, headerKey), service: name, workspace: call.Workspace}
	}
	return call, refusal{}
}

func (r *Relay) admitPlain(ctx context.Context, call *Call) (func(), error) {
	if r.cfg.Quarantine.IsQuarantined(call.Fingerprint) {
		return nil, problem.New(problem.Quarantined, "this request crashed its endpoints")
	}
	return r.cfg.Admitter.Admit(ctx, call)
}

// hopHeaders concern one connection only and are not passed on (RFC 9110, section 7.6.1).
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// forwardedHeader returns the headers of a message without those that concern its connection.
func forwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	out.Del("Expect")
	out.Del("Content-Length")
	return out
}

// plainAnswer is the answer of a call with its origin.
type plainAnswer struct {
	*dispatch.Answer
	endpoint, version string
}

func (r *Relay) runPlain(ctx context.Context, call *Call) (*plainAnswer, error) {
	if call.once() {
		return r.runOnce(ctx, call)
	}
	r.cfg.RetryBudget.Request(call.Service.Name)
	p := &plainPath{relay: r, call: call, search: search{call: call, tried: map[string]bool{}}}
	defer r.stopSearch(&p.search)
	err := attempt.Run(ctx, p)
	return p.answer, err
}

// plainPath is an idempotent call on its way.
type plainPath struct {
	relay  *Relay
	call   *Call
	search search
	fresh  bool // only new connections: one was silent
	errors int  // answers of endpoints that failed
	answer *plainAnswer
}

// plainOutcome is the end of an attempt of a plain call.
type plainOutcome struct {
	answer *plainAnswer
	result dispatch.Result
}

// Choose implements attempt.Path.
func (p *plainPath) Choose(ctx context.Context) (*slot, error) {
	got, err := p.relay.acquire(ctx, &p.search)
	if err != nil {
		return nil, plainEnded(ctx, err, len(p.search.tried) > 0)
	}
	return got, nil
}

// Try implements attempt.Path.
func (p *plainPath) Try(ctx context.Context, got *slot) plainOutcome {
	answer, result := p.relay.callEndpoint(ctx, p.call, got, p.fresh)
	p.fresh = p.fresh || result.End == dispatch.Silent
	if answer != nil {
		p.errors++
	}
	if result.End == dispatch.Lost {
		p.relay.awaitCrashNoted(ctx, p.call, got.endpoint.ID)
	}
	return plainOutcome{answer, result}
}

// IsAnswered implements attempt.Path.
func (p *plainPath) IsAnswered(out plainOutcome) bool {
	if out.answer == nil || retriable(out.result.Status) && p.errors < maxErrorAnswers {
		return false
	}
	p.answer = out.answer
	return true
}

// Permit implements attempt.Path.
func (p *plainPath) Permit(ctx context.Context, got *slot, out plainOutcome) error {
	if out.answer != nil {
		out.answer.close()
	}
	if ctx.Err() != nil {
		return plainEnded(ctx, ctx.Err(), true)
	}
	if p.relay.cfg.Quarantine.IsQuarantined(p.call.Fingerprint) {
		return problem.New(problem.Quarantined, "the request crashed its endpoints")
	}
	p.search.noteFailed(got.endpoint, out.answer != nil)
	return nil
}

// TakeRepeat implements attempt.Path.
func (p *plainPath) TakeRepeat(ctx context.Context, _ *slot, out plainOutcome) error {
	return p.relay.awaitBudget(ctx, p.call, func() error { return plainEnded(ctx, out.result.Err, true) })
}

// GiveUp implements attempt.Path.
func (p *plainPath) GiveUp(_ context.Context, _ *plainOutcome, cause error) error { return cause }

// plainEnded explains a call that got no answer. Once an endpoint was tried the call may have run.
func plainEnded(ctx context.Context, err error, tried bool) error {
	if tried {
		return problem.New(problem.EndpointFailed, "no endpoint answered in time: %v", errors.Join(context.Cause(ctx), err))
	}
	return err
}

// retriable tells that an endpoint's answer says another one may do better.
func retriable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func (a *plainAnswer) close() {
	if a.Rest != nil {
		a.Rest.Close()
	}
}

// callEndpoint makes one attempt. The slot is released when the answer has been read.
func (r *Relay) callEndpoint(ctx context.Context, call *Call, got *slot, fresh bool) (*plainAnswer, dispatch.Result) {
	log := &attemptLog{started: r.cfg.Now()}
	header := call.Header.Clone()
	header.Set(headerRequestID, call.RequestID)
	header.Set(engine.HeaderAttemptID, got.attempt)
	attempt := &dispatch.PlainCall{
		Endpoint: got.endpoint, Method: call.Method, Path: call.Path, Header: header, Body: call.Body,
		Once: call.once(), Fresh: fresh, BufferBytes: bufferBytes,
	}
	if deadline, ok := ctx.Deadline(); ok && !attempt.Once {
		// Half of the remaining time leaves as much for another endpoint.
		attempt.AnswerTimeout = time.Until(deadline) / 2
		usual := time.Duration(got.endpoint.Live.FirstToken.Load()) * time.Microsecond
		attempt.ReusedTimeout = max(reusedTimeout, slowFactor*usual)
	}
	answer, result := r.cfg.Dispatch.Call(ctx, attempt)
	log.first = result.FirstEvent
	noted := result
	if answer != nil && answer.Status >= 500 {
		noted.End = dispatch.Answered
	}
	r.noteEnd(call, got, log, noted)
	if answer == nil {
		got.release()
		return nil, result
	}
	if answer.Rest == nil {
		got.release()
	} else {
		answer.Rest = &releasingBody{ReadCloser: answer.Rest, slot: got}
	}
	return &plainAnswer{Answer: answer, endpoint: got.endpoint.ID, version: got.endpoint.Version}, result
}

// releasingBody releases the slot of an attempt once its answer has been read.
type releasingBody struct {
	io.ReadCloser
	slot *slot
}

func (b *releasingBody) Close() error {
	defer b.slot.release()
	return b.ReadCloser.Close()
}

func (r *Relay) writePlain(w http.ResponseWriter, call *Call, a *plainAnswer) {
	defer a.close()
	for name, values := range forwardedHeader(a.Header) {
		w.Header()[name] = values
	}
	setDelivery(w.Header(), call.RequestID, a.endpoint, a.version)
	rc := http.NewResponseController(w)
	// Recorders and other writers without a connection have no deadline to set.
	_ = rc.SetWriteDeadline(time.Now().Add(r.cfg.Limits.WriteTime))
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if err == nil && a.Rest != nil {
		if _, err := io.Copy(&deadlineWriter{w: w, rc: rc, timeout: r.cfg.Limits.WriteTime}, a.Rest); err != nil {
			// The caller sees that the answer is not whole when the connection breaks.
			panic(http.ErrAbortHandler)
		}
	}
	r.cfg.Post(core.Served{Service: call.Service.Name, Workspace: call.Workspace})
}

// deadlineWriter gives each write its own deadline and sends it at once.
type deadlineWriter struct {
	w       io.Writer
	rc      *http.ResponseController
	timeout time.Duration
}

func (d *deadlineWriter) Write(b []byte) (int, error) {
	_ = d.rc.SetWriteDeadline(time.Now().Add(d.timeout))
	n, err := d.w.Write(b)
	if err == nil {
		err = d.rc.Flush()
	}
	return n, err
}
