package quarantine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	crashing    Fingerprint = 1
	nInstances              = 5
	nEndpoints              = 12
	maxDelay                = 1500 * time.Millisecond // of a fact; below DefaultSettle
	stepTime                = 10 * time.Millisecond
	repeatPause             = 50 * time.Millisecond // from a refusal until the caller repeats the request
)

// job is a request at an instance. The caller of a crashing request repeats it under a new ID at any instance.
type job struct {
	fp       Fingerprint
	instance int // the instance that answers the caller
	runner   int // the instance that runs the job
	endpoint int
	started  time.Time
	next     time.Time // when a waiting job is dispatched again, or a running one ends
}

type delayedFact struct {
	to   int
	fact Fact
	at   time.Time
}

// fleet simulates several instances that run jobs on shared endpoints and exchange facts with a delay.
type fleet struct {
	rng         *rand.Rand
	now         time.Time
	tables      []*Table
	facts       []delayedFact
	waiting     []*job
	running     []*job
	reserved    map[int]bool      // endpoints with an isolated run, which get no other job
	restartedAt map[int]time.Time // when a crashed endpoint is up again
	crashes     int
	refused     map[Fingerprint]int
	finished    int
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), now: t0, refused: map[Fingerprint]int{}}
	f.reserved, f.restartedAt = map[int]bool{}, map[int]time.Time{}
	for range nInstances {
		f.tables = append(f.tables, New(Options{}))
	}
	return f
}

func endpointName(i int) string { return string(rune('A' + i)) }

func (f *fleet) publish(from int, facts ...Fact) {
	for _, fact := range facts {
		for to := range f.tables {
			if to != from {
				f.facts = append(f.facts, delayedFact{to, fact, f.now.Add(time.Duration(f.rng.Int64N(int64(maxDelay))))})
			}
		}
	}
}

func (f *fleet) step() {
	f.now = f.now.Add(stepTime)
	f.facts = slices.DeleteFunc(f.facts, func(d delayedFact) bool {
		if d.at.After(f.now) {
			return false
		}
		f.tables[d.to].Merge(d.fact, f.now)
		return true
	})
	waiting := f.waiting
	f.waiting = nil
	for _, j := range waiting {
		f.dispatch(j)
	}
	for _, j := range slices.Clone(f.running) {
		if !j.next.After(f.now) && slices.Contains(f.running, j) {
			f.end(j)
		}
	}
}

func (f *fleet) dispatch(j *job) {
	if j.next.After(f.now) {
		f.waiting = append(f.waiting, j)
		return
	}
	d := f.tables[j.instance].Decide(j.fp, f.now)
	j.runner = j.instance
	if d.Action == Isolate {
		j.runner = f.forward(j)
		d = f.tables[j.runner].Decide(j.fp, f.now)
	}
	switch d.Action {
	case Refuse:
		f.refuse(j)
	case Hold:
		f.wait(j, d.Until)
	default:
		f.start(j, d.Action == Isolate)
	}
}

func (f *fleet) forward(j *job) int {
	ids := []string{"a", "b", "c", "d", "e"}
	owner := slices.Index(ids, Owner(j.fp, ids))
	for _, fact := range f.tables[j.instance].Facts(j.fp) {
		f.tables[owner].Merge(fact, f.now)
	}
	return owner
}

func (f *fleet) wait(j *job, until time.Time) {
	j.next = until
	f.waiting = append(f.waiting, j)
}

func (f *fleet) refuse(j *job) {
	f.refused[j.fp]++
	if j.fp == crashing && f.refused[crashing] < 50 {
		// The caller tries again at another instance, under a new ID.
		f.wait(&job{fp: crashing, instance: f.rng.IntN(nInstances)}, f.now.Add(repeatPause))
	}
}

func (f *fleet) start(j *job, isolated bool) {
	var free []int
	for e := range nEndpoints {
		busy := slices.ContainsFunc(f.running, func(r *job) bool { return r.endpoint == e })
		if !f.reserved[e] && !f.restartedAt[e].After(f.now) && (!isolated || !busy) {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		f.wait(j, f.now.Add(stepTime))
		return
	}
	endpoint := free[f.rng.IntN(len(free))]
	if isolated && !f.tables[j.runner].Begin(j.fp, endpointName(endpoint), time.Minute, f.now) {
		f.wait(j, f.now.Add(stepTime))
		return
	}
	j.endpoint = endpoint
	f.reserved[j.endpoint] = isolated
	j.started, j.next = f.now, f.now.Add(time.Duration(50+f.rng.IntN(400))*time.Millisecond)
	f.running = append(f.running, j)
}

func (f *fleet) end(j *job) {
	if j.fp == crashing {
		f.crash(j.endpoint)
		return
	}
	f.running = slices.DeleteFunc(f.running, func(r *job) bool { return r == j })
	f.reserved[j.endpoint] = false
	f.finished++
	f.publish(j.runner, f.tables[j.runner].Completed(j.fp, endpointName(j.endpoint), f.now)...)
}

func (f *fleet) crash(endpoint int) {
	f.crashes++
	f.reserved[endpoint], f.restartedAt[endpoint] = false, f.now.Add(2*time.Second)
	lost := map[int][]RunningAttempt{}
	f.running = slices.DeleteFunc(f.running, func(r *job) bool {
		if r.endpoint == endpoint {
			lost[r.runner] = append(lost[r.runner], RunningAttempt{r.fp, r.started})
			f.wait(r, f.now.Add(stepTime))
		}
		return r.endpoint == endpoint
	})
	for i := range nInstances {
		if fact, ok := f.tables[i].Crashed(endpointName(endpoint), lost[i], f.now); ok {
			f.publish(i, fact)
		}
	}
}

// run simulates a minute with harmless requests, several of them equal, and dispatches copies of the crashing request
// together after two seconds.
func (f *fleet) run(copies int) {
	for second := range 60 {
		if second == 2 {
			for i := range copies {
				f.wait(&job{fp: crashing, instance: i % nInstances}, f.now)
			}
		}
		for range 100 {
			if f.rng.IntN(3) == 0 {
				f.wait(&job{fp: Fingerprint(2 + f.rng.IntN(60)), instance: f.rng.IntN(nInstances)}, f.now)
			}
			f.step()
		}
	}
}

// Guards against losing a third endpoint when a caller repeats a crashing request under new IDs at any instance. When
// several copies run before any instance has recorded a crash, at most one endpoint more than copies may be lost. No
// harmless request may be refused, and the crashing one must be refused in the end.
func TestTable_SpreadBetweenInstances(t *testing.T) {
	for _, copies := range []int{1, 2, 3, 5} {
		worst := 0
		for seed := range uint64(40) {
			f := newFleet(seed)
			f.run(copies)
			worst = max(worst, f.crashes)
			must.LessEq(t, copies+1, f.crashes, must.Sprintf("copies %d seed %d", copies, seed))
			must.Positive(t, f.refused[crashing])
			delete(f.refused, crashing)
			must.MapEmpty(t, f.refused, must.Sprintf("copies %d seed %d", copies, seed))
			must.Greater(t, 1500, f.finished)
		}
		t.Logf("%d concurrent copies: at most %d endpoints lost", copies, worst)
	}
}
