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

// moveCluster is a cluster with two engines of the new version and a move of the model service under way.
func moveCluster(t *testing.T, length time.Duration) *world {
	w := cluster(t)
	w.engine("n1", "a", "v2")
	w.engine("n2", "b", "v2")
	deadline := time.Now().Add(length).UTC().Format(time.RFC3339)
	w.publish(testServices(t, fmt.Sprintf("move: {to: v2, deadline: %q}\n", deadline)), w.entries...)
	return w
}

// load sends short requests from several callers until stop is closed and counts the failed ones.
func (w *world) load(callers int, stop chan struct{}) (wait func() int64) {
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
				if a := w.entries[(caller+n)%len(w.entries)].chat(prompt, 4); a.err != nil || a.text() != want(prompt, 4) {
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

func (w *world) awaitMove(limit time.Duration, states ...string) {
	w.eventually(limit, fmt.Sprint("the move is ", states, " at every instance"), func() bool {
		for _, p := range w.entries {
			m := p.move("labels")
			if m == nil || (m.State != states[0] && m.State != states[len(states)-1]) {
				return false
			}
		}
		return true
	})
}

// Guards against a good version whose move is not done by its deadline, reported by every instance.
func TestMove_GoodVersionDoneOnTime(t *testing.T) {
	const length = 40 * time.Second
	w := moveCluster(t, length)
	stop := make(chan struct{})
	wait := w.load(12, stop)
	w.awaitMove(length, "done")
	close(stop)
	must.Eq(t, 0, wait())
	t.Log(w.entries[0].move("labels").Reason)
}

// Guards against a bad version that keeps its share, also while the store is down, and against callers who see its
// failures: each request is retried at the old version.
func TestMove_BadVersionDuringOutage(t *testing.T) {
	w := moveCluster(t, 60*time.Second)
	stop := make(chan struct{})
	wait := w.load(12, stop)
	w.eventually(30*time.Second, "the new version has traffic", func() bool {
		return w.engines["n1"].Counts().Runs+w.engines["n2"].Counts().Runs > 5
	})
	w.store.SetFaults(standin.Faults{Down: true})
	for _, id := range []string{"n1", "n2"} {
		w.engines[id].SetFaults(standin.EngineFaults{ErrorRate: 1, Seed: 1})
	}
	fault := time.Now()
	w.awaitMove(30*time.Second, "aborted", "rolled_back")
	t.Logf("zero share everywhere %s after the fault", time.Since(fault).Round(10*time.Millisecond))
	runs := w.engines["n1"].Counts().Runs + w.engines["n2"].Counts().Runs
	time.Sleep(2 * time.Second)
	must.Eq(t, runs, w.engines["n1"].Counts().Runs+w.engines["n2"].Counts().Runs)
	w.store.SetFaults(standin.Faults{})
	w.awaitMove(20*time.Second, "rolled_back")
	close(stop)
	must.Eq(t, 0, wait())
}
