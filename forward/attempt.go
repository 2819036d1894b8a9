package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/continuation"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/routing"
	"github.com/trefoillug/trefoillug/upstream"
)

// attemptEnd says how an attempt ended.
type attemptEnd int

const (
	answered    attemptEnd = iota // a complete answer arrived
	unreachable                   // nothing was sent
	rejected                      // the endpoint states that it did not run the request
	lost                          // the connection broke or stalled after a byte was sent
	ended                         // the caller left or the deadline passed
)

func (e attemptEnd) String() string {
	return [...]string{"answered", "unreachable", "rejected", "lost", "ended"}[e]
}

// outcome is the result of an attempt.
type outcome struct {
	end       attemptEnd
	reached   bool     // a byte may have reached the endpoint
	delivered bool     // the answer was relayed to the caller
	partial   bool     // the caller has a part of an answer that can't be continued
	status    int      // of the answer; 0: there is none
	answer    *answer  // complete answer that reports a failure; not relayed yet
	refusal   *Refusal // of another instance, for the caller
	err       error
}

// mayHaveRun reports whether the endpoint may have run the request.
func (o *outcome) mayHaveRun() bool { return o.reached && o.end != rejected }

// mayStillRun reports whether the endpoint may be at work on the request after the end of the attempt.
func mayStillRun(out *outcome) bool { return out.reached && (out.end == lost || out.end == ended) }

// isFailedAnswer reports whether the endpoint answered with a failure, or with a success that is no event stream where one
// was to be continued.
func (o *outcome) isFailedAnswer() bool {
	var refused *continuation.Error
	return o.end == answered && (o.status >= http.StatusInternalServerError || errors.As(o.err, &refused) && o.status < http.StatusMultipleChoices)
}

// isUnsuccessful reports whether the endpoint gave a complete answer that is neither a success nor a failure, such as 404.
// That may be the right answer to the request.
func (o *outcome) isUnsuccessful() bool {
	return o.end == answered && o.status >= http.StatusMultipleChoices && o.status < http.StatusInternalServerError
}

// answer is a complete answer held in memory.
type answer struct {
	status int
	header http.Header
	body   []byte
}

const (
	// repeatShare is the share of the objective that an idempotent request waits for an answer before it is sent to
	// another endpoint, so that this one may still answer in time.
	repeatShare = 0.75
	// slowFactor times the time that few answers exceed is the least wait: a service that is slow as a whole must not
	// get each request twice.
	slowFactor = 1.5
	// defaultRepeatWait is the least wait on a route without an objective.
	defaultRepeatWait = time.Second
)

// unreachablePause is the pause before an endpoint that was not reached is tried again by the same request, because
// there is no other one.
const unreachablePause = 50 * time.Millisecond

// A stream that the caller has a part of is offered again after each rejection: the first time after minRejectedPause,
// then after twice as long each time, up to maxRejectedPause.
const (
	minRejectedPause = 50 * time.Millisecond
	maxRejectedPause = 800 * time.Millisecond
)

func rejectedPause(rejections int) time.Duration {
	return min(maxRejectedPause, minRejectedPause<<min(rejections-1, 10))
}

// pause waits for d, or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *exchange) attempt(ctx context.Context, e *fleet.Endpoint) (out outcome) {
	accepted := r.accepted
	r.accepted = nil
	again := r.tried[e]
	r.tried[e] = true
	if again && r.lastEnd == unreachable {
		pause(ctx, unreachablePause)
	}
	r.proxy.isCurrent, r.proxy.runs = e.IsInstance(), 1
	if accepted == nil {
		r.proxy.runs = r.grantedRuns(e)
	}
	if r.proxy.isCurrent {
		return r.attemptThrough(ctx, e, accepted, again)
	}
	sent, prefill := time.Now(), 0.0
	if accepted != nil {
		defer accepted.cancel()
		sent, prefill, r.measured = accepted.sent, accepted.prefill, 0
	} else {
		prefill = r.beginAttempt(e)
	}
	admission := r.admission
	defer func() {
		e.Stats.End()
		e.EndRun(admission, mayStillRun(&out), time.Now())
	}()
	r.sentAt, r.opens = sent, false
	r.timeToFirst, r.load = 0, e.Stats.Snapshot(sent).Running-1
	onData := func() {
		if r.timeToFirst != 0 {
			return
		}
		r.timeToFirst = time.Since(sent)
		e.Stats.RecordPrefilled(prefill)
		r.place.recordBegun()
		r.recordFirstEvent(e)
		prefill = 0
	}
	defer func() { e.Stats.RecordPrefilled(prefill) }()

	request := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	relocation := r.relocate(ctx, e)
	defer context.AfterFunc(request, relocation.abort)() // nobody waits for the run any more
	move := r.pendingMove
	defer func() {
		moved := relocation.end(request, r, &out)
		if out.delivered {
			return
		}
		r.pendingMove = moved
		if out.end == rejected || out.end == unreachable {
			if r.pendingMove = move.afterRejection(out.end == unreachable); r.pendingMove == nil && move != nil {
				r.giveUpMove()
			}
		}
	}()
	onStall := func() {
		if !relocation.isCalling() {
			r.offerElsewhere(request, e, func() { cancel(progress.ErrStalled) })
		}
	}
	reply, err := r.answerOf(ctx, e, accepted, again, onStall)
	if err != nil {
		return r.classifyError(ctx, err)
	}
	defer reply.Finish()
	r.recordReply(e, reply)
	defer func() { out.status = reply.Status }()
	if r.f.cfg.Wire.IsNotRun(reply.Status, reply.Header) {
		return notRun(reply)
	}
	relocation.begin()
	r.mayHaveRun = true
	if reply.IsUnframed() {
		reply.Body = &endReader{reply.Body, relocation, r.f.cfg.Metrics}
	}
	if isStream(reply) && r.route.Kind == routing.Streaming {
		r.paceSample = paceSample{endpoint: e}
		defer r.endPaceSample()
		return r.relayStream(ctx, reply, newJoint(&r.stream, move != nil), onData, onStall)
	}
	if r.stream.started {
		return noContinuation(reply, r.stream.position.String())
	}
	r.timeToFirst = time.Since(sent)
	r.place.recordBegun()
	r.speed().RecordAnswer(r.timeToFirst)
	if reply.Status < http.StatusInternalServerError {
		r.recordAnswerPace(e)
	}
	r.recordWork(r.standardWork(e, r.timeToFirst) / time.Duration(max(1, e.Slots)))
	return r.relayWhole(ctx, reply, onStall)
}

// answerOf sends the request and returns the answer once its head has arrived. accepted, unless nil, has the answer already.
// again means that the request was sent to the endpoint before. onStall is called while no answer arrives in time.
func (r *exchange) answerOf(
	ctx context.Context, e *fleet.Endpoint, accepted *acceptedOffer, again bool, onStall func()) (*upstream.Reply, error) {
	if accepted != nil {
		return accepted.reply, nil
	}
	stopTimer := r.startAnswerTimer(onStall)
	call := r.call(ctx, e, onStall)
	if again {
		call.UnusedSince = r.req.Arrived
	}
	reply, err := e.Pool.Do(ctx, call)
	stopTimer()
	if err == nil && r.isUsable(reply) {
		r.offers.withdrawInProgress()
	}
	e.EndAdmission(r.admission, err == nil && !r.f.cfg.Wire.IsNotRun(reply.Status, reply.Header))
	return reply, err
}

// recordReply records what an endpoint says of itself with an answer.
func (r *exchange) recordReply(e *fleet.Endpoint, reply *upstream.Reply) {
	if e.IsInstance() {
		return // the answer is that of an endpoint, of which the instance has recorded it
	}
	e.RecordSignals(r.f.cfg.Wire.Signals(reply.Status, reply.Header), time.Now())
	load, ok := r.f.cfg.Wire.Load(reply.Header)
	if ok {
		r.f.recordLoad(e, load, time.Now())
	}
	r.recordRoom(e, reply, load, ok, r.f.cfg.Wire.IsNotRun(reply.Status, reply.Header))
}

// notRun returns the outcome of an attempt that an endpoint has rejected.
func notRun(reply *upstream.Reply) outcome {
	skipBody(reply)
	return outcome{end: rejected, reached: true, err: errors.New("the endpoint had no room: " + http.StatusText(reply.Status))}
}

// noContinuation returns the outcome of an attempt to continue a stream that the endpoint answered with something else,
// such as a failure. The caller has the head of the first answer, so nothing of this one may follow it. position is the ID
// of the event after which the endpoint was asked to go on.
func noContinuation(reply *upstream.Reply, position string) outcome {
	skipBody(reply)
	return outcome{
		end: answered, reached: true, answer: &answer{status: reply.Status, header: reply.Header},
		err: &continuation.Error{Cause: continuation.NotStream, Position: position, Offered: strconv.Itoa(reply.Status)},
	}
}

const (
	// maxSkippedBytes bounds the body of a refusal that is read so that the connection can be reused.
	maxSkippedBytes = 4 << 10
	// skipTimeout bounds the wait for it. Opening another connection takes less time than a longer wait.
	skipTimeout = 20 * time.Millisecond
)

// skipBody reads the rest of an answer that is not relayed. If it fails, the connection is not reused.
func skipBody(reply *upstream.Reply) {
	defer time.AfterFunc(skipTimeout, reply.Abort).Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, maxSkippedBytes))
}

// isUsable reports whether an answer, whose head has arrived, is the one that the caller is to get.
func (r *exchange) isUsable(reply *upstream.Reply) bool {
	switch {
	case r.f.cfg.Wire.IsNotRun(reply.Status, reply.Header):
		return false
	case r.route.Kind == routing.Streaming:
		return isStream(reply)
	}
	return reply.Status < http.StatusInternalServerError
}

// startAnswerTimer starts the watch over an attempt without an answer. stop must be called once the head of the answer has
// arrived; another watch takes over.
func (r *exchange) startAnswerTimer(onStall func()) (stop func()) {
	timeout := r.answerTimeout()
	if timeout <= 0 {
		return func() {}
	}
	return progress.Start(timeout, onStall).Stop
}

// beginAttempt counts the request at the endpoint and returns the prompt tokens that the endpoint has to process.
func (r *exchange) beginAttempt(e *fleet.Endpoint) float64 {
	r.measured = 0
	if r.pendingMove != nil {
		e.Stats.Begin(0)
		return 0
	}
	if p := r.prompt(); p.Input > 0 {
		r.measured = r.measurableTokens(e, p, time.Now())
	}
	return r.beginPrefill(e)
}

// beginPrefill is beginAttempt for an endpoint that gets the prompt, without a measurement of its speed.
func (r *exchange) beginPrefill(e *fleet.Endpoint) float64 {
	prefill := 0.0
	if p := r.prompt(); p.Input > 0 && !e.IsInstance() {
		now := time.Now()
		prefill = max(0, float64(p.Input)-r.f.expectedCached(e, p, now))
		r.f.caches.recordSent(e, p, now)
	}
	e.Stats.Begin(prefill)
	if prefill > 0 {
		e.Stats.AwaitFirst(time.Now())
	}
	return prefill
}

// answerTimeout returns the time without an answer after which a request goes to another endpoint; 0: never.
func (r *exchange) answerTimeout() time.Duration {
	if !r.route.MayRepeat() || r.runs+r.proxy.runs >= r.maxRuns() || r.req.Prompt != nil {
		return 0
	}
	wait := time.Duration(repeatShare * float64(r.route.TargetLatency))
	if wait == 0 {
		wait = defaultRepeatWait
	}
	return max(wait, time.Duration(slowFactor*float64(r.speed().Speed().SlowAnswer)))
}

// call returns the call of the current attempt. onStall is called while the rest of the head does not arrive in time.
func (r *exchange) call(ctx context.Context, e *fleet.Endpoint, onStall func()) *upstream.Call {
	movedFrom := ""
	if r.pendingMove != nil {
		movedFrom = r.pendingMove.ref
		r.pendingMove = nil
	}
	call := r.newCall(ctx, e, r.stream.lastID, movedFrom, r.proxied(e, r.proxy.runs, false))
	call.MayTimeOut = func() bool { go onStall(); return false }
	r.opens = call.OpensConn
	return call
}

// newCall returns the call of an attempt that goes on after the event with the ID lastID, "" if the caller has none yet.
// movedFrom and proxied are those of Attempt.
func (r *exchange) newCall(ctx context.Context, e *fleet.Endpoint, lastID, movedFrom string, proxied *Proxied) *upstream.Call {
	deadline, _ := ctx.Deadline()
	headTimeout := time.Duration(0) // without a second attempt, a slow answer is better than none
	if r.route.MayRepeat() {
		headTimeout = r.stallTimeout()
	}
	a := &Attempt{
		Request: r.req, Endpoint: e, Priority: r.priority(), TimeLeft: time.Until(deadline), LastEventID: r.req.LastEventID,
		MovedFrom: movedFrom, Proxied: proxied,
	}
	if r.workspace != nil {
		a.Workspace = r.workspace.Name
	}
	if lastID != "" {
		a.LastEventID = lastID
	}
	call := &upstream.Call{
		Method: r.req.Method, URI: r.req.URI, Host: r.req.Host, Header: r.f.cfg.Wire.Outbound(a), Body: r.req.Body,
		NonIdempotent: !r.route.MayRepeat(), HeadTimeout: headTimeout, MaySend: func() error { return r.maySend(e, movedFrom != "") },
		OpensConn: !e.IsInstance() && r.mustOpen(),
	}
	if r.req.ID != "" {
		call.MatchesAnswer = func(h http.Header, reused bool) bool { return r.f.cfg.Wire.IsAnswerTo(h, r.req.ID, reused) }
	}
	return call
}

// classifyError returns the outcome of an attempt that failed with err.
func (r *exchange) classifyError(ctx context.Context, err error) outcome {
	out := failedOutcome(ctx, err)
	if out.reached {
		r.mayHaveRun = true
	}
	return out
}

// failedOutcome returns the outcome of an exchange with an endpoint that failed with err.
func failedOutcome(ctx context.Context, err error) outcome {
	out := outcome{end: lost, reached: true, err: err}
	var failed *upstream.Error
	if errors.As(err, &failed) && !failed.Sent {
		out.end, out.reached = unreachable, false
	}
	switch {
	case ctx.Err() == nil:
	case errors.Is(context.Cause(ctx), progress.ErrStalled):
		out.err = errors.Join(progress.ErrStalled, err)
	default:
		out.end = ended
	}
	return out
}

// recordAttempt records the outcome of an attempt for the choice of endpoints, the limits, the metrics and the log.
func (r *exchange) recordAttempt(e *fleet.Endpoint, out *outcome) {
	if e.IsInstance() {
		r.recordProxied(e, out)
		return
	}
	now := time.Now()
	if out.reached {
		r.arrivals++
	}
	if out.end == rejected {
		r.rejections++
	}
	if out.mayHaveRun() {
		r.countStart()
		if r.pendingMove == nil {
			r.runs++ // a moved run continues as the same run
		}
	}
	switch {
	case out.end == unreachable && !errors.Is(out.err, upstream.ErrConnectionLimit) && !errors.Is(out.err, errWithheld):
		e.Stats.RecordUnreachable(now)
		r.proxy.unreached++
	case out.end == lost && r.pendingMove == nil:
		e.Stats.RecordAnswer(true, now)
		if errors.Is(out.err, progress.ErrStalled) {
			e.Pool.DropIdle() // the idle connections may have stalled too
		}
	case out.end == answered:
		e.Stats.RecordAnswer(out.isFailedAnswer(), now)
	case out.end == rejected:
		e.Stats.RecordLoad(fleet.Load{Running: e.Slots, Waiting: e.Slots, Slots: e.Slots}, now)
	}
	r.reportToVersions(e, out)
	r.reportToSuspects(e, out)
	r.f.cfg.Metrics.countAttempt(out.end)
	if (r.pendingMove == nil || r.pendingMove.rejections > 0) && (out.end != answered || out.answer != nil) {
		r.log.WithError(out.err).WithFields(logrus.Fields{
			"route": r.route.Name, "endpoint": e.ID, "end": out.end.String(), "arrivals": r.arrivals, "ms": time.Since(r.req.Arrived).Milliseconds(),
		}).WithFields(r.recordContinuation(out.err)).Info("attempt delivered no answer")
	}
}

// reportToVersions reports the end of an attempt as evidence for its version.
func (r *exchange) reportToVersions(e *fleet.Endpoint, out *outcome) {
	if r.f.cfg.Versions == nil {
		return
	}
	failed := out.end == lost || out.isFailedAnswer()
	r.targetFailed = r.targetFailed || failed
	r.f.cfg.Versions.Observe(Observation{
		Service: r.service.Name, Version: e.Version, Route: r.route.Name, Failed: failed, Unsuccessful: out.isUnsuccessful(),
		TimeToFirst: r.timeToFirst, Load: r.load,
		Excluded: out.end == unreachable || out.end == rejected || out.end == ended || r.pendingMove != nil || e.IsLeaving(),
	})
}

// countStart counts the request once for the usage report.
func (r *exchange) countStart() {
	if r.startCounted || r.workspace == nil || r.proxy.isCurrent {
		return
	}
	r.startCounted = true
	r.f.cfg.OnStarted(r.workspace.Name, time.Now())
}
