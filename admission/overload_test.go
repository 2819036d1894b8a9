package admission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// steady returns a factor of the load that is 1 except for some time.
func steady(factor float64, from, length time.Duration) func(time.Duration, int) float64 {
	return func(at time.Duration, _ int) float64 {
		if at >= from && at < from+length {
			return factor
		}
		return 1
	}
}

const ms = time.Millisecond

// burst lasts for 7 s, and is about 1.8 times the capacity of the engines.
var burst = steady(3, 2*time.Second, 7*time.Second)

func engineKinds(scale float64) []kind {
	return []kind{
		{name: "long 12k", rank: 0, input: 12_000, output: 150, objective: 500 * ms, timeout: 6 * time.Second, rate: 80 * scale},
		{name: "long 4k", rank: 0, input: 4_000, output: 150, objective: 500 * ms, timeout: 6 * time.Second, rate: 160 * scale},
		{name: "chat", rank: 1, input: 800, output: 200, objective: 800 * ms, timeout: 8 * time.Second, rate: 500 * scale},
		{name: "tag", rank: 2, input: 300, output: 30, objective: 2000 * ms, timeout: 2500 * ms, rate: 600 * scale},
	}
}

// engines is a scenario of 50 instances in front of 56 engines, whose reports are 300 ms old when they arrive.
func engines(name string, factor func(time.Duration, int) float64) scenario {
	return scenario{
		name: name, instances: 50, endpoints: 56, slots: 24, memory: 150_000, kinds: engineKinds(0.5), workspaces: []float64{3, 2, 1, 1},
		factor: factor, duration: 12 * time.Second, reportAge: 300 * ms,
	}
}

// compare runs a scenario without and with admission.
func compare(t *testing.T, s scenario) (first, admitted *simulation) {
	t.Parallel()
	first, admitted = newSimulation(s, false).play(), newSimulation(s, true).play()
	t.Log(first.table() + admitted.table())
	return first, admitted
}

// requireOrder fails if a kind of a scenario with three ranks of engineKinds was served less often than a less urgent one,
// or if one was starved.
func requireOrder(t *testing.T, m *simulation) {
	t.Helper()
	kinds := m.byKind()
	must.LessEq(t, kinds["long 12k"].served(), kinds["chat"].served())
	must.LessEq(t, kinds["long 4k"].served(), kinds["chat"].served())
	must.LessEq(t, kinds["chat"].served(), kinds["tag"].served())
	must.Greater(t, 0.1, kinds["tag"].served())
	must.Greater(t, 0.9*kinds["long 4k"].served(), kinds["long 12k"].served())
}

// Guards against holding requests back while there is room for all, also when the load is high.
func TestLoad_EnoughCapacity(t *testing.T) {
	for _, factor := range []float64{1, 1.3} {
		t.Run("", func(t *testing.T) {
			_, m := compare(t, engines("enough capacity", steady(factor, 0, time.Minute)))
			must.Zero(t, m.delayed)
			must.Zero(t, m.total().refused)
		})
	}
}

// Guards against an overload in which the urgent and long requests are refused as often as the others, and requests are
// served too late.
func TestLoad_Overload(t *testing.T) {
	first, m := compare(t, engines("overload", burst))
	must.Greater(t, first.total().earned()+0.05, m.total().earned())
	requireOrder(t, m)
}

// Guards against windows that oscillate or leave room idle, because 100 instances see the same reports late.
func TestLoad_StaleReports(t *testing.T) {
	s := engines("stale reports", burst)
	s.instances, s.endpoints, s.kinds, s.reportAge = 100, 112, engineKinds(1), time.Second
	first, m := compare(t, s)
	mean, deviation := m.utilization(4*time.Second, 9*time.Second)
	t.Logf("slots in use: %.3f, standard deviation %.3f", mean, deviation)
	must.Greater(t, 0.8, mean)
	must.Less(t, 0.06, deviation)
	must.Greater(t, first.total().earned(), m.total().earned())
}

// Guards against a window that is useless with a few requests a second at each instance.
func TestLoad_FewRequests(t *testing.T) {
	s := engines("few requests", burst)
	s.instances, s.endpoints, s.kinds = 100, 20, engineKinds(0.18)
	first, m := compare(t, s)
	must.Greater(t, first.total().earned(), m.total().earned())
	requireOrder(t, m)
}

// Guards against a lasting shortage in which all kinds are late, after a seventh of the endpoints is lost.
func TestLoad_LossOfEndpoints(t *testing.T) {
	s := engines("loss of a seventh", steady(1.9, 0, time.Minute))
	s.lostAt = 3 * time.Second
	first, m := compare(t, s)
	must.Greater(t, first.total().earned(), m.total().earned())
	requireOrder(t, m)
}

// Guards against one workspace taking the capacity of the others.
func TestLoad_LargeWorkspace(t *testing.T) {
	const large = 2
	first, m := compare(t, engines("large workspace", func(at time.Duration, w int) float64 {
		if w == large && at >= 2*time.Second && at < 9*time.Second {
			return 7.5
		}
		return 1.3
	}))
	must.Greater(t, first.total().earned(), m.total().earned())
	before, after := first.byWorkspace(), m.byWorkspace()
	for _, w := range []string{"w0", "w1", "w3"} {
		must.Greater(t, before[w].earned(), after[w].earned())
		must.Greater(t, after["w2"].served(), after[w].served())
	}
}

// Guards against callers that repeat at once taking the place of those that wait as they are asked to.
func TestLoad_ImpatientCallers(t *testing.T) {
	s := engines("repeats at once", burst)
	s.impatient = 0.5
	first, m := compare(t, s)
	must.Greater(t, first.total().earned(), m.total().earned())
	requireOrder(t, m)
}

// Guards against plain endpoints, which know no priorities, rejecting urgent calls as often as others, and against an
// overload that uses up the retry budget.
func TestLoad_PlainEndpoints(t *testing.T) {
	s := scenario{
		name: "plain endpoints", instances: 50, endpoints: 20, slots: 6, workspaces: []float64{3, 2, 1, 1},
		factor: steady(4, 2*time.Second, 7*time.Second), duration: 12 * time.Second, reportAge: 20 * ms,
		kinds: []kind{
			{name: "order", rank: 0, output: 40, objective: 150 * ms, timeout: 1500 * ms, rate: 500},
			{name: "lookup", rank: 1, output: 20, objective: 250 * ms, timeout: 2 * time.Second, rate: 1150},
		},
	}
	first, m := compare(t, s)
	t.Logf("rejections by endpoints: %d, with admission %d", first.rejected(), m.rejected())
	must.Less(t, first.rejected()/10, m.rejected())
	must.Greater(t, first.byKind()["order"].earned()+0.05, m.byKind()["order"].earned())
	must.Greater(t, 0.4, m.byKind()["lookup"].served())
}
