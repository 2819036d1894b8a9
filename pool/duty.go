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
	// DefaultStartTime is how long the platform may take from a request until the instance is on the list.
	DefaultStartTime = 3 * time.Minute
	// startLimit is how many start times an instance may be missing before another is requested in its place.
	startLimit = 2
	// confirmLimit is how long an unconfirmed request may stand in for an instance. Should both appear, one is drained.
	confirmLimit = 30 * time.Second
	// loadLimit is after how long an instance that was ordered to load is ordered again.
	loadLimit = 10 * time.Minute
	// startAttempts bounds the plans of a round; each further one passes over the offers that were refused.
	startAttempts = 4
	callTimeout   = 2 * time.Second
)

// Service is what the duty knows of a configured service.
type Service struct {
	Name            string
	Kind            config.ServiceKind
	Checks          config.EndpointChecks
	Recent          float64 // highest rate in recent minutes over all entry instances, in requests a second
	Latency, Target time.Duration
	// DrainLimit is the time after which an endpoint that gets no new work has ended its last request.
	DrainLimit time.Duration
	Versions   []VersionNeed
}

// VersionNeed is a version with its share of the traffic.
type VersionNeed struct {
	Version string
	Part    float64 // see Demand
	Needed  bool
}

// Lease is the duty's lease.
type Lease interface {
	Held() (lease.Grant, bool)
	Revalidate(ctx context.Context) (lease.Grant, error)
}

// Settings of a Duty.
type Settings struct {
	Lease       Lease
	Cloud       cloud.Cloud
	Lister      cloud.InstanceLister
	Engines     Engines
	Store       objstore.Store
	Services    func() []Service
	Leaving     func() map[string]bool                     // endpoints that get no new work
	Drain       func(instance string, limit time.Duration) // stops new work at all entry instances
	StartTime   time.Duration                              // 0: DefaultStartTime
	WeightRate  float64                                    // of the weight store, in bytes a second; 0: no limit
	WeightBytes float64                                    // of a version
	Log         logrus.FieldLogger
}

// Duty plans and carries out the pool while it holds the lease. Round must not be called concurrently.
type Duty struct {
	settings Settings
	memory   memory
	services []Service // as of this round
}

// memory is what the holder remembers of its own actions under one grant. A new holder starts without, which costs a
// repeated request, never a guarantee.
type memory struct {
	token    uint64
	seq      int
	refusals map[string]refusal   // by offer
	starting map[string]starting  // by instance
	ordered  map[string]time.Time // by instance
	draining map[string]time.Time // by instance: since when no new work was seen to arrive
	profiles profiles
}

type refusal struct {
	count int
	last  time.Time
}

type starting struct {
	request   cloud.StartRequest
	instance  Instance
	since     time.Time
	confirmed bool // false: the response was lost
}

// New returns a duty.
func New(s Settings) *Duty {
	if s.StartTime == 0 {
		s.StartTime = DefaultStartTime
	}
	return &Duty{settings: s}
}

// Round makes a plan and carries it out if this instance holds the lease.
func (d *Duty) Round(ctx context.Context) error {
	grant, ok := d.settings.Lease.Held()
	if !ok {
		return nil
	}
	if d.memory.token != grant.Token {
		d.memory = memory{
			token: grant.Token, refusals: map[string]refusal{}, starting: map[string]starting{},
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
	if err := d.confirm(ctx); err != nil {
		return err
	}
	d.services = d.settings.Services()
	demands := d.demands(ctx)
	for range startAttempts {
		in := d.input(time.Now(), demands, list, offers)
		refused, err := d.commit(ctx, Next(time.Now(), in), list)
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

// commit carries out a plan after proving that the lease is still held and that the instances it was made for still
// exist. It reports whether a start was refused.
func (d *Duty) commit(ctx context.Context, p Plan, planned []cloud.Instance) (refused bool, err error) {
	if len(p.Starts)+len(p.Drains)+len(p.Stops)+len(p.Loads) == 0 {
		return false, nil
	}
	grant, err := d.settings.Lease.Revalidate(ctx)
	if err != nil {
		return false, fmt.Errorf("plan not carried out: %w", err)
	}
	if grant.Token != d.memory.token {
		return false, fmt.Errorf("plan not carried out: %w", lease.ErrNotHeld)
	}
	present, err := d.list(ctx)
	if err != nil {
		return false, fmt.Errorf("plan not carried out: %w", err)
	}
	p = stillValid(p, planned, present)
	for _, s := range p.Starts {
		wasRefused, err := d.start(ctx, s)
		if err != nil {
			return refused, err
		}
		refused = refused || wasRefused
	}
	if err := d.loads(ctx, grant, p.Loads, present); err != nil {
		return refused, err
	}
	return refused, d.removals(ctx, p)
}

// stillValid drops what the present list contradicts: orders and stops of instances that are gone, and every drain
// when an instance that served at the time of the plan no longer does.
func stillValid(p Plan, planned, present []cloud.Instance) Plan {
	now := map[string]*cloud.Instance{}
	for i := range present {
		now[present[i].ID] = &present[i]
	}
	serves := func(in *cloud.Instance) bool {
		return in != nil && in.State == cloud.StateLive && in.Version != ""
	}
	for i := range planned {
		if serves(&planned[i]) && !serves(now[planned[i].ID]) {
			p.Drains = nil
		}
	}
	p.Stops = slices.DeleteFunc(p.Stops, func(id string) bool { return now[id] == nil })
	p.Loads = slices.DeleteFunc(p.Loads, func(l Load) bool {
		in := now[l.Instance]
		return in == nil || in.State != cloud.StateLive || in.Version != "" || in.Assigned != l.Version
	})
	return p
}

// held returns an error once the grant of the plan has ended, so that a paused holder stops between two actions.
func (d *Duty) held() error {
	if g, ok := d.settings.Lease.Held(); !ok || g.Token != d.memory.token {
		return lease.ErrNotHeld
	}
	return nil
}

// start requests an instance under a name of this grant.
func (d *Duty) start(ctx context.Context, s Start) (refused bool, err error) {
	if d.passedOver(s.Offer.ID) {
		return true, nil
	}
	d.memory.seq++
	id := fmt.Sprintf("%s-%d-%d", s.Service, d.memory.token, d.memory.seq)
	return d.request(ctx, starting{
		since:   time.Now(),
		request: cloud.StartRequest{ID: id, Offer: s.Offer.ID, Service: s.Service, Version: s.Version},
		instance: Instance{
			ID: id, Service: s.Service, Version: s.Version, Class: s.Offer.Class, FailureDomain: s.Offer.FailureDomain,
			Price: s.Offer.Price, Reclaimable: s.Offer.Reclaimable, Capacity: s.Offer.Capacity, State: Starting,
		},
	})
}

// confirm repeats the requests whose responses were lost. The platform knows them by name.
func (d *Duty) confirm(ctx context.Context) error {
	for _, s := range d.memory.starting {
		if s.confirmed {
			continue
		}
		if _, err := d.request(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (d *Duty) request(ctx context.Context, s starting) (refused bool, err error) {
	if err := d.held(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = d.settings.Cloud.Start(ctx, s.request)
	log := d.settings.Log.WithField("endpoint", s.request.ID).WithField("offer", s.request.Offer)
	if errors.Is(err, cloud.ErrStartRefused) {
		r := d.memory.refusals[s.request.Offer]
		d.memory.refusals[s.request.Offer] = refusal{r.count + 1, time.Now()}
		delete(d.memory.starting, s.request.ID)
		log.Info("start refused; the next offer is tried")
		return true, nil
	}
	s.confirmed = err == nil
	d.memory.starting[s.request.ID] = s
	if err != nil {
		log.WithError(err).Warn("start not confirmed; it is repeated")
		return false, nil
	}
	delete(d.memory.refusals, s.request.Offer)
	log.WithField("version", s.request.Version).Info("instance requested")
	return false, nil
}

func (d *Duty) passedOver(offer string) bool {
	r := d.memory.refusals[offer]
	return (&Offer{Refusals: r.count, LastRefusal: r.last}).passedOver(time.Now())
}

func (d *Duty) loads(ctx context.Context, g lease.Grant, loads []Load, present []cloud.Instance) error {
	checks := map[string]config.EndpointChecks{}
	for _, s := range d.services {
		checks[s.Name] = s.Checks
	}
	addresses := map[string]string{}
	for _, in := range present {
		addresses[in.ID] = in.Address
	}
	for _, l := range loads {
		if err := d.held(); err != nil {
			return err
		}
		log := d.settings.Log.WithField("endpoint", l.Instance).WithField("version", l.Version)
		err := order(ctx, d.settings.Engines, g, checks[l.Service], addresses[l.Instance], l)
		if errors.Is(err, ErrStaleToken) {
			return fmt.Errorf("order to %s: %w", l.Instance, err)
		}
		if err != nil {
			log.WithError(err).Warn("order not confirmed; it is repeated")
			continue
		}
		d.memory.ordered[l.Instance] = time.Now()
		log.Info("version ordered")
	}
	return nil
}

func (d *Duty) removals(ctx context.Context, p Plan) error {
	for _, id := range p.Drains {
		if err := d.held(); err != nil {
			return err
		}
		d.settings.Log.WithField("endpoint", id).Info("endpoint drained")
		d.settings.Drain(id, d.drainLimit())
		d.memory.draining[id] = time.Now()
	}
	for _, id := range p.Stops {
		if err := d.held(); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := d.settings.Cloud.Stop(ctx, id)
		cancel()
		if err != nil {
			d.settings.Log.WithError(err).WithField("endpoint", id).Warn("endpoint not stopped; tried again")
			continue
		}
		d.settings.Log.WithField("endpoint", id).Info("endpoint stopped")
	}
	return nil
}
