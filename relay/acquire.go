package relay

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

const (
	// acquirePollInterval is the time between two searches for an endpoint. A new snapshot is published at least every
	// 100 ms.
	acquirePollInterval = 10 * time.Millisecond
	// widenAfter is how long a call waits for an untried endpoint of its version before it also accepts other versions,
	// and endpoints at which it has failed. At least two snapshots are published in this time.
	widenAfter = 200 * time.Millisecond
	// suspectRetryInterval is the minimum time between two attempts of a call at suspect endpoints.
	suspectRetryInterval = 500 * time.Millisecond
)

// endpointSearch is the state of a call's search for endpoints, kept over all its attempts.
type endpointSearch struct {
	call            *Call
	failedEndpoints map[string]bool // endpoints that failed this call
	failedVersions  map[string]bool // versions with an endpoint that answered this call with an error
	preferred       string          // ID of the endpoint that holds the KV cache of the request
	reserved        string          // ID of the endpoint reserved for the isolated run of the call
	nextSuspectTry  time.Time       // earliest time of the next attempt at a suspect endpoint
	isOffer         bool            // another attempt of the call is in progress
}

// slot is an endpoint acquired for one attempt.
type slot struct {
	endpoint *table.Endpoint
	attempt  string // attempt ID
	inFlight int    // attempts of this instance at the endpoint, including this one
	tracker  *attemptTracker
}

// release ends the use of the endpoint. It does nothing on a nil slot.
func (s *slot) release() {
	if s != nil {
		s.tracker.remove(s.endpoint, s.attempt)
	}
}

// acquire waits for an endpoint for the next attempt of a call, at most until ctx ends. Errors have the kind
// NoEndpoint, Overloaded or Quarantined.
func (r *Relay) acquire(ctx context.Context, s *endpointSearch) (*slot, error) {
	if acquired, err := r.tryAcquire(s, 0); acquired != nil || err != nil {
		return acquired, err
	}
	select {
	case r.waiting <- struct{}{}:
		defer func() { <-r.waiting }()
	default:
		return nil, problem.New(problem.Overloaded, "%d calls wait for an endpoint", cap(r.waiting))
	}
	began := time.Now()
	poll := time.NewTicker(acquirePollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, problem.New(problem.NoEndpoint, "no endpoint of service %s was ready in time",
				s.call.Service.Name)
		case <-poll.C:
		}
		if acquired, err := r.tryAcquire(s, time.Since(began)); acquired != nil || err != nil {
			return acquired, err
		}
	}
}

// tryAcquire searches the current snapshot once. It returns nil if no endpoint is available. waited is how long the
// call has waited; its request can become quarantined during the wait.
func (r *Relay) tryAcquire(s *endpointSearch, waited time.Duration) (*slot, error) {
	svc, ok := r.cfg.Snapshots().Service(s.call.Service.Name)
	if !ok {
		return nil, nil
	}
	q, fingerprint := r.cfg.Quarantine, s.call.Fingerprint
	if err := r.checkQuarantine(s.call); err != nil {
		return nil, err
	}
	switch {
	case s.isOffer && r.isSuspect(s.call):
		return nil, problem.New(problem.Quarantined, "the request may have crashed an endpoint, and another one runs it")
	case q.MustHold(fingerprint):
		return nil, nil
	case q.MustIsolate(fingerprint, waited):
		return r.acquireIsolated(s, svc), nil
	}
	r.releaseReservation(s)
	e := r.choose(s, svc, waited >= widenAfter)
	if e == nil {
		return nil, nil
	}
	attempt := r.cfg.NewID()
	if !r.tracker.add(e, attempt, fingerprint) {
		return nil, nil
	}
	return &slot{endpoint: e, attempt: attempt, inFlight: int(e.Live.InFlight.Load()), tracker: r.tracker}, nil
}

func (r *Relay) choose(s *endpointSearch, svc *table.Service, widened bool) *table.Endpoint {
	if e := findEndpoint(svc, s.preferred); e != nil && e.Condition == table.Ready && !r.tracker.isReserved(e.ID) {
		s.preferred = ""
		return e
	}
	version := s.pickVersion(svc)
	skip := func(e *table.Endpoint) bool { return s.failedEndpoints[e.ID] || r.tracker.isReserved(e.ID) }
	if e, ok := r.cfg.Chooser.Choose(s.call, svc, version, skip); ok {
		return e
	}
	if !widened {
		return nil
	}
	return r.chooseWidened(s, svc, version)
}

// recordFailure records a failed attempt for the choice of the next endpoint. answeredError reports whether the
// endpoint answered with an error.
func (s *endpointSearch) recordFailure(e *table.Endpoint, answeredError bool) {
	s.failedEndpoints[e.ID] = true
	if answeredError {
		if s.failedVersions == nil {
			s.failedVersions = map[string]bool{}
		}
		s.failedVersions[e.Version] = true
	}
}

// pickVersion returns the version for the next attempt: the one drawn for the request or, if an endpoint of that
// version has answered the request with an error, another one, so that callers don't see the errors of a bad version.
func (s *endpointSearch) pickVersion(svc *table.Service) string {
	version := drawVersion(s.call.RequestID, svc.Shares)
	if !s.failedVersions[version] {
		return version
	}
	for _, share := range svc.Shares {
		if share.Fraction > 0 && !s.failedVersions[share.Version] {
			return share.Version
		}
	}
	if svc.Move != nil && !s.failedVersions[svc.Move.From] {
		return svc.Move.From
	}
	return version
}

// chooseWidened also accepts endpoints that failed this call, other versions with a share and, when no endpoint is
// ready at all, suspect ones: after a stalled connection the endpoint itself may be healthy.
func (r *Relay) chooseWidened(s *endpointSearch, svc *table.Service, version string) *table.Endpoint {
	if e, ok := r.cfg.Chooser.Choose(s.call, svc, version, r.isReserved); ok {
		return e
	}
	for _, share := range svc.Shares {
		if share.Fraction == 0 || share.Version == version {
			continue
		}
		if e, ok := r.cfg.Chooser.Choose(s.call, svc, share.Version, r.isReserved); ok {
			return e
		}
	}
	if !s.call.runsAtMostOnce() && !time.Now().Before(s.nextSuspectTry) {
		s.nextSuspectTry = time.Now().Add(suspectRetryInterval)
		return r.chooseSuspect(svc)
	}
	return nil
}

func (r *Relay) isReserved(e *table.Endpoint) bool { return r.tracker.isReserved(e.ID) }

// chooseSuspect returns the suspect endpoint with the fewest attempts in flight, or nil if any endpoint is ready.
func (r *Relay) chooseSuspect(svc *table.Service) *table.Endpoint {
	var best *table.Endpoint
	for _, e := range svc.Endpoints {
		switch {
		case e.Condition == table.Ready:
			return nil
		case e.Condition != table.Suspect || r.isReserved(e):
		case best == nil || e.Live.InFlight.Load() < best.Live.InFlight.Load():
			best = e
		}
	}
	return best
}

// acquireIsolated reserves an endpoint for a request that is suspected of crashing endpoints. It returns nil until all
// other attempts at that endpoint have ended.
func (r *Relay) acquireIsolated(s *endpointSearch, svc *table.Service) *slot {
	reservation := s.reservationID()
	e := findEndpoint(svc, s.reserved)
	if e == nil || e.Condition != table.Ready {
		r.releaseReservation(s)
		e, _ = r.cfg.Chooser.Choose(s.call, svc, s.pickVersion(svc), r.isReserved)
	}
	if e == nil {
		return nil
	}
	idle, ok := r.tracker.reserve(e.ID, reservation)
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
	if !r.tracker.startReserved(e, reservation, attempt, s.call.Fingerprint) {
		return nil
	}
	return &slot{endpoint: e, attempt: attempt, inFlight: 1, tracker: r.tracker}
}

func (s *endpointSearch) reservationID() string { return "isolated/" + s.call.RequestID }

// releaseReservation releases the endpoint that a search has reserved.
func (r *Relay) releaseReservation(s *endpointSearch) {
	if s.reserved != "" {
		r.tracker.unreserve(s.reserved, s.reservationID())
		s.reserved = ""
	}
}

func findEndpoint(svc *table.Service, id string) *table.Endpoint {
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

// drawVersion picks a version by the hash of the request ID, weighted by the shares. The same request ID and shares
// give the same version.
func drawVersion(requestID string, shares []table.Share) string {
	point := float64(xxhash.Sum64String("version\x00"+requestID)>>11) / (1 << 53)
	last := ""
	for _, s := range shares {
		if s.Fraction <= 0 {
			continue
		}
		last = s.Version
		if point < s.Fraction {
			return s.Version
		}
		point -= s.Fraction
	}
	return last
}

// runsAtMostOnce reports whether the call must not be repeated once sent. Model requests may be repeated: they generate
// the same answer again from the same seed.
func (c *Call) runsAtMostOnce() bool { return c.Chat == nil && !c.Route.Idempotent }
