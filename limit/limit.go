// Package limit decides which requests are admitted: global rates per workspace, a queue per service with priorities,
// adaptive concurrency per endpoint and a retry budget per service.
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

// Mesh is what admission needs of the peers.
type Mesh interface {
	Self() peer.Member
	Members() []peer.Member
	Handle(kind string, h peer.Handler)
	Call(ctx context.Context, member, kind string, body []byte) ([]byte, error)
}

// Settings of an Admission.
type Settings struct {
	Mesh Mesh
	Log  logrus.FieldLogger // optional
	// LogOnly admits what workspace limits would refuse and counts it in Stats.
	LogOnly bool
}

// Request asks for admission.
type Request struct {
	Service   string
	Workspace string
	Priority  config.Priority
	Deadline  time.Time // zero: that of the context
	Cost      float64   // in requests; 0 counts as 1
}

// Result tells how an admitted request went. The zero Result says nothing about an endpoint.
type Result struct {
	Endpoint   string        // ID of the endpoint that served it
	Latency    time.Duration // to the first token or the response header
	InFlight   int           // attempts of this instance at the endpoint when the request started
	Overloaded bool          // the endpoint refused for lack of capacity
}

// Stats are counters since the start.
type Stats struct {
	Admitted     int64
	OverLimit    int64 // refused with limit_exceeded, or with LogOnly admitted all the same
	Overloaded   int64 // refused with overloaded
	Waiting      int   // in the queues now
	Workspaces   int   // with a share here
	HomeEntries  int   // workspaces that this member is the home of
	FallbackKeys int   // workspaces on their even split
}

// Admission decides on requests. It is safe for concurrent use.
type Admission struct {
	settings  Settings
	self      string
	endpoints endpointLimits

	mu     sync.Mutex // of the workspace limits
	shares map[key]*share
	home   *home
	stats  Stats

	servicesMu sync.RWMutex
	services   map[string]*service

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// service is the admission state of one service.
type service struct {
	config *config.Service // replaced under servicesMu
	limits map[string]global
	retry  RetryBudget

	mu    sync.Mutex // of the queue
	queue *queue
}

// New returns an Admission without services. It registers its call handler, so that the mesh must not have started.
func New(s Settings) *Admission {
	a := &Admission{
		settings: s, self: s.Mesh.Self().ID, shares: map[key]*share{}, services: map[string]*service{},
		home: newHome(s.Mesh.Self().ID, time.Now()), endpoints: endpointLimits{all: map[string]*concurrency{}},
	}
	s.Mesh.Handle(demandKind, a.handleDemand)
	return a
}

// Start begins to exchange demands and grants until Close.
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

// Update takes over services, limits and endpoints from a snapshot. It must be called each tick, because it also applies
// the adaptive limits of the endpoints to the capacity of the queues.
func (a *Admission) Update(s *table.Snapshot) {
	members, keep := len(a.settings.Mesh.Members()), map[string]bool{}
	for name, t := range s.Services {
		svc := a.ensure(name, t.Config)
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

// ensure returns the state of a service with its present configuration.
func (a *Admission) ensure(name string, c *config.Service) *service {
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
	svc.limits = make(map[string]global, len(c.Workspaces))
	for _, w := range c.Workspaces {
		if w.Rate > 0 {
			svc.limits[w.Name] = newGlobal(w.Rate, w.Burst)
		}
	}
	return svc
}

// lookup returns the state of a service and the limit of a workspace; a zero limit is none.
func (a *Admission) lookup(serviceName, workspace string) (*service, global, error) {
	a.servicesMu.RLock()
	defer a.servicesMu.RUnlock()
	svc := a.services[serviceName]
	if svc == nil {
		return nil, global{}, problem.New(problem.UnknownService, "service %q is not configured", serviceName)
	}
	if _, ok := svc.config.WorkspaceFor(workspace); !ok && len(svc.config.Workspaces) > 0 {
		return nil, global{}, problem.New(problem.UnknownWorkspace, "service %q has no workspace %q", serviceName, workspace)
	}
	return svc, svc.limits[workspace], nil
}

// Admit waits until the request may run, at most until its deadline. The caller must call release once with the
// result. Errors have the kind LimitExceeded or Overloaded with a Retry-After, UnknownService or UnknownWorkspace; an
// error of ctx is returned as it is.
func (a *Admission) Admit(ctx context.Context, r Request) (release func(Result), err error) {
	svc, g, err := a.lookup(r.Service, r.Workspace)
	if err != nil {
		return nil, err
	}
	r.complete(ctx)
	k := key{r.Service, r.Workspace}
	if g.rate > 0 {
		if err := a.acquire(ctx, k, g, &r); err != nil {
			return nil, err
		}
	}
	release, err = a.enter(ctx, svc, &r)
	if err != nil && g.rate > 0 {
		a.refund(k, r.Cost)
	}
	return release, err
}

// complete fills in the defaults.
func (r *Request) complete(ctx context.Context) {
	if d, ok := ctx.Deadline(); ok && (r.Deadline.IsZero() || d.Before(r.Deadline)) {
		r.Deadline = d
	}
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(maxWait)
	}
	if r.Cost <= 0 {
		r.Cost = 1
	}
	r.Priority = min(max(r.Priority, config.PriorityLow), config.PriorityHigh)
}

// enter passes the queue of the service.
func (a *Admission) enter(ctx context.Context, svc *service, r *Request) (func(Result), error) {
	now := time.Now()
	svc.retry.Request(now)
	t := &ticket{
		workspace: r.Workspace, priority: r.Priority, deadline: r.Deadline, cost: r.Cost,
		queued: now, decided: make(chan struct{}),
	}
	svc.mu.Lock()
	admitted := svc.queue.offer(t, now)
	svc.mu.Unlock()
	if !admitted {
		if err := a.await(ctx, svc, t); err != nil {
			return nil, err
		}
	}
	a.count(func(s *Stats) { s.Admitted++ })
	return a.releaser(svc, time.Now()), nil
}

// await waits for the decision on a ticket.
func (a *Admission) await(ctx context.Context, svc *service, t *ticket) error {
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
			svc.queue.leave(time.Now())
			return ctx.Err()
		}
		return nil
	}
	if svc.queue.remove(t) {
		t.wait = svc.queue.expected(svc.queue.position(t))
	}
	if err := ctx.Err(); err != nil && time.Now().Before(t.deadline) {
		return err
	}
	a.count(func(s *Stats) { s.Overloaded++ })
	after := retryAfter(t.wait - t.deadline.Sub(t.queued))
	return problem.NewRetry(problem.Overloaded, after, "the expected wait exceeds the time to the deadline")
}

// remaining returns the time until t, at least a nanosecond: a channel timer that is due when it is made runs in the
// goroutine that receives from it, which makes the race detector's runtime fail in synctest (Go 1.26.8).
func remaining(t time.Time) time.Duration { return max(time.Until(t), 1) }

// retryAfter rounds up to whole seconds, which the header has, after adding a tenth for rates that shift meanwhile.
func retryAfter(d time.Duration) time.Duration {
	seconds := math.Ceil(max(d, 0).Seconds() * 1.1)
	return time.Duration(max(seconds, 1)) * time.Second
}

func (a *Admission) releaser(svc *service, admitted time.Time) func(Result) {
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

// Observe takes the result of one attempt into the concurrency limit of its endpoint. It is for callers whose requests
// take several attempts; they release with the zero Result.
func (a *Admission) Observe(r Result) { a.endpoints.sample(&r, time.Now()) }

// Retry reports whether the retry budget of a service allows one more retry, and counts it when it does.
func (a *Admission) Retry(serviceName string) bool {
	a.servicesMu.RLock()
	svc := a.services[serviceName]
	a.servicesMu.RUnlock()
	return svc != nil && svc.retry.Retry(time.Now())
}

func (a *Admission) count(fn func(*Stats)) {
	a.mu.Lock()
	fn(&a.stats)
	a.mu.Unlock()
}

// Stats returns the counters.
func (a *Admission) Stats() Stats {
	a.mu.Lock()
	s := a.stats
	s.Workspaces, s.HomeEntries = len(a.shares), len(a.home.entries)
	now := time.Now()
	for _, sh := range a.shares {
		if !sh.holds(now) && sh.missed {
			s.FallbackKeys++
		}
	}
	a.mu.Unlock()
	a.servicesMu.RLock()
	defer a.servicesMu.RUnlock()
	for _, svc := range a.services {
		svc.mu.Lock()
		s.Waiting += svc.queue.waiting(config.PriorityLow)
		svc.mu.Unlock()
	}
	return s
}
