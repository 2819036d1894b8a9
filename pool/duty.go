package pool

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/lease"
	"github.com/trefoillug/trefoillug/objstore"
)

const (
	// RoundInterval is the time between two plans.
	RoundInterval = 10 * time.Second
	// DefaultStartTime is how long the platform may take from a start request until the instance is on the list.
	DefaultStartTime = 3 * time.Minute
	// startTimeFactor is the number of start times after which a requested instance that isn't on the list is replaced.
	startTimeFactor = 2
	// confirmTimeout is how long an unconfirmed start request counts as an instance before another one is requested. If
	// both appear, one is drained.
	confirmTimeout = 30 * time.Second
	// loadTimeout is the time after which an instance that was ordered to load, but serves no version, is ordered again.
	loadTimeout = 10 * time.Minute
	// plansPerRound is the maximum number of plans in a round. Each further plan excludes the offers whose starts were
	// refused.
	plansPerRound = 4
	callTimeout   = 2 * time.Second
)

// Service is the configuration and traffic of a service, as far as the pool depends on them.
type Service struct {
	Name            string
	Kind            config.ServiceKind
	Checks          config.EndpointChecks
	RecentRate      float64       // highest rate in recent minutes over all entry instances, in requests a second
	Latency, Target time.Duration // see Demand
	// DrainLimit is the time within which an endpoint that gets no new work finishes its last request.
	DrainLimit time.Duration
	Versions   []VersionDemand
}

// VersionDemand is a version and the share of the traffic to plan for it.
type VersionDemand struct {
	Version  string
	MaxShare float64 // see Demand
	Needed   bool    // see Demand
}

// Lease is the lease of the pool duty. Held returns the current grant, and false without one; Revalidate checks the
// grant against the store.
type Lease interface {
	Held() (lease.Grant, bool)
	Revalidate(ctx context.Context) (lease.Grant, error)
}

// Settings configures a Duty.
type Settings struct {
	Lease       Lease
	Cloud       cloud.Cloud
	Lister      cloud.InstanceLister
	Engines     Engines
	Store       objstore.Store
	Services    func() []Service
	Leaving     func() map[string]bool                     // IDs of endpoints that get no new work
	Drain       func(instance string, limit time.Duration) // stops new work at all entry instances
	StartTime   time.Duration                              // 0: DefaultStartTime
	WeightRate  float64                                    // limit of the weight store, in bytes a second; 0: no limit
	WeightBytes float64                                    // size of a version's weights
	Log         logrus.FieldLogger
}

// Duty plans the pool and carries out the plans while this instance holds the lease. Round must not be called
// concurrently.
type Duty struct {
	settings Settings
	state    grantState
	services []Service // as of this round
}

// grantState holds the actions of the holder under one grant. A new holder starts with an empty one. That may repeat a
// request, but breaks no guarantee.
type grantState struct {
	token    uint64
	seq      int
	refusals map[string]refusal      // by offer
	starting map[string]pendingStart // by instance
	ordered  map[string]time.Time    // by instance
	draining map[string]time.Time    // by instance: when this holder drained it or first saw it leaving
	profiles profiles
}

type refusal struct {
	count int
	last  time.Time
}

type pendingStart struct {
	request   cloud.StartRequest
	instance  Instance
	since     time.Time
	confirmed bool // false: the response was lost
}

// New returns a Duty with the given settings.
func New(s Settings) *Duty {
	if s.StartTime == 0 {
		s.StartTime = DefaultStartTime
	}
	return &Duty{settings: s}
}

// Round makes a plan and carries it out if this instance holds the lease. It returns an error when the instances or
// offers can't be read, when the lease is lost (lease.ErrNotHeld), or when an engine rejects the token
// (ErrStaleToken). Start requests, orders and stops that fail for another reason are logged and repeated in later
// rounds.
func (d *Duty) Round(ctx context.Context) error {
	grant, ok := d.settings.Lease.Held()
	if !ok {
		return nil
	}
	if d.state.token != grant.Token {
		d.state = grantState{
			token: grant.Token, refusals: map[string]refusal{}, starting: map[string]pendingStart{},
			ordered: map[string]time.Time{}, draining: map[string]time.Time{},
			profiles: profiles{store: d.settings.Store, rows: map[string]*profileRow{}},
		}
	}
	list, err := d.list(ctx)
	if err != nil {
		return err
	}
	offers, err := d.offers(ctx)
	if err != nil {
		return err
	}
	if err := d.confirmStarts(ctx); err != nil {
		return err
	}
	d.services = d.settings.Services()
	demands := d.demands(ctx)
	for range plansPerRound {
		in := d.planInput(time.Now(), demands, list, offers)
		refused, err := d.commit(ctx, NextPlan(time.Now(), in), list)
		if err != nil || !refused {
			return err
		}
	}
	return nil
}

func (d *Duty) list(ctx context.Context) ([]cloud.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.settings.Lister.Instances(ctx)
}

func (d *Duty) offers(ctx context.Context) ([]cloud.Offer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.settings.Cloud.Offers(ctx)
}

// commit revalidates the lease, drops the changes that the present instance list contradicts, and carries out the rest
// of the plan. It reports whether a start was refused.
func (d *Duty) commit(ctx context.Context, p Plan, planned []cloud.Instance) (refused bool, err error) {
	if len(p.Starts)+len(p.Drains)+len(p.Stops)+len(p.Loads) == 0 {
		return false, nil
	}
	grant, err := d.settings.Lease.Revalidate(ctx)
	if err != nil {
		return false, fmt.Errorf("plan not carried out: %w", err)
	}
	if grant.Token != d.state.token {
		return false, fmt.Errorf("plan not carried out: %w", lease.ErrNotHeld)
	}
	present, err := d.list(ctx)
	if err != nil {
		return false, fmt.Errorf("plan not carried out: %w", err)
	}
	p = dropOutdated(p, planned, present)
	for _, s := range p.Starts {
		wasRefused, err := d.start(ctx, s)
		if err != nil {
			return refused, err
		}
		refused = refused || wasRefused
	}
	if err := d.orderLoads(ctx, grant, p.Loads, present); err != nil {
		return refused, err
	}
	return refused, d.drainAndStop(ctx, p)
}

// dropOutdated removes the changes that the present list contradicts: orders to and stops of instances that were
// removed, and all drains if an instance that served when the plan was made no longer does.
func dropOutdated(p Plan, planned, present []cloud.Instance) Plan {
	byID := map[string]*cloud.Instance{}
	for i := range present {
		byID[present[i].ID] = &present[i]
	}
	serves := func(in *cloud.Instance) bool {
		return in != nil && in.State == cloud.StateLive && in.Version != ""
	}
	for i := range planned {
		if serves(&planned[i]) && !serves(byID[planned[i].ID]) {
			p.Drains = nil
		}
	}
	p.Stops = slices.DeleteFunc(p.Stops, func(id string) bool { return byID[id] == nil })
	p.Loads = slices.DeleteFunc(p.Loads, func(l Load) bool {
		in := byID[l.Instance]
		return in == nil || in.State != cloud.StateLive || in.Version != "" || in.Assigned != l.Version
	})
	return p
}

// checkLease returns lease.ErrNotHeld once the grant of the plan has ended, so that a holder that was paused stops
// between two actions.
func (d *Duty) checkLease() error {
	if g, ok := d.settings.Lease.Held(); !ok || g.Token != d.state.token {
		return lease.ErrNotHeld
	}
	return nil
}

// start requests an instance with an ID that contains the token of this grant.
func (d *Duty) start(ctx context.Context, s Start) (refused bool, err error) {
	if d.inBackOff(s.Offer.ID) {
		return true, nil
	}
	d.state.seq++
	id := fmt.Sprintf("%s-%d-%d", s.Service, d.state.token, d.state.seq)
	return d.requestStart(ctx, pendingStart{
		since:   time.Now(),
		request: cloud.StartRequest{ID: id, Offer: s.Offer.ID, Service: s.Service, Version: s.Version},
		instance: Instance{
			ID: id, Service: s.Service, Version: s.Version, Class: s.Offer.Class, FailureDomain: s.Offer.FailureDomain,
			Price: s.Offer.Price, Reclaimable: s.Offer.Reclaimable, Capacity: s.Offer.Capacity, State: Starting,
		},
	})
}

// confirmStarts repeats the start requests whose responses were lost. The platform identifies them by instance ID, so
// none starts twice.
func (d *Duty) confirmStarts(ctx context.Context) error {
	for _, s := range d.state.starting {
		if s.confirmed {
			continue
		}
		if _, err := d.requestStart(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (d *Duty) requestStart(ctx context.Context, s pendingStart) (refused bool, err error) {
	if err := d.checkLease(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = d.settings.Cloud.Start(ctx, s.request)
	log := d.settings.Log.WithField("endpoint", s.request.ID).WithField("offer", s.request.Offer)
	if errors.Is(err, cloud.ErrStartRefused) {
		r := d.state.refusals[s.request.Offer]
		d.state.refusals[s.request.Offer] = refusal{r.count + 1, time.Now()}
		delete(d.state.starting, s.request.ID)
		log.Info("start refused; trying the next offer")
		return true, nil
	}
	s.confirmed = err == nil
	d.state.starting[s.request.ID] = s
	if err != nil {
		log.WithError(err).Warn("start not confirmed; will retry")
		return false, nil
	}
	delete(d.state.refusals, s.request.Offer)
	log.WithField("version", s.request.Version).Info("instance requested")
	return false, nil
}

func (d *Duty) inBackOff(offer string) bool {
	r := d.state.refusals[offer]
	return (&Offer{Refusals: r.count, LastRefusal: r.last}).inBackOff(time.Now())
}

func (d *Duty) orderLoads(ctx context.Context, g lease.Grant, loads []Load, present []cloud.Instance) error {
	checks := map[string]config.EndpointChecks{}
	for _, s := range d.services {
		checks[s.Name] = s.Checks
	}
	addresses := map[string]string{}
	for _, in := range present {
		addresses[in.ID] = in.Address
	}
	for _, l := range loads {
		if err := d.checkLease(); err != nil {
			return err
		}
		log := d.settings.Log.WithField("endpoint", l.Instance).WithField("version", l.Version)
		err := sendOrder(ctx, d.settings.Engines, g, checks[l.Service], addresses[l.Instance], l)
		if errors.Is(err, ErrStaleToken) {
			return fmt.Errorf("order to %s: %w", l.Instance, err)
		}
		if err != nil {
			log.WithError(err).Warn("order not confirmed; will retry")
			continue
		}
		d.state.ordered[l.Instance] = time.Now()
		log.Info("ordered endpoint to load version")
	}
	return nil
}

func (d *Duty) drainAndStop(ctx context.Context, p Plan) error {
	for _, id := range p.Drains {
		if err := d.checkLease(); err != nil {
			return err
		}
		d.settings.Log.WithField("endpoint", id).Info("draining endpoint")
		d.settings.Drain(id, d.drainLimit())
		d.state.draining[id] = time.Now()
	}
	for _, id := range p.Stops {
		if err := d.checkLease(); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := d.settings.Cloud.Stop(ctx, id)
		cancel()
		if err != nil {
			d.settings.Log.WithError(err).WithField("endpoint", id).Warn("endpoint not stopped; will retry")
			continue
		}
		d.settings.Log.WithField("endpoint", id).Info("endpoint stopped")
	}
	return nil
}
