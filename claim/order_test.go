package claim

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoillug/trefoillug/problem"
)

// TestMain fixes the seed of property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// ending is how a call ends, or the point at which its instance is killed.
type ending int

const (
	completes ending = iota
	endsUnknown
	dialFails
	killedBeforeClaim
	killedAfterClaim
	killedAfterDispatch
	endingCount
)

// deadlineOffset keeps deadlines from coinciding with the end of a store read.
const deadlineOffset = 137 * time.Microsecond

type caller struct {
	Instance, Key int
	Start, Wait   time.Duration
	DispatchDelay time.Duration // between the grant and the dispatch
	Ending        ending
}

type phase struct {
	At     time.Duration
	Faults []faults
	Views  [][]bool // per instance: the members in its view besides itself
}

type scenario struct {
	Seed      uint64
	Instances int
	Seal      int
	Slots     int
	Callers   []caller
	Phases    []phase
}

func drawMillis(t *rapid.T, lo, hi int, name string) time.Duration {
	return time.Duration(rapid.IntRange(lo, hi).Draw(t, name)) * time.Millisecond
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{Seed: rapid.Uint64().Draw(t, "seed"), Instances: rapid.IntRange(1, 5).Draw(t, "instances")}
	s.Seal = rapid.SampledFrom([]int{1, 200, 1 << 18}).Draw(t, "seal")
	s.Slots = rapid.SampledFrom([]int{1, 16}).Draw(t, "slots")
	for range rapid.IntRange(2, 16).Draw(t, "callers") {
		s.Callers = append(s.Callers, caller{
			Instance: rapid.IntRange(0, s.Instances-1).Draw(t, "instance"), Key: rapid.IntRange(0, 2).Draw(t, "key"),
			// Callers that start a few milliseconds apart make instances write a slot at the same time.
			Start:         time.Duration(rapid.IntRange(0, 4).Draw(t, "second"))*time.Second + drawMillis(t, 0, 5, "start"),
			Wait:          drawMillis(t, 50, 5000, "wait") + deadlineOffset,
			DispatchDelay: drawMillis(t, 0, 9000, "dispatchDelay") * time.Duration(rapid.IntRange(0, 1).Draw(t, "delayed")),
			Ending:        ending(rapid.IntRange(0, int(endingCount)-1).Draw(t, "ending")),
		})
	}
	share := rapid.SampledFrom([]float64{0, 0, 0, 0.5, 1})
	for range rapid.IntRange(0, 4).Draw(t, "phases") {
		p := phase{At: drawMillis(t, 0, 5000, "at")}
		for range s.Instances {
			p.Faults = append(p.Faults, faults{
				Down: share.Draw(t, "down"), Lost: share.Draw(t, "lost"), Late: share.Draw(t, "late"),
				Slow: share.Draw(t, "slow"), Partitioned: share.Draw(t, "partitioned"), AnswerLost: share.Draw(t, "answerLost"),
			})
			p.Views = append(p.Views, rapid.SliceOfN(rapid.Bool(), s.Instances, s.Instances).Draw(t, "view"))
		}
		s.Phases = append(s.Phases, p)
	}
	slices.SortFunc(s.Phases, func(a, b phase) int { return int(a.At - b.At) })
	return s
}

// run executes a scenario, with an endpoint that counts the runs of each key.
type run struct {
	*cluster
	opts       Options
	mu         sync.Mutex
	runs       map[int]int
	ranAt      map[int]time.Time
	killed     bool
	violations []string
}

func (r *run) report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *run) endpoint(key int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[key]++
	r.ranAt[key] = time.Now()
	if r.runs[key] > 1 {
		r.violations = append(r.violations, fmt.Sprintf("key %d ran %d times", key, r.runs[key]))
	}
}

func (r *run) service(i int) *Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.services[i]
}

// kill replaces an instance by one with an empty cache.
func (r *run) kill(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.killed = true
	r.services[i].cancel()
	r.services[i] = New(r.clients[i], r.meshes[i], r.opts)
}

func (r *run) apply(p phase) {
	for i := range r.ids {
		view := []string{r.ids[i]}
		for j, seen := range p.Views[i] {
			if seen && j != i {
				view = append(view, r.ids[j])
			}
		}
		r.clients[i].set(p.Faults[i])
		r.meshes[i].set(p.Faults[i], view)
	}
}

func (r *run) clearFaults() {
	for i := range r.ids {
		r.clients[i].set(faults{})
		r.meshes[i].set(faults{}, r.ids)
	}
}

func (r *run) call(c caller) {
	time.Sleep(c.Start)
	if c.Ending == killedBeforeClaim {
		time.AfterFunc(time.Millisecond, func() { r.kill(c.Instance) })
	}
	s, start := r.service(c.Instance), time.Now()
	res, err := s.Claim(timeoutContext(c.Wait), testCall(fmt.Sprint(c.Key), ""))
	if s.ctx.Err() != nil && err != nil {
		return // a killed instance sends no answer
	}
	if err != nil {
		r.checkRefusal(s, c.Key, start, err)
		return
	}
	if res.Attempt == nil {
		return
	}
	if time.Since(start) >= c.Wait {
		r.report("key %d granted after the deadline", c.Key)
	}
	time.Sleep(c.DispatchDelay)
	switch c.Ending {
	case dialFails:
		s.Release(res.Attempt)
	case killedAfterClaim:
		r.kill(c.Instance)
	case killedAfterDispatch:
		r.endpoint(c.Key)
		r.kill(c.Instance)
	case endsUnknown:
		r.endpoint(c.Key)
		s.MarkUnknown(res.Attempt)
	default:
		r.endpoint(c.Key)
		s.Complete(res.Attempt, Response{Status: 200})
	}
}

// checkRefusal reports a violation when a key that ran before the request began is refused as not run. It applies only
// when the instance could read the slot during the request. Otherwise a repeat can't be told from a first call, and the
// refusal is about this request only, as the doc comment of Claim says.
func (r *run) checkRefusal(s *Service, key int, start time.Time, err error) {
	notRun := problem.AnswerFor(problem.KindOf(err)).Outcome == problem.NotRun
	r.mu.Lock()
	ranAt, ran := r.ranAt[key]
	r.mu.Unlock()
	if !notRun || !ran || !ranAt.Before(start) || viewOutdated(s, key, start) {
		return
	}
	r.report("key %d refused as not run after it ran: %v", key, err)
}

// viewOutdated reports whether the instance has not read the slot since start or lacks the index of a sealed segment.
func viewOutdated(s *Service, key int, start time.Time) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sl := s.slots[s.newAttempt(ctx, testCall(fmt.Sprint(key), "")).slot]
	sl.mu.Lock()
	defer sl.mu.Unlock()
	for ref := range sl.view.sealed() {
		if _, cached := s.cache.get(segmentID{sl.number, ref.Seq}); !cached {
			return true
		}
	}
	return sl.viewConfirmedAt.Before(start)
}

// finish checks, after all faults are cleared, that keys that ran can't be claimed again and that the others can,
// unless a killed instance may have held them.
func (r *run) finish() {
	for key := range 3 {
		res, err := r.service(0).Claim(timeoutContext(3*time.Second), testCall(fmt.Sprint(key), ""))
		switch {
		case err != nil && problem.KindOf(err) != problem.OutcomeUnknown:
			r.report("key %d after all faults: %v", key, err)
		case err != nil && r.runs[key] == 0 && !r.killed:
			r.report("key %d is blocked without a run", key)
		case err == nil && res.Attempt != nil && r.runs[key] > 0:
			r.report("key %d granted again after it ran", key)
		case err == nil && res.Response != nil && r.runs[key] == 0:
			r.report("key %d has a response without a run", key)
		}
	}
}

func (s scenario) execute(t *testing.T) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		opts := Options{sealBytes: s.Seal, mergeBytes: 3 * s.Seal, Slots: s.Slots}
		r := &run{cluster: newCluster(s.Instances, s.Seed, opts), opts: opts, runs: map[int]int{}, ranAt: map[int]time.Time{}}
		defer r.stop()
		var wg sync.WaitGroup
		for _, c := range s.Callers {
			wg.Go(func() { r.call(c) })
		}
		begin := time.Now()
		for _, p := range s.Phases {
			time.Sleep(time.Until(begin.Add(p.At)))
			r.apply(p)
		}
		time.Sleep(time.Until(begin.Add(12 * time.Second)))
		r.clearFaults()
		wg.Wait()
		time.Sleep(15 * time.Second)
		r.finish()
		violations = r.violations
	})
	return violations
}

// Guards against a second run of a key, a false not_run and a key that stays blocked without cause, under any order
// of callers, kills, delayed dispatches, store faults, partitions and differing views of the membership.
func TestClaim_Orderings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		if violations := s.execute(t); len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}
