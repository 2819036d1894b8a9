package forward_test

import (
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
	"github.com/trefoillug/trefoillug/problem"
)

func reset(a *arrival) {
	_ = a.conn.(*net.TCPConn).SetLinger(0)
	_ = a.conn.Close()
}

// Guards against a second run of a request that may run only once, a false claim that a request did not run, and too
// many or too few repeats of a request that may run again.
func TestServe_RouteKinds(t *testing.T) {
	fail := func(a *arrival) { a.reply(http.StatusInternalServerError, "no") }
	full := func(a *arrival) { a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1") }
	for _, c := range []struct {
		name, route string
		script      func(a *arrival)
		arrivals    int
		status      int
	}{
		{"once, connection lost", "once", reset, 1, http.StatusBadGateway},
		{"once, failed", "once", fail, 1, http.StatusInternalServerError},
		{"once, no capacity", "once", full, 3, http.StatusServiceUnavailable},
		{"safe, connection lost", "safe", reset, 2, http.StatusBadGateway},
		{"safe, failed", "safe", fail, 2, http.StatusInternalServerError},
		{"stream, connection lost", "stream", reset, 1, http.StatusBadGateway},
		{"resumable, connection lost", "resume", reset, 2, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t, 4, c.script)
			got := w.send(t.Context(), c.route)
			must.NoError(t, got.broken)
			must.Eq(t, c.status, got.status)
			must.Eq(t, c.arrivals, w.arrivalCount())
			if c.status == http.StatusServiceUnavailable {
				must.Positive(t, got.refusal.RetryAfter)
				must.Zero(t, w.quotaUsed) // a request that did not run uses no quota
			}
		})
	}
}

// Guards against the answer to a repeated request not reaching the caller.
func TestServe_RepeatDelivers(t *testing.T) {
	w := newHarness(t, 2, firstArrival(reset))
	got := w.send(t.Context(), "safe")
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "yes", got.body.String())
	must.Eq(t, 1, w.started)
}

// Guards against repeats beyond the budget that all instances share.
func TestServe_RetryBudget(t *testing.T) {
	w := newHarness(t, 4, reset)
	w.retries = 0
	must.Eq(t, http.StatusBadGateway, w.send(t.Context(), "safe").status)
	must.Eq(t, 1, w.arrivalCount())
}

// Guards against an answer long after the route's timeout, and against one that states whether the request ran although
// this is unknown.
func TestServe_RouteTimeout(t *testing.T) {
	w := newHarness(t, 2, func(*arrival) {})
	got := w.send(t.Context(), "once")
	must.Eq(t, http.StatusGatewayTimeout, got.status)
	must.Between(t, 790*time.Millisecond, got.took, time.Second)
}

// Guards against an unresponsive endpoint that holds up an idempotent request until its deadline.
func TestServe_RepeatsAfterUnresponsiveEndpoint(t *testing.T) {
	w := newHarness(t, 2, firstArrival(func(*arrival) {}))
	got := w.send(t.Context(), "safe")
	must.Eq(t, http.StatusOK, got.status)
	must.Less(t, 400*time.Millisecond, got.took)
}

// Guards against an endpoint that keeps running a request after the caller has left, also before it has answered.
func TestServe_CallerLeaves(t *testing.T) {
	for _, route := range []string{"once", "safe", "stream"} {
		closed := make(chan struct{}, 4)
		w := newHarness(t, 2, func(a *arrival) {
			<-a.connClosed
			closed <- struct{}{}
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { time.Sleep(50 * time.Millisecond); cancel() }()
		w.send(ctx, route)
		select {
		case <-closed:
		case <-time.After(500 * time.Millisecond):
			t.Fatalf("route %s: the endpoint still runs the request half a second after the caller left", route)
		}
		must.Eq(t, 1, w.arrivalCount())
	}
}

// Guards against answering 404 or 401 before the first configuration is loaded, which may allow the request.
func TestServe_BeforeConfiguration(t *testing.T) {
	w := newHarness(t, 1, reset)
	w.table = nil
	got := w.send(t.Context(), "once")
	must.Eq(t, problem.NotReady, problem.KindOf(got.refusal.Err))
	must.Positive(t, got.refusal.RetryAfter)
	must.Zero(t, w.arrivalCount())
}

// Guards against a long wait of the caller for a service without endpoints.
func TestServe_NoEndpoint(t *testing.T) {
	w := newHarness(t, 0, reset)
	got := w.send(t.Context(), "once")
	must.Eq(t, problem.NoEndpoint, problem.KindOf(got.refusal.Err))
	must.Less(t, 100*time.Millisecond, got.took)
}

// Guards against events that are lost, duplicated or split when a stream is resumed at another endpoint.
func TestServe_StreamResumes(t *testing.T) {
	for name, cut := range map[string]func(a *arrival){
		"reset":                 reset,
		"end within an event":   func(a *arrival) { a.chunk("id: 4\nda"); a.end() },
		"silent":                func(*arrival) {},
		"broken within a chunk": func(a *arrival) { _, _ = a.conn.Write([]byte("ff\r\nid: 4\n")); _ = a.conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, 2, func(a *arrival) {
				a.stream()
				if a.after == "" {
					a.chunk(event(1) + event(2)[:5])
					a.chunk(event(2)[5:] + event(3))
					time.Sleep(20 * time.Millisecond)
					cut(a)
					return
				}
				if a.after != "3" {
					t.Errorf("resumed after event %q", a.after)
				}
				a.chunk(event(4)[:5])
				a.chunk(event(4)[5:] + event(5))
				a.end()
			})
			got := w.send(t.Context(), "resume")
			must.NoError(t, got.broken)
			must.Eq(t, event(1)+event(2)+event(3)+event(4)+event(5), got.body.String())
		})
	}
}

// Guards against a stream that breaks off, may not be resumed, and ends as if it were complete.
func TestServe_StreamBreaksOff(t *testing.T) {
	w := newHarness(t, 2, func(a *arrival) {
		a.stream()
		a.chunk(event(1))
		time.Sleep(20 * time.Millisecond)
		reset(a)
	})
	got := w.send(t.Context(), "stream")
	must.Error(t, got.broken)
	must.Eq(t, event(1), got.body.String())
	must.Eq(t, 1, w.arrivalCount())
}

// mover returns from each Move immediately with ref and err, and stops the run if it was moved or ref is set.
type mover struct {
	err  error
	ref  string
	stop func()
}

func (m *mover) Move(context.Context, string, *fleet.Endpoint, *fleet.Endpoint) (string, error) {
	if m.err == nil || m.ref != "" {
		m.stop()
	}
	return m.ref, m.err
}

// Guards against a run that stops at a leaving endpoint and is not continued, also when no other endpoint has capacity
// for it.
func TestServe_StoppedRunGoesOn(t *testing.T) {
	for name, c := range map[string]struct {
		moveErr    error
		rejections int32 // of the moved run
	}{
		"moved": {}, "no capacity anywhere": {moveErr: problem.New(problem.Overloaded, "no room")},
		"rejected once": {rejections: 1}, "rejected three times": {rejections: 3},
	} {
		t.Run(name, func(t *testing.T) {
			stopped := make(chan struct{})
			m := &mover{err: c.moveErr, ref: "ref"}
			var rejected atomic.Int32
			var once bool
			m.stop = func() {
				if !once {
					once = true
					close(stopped)
				}
			}
			began := make(chan string, 1)
			w := newHarness(t, 3, func(a *arrival) {
				if a.after != "" && rejected.Add(1) <= c.rejections {
					a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1")
					return
				}
				a.stream()
				if a.after == "" {
					a.chunk(event(1))
					began <- a.endpoint
					select {
					case <-stopped:
					case <-a.connClosed:
					}
					_ = a.conn.Close()
					return
				}
				a.chunk(event(2))
				a.end()
			}, func(c *forward.Config) { c.Mover = m })
			w.table.Services[service].Engine = engine()
			w.table.Routes[2].Timeout = 3 * time.Second // the move comes about a second after the notice
			go func() {
				id := <-began
				w.fleet.MarkLeaving(id, 0, time.Time{})
			}()
			got := w.send(t.Context(), "stream")
			must.NoError(t, got.broken)
			must.Eq(t, event(1)+event(2), got.body.String())
		})
	}
}

// Guards against a run more than the route allows: a stopped run that goes on nowhere is given up without being counted.
func TestServe_StoppedRunThatIsGivenUpCounts(t *testing.T) {
	for _, name := range []string{"rejected", "zones evacuated"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stopped := make(chan struct{})
			evacuating := &evacuatingMover{both: true, stopped: stopped}
			var m forward.Mover = evacuating
			if name == "rejected" {
				m = &mover{ref: "ref", stop: sync.OnceFunc(func() { close(stopped) })}
			}
			began := make(chan string, 1)
			var runs atomic.Int32
			w := newZonedHarness(t, 5, func(a *arrival) {
				if a.from != "" {
					a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1")
					return
				}
				n := int(runs.Add(1))
				a.stream()
				a.chunk(event(n))
				switch n {
				case 1:
					reset(a)
				case 2:
					began <- a.endpoint
					<-stopped
					_ = a.conn.Close()
				default:
					a.end()
				}
			}, func(c *forward.Config) { c.Mover = m })
			evacuating.fleet = w.fleet
			w.setPatient()
			w.table.Services[service].Engine = engine()
			go func() { w.fleet.MarkLeaving(<-began, 0, time.Now().Add(moveSoon)) }()
			got := w.sendRequest(t.Context(), "resume", &forward.Request{Deadline: time.Now().Add(20 * time.Second)})
			must.Error(t, got.broken)
			must.Eq(t, event(1)+event(2), got.body.String())
			must.Eq(t, 2, runs.Load()) // what the route allows
		})
	}
}

// slowMover calls lost, which breaks the run's connection, and fails 50 ms later.
type slowMover struct{ lost func() }

func (m *slowMover) Move(context.Context, string, *fleet.Endpoint, *fleet.Endpoint) (string, error) {
	m.lost()
	time.Sleep(50 * time.Millisecond)
	return "", forward.ErrNotRunning
}

// Guards against a caller that waits for further tries to move a run whose connection is already lost.
func TestServe_LostRunIsNotMovedAgain(t *testing.T) {
	lost := make(chan struct{})
	var ended time.Time
	m := &slowMover{}
	m.lost = sync.OnceFunc(func() { ended = time.Now(); close(lost) })
	began := make(chan string, 1)
	w := newHarness(t, 3, func(a *arrival) {
		a.stream()
		a.chunk(event(1))
		began <- a.endpoint
		<-lost
		reset(a)
	}, func(c *forward.Config) { c.Mover = m })
	w.table.Services[service].Engine = engine()
	w.table.Routes[2].Timeout = 4 * time.Second
	go func() {
		id := <-began
		w.fleet.MarkLeaving(id, 0, time.Time{})
	}()
	got := w.send(t.Context(), "stream")
	must.Error(t, got.broken)
	must.Less(t, 300*time.Millisecond, time.Since(ended))
}
