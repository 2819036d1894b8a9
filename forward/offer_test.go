package forward_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/forward"
)

// stallThen returns a script that sends the first event, falls silent until resume is closed, and then goes on. Later
// arrivals get the other script.
func stallThen(resume <-chan struct{}, other func(a *arrival)) func(a *arrival) {
	var arrivals atomic.Int32
	return func(a *arrival) {
		if arrivals.Add(1) > 1 {
			other(a)
			return
		}
		a.stream()
		a.chunk(event(1))
		select {
		case <-resume:
			a.chunk(event(2))
			a.end()
		case <-a.connClosed:
		}
	}
}

// continueStream sends the rest of the stream.
func continueStream(a *arrival) {
	a.stream()
	a.chunk(event(2))
	a.end()
}

// Guards against a stream that is given up for silence although the endpoint that was to continue it fails instead.
func TestServe_StalledThenFailure(t *testing.T) {
	for name, other := range map[string]func(a *arrival){
		"server error":       func(a *arrival) { a.reply(http.StatusInternalServerError, "failed") },
		"429 without proof":  func(a *arrival) { a.reply(http.StatusTooManyRequests, "busy") },
		"success, no events": func(a *arrival) { a.reply(http.StatusOK, "{}") },
		"closed":             func(a *arrival) { _ = a.conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			resume := make(chan struct{})
			w := newHarness(t, 2, stallThen(resume, func(a *arrival) { other(a); time.AfterFunc(50*time.Millisecond, func() { close(resume) }) }))
			w.table.Routes[3].Timeout = 3 * time.Second
			got := w.send(t.Context(), "resume")
			must.NoError(t, got.broken)
			must.Eq(t, event(1)+event(2), got.body.String())
			must.Eq(t, 2, w.arrivalCount())
		})
	}
}

// Guards against a second run that goes on when the stalled endpoint does, or a stalled run that goes on when the other
// endpoint has accepted the stream.
func TestServe_OneOfTwoRunsIsCanceled(t *testing.T) {
	t.Run("the stalled endpoint goes on", func(t *testing.T) {
		resume, withdrawn := make(chan struct{}), make(chan struct{})
		w := newHarness(t, 2, stallThen(resume, func(a *arrival) {
			close(resume)
			<-a.connClosed
			close(withdrawn)
		}))
		w.table.Routes[3].Timeout = 3 * time.Second
		got := w.send(t.Context(), "resume")
		must.NoError(t, got.broken)
		must.Eq(t, event(1)+event(2), got.body.String())
		waitClosed(t, withdrawn)
	})
	t.Run("the other endpoint accepts", func(t *testing.T) {
		released := make(chan struct{})
		w := newHarness(t, 2, func(a *arrival) {
			if a.after == "" {
				a.stream()
				a.chunk(event(1))
				<-a.connClosed
				close(released)
				return
			}
			a.stream()
			waitClosed(t, released) // before the first event
			a.chunk(event(2))
			a.end()
		})
		w.table.Routes[3].Timeout = 3 * time.Second
		got := w.send(t.Context(), "resume")
		must.NoError(t, got.broken)
		must.Eq(t, event(1)+event(2), got.body.String())
	})
}

func waitClosed(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(3 * time.Second):
		t.Error("the exchange was not canceled")
	}
}

// Guards against a third run when the stalled endpoint is lost while another one has the request.
func TestServe_LostDuringOffer(t *testing.T) {
	lost := make(chan struct{})
	w := newHarness(t, 3, func(a *arrival) {
		if a.after == "" {
			a.stream()
			a.chunk(event(1))
			select {
			case <-lost:
				_ = a.conn.Close()
			case <-a.connClosed:
			}
			return
		}
		close(lost)
		time.Sleep(100 * time.Millisecond)
		continueStream(a)
	})
	w.table.Routes[3].Timeout = 3 * time.Second
	w.table.Routes[3].MaxAttempts = 3
	got := w.send(t.Context(), "resume")
	must.NoError(t, got.broken)
	must.Eq(t, event(1)+event(2), got.body.String())
	must.Eq(t, 2, w.arrivalCount())
}

// Guards against a stalled stream that runs at more endpoints than its route allows because withdrawn runs aren't counted.
func TestServe_WithdrawnRunsAreCounted(t *testing.T) {
	var arrivals atomic.Int32
	offered := make(chan struct{}, 8)
	w := newHarness(t, 4, func(a *arrival) {
		if arrivals.Add(1) > 1 {
			offered <- struct{}{}
			<-a.connClosed
			return
		}
		a.stream()
		a.chunk(event(1))
		for n := 2; n < 4; n++ {
			select {
			case <-offered:
			case <-time.After(silence):
			}
			a.chunk(event(n))
		}
		a.end()
	})
	w.table.Routes[3].Timeout = 4 * time.Second
	got := w.send(t.Context(), "resume")
	must.NoError(t, got.broken)
	must.Eq(t, event(1)+event(2)+event(3), got.body.String())
	must.Eq(t, 2, w.arrivalCount())
}

// Guards against two continuations of one stream, of a move and of an offer, when the run is moved while another endpoint
// has the request.
func TestServe_MovedDuringOffer(t *testing.T) {
	offered, stopped, withdrawn := make(chan struct{}), make(chan struct{}), make(chan struct{})
	m := &silentMover{stop: func() { close(stopped) }}
	began := make(chan string, 1)
	var arrivals atomic.Int32
	w := newHarness(t, 3, func(a *arrival) {
		switch arrivals.Add(1) {
		case 1:
			a.stream()
			a.chunk(event(1))
			began <- a.endpoint
			select {
			case <-stopped:
				_ = a.conn.Close()
			case <-a.connClosed:
			}
		case 2:
			close(offered)
			<-a.connClosed
			close(withdrawn)
		default:
			continueStream(a)
		}
	}, func(c *forward.Config) { c.Mover = m })
	w.table.Services[service].Engine = engine()
	w.table.Routes[3].Timeout = 5 * time.Second
	w.table.Routes[3].MaxAttempts = 3
	go func() {
		id := <-began
		<-offered
		w.fleet.MarkLeaving(id, 0, time.Time{})
	}()
	got := w.send(t.Context(), "resume")
	must.NoError(t, got.broken)
	must.Eq(t, event(1)+event(2), got.body.String())
	must.Eq(t, 3, w.arrivalCount())
	waitClosed(t, withdrawn)
}

// Guards against an exchange with another endpoint that goes on when the caller leaves during the offer.
func TestServe_CallerLeavesDuringOffer(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	withdrawn := make(chan struct{})
	w := newHarness(t, 2, stallThen(nil, func(a *arrival) {
		cancel()
		<-a.connClosed
		close(withdrawn)
	}))
	w.table.Routes[3].Timeout = 3 * time.Second
	got := w.send(ctx, "resume")
	must.Error(t, got.broken)
	waitClosed(t, withdrawn)
	for _, e := range w.fleet.Service(service) {
		must.Zero(t, e.Stats.Snapshot(time.Now()).Running)
	}
}

// blockingCaller holds the write of the second event until another endpoint has got the stream.
type blockingCaller struct {
	caller
	offered <-chan struct{}
}

func (c *blockingCaller) Write(b []byte) (int, error) {
	if string(b) == event(2) {
		select {
		case <-c.offered:
		case <-time.After(3 * time.Second):
		}
	}
	return c.body.Write(b)
}

// Guards against pieces of two runs: an endpoint accepts a stream after a position that the caller has already passed,
// because an event of the stalled endpoint is still being written.
func TestServe_OfferWhileEventIsWritten(t *testing.T) {
	offered := make(chan struct{})
	var after string
	w := newHarness(t, 2, func(a *arrival) {
		a.stream()
		if a.after == "" {
			a.chunk(event(1))
			time.Sleep(20 * time.Millisecond)
			a.chunk(event(2))
			<-a.connClosed
			return
		}
		after = a.after
		time.Sleep(20 * time.Millisecond)
		close(offered)
		<-time.After(100 * time.Millisecond)
		if a.after == "1" {
			a.chunk(event(2))
		}
		a.chunk(event(3))
		a.end()
	})
	w.table.Routes[3].Timeout = 4 * time.Second
	now := time.Now()
	got := &blockingCaller{offered: offered}
	got.broken = w.forwarder.Serve(t.Context(), got, &forward.Request{
		ID: "r", Method: http.MethodPost, Host: "h", Path: "/resume/x", URI: "/resume/x", Key: "k",
		Header: http.Header{}, Arrived: now, Deadline: now.Add(4 * time.Second),
	})
	must.NoError(t, got.broken)
	must.Eq(t, "2", after)
	must.Eq(t, event(1)+event(2)+event(3), got.body.String())
}
