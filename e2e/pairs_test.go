package e2e

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/standin"
)

// Guards against a second run, or a run of a key refused as not_run, when the store loses answers to claims while the
// instance that made the claim is killed, or is slow while it is frozen.
func TestPair_StoreFaultAndLostInstance(t *testing.T) {
	w := cluster(t)
	pairs := []struct {
		name  string
		fault standin.Faults
		lose  syscall.Signal
	}{
		{"lost answers, killed", standin.Faults{LoseAnswers: 3, LosePrefix: "claim/"}, syscall.SIGKILL},
		{"slow, killed", standin.Faults{Slow: standin.Duration(20 * time.Millisecond)}, syscall.SIGKILL},
		{"slow, frozen", standin.Faults{Slow: standin.Duration(20 * time.Millisecond)}, syscall.SIGSTOP},
	}
	for i, p := range pairs {
		victim := w.start(fmt.Sprint("victim-", i), "c")
		w.awaitReady(victim)
		w.eventually(10*time.Second, "endpoints known", func() bool { return victim.knows(2) })
		key := fmt.Sprint("pair-", i)
		w.store.SetFaults(p.fault)
		first := make(chan answer, 1)
		go func() { first <- victim.order(key, "9 labels") }()
		time.Sleep(30 * time.Millisecond)
		victim.signal(t, p.lose)
		repeat := w.entries[0].order(key, "9 labels")
		_ = victim.cmd.Process.Signal(syscall.SIGCONT) // a killed one is gone already
		answers := []answer{repeat, <-first}
		w.store.SetFaults(standin.Faults{})
		must.LessEq(t, 1, w.runs(key), must.Sprint(p.name))
		for _, a := range answers {
			if strings.Contains(a.body, `"outcome":"not_run"`) {
				must.Eq(t, 0, w.runs(key), must.Sprint(p.name))
			}
		}
		t.Logf("%s: repeat got %d, runs %d", p.name, repeat.status, w.runs(key))
	}
}

// Guards against streams lost with a failure domain while the store is down, so that nothing but the peers and the
// notices can tell.
func TestPair_FailureDomainDuringOutage(t *testing.T) {
	w := cluster(t)
	w.store.SetFaults(standin.Faults{Down: true})
	const tokens = 300
	answers := make([]answer, 8)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i] = w.entries[1+i%2].chat(fmt.Sprint("label ", i), tokens) })
	}
	w.eventually(3*time.Second, "streams on the engine", func() bool { return w.engines["m1"].Counts().Running > 0 })
	w.notice(cloud.Notice{FailureDomain: "a", By: time.Now().Add(2 * time.Second)})
	w.engines["m1"].SetFaults(standin.EngineFaults{LeaveInMS: 2000})
	group.Wait()
	for i, a := range answers {
		must.NoError(t, a.err)
		must.Eq(t, want(fmt.Sprint("label ", i), tokens), a.text())
	}
}

// Guards against callers that see the loss of an endpoint and of an instance at the same moment.
func TestPair_EndpointCrashesAndInstanceStops(t *testing.T) {
	w := cluster(t)
	lb := w.balance(w.entries...)
	var sum tally
	var group sync.WaitGroup
	end := time.Now().Add(4 * time.Second)
	for caller := range 6 {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				sum.call(lb, fmt.Sprintf("caller %d asks %d", caller, n))
			}
		})
	}
	time.Sleep(time.Second)
	w.engines["m1"].SetFaults(standin.EngineFaults{DownNow: true})
	w.entries[0].signal(t, syscall.SIGTERM)
	group.Wait()
	must.Eq(t, 0, sum.failed)
}
