package e2e

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/entry"
	"github.com/trefoillug/trefoillug/standin"
)

// startMoveCluster starts a cluster with two more engines of the new version and begins a version move of the model
// service.
func startMoveCluster(t *testing.T, length time.Duration) *testEnv {
	env := startCluster(t)
	env.startEngine("n1", "a", "v2")
	env.startEngine("n2", "b", "v2")
	deadline := time.Now().Add(length).UTC().Format(time.RFC3339)
	env.publish(testServices(t, fmt.Sprintf("move: {to: v2, deadline: %q}\n", deadline)), env.entries...)
	return env
}

// startLoad sends short requests from several callers until stop is closed. wait waits for them to end and returns the
// number of failed requests.
func (env *testEnv) startLoad(callers int, stop chan struct{}) (wait func() int64) {
	var group sync.WaitGroup
	var failed atomic.Int64
	for caller := range callers {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				prompt := fmt.Sprintf("caller %d draft %d", caller, n)
				if a := env.entries[(caller+n)%len(env.entries)].chat(prompt, 4); a.err != nil || a.text() != wantAnswer(prompt, 4) {
					failed.Add(1)
				}
			}
		})
	}
	return func() int64 { group.Wait(); return failed.Load() }
}

func (p *process) move(service string) *entry.MoveStatus {
	for _, s := range p.status().Services {
		if s.Name == service {
			return s.Move
		}
	}
	return nil
}

func (env *testEnv) awaitMove(limit time.Duration, states ...string) {
	env.eventually(limit, fmt.Sprint("the move is ", states, " at every instance"), func() bool {
		for _, p := range env.entries {
			m := p.move("labels")
			if m == nil || (m.State != states[0] && m.State != states[len(states)-1]) {
				return false
			}
		}
		return true
	})
}

// Guards against the move to a good version that is not done, at every instance, by its deadline.
func TestMove_GoodVersionDoneOnTime(t *testing.T) {
	const length = 40 * time.Second
	env := startMoveCluster(t, length)
	stop := make(chan struct{})
	wait := env.startLoad(12, stop)
	env.awaitMove(length, "done")
	close(stop)
	must.Eq(t, 0, wait())
	t.Log(env.entries[0].move("labels").Reason)
}

// Guards against a bad version that keeps its traffic share while the store is down, and against callers that see its
// failures although each request can be retried at the old version.
func TestMove_BadVersionDuringOutage(t *testing.T) {
	env := startMoveCluster(t, 60*time.Second)
	stop := make(chan struct{})
	wait := env.startLoad(12, stop)
	env.eventually(30*time.Second, "the new version has traffic", func() bool {
		return env.engines["n1"].Counts().Runs+env.engines["n2"].Counts().Runs > 5
	})
	env.store.SetFaults(standin.Faults{Down: true})
	for _, id := range []string{"n1", "n2"} {
		env.engines[id].SetFaults(standin.EngineFaults{ErrorRate: 1, Seed: 1})
	}
	fault := time.Now()
	env.awaitMove(30*time.Second, "aborted", "rolled_back")
	t.Logf("zero share everywhere %s after the fault", time.Since(fault).Round(10*time.Millisecond))
	runs := env.engines["n1"].Counts().Runs + env.engines["n2"].Counts().Runs
	time.Sleep(2 * time.Second)
	must.Eq(t, runs, env.engines["n1"].Counts().Runs+env.engines["n2"].Counts().Runs)
	env.store.SetFaults(standin.Faults{})
	env.awaitMove(20*time.Second, "rolled_back")
	close(stop)
	must.Eq(t, 0, wait())
}
