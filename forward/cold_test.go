package forward_test

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/upstream"
)

// coldPermits is a forward.Cold with permits for this instance and at its peers.
type coldPermits struct {
	mu       sync.Mutex
	own      int
	peers    int
	validFor time.Duration
	nextAt   time.Time // of a further own permit; zero: none
	askAfter time.Duration
}

func (c *coldPermits) Next(_ *fleet.Endpoint, now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own > 0 {
		return now
	}
	if c.isDue(now) {
		return now
	}
	return c.nextAt
}

// isDue reports whether the further own permit is to be had at now.
func (c *coldPermits) isDue(now time.Time) bool { return !c.nextAt.IsZero() && !now.Before(c.nextAt) }

func (c *coldPermits) Take(_ *fleet.Endpoint, now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own <= 0 && c.isDue(now) {
		c.nextAt = time.Time{}
		return now.Add(c.validFor), true
	}
	c.own--
	return now.Add(c.validFor), c.own >= 0
}

func (c *coldPermits) Ask(_ context.Context, endpoints []*fleet.Endpoint) (*fleet.Endpoint, time.Time, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers--; c.peers < 0 {
		return nil, time.Time{}, cmp.Or(c.askAfter, 200*time.Millisecond)
	}
	return endpoints[0], time.Now().Add(c.validFor), 0
}

// newColdHarness is newHarness with limits for cold endpoints.
func newColdHarness(t *testing.T, endpoints int, c *coldPermits, script func(a *arrival)) *harness {
	t.Helper()
	w := newHarness(t, endpoints, script, func(cfg *forward.Config) { cfg.Cold = c })
	w.table.Services[service].ColdPerSecond = 4
	return w
}

// makeCold makes endpoints cold for a minute.
func makeCold(endpoints ...*fleet.Endpoint) {
	for _, e := range endpoints {
		e.RecordSignals(fleet.Signals{Cold: time.Minute}, time.Now())
	}
}

// Guards against requests to cold endpoints without permits, while another endpoint can serve them, and against requests
// that are refused although a permit is to be had.
func TestServe_ColdEndpoints(t *testing.T) {
	c := &coldPermits{validFor: time.Second}
	w := newColdHarness(t, 3, c, func(a *arrival) { a.reply(http.StatusOK, "x") })
	all := w.fleet.Service(service)
	makeCold(all[1:]...)
	for range 20 {
		must.Eq(t, http.StatusOK, w.send(t.Context(), "once").status)
	}
	w.mu.Lock()
	for _, id := range w.arrivals {
		must.Eq(t, all[0].ID, id)
	}
	w.mu.Unlock()

	makeCold(all...)
	c.own = 2
	must.Eq(t, http.StatusOK, w.send(t.Context(), "once").status)
	must.Eq(t, 1, c.own)
	c.own, c.peers = 0, 1
	must.Eq(t, http.StatusOK, w.send(t.Context(), "once").status)
	got := w.send(t.Context(), "once")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Positive(t, got.refusal.RetryAfter)
	must.Less(t, 200*time.Millisecond, got.took) // the next permit comes too late
	must.Eq(t, 22, w.arrivalCount())

	for _, e := range all[:1] { // a cold one with a permit is used while it is expected to be faster
		e.LimitCold(0, time.Now().Add(-time.Second))
		for range e.Slots {
			e.Stats.Begin(0)
		}
	}
	c.own = 1
	must.Eq(t, http.StatusOK, w.send(t.Context(), "once").status)
	must.Eq(t, 0, c.own)
}

// Guards against a request to an endpoint that became cold, or whose permit expired, while its connection was being opened.
func TestServe_ColdWhileConnecting(t *testing.T) {
	c := &coldPermits{}
	w := newColdHarness(t, 2, c, func(a *arrival) { a.reply(http.StatusOK, "x") })
	var first atomic.Value
	for _, e := range w.fleet.Service(service) {
		e.Pool = upstream.NewPool(e.Address, upstream.Settings{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if first.CompareAndSwap(nil, e.ID) {
				makeCold(e)
			}
			return upstream.DialTCP(ctx, address)
		}})
	}
	must.Eq(t, http.StatusOK, w.send(t.Context(), "once").status)
	w.mu.Lock()
	must.NotEq(t, first.Load().(string), w.arrivals[0])
	w.mu.Unlock()
	makeCold(w.fleet.Service(service)...)
	c.peers = 1 // expires at once
	must.Eq(t, http.StatusServiceUnavailable, w.send(t.Context(), "once").status)
	must.Eq(t, 1, w.arrivalCount())
}

// Guards against a request that may be repeated and is refused because the only endpoints that it has not tried are cold and
// without a permit, although the one that it has tried accepts it.
func TestServe_RepeatAtTriedEndpointWhileOthersAreCold(t *testing.T) {
	c := &coldPermits{validFor: time.Second}
	var arrivals atomic.Int32
	w := newColdHarness(t, 2, c, func(a *arrival) {
		if arrivals.Add(1) == 1 {
			a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1")
			return
		}
		a.reply(http.StatusOK, "x")
	})
	makeCold(w.fleet.Service(service)[1])
	must.Eq(t, http.StatusOK, w.send(t.Context(), "safe").status)
	must.Eq(t, 2, w.arrivalCount())
}

// Guards against a request that is refused, because peers have no permit for a long time, although this instance can give
// itself one while the request may wait.
func TestServe_WaitsForOwnColdPermit(t *testing.T) {
	c := &coldPermits{validFor: time.Second, askAfter: time.Second}
	w := newColdHarness(t, 2, c, func(a *arrival) { a.reply(http.StatusOK, "x") })
	w.table.Routes[0].Timeout = time.Minute
	makeCold(w.fleet.Service(service)...)
	c.nextAt = time.Now().Add(50 * time.Millisecond)
	w.table.Routes[0].TargetLatency = 4 * time.Second // so that the request may wait for less than askAfter
	must.Eq(t, http.StatusOK, w.send(t.Context(), "once").status)
}
