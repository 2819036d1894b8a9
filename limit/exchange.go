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
	// askTimeout bounds the wait of a first request for the home before the even split is used.
	askTimeout = 500 * time.Millisecond
	// observeInterval is the time between two looks at the membership.
	observeInterval = 200 * time.Millisecond
	// maxKeep bounds the time for which a grant is kept for a refused caller that may come back.
	maxKeep = time.Minute
	// maxDemands bounds one message.
	maxDemands = 2048
)

// acquire takes the tokens of a request from the share of its workspace, waiting at most until the deadline.
func (a *Admission) acquire(ctx context.Context, k key, g global, r *Request) error {
	now := time.Now()
	a.mu.Lock()
	s := a.share(k, g, now)
	s.arrive(r.Cost, now)
	s.settle(now, len(a.settings.Mesh.Members()))
	if len(s.waiters) == 0 && s.bucket.take(r.Cost, now) {
		a.mu.Unlock()
		return nil
	}
	wait, known := s.expectedWait(r.Cost, now)
	if known && now.Add(wait).After(r.Deadline) {
		defer a.mu.Unlock()
		return a.overLimit(s, wait, r.Deadline.Sub(now))
	}
	w := &waiter{cost: r.Cost, deadline: r.Deadline, ready: make(chan struct{})}
	s.waiters = append(s.waiters, w)
	a.arm(s, now)
	if !known && !s.asking {
		a.askFirst(s)
	}
	a.mu.Unlock()
	return a.waitFor(ctx, s, w, now)
}

// share needs a.mu.
func (a *Admission) share(k key, g global, now time.Time) *share {
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

// overLimit refuses a request, or with LogOnly only counts it. It needs a.mu.
func (a *Admission) overLimit(s *share, wait, patience time.Duration) error {
	a.stats.OverLimit++
	if a.settings.LogOnly {
		return nil
	}
	after := retryAfter(wait - patience)
	s.keep = time.Now().Add(min(after, maxKeep) + reportInterval)
	s.floor = s.granted
	return problem.NewRetry(problem.LimitExceeded, after, "workspace %q of service %q is over its rate limit", s.workspace, s.service)
}

// waitFor waits for the tokens of a queued request.
func (a *Admission) waitFor(ctx context.Context, s *share, w *waiter, since time.Time) error {
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
			s.giveBack(w.cost)
		}
		return ctx.Err()
	}
	now := time.Now()
	if s.drop(w) {
		w.wait, _ = s.expectedWait(w.cost, now)
	}
	if err := ctx.Err(); err != nil && now.Before(w.deadline) {
		return err
	}
	return a.overLimit(s, w.wait, w.deadline.Sub(now))
}

// refund returns the tokens of a request that wasn't run.
func (a *Admission) refund(k key, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.shares[k]; s != nil {
		s.giveBack(cost)
	}
}

// arm serves the waiters of a share now and when the next one's turn comes. It needs a.mu.
func (a *Admission) arm(s *share, now time.Time) {
	wait := s.serve(now)
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if len(s.waiters) == 0 || wait >= maxWait {
		return
	}
	// A grant that ends before changes the rate.
	if s.holds(now) {
		wait = min(wait, s.until.Sub(now))
	}
	s.timer = time.AfterFunc(wait, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		t := time.Now()
		s.settle(t, len(a.settings.Mesh.Members()))
		a.arm(s, t)
	})
}

// askFirst asks the home of a share at once, because a request waits. It needs a.mu.
func (a *Admission) askFirst(s *share) {
	s.asking = true
	target := rendezvous.First(s.String(), candidates(a.settings.Mesh.Members()))
	a.wg.Go(func() { a.ask(context.Background(), target, []*share{s}) })
}

// candidates returns the IDs of the members that may be homes: all but the leaving ones.
func candidates(members []peer.Member) []string {
	ids := make([]string, 0, len(members))
	for _, m := range members {
		if !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// run reports demands each second and follows the membership.
func (a *Admission) run(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	var reported time.Time
	for {
		ids := candidates(a.settings.Mesh.Members())
		now := time.Now()
		a.mu.Lock()
		a.home.observe(ids, now)
		a.mu.Unlock()
		all := now.Sub(reported) >= reportInterval-observeInterval/2
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

// report sends the demands of all workspaces in use, or only of those that are due early, one message to each home.
func (a *Admission) report(ctx context.Context, ids []string, now time.Time, all bool) {
	byHome := map[string][]*share{}
	a.mu.Lock()
	if all {
		a.sweep(now)
	}
	for _, s := range a.shares {
		if s.asking || s.idle(now) || (!all && !s.due()) {
			continue
		}
		target := rendezvous.First(s.String(), ids)
		if len(byHome[target]) < maxDemands {
			s.asking = true
			byHome[target] = append(byHome[target], s)
		}
	}
	a.mu.Unlock()
	for target, shares := range byHome {
		a.wg.Go(func() { a.ask(ctx, target, shares) })
	}
}

// sweep drops shares and home entries that are no longer used. It needs a.mu.
func (a *Admission) sweep(now time.Time) {
	a.home.sweep(now)
	for k, s := range a.shares {
		if now.Sub(s.last) > forgetAfter && len(s.waiters) == 0 && !s.asking {
			delete(a.shares, k)
		}
	}
}

// ask sends demands to a home and applies its grants.
func (a *Admission) ask(ctx context.Context, target string, shares []*share) {
	asked := time.Now()
	a.mu.Lock()
	demands := make([]demand, len(shares))
	for i, s := range shares {
		demands[i] = s.report(asked)
	}
	a.mu.Unlock()
	grants := a.exchange(ctx, target, demands)
	now, members := time.Now(), len(a.settings.Mesh.Members())
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, s := range shares {
		s.asking = false
		if grants == nil {
			s.failed(now, members)
		} else {
			s.apply(grants[i], asked, now, members)
		}
		s.shed(now)
		a.arm(s, now)
	}
}

// exchange returns one grant for each demand, or nil without an answer.
func (a *Admission) exchange(ctx context.Context, target string, demands []demand) []grant {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// handleDemand answers the demands of a member.
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
	a.home.observe(ids, now)
	for i := range demands {
		d := &demands[i]
		if _, g, err := a.lookup(d.Service, d.Workspace); err == nil && g.rate > 0 {
			grants[i] = a.home.answer(from, d, g, now)
		}
	}
	return cbor.Marshal(grants)
}
