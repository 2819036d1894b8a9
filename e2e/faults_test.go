package e2e

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/standin"
)

const (
	faultLoadTime = 10 * time.Second
	faultAt       = 2 * time.Second // after the start of the load
	faultCallers  = 12
	faultTokens   = 40
)

// BenchmarkFaults loads three instances while one fault happens. It reports the number of requests, those without a
// complete answer at the first attempt, those still without one after the caller has repeated them once, and the median
// and maximum latency.
func BenchmarkFaults(b *testing.B) {
	in := func(d time.Duration) time.Time { return time.Now().Add(d) }
	faults := []struct {
		name   string
		inject func(*testEnv)
	}{
		{"none", func(*testEnv) {}},
		{"endpoint reclaimed, 3 s notice", func(env *testEnv) {
			env.postNotice(cloud.Notice{Instance: "m1", ReclaimAt: in(3 * time.Second)})
			env.engines["m1"].SetFaults(standin.EngineFaults{LeaveInMS: 3000})
		}},
		{"failure domain reclaimed, 3 s notice", func(env *testEnv) {
			env.postNotice(cloud.Notice{FailureDomain: "a", ReclaimAt: in(3 * time.Second)})
			env.engines["m1"].SetFaults(standin.EngineFaults{LeaveInMS: 3000})
		}},
		{"endpoint crashes", func(env *testEnv) { env.engines["m1"].SetFaults(standin.EngineFaults{DownNow: true}) }},
		{"instance killed", func(env *testEnv) { _ = env.entries[0].cmd.Process.Kill() }},
		{"instance stopped", func(env *testEnv) { env.entries[0].signal(env.t, syscall.SIGTERM) }},
		{"instance frozen 3 s", func(env *testEnv) {
			env.entries[0].signal(env.t, syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			env.entries[0].signal(env.t, syscall.SIGCONT)
		}},
		{"store down", func(env *testEnv) { env.store.SetFaults(standin.Faults{Down: true}) }},
		{"store slow, 1 s", func(env *testEnv) { env.store.SetFaults(standin.Faults{Slow: standin.Duration(time.Second)}) }},
		{"instance list and notices down", func(env *testEnv) {
			env.send("POST", env.cloud.URL+"/faults", []byte(`{"list_down":true,"notices_down":true}`))
		}},
		{"endpoint fails half of its requests", func(env *testEnv) {
			env.engines["m1"].SetFaults(standin.EngineFaults{ErrorRate: 0.5, Seed: 1})
		}},
		{"endpoint stalls its streams", func(env *testEnv) { env.engines["m1"].SetFaults(standin.EngineFaults{StallFrom: 3}) }},
	}
	for _, f := range faults {
		b.Run(f.name, func(b *testing.B) {
			for b.Loop() {
				env := startCluster(b)
				time.AfterFunc(faultAt, func() { f.inject(env) })
				env.reportLoad(b)
			}
		})
	}
}

// loadResult counts the outcomes of the requests of a load.
type loadResult struct {
	mu                                       sync.Mutex
	requests, failedFirst, failedAfterRepeat int
	latencies                                []time.Duration
}

func (env *testEnv) reportLoad(b *testing.B) {
	lb := env.startBalancer(env.entries...)
	var result loadResult
	var group sync.WaitGroup
	end := time.Now().Add(faultLoadTime)
	for caller := range faultCallers {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				result.call(lb, fmt.Sprintf("caller %d asks %d", caller, n))
			}
		})
	}
	group.Wait()
	slices.SortFunc(result.latencies, cmp.Compare)
	b.ReportMetric(float64(result.requests), "requests")
	b.ReportMetric(float64(result.failedFirst), "failed-first")
	b.ReportMetric(float64(result.failedAfterRepeat), "failed-after-repeat")
	b.ReportMetric(result.latencies[len(result.latencies)/2].Seconds(), "median-s")
	b.ReportMetric(result.latencies[len(result.latencies)-1].Seconds(), "slowest-s")
	b.ReportMetric(0, "ns/op")
}

// call sends one request. If its answer is incomplete, it repeats the request once, from the position reached.
func (r *loadResult) call(lb *balancer, prompt string) {
	begin := time.Now()
	p := lb.pick()
	for p == nil {
		time.Sleep(balancerDelay / 4)
		p = lb.pick()
	}
	a := p.chat(prompt, faultTokens)
	complete := a.err == nil && a.text() == wantAnswer(prompt, faultTokens)
	completeAfterRepeat := complete
	if !complete {
		text, header := "", []string(nil)
		if id := a.lastID(); id != "" {
			text, header = completeText(a), []string{"Last-Event-ID", id}
		}
		// Clients wait before they repeat. Without the wait, the balancer could still pick the stopped instance.
		time.Sleep(balancerDelay)
		rest := lb.pick().chat(prompt, faultTokens, header...)
		completeAfterRepeat = rest.err == nil && text+rest.text() == wantAnswer(prompt, faultTokens)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	r.latencies = append(r.latencies, time.Since(begin))
	if !complete {
		r.failedFirst++
	}
	if !completeAfterRepeat {
		r.failedAfterRepeat++
	}
}
