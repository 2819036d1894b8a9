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
	"github.com/trefoillug/trefoillug/intake"
	"github.com/trefoillug/trefoillug/problem"
)

const (
	// bufferBytes is how much of a plain answer is buffered before the first byte is sent to the caller. If an endpoint
	// breaks off an answer of at most this size, the call can be retried at another endpoint.
	bufferBytes = 256 << 10
	// maxRecordedBytes bounds the body of an answer that is retained for repeats of its idempotency key.
	maxRecordedBytes = 4 << 10
	// minReusedTimeout is the minimum time to wait for an answer on a reused connection before it counts as stalled.
	minReusedTimeout = 2 * time.Second
	// reusedTimeoutFactor multiplies the endpoint's usual time to the answer to get the timeout on a reused connection.
	// Without it, slow calls would be taken for stalled connections and run twice.
	reusedTimeoutFactor = 4
	// claimPollInterval is the time between checks of a claim that an earlier call holds.
	claimPollInterval = 100 * time.Millisecond
)

// servePlain serves calls to plain services.
func (r *Relay) servePlain(w http.ResponseWriter, req *http.Request) {
	r.plainCalls.Add(1)
	defer r.plainCalls.Add(-1)
	id := r.newRequestID()
	call, f := r.plainCall(w, req, id)
	if f.err != nil {
		f.requestID = id
		r.refuse(w, f)
		return
	}
	defer call.received.Release()
	f = refusal{requestID: id, service: call.Service.Name, workspace: call.Workspace}
	if f.err = r.checkStopping(call); f.err != nil {
		r.refuse(w, f)
		return
	}
	release, err := r.admitPlain(req.Context(), call)
	if err != nil {
		if call.runsAtMostOnce() {
			err = problem.WithUnknownOutcome(err)
		}
		f.err = err
		r.refuse(w, f)
		return
	}
	defer release()
	// A call that runs at most once continues after its caller has disconnected: its answer is recorded for repeats.
	base := req.Context()
	if call.runsAtMostOnce() {
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

func (r *Relay) plainCall(w http.ResponseWriter, req *http.Request, id string) (_ *Call, f refusal) {
	name := req.PathValue("service")
	svc, err := r.service(name)
	if err != nil {
		if req.Header.Get(headerIdempotencyKey) != "" {
			err = problem.WithUnknownOutcome(err)
		}
		return nil, refusal{err: err}
	}
	body, err := r.readBody(w, req)
	if err != nil {
		if intake.IsShortage(err) && req.Header.Get(headerIdempotencyKey) != "" {
			err = problem.WithUnknownOutcome(err) // an earlier call under the key may have run
		}
		return nil, refusal{err: err, service: name}
	}
	defer func() {
		if f.err != nil {
			body.Release()
		}
	}()
	path := strings.TrimPrefix(req.URL.EscapedPath(), "/services/"+name)
	call, err := r.newCall(req, svc, id, path, body)
	if err != nil {
		return nil, refusal{err: err, service: name}
	}
	if req.URL.RawQuery != "" {
		call.Path += "?" + req.URL.RawQuery
	}
	call.Header = forwardedHeader(req.Header)
	call.Fingerprint = call.fingerprint()
	if call.runsAtMostOnce() && call.Key == "" {
		return nil, refusal{
			err:     problem.New(problem.KeyMissing, "route %s needs an %s", call.Route.Name, headerIdempotencyKey),
			service: name, workspace: call.Workspace}
	}
	return call, refusal{}
}

func (r *Relay) admitPlain(ctx context.Context, call *Call) (func(), error) {
	if err := r.checkQuarantine(call); err != nil {
		return nil, err
	}
	return r.cfg.Admitter.Admit(ctx, call)
}

// hopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// forwardedHeader returns the headers of a message without those that apply only to its connection.
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

// plainAnswer is the answer to a call with the endpoint that gave it.
type plainAnswer struct {
	*dispatch.Answer
	endpoint, version string
}

func (r *Relay) runPlain(ctx context.Context, call *Call) (*plainAnswer, error) {
	if call.runsAtMostOnce() {
		return r.runOnce(ctx, call)
	}
	r.cfg.RetryBudget.CountRequest(call.Service.Name)
	s := &plainSteps{relay: r, call: call, search: endpointSearch{call: call, failedEndpoints: map[string]bool{}}, stalled: make(chan struct{}, 1)}
	defer r.releaseReservation(&s.search)
	err := attempt.Run(ctx, s)
	s.next.discard(errSuperseded)
	return s.answer, err
}

// plainSteps implements attempt.Steps for an idempotent call.
type plainSteps struct {
	relay          *Relay
	call           *Call
	search         endpointSearch
	newConnections bool // use only new connections, after an attempt on a stalled one
	answers        int  // answers received from endpoints
	answer         *plainAnswer
	next           *plainRun     // an offer that is in progress as the next attempt
	stalled        chan struct{} // receives a value when the current attempt has stalled
	successor      attempt.Successor
}

// plainResult is the result of an attempt of a plain call. answer is nil if the endpoint returned no complete answer.
type plainResult struct {
	answer *plainAnswer
	result dispatch.Result
}

// Choose implements attempt.Steps.
func (s *plainSteps) Choose(ctx context.Context) (*slot, error) {
	if s.next != nil {
		return s.next.slot, nil
	}
	acquired, err := s.relay.acquire(ctx, &s.search)
	if err != nil {
		return nil, plainError(ctx, err, len(s.search.failedEndpoints) > 0)
	}
	return acquired, nil
}

// Try implements attempt.Steps.
func (s *plainSteps) Try(ctx context.Context, acquired *slot) plainResult {
	s.successor.Begin()
	defer s.successor.End()
	select {
	case <-s.stalled: // by an earlier attempt
	default:
	}
	o := &offers{steps: s, ctx: ctx, current: s.next}
	s.next = nil
	if o.current == nil {
		o.current = s.start(ctx, acquired)
	}
	o.current.isCurrent.Store(true)
	out := o.run()
	s.next = o.offered
	s.newConnections = s.newConnections || out.result.End == dispatch.Stalled
	if out.answer != nil {
		s.answers++
	}
	return out
}

// IsAnswered implements attempt.Steps.
func (s *plainSteps) IsAnswered(out plainResult) bool {
	if out.answer == nil || isRetriable(out.result.Status) && s.answers < maxErrorAnswers {
		return false
	}
	s.answer = out.answer
	return true
}

// CheckRetry implements attempt.Steps.
func (s *plainSteps) CheckRetry(ctx context.Context, acquired *slot, out plainResult) error {
	if out.answer != nil {
		out.answer.close()
	}
	if ctx.Err() != nil {
		return plainError(ctx, ctx.Err(), true)
	}
	if err := s.relay.checkQuarantine(s.call); err != nil {
		return err
	}
	s.search.recordFailure(acquired.endpoint, out.answer != nil)
	return nil
}

// AcquireRetry implements attempt.Steps.
func (s *plainSteps) AcquireRetry(ctx context.Context, _ *slot, out plainResult) error {
	if s.successor.Take() || s.next != nil {
		return nil
	}
	return s.relay.awaitBudget(ctx, s.call, func() error { return plainError(ctx, out.result.Err, true) })
}

// GiveUp implements attempt.Steps.
func (s *plainSteps) GiveUp(_ context.Context, _ *plainResult, cause error) error { return cause }

// plainError returns the error for a call without an answer. If an endpoint was tried, the call may have run.
func plainError(ctx context.Context, err error, tried bool) error {
	if tried {
		return problem.New(problem.EndpointFailed, "no endpoint answered in time: %v", errors.Join(context.Cause(ctx), err))
	}
	return err
}

// isRetriable reports whether the status of an answer suggests that another endpoint may succeed.
func isRetriable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable ||
		status == http.StatusGatewayTimeout
}

func (a *plainAnswer) close() {
	if a.Rest != nil {
		a.Rest.Close()
	}
}

// callEndpoint makes one attempt. The slot is released when the answer has been read or the attempt has failed. mayAbandon
// is that of dispatch.PlainCall.
func (r *Relay) callEndpoint(
	ctx context.Context, call *Call, acquired *slot, newConnection bool, mayAbandon func() bool) (*plainAnswer, dispatch.Result) {
	stats := &attemptStats{started: r.cfg.Now()}
	header := call.Header.Clone()
	header.Set(headerRequestID, call.RequestID)
	header.Set(engine.HeaderAttemptID, acquired.attempt)
	attempt := &dispatch.PlainCall{
		Endpoint: acquired.endpoint, Method: call.Method, Path: call.Path, Header: header, Body: call.Body,
		SendOnce: call.runsAtMostOnce(), NewConn: newConnection, BufferBytes: bufferBytes, Reserve: call.received.TryGrow, MayAbandon: mayAbandon,
	}
	if deadline, ok := ctx.Deadline(); ok && !attempt.SendOnce {
		// Half of the remaining time is reserved for another endpoint.
		attempt.AnswerTimeout = time.Until(deadline) / 2
		usual := time.Duration(acquired.endpoint.Live.FirstToken.Load()) * time.Microsecond
		attempt.ReusedTimeout = max(minReusedTimeout, reusedTimeoutFactor*usual)
	}
	answer, result := r.cfg.Dispatch.Call(ctx, attempt)
	stats.firstToken = result.FirstEvent
	reported := result
	if answer != nil && answer.Status >= 500 {
		reported.End = dispatch.ErrorStatus
	}
	r.reportEnd(call, acquired, stats, reported)
	if answer == nil {
		acquired.release()
		return nil, result
	}
	if answer.Rest == nil {
		acquired.release()
	} else {
		answer.Rest = &releasingBody{ReadCloser: answer.Rest, slot: acquired}
	}
	return &plainAnswer{Answer: answer, endpoint: acquired.endpoint.ID, version: acquired.endpoint.Version}, result
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
	// Writers without a connection, such as recorders in tests, have no deadline to set.
	_ = rc.SetWriteDeadline(time.Now().Add(r.cfg.Limits.WriteTimeout))
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if err == nil && a.Rest != nil {
		if _, err := io.Copy(&deadlineWriter{w: w, rc: rc, timeout: r.cfg.Limits.WriteTimeout}, a.Rest); err != nil {
			// Breaking the connection tells the caller that the answer is incomplete.
			panic(http.ErrAbortHandler)
		}
		_ = rc.SetWriteDeadline(time.Now().Add(r.cfg.Limits.WriteTimeout)) // for the end of the answer, which the server writes
	}
	r.cfg.Post(core.Served{Service: call.Service.Name, Workspace: call.Workspace})
}

// deadlineWriter sets a deadline for each write and flushes it.
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
