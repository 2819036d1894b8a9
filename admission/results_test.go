package admission_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// tally sums up the calls of one group.
type tally struct{ calls, inTime, late, timedOut, refused, prompt, value, work float64 }

func (t *tally) add(c *call) {
	t.calls++
	t.work += c.kind.work()
	switch c.result {
	case inTime:
		t.inTime++
		t.value += c.kind.work()
		if c.prompt {
			t.prompt++
		}
	case late:
		t.late++
		t.value += c.kind.work() / 10
	case timedOut:
		t.timedOut++
	case refused:
		t.refused++
	}
}

// rejected returns the rejections by endpoints.
func (m *simulation) rejected() (n int) {
	for _, e := range m.engines {
		n += e.rejected
	}
	return n
}

// utilization returns the mean and the standard deviation of the share of the slots in use in a time, in steps of 100 ms.
func (m *simulation) utilization(from, to time.Duration) (mean, deviation float64) {
	const step = 20
	n, squares := 0.0, 0.0
	for i := int(from / tick); i+step <= int(to/tick); i += step {
		used := 0.0
		for _, u := range m.used[i : i+step] {
			used += u / step
		}
		n++
		mean += used
		squares += used * used
	}
	mean /= n
	return mean, math.Sqrt(max(0, squares/n-mean*mean))
}

// served returns the share of the calls that were answered.
func (t *tally) served() float64 { return (t.inTime + t.late) / t.calls }

// earned returns the share of the value of the calls.
func (t *tally) earned() float64 { return t.value / t.work }

func (t *tally) row(name string) string {
	return fmt.Sprintf("| %-22s | %5.0f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f |", name, t.calls, t.inTime/t.calls, t.late/t.calls, t.timedOut/t.calls, t.refused/t.calls,
		t.earned(), t.prompt/t.calls)
}

// by groups the calls.
func (m *simulation) by(group func(c *call) string) map[string]*tally {
	tallies := map[string]*tally{}
	for _, c := range m.calls {
		t := tallies[group(c)]
		if t == nil {
			t = &tally{}
			tallies[group(c)] = t
		}
		t.add(c)
	}
	return tallies
}

func (m *simulation) total() *tally { return m.by(func(*call) string { return "" })[""] }

func (m *simulation) byKind() map[string]*tally {
	return m.by(func(c *call) string { return c.kind.name })
}

func (m *simulation) byWorkspace() map[string]*tally {
	return m.by(func(c *call) string { return c.workspace })
}

// table returns the results as rows of a table.
func (m *simulation) table() string {
	var b strings.Builder
	policy := "first come"
	if m.admit {
		policy = "admission"
	}
	fmt.Fprintf(&b, "\n%s, %s\n| group | calls | in time | late | timed out | refused | value | in time since first |\n", m.name, policy)
	fmt.Fprintln(&b, m.total().row("all"))
	for _, groups := range []map[string]*tally{m.byKind(), m.byWorkspace()} {
		names := make([]string, 0, len(groups))
		for name := range groups {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintln(&b, groups[name].row(name))
		}
	}
	return b.String()
}
