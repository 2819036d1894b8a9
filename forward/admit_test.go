package forward_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/routing"
)

// newShortHarness returns a harness whose endpoints report that requests wait. Once it is returned, the forwarder knows
// it, and endpoints answer when release is closed.
func newShortHarness(t *testing.T) (w *harness, release func()) {
	var held atomic.Bool
	free := make(chan struct{})
	w = newHarness(t, 8, func(a *arrival) {
		if held.Load() {
			<-free
		}
		a.reply(http.StatusOK, "ok", "Load", "8,16,8")
	})
	tag := w.route("tag", routing.Idempotent, 1, false)
	tag.Priority = 2
	hurried := tag
	hurried.Name, hurried.Prefix = "hurried", "/hurried/"
	w.table = routing.New(routing.Table{Services: w.table.Services, Routes: append(w.table.Routes, tag, hurried), Workspaces: w.table.Workspaces})
	w.setPatient()
	w.table.Routes[5].Timeout = 50 * time.Millisecond
	for range 15 {
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { w.send(t.Context(), "once"); w.send(t.Context(), "tag") })
		}
		wg.Wait()
		time.Sleep(30 * time.Millisecond)
	}
	held.Store(true)
	return w, sync.OnceFunc(func() { close(free) })
}

// Guards against requests that are all sent under shortage, against a wait that outlasts the caller, and against a
// rejection that uses the retry budget.
func TestServe_Shortage(t *testing.T) {
	w, release := newShortHarness(t)
	defer release()
	w.setRetries(0)
	before := w.arrivalCount()
	ctx, leave := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for range 40 {
		callers.Go(func() { w.send(ctx, "tag") })
	}
	sent := -1
	for n := w.arrivalCount(); n != sent; n = w.arrivalCount() { // until no more are sent
		sent = n
		time.Sleep(300 * time.Millisecond)
	}
	must.Less(t, 40, sent-before)
	callers.Go(func() { w.send(ctx, "once") })
	for start := time.Now(); w.arrivalCount() == sent && time.Since(start) < 5*time.Second; {
		time.Sleep(10 * time.Millisecond)
	}
	must.Eq(t, sent+1, w.arrivalCount()) // the urgent one goes at once

	got := w.send(t.Context(), "hurried")
	must.Eq(t, problem.Overloaded, problem.KindOf(got.refusal.Err))
	must.Positive(t, got.refusal.RetryAfter)
	leave()
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("requests wait on after their callers have left")
	}
}

// Guards against a place in the window of a service that is kept after a panic: the HTTP server recovers, and the window
// would be full for good under shortage.
func TestServe_PanicReleasesPlace(t *testing.T) {
	w := newHarness(t, 1, func(a *arrival) { a.reply(http.StatusOK, "x") }, func(cfg *forward.Config) {
		cfg.OnStarted = func(string, time.Time) { panic(http.ErrAbortHandler) }
	})
	func() {
		defer func() { must.NotNil(t, recover()) }()
		w.send(t.Context(), "once")
	}()
	must.Eq(t, 0, w.forwarder.Running(service))
}
