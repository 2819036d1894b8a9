package forward_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/quarantine"
	"github.com/trefoillug/trefoillug/upstream"
)

// newDialHarness returns a harness whose first connection is not opened before its attempt ends, whose next ones are
// refused, and whose further ones are opened.
func newDialHarness(t *testing.T, refused int, script func(a *arrival), change ...func(*forward.Config)) *harness {
	t.Helper()
	var dials atomic.Int32
	endpoints := fleet.NewTable(func(address string) *upstream.Pool {
		return upstream.NewPool(address, upstream.Settings{DialTimeout: 5 * time.Second, Dial: func(ctx context.Context, address string) (net.Conn, error) {
			switch n := int(dials.Add(1)); {
			case n == 1:
				<-ctx.Done()
				return nil, ctx.Err()
			case n <= 1+refused:
				return nil, errors.New("connection refused")
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}})
	})
	w := newHarness(t, 0, script, append(change, func(cfg *forward.Config) { cfg.Fleet = endpoints })...)
	for i := range refused + 2 {
		id := fmt.Sprintf("e%d", i)
		endpoints.Put(fleet.Entry{ID: id, Service: service, Address: w.listen(id, script), Slots: 8})
	}
	w.table.Routes[1].Timeout = 3 * time.Second
	return w
}

// Guards against an accepted offer that is dropped, with a refusal that promises that the request was not run, because
// many endpoints were not reached before.
func TestServe_AcceptedAfterUnreachable(t *testing.T) {
	w := newDialHarness(t, 3, func(a *arrival) { a.reply(http.StatusOK, "other") })
	got := w.send(t.Context(), "safe")
	must.Nil(t, got.refusal, must.Sprint(got.refusal))
	must.Eq(t, "other", got.body.String())
	must.Eq(t, 1, w.arrivalCount())
}

// refuseLater refuses each request once refused is set.
type refuseLater struct {
	suspects
	refused atomic.Bool
}

func (s *refuseLater) Any() bool { return s.refused.Load() }

func (s *refuseLater) Refused(quarantine.Identity) (quarantine.Refusal, bool) {
	return quarantine.Refusal{Subject: quarantine.Subject{Scope: quarantine.ScopeRequest}, Crashes: 2}, s.refused.Load()
}

// Guards against a refusal that promises that a request was not run, and against a quota that is given back, although an
// endpoint has accepted the request.
func TestServe_AcceptedThenGivenUp(t *testing.T) {
	s := &refuseLater{}
	w := newDialHarness(t, 0, func(a *arrival) {
		s.refused.Store(true)
		a.reply(http.StatusOK, "other")
	}, func(cfg *forward.Config) { cfg.Suspects = s })
	got := w.send(t.Context(), "safe")
	must.NotNil(t, got.refusal)
	must.Eq(t, problem.EndpointFailed, problem.KindOf(got.refusal.Err))
	must.Eq(t, 1, w.quotaUsed)
	must.Eq(t, 1, w.started)
}
