package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	loadTime        = 4 * time.Second
	responseSize    = 200 // bytes; a booking confirmation
	targetInstances = 650
)

// BenchmarkCapacityClaims measures store writes, bytes transferred, added latency and CPU use by call rate.
func BenchmarkCapacityClaims(b *testing.B) {
	for _, instances := range []int{8, 64} {
		for _, rate := range []int{10, 50, 200, 420, 1000, 2000} {
			b.Run(fmt.Sprintf("instances=%d/rate=%d", instances, rate), func(b *testing.B) {
				for b.Loop() {
					measureLoad(b, instances, rate)
				}
			})
		}
	}
	b.Run("memory", measureMemory)
}

// prefill gives each slot an open segment between empty and full, as after a long time under load.
func (c *cluster) prefill(opts Options) {
	opts = opts.withDefaults()
	for slot := range opts.Slots {
		h := head{}
		for size := 0; size < opts.sealBytes*(2*slot+1)/(2*opts.Slots); {
			e := entry{Key: newID(), Attempt: newID(), State: stateDone, Response: &Response{Status: 200, Body: make([]byte, responseSize)}}
			h.Open, size = append(h.Open, e), size+e.size()
		}
		_, _ = c.store.put(fmt.Sprint("claim/", slot), encode(h), 0)
	}
	c.store.writes, c.store.bytes = 0, 0
}

type load struct {
	mu       sync.Mutex
	hist     *hdrhistogram.Histogram // microseconds
	failed   atomic.Int64
	calls    sync.WaitGroup
	services []*Service
}

func newLoad(c *cluster) *load {
	return &load{hist: hdrhistogram.New(1, 60_000_000, 3), services: c.services}
}

func (l *load) call(s *Service) {
	defer l.calls.Done()
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	key := newID()
	r, err := s.Claim(ctx, testCall(string(key[:]), ""))
	if err != nil || r.Attempt == nil {
		l.failed.Add(1)
		return
	}
	took := time.Since(start).Microseconds()
	l.mu.Lock()
	_ = l.hist.RecordValue(took)
	l.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	s.Complete(r.Attempt, Response{Status: 200, Body: make([]byte, responseSize)})
}

// generate starts calls at random instances for loadTime, as a Poisson process.
func (l *load) generate(rate int, rng *rand.Rand) (calls int) {
	begin, at := time.Now(), time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / float64(rate) * float64(time.Second))
		if at > loadTime {
			return calls
		}
		time.Sleep(time.Until(begin.Add(at)))
		l.calls.Add(1)
		calls++
		go l.call(l.services[rng.IntN(len(l.services))])
	}
}

func measureLoad(b *testing.B, instances, rate int) {
	c := newCluster(instances, 1, Options{})
	c.prefill(Options{})
	l := newLoad(c)
	cpu := cpuTime()
	calls := l.generate(rate, rand.New(rand.NewPCG(1, uint64(rate))))
	used := cpuTime() - cpu
	writes, bytes := c.store.traffic()
	c.net.mu.Lock()
	bytes += 2 * c.net.bytes // sent by one instance, received by another
	c.net.mu.Unlock()
	l.calls.Wait()
	c.stop()
	seconds := loadTime.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(calls)/seconds, "calls/s")
	b.ReportMetric(float64(writes)/seconds, "writes/s")
	b.ReportMetric(float64(bytes)/seconds, "bytes/s")
	b.ReportMetric(float64(bytes)/seconds/targetInstances, "bytes/s/node650")
	b.ReportMetric(float64(l.hist.ValueAtQuantile(50))/1000, "p50-added-ms")
	b.ReportMetric(float64(l.hist.ValueAtQuantile(95))/1000, "p95-added-ms")
	b.ReportMetric(100*used.Seconds()/seconds, "core-%")
	b.ReportMetric(float64(l.failed.Load()), "failed")
}

// cpuTime includes the load generator and the fakes, so it bounds the service's use from above.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureMemory reports the memory that an owner needs for claims in sealed segments.
func measureMemory(b *testing.B) {
	const claims, perSegment = 200_000, 800
	for b.Loop() {
		cache := newSegmentCache(nil, 1<<30)
		before := heap()
		for seq := range claims / perSegment {
			entries := make([]entry, perSegment)
			for i := range entries {
				entries[i].Key = newID()
			}
			cache.add(segmentID{0, uint64(seq)}, entries)
		}
		b.ReportMetric(float64(heap()-before)/claims*1000, "B/1000claims")
		runtime.KeepAlive(cache)
	}
	b.ReportMetric(0, "ns/op")
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
