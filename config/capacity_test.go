package config

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	benchServices = 320
	benchChanges  = 30
	// benchScale is the factor by which the long intervals are shortened, so that 3 s represent a minute without
	// changes.
	benchScale = 20
)

// BenchmarkCapacityDistribution measures the time until a change is in force everywhere and the number of store calls
// for different numbers of instances in four failure domains. The fake store takes 2 ms a read, the fake mesh 1 ms a
// message; facts reach every member in one hop.
func BenchmarkCapacityDistribution(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64, 128} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureDistribution(b, n)
			}
		})
	}
}

func measureDistribution(b *testing.B, n int) {
	f := startedFleet(b, n, DefaultTiming())
	var times []time.Duration
	calls := f.callsWhile(func() {
		for i := range benchChanges {
			publish(b, &operatorStore{f.store}, service(fmt.Sprintf("s%04d", i), i+2))
			took, ok := f.waitInForce(uint64(i+2), inForceBound)
			must.True(b, ok)
			times = append(times, took)
			time.Sleep(20 * time.Millisecond)
		}
	})
	f.stop()
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds()*1000, "ms-in-force-median")
	b.ReportMetric(times[len(times)-1].Seconds()*1000, "ms-in-force-max")
	b.ReportMetric(float64(calls)/benchChanges, "store-calls/change")
	b.ReportMetric(float64(slices.Max(f.net.servedBytes()))/benchChanges, "B-served-max/change")
	b.ReportMetric(float64(idleCalls(b, n)), "store-calls/idle-min")
	b.ReportMetric(0, "ns/op")
}

// idleCalls returns the store calls in a minute without changes.
func idleCalls(b *testing.B, n int) int {
	timing := DefaultTiming()
	timing.PollInterval /= benchScale
	timing.WatchTimeout /= benchScale
	timing.RoleCheckInterval /= benchScale
	f := startedFleet(b, n, timing)
	defer f.stop()
	return f.callsWhile(func() { time.Sleep(time.Minute / benchScale) })
}

func startedFleet(b *testing.B, n int, timing Timing) *fleet {
	f := newFleet(b, 0, 0)
	f.checkInterval = time.Millisecond
	f.timing = timing
	f.store.readDelay = 2 * time.Millisecond
	for i := range n {
		f.add(fmt.Sprintf("fd%d", i%4))
	}
	services := make([]Service, benchServices)
	for i := range services {
		services[i] = service(fmt.Sprintf("s%04d", i), 1)
	}
	publish(b, &operatorStore{f.store}, services...)
	f.run(f.instances...)
	f.mustBeInForce(1, inForceBound)
	return f
}

// callsWhile returns the store calls of the instances while fn runs.
func (f *fleet) callsWhile(fn func()) int {
	f.store.update(func(m *memStore) { m.calls = 0 })
	f.net.resetServed()
	fn()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.calls
}
