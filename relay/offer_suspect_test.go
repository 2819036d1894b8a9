package relay

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/config"
)

// laterSuspect is a Quarantine that suspects every request, and a RetryBudget that is exhausted, each from or until the
// first time that a retry is requested.
type laterSuspect struct {
	fixedQuarantine
	asked atomic.Bool
}

func (q *laterSuspect) CountRequest(string)                    {}
func (q *laterSuspect) AcquireRetry(string) bool               { return q.asked.Swap(true) }
func (q *laterSuspect) MustIsolate(uint64, time.Duration) bool { return q.asked.Load() }

// Guards against a request that runs at two engines although it is suspected of crashing them since its offer has begun.
func TestAcquireOffer_SuspectedMeanwhile(t *testing.T) {
	env := newTestEnv(t)
	env.startEngine("a", "fd1", slowEngine)
	q := &laterSuspect{}
	rl, _ := env.startRelay(Config{Quarantine: q, RetryBudget: q})
	call := &Call{Service: &config.Service{Name: "wording"}, Route: &config.Route{Name: "chat", Idempotent: true}, RequestID: "r"}
	search := endpointSearch{call: call, failedEndpoints: map[string]bool{}}
	must.Nil(t, rl.acquireOffer(t.Context(), &search))
	must.True(t, q.asked.Load())
	must.False(t, rl.tracker.isReserved("a"))
	must.Eq(t, "", search.reserved)
}
