package admission_test

import (
	"cmp"
	"slices"
	"time"
)

// tick is the step of the load tests.
const tick = 5 * time.Millisecond

// run is one attempt of a call at an endpoint.
type run struct {
	call      *call
	endpoint  *endpoint
	sent      time.Time
	prefill   float64 // tokens left
	generated float64
	begun     bool
}

func (r *run) tokens() float64 { return float64(r.call.kind.input + r.call.kind.output) }

// endpoint is a fake engine with slots, a bounded queue, memory, priorities and preemption, or a plain endpoint, which has
// neither memory nor priorities and whose work doesn't depend on the other requests.
type endpoint struct {
	index    int
	slots    int
	memory   float64 // tokens; 0: plain
	lost     bool
	running  []*run
	waiting  []*run
	busy     time.Duration // slot time in use
	rejected int
}

const (
	prefillRate = 80.0 // tokens per ms
	decodeStep  = 4.0  // ms
	queueFactor = 2    // slots, beyond which requests are rejected
	plainFactor = 4    // of a plain endpoint
)

// queue returns the length of a full queue.
func (e *endpoint) queue() int {
	if e.memory == 0 {
		return plainFactor * e.slots
	}
	return queueFactor * e.slots
}

// accept queues a run unless the queue is full.
func (e *endpoint) accept(r *run) bool {
	if e.lost || len(e.waiting) >= e.queue() {
		e.rejected++
		return false
	}
	r.endpoint, r.prefill = e, float64(r.call.kind.input)
	e.waiting = append(e.waiting, r)
	return true
}

// step advances the endpoint by a tick. begun is called at the first event of a run, ended at its end.
func (e *endpoint) step(begun, ended func(*run)) {
	e.admit()
	e.busy += time.Duration(len(e.running)) * tick
	if e.memory > 0 {
		e.stepEngine(begun)
	} else {
		for _, r := range e.running {
			r.generated += float64(tick) / float64(time.Millisecond)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *run) bool {
		if r.generated < float64(r.call.kind.output) {
			return false
		}
		if !r.begun {
			r.begun = true
			begun(r)
		}
		ended(r)
		return true
	})
}

// admit moves requests from the queue into free slots. An engine takes the most urgent first and preempts less urgent runs,
// whose prefill and tokens are lost.
func (e *endpoint) admit() {
	if e.memory > 0 {
		slices.SortStableFunc(e.waiting, func(a, b *run) int { return cmp.Compare(a.call.kind.rank, b.call.kind.rank) })
	}
	for len(e.waiting) > 0 {
		next := e.waiting[0]
		if !e.fits(next) {
			if e.memory == 0 || !e.preempt(next) {
				return
			}
			continue
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next)
	}
}

func (e *endpoint) fits(next *run) bool {
	if len(e.running) >= e.slots {
		return false
	}
	used := next.tokens()
	for _, r := range e.running {
		used += r.tokens()
	}
	return e.memory == 0 || used <= e.memory
}

// preempt stops the latest of the least urgent runs if it is less urgent than next.
func (e *endpoint) preempt(next *run) bool {
	victim := -1
	for i, r := range e.running {
		if r.call.kind.rank > next.call.kind.rank && (victim < 0 || r.call.kind.rank >= e.running[victim].call.kind.rank) {
			victim = i
		}
	}
	if victim < 0 {
		return false
	}
	r := e.running[victim]
	r.prefill = float64(r.call.kind.input) + r.generated
	e.running = slices.Delete(e.running, victim, victim+1)
	e.waiting = append(e.waiting, r)
	return true
}

// stepEngine spends up to 70% of the tick on prefill, one prompt after the other, and the rest on decoding.
func (e *endpoint) stepEngine(begun func(*run)) {
	ms := float64(tick) / float64(time.Millisecond)
	budget := 0.7 * ms * prefillRate
	slices.SortStableFunc(e.running, func(a, b *run) int { return cmp.Compare(a.call.kind.rank, b.call.kind.rank) })
	for _, r := range e.running {
		done := min(r.prefill, budget)
		r.prefill -= done
		budget -= done
	}
	left := ms * (0.3 + budget/prefillRate/ms)
	step := decodeStep * (1 + 0.02*float64(len(e.running)))
	for _, r := range e.running {
		if r.prefill > 0 {
			continue
		}
		if !r.begun {
			r.begun = true
			begun(r)
		}
		r.generated += left / step
	}
}

// drop removes the run of a caller that has left.
func (e *endpoint) drop(r *run) {
	is := func(other *run) bool { return other == r }
	e.running = slices.DeleteFunc(e.running, is)
	e.waiting = slices.DeleteFunc(e.waiting, is)
}
