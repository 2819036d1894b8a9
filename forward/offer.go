package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/routing"
	"github.com/trefoillug/trefoillug/upstream"
)

// offers searches for an endpoint that takes over a stalled request, or continues its stream. A sound endpoint may fall
// silent and go on, so its attempt is kept until another endpoint has accepted the request with the head of an answer.
// Whichever goes on first is kept, and the other one is canceled.
//
// The search runs in a goroutine of its own while that of the request reads the stalled answer. The zero value is ready
// to use.
type offers struct {
	mu       sync.Mutex
	open     bool               // an attempt is in progress
	position string             // ID of the last event that the caller has
	cancel   context.CancelFunc // of the search in progress; nil: there is none
	last     chan struct{}      // closed when the search in progress makes no further offer
	done     chan struct{}      // closed at the end of the search in progress
	accepted *acceptedOffer     // not used yet
	ended    []endedOffer       // not recorded yet
}

var errWithdrawn = errors.New("the request goes on elsewhere")

// acceptedOffer is an exchange with an endpoint that has answered the request, or continues its stream.
type acceptedOffer struct {
	endpoint  *fleet.Endpoint
	admission fleet.Admission
	reply     *upstream.Reply
	sent      time.Time
	prefill   float64 // prompt tokens that the endpoint has to process
	cancel    context.CancelFunc
}

// endedOffer is an attempt at an endpoint that did not accept the request.
type endedOffer struct {
	endpoint *fleet.Endpoint
	sent     time.Time
	out      outcome
}

// begin allows searches while an attempt is in progress.
func (o *offers) begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open = true
}

// claim records that the caller gets events up to one with the given ID, "" for none with an ID, and withdraws the offer in
// progress. It returns false if an endpoint has accepted the stream, to which nothing may be added any more.
func (o *offers) claim(lastID string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.accepted != nil {
		return false
	}
	if lastID != "" {
		o.position = lastID
	}
	o.withdraw()
	return true
}

// claimWhole ends the searches of the attempt because its answer is about to be relayed. It returns false if another
// endpoint has accepted the request.
func (o *offers) claimWhole() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.accepted != nil {
		return false
	}
	o.open = false
	o.withdraw()
	return true
}

// withdrawInProgress withdraws the offer in progress.
func (o *offers) withdrawInProgress() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.withdraw()
}

// withdraw cancels the search in progress, unless an endpoint has accepted. o.mu must be held.
func (o *offers) withdraw() {
	if o.cancel != nil && o.accepted == nil {
		o.cancel()
	}
}

// end ends the searches with the attempt, and waits for the offer in progress. If keep is false, that offer is withdrawn,
// and so is one that was accepted. end returns the offers that were not accepted.
func (o *offers) end(keep bool) []endedOffer {
	o.mu.Lock()
	o.open = false
	searching := o.cancel != nil
	if searching && o.last != nil {
		close(o.last)
		o.last = nil
	}
	if !keep {
		o.withdraw()
	}
	done := o.done
	o.mu.Unlock()
	if searching {
		<-done
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !keep {
		o.release()
	}
	ended := o.ended
	o.ended = nil
	return ended
}

// release ends the exchange with the endpoint that has accepted, if any. o.mu must be held.
func (o *offers) release() {
	a := o.accepted
	if a == nil {
		return
	}
	o.accepted = nil
	a.end()
	o.ended = append(o.ended, endedOffer{a.endpoint, a.sent, outcome{end: ended, reached: true, err: errWithdrawn}})
}

// take returns the accepted offer, and nil if there is none. The caller must end it.
func (o *offers) take() *acceptedOffer {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.accepted
	o.accepted = nil
	return a
}

// cancelUnlessAccepted cancels an offer that has stalled, unless its endpoint has accepted.
func (o *offers) cancelUnlessAccepted(cancel context.CancelCauseFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.accepted == nil {
		cancel(progress.ErrStalled)
	}
}

func (o *offers) isAccepted() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.accepted != nil
}

// startSearch starts a search, unless one is in progress, has succeeded, or the attempt has ended. last is closed when no
// further offer is to be made.
func (o *offers) startSearch(ctx context.Context) (search context.Context, last <-chan struct{}, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.cancel != nil || o.accepted != nil {
		return nil, nil, false
	}
	search, o.cancel = context.WithCancel(ctx)
	o.last, o.done = make(chan struct{}), make(chan struct{})
	return search, o.last, true
}

// endSearch ends the search in progress. The exchange with an endpoint that has accepted goes on.
func (o *offers) endSearch() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.accepted == nil {
		o.cancel()
	}
	o.cancel, o.last = nil, nil
	close(o.done)
}

// accept records that an endpoint has accepted the request, unless the offer was withdrawn before.
func (o *offers) accept(ctx context.Context, a *acceptedOffer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	a.cancel = o.cancel
	o.accepted = a
	return true
}

func (o *offers) recordEnded(e endedOffer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = append(o.ended, e)
}

// count returns the number of the offers not recorded yet that may have run, and of those that were rejected.
func (o *offers) count() (runs, rejections int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.ended {
		switch out := &o.ended[i].out; {
		case out.mayHaveRun():
			runs++
		case out.end == rejected:
			rejections++
		}
	}
	return runs, rejections
}

func (o *offers) lastID() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.position
}

// end ends the exchange and the load that it was counted with.
func (a *acceptedOffer) end() {
	a.reply.Finish()
	a.cancel()
	a.endpoint.Stats.RecordPrefilled(a.prefill)
	a.endpoint.Stats.End()
	a.endpoint.EndRun(a.admission, false, time.Now())
}

// offerElsewhere offers a stalled request to other endpoints, with a pause of one target gap after each that does not
// accept it. It returns when the answer goes on, no other attempt is allowed, or an endpoint has accepted; it then calls
// release, which ends the stalled attempt.
func (r *exchange) offerElsewhere(ctx context.Context, stalled *fleet.Endpoint, release func()) {
	ctx, last, ok := r.offers.startSearch(ctx)
	if !ok {
		return
	}
	defer r.offers.endSearch()
	for ctx.Err() == nil {
		e, admission, ok := r.acquireOther(stalled)
		if !ok {
			return
		}
		if r.offer(ctx, e, admission, last) {
			release()
			return
		}
		select {
		case <-last:
			return
		case <-ctx.Done():
		case <-time.After(r.targetGap()):
		}
	}
}

// acquireOther acquires another endpoint and an attempt from the retry budget while the current attempt is in progress.
func (r *exchange) acquireOther(current *fleet.Endpoint) (e *fleet.Endpoint, admission fleet.Admission, ok bool) {
	runs, rejections := r.offers.count()
	if !r.stream.canContinue() || !r.route.MayRepeat() || r.runs+runs+r.proxy.runs >= r.maxRuns() || r.checkQuarantine() != nil {
		return nil, fleet.Admission{}, false
	}
	if r.offers.lastID() == "" && (r.rejections+rejections >= maxRejections || !r.hasOther(time.Now())) {
		return nil, fleet.Admission{}, false // the caller has nothing yet that would be lost
	}
	if e, admission = r.acquireProxy(time.Now(), current); e == nil {
		e, admission, _ = r.best(time.Now(), current)
	}
	if e == nil {
		return nil, fleet.Admission{}, false
	}
	if !r.f.cfg.RetryBudget.AcquireRetry(r.service.Name) {
		e.CancelAdmission(admission)
		return nil, fleet.Admission{}, false
	}
	return e, admission, true
}

// offer sends the request to an endpoint that is to answer it or continue its stream, and reports whether it does. last is
// closed when the stalled attempt has ended.
func (r *exchange) offer(ctx context.Context, e *fleet.Endpoint, admission fleet.Admission, last <-chan struct{}) bool {
	a := &acceptedOffer{endpoint: e, admission: admission, sent: time.Now(), prefill: r.beginPrefill(e)}
	lastID := r.offers.lastID()
	call := r.newCall(ctx, e, lastID, "", r.proxied(e, 1, true))
	if r.tried[e] {
		call.UnusedSince = r.req.Arrived
	}
	r.tried[e] = true
	ctx, cancel := context.WithCancelCause(ctx)
	stopTimer := r.startOfferTimer(cancel, last)
	reply, err := e.Pool.Do(ctx, call)
	stopTimer()
	e.EndAdmission(admission, err == nil && !r.f.cfg.Wire.IsNotRun(reply.Status, reply.Header))
	if err == nil && r.isUsable(reply) {
		a.reply = reply
		if r.offers.accept(ctx, a) {
			return true
		}
		err = &upstream.Error{Sent: true, Err: context.Cause(ctx)}
		reply.Finish()
	}
	defer cancel(nil)
	e.Stats.RecordPrefilled(a.prefill)
	e.Stats.End()
	out := r.offerOutcome(ctx, e, reply, cmp.Or(lastID, r.req.LastEventID), err)
	e.EndRun(admission, mayStillRun(&out), time.Now())
	r.offers.recordEnded(endedOffer{e, a.sent, out})
	return false
}

// startOfferTimer starts the watch over an offer without an answer. The offer ends if the request may go to a further
// endpoint and the caller has nothing, or the stalled attempt has ended. stop must be called once the head of the answer
// has arrived. last is that of offer.
func (r *exchange) startOfferTimer(cancel context.CancelCauseFunc, last <-chan struct{}) (stop func()) {
	timeout := r.answerTimeout()
	runs, _ := r.offers.count()
	if timeout <= 0 || r.runs+runs+r.proxy.runs+1 >= r.maxRuns() || !r.hasOther(time.Now()) {
		return func() {}
	}
	giveUp := func() { r.offers.cancelUnlessAccepted(cancel) }
	if r.offers.lastID() == "" {
		return progress.Start(timeout, giveUp).Stop
	}
	stopped := make(chan struct{})
	go func() {
		select {
		case <-last:
		case <-stopped:
			return
		}
		defer progress.Start(timeout, giveUp).Stop()
		<-stopped
	}()
	return func() { close(stopped) }
}

// offerOutcome returns the outcome of an offer that was not accepted. position is that of noContinuation.
func (r *exchange) offerOutcome(ctx context.Context, e *fleet.Endpoint, reply *upstream.Reply, position string, err error) outcome {
	if err != nil {
		return failedOutcome(ctx, err)
	}
	defer reply.Finish()
	r.recordReply(e, reply)
	if r.f.cfg.Wire.IsNotRun(reply.Status, reply.Header) {
		if e.IsInstance() {
			return r.refusedBy(e, reply)
		}
		return notRun(reply)
	}
	if r.route.Kind != routing.Streaming {
		skipBody(reply)
		return outcome{
			end: answered, reached: true, answer: &answer{status: reply.Status, header: reply.Header},
			err: fmt.Errorf("the endpoint answered %d while another one had the request", reply.Status),
		}
	}
	return noContinuation(reply, position)
}

// recordOffer records the outcome of an offer that was not accepted like that of an attempt.
func (r *exchange) recordOffer(o endedOffer) {
	sent, opens, timeToFirst, runs := r.sentAt, r.opens, r.timeToFirst, r.proxy.runs
	defer func() { r.sentAt, r.opens, r.timeToFirst, r.proxy.runs = sent, opens, timeToFirst, runs }()
	r.sentAt, r.opens, r.timeToFirst, r.proxy.runs = o.sent, false, 0, 1
	r.mayHaveRun = r.mayHaveRun || o.out.mayHaveRun()
	r.recordAttempt(o.endpoint, &o.out)
}
