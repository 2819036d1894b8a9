package core

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
)

// BenchmarkCapacityCore measures a tick with 4 finished attempts (40 a second, above the 32 of a node at the target)
// and one load report, at 14 to 2,800 endpoints. There is one service for every five endpoints, but at least 2 and at
// most 100 services.
func BenchmarkCapacityCore(b *testing.B) {
	for _, endpoints := range []int{14, 100, 700, 2800} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c, instances := newCoreOfSize(endpoints)
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := start
			for b.Loop() {
				now = now.Add(TickInterval)
				events := make([]Event, 0, 5)
				for i := range 4 {
					in := instances[(i*31)%len(instances)]
					events = append(events, AttemptDone{Endpoint: in.ID, Service: in.Service, Version: in.Version, Route: "chat"})
				}
				c.Step(now, events...)
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1e3, "kB-state")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(TickInterval.Nanoseconds())*100, "core-%")
		})
	}
}

func newCoreOfSize(endpoints int) (*Core, []cloud.Instance) {
	services := min(max(endpoints/5, 2), 100)
	var cfg []config.Service
	for i := range services {
		cfg = append(cfg, config.Service{Name: fmt.Sprint("service-", i), Kind: config.KindModel, ServingVersion: "v1"})
	}
	var instances []cloud.Instance
	for i := range endpoints {
		instances = append(instances, cloud.Instance{
			ID: fmt.Sprint("endpoint-", i), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), FailureDomain: fmt.Sprint("fd", i%5),
			Role: cloud.RoleEndpoint, Service: cfg[i%services].Name, Version: "v1", State: cloud.StateLive,
		})
	}
	c := New(Settings{Instance: "entry-1"})
	c.Step(start, ConfigAccepted{Revision: 1, Services: cfg}, InstancesListed{Instances: instances})
	c.Step(start.Add(time.Second))
	return c, instances
}
