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

// model is an endpoint that shares its capacity between the requests it runs: with n requests on c places, each takes
// max(1, n/c) times as long. There are always more requests waiting.
type model struct {
	limit    func() int
	finished func(latency time.Duration, inFlight int, now time.Time)
	running  []*modelRequest
}

type modelRequest struct {
	started  time.Time
	work     float64 // seconds left
	inFlight int
}

const (
	modelBase = 100 * time.Millisecond
	modelStep = 5 * time.Millisecond
)

// phase runs the model with a capacity and returns requests a second and the 95th percentile of latency, both of the
// second half.
func (m *model) phase(start time.Time, length time.Duration, capacity int) (rate float64, p95 time.Duration) {
	var latencies []time.Duration
	for now := start; now.Before(start.Add(length)); now = now.Add(modelStep) {
		for len(m.running) < m.limit() {
			// Spread the work by a half, in a fixed order.
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

// Guards against an adaptive limit that costs throughput or lets latency grow with the queue at the endpoint; compares
// it with fixed limits when the capacity changes from 16 to 4 and to 32.
func TestConcurrency_AgainstFixed(t *testing.T) {
	capacities := []int{16, 4, 32}
	run := func(limit func() int, finished func(time.Duration, int, time.Time)) (rates []float64, p95s []time.Duration) {
		m := &model{limit: limit, finished: finished}
		for i, c := range capacities {
			rate, p95 := m.phase(epoch.Add(time.Duration(i)*time.Minute), time.Minute, c)
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

// Guards against a member that keeps a grant, or its rate of refill, when its home can't be reached.
func TestShare_GrantEnds(t *testing.T) {
	g := newGlobal(100, 10)
	s := newShare(key{"s", "w"}, g, epoch)
	s.apply(grant{Home: true, Rate: 80}, epoch, epoch.Add(time.Millisecond), 4)
	must.Eq(t, 80, s.bucket.rate)
	s.failed(epoch.Add(2*time.Second), 4)
	must.Eq(t, 80, s.bucket.rate)
	s.settle(epoch.Add(grantLife), 4)
	must.Eq(t, 25, s.bucket.rate)

	idle := newShare(key{"s", "w"}, g, epoch)
	idle.apply(grant{Home: true, Rate: 0.1}, epoch, epoch, 4)
	idle.settle(epoch.Add(grantLife+time.Minute), 4)
	must.LessEq(t, 0.1*grantLife.Seconds(), idle.bucket.tokens)
}

// BenchmarkAdmit measures the decision with a grant at hand.
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

// Guards against a wrong order of refusals under overload: with twice the load, high priority must all pass and low
// must bear the loss. Without priorities each class loses about half.
func TestAdmit_PrioritiesUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		passed := overload(t, startAlone(testSnapshot(0, 0, 10), false), false)
		flat := overload(t, startAlone(testSnapshot(0, 0, 10), false), true)
		t.Logf("of 2,000 requests of each priority at twice the capacity passed: low %d, normal %d, high %d", passed[0], passed[1], passed[2])
		t.Logf("without priorities: %d, %d, %d", flat[0], flat[1], flat[2])
		must.Eq(t, 2000, passed[2])
		must.Less(t, 100, passed[0])
	})
}
