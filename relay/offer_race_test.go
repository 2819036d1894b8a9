package relay

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/table"
)

// Guards against concurrent use of the failed endpoints of a session, which ends the process: an accepted offer stalls
// before its session has gone on to it.
func TestGeneration_AcceptedOfferStallsAtOnce(t *testing.T) {
	env := newTestEnv(t)
	rl, _ := env.startRelay(Config{})
	for range 100 {
		call := &Call{Service: &config.Service{Name: "wording"}, Route: &config.Route{Name: "chat", Idempotent: true}, RequestID: "r", Deadline: time.Now().Add(time.Minute)}
		g := &generation{session: rl.newSession(call)}
		failed := &slot{endpoint: &table.Endpoint{ID: "a"}, tracker: rl.tracker}
		offered := g.newRun(&slot{endpoint: &table.Endpoint{ID: "b", Live: &table.Counters{}}, tracker: rl.tracker})
		g.runs.offered = offered
		must.NoError(t, g.receive(offered, &engine.StreamEvent{Content: "x"}, &attemptStats{}, false))
		var both sync.WaitGroup
		both.Go(func() { must.False(t, g.mayAbandon(offered)) })
		both.Go(func() {
			must.NoError(t, g.AcquireRetry(t.Context(), failed, dispatch.Result{End: dispatch.ErrorStatus}))
		})
		both.Wait()
		g.endSearch(false)
		g.cancel(nil)
		rl.removeSession(g.session)
	}
}
