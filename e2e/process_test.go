package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/standin"
)

// wantAnswer returns the answer of an uninterrupted run.
func wantAnswer(prompt string, tokens int) string { return standin.EngineText(7, prompt, tokens) }

// balancer picks, in turn, the instances that were ready at its latest check.
type balancer struct {
	mu    sync.Mutex
	ready []*process
	next  int
	stop  chan struct{}
}

func (env *testEnv) startBalancer(entries ...*process) *balancer {
	b := &balancer{stop: make(chan struct{})}
	b.refresh(entries)
	go func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(balancerDelay / 4):
				b.refresh(entries)
			}
		}
	}()
	env.t.Cleanup(func() { close(b.stop) })
	return b
}

func (b *balancer) refresh(entries []*process) {
	var ready []*process
	for _, p := range entries {
		if p.ready() {
			ready = append(ready, p)
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

func (b *balancer) pick() *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// Guards against a planned stop that interrupts or refuses a request: all but one instance are stopped in turn under
// load.
func TestStop_RollingRestartUnderLoad(t *testing.T) {
	env := startCluster(t)
	b := env.startBalancer(env.entries...)
	var group sync.WaitGroup
	var mu sync.Mutex
	var failures []string
	done := make(chan struct{})
	for caller := range 6 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				prompt := fmt.Sprintf("caller %d asks %d", caller, n)
				a := b.pick().chat(prompt, 40)
				if a.err != nil || a.text() != wantAnswer(prompt, 40) {
					mu.Lock()
					failures = append(failures, fmt.Sprintf("%s: status %d error %v", a.instance.id, a.status, a.err))
					mu.Unlock()
				}
			}
		})
	}
	for _, p := range env.entries[1:] {
		time.Sleep(300 * time.Millisecond)
		p.signal(t, syscall.SIGTERM)
		select {
		case <-p.exited:
			must.Eq(t, 0, p.cmd.ProcessState.ExitCode())
		case <-time.After(20 * time.Second):
			t.Fatalf("%s did not stop", p.id)
		}
	}
	close(done)
	group.Wait()
	must.SliceEmpty(t, failures)
}

// Guards against a stream that can't be resumed after its instance is killed: the caller repeats the POST at another
// instance with the ID of the last event.
func TestKill_CallerRepeatsWithPosition(t *testing.T) {
	env := startCluster(t)
	const prompt, tokens = "ingredients of a cheese bun", 100
	first := env.entries[0].chatAndAct(prompt, tokens, 20, func() { _ = env.entries[0].cmd.Process.Kill() })
	must.Error(t, first.err)
	must.NotEq(t, "", first.lastID())
	rest := env.entries[1].chat(prompt, tokens, "Last-Event-ID", first.lastID())
	must.NoError(t, rest.err)
	must.Eq(t, wantAnswer(prompt, tokens), completeText(first)+rest.text())
}

// completeText returns the text up to the last complete event, from which the caller resumes.
func completeText(a answer) string {
	body := a.body[:strings.LastIndex(a.body, "\n\n")+2]
	return answer{body: body}.text()
}

// Guards against a stream that is lost when its instance is reclaimed: the instance hands it over, and the caller can
// attach to it at any other instance.
func TestReclaim_EntryHandsOverStreams(t *testing.T) {
	env := startCluster(t)
	const prompt, tokens = "allergens of a walnut roll", 600
	first := env.entries[0].chatAndAct(prompt, tokens, 20, func() {
		env.postNotice(cloud.Notice{Instance: "entry-1", ReclaimAt: time.Now().Add(4 * time.Second)})
	})
	id := first.header.Get("X-Request-Id")
	must.NotEq(t, "", id)
	if first.text() == wantAnswer(prompt, tokens) {
		t.Fatal("the stream ended before the reclaim; the test did not reach its case")
	}
	rest := env.entries[2].do(http.MethodGet, "/v1/requests/"+id, "", "Last-Event-ID", first.lastID())
	must.NoError(t, rest.err)
	must.Eq(t, wantAnswer(prompt, tokens), completeText(first)+rest.text())
}

func (env *testEnv) postNotice(n cloud.Notice) {
	body := fmt.Sprintf(`{"instance":%q,"failure_domain":%q,"by":%q}`, n.Instance, n.FailureDomain, n.ReclaimAt.Format(time.RFC3339Nano))
	env.send(http.MethodPost, env.cloud.URL+"/notices", []byte(body))
}

// Guards against accepted requests that are lost when a whole failure domain is reclaimed, with its endpoints and its
// entry instance.
func TestReclaim_FailureDomain(t *testing.T) {
	env := startCluster(t)
	const tokens = 400
	answers := make([]answer, 12)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i] = env.entries[1+i%2].chat(fmt.Sprint("label ", i), tokens) })
	}
	time.Sleep(300 * time.Millisecond)
	env.postNotice(cloud.Notice{FailureDomain: "a", ReclaimAt: time.Now().Add(2 * time.Second)})
	time.Sleep(2 * time.Second)
	env.engines["m1"].SetFaults(standin.EngineFaults{DownNow: true})
	group.Wait()
	for i, a := range answers {
		must.NoError(t, a.err)
		must.Eq(t, wantAnswer(fmt.Sprint("label ", i), tokens), a.text())
	}
	counts := env.engines["m2"].Counts()
	t.Logf("recomputed tokens: %d, KV imports: %d", counts.Recomputed, counts.Imports)
}

// Guards against a second run when the caller repeats an order at another instance after the first one was killed at an
// arbitrary time.
func TestKill_OrderRunsAtMostOnce(t *testing.T) {
	env := startCluster(t)
	for i, delay := range []time.Duration{2, 6, 12, 20} {
		key := fmt.Sprint("order-", i)
		victim := env.startInstance(fmt.Sprint("victim-", i), "b")
		env.awaitReady(victim)
		go func() {
			time.Sleep(delay * time.Millisecond)
			_ = victim.cmd.Process.Kill()
		}()
		victim.order(key, "40 labels")
		repeat := env.entries[0].order(key, "40 labels")
		must.NoError(t, repeat.err)
		must.LessEq(t, 1, env.runCount(key))
		if strings.Contains(repeat.body, `"outcome":"not_run"`) {
			must.Eq(t, 0, env.runCount(key))
		}
		t.Logf("killed after %d ms: repeat got %d, runs %d", delay, repeat.status, env.runCount(key))
	}
}

// Guards against a second run by an instance that is frozen before it dispatches an order and resumes after the order
// was repeated at another instance.
func TestFreeze_ResumedHolderDoesNotRunAgain(t *testing.T) {
	env := startCluster(t)
	for i := range 4 {
		key := fmt.Sprint("frozen-", i)
		first := make(chan answer, 1)
		env.store.SetFaults(standin.Faults{Slow: standin.Duration(50 * time.Millisecond)})
		go func() { first <- env.entries[0].order(key, "12 labels") }()
		time.Sleep(time.Duration(20+30*i) * time.Millisecond)
		env.entries[0].signal(t, syscall.SIGSTOP)
		second := env.entries[1].order(key, "12 labels")
		env.entries[0].signal(t, syscall.SIGCONT)
		a := <-first
		env.store.SetFaults(standin.Faults{})
		must.LessEq(t, 1, env.runCount(key))
		for _, got := range []answer{a, second} {
			if strings.Contains(got.body, `"outcome":"not_run"`) {
				must.Eq(t, 0, env.runCount(key))
			}
		}
		t.Logf("frozen after %d ms: first %d, repeat %d, runs %d", 20+30*i, a.status, second.status, env.runCount(key))
	}
}

// Guards against an order that ran before a store outage and is refused as not_run during it, and against an order
// refused during the outage that can't run afterwards.
func TestOutage_RepeatOfRunOrder(t *testing.T) {
	env := startCluster(t)
	must.Eq(t, http.StatusOK, env.entries[0].order("before", "7 labels").status)
	env.store.SetFaults(standin.Faults{Down: true})
	for _, key := range []string{"before", "first-in-outage"} {
		a := env.entries[1].order(key, "7 labels")
		if a.status != http.StatusOK {
			must.StrContains(t, a.body, `"outcome":"unknown"`)
		}
	}
	must.Eq(t, 1, env.runCount("before"))
	must.Eq(t, 0, env.runCount("first-in-outage"))
	env.store.SetFaults(standin.Faults{})
	env.eventually(10*time.Second, "the refused order runs after the outage", func() bool {
		return env.entries[2].order("first-in-outage", "7 labels").status == http.StatusOK
	})
	must.Eq(t, 1, env.runCount("first-in-outage"))
}

// Guards against a store outage that stops the serving of models or the start of instances: a new instance becomes
// ready with the configuration of its peers.
func TestOutage_ModelsServeAndInstancesStart(t *testing.T) {
	env := startCluster(t)
	env.store.SetFaults(standin.Faults{Down: true})
	must.Eq(t, wantAnswer("outage", 20), env.entries[0].chat("outage", 20).text())
	late := env.startInstance("entry-late", "b")
	env.awaitReady(late)
	must.Eq(t, wantAnswer("late", 20), late.chat("late", 20).text())
}

// Guards against a frozen instance that keeps an old configuration after it resumes.
func TestFreeze_ResumedInstanceCatchesUp(t *testing.T) {
	env := startCluster(t)
	frozen := env.entries[2]
	frozen.signal(t, syscall.SIGSTOP)
	services := testServices(t, "concurrency: 7\n")
	revision := env.publish(services, env.entries[0], env.entries[1])
	time.Sleep(4 * time.Second)
	frozen.signal(t, syscall.SIGCONT)
	begin := time.Now()
	env.eventually(13*time.Second, "the resumed instance has the new revision", func() bool { return frozen.status().Revision >= revision })
	t.Logf("in effect %s after SIGCONT", time.Since(begin).Round(time.Millisecond))
	env.eventually(10*time.Second, "all members are listed again", func() bool { return len(env.entries[0].status().Members) == 3 })
}

// Guards against any instance that sends new work to a leaving endpoint more than 3 s after its notice.
func TestLeaving_NoNewWorkAfterNotice(t *testing.T) {
	env := startCluster(t)
	env.postNotice(cloud.Notice{Instance: "m1", ReclaimAt: time.Now().Add(time.Minute)})
	time.Sleep(3 * time.Second)
	before := env.engines["m1"].Counts().Runs
	for i := range 30 {
		a := env.entries[i%3].chat(fmt.Sprint("after the notice ", i), 5)
		must.Eq(t, "m2", a.header.Get("X-Endpoint"))
	}
	must.Eq(t, before, env.engines["m1"].Counts().Runs)
}

// Guards against a request that crashes one endpoint after the other when it is repeated under new IDs at other
// instances.
func TestCrash_RequestLosesAtMostTwoEndpoints(t *testing.T) {
	env := startCluster(t)
	for i := range 3 {
		env.startEngine(fmt.Sprint("extra-", i), "c", "v1")
	}
	env.eventually(10*time.Second, "five engines listed", func() bool {
		st := env.entries[0].status()
		return len(st.Services) > 0 && len(st.Services[0].Endpoints) == 5
	})
	for _, e := range env.engines {
		e.SetFaults(standin.EngineFaults{CrashMarker: "poison", CrashMS: 60000})
	}
	last := answer{}
	for i := range 6 {
		last = env.entries[i%3].chat("poison pill", 10)
		time.Sleep(300 * time.Millisecond)
	}
	down := 0
	for _, e := range env.engines {
		if e.Down() {
			down++
		}
	}
	must.LessEq(t, 2, down)
	must.StrContains(t, last.body, "quarantined")
	for i := range 9 {
		must.Eq(t, wantAnswer(fmt.Sprint("innocent ", i), 10), env.entries[i%3].chat(fmt.Sprint("innocent ", i), 10).text())
	}
}

// Guards against a request that crashes further endpoints at an instance that was restarted since it saw the crashes, and
// against harmless requests that are refused there.
func TestCrash_RestartedInstanceKnowsSuspects(t *testing.T) {
	env := startCluster(t)
	for i := range 3 {
		env.startEngine(fmt.Sprint("extra-", i), "c", "v1")
	}
	first := env.entries[0]
	env.eventually(10*time.Second, "five engines listed", func() bool {
		st := first.status()
		return len(st.Services) > 0 && len(st.Services[0].Endpoints) == 5
	})
	for _, e := range env.engines {
		e.SetFaults(standin.EngineFaults{CrashMarker: "poison", CrashMS: 60000})
	}
	down := func() (n int) {
		for _, e := range env.engines {
			if e.Down() {
				n++
			}
		}
		return n
	}
	must.StrContains(t, first.chat("poison pill", 10).body, "the request crashed its endpoints")
	must.Eq(t, 2, down())
	time.Sleep(300 * time.Millisecond) // the crashes are reported
	env.kill(first)
	again := env.startInstance(first.id, first.domain)
	env.awaitReady(again)
	env.eventually(10*time.Second, "the members are listed", func() bool { return len(again.status().Members) == 3 })
	time.Sleep(time.Second) // it receives what the others know
	must.StrContains(t, again.chat("poison pill", 10).body, "quarantined")
	must.Eq(t, 2, down())
	for i := range 9 {
		must.Eq(t, wantAnswer(fmt.Sprint("innocent ", i), 10), again.chat(fmt.Sprint("innocent ", i), 10).text())
	}
}

// Guards against requests lost, or delayed beyond their deadline, when an endpoint crashes while it runs many: each is
// then suspected of the crash and is repeated alone on an endpoint.
func TestCrash_ManySuspects(t *testing.T) {
	env := startCluster(t)
	const tokens = 200
	answers := make([]answer, 24)
	var group sync.WaitGroup
	begin := time.Now()
	for i := range answers {
		group.Go(func() { answers[i] = env.entries[i%3].chat(fmt.Sprint("draft ", i), tokens) })
	}
	running := 0
	env.eventually(5*time.Second, "streams on the engine", func() bool {
		running = env.engines["m1"].Counts().Running
		return running >= 4
	})
	env.engines["m1"].SetFaults(standin.EngineFaults{DownNow: true})
	group.Wait()
	for i, a := range answers {
		must.NoError(t, a.err)
		must.Eq(t, wantAnswer(fmt.Sprint("draft ", i), tokens), a.text())
	}
	t.Logf("%d streams on the crashed endpoint, all 24 complete after %s", running, time.Since(begin).Round(100*time.Millisecond))
}
