package limit

import (
	"context"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// model simulates an endpoint that shares its capacity between the requests it runs: with n requests and a capacity of
// c, each takes max(1, n/c) times as long. There are always more requests waiting.
type model struct {
	limit    func() int
	finished func(latency time.Duration, inFlight int, now time.Time)
	running  []*modelRequest
}

type modelRequest struct {
	started  time.Time
	work     float64 // remaining seconds
	inFlight int
}

const (
	modelBase = 100 * time.Millisecond
	modelStep = 5 * time.Millisecond
)

// simulate runs the model with the given capacity and returns the requests a second and the 95th percentile of latency,
// both measured in the second half of length.
func (m *model) simulate(start time.Time, length time.Duration, capacity int) (rate float64, p95 time.Duration) {
	var latencies []time.Duration
	for now := start; now.Before(start.Add(length)); now = now.Add(modelStep) {
		for len(m.running) < m.limit() {
			// The work varies deterministically between 75% and 125%.
			work := modelBase.Seconds() * (0.75 + 0.5*math.Mod(float64(now.UnixNano()/1e6)*0.618+float64(len(m.running))*0.37, 1))
			m.running = append(m.running, &modelRequest{now, work, len(m.running) + 1})
		}
		speed := min(1, float64(capacity)/float64(len(m.running)))
		m.running = slices.DeleteFunc(m.running, func(r *modelRequest) bool {
			r.work -= modelStep.Seconds() * speed
			if r.work > 0 {
				return false
			}
			latency := now.Sub(r.started) + modelStep
			m.finished(latency, r.inFlight, now)
			if now.Sub(start) > length/2 {
				latencies = append(latencies, latency)
			}
			return true
		})
	}
	slices.Sort(latencies)
	return float64(len(latencies)) / (length / 2).Seconds(), latencies[len(latencies)*95/100]
}

// Guards against an adaptive limit that reduces throughput or lets latency grow with the queue at the endpoint, while
// the capacity changes from 16 to 4 and to 32. The test logs the results of fixed limits for comparison.
func TestConcurrency_AgainstFixed(t *testing.T) {
	capacities := []int{16, 4, 32}
	run := func(limit func() int, finished func(time.Duration, int, time.Time)) (rates []float64, p95s []time.Duration) {
		m := &model{limit: limit, finished: finished}
		for i, c := range capacities {
			rate, p95 := m.simulate(epoch.Add(time.Duration(i)*time.Minute), time.Minute, c)
			rates, p95s = append(rates, rate), append(p95s, p95)
		}
		return rates, p95s
	}
	for _, fixed := range []int{4, 16, 32} {
		rates, p95s := run(func() int { return fixed }, func(time.Duration, int, time.Time) {})
		t.Logf("capacity %v, fixed limit %2d: %.0f requests/s, p95 %v", capacities, fixed, rates, p95s)
	}
	c := newConcurrency(16, 64)
	rates, p95s := run(func() int { return int(c.limit) }, func(latency time.Duration, inFlight int, now time.Time) {
		c.sample(latency, inFlight, false, now)
	})
	t.Logf("capacity %v, adaptive limit : %.0f requests/s, p95 %v", capacities, rates, p95s)
	for i, capacity := range capacities {
		must.Greater(t, 0.9*float64(capacity)/modelBase.Seconds(), rates[i])
		must.Less(t, 3*modelBase, p95s[i])
	}
}

// Guards against a member that keeps a grant, or its refill rate, after the grant's lifetime while the owner can't be
// reached.
func TestShare_GrantEnds(t *testing.T) {
	g := newGlobalLimit(100, 10)
	s := newShare(key{"s", "w"}, g, epoch)
	s.apply(grant{IsOwner: true, Rate: 80}, epoch, epoch.Add(time.Millisecond), 4)
	must.Eq(t, 80, s.bucket.rate)
	s.applyFailure(epoch.Add(2*time.Second), 4)
	must.Eq(t, 80, s.bucket.rate)
	s.expireGrant(epoch.Add(grantLifetime), 4)
	must.Eq(t, 25, s.bucket.rate)

	idle := newShare(key{"s", "w"}, g, epoch)
	idle.apply(grant{IsOwner: true, Rate: 0.1}, epoch, epoch, 4)
	idle.expireGrant(epoch.Add(grantLifetime+time.Minute), 4)
	must.LessEq(t, 0.1*grantLifetime.Seconds(), idle.bucket.tokens)
}

// BenchmarkAdmit measures the admission of a request while there is a grant.
func BenchmarkAdmit(b *testing.B) {
	mesh := (&fakeNet{nodes: map[string]*fakeMesh{}}).add("a")
	a := New(Settings{Mesh: mesh})
	a.Update(testSnapshot(1e9, 1e9, 1000))
	a.Start()
	defer a.Close()
	r := Request{Service: "s", Workspace: "w", Deadline: time.Now().Add(time.Hour)}
	for b.Loop() {
		release, err := a.Admit(context.Background(), r)
		if err != nil {
			b.Fatal(err)
		}
		release(Result{})
	}
}

// Guards against refusing the wrong requests under overload: at twice the capacity, all requests of high priority must
// be admitted and those of low priority refused. Without priorities about half of each class is refused.
func TestAdmit_PrioritiesUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admitted := overload(t, startSingle(testSnapshot(0, 0, 10), false), false)
		flat := overload(t, startSingle(testSnapshot(0, 0, 10), false), true)
		t.Logf("admitted of 2,000 requests of each priority at twice the capacity: low %d, normal %d, high %d", admitted[0], admitted[1], admitted[2])
		t.Logf("without priorities: %d, %d, %d", flat[0], flat[1], flat[2])
		must.Eq(t, 2000, admitted[2])
		must.Less(t, 100, admitted[0])
	})
}
