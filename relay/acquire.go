package relay

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

const (
	// pollInterval is the time between looks for an endpoint. Snapshots follow each other at 100 ms or less.
	pollInterval = 10 * time.Millisecond
	// widenAfter is how long a call waits for the endpoints it prefers before it takes one that it tried already, or
	// one of another version. Two snapshots have passed by then.
	widenAfter = 200 * time.Millisecond
	// suspectRetry is the least time between two tries of a call at suspect endpoints.
	suspectRetry = 500 * time.Millisecond
)

// search is a call's search for an endpoint over all its attempts.
type search struct {
	call        *Call
	tried       map[string]bool // endpoints that failed this call
	failed      map[string]bool // versions of which an endpoint answered this call with an error of its own
	prefer      string          // endpoint that holds the KV cache of the request
	reserved    string          // endpoint kept free for a call that must run alone
	suspectNext time.Time       // when suspect endpoints may be tried again
}

// slot is an endpoint taken for one attempt.
type slot struct {
	endpoint *table.Endpoint
	attempt  string
	inFlight int
	running  *running
}

// release gives the endpoint back. It does nothing on a nil slot.
func (s *slot) release() {
	if s != nil {
		s.running.leave(s.endpoint, s.attempt)
	}
}

// acquire waits until an endpoint takes the call, at most until the call's deadline.
func (r *Relay) acquire(ctx context.Context, s *search) (*slot, error) {
	if got, err := r.tryAcquire(s, 0); got != nil || err != nil {
		return got, err
	}
	select {
	case r.waiting <- struct{}{}:
		defer func() { <-r.waiting }()
	default:
		return nil, problem.New(problem.Overloaded, "%d calls wait for an endpoint", cap(r.waiting))
	}
	began := time.Now()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, problem.New(problem.NoEndpoint, "no endpoint of service %s was ready in time", s.call.Service.Name)
		case <-poll.C:
		}
		if got, err := r.tryAcquire(s, time.Since(began)); got != nil || err != nil {
			return got, err
		}
	}
}

// tryAcquire looks once through the current snapshot, after the call has waited for some time. A request can become
// quarantined while it waits.
func (r *Relay) tryAcquire(s *search, waited time.Duration) (*slot, error) {
	svc, ok := r.cfg.Snapshots().Service(s.call.Service.Name)
	if !ok {
		return nil, nil
	}
	q, fp := r.cfg.Quarantine, s.call.Fingerprint
	switch {
	case q.IsQuarantined(fp):
		return nil, problem.New(problem.Quarantined, "the request crashed its endpoints")
	case q.MustHold(fp):
		return nil, nil
	case q.MustIsolate(fp, waited):
		return r.isolated(s, svc), nil
	}
	r.stopSearch(s)
	e := r.choose(s, svc, waited >= widenAfter)
	if e == nil {
		return nil, nil
	}
	attempt := r.cfg.NewID()
	if !r.running.enter(e, attempt, fp) {
		return nil, nil
	}
	return &slot{endpoint: e, attempt: attempt, inFlight: int(e.Live.InFlight.Load()), running: r.running}, nil
}

func (r *Relay) choose(s *search, svc *table.Service, widened bool) *table.Endpoint {
	if e := find(svc, s.prefer); e != nil && e.Condition == table.Ready && !r.running.isReserved(e.ID) {
		s.prefer = ""
		return e
	}
	version := s.version(svc)
	untried := func(e *table.Endpoint) bool { return s.tried[e.ID] || r.running.isReserved(e.ID) }
	if e, ok := r.cfg.Chooser.Choose(s.call, svc, version, untried); ok {
		return e
	}
	if !widened {
		return nil
	}
	return r.chooseWidened(s, svc, version)
}

// noteFailed records the failure of an attempt for the choice of the next one.
func (s *search) noteFailed(e *table.Endpoint, ownError bool) {
	s.tried[e.ID] = true
	if ownError {
		if s.failed == nil {
			s.failed = map[string]bool{}
		}
		s.failed[e.Version] = true
	}
}

// version returns the version for the next attempt: the one drawn for the request, unless it answered the request with
// an error of its own. Then another one is taken, so that callers don't see the errors of a bad version.
func (s *search) version(svc *table.Service) string {
	version := drawVersion(s.call.RequestID, svc.Shares)
	if !s.failed[version] {
		return version
	}
	for _, share := range svc.Shares {
		if share.Part > 0 && !s.failed[share.Version] {
			return share.Version
		}
	}
	if svc.Move != nil && !s.failed[svc.Move.From] {
		return svc.Move.From
	}
	return version
}

// chooseWidened also takes endpoints that failed this call, other versions with a share and, when no endpoint is
// ready at all, suspect ones: after a silent connection the endpoint itself may be fine.
func (r *Relay) chooseWidened(s *search, svc *table.Service, version string) *table.Endpoint {
	if e, ok := r.cfg.Chooser.Choose(s.call, svc, version, r.reserved); ok {
		return e
	}
	for _, share := range svc.Shares {
		if share.Part == 0 || share.Version == version {
			continue
		}
		if e, ok := r.cfg.Chooser.Choose(s.call, svc, share.Version, r.reserved); ok {
			return e
		}
	}
	if !s.call.once() && !time.Now().Before(s.suspectNext) {
		s.suspectNext = time.Now().Add(suspectRetry)
		return r.suspect(svc)
	}
	return nil
}

func (r *Relay) reserved(e *table.Endpoint) bool { return r.running.isReserved(e.ID) }

// suspect returns the suspect endpoint with the fewest attempts, unless an endpoint is ready.
func (r *Relay) suspect(svc *table.Service) *table.Endpoint {
	var best *table.Endpoint
	for _, e := range svc.Endpoints {
		switch {
		case e.Condition == table.Ready:
			return nil
		case e.Condition != table.Suspect || r.reserved(e):
		case best == nil || e.Live.InFlight.Load() < best.Live.InFlight.Load():
			best = e
		}
	}
	return best
}

// isolated reserves an endpoint for a request that is suspected of crashing endpoints. The slot is granted once the
// endpoint has ended what it ran.
func (r *Relay) isolated(s *search, svc *table.Service) *slot {
	reserver := s.reserver()
	e := find(svc, s.reserved)
	if e == nil || e.Condition != table.Ready {
		r.stopSearch(s)
		e, _ = r.cfg.Chooser.Choose(s.call, svc, s.version(svc), r.reserved)
	}
	if e == nil {
		return nil
	}
	idle, ok := r.running.reserve(e.ID, reserver)
	if !ok {
		return nil
	}
	s.reserved = e.ID
	if !idle {
		return nil
	}
	if !r.cfg.Quarantine.BeginIsolated(s.call.Fingerprint, e.ID) {
		return nil
	}
	attempt := r.cfg.NewID()
	s.reserved = ""
	if !r.running.passOn(e, reserver, attempt, s.call.Fingerprint) {
		return nil
	}
	return &slot{endpoint: e, attempt: attempt, inFlight: 1, running: r.running}
}

func (s *search) reserver() string { return "isolated/" + s.call.RequestID }

// stopSearch gives up what a search has reserved.
func (r *Relay) stopSearch(s *search) {
	if s.reserved != "" {
		r.running.unreserve(s.reserved, s.reserver())
		s.reserved = ""
	}
}

func find(svc *table.Service, id string) *table.Endpoint {
	if id == "" {
		return nil
	}
	for _, e := range svc.Endpoints {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// drawVersion picks a version by share. A request ID gets the same version while the shares stay the same.
func drawVersion(requestID string, shares []table.Share) string {
	point := float64(xxhash.Sum64String("version\x00"+requestID)>>11) / (1 << 53)
	last := ""
	for _, s := range shares {
		if s.Part <= 0 {
			continue
		}
		last = s.Version
		if point < s.Part {
			return s.Version
		}
		point -= s.Part
	}
	return last
}

// once tells that the call runs at most once. Model requests are generations under a seed, which may be repeated.
func (c *Call) once() bool { return c.Chat == nil && !c.Route.Idempotent }
