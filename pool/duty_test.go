package pool

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/lease"
	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/standin"
)

// world holds the stand-ins, reached in memory so that the tests run in virtual time.
type world struct {
	mu      sync.Mutex
	cloud   *standin.Cloud
	weights *standin.Weights
	hosts   map[string]http.Handler
	leaving map[string]time.Time // by instance: since when
	rate    float64
	starts  int // requests that arrived
	stops   map[string]time.Time
	checks  config.EndpointChecks
	log     *logrus.Logger
}

const (
	worldStart  = 2 * time.Minute
	worldDrain  = time.Minute
	worldWeight = 20.0 // bytes, at 1 a second
)

func newWorld() *world {
	w := &world{
		cloud: standin.NewCloud(time.Second), weights: standin.NewWeights(1), leaving: map[string]time.Time{},
		stops: map[string]time.Time{}, checks: config.EndpointChecks{Fencing: true, Sender: true}, log: logrus.New(),
	}
	w.log.SetOutput(io.Discard)
	w.hosts = map[string]http.Handler{"cloud": w.cloud, "store": standin.NewObjects(standin.ObjectsOptions{})}
	var offers []cloud.Offer
	for _, o := range dayOffers() {
		offers = append(offers, cloud.Offer{
			ID: o.ID, Class: "c", FailureDomain: o.FailureDomain, Price: o.Price, Reclaimable: o.Reclaimable, Capacity: o.Capacity,
		})
	}
	w.cloud.SetOffers(offers, worldStart, w.run)
	return w
}

// run starts an engine for an instance; the engine puts itself on the list with the version that it loaded.
func (w *world) run(in cloud.Instance) cloud.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	in.Address = in.ID
	w.hosts[in.Address] = standin.NewEngine(standin.EngineConfig{ID: in.ID, Fencing: w.checks.Fencing, Load: func(o engine.Order) {
		w.weights.Load(worldWeight)
		in.Version = o.Version
		body := fmt.Sprintf(`{"id":%q,"address":%q,"failure_domain":%q,"role":"endpoint","class":"c","price":%f,"reclaimable":%t,
			"service":%q,"version":%q,"state":"live"}`, in.ID, in.Address, in.FailureDomain, in.Price, in.Reclaimable, in.Service, in.Version)
		w.cloud.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPut, "/instances/"+in.ID, strings.NewReader(body)))
	}})
	return in
}

// RoundTrip implements http.RoundTripper.
func (w *world) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	w.mu.Lock()
	host := w.hosts[r.URL.Host]
	if r.URL.Path == "/starts" {
		w.starts++
	}
	if id, ok := strings.CutPrefix(r.URL.Path, "/instances/"); ok && r.Method == http.MethodDelete && w.stops[id].IsZero() {
		w.stops[id] = time.Now()
	}
	w.mu.Unlock()
	if host == nil {
		return nil, errors.New("no such host")
	}
	defer func() {
		if recover() != nil {
			resp, err = nil, errors.New("connection broken")
		}
	}()
	rec := httptest.NewRecorder()
	host.ServeHTTP(rec, r)
	return rec.Result(), nil
}

func (w *world) faults(body string) {
	w.cloud.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/faults", bytes.NewBufferString(body)))
}

func (w *world) services() []Service {
	w.mu.Lock()
	defer w.mu.Unlock()
	return []Service{{
		Name: "chat", Checks: w.checks, Recent: w.rate, DrainLimit: worldDrain,
		Versions: []VersionNeed{{Version: "v1", Part: 1, Needed: true}},
	}}
}

// list is the present list, after its lag.
func (w *world) list(t *testing.T) []cloud.Instance {
	time.Sleep(2 * time.Second)
	list, err := cloud.NewListClient("http://cloud", &http.Client{Transport: w}).Instances(t.Context())
	must.NoError(t, err)
	return list
}

// duty returns a candidate with its lease.
func (w *world) duty(id string, lister cloud.InstanceLister) (*Duty, *lease.Lease) {
	hc := &http.Client{Transport: w}
	client := cloud.NewListClient("http://cloud", hc)
	if lister == nil {
		lister = client
	}
	store := objstore.NewClient("http://store", hc)
	l := lease.New(lease.Settings{Store: store, Duty: "pool", Candidate: id, Members: func() []string { return []string{"a", "b"} }})
	return New(Settings{
		Lease: l, Cloud: client, Lister: lister, Engines: EngineClient{hc}, Store: store, Services: w.services, Log: w.log,
		StartTime: worldStart, WeightRate: 1, WeightBytes: worldWeight,
		Leaving: func() map[string]bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			leaving := map[string]bool{}
			for id := range w.leaving {
				leaving[id] = true
			}
			return leaving
		},
		Drain: func(id string, _ time.Duration) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.leaving[id] = time.Now()
		},
	}), l
}

// runDuties drives candidates for a time. No two of their timers and the end coincide: with go1.26 the race detector
// crashed in one run of ten (SIGSEGV in its stack depot, in a timer of the bubble) when they did.
func (w *world) runDuties(ctx context.Context, length time.Duration, ids ...string) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, id := range ids {
		time.Sleep(333 * time.Millisecond)
		d, l := w.duty(id, nil)
		running.Go(func() { l.Run(ctx, func(error) {}) })
		running.Go(func() {
			for ctx.Err() == nil {
				_ = d.Round(ctx)
				time.Sleep(RoundInterval)
			}
		})
	}
	time.Sleep(length)
	cancel()
	running.Wait()
}

func serving(list []cloud.Instance) (total float64, byDomain map[string]float64) {
	byDomain = map[string]float64{}
	for _, in := range list {
		if in.Version == "v1" && in.State == cloud.StateLive {
			total += dayCapacity
			byDomain[in.FailureDomain] += dayCapacity
		}
	}
	return total, byDomain
}

// Refused starts and lost responses must neither leave the pool short nor start an instance twice, and an endpoint
// must be drained for as long as its requests may run before it is stopped.
func TestDuty_GrowsAndShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.rate = 30
		w.faults(`{"refuse_starts":["fd2"],"lose_starts":true}`)
		time.AfterFunc(25*time.Second, func() { w.faults(`{"refuse_starts":["fd2"]}`) })
		w.runDuties(t.Context(), 20*time.Minute, "a", "b")
		total, byDomain := serving(w.list(t))
		must.MapNotContainsKey(t, byDomain, "fd2")
		for domain, c := range byDomain {
			must.GreaterEq(t, 30*growth/defaultUsable, total-c, must.Sprint("without ", domain))
		}
		offers := slices.DeleteFunc(dayOffers(), func(o Offer) bool { return o.FailureDomain == "fd2" })
		demand := Demand{Service: "chat", Version: "v1", Recent: 30, Part: 1}
		must.EqOp(t, len(Next(time.Now(), Input{Demands: []Demand{demand}, Offers: offers}).Starts), int(total/dayCapacity))
		must.MapEmpty(t, w.leaving, must.Sprint("drained, so started twice"))
		w.faults(`{}`)
		w.rate = 1
		w.runDuties(t.Context(), time.Hour, "a", "b")
		must.Len(t, 2, w.list(t))
		for id, at := range w.stops {
			must.GreaterEq(t, worldDrain, at.Sub(w.leaving[id]), must.Sprint(id))
		}
	})
}

// pausedLister pauses at the second reading, which comes after the lease was validated.
type pausedLister struct {
	cloud.InstanceLister
	reads int
}

func (p *pausedLister) Instances(ctx context.Context) ([]cloud.Instance, error) {
	if p.reads++; p.reads == 2 {
		time.Sleep(time.Minute)
	}
	return p.InstanceLister.Instances(context.WithoutCancel(ctx))
}

// A holder that is paused between its plan and the first action must not act when it wakes after its term.
func TestDuty_PausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.rate = 30
		d, l := w.duty("a", &pausedLister{InstanceLister: cloud.NewListClient("http://cloud", &http.Client{Transport: w})})
		time.Sleep(time.Second)
		for range 10 {
			must.NoError(t, l.Step(t.Context()))
			time.Sleep(time.Second)
		}
		must.ErrorIs(t, d.Round(t.Context()), lease.ErrNotHeld)
		must.EqOp(t, 0, w.starts)
	})
}

// A holder whose lease was taken while its own clock, being slow, still shows a valid grant must not carry out a plan.
func TestDuty_LeaseTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.rate = 30
		d, l := w.duty("a", nil)
		must.NoError(t, l.Step(t.Context()))
		time.Sleep(3 * time.Second)
		must.NoError(t, l.Step(t.Context()))
		store := objstore.NewClient("http://store", &http.Client{Transport: w})
		held, err := store.Get(t.Context(), "lease/pool")
		must.NoError(t, err)
		taken := bytes.Replace(held.Value, []byte("\x61a"), []byte("\x61b"), 1)
		_, err = store.Put(t.Context(), "lease/pool", taken, held.Version)
		must.NoError(t, err)
		_, ok := l.Held()
		must.True(t, ok)
		must.ErrorIs(t, d.Round(t.Context()), lease.ErrNotHeld)
		must.EqOp(t, 0, w.starts)
	})
}

// A drain planned while an endpoint was alive must not be carried out once that endpoint is gone.
func TestStillValid_InstanceGone(t *testing.T) {
	live := func(id, version string) cloud.Instance {
		return cloud.Instance{ID: id, Version: version, Assigned: "v1", State: cloud.StateLive}
	}
	planned := []cloud.Instance{live("a", "v1"), live("b", "v1"), live("c", ""), live("d", "")}
	p := Plan{Drains: []string{"a"}, Stops: []string{"b"}, Loads: []Load{{"c", "s", "v1"}, {"d", "s", "v1"}}}
	got := stillValid(p, planned, []cloud.Instance{live("a", "v1"), live("c", ""), live("d", "v1")})
	must.Eq(t, Plan{Stops: []string{}, Loads: []Load{{"c", "s", "v1"}}}, got)
}

// fakeEngine ignores or checks tokens as told and keeps the orders.
type fakeEngine struct {
	orders []engine.Order
	reject bool
	deaf   bool
}

func (f *fakeEngine) Order(_ context.Context, _ string, o engine.Order) error {
	f.orders = append(f.orders, o)
	if f.reject {
		return ErrStaleToken
	}
	return nil
}

func (f *fakeEngine) Serving(context.Context, string) (engine.Serving, error) {
	if f.deaf || len(f.orders) == 0 {
		return engine.Serving{}, nil
	}
	return engine.Serving{Loading: f.orders[len(f.orders)-1].Version}, nil
}

// An engine that doesn't check tokens or senders must get no order while one of the previous holder may arrive, must be
// read back, and must not be believed when it rejects.
func TestOrder_Untrusted(t *testing.T) {
	both := config.EndpointChecks{Fencing: true, Sender: true}
	for _, checks := range []config.EndpointChecks{{}, {Fencing: true}, {Sender: true}, both} {
		synctest.Test(t, func(t *testing.T) {
			trust := checks == both
			g := lease.Grant{Token: 2, PreviousEnd: time.Now().Add(time.Second)}
			send := func(f *fakeEngine) error {
				return order(t.Context(), f, g, checks, "x", Load{Instance: "x", Service: "s", Version: "v1"})
			}
			early := &fakeEngine{}
			must.EqOp(t, !trust, errors.Is(send(early), errTooEarly))
			must.EqOp(t, trust, len(early.orders) == 1)
			time.Sleep(time.Second + orderTimeout)
			must.NoError(t, send(&fakeEngine{}))
			must.EqOp(t, !trust, errors.Is(send(&fakeEngine{deaf: true}), errNotLoading))
			must.EqOp(t, trust, errors.Is(send(&fakeEngine{reject: true}), ErrStaleToken))
		})
	}
}

// Demand of a day must be the next day's profile, whoever holds the duty, and an older gap must not look like one.
func TestProfiles_NextDay(t *testing.T) {
	w := newWorld()
	store := objstore.NewClient("http://store", &http.Client{Transport: w})
	day := time.Date(2026, 3, 2, 4, 30, 0, 0, time.UTC)
	first := profiles{store: store, rows: map[string]*profileRow{}}
	_, err := first.observe(t.Context(), day, "chat", 42)
	must.NoError(t, err)
	for days, want := range map[int]float64{1: 42, 2: 0} {
		next := profiles{store: store, rows: map[string]*profileRow{}}
		row, err := next.get(t.Context(), "chat")
		must.NoError(t, err)
		row.observe(day.AddDate(0, 0, days), 1)
		yesterday := row.yesterday()
		must.EqOp(t, want, slices.Max(yesterday[:]))
		must.EqOp(t, want, yesterday[step(day)])
	}
}
