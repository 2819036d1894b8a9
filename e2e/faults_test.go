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

// BenchmarkFaults loads three instances while one fault of the brief happens, and reports the requests that got no
// whole answer at the first try, those that still got none after the caller's one repeat, and the slowest answer.
func BenchmarkFaults(b *testing.B) {
	in := func(d time.Duration) time.Time { return time.Now().Add(d) }
	faults := []struct {
		name   string
		inject func(*world)
	}{
		{"none", func(*world) {}},
		{"endpoint reclaimed, 3 s notice", func(w *world) {
			w.notice(cloud.Notice{Instance: "m1", By: in(3 * time.Second)})
			w.engines["m1"].SetFaults(standin.EngineFaults{LeaveInMS: 3000})
		}},
		{"failure domain reclaimed, 3 s notice", func(w *world) {
			w.notice(cloud.Notice{FailureDomain: "a", By: in(3 * time.Second)})
			w.engines["m1"].SetFaults(standin.EngineFaults{LeaveInMS: 3000})
		}},
		{"endpoint crashes", func(w *world) { w.engines["m1"].SetFaults(standin.EngineFaults{DownNow: true}) }},
		{"instance killed", func(w *world) { _ = w.entries[0].cmd.Process.Kill() }},
		{"instance stopped", func(w *world) { w.entries[0].signal(w.t, syscall.SIGTERM) }},
		{"instance frozen 3 s", func(w *world) {
			w.entries[0].signal(w.t, syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			w.entries[0].signal(w.t, syscall.SIGCONT)
		}},
		{"store down", func(w *world) { w.store.SetFaults(standin.Faults{Down: true}) }},
		{"store slow, 1 s", func(w *world) { w.store.SetFaults(standin.Faults{Slow: standin.Duration(time.Second)}) }},
		{"instance list and notices down", func(w *world) {
			w.send("POST", w.cloud.URL+"/faults", []byte(`{"list_down":true,"notices_down":true}`))
		}},
		{"endpoint fails half of its requests", func(w *world) {
			w.engines["m1"].SetFaults(standin.EngineFaults{ErrorRate: 0.5, Seed: 1})
		}},
		{"endpoint goes silent", func(w *world) { w.engines["m1"].SetFaults(standin.EngineFaults{SilentFrom: 3}) }},
	}
	for _, f := range faults {
		b.Run(f.name, func(b *testing.B) {
			for b.Loop() {
				w := cluster(b)
				time.AfterFunc(faultAt, func() { f.inject(w) })
				w.reportLoad(b)
			}
		})
	}
}

// tally is what the callers of a load saw.
type tally struct {
	mu                       sync.Mutex
	requests, failed, broken int
	times                    []time.Duration
}

func (w *world) reportLoad(b *testing.B) {
	lb := w.balance(w.entries...)
	var sum tally
	var group sync.WaitGroup
	end := time.Now().Add(faultLoadTime)
	for caller := range faultCallers {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				sum.call(lb, fmt.Sprintf("caller %d asks %d", caller, n))
			}
		})
	}
	group.Wait()
	slices.SortFunc(sum.times, cmp.Compare)
	b.ReportMetric(float64(sum.requests), "requests")
	b.ReportMetric(float64(sum.failed), "failed-first")
	b.ReportMetric(float64(sum.broken), "failed-after-repeat")
	b.ReportMetric(sum.times[len(sum.times)/2].Seconds(), "median-s")
	b.ReportMetric(sum.times[len(sum.times)-1].Seconds(), "slowest-s")
	b.ReportMetric(0, "ns/op")
}

// call sends one request and, as a caller does, repeats it once from its position when it breaks off.
func (s *tally) call(lb *balancer, prompt string) {
	begin := time.Now()
	p := lb.pick()
	for p == nil {
		time.Sleep(balancerDelay / 4)
		p = lb.pick()
	}
	a := p.chat(prompt, faultTokens)
	whole := a.err == nil && a.text() == want(prompt, faultTokens)
	repaired := whole
	if !whole {
		text, header := "", []string(nil)
		if id := a.lastID(); id != "" {
			text, header = wholeText(a), []string{"Last-Event-ID", id}
		}
		// A client waits before it repeats; until then the balancer may still name the instance that is gone.
		time.Sleep(balancerDelay)
		rest := lb.pick().chat(prompt, faultTokens, header...)
		repaired = rest.err == nil && text+rest.text() == want(prompt, faultTokens)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.times = append(s.times, time.Since(begin))
	if !whole {
		s.failed++
	}
	if !repaired {
		s.broken++
	}
}
