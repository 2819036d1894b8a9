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

// Guards against a second run of a key, or a run of a key that was refused as not_run, when the store loses answers to
// claims or is slow and the instance that made the claim is killed or frozen.
func TestPair_StoreFaultAndLostInstance(t *testing.T) {
	env := startCluster(t)
	pairs := []struct {
		name        string
		storeFaults standin.Faults
		signal      syscall.Signal
	}{
		{"lost answers, killed", standin.Faults{LoseAnswers: 3, LosePrefix: "claim/"}, syscall.SIGKILL},
		{"slow, killed", standin.Faults{Slow: standin.Duration(20 * time.Millisecond)}, syscall.SIGKILL},
		{"slow, frozen", standin.Faults{Slow: standin.Duration(20 * time.Millisecond)}, syscall.SIGSTOP},
	}
	for i, p := range pairs {
		victim := env.startInstance(fmt.Sprint("victim-", i), "c")
		env.awaitReady(victim)
		env.eventually(10*time.Second, "endpoints listed", func() bool { return victim.hasEndpoints(2) })
		key := fmt.Sprint("pair-", i)
		env.store.SetFaults(p.storeFaults)
		first := make(chan answer, 1)
		go func() { first <- victim.order(key, "9 labels") }()
		time.Sleep(30 * time.Millisecond)
		victim.signal(t, p.signal)
		repeat := env.entries[0].order(key, "9 labels")
		_ = victim.cmd.Process.Signal(syscall.SIGCONT) // fails if the process was killed
		answers := []answer{repeat, <-first}
		env.store.SetFaults(standin.Faults{})
		must.LessEq(t, 1, env.runCount(key), must.Sprint(p.name))
		for _, a := range answers {
			if strings.Contains(a.body, `"outcome":"not_run"`) {
				must.Eq(t, 0, env.runCount(key), must.Sprint(p.name))
			}
		}
		t.Logf("%s: repeat got %d, runs %d", p.name, repeat.status, env.runCount(key))
	}
}

// Guards against streams lost with a failure domain while the store is down, when instances learn of the loss only from
// peers and notices.
func TestPair_FailureDomainDuringOutage(t *testing.T) {
	env := startCluster(t)
	env.store.SetFaults(standin.Faults{Down: true})
	const tokens = 300
	answers := make([]answer, 8)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i] = env.entries[1+i%2].chat(fmt.Sprint("label ", i), tokens) })
	}
	env.eventually(3*time.Second, "streams on the engine", func() bool { return env.engines["m1"].Counts().Running > 0 })
	env.postNotice(cloud.Notice{FailureDomain: "a", ReclaimAt: time.Now().Add(2 * time.Second)})
	env.engines["m1"].SetFaults(standin.EngineFaults{LeaveInMS: 2000})
	group.Wait()
	for i, a := range answers {
		must.NoError(t, a.err)
		must.Eq(t, wantAnswer(fmt.Sprint("label ", i), tokens), a.text())
	}
}

// Guards against requests that fail when an endpoint crashes and an instance is stopped at the same time.
func TestPair_EndpointCrashesAndInstanceStops(t *testing.T) {
	env := startCluster(t)
	lb := env.startBalancer(env.entries...)
	var result loadResult
	var group sync.WaitGroup
	end := time.Now().Add(4 * time.Second)
	for caller := range 6 {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				result.call(lb, fmt.Sprintf("caller %d asks %d", caller, n))
			}
		})
	}
	time.Sleep(time.Second)
	env.engines["m1"].SetFaults(standin.EngineFaults{DownNow: true})
	env.entries[0].signal(t, syscall.SIGTERM)
	group.Wait()
	must.Eq(t, 0, result.failedFirst)
}
