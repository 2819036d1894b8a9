package forward_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/upstream"
)

// newZonedHarness is newHarness with each endpoint in a zone of its own, which has its name.
func newZonedHarness(t *testing.T, endpoints int, script func(a *arrival), change ...func(*forward.Config)) *harness {
	t.Helper()
	w := newHarness(t, 0, script, change...)
	for i := range endpoints {
		id := fmt.Sprintf("e%d", i)
		w.fleet.Put(fleet.Entry{ID: id, Service: service, Address: w.listen(id, script), Slots: 8, Zone: id})
	}
	return w
}

// withholdOthers evacuates the zones of all endpoints but one, or makes them cold.
func (w *harness) withholdOthers(id string, cold bool) {
	var zones []string
	for _, e := range w.fleet.All() {
		if e.ID != id && cold {
			makeCold(e)
		} else if e.ID != id {
			zones = append(zones, e.Zone)
		}
	}
	w.fleet.SetEvacuated(zones, time.Now())
}

// Guards against a request that reaches an evacuated zone, or a cold endpoint without a permit, by a repeat, a resume, an
// offer or a move, against a run that is cut because its zone is evacuated, and against endpoints that get no work after the
// evacuation has ended.
func TestServe_EvacuatedZones(t *testing.T) {
	for name, c := range map[string]struct {
		route string
		first func(w *harness, a *arrival) // after the zones of the other endpoints were evacuated
		want  string                       // what the caller gets
	}{
		"running request": {"once", func(_ *harness, a *arrival) { a.reply(http.StatusOK, "done") }, "done"},
		"own zone evacuated": {"once", func(w *harness, a *arrival) {
			w.fleet.SetEvacuated([]string{"e0", "e1", "e2"}, time.Now())
			a.reply(http.StatusOK, "done")
		}, "done"},
		"rejected":      {"safe", func(_ *harness, a *arrival) { a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1") }, ""},
		"lost":          {"safe", func(_ *harness, a *arrival) { _ = a.conn.Close() }, ""},
		"silent answer": {"safe", func(_ *harness, a *arrival) { time.Sleep(400 * time.Millisecond); a.reply(http.StatusOK, "late") }, "late"},
		"lost stream":   {"resume", func(_ *harness, a *arrival) { a.stream(); a.chunk(event(1)); _ = a.conn.Close() }, event(1)},
		"silent stream": {"resume", func(_ *harness, a *arrival) {
			a.stream()
			a.chunk(event(1))
			time.Sleep(700 * time.Millisecond)
			a.chunk(event(2))
			a.end()
		}, event(1) + event(2)},
		"leaving endpoint": {"stream", func(w *harness, a *arrival) {
			a.stream()
			a.chunk(event(1))
			w.fleet.MarkLeaving(a.endpoint, 0, time.Now().Add(moveSoon))
			time.Sleep(300 * time.Millisecond)
			a.chunk(event(2))
			a.end()
		}, event(1) + event(2)},
	} {
		for _, cold := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, cold %v", name, cold), func(t *testing.T) {
				var first atomic.Value
				var w *harness
				w = newZonedHarness(t, 3, func(a *arrival) {
					if first.CompareAndSwap(nil, a.endpoint) {
						w.withholdOthers(a.endpoint, cold)
						c.first(w, a)
						return
					}
					a.reply(http.StatusOK, "again")
				}, func(c *forward.Config) {
					c.Mover = &silentMover{stop: func() { t.Error("the run was moved") }}
					c.Cold = &coldPermits{}
				})
				w.table.Services[service].Engine, w.table.Services[service].ColdPerSecond = engine(), 4
				got := w.send(t.Context(), c.route)
				if c.want != "" {
					must.Eq(t, c.want, got.body.String())
				}
				w.mu.Lock()
				for _, id := range w.arrivals {
					must.Eq(t, first.Load().(string), id)
				}
				w.mu.Unlock()
				w.table.Services[service].ColdPerSecond = 0
				w.fleet.SetEvacuated(nil, time.Now())
				must.Len(t, 3, w.fleet.All())
				must.Eq(t, "again", w.send(t.Context(), "once").body.String())
			})
		}
	}
}

// moveSoon is a stay of a leaving endpoint after which its runs are moved at once.
const moveSoon = time.Second

// Guards against callers that wait for endpoints, or are told that their request may have run, while all endpoints of their
// service are in evacuated zones.
func TestServe_AllZonesEvacuated(t *testing.T) {
	w := newZonedHarness(t, 2, func(a *arrival) { a.reply(http.StatusOK, "x") })
	w.table.Routes[0].TargetLatency = 8 * time.Second // a wait for an endpoint would take a second
	w.fleet.SetEvacuated([]string{"e0", "e1", "unknown"}, time.Now())
	got := w.send(t.Context(), "once")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, problem.NoEndpoint, problem.KindOf(got.refusal.Err))
	must.Positive(t, got.refusal.RetryAfter)
	must.Less(t, 200*time.Millisecond, got.took)
	must.Eq(t, 0, w.arrivalCount())
	must.Eq(t, 0, w.quotaUsed)
}

// Guards against a request that reaches an evacuated zone because its endpoint was chosen, and its connection was being
// opened, before the evacuation was known, and against one that is then refused though another zone can serve it.
func TestServe_EvacuatedWhileConnecting(t *testing.T) {
	w := newZonedHarness(t, 2, func(a *arrival) { a.reply(http.StatusOK, "x") })
	var dials atomic.Int32
	for _, e := range w.fleet.Service(service) {
		e.Pool = upstream.NewPool(e.Address, upstream.Settings{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if dials.Add(1) == 1 {
				w.fleet.SetEvacuated([]string{e.Zone}, time.Now())
			}
			return upstream.DialTCP(ctx, address)
		}})
	}
	for _, route := range []string{"once", "safe", "stream"} {
		dials.Store(0)
		w.fleet.SetEvacuated(nil, time.Now())
		before := w.retries
		got := w.send(t.Context(), route)
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, before, w.retries) // nothing was sent twice
		evacuated := w.fleet.Evacuated()
		must.Len(t, 1, evacuated)
		w.mu.Lock()
		must.NotEq(t, evacuated[0], w.arrivals[len(w.arrivals)-1])
		w.mu.Unlock()
		for _, e := range w.fleet.All() {
			must.False(t, e.Stats.Snapshot(time.Now()).Avoided)
			e.Pool.DropIdle() // the next request opens a connection again
		}
	}
}

// evacuatingMover evacuates the zones of the endpoints that it gets before it returns.
type evacuatingMover struct {
	fleet   *fleet.Table
	both    bool
	once    sync.Once
	stopped chan struct{} // closed by the first move
}

func (m *evacuatingMover) Move(_ context.Context, _ string, from, to *fleet.Endpoint) (string, error) {
	zones := []string{to.Zone}
	if m.both {
		zones = append(zones, from.Zone)
	}
	m.fleet.SetEvacuated(zones, time.Now())
	m.once.Do(func() { close(m.stopped) })
	return "ref", nil
}

// Guards against a moved run that continues in a zone that was evacuated during the move, and against one that is lost
// although it may continue where it came from, or be resumed elsewhere.
func TestServe_EvacuatedDuringMove(t *testing.T) {
	for _, c := range []struct {
		route, want string
		both        bool
	}{
		{"stream", event(1) + event(2), false}, {"stream", event(1), true}, {"resume", event(1) + event(2), true},
	} {
		t.Run(fmt.Sprintf("%s, both %v", c.route, c.both), func(t *testing.T) {
			m := &evacuatingMover{both: c.both, stopped: make(chan struct{})}
			var w *harness
			w = newZonedHarness(t, 3, func(a *arrival) {
				a.stream()
				if a.after != "" {
					a.chunk(event(2))
					a.end()
					return
				}
				a.chunk(event(1))
				w.fleet.MarkLeaving(a.endpoint, 0, time.Now().Add(moveSoon))
				<-m.stopped
				_ = a.conn.Close()
			}, func(c *forward.Config) { c.Mover = m })
			m.fleet = w.fleet
			w.table.Services[service].Engine = engine()
			w.table.Routes[2].Timeout, w.table.Routes[3].Timeout = 3*time.Second, 3*time.Second
			got := w.send(t.Context(), c.route)
			must.Eq(t, c.want, got.body.String())
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, id := range w.arrivals[1:] {
				must.SliceNotContains(t, w.fleet.Evacuated(), id)
			}
		})
	}
}

// Guards against a zone that gets its whole load at the moment of its return, and against one that stays idle then while
// the other zones have no free slot.
func TestServe_ZoneReturnsInSteps(t *testing.T) {
	w := newZonedHarness(t, 2, func(a *arrival) { a.reply(http.StatusOK, "x") })
	w.fleet.SetEvacuated([]string{"e1"}, time.Now())
	w.fleet.SetEvacuated(nil, time.Now())
	returned := func(requests int) (n int) {
		before := w.arrivalCount()
		for i := range requests {
			must.Eq(t, http.StatusOK, w.sendRequest(t.Context(), "once", &forward.Request{ID: fmt.Sprintf("r%d", i)}).status)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, id := range w.arrivals[before:] {
			if id == "e1" {
				n++
			}
		}
		return n
	}
	must.LessEq(t, 35, returned(100)) // at most a quarter, by chance somewhat more
	for range 8 {
		w.fleet.Service(service)[0].Stats.Begin(0)
	}
	must.Greater(t, 60, returned(100))
}

// Guards against a request that reaches a region that its route or workspace does not allow, by its first attempt, a
// repeat, a resume, an offer or a move, and against one that waits though no allowed region can serve it.
func TestServe_AllowedRegions(t *testing.T) {
	regions := map[string]string{"e0": "r1", "e1": "r2", "e2": "r2"} // the region of e3 is unknown
	for _, c := range []struct {
		route, workspace, want []string // want: endpoints
	}{
		{nil, nil, []string{"e0", "e1", "e2", "e3"}}, {[]string{"r1"}, nil, []string{"e0"}}, {nil, []string{"r2"}, []string{"e1", "e2"}},
		{[]string{"r1", "r2"}, []string{"r2", "r3"}, []string{"e1", "e2"}}, {[]string{"r1"}, []string{"r2"}, nil}, {[]string{"r3"}, nil, nil},
	} {
		for name, first := range map[string]func(w *harness, a *arrival){
			"once": func(_ *harness, a *arrival) { a.reply(http.StatusOK, "x") },
			"safe": func(_ *harness, a *arrival) { a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1") },
			"resume": func(_ *harness, a *arrival) {
				a.stream()
				a.chunk(event(1))
				time.Sleep(300 * time.Millisecond)
				_ = a.conn.Close()
			},
			"stream": func(w *harness, a *arrival) {
				a.stream()
				a.chunk(event(1))
				w.fleet.MarkLeaving(a.endpoint, 0, time.Now().Add(moveSoon))
				time.Sleep(200 * time.Millisecond)
				_ = a.conn.Close()
			},
		} {
			t.Run(fmt.Sprintf("%v %v %s", c.route, c.workspace, name), func(t *testing.T) {
				t.Parallel()
				var w *harness
				var targets sync.Map
				w = newZonedHarness(t, 4, func(a *arrival) { first(w, a) }, func(cfg *forward.Config) {
					cfg.Regions, cfg.Mover = regions, moverFunc(func(to *fleet.Endpoint) { targets.Store(to.ID, true) })
				})
				w.table.Services[service].Engine = engine()
				for i := range w.table.Routes {
					w.table.Routes[i].AllowedRegions = c.route
				}
				w.table.Workspaces[0].AllowedRegions = c.workspace
				for range 5 {
					got := w.send(t.Context(), name)
					if c.want == nil {
						must.Eq(t, http.StatusServiceUnavailable, got.status)
						must.Less(t, 30*time.Millisecond, got.took)
					}
				}
				w.mu.Lock()
				defer w.mu.Unlock()
				for _, id := range w.arrivals {
					must.SliceContains(t, c.want, id)
				}
				targets.Range(func(id, _ any) bool { must.SliceContains(t, c.want, id.(string)); return true })
				must.Eq(t, c.want == nil, len(w.arrivals) == 0)
			})
		}
	}
}

// moverFunc is called with the target of each move.
type moverFunc func(to *fleet.Endpoint)

func (m moverFunc) Move(_ context.Context, _ string, _, to *fleet.Endpoint) (string, error) {
	m(to)
	return "ref", nil
}

// fullMover stops the run at its first call, and finds capacity for it only after some calls.
type fullMover struct {
	calls   atomic.Int32
	refuses int32
	stopped chan struct{} // closed by the first call
}

func (m *fullMover) Move(context.Context, string, *fleet.Endpoint, *fleet.Endpoint) (string, error) {
	n := m.calls.Add(1)
	if n == 1 {
		close(m.stopped)
	}
	if n <= m.refuses {
		return "ref", errors.New("no capacity")
	}
	return "ref", nil
}

// Guards against a stopped run of an evacuated zone that is given up because no endpoint has capacity for it at the first try.
func TestServe_MoveFromEvacuatedZoneIsTriedAgain(t *testing.T) {
	m := &fullMover{refuses: 2, stopped: make(chan struct{})}
	var w *harness
	w = newZonedHarness(t, 3, func(a *arrival) {
		a.stream()
		if a.from != "" {
			a.chunk(event(2))
			a.end()
			return
		}
		a.chunk(event(1))
		w.fleet.SetEvacuated([]string{a.endpoint}, time.Now())
		w.fleet.MarkLeaving(a.endpoint, 0, time.Now().Add(moveSoon))
		<-m.stopped
		_ = a.conn.Close()
	}, func(c *forward.Config) { c.Mover = m })
	w.table.Services[service].Engine = engine()
	w.table.Routes[2].Timeout = 10 * time.Second
	must.Eq(t, event(1)+event(2), w.send(t.Context(), "stream").body.String())
	must.Eq(t, 3, m.calls.Load())
}
