package e2e

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// idleTime is how long the idle cost of instances is observed.
const idleTime = 15 * time.Second

// BenchmarkCapacityIdle reports what instances cost as real processes that serve nothing: processor time, resident
// memory, and calls to the store a minute for all together.
func BenchmarkCapacityIdle(b *testing.B) {
	for _, instances := range []int{3, 8, 16, 32} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			for b.Loop() {
				w := cluster(b)
				for i := 3; i < instances; i++ {
					w.start(fmt.Sprint("more-", i), string(rune('a'+i%4)))
				}
				w.awaitReady(w.entries...)
				time.Sleep(5 * time.Second)
				before, counts := w.processorTime(), w.store.Counts()
				time.Sleep(idleTime)
				used, after := w.processorTime()-before, w.store.Counts()
				b.ReportMetric(100*used.Seconds()/idleTime.Seconds()/float64(instances), "core-%/instance")
				b.ReportMetric(w.residentMB()/float64(instances), "MB/instance")
				calls := after.Reads + after.Writes - counts.Reads - counts.Writes
				b.ReportMetric(float64(calls)*60/idleTime.Seconds(), "store-calls/min")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// processorTime returns the user and system time of all instances. Fields 14 and 15 of /proc/<pid>/stat count ticks of
// 10 ms.
func (w *world) processorTime() time.Duration {
	var sum time.Duration
	for _, p := range w.entries {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		must.NoError(w.t, err)
		fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
		for _, f := range fields[11:13] {
			ticks, err := strconv.Atoi(f)
			must.NoError(w.t, err)
			sum += time.Duration(ticks) * 10 * time.Millisecond
		}
	}
	return sum
}

func (w *world) residentMB() float64 {
	sum := 0.0
	for _, p := range w.entries {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
		must.NoError(w.t, err)
		pages, err := strconv.Atoi(strings.Fields(string(raw))[1])
		must.NoError(w.t, err)
		sum += float64(pages*os.Getpagesize()) / 1e6
	}
	return sum
}
