package limit

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	// demandTimeout bounds a call to the owner. A first request waits this long before the even split is used.
	demandTimeout = 500 * time.Millisecond
	// membershipInterval is the time between checks of the membership.
	membershipInterval = 200 * time.Millisecond
	// maxReservation bounds the time for which a grant is kept for a refused caller that may retry.
	maxReservation = time.Minute
	// maxDemands is the largest number of demands in one message.
	maxDemands = 2048
)

// acquire takes the tokens of a request from the share of its workspace, waiting at most until the deadline. With
// Settings.LogOnly, a request over the limit takes none and gets no error.
func (a *Admission) acquire(ctx context.Context, k key, g globalLimit, r *Request) (taken bool, err error) {
	now := time.Now()
	a.mu.Lock()
	s := a.share(k, g, now)
	s.countRequest(r.Cost, now)
	s.expireGrant(now, len(a.settings.Mesh.Members()))
	if len(s.waiters) == 0 && s.bucket.take(r.Cost, now) {
		a.mu.Unlock()
		return true, nil
	}
	wait, rateKnown := s.expectedWait(r.Cost, now)
	if rateKnown && now.Add(wait).After(r.Deadline) {
		defer a.mu.Unlock()
		return false, a.overLimit(s, wait, r.Deadline.Sub(now))
	}
	w := &waiter{cost: r.Cost, deadline: r.Deadline, ready: make(chan struct{})}
	s.waiters = append(s.waiters, w)
	a.serveWaiters(s, now)
	if !rateKnown && !s.demandPending {
		a.sendFirstDemand(s)
	}
	a.mu.Unlock()
	return a.waitForTokens(ctx, s, w, now)
}

// share returns the share of a workspace and creates it if needed. The caller must hold a.mu.
func (a *Admission) share(k key, g globalLimit, now time.Time) *share {
	s := a.shares[k]
	if s == nil {
		s = newShare(k, g, now)
		a.shares[k] = s
	}
	if s.global != g {
		s.global = g
		s.bucket.set(min(s.bucket.rate, g.rate), g.burstFor(min(s.bucket.rate, g.rate)), now)
	}
	return s
}

// overLimit counts a request over the limit and, unless Settings.LogOnly is set, returns the refusal. The caller must
// hold a.mu.
func (a *Admission) overLimit(s *share, wait, timeLeft time.Duration) error {
	a.stats.OverLimit++
	if a.settings.LogOnly {
		return nil
	}
	after := retryAfter(wait - timeLeft)
	s.reservedUntil = time.Now().Add(min(after, maxReservation) + reportInterval)
	s.reservedRate = s.grantedRate
	return problem.NewWithRetryAfter(problem.LimitExceeded, after, "workspace %q of service %q is over its rate limit", s.workspace, s.service)
}

// waitForTokens waits until a queued request gets its tokens or is refused, at most until its deadline.
func (a *Admission) waitForTokens(ctx context.Context, s *share, w *waiter, since time.Time) (taken bool, err error) {
	timer := time.NewTimer(remaining(w.deadline))
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.taken {
		if ctx.Err() != nil {
			s.releaseTokens(w.cost)
		}
		return ctx.Err() == nil, ctx.Err()
	}
	now := time.Now()
	if s.drop(w) {
		w.wait, _ = s.expectedWait(w.cost, now)
	}
	if err := ctx.Err(); err != nil && now.Before(w.deadline) {
		return false, err
	}
	return false, a.overLimit(s, w.wait, w.deadline.Sub(now))
}

// releaseTokens puts back into the share of a workspace the tokens of a request that did not run.
func (a *Admission) releaseTokens(k key, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.shares[k]; s != nil {
		s.releaseTokens(cost)
	}
}

// serveWaiters admits the waiters for which there are tokens, and sets a timer for the next one. The caller must hold
// a.mu.
func (a *Admission) serveWaiters(s *share, now time.Time) {
	wait := s.serve(now)
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if len(s.waiters) == 0 || wait >= maxWait {
		return
	}
	// The rate changes if the grant ends before that.
	if s.hasGrant(now) {
		wait = min(wait, s.grantedUntil.Sub(now))
	}
	s.timer = time.AfterFunc(wait, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		t := time.Now()
		s.expireGrant(t, len(a.settings.Mesh.Members()))
		a.serveWaiters(s, t)
	})
}

// sendFirstDemand sends a demand to the owner of a share at once, because a request waits. The caller must hold a.mu.
func (a *Admission) sendFirstDemand(s *share) {
	s.demandPending = true
	target := rendezvous.First(s.String(), candidates(a.settings.Mesh.Members()))
	a.wg.Go(func() { a.sendDemands(context.Background(), target, []*share{s}) })
}

// candidates returns the IDs of the members that may be owners: all but the leaving ones.
func candidates(members []peer.Member) []string {
	ids := make([]string, 0, len(members))
	for _, m := range members {
		if !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// run reports demands every second and checks the membership, until ctx is done.
func (a *Admission) run(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	var reported time.Time
	for {
		ids := candidates(a.settings.Mesh.Members())
		now := time.Now()
		a.mu.Lock()
		a.owner.observe(ids, now)
		a.mu.Unlock()
		all := now.Sub(reported) >= reportInterval-membershipInterval/2
		if all {
			reported = now
		}
		a.report(ctx, ids, now, all)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// report sends the demands of all workspaces in use, or only of those that report early, in one message to each owner.
func (a *Admission) report(ctx context.Context, ids []string, now time.Time, all bool) {
	byOwner := map[string][]*share{}
	a.mu.Lock()
	if all {
		a.sweep(now)
	}
	for _, s := range a.shares {
		if s.demandPending || s.idle(now) || (!all && !s.reportsEarly()) {
			continue
		}
		target := rendezvous.First(s.String(), ids)
		if len(byOwner[target]) < maxDemands {
			s.demandPending = true
			byOwner[target] = append(byOwner[target], s)
		}
	}
	a.mu.Unlock()
	for target, shares := range byOwner {
		a.wg.Go(func() { a.sendDemands(ctx, target, shares) })
	}
}

// sweep drops shares and owner entries that are no longer used. The caller must hold a.mu.
func (a *Admission) sweep(now time.Time) {
	a.owner.sweep(now)
	for k, s := range a.shares {
		if now.Sub(s.lastRequest) > shareExpiry && len(s.waiters) == 0 && !s.demandPending {
			delete(a.shares, k)
		}
	}
}

// sendDemands sends the demands of shares to their owner and applies its grants.
func (a *Admission) sendDemands(ctx context.Context, target string, shares []*share) {
	requestedAt := time.Now()
	a.mu.Lock()
	demands := make([]demand, len(shares))
	for i, s := range shares {
		demands[i] = s.report(requestedAt)
	}
	a.mu.Unlock()
	grants := a.exchange(ctx, target, demands)
	now, members := time.Now(), len(a.settings.Mesh.Members())
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, s := range shares {
		s.demandPending = false
		if grants == nil {
			s.applyFailure(now, members)
		} else {
			s.apply(grants[i], requestedAt, now, members)
		}
		s.refuseLate(now)
		a.serveWaiters(s, now)
	}
}

// exchange calls target and returns one grant for each demand, or nil without a valid answer.
func (a *Admission) exchange(ctx context.Context, target string, demands []demand) []grant {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	body, err := cbor.Marshal(demands)
	if err != nil {
		panic(err) // every field has a CBOR form
	}
	out, err := a.settings.Mesh.Call(ctx, target, demandKind, body)
	if err != nil {
		return nil
	}
	var grants []grant
	if err := decMode.Unmarshal(out, &grants); err != nil || len(grants) != len(demands) {
		return nil
	}
	return grants
}

// handleDemand answers the demands of another member.
func (a *Admission) handleDemand(_ context.Context, from string, body []byte) ([]byte, error) {
	var demands []demand
	if err := decMode.Unmarshal(body, &demands); err != nil {
		return nil, problem.Wrap(problem.InvalidRequest, err)
	}
	ids := candidates(a.settings.Mesh.Members())
	grants := make([]grant, len(demands))
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.owner.observe(ids, now)
	for i := range demands {
		d := &demands[i]
		if _, g, err := a.lookup(d.Service, d.Workspace); err == nil && g.rate > 0 {
			grants[i] = a.owner.answer(from, d, g, now)
		}
	}
	return cbor.Marshal(grants)
}
