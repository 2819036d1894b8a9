package limit

import (
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/config"
)

const (
	// maxQueued bounds the waiting requests of a service.
	maxQueued = 4096
	// deadlineCheckInterval is the time between searches for waiting requests that can no longer meet their deadline.
	deadlineCheckInterval = 20 * time.Millisecond
	// holdTimeWeight is the weight of a new sample in the moving average of the time from admission to release.
	holdTimeWeight = 0.05
	priorities     = int(config.PriorityHigh) + 1
)

// ticket is a request in the queue.
type ticket struct {
	workspace string
	priority  config.Priority
	deadline  time.Time
	cost      float64
	queued    time.Time
	decided   chan struct{} // closed when admitted or refused
	admitted  bool
	wait      time.Duration // expected wait at the refusal
}

// subqueue holds the waiting requests of one workspace and priority.
type subqueue struct {
	workspace string
	tickets   []*ticket
	credit    float64
}

// queue admits requests of one service up to its capacity: higher priorities first, workspaces of one priority by
// weighted round-robin, requests of one workspace in order. It isn't safe for concurrent use.
type queue struct {
	capacity          int
	inFlight          int
	subqueues         [priorities][]*subqueue // by priority; the first one is served next
	length            [priorities]int
	weights           map[string]float64 // by workspace; 1 when absent
	meanHoldTime      float64            // mean seconds from admission to release; 0: not measured
	nextDeadlineCheck time.Time
}

func newQueue() *queue { return &queue{weights: map[string]float64{}} }

func (q *queue) weight(workspace string) float64 {
	if w := q.weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// waitingAtOrAbove returns the number of waiting requests with at least the given priority.
func (q *queue) waitingAtOrAbove(p config.Priority) int {
	n := 0
	for i := int(p); i < priorities; i++ {
		n += q.length[i]
	}
	return n
}

// expectedWait returns the time until the request at a position (1: next) is admitted, estimated from meanHoldTime and
// the capacity; 0 while there is no estimate.
func (q *queue) expectedWait(position int) time.Duration {
	if q.capacity <= 0 || q.meanHoldTime == 0 {
		return 0
	}
	return time.Duration(float64(position) * q.meanHoldTime / float64(q.capacity) * float64(time.Second))
}

// offer admits, queues or refuses a ticket and reports whether it was admitted. If it was refused, t.decided is closed.
func (q *queue) offer(t *ticket, now time.Time) bool {
	q.refuseLate(now)
	if q.inFlight < q.capacity && q.waitingAtOrAbove(0) == 0 {
		q.admit(t)
		return true
	}
	wait := q.expectedWait(q.position(t))
	if now.Add(wait).After(t.deadline) || !q.makeQueueSpace(t) {
		q.refuse(t, wait)
		return false
	}
	q.push(t)
	q.dispatch(now)
	return t.admitted
}

// position returns the position (1: next) that a new ticket would get: behind the higher priorities and in turn with
// the other workspaces of its own priority.
func (q *queue) position(t *ticket) int {
	own := 0
	for _, s := range q.subqueues[t.priority] {
		if s.workspace == t.workspace {
			own = len(s.tickets)
		}
	}
	ahead := own
	turns := float64(own+1) / q.weight(t.workspace)
	for _, s := range q.subqueues[t.priority] {
		if s.workspace != t.workspace {
			ahead += min(len(s.tickets), int(turns*q.weight(s.workspace)))
		}
	}
	return q.waitingAtOrAbove(t.priority+1) + ahead + 1
}

// makeQueueSpace reports whether the queue has space for a ticket. If it is full, a request of lower priority is
// refused to make space.
func (q *queue) makeQueueSpace(t *ticket) bool {
	if q.waitingAtOrAbove(0) < maxQueued {
		return true
	}
	for p := config.PriorityLow; p < t.priority; p++ {
		if longestSubqueue := q.longest(p); longestSubqueue != nil {
			last := longestSubqueue.tickets[len(longestSubqueue.tickets)-1]
			q.remove(last)
			q.refuse(last, q.expectedWait(q.waitingAtOrAbove(p)))
			return true
		}
	}
	return false
}

func (q *queue) longest(p config.Priority) *subqueue {
	var best *subqueue
	for _, s := range q.subqueues[p] {
		if best == nil || len(s.tickets) > len(best.tickets) {
			best = s
		}
	}
	return best
}

func (q *queue) push(t *ticket) {
	for _, s := range q.subqueues[t.priority] {
		if s.workspace == t.workspace {
			s.tickets = append(s.tickets, t)
			q.length[t.priority]++
			return
		}
	}
	q.subqueues[t.priority] = append(q.subqueues[t.priority], &subqueue{workspace: t.workspace, tickets: []*ticket{t}})
	q.length[t.priority]++
}

func (q *queue) admit(t *ticket) {
	q.inFlight++
	t.admitted = true
	close(t.decided)
}

func (q *queue) refuse(t *ticket, wait time.Duration) {
	t.wait = wait
	close(t.decided)
}

// remove takes a waiting ticket out of the queue. It returns false if the ticket isn't waiting.
func (q *queue) remove(t *ticket) bool {
	for i, s := range q.subqueues[t.priority] {
		if s.workspace != t.workspace {
			continue
		}
		j := slices.Index(s.tickets, t)
		if j < 0 {
			return false
		}
		s.tickets = slices.Delete(s.tickets, j, j+1)
		q.length[t.priority]--
		if len(s.tickets) == 0 {
			q.subqueues[t.priority] = slices.Delete(q.subqueues[t.priority], i, i+1)
		}
		return true
	}
	return false
}

// dispatch admits waiting requests while there is capacity. Requests past their deadline are refused.
func (q *queue) dispatch(now time.Time) {
	for q.inFlight < q.capacity {
		t := q.pop()
		if t == nil {
			return
		}
		if now.After(t.deadline) {
			q.refuse(t, q.expectedWait(1))
			continue
		}
		q.admit(t)
	}
}

// pop removes and returns the next request: of the highest priority with waiting requests, from the workspace selected
// by deficit round-robin. It returns nil if no request waits.
func (q *queue) pop() *ticket {
	for p := priorities - 1; p >= 0; p-- {
		for len(q.subqueues[p]) > 0 {
			s := q.subqueues[p][0]
			t := s.tickets[0]
			if s.credit < t.cost {
				s.credit += q.weight(s.workspace)
				q.subqueues[p] = append(q.subqueues[p][1:], s)
				continue
			}
			s.credit -= t.cost
			s.tickets = s.tickets[1:]
			q.length[p]--
			if len(s.tickets) == 0 {
				q.subqueues[p] = q.subqueues[p][1:]
			}
			return t
		}
	}
	return nil
}

// done releases the capacity of an admitted request and records d, the time since its admission, in the mean hold time.
func (q *queue) done(d time.Duration, now time.Time) {
	q.inFlight--
	if q.meanHoldTime == 0 {
		q.meanHoldTime = d.Seconds()
	}
	q.meanHoldTime += holdTimeWeight * (d.Seconds() - q.meanHoldTime)
	q.refuseLate(now)
	q.dispatch(now)
}

// refuseLate refuses waiting requests that can no longer meet their deadline, instead of letting them wait for it.
func (q *queue) refuseLate(now time.Time) {
	if now.Before(q.nextDeadlineCheck) || q.meanHoldTime == 0 || q.capacity <= 0 {
		return
	}
	q.nextDeadlineCheck = now.Add(deadlineCheckInterval)
	ahead := 0
	for p := priorities - 1; p >= 0; p-- {
		var late []*ticket
		for _, s := range q.subqueues[p] {
			inSubqueue := 0
			for _, t := range s.tickets {
				// This position is a lower bound: it leaves out the other subqueues of this priority.
				if now.Add(q.expectedWait(ahead + inSubqueue + 1)).After(t.deadline) {
					late = append(late, t)
					continue
				}
				inSubqueue++
			}
		}
		ahead += q.length[p]
		for _, t := range late {
			q.remove(t)
			q.refuse(t, q.expectedWait(ahead))
		}
	}
}

// cancelAdmitted releases the capacity of a request that was admitted but did not run. It records no hold time.
func (q *queue) cancelAdmitted(now time.Time) {
	q.inFlight--
	q.dispatch(now)
}
