package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/admission"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/placement"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/routing"
	"github.com/trefoillug/trefoillug/upstream"
)

const (
	// admissionPollInterval is the time between checks of waiting requests.
	admissionPollInterval = 25 * time.Millisecond
	// roomInterval is the time for which the room at the endpoints of a brittle service is not reckoned again: it takes time
	// for each of them.
	roomInterval = 5 * time.Millisecond
	// admissionLogInterval is the least time between two log lines at level info of requests of a service that are delayed
	// or rejected; further ones have level debug.
	admissionLogInterval = time.Second
)

// admissions holds the admission under shortage by service. It is safe for concurrent use.
type admissions struct{ byService sync.Map } // of *serviceAdmission

// serviceAdmission is the admission of one service. It is safe for concurrent use.
type serviceAdmission struct {
	mu       sync.Mutex
	service  *admission.Service
	loggedAt time.Time
	polledAt time.Time
	bounded  bool // service has a bound
	boundAt  time.Time
}

func (a *admissions) of(service string) *serviceAdmission {
	if s, ok := a.byService.Load(service); ok {
		return s.(*serviceAdmission)
	}
	s, _ := a.byService.LoadOrStore(service, &serviceAdmission{service: admission.NewService(rand.Float64)})
	return s.(*serviceAdmission)
}

// update calls fn with the admission of the service.
func (a *serviceAdmission) update(fn func(s *admission.Service, now time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	fn(a.service, time.Now())
}

// poll checks the waiting requests if the latest check was at least admissionPollInterval ago. Each of them calls poll, and a
// check takes time for each of them.
func (a *serviceAdmission) poll(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.polledAt) < admissionPollInterval {
		return
	}
	a.polledAt = now
	a.service.Poll(now)
}

func (a *serviceAdmission) isShort() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.service.IsShort()
}

// place is the place of a request in the window of its service.
type place struct {
	of     *serviceAdmission
	ticket *admission.Ticket
}

// release ends the request in the window. ran is false if no endpoint ran it.
func (p *place) release(ran bool) {
	if p == nil {
		return
	}
	p.of.update(func(s *admission.Service, now time.Time) { s.Release(p.ticket, ran, now) })
}

// recordBegun records that the answer or its first event has come.
func (p *place) recordBegun() {
	if p == nil {
		return
	}
	p.of.update(func(s *admission.Service, now time.Time) { s.Begun(p.ticket, now) })
}

// admit waits for a place in the window of the service while it is short of capacity, or returns a refusal. Requests of
// which the caller has a part are not held back.
func (r *exchange) admit(ctx context.Context) *Refusal {
	if r.stream.started || r.req.LastEventID != "" {
		return nil
	}
	a := r.f.admissions.of(r.service.Name)
	bounded := r.f.boundByRoom(a, r.service.Name)
	req := r.admissionRequest(a.isShort())
	p := &place{of: a}
	a.update(func(s *admission.Service, now time.Time) { p.ticket = s.Offer(req, now) })
	if bounded && p.ticket.State() != admission.Running {
		r.f.cfg.Metrics.countHeldBack()
	}
	if p.ticket.Ready != nil {
		r.recordDelayed(p)
		if refusal := r.await(ctx, p); refusal != nil {
			return refusal
		}
	}
	if p.ticket.State() == admission.Rejected {
		return r.recordRejected(p)
	}
	r.place = p
	return nil
}

// boundByRoom bounds the requests of a brittle service by the room that this instance has at its endpoints, and reports
// whether the service is brittle.
func (f *Forwarder) boundByRoom(a *serviceAdmission, service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.bounded && now.Sub(a.boundAt) < roomInterval {
		return true
	}
	a.boundAt = now
	room, brittle := f.cfg.Fleet.Room(service, a.service.Window().Hold(), now)
	if brittle || a.bounded {
		a.service.SetBound(room, now)
	}
	a.bounded = brittle
	return brittle
}

// await waits until a request runs or is rejected. If the caller leaves, the result is a refusal.
func (r *exchange) await(ctx context.Context, p *place) *Refusal {
	ticker := time.NewTicker(admissionPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ticket.Ready:
			return nil
		case <-ticker.C:
			r.f.boundByRoom(p.of, r.service.Name)
			p.of.poll(time.Now())
		case <-ctx.Done():
			p.release(false)
			return &Refusal{Err: problem.New(problem.Overloaded, "no endpoint of service %s had room in time", r.service.Name), RetryAfter: jitter(refusedRetryAfter)}
		}
	}
}

// admissionRequest describes the request for the decision. The expected times and the key cost processor time and are
// left out unless the service is short of capacity.
func (r *exchange) admissionRequest(isShort bool) admission.Request {
	speed := r.speed().Speed()
	req := admission.Request{
		Rank: r.rank(), Arrived: r.req.Arrived, Deadline: r.deadline(), Objective: r.route.TargetLatency,
		Work: speed.Answer.Seconds(), Service: speed.Answer,
	}
	if r.workspace != nil {
		req.Workspace = r.workspace.Name
	}
	rest := time.Duration(0)
	if p := r.req.Prompt; p != nil && r.service.Engine != nil {
		prefill := speed.PrefillTime(float64(p.Input))
		rest = min(speed.Generation, time.Duration(p.Output)*speed.Step)
		req.Work = (prefill + time.Duration(p.Output)*speed.TokenTime(r.service.Engine.Slots)).Seconds()
		req.Service = prefill + rest
	}
	if isShort {
		req.First = r.expectedFirst(time.Now())
		req.Finish = req.First + rest
		req.Key = r.returnKey()
	}
	return req
}

// routePriorities is the number of priorities of routes that rank tells apart.
const routePriorities = 10

// rank returns the rank of the request under shortage: by its priority, and within it by that of its route. The priority of a
// workspace takes the place of the route's, so that all requests of a workspace would be equal otherwise.
func (r *exchange) rank() int {
	return r.priority()*routePriorities + min(max(0, r.route.Priority), routePriorities-1)
}

// expectedFirst returns the expected time to the answer or its first event at the best endpoint that accepts requests, and
// 0 without one. Failures and the traffic between zones, which placement.Cost counts as time, are left out.
func (r *exchange) expectedFirst(now time.Time) time.Duration {
	all := r.endpoints(now)
	open := make([]*fleet.Endpoint, 0, len(all))
	for _, e := range all {
		if !e.AcceptsAt(now).After(now) {
			open = append(open, e)
		}
	}
	p := r.prompt()
	best := r.f.bestOf(p, open, all)
	if best == nil {
		return 0
	}
	describe, _ := r.f.describer(r.service.Name)
	c := describe(best, p, -1, now)
	c.SameZone, c.Failures, c.Avoided = true, 0, false
	first := time.Duration(placement.Cost(p, &c) * float64(time.Millisecond))
	if p.Input == 0 {
		first += p.Speed.Answer
	}
	return first + p.Speed.Base
}

// returnKey identifies what the caller sends, which is the same when it returns after a refusal.
func (r *exchange) returnKey() uint64 {
	var d xxhash.Digest
	d.Reset()
	// Digest writes never fail.
	for _, part := range []string{routing.CanonicalHost(r.req.Host), r.req.Method, r.req.URI, r.req.Key} {
		_, _ = d.WriteString(part + "\x00")
	}
	_, _ = d.Write(r.req.Body)
	return max(1, d.Sum64())
}

// leavePlace ends the request in the window of its service. out is nil if it was not sent.
func (r *exchange) leavePlace(out *outcome) {
	r.place.release(out != nil && out.end != rejected && out.end != unreachable)
	r.place = nil
}

// recordRoom records what an answer shows of the room at an endpoint.
func (r *exchange) recordRoom(e *fleet.Endpoint, reply *upstream.Reply, load fleet.Load, hasLoad, notRun bool) {
	a := r.f.admissions.of(r.service.Name)
	changed, fields := false, logrus.Fields{"service": r.service.Name}
	a.update(func(s *admission.Service, now time.Time) {
		wasShort := s.IsShort()
		switch {
		case !notRun:
			s.Answered(e.ID, admission.Load{Running: load.Running, Waiting: load.Waiting, Slots: load.Slots}, hasLoad, now)
		case e.IsLeaving(): // it has no room for another reason than load
		case reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests:
			s.RejectedBy(e.ID, now)
		}
		if changed = s.IsShort() != wasShort; changed {
			fields["short"] = s.IsShort()
			addFigures(fields, s)
		}
	})
	if changed {
		r.log.WithFields(fields).Info("shortage of capacity changed")
	}
}

// checkRoom refuses another attempt at once if it would be rejected, so that it costs no retry budget.
func (r *exchange) checkRoom() error {
	if r.stream.started {
		return nil
	}
	a := r.f.admissions.of(r.service.Name)
	if !a.isShort() {
		return nil
	}
	req := r.admissionRequest(true)
	var after time.Duration
	var rejected bool
	a.update(func(s *admission.Service, now time.Time) { after, rejected = s.WouldReject(req, now) })
	if !rejected {
		return nil
	}
	r.f.cfg.Metrics.countRejected(admission.RuleDeadline)
	return &Refusal{Err: r.shortage(), RetryAfter: after}
}

// returnAfter returns the Retry-After of a request for which no endpoint had room.
func (r *exchange) returnAfter() (after time.Duration) {
	after = jitter(refusedRetryAfter)
	a := r.f.admissions.of(r.service.Name)
	if !a.isShort() {
		return after
	}
	req := r.admissionRequest(true)
	a.update(func(s *admission.Service, now time.Time) { after = s.RetryAfter(req, now) })
	return after
}

func (r *exchange) shortage() error {
	return problem.New(problem.Overloaded, "service %s has too little capacity to serve the request in time", r.service.Name)
}

// recordDelayed counts and logs a request that waits.
func (r *exchange) recordDelayed(p *place) {
	r.f.cfg.Metrics.countDelayed(admission.RuleWindow)
	r.logAdmission(p, "request delayed")
}

// recordRejected counts and logs a rejected request and returns its refusal.
func (r *exchange) recordRejected(p *place) *Refusal {
	r.f.cfg.Metrics.countRejected(p.ticket.Rule)
	r.logAdmission(p, "request rejected")
	return &Refusal{Err: r.shortage(), RetryAfter: p.ticket.RetryAfter}
}

// logAdmission logs the figures that decided about a request.
func (r *exchange) logAdmission(p *place, message string) {
	level := logrus.DebugLevel
	fields := logrus.Fields{"service": r.service.Name, "route": r.route.Name}
	p.of.update(func(s *admission.Service, now time.Time) {
		if now.Sub(p.of.loggedAt) >= admissionLogInterval {
			p.of.loggedAt, level = now, logrus.InfoLevel
		}
		t := p.ticket
		fields["rank"], fields["rule"], fields["expected_wait_ms"] = t.Request.Rank, t.Rule, t.Expected.Milliseconds()
		fields["first_ms"], fields["finish_ms"] = t.Request.First.Milliseconds(), t.Request.Finish.Milliseconds()
		fields["left_ms"], fields["retry_after_ms"] = t.Request.Deadline.Sub(now).Milliseconds(), t.RetryAfter.Milliseconds()
		addFigures(fields, s)
	})
	r.log.WithFields(fields).Log(level, message)
}

// addFigures adds the figures of a service that explain its decisions.
func addFigures(fields logrus.Fields, s *admission.Service) {
	w := s.Window()
	fields["usage"], fields["target"], fields["window"] = w.Usage(), w.Target(), w.Limit()
	fields["running"], fields["waiting"], fields["hold_ms"] = w.Running(), s.Waiting(), w.Hold().Milliseconds()
}
