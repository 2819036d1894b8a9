package move

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	seeds = flag.Int("seeds", 0, "seeds for each case of the move experiment; 0: one seed of the quick cases, shorter")
	base  = flag.Uint64("seed", 1, "first seed of the move experiment")
)

const (
	modelLength = 20 * time.Minute
	quickLength = 8 * time.Minute // for normal test runs, which the race detector slows down tenfold
)

var cases = []scenario{
	{name: "fails at once, all", quick: true, bad: true, rate: 32, failRate: 0.005, extraFailRate: 1, route: -1},
	{name: "fails at once, 5 points", bad: true, rate: 32, failRate: 0.01, extraFailRate: 0.05, route: -1},
	{name: "fails later, 30 points", bad: true, rate: 32, failRate: 0.005, extraFailRate: 0.3, onset: 8 * time.Minute,
		route: -1},
	{name: "fails after done, 30 points", bad: true, rate: 32, failRate: 0.005, extraFailRate: 0.3,
		onset: 18 * time.Minute, route: -1},
	{name: "fails under load, 20 points", bad: true, rate: 32, failRate: 0.005, extraFailRate: 0.2, minLoad: 6, route: -1},
	{name: "fails on one route, 10 points", bad: true, rate: 32, failRate: 0.005, extraFailRate: 0.1, route: 2},
	{name: "1.5 times slower", quick: true, bad: true, rate: 32, failRate: 0.005, slow: 1.5, route: -1},
	{name: "good", quick: true, rate: 32, failRate: 0.005},
	{name: "good, noisy", rate: 32, failRate: 0.04},
	{name: "good, reclaim wave", quick: true, rate: 32, failRate: 0.01, reclaimWave: true},
	{name: "good, little traffic", quick: true, rate: 0.3, failRate: 0.005},
	{name: "good, store down 2 to 16 min", rate: 32, failRate: 0.005,
		storeDown: [2]time.Duration{2 * time.Minute, 16 * time.Minute}},
}

// summary aggregates the runs of a case under one policy.
type summary struct {
	runs, rolledBack, lateOutcomes, onTime, unsettled int
	newFraction                                       float64
	toZero                                            []time.Duration
	maxFactBytes                                      int
	length                                            time.Duration
}

func (s *summary) add(r result) {
	s.runs++
	s.newFraction += r.newFraction
	s.maxFactBytes = max(s.maxFactBytes, r.factBytes)
	if r.outcome == RolledBack || r.movedBack {
		s.rolledBack++
	}
	if r.outcome == "" {
		s.unsettled++
	}
	if r.outcome != "" && r.settled > s.length {
		s.lateOutcomes++
	}
	if r.onTime {
		s.onTime++
	}
	if r.toZero >= 0 {
		s.toZero = append(s.toZero, r.toZero)
	}
}

func (s *summary) row(name, policy string) string {
	slices.Sort(s.toZero)
	zero := "-"
	if n := len(s.toZero); n > 0 {
		zero = fmt.Sprintf("%.0f / %.0f / %.0f", s.toZero[n/2].Seconds(), s.toZero[n*95/100].Seconds(), s.toZero[n-1].Seconds())
	}
	return fmt.Sprintf("| %s | %s | %.2f%% | %s | %d of %d | %d of %d |", name, policy,
		100*s.newFraction/float64(s.runs), zero, s.rolledBack, s.runs, s.onTime, s.runs)
}

// experiment runs a case once for each seed, with at most four runs at a time and at most one for every two cores.
func experiment(sc scenario, fixed bool, seeds int, length time.Duration) *summary {
	var wg sync.WaitGroup
	results := make([]result, seeds)
	slots := make(chan struct{}, min(4, max(1, runtime.GOMAXPROCS(0)/2)))
	for i := range results {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			m := newModel(sc, *base+uint64(i), length)
			if fixed {
				m.fixed = &fixedSteps{}
			}
			results[i] = m.run(nil)
		})
	}
	wg.Wait()
	sum := &summary{length: length}
	for _, r := range results {
		sum.add(r)
	}
	return sum
}

// Guards against keeping bad versions and rolling back or delaying good ones more often than the stated error rates,
// and against outcomes that are missing or recorded after the deadline.
func TestMove_StatedErrorRates(t *testing.T) {
	rows := []string{"| case | policy | traffic on the new version | fault to zero share, median / p95 / max (s) | rolled back | done on time |",
		"|---|---|---|---|---|---|"}
	var good, lost, bad, kept, unsettled, late, bytes int
	n, length := *seeds, modelLength
	if n == 0 {
		n, length = 1, quickLength
	}
	for _, sc := range cases {
		if *seeds == 0 && !sc.quick {
			continue
		}
		result := experiment(sc, false, n, length)
		rows = append(rows, result.row(sc.name, "evidence"), experiment(sc, true, n, length).row(sc.name, "fixed steps"))
		bytes = max(bytes, result.maxFactBytes)
		unsettled += result.unsettled
		late += result.lateOutcomes
		if sc.bad {
			bad += result.runs
			kept += result.runs - result.rolledBack
			continue
		}
		good += result.runs
		lost += result.runs - result.onTime
	}
	t.Logf("%d seeds from %d, largest fact %d bytes\n%s", n, *base, bytes, strings.Join(rows, "\n"))
	must.LessEq(t, 512, bytes)
	must.Eq(t, 0, unsettled)
	must.Eq(t, 0, late)
	must.LessEq(t, bad/20, kept)
	must.LessEq(t, good/100, lost)
}
