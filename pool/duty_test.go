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

// testEnv holds the stand-ins of platform, stores and engines. They are called in memory, so that tests run in virtual
// time.
type testEnv struct {
	mu      sync.Mutex
	cloud   *standin.Cloud
	weights *standin.Weights
	hosts   map[string]http.Handler
	leaving map[string]time.Time // by instance: when it was drained
	rate    float64
	starts  int // start requests that arrived
	stops   map[string]time.Time
	checks  config.EndpointChecks
	log     *logrus.Logger
}

const (
	testStartTime   = 2 * time.Minute
	testDrainLimit  = time.Minute
	testWeightBytes = 20.0 // bytes, loaded at 1 byte a second
)

func newTestEnv() *testEnv {
	w := &testEnv{
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
	w.cloud.SetOffers(offers, testStartTime, w.startEngine)
	return w
}

// startEngine starts an engine for an instance. The engine updates its list entry with the version that it has loaded.
func (w *testEnv) startEngine(in cloud.Instance) cloud.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	in.Address = in.ID
	w.hosts[in.Address] = standin.NewEngine(standin.EngineConfig{ID: in.ID, Fencing: w.checks.Fencing, Load: func(o engine.Order) {
		w.weights.Load(testWeightBytes)
		in.Version = o.Version
		body := fmt.Sprintf(`{"id":%q,"address":%q,"failure_domain":%q,"role":"endpoint","class":"c","price":%f,"reclaimable":%t,
			"service":%q,"version":%q,"state":"live"}`, in.ID, in.Address, in.FailureDomain, in.Price, in.Reclaimable, in.Service, in.Version)
		w.cloud.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPut, "/instances/"+in.ID, strings.NewReader(body)))
	}})
	return in
}

// RoundTrip implements http.RoundTripper.
func (w *testEnv) RoundTrip(r *http.Request) (resp *http.Response, err error) {
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

func (w *testEnv) setFaults(body string) {
	w.cloud.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/faults", bytes.NewBufferString(body)))
}

func (w *testEnv) services() []Service {
	w.mu.Lock()
	defer w.mu.Unlock()
	return []Service{{
		Name: "chat", Checks: w.checks, RecentRate: w.rate, DrainLimit: testDrainLimit,
		Versions: []VersionDemand{{Version: "v1", MaxShare: 1, Needed: true}},
	}}
}

// list returns the instance list after waiting for its lag.
func (w *testEnv) list(t *testing.T) []cloud.Instance {
	time.Sleep(2 * time.Second)
	list, err := cloud.NewClient("http://cloud", &http.Client{Transport: w}).Instances(t.Context())
	must.NoError(t, err)
	return list
}

// duty returns a Duty and its lease for a candidate.
func (w *testEnv) duty(id string, lister cloud.InstanceLister) (*Duty, *lease.Lease) {
	hc := &http.Client{Transport: w}
	client := cloud.NewClient("http://cloud", hc)
	if lister == nil {
		lister = client
	}
	store := objstore.NewClient("http://store", hc)
	l := lease.New(lease.Settings{Store: store, Duty: "pool", Candidate: id, Members: func() []string { return []string{"a", "b"} }})
	return New(Settings{
		Lease: l, Cloud: client, Lister: lister, Engines: EngineClient{hc}, Store: store, Services: w.services, Log: w.log,
		StartTime: testStartTime, WeightRate: 1, WeightBytes: testWeightBytes,
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

// runDuties runs candidates for the given time. Their starts are staggered so that no two of their timers coincide with
// each other or with the end: with go1.26 the race detector then crashed in one run of ten (SIGSEGV in its stack depot,
// in a timer of the bubble).
func (w *testEnv) runDuties(ctx context.Context, length time.Duration, ids ...string) {
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

// Guards against a pool that lacks capacity or starts an instance twice because of refused starts and lost responses,
// and against stopping an endpoint while its requests may still run.
func TestDuty_GrowsAndShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv()
		w.rate = 30
		w.setFaults(`{"refuse_starts":["fd2"],"lose_starts":true}`)
		time.AfterFunc(25*time.Second, func() { w.setFaults(`{"refuse_starts":["fd2"]}`) })
		w.runDuties(t.Context(), 20*time.Minute, "a", "b")
		total, byDomain := serving(w.list(t))
		must.MapNotContainsKey(t, byDomain, "fd2")
		for domain, c := range byDomain {
			must.GreaterEq(t, 30*growthFactor/defaultUsable, total-c, must.Sprint("without ", domain))
		}
		offers := slices.DeleteFunc(dayOffers(), func(o Offer) bool { return o.FailureDomain == "fd2" })
		demand := Demand{Service: "chat", Version: "v1", RecentRate: 30, MaxShare: 1}
		must.EqOp(t, len(NextPlan(time.Now(), Input{Demands: []Demand{demand}, Offers: offers}).Starts), int(total/dayCapacity))
		must.MapEmpty(t, w.leaving, must.Sprint("drained, so started twice"))
		w.setFaults(`{}`)
		w.rate = 1
		w.runDuties(t.Context(), time.Hour, "a", "b")
		must.Len(t, 2, w.list(t))
		for id, at := range w.stops {
			must.GreaterEq(t, testDrainLimit, at.Sub(w.leaving[id]), must.Sprint(id))
		}
	})
}

// pausedLister pauses in its second call, which comes after the revalidation of the lease.
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

// Guards against a holder that is paused between planning and its first action, and acts after its lease has expired.
func TestDuty_PausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv()
		w.rate = 30
		d, l := w.duty("a", &pausedLister{InstanceLister: cloud.NewClient("http://cloud", &http.Client{Transport: w})})
		time.Sleep(time.Second)
		for range 10 {
			must.NoError(t, l.Step(t.Context()))
			time.Sleep(time.Second)
		}
		must.ErrorIs(t, d.Round(t.Context()), lease.ErrNotHeld)
		must.EqOp(t, 0, w.starts)
	})
}

// Guards against a holder that carries out a plan after its lease was taken, while its slow clock still shows a valid
// grant.
func TestDuty_LeaseTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv()
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

// Guards against draining an endpoint after another that the plan relied on was removed, and against orders to and
// stops of removed instances.
func TestDropOutdated_InstanceRemoved(t *testing.T) {
	live := func(id, version string) cloud.Instance {
		return cloud.Instance{ID: id, Version: version, Assigned: "v1", State: cloud.StateLive}
	}
	planned := []cloud.Instance{live("a", "v1"), live("b", "v1"), live("c", ""), live("d", "")}
	p := Plan{Drains: []string{"a"}, Stops: []string{"b"}, Loads: []Load{{"c", "s", "v1"}, {"d", "s", "v1"}}}
	got := dropOutdated(p, planned, []cloud.Instance{live("a", "v1"), live("c", ""), live("d", "v1")})
	must.Eq(t, Plan{Stops: []string{}, Loads: []Load{{"c", "s", "v1"}}}, got)
}

// fakeEngine records its orders, and rejects or ignores them if so configured.
type fakeEngine struct {
	orders        []engine.Order
	reject        bool
	ignoresOrders bool
}

func (f *fakeEngine) Order(_ context.Context, _ string, o engine.Order) error {
	f.orders = append(f.orders, o)
	if f.reject {
		return ErrStaleToken
	}
	return nil
}

func (f *fakeEngine) Serving(context.Context, string) (engine.Serving, error) {
	if f.ignoresOrders || len(f.orders) == 0 {
		return engine.Serving{}, nil
	}
	return engine.Serving{Loading: f.orders[len(f.orders)-1].Version}, nil
}

// Guards against ordering an engine that doesn't check tokens or senders while an order of the previous holder may
// still arrive, against not reading its state back, and against taking its rejection for a stale token.
func TestSendOrder_EngineWithoutFencing(t *testing.T) {
	both := config.EndpointChecks{Fencing: true, Sender: true}
	for _, checks := range []config.EndpointChecks{{}, {Fencing: true}, {Sender: true}, both} {
		synctest.Test(t, func(t *testing.T) {
			trust := checks == both
			g := lease.Grant{Token: 2, PreviousEnd: time.Now().Add(time.Second)}
			send := func(f *fakeEngine) error {
				return sendOrder(t.Context(), f, g, checks, "x", Load{Instance: "x", Service: "s", Version: "v1"})
			}
			early := &fakeEngine{}
			must.EqOp(t, !trust, errors.Is(send(early), errTooEarly))
			must.EqOp(t, trust, len(early.orders) == 1)
			time.Sleep(time.Second + orderTimeout)
			must.NoError(t, send(&fakeEngine{}))
			must.EqOp(t, !trust, errors.Is(send(&fakeEngine{ignoresOrders: true}), errNotLoading))
			must.EqOp(t, trust, errors.Is(send(&fakeEngine{reject: true}), ErrStaleToken))
		})
	}
}

// Guards against a profile that is lost when the holder of the duty changes, and against using rates that are older
// than the previous day.
func TestProfiles_NextDay(t *testing.T) {
	w := newTestEnv()
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
		must.EqOp(t, want, yesterday[profileStep(day)])
	}
}
