package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/table"
)

var epoch = time.Unix(1_700_000_000, 0)

func service(n int) *table.Service {
	svc := &table.Service{
		Config: &config.Service{Name: "review", Kind: config.KindModel, ServingVersion: "v1", Concurrency: 16},
		Shares: []table.Share{{Version: "v1", Fraction: 1}},
	}
	for i := range n {
		svc.Endpoints = append(svc.Endpoints, &table.Endpoint{
			ID: fmt.Sprintf("e%05d", i), Version: "v1", Price: 2, Live: new(table.Counters),
			Load: table.Load{Running: i % 5, MeasuredAt: epoch},
		})
	}
	Build(svc, nil, epoch)
	return svc
}

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func promptRequest(hash uint64) Request {
	return Request{Prefixes: []Prefix{{Hash: hash, Tokens: 3000}}, PromptTokens: 4000, ExpectedOutputTokens: 100}
}

// Guards against choosing an endpoint that is leaving, suspect, isolated, at its limit or excluded, both when all
// endpoints are scanned and when only candidates are.
func TestChoose_SkipsUnusableEndpoints(t *testing.T) {
	for _, n := range []int{14, 2800} {
		svc, rng := service(n), seeded(1)
		for i, e := range svc.Endpoints {
			switch i % 6 {
			case 0:
				e.Condition = table.Leaving
			case 1:
				e.Condition = table.Suspect
				e.ProbeAfter = epoch.Add(-time.Hour)
			case 2:
				e.Live.InFlight.Store(16)
			case 3:
				e.Live.Isolated.Store(true)
			case 4:
				e.LeaveBy = epoch
			}
		}
		for i := range 500 {
			e, ok := Choose(svc, promptRequest(uint64(i)), epoch, rng)
			must.True(t, ok)
			must.Eq(t, "5", fmt.Sprint(index(svc, e)%6))
			req := promptRequest(uint64(i))
			req.Exclude = []string{e.ID}
			other, ok := Choose(svc, req, epoch, rng)
			must.True(t, ok)
			must.NotEq(t, e.ID, other.ID)
		}
	}
}

func index(svc *table.Service, e *table.Endpoint) int {
	for i, x := range svc.Endpoints {
		if x == e {
			return i
		}
	}
	return -1
}

// Guards against a refusal while one of many endpoints is still usable, and against a result when none is.
func TestChoose_FindsTheLastUsableEndpoint(t *testing.T) {
	svc, rng := service(2800), seeded(2)
	for _, e := range svc.Endpoints {
		e.Live.InFlight.Store(16)
	}
	_, ok := Choose(svc, promptRequest(7), epoch, rng)
	must.False(t, ok)
	svc.Endpoints[1234].Live.InFlight.Store(0)
	e, ok := Choose(svc, promptRequest(7), epoch, rng)
	must.True(t, ok)
	must.Eq(t, svc.Endpoints[1234], e)
}

// Guards against a suspect request that shares an endpoint with other requests.
func TestChoose_IsolateTakesOnlyIdleEndpoints(t *testing.T) {
	svc, rng := service(14), seeded(3)
	svc.Endpoints[0].Live.InFlight.Store(1)
	req := promptRequest(1)
	req.Isolate = true
	for range 50 {
		e, ok := Choose(svc, req, epoch, rng)
		must.True(t, ok)
		must.Eq(t, 0, e.Load.Running)
		must.Eq(t, 0, e.Live.InFlight.Load())
	}
}

// Guards against a retry that changes the version, traffic on a version without a share, and a refusal while another
// version with a share has endpoints.
func TestChoose_VersionFollowsShares(t *testing.T) {
	svc, rng := service(20), seeded(4)
	for i, e := range svc.Endpoints {
		e.Version = []string{"v1", "v2"}[i%2]
	}
	Build(svc, nil, epoch)
	svc.Shares = []table.Share{{Version: "v1", Fraction: 0.9}, {Version: "v2", Fraction: 0.1}}
	for i := range 1000 {
		req := promptRequest(uint64(i))
		req.Draw = float64(i) / 1000
		e, ok := Choose(svc, req, epoch, rng)
		must.True(t, ok)
		must.Eq(t, i >= 900, e.Version == "v2")
	}
	for i := 1; i < 20; i += 2 {
		svc.Endpoints[i].Condition = table.Leaving
	}
	e, ok := Choose(svc, Request{Draw: 0.95}, epoch, rng)
	must.True(t, ok)
	must.Eq(t, "v1", e.Version)
	_, ok = Choose(svc, Request{Version: "v2"}, epoch, rng)
	must.False(t, ok)
	svc.Shares = []table.Share{{Version: "v2", Fraction: 1}, {Version: "v1", Fraction: 0}}
	_, ok = Choose(svc, Request{Draw: 0.5}, epoch, rng)
	must.False(t, ok)
}

// Guards against instances that send the same prefix to different endpoints, and against a ring on which the removal of
// an endpoint moves the prefixes of others.
func TestChoose_AffinityHoldsAcrossInstancesAndChanges(t *testing.T) {
	a, b := service(2800), service(2800)
	for i := range a.Endpoints {
		a.Endpoints[i].Load.Running, b.Endpoints[i].Load.Running = 2, 2
	}
	b.Endpoints = append(b.Endpoints[:100:100], b.Endpoints[101:]...)
	Build(b, nil, epoch)
	same := 0
	for i := range 1000 {
		x, _ := Choose(a, promptRequest(uint64(i)), epoch, seeded(5))
		y, _ := Choose(b, promptRequest(uint64(i)), epoch, seeded(6))
		if x.ID == y.ID {
			same++
		}
	}
	must.Greater(t, 990, same)
}

// Guards against an endpoint that appears idle because it stopped reporting, and against work that a reclaim at a known
// time would cut off.
func TestChoose_StaleReportAndEndingEndpoint(t *testing.T) {
	svc, now := service(14), epoch.Add(time.Minute)
	for _, e := range svc.Endpoints[1:] {
		e.Load = table.Load{Running: 4, MeasuredAt: now}
	}
	svc.Endpoints[0].Load = table.Load{Running: 0, MeasuredAt: epoch}
	svc.Endpoints[1].Load = table.Load{Running: 0, MeasuredAt: now}
	svc.Endpoints[2].Load = table.Load{Running: 0, MeasuredAt: now}
	svc.Endpoints[2].LeaveBy = now.Add(500 * time.Millisecond)
	Build(svc, nil, now)
	for i := range 100 {
		e, ok := Choose(svc, Request{PromptTokens: 100, ExpectedOutputTokens: 200}, now, seeded(uint64(i)))
		must.True(t, ok)
		must.Eq(t, svc.Endpoints[1], e)
	}
}

// Guards against a popular prefix that keeps one endpoint overloaded while others are idle.
func TestChoose_BoundedLoadSpreadsAPopularPrefix(t *testing.T) {
	svc, req := service(14), Request{Prefixes: []Prefix{{Hash: 1, Tokens: 60_000}}, PromptTokens: 60_000, ExpectedOutputTokens: 10}
	for _, e := range svc.Endpoints {
		e.Load.Running = 0
	}
	hot := svc.Endpoints[3]
	hot.Live.Prefixes.Add(1, epoch)
	hot.Load.Running = 4
	Build(svc, nil, epoch)
	e, ok := Choose(svc, req, epoch, seeded(9))
	must.True(t, ok)
	must.Eq(t, hot, e)
	hot.Load.Running = 12
	Build(svc, nil, epoch)
	e, ok = Choose(svc, req, epoch, seeded(9))
	must.True(t, ok)
	must.NotEq(t, hot, e)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{14, 2800} {
		for _, name := range []string{"open", "full"} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				svc, rng := service(n), seeded(7)
				if name == "full" {
					for _, e := range svc.Endpoints {
						e.Live.InFlight.Store(16)
					}
				}
				prefixes := make([]Prefix, 2)
				req := Request{Prefixes: prefixes, PromptTokens: 4000, ExpectedOutputTokens: 100}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					prefixes[0] = Prefix{Hash: uint64(i % 1000), Tokens: 3000}
					prefixes[1] = Prefix{Hash: uint64(i), Tokens: 3500}
					Choose(svc, req, epoch, rng)
				}
			})
		}
	}
}

func BenchmarkCapacityRouteTable(b *testing.B) {
	for _, n := range []int{14, 100, 700, 2800} {
		for _, name := range []string{"new", "unchanged"} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				svc := service(n)
				prev := svc
				if name == "new" {
					prev = nil
				}
				b.ReportAllocs()
				for b.Loop() {
					Build(svc, prev, epoch)
				}
			})
		}
	}
}

// Guards against heap allocations on the request path.
func TestChoose_DoesNotAllocate(t *testing.T) {
	for _, n := range []int{14, 2800} {
		svc, rng, req := service(n), seeded(8), promptRequest(9)
		must.Eq(t, 0, testing.AllocsPerRun(100, func() { Choose(svc, req, epoch, rng) }))
	}
}
