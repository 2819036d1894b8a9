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

// idleObservationTime is how long the cost of idle instances is measured.
const idleObservationTime = 15 * time.Second

// BenchmarkCapacityIdle reports the cost of idle instances that run as real processes: CPU time and resident memory of
// an instance, and store calls a minute of all instances together.
func BenchmarkCapacityIdle(b *testing.B) {
	for _, instances := range []int{3, 8, 16, 32} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			for b.Loop() {
				env := startCluster(b)
				for i := 3; i < instances; i++ {
					env.startInstance(fmt.Sprint("more-", i), string(rune('a'+i%4)))
				}
				env.awaitReady(env.entries...)
				time.Sleep(5 * time.Second)
				before, counts := env.cpuTime(), env.store.Counts()
				time.Sleep(idleObservationTime)
				used, after := env.cpuTime()-before, env.store.Counts()
				b.ReportMetric(100*used.Seconds()/idleObservationTime.Seconds()/float64(instances), "core-%/instance")
				b.ReportMetric(env.residentMB()/float64(instances), "MB/instance")
				calls := after.Reads + after.Writes - counts.Reads - counts.Writes
				b.ReportMetric(float64(calls)*60/idleObservationTime.Seconds(), "store-calls/min")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// cpuTime returns the user and system time of all instances. Fields 14 and 15 of /proc/<pid>/stat count ticks of
// 10 ms.
func (env *testEnv) cpuTime() time.Duration {
	var sum time.Duration
	for _, p := range env.entries {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		must.NoError(env.t, err)
		fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
		for _, f := range fields[11:13] {
			ticks, err := strconv.Atoi(f)
			must.NoError(env.t, err)
			sum += time.Duration(ticks) * 10 * time.Millisecond
		}
	}
	return sum
}

func (env *testEnv) residentMB() float64 {
	sum := 0.0
	for _, p := range env.entries {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
		must.NoError(env.t, err)
		pages, err := strconv.Atoi(strings.Fields(string(raw))[1])
		must.NoError(env.t, err)
		sum += float64(pages*os.Getpagesize()) / 1e6
	}
	return sum
}
