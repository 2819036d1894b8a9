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

// want returns the answer of an undisturbed run.
func want(prompt string, tokens int) string { return standin.EngineText(7, prompt, tokens) }

// balancer sends callers to instances that were ready at its latest look.
type balancer struct {
	mu    sync.Mutex
	ready []*process
	next  int
	stop  chan struct{}
}

func (w *world) balance(entries ...*process) *balancer {
	b := &balancer{stop: make(chan struct{})}
	b.look(entries)
	go func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(balancerDelay / 4):
				b.look(entries)
			}
		}
	}()
	w.t.Cleanup(func() { close(b.stop) })
	return b
}

func (b *balancer) look(entries []*process) {
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

// Guards against a planned stop that cuts or refuses a request: every instance is stopped in turn under load.
func TestStop_RollingRestartUnderLoad(t *testing.T) {
	w := cluster(t)
	b := w.balance(w.entries...)
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
				if a.err != nil || a.text() != want(prompt, 40) {
					mu.Lock()
					failures = append(failures, fmt.Sprintf("%s: status %d error %v", a.instance.id, a.status, a.err))
					mu.Unlock()
				}
			}
		})
	}
	for _, p := range w.entries[1:] {
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

// Guards against a stream that is lost when its instance is killed: the caller repeats the POST with its position.
func TestKill_CallerRepeatsWithPosition(t *testing.T) {
	w := cluster(t)
	const prompt, tokens = "ingredients of a cheese bun", 100
	first := w.entries[0].chatAndAct(prompt, tokens, 20, func() { _ = w.entries[0].cmd.Process.Kill() })
	must.Error(t, first.err)
	must.NotEq(t, "", first.lastID())
	rest := w.entries[1].chat(prompt, tokens, "Last-Event-ID", first.lastID())
	must.NoError(t, rest.err)
	must.Eq(t, want(prompt, tokens), wholeText(first)+rest.text())
}

// wholeText returns the text up to the last whole event, after which the caller resumes.
func wholeText(a answer) string {
	body := a.body[:strings.LastIndex(a.body, "\n\n")+2]
	return answer{body: body}.text()
}

// Guards against a stream that is lost when its instance is reclaimed: it is handed over, and the caller attaches to
// it at any instance.
func TestReclaim_EntryHandsStreamsOver(t *testing.T) {
	w := cluster(t)
	const prompt, tokens = "allergens of a walnut roll", 600
	first := w.entries[0].chatAndAct(prompt, tokens, 20, func() {
		w.notice(cloud.Notice{Instance: "entry-1", By: time.Now().Add(4 * time.Second)})
	})
	id := first.header.Get("X-Request-Id")
	must.NotEq(t, "", id)
	if first.text() == want(prompt, tokens) {
		t.Fatal("the stream ended before the reclaim; the test did not reach its case")
	}
	rest := w.entries[2].do(http.MethodGet, "/v1/requests/"+id, "", "Last-Event-ID", first.lastID())
	must.NoError(t, rest.err)
	must.Eq(t, want(prompt, tokens), wholeText(first)+rest.text())
}

func (w *world) notice(n cloud.Notice) {
	body := fmt.Sprintf(`{"instance":%q,"failure_domain":%q,"by":%q}`, n.Instance, n.FailureDomain, n.By.Format(time.RFC3339Nano))
	w.send(http.MethodPost, w.cloud.URL+"/notices", []byte(body))
}

// Guards against accepted requests lost with a whole failure domain: its endpoints and its entry instance leave.
func TestReclaim_FailureDomain(t *testing.T) {
	w := cluster(t)
	const tokens = 400
	answers := make([]answer, 12)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i] = w.entries[1+i%2].chat(fmt.Sprint("label ", i), tokens) })
	}
	time.Sleep(300 * time.Millisecond)
	w.notice(cloud.Notice{FailureDomain: "a", By: time.Now().Add(2 * time.Second)})
	time.Sleep(2 * time.Second)
	w.engines["m1"].SetFaults(standin.EngineFaults{DownNow: true})
	group.Wait()
	for i, a := range answers {
		must.NoError(t, a.err)
		must.Eq(t, want(fmt.Sprint("label ", i), tokens), a.text())
	}
	counts := w.engines["m2"].Counts()
	t.Logf("recomputed tokens: %d, KV imports: %d", counts.Recomputed, counts.Imports)
}

// Guards against a second run when a caller repeats an order at another instance while the first one is killed at
// any moment.
func TestKill_OrderRunsAtMostOnce(t *testing.T) {
	w := cluster(t)
	for i, delay := range []time.Duration{2, 6, 12, 20} {
		key := fmt.Sprint("order-", i)
		victim := w.start(fmt.Sprint("victim-", i), "b")
		w.awaitReady(victim)
		go func() {
			time.Sleep(delay * time.Millisecond)
			_ = victim.cmd.Process.Kill()
		}()
		victim.order(key, "40 labels")
		repeat := w.entries[0].order(key, "40 labels")
		must.NoError(t, repeat.err)
		must.LessEq(t, 1, w.runs(key))
		if strings.Contains(repeat.body, `"outcome":"not_run"`) {
			must.Eq(t, 0, w.runs(key))
		}
		t.Logf("killed after %d ms: repeat got %d, runs %d", delay, repeat.status, w.runs(key))
	}
}

// Guards against a second run by an instance that was frozen before its dispatch and woken after a repeat elsewhere.
func TestFreeze_WokenHolderDoesNotRunAgain(t *testing.T) {
	w := cluster(t)
	for i := range 4 {
		key := fmt.Sprint("frozen-", i)
		first := make(chan answer, 1)
		w.store.SetFaults(standin.Faults{Slow: standin.Duration(50 * time.Millisecond)})
		go func() { first <- w.entries[0].order(key, "12 labels") }()
		time.Sleep(time.Duration(20+30*i) * time.Millisecond)
		w.entries[0].signal(t, syscall.SIGSTOP)
		second := w.entries[1].order(key, "12 labels")
		w.entries[0].signal(t, syscall.SIGCONT)
		a := <-first
		w.store.SetFaults(standin.Faults{})
		must.LessEq(t, 1, w.runs(key))
		for _, got := range []answer{a, second} {
			if strings.Contains(got.body, `"outcome":"not_run"`) {
				must.Eq(t, 0, w.runs(key))
			}
		}
		t.Logf("frozen after %d ms: first %d, repeat %d, runs %d", 20+30*i, a.status, second.status, w.runs(key))
	}
}

// Guards against a refusal as not_run during a store outage for an order that ran before it.
func TestOutage_RepeatOfRunOrder(t *testing.T) {
	w := cluster(t)
	must.Eq(t, http.StatusOK, w.entries[0].order("before", "7 labels").status)
	w.store.SetFaults(standin.Faults{Down: true})
	for _, key := range []string{"before", "first-in-outage"} {
		a := w.entries[1].order(key, "7 labels")
		if a.status != http.StatusOK {
			must.StrContains(t, a.body, `"outcome":"unknown"`)
		}
	}
	must.Eq(t, 1, w.runs("before"))
	must.Eq(t, 0, w.runs("first-in-outage"))
	w.store.SetFaults(standin.Faults{})
	w.eventually(10*time.Second, "the refused order runs after the outage", func() bool {
		return w.entries[2].order("first-in-outage", "7 labels").status == http.StatusOK
	})
	must.Eq(t, 1, w.runs("first-in-outage"))
}

// Guards against requests that an outage of the whole platform stops: models go on, and a new instance becomes ready
// from its peers alone.
func TestOutage_ModelsServeAndInstancesStart(t *testing.T) {
	w := cluster(t)
	w.store.SetFaults(standin.Faults{Down: true})
	must.Eq(t, want("outage", 20), w.entries[0].chat("outage", 20).text())
	late := w.start("entry-late", "b")
	w.awaitReady(late)
	must.Eq(t, want("late", 20), late.chat("late", 20).text())
}

// Guards against a frozen instance that serves an old configuration after it wakes.
func TestFreeze_WokenInstanceCatchesUp(t *testing.T) {
	w := cluster(t)
	frozen := w.entries[2]
	frozen.signal(t, syscall.SIGSTOP)
	services := testServices(t, "concurrency: 7\n")
	revision := w.publish(services, w.entries[0], w.entries[1])
	time.Sleep(4 * time.Second)
	frozen.signal(t, syscall.SIGCONT)
	begin := time.Now()
	w.eventually(13*time.Second, "the woken instance has the new revision", func() bool { return frozen.status().Revision >= revision })
	t.Logf("in effect %s after waking", time.Since(begin).Round(time.Millisecond))
	w.eventually(10*time.Second, "all members are known again", func() bool { return len(w.entries[0].status().Members) == 3 })
}

// Guards against a leaving endpoint that gets new work more than 3 s after its notice, at any instance.
func TestLeaving_NoNewWorkAfterNotice(t *testing.T) {
	w := cluster(t)
	w.notice(cloud.Notice{Instance: "m1", By: time.Now().Add(time.Minute)})
	time.Sleep(3 * time.Second)
	before := w.engines["m1"].Counts().Runs
	for i := range 30 {
		a := w.entries[i%3].chat(fmt.Sprint("after the notice ", i), 5)
		must.Eq(t, "m2", a.header.Get("X-Endpoint"))
	}
	must.Eq(t, before, w.engines["m1"].Counts().Runs)
}

// Guards against a request that takes down endpoint after endpoint, sent again under new IDs at other instances.
func TestCrash_RequestLosesAtMostTwoEndpoints(t *testing.T) {
	w := cluster(t)
	for i := range 3 {
		w.engine(fmt.Sprint("extra-", i), "c", "v1")
	}
	w.eventually(10*time.Second, "five engines listed", func() bool {
		st := w.entries[0].status()
		return len(st.Services) > 0 && len(st.Services[0].Endpoints) == 5
	})
	for _, e := range w.engines {
		e.SetFaults(standin.EngineFaults{CrashMarker: "poison", CrashMS: 60000})
	}
	last := answer{}
	for i := range 6 {
		last = w.entries[i%3].chat("poison pill", 10)
		time.Sleep(300 * time.Millisecond)
	}
	down := 0
	for _, e := range w.engines {
		if e.Down() {
			down++
		}
	}
	must.LessEq(t, 2, down)
	must.StrContains(t, last.body, "quarantined")
	for i := range 9 {
		must.Eq(t, want(fmt.Sprint("innocent ", i), 10), w.entries[i%3].chat(fmt.Sprint("innocent ", i), 10).text())
	}
}

// Guards against requests lost or delayed beyond their deadline when an endpoint crashes under many of them: each is a
// suspect then and runs alone.
func TestCrash_ManySuspects(t *testing.T) {
	w := cluster(t)
	const tokens = 200
	answers := make([]answer, 24)
	var group sync.WaitGroup
	begin := time.Now()
	for i := range answers {
		group.Go(func() { answers[i] = w.entries[i%3].chat(fmt.Sprint("draft ", i), tokens) })
	}
	running := 0
	w.eventually(5*time.Second, "streams on the engine", func() bool {
		running = w.engines["m1"].Counts().Running
		return running >= 4
	})
	w.engines["m1"].SetFaults(standin.EngineFaults{DownNow: true})
	group.Wait()
	for i, a := range answers {
		must.NoError(t, a.err)
		must.Eq(t, want(fmt.Sprint("draft ", i), tokens), a.text())
	}
	t.Logf("%d streams on the crashed endpoint, all 24 whole after %s", running, time.Since(begin).Round(100*time.Millisecond))
}
