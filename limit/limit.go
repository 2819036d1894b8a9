// Package limit decides which requests are admitted. It enforces a global rate limit per workspace, a priority queue
// per service, an adaptive concurrency limit per endpoint and a retry budget per service.
package limit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

// Mesh is the part of the peer mesh that Admission uses.
type Mesh interface {
	Self() peer.Member
	Members() []peer.Member
	Handle(kind string, h peer.Handler)
	Call(ctx context.Context, member, kind string, body []byte) ([]byte, error)
}

// Settings configures an Admission.
type Settings struct {
	Mesh Mesh
	Log  logrus.FieldLogger // optional
	// LogOnly admits the requests that exceed a workspace limit and counts them in Stats.OverLimit.
	LogOnly bool
}

// Request describes a request for admission.
type Request struct {
	Service   string
	Workspace string
	Priority  config.Priority
	Deadline  time.Time // zero: the deadline of the context
	Cost      float64   // in requests; 0 counts as 1
	// Work is the work of an endpoint for the request in any unit, by which workspaces share the capacity of a service; 0:
	// Cost.
	Work float64
	// Identity identifies what the caller sends, so that a caller that returns after a refusal goes before new ones; 0:
	// unknown.
	Identity uint64
}

// Result is the outcome of an admitted request. The zero Result contains no sample for an endpoint.
type Result struct {
	Endpoint   string        // ID of the endpoint that served it
	Latency    time.Duration // to the first token or the response header
	InFlight   int           // attempts of this instance at the endpoint when the request started
	Overloaded bool          // the endpoint refused for lack of capacity
}

// Stats holds counters since the start and current sizes.
type Stats struct {
	Admitted            int64
	OverLimit           int64 // refused with limit_exceeded, or admitted because of LogOnly
	Overloaded          int64 // refused with overloaded
	Waiting             int   // requests in the queues now
	Workspaces          int   // workspaces with a share on this instance
	OwnedWorkspaces     int   // workspaces that this instance owns
	EvenSplitWorkspaces int   // workspaces that use the even split
}

// Admission admits or refuses requests. It is safe for concurrent use.
type Admission struct {
	settings  Settings
	self      string
	endpoints endpointLimits

	mu     sync.Mutex // guards the workspace limits and stats
	shares map[key]*share
	owner  *owner
	stats  Stats

	servicesMu sync.RWMutex
	services   map[string]*service

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// service is the admission state of one service.
type service struct {
	config *config.Service // replaced under servicesMu
	limits map[string]globalLimit
	retry  RetryBudget

	mu    sync.Mutex // guards queue
	queue *queue
}

// New returns an Admission without services. It registers its call handler, so it must be called before the mesh is
// started.
func New(s Settings) *Admission {
	a := &Admission{
		settings: s, self: s.Mesh.Self().ID, shares: map[key]*share{}, services: map[string]*service{},
		owner: newOwner(s.Mesh.Self().ID, time.Now()), endpoints: endpointLimits{byEndpoint: map[string]*concurrency{}},
	}
	s.Mesh.Handle(demandKind, a.handleDemand)
	return a
}

// Start starts the exchange of demands and grants, which runs until Close.
func (a *Admission) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.wg.Go(func() { a.run(ctx) })
}

// Close stops the exchange. Waiting requests keep waiting until their deadlines.
func (a *Admission) Close() {
	if a.cancel != nil {
		a.cancel()
	}
	a.wg.Wait()
}

// Update applies the services, limits and endpoints of a snapshot. It must be called periodically, because it also
// updates the capacity of the queues from the adaptive limits of the endpoints.
func (a *Admission) Update(s *table.Snapshot) {
	members, keep := len(a.settings.Mesh.Members()), map[string]bool{}
	for name, t := range s.Services {
		svc := a.updateService(name, t.Config)
		capacity := a.endpoints.update(t, members)
		for _, e := range t.Endpoints {
			keep[e.ID] = true
		}
		svc.mu.Lock()
		svc.queue.capacity = capacity
		svc.queue.dispatch(time.Now())
		svc.mu.Unlock()
	}
	a.endpoints.retain(keep)
	a.servicesMu.Lock()
	for name := range a.services {
		if s.Services[name] == nil {
			delete(a.services, name)
		}
	}
	a.servicesMu.Unlock()
}

// updateService applies the current configuration of a service and returns the state of the service.
func (a *Admission) updateService(name string, c *config.Service) *service {
	a.servicesMu.Lock()
	defer a.servicesMu.Unlock()
	svc := a.services[name]
	if svc == nil {
		svc = &service{queue: newQueue()}
		a.services[name] = svc
	}
	if svc.config == c {
		return svc
	}
	svc.config = c
	svc.limits = make(map[string]globalLimit, len(c.Workspaces))
	for _, w := range c.Workspaces {
		if w.Rate > 0 {
			svc.limits[w.Name] = newGlobalLimit(w.Rate, w.Burst)
		}
	}
	return svc
}

// lookup returns the state of a service and the limit of a workspace. A zero limit means that there is none. Errors
// have the kind UnknownService or UnknownWorkspace.
func (a *Admission) lookup(serviceName, workspace string) (*service, globalLimit, error) {
	a.servicesMu.RLock()
	defer a.servicesMu.RUnlock()
	svc := a.services[serviceName]
	if svc == nil {
		return nil, globalLimit{}, problem.New(problem.UnknownService, "service %q is not configured", serviceName)
	}
	if _, ok := svc.config.WorkspaceFor(workspace); !ok && len(svc.config.Workspaces) > 0 {
		return nil, globalLimit{}, problem.New(problem.UnknownWorkspace, "service %q has no workspace %q", serviceName, workspace)
	}
	return svc, svc.limits[workspace], nil
}

// Admit waits until the request may run, at most until its deadline. The caller must call release with the result; only
// the first call has an effect. Errors have the kind LimitExceeded or Overloaded with a Retry-After, UnknownService or
// UnknownWorkspace; an error of ctx is returned unchanged.
func (a *Admission) Admit(ctx context.Context, r Request) (release func(Result), err error) {
	svc, g, err := a.lookup(r.Service, r.Workspace)
	if err != nil {
		return nil, err
	}
	r.setDefaults(ctx)
	k := key{r.Service, r.Workspace}
	taken := false
	if g.rate > 0 {
		if taken, err = a.acquire(ctx, k, g, &r); err != nil {
			return nil, err
		}
	}
	release, err = a.enqueue(ctx, svc, &r)
	if err != nil && taken {
		a.releaseTokens(k, r.Cost)
	}
	return release, err
}

// setDefaults fills in and limits the deadline, cost and priority.
func (r *Request) setDefaults(ctx context.Context) {
	if d, ok := ctx.Deadline(); ok && (r.Deadline.IsZero() || d.Before(r.Deadline)) {
		r.Deadline = d
	}
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(maxWait)
	}
	if r.Cost <= 0 {
		r.Cost = 1
	}
	if r.Work <= 0 {
		r.Work = r.Cost
	}
	r.Priority = min(max(r.Priority, config.PriorityLow), config.PriorityHigh)
}

// enqueue waits in the queue of the service until the request is admitted. It returns the release function.
func (a *Admission) enqueue(ctx context.Context, svc *service, r *Request) (func(Result), error) {
	now := time.Now()
	svc.retry.CountRequest(now)
	t := &ticket{
		workspace: r.Workspace, priority: r.Priority, deadline: r.Deadline, cost: r.Work,
		identity: r.Identity, queued: now, decided: make(chan struct{}),
	}
	svc.mu.Lock()
	admitted := svc.queue.offer(t, now)
	svc.mu.Unlock()
	if !admitted {
		if err := a.waitForTicket(ctx, svc, t); err != nil {
			return nil, err
		}
	}
	a.count(func(s *Stats) { s.Admitted++ })
	return a.releaseFunc(svc, time.Now()), nil
}

// waitForTicket waits until a ticket is admitted or refused, at most until its deadline.
func (a *Admission) waitForTicket(ctx context.Context, svc *service, t *ticket) error {
	timer := time.NewTimer(remaining(t.deadline))
	defer timer.Stop()
	select {
	case <-t.decided:
	case <-timer.C:
	case <-ctx.Done():
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if t.admitted {
		if ctx.Err() != nil {
			svc.queue.cancelAdmitted(time.Now())
			return ctx.Err()
		}
		return nil
	}
	if svc.queue.remove(t) {
		t.wait = svc.queue.expectedWait(svc.queue.position(t, time.Now()))
	}
	if err := ctx.Err(); err != nil && time.Now().Before(t.deadline) {
		return err
	}
	a.count(func(s *Stats) { s.Overloaded++ })
	after := retryAfter(t.wait - t.deadline.Sub(t.queued))
	now := time.Now()
	svc.queue.refused.Remember(t.identity, now.Add(after), now)
	return problem.NewWithRetryAfter(problem.Overloaded, after, "the expected wait exceeds the time to the deadline")
}

// remaining returns the time until t, at least one nanosecond. A channel timer that is due when it is created runs in
// the goroutine that receives from it, which makes the race detector's runtime fail in synctest (Go 1.26.8).
func remaining(t time.Time) time.Duration { return max(time.Until(t), 1) }

// retryAfter adds 10%, because rates may change meanwhile, and rounds up to whole seconds, the unit of the header.
func retryAfter(d time.Duration) time.Duration {
	seconds := math.Ceil(max(d, 0).Seconds() * 1.1)
	return time.Duration(max(seconds, 1)) * time.Second
}

func (a *Admission) releaseFunc(svc *service, admitted time.Time) func(Result) {
	var once sync.Once
	return func(r Result) {
		once.Do(func() {
			now := time.Now()
			a.endpoints.sample(&r, now)
			svc.mu.Lock()
			svc.queue.done(now.Sub(admitted), now)
			svc.mu.Unlock()
		})
	}
}

// Observe applies the result of one attempt to the concurrency limit of its endpoint. It is for callers whose requests
// may need several attempts; they call release with the zero Result.
func (a *Admission) Observe(r Result) { a.endpoints.sample(&r, time.Now()) }

// AcquireRetry reports whether the retry budget of a service allows one more retry, and counts the retry if it does.
func (a *Admission) AcquireRetry(serviceName string) bool {
	a.servicesMu.RLock()
	svc := a.services[serviceName]
	a.servicesMu.RUnlock()
	return svc != nil && svc.retry.AcquireRetry(time.Now())
}

func (a *Admission) count(fn func(*Stats)) {
	a.mu.Lock()
	fn(&a.stats)
	a.mu.Unlock()
}

// Stats returns the current counters.
func (a *Admission) Stats() Stats {
	a.mu.Lock()
	s := a.stats
	s.Workspaces, s.OwnedWorkspaces = len(a.shares), len(a.owner.entries)
	now := time.Now()
	for _, sh := range a.shares {
		if !sh.hasGrant(now) && sh.demandFailed {
			s.EvenSplitWorkspaces++
		}
	}
	a.mu.Unlock()
	a.servicesMu.RLock()
	defer a.servicesMu.RUnlock()
	for _, svc := range a.services {
		svc.mu.Lock()
		s.Waiting += svc.queue.waiting.Len()
		svc.mu.Unlock()
	}
	return s
}
