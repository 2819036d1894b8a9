package limit

import (
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/config"
)

const (
	// maxQueued bounds the waiting requests of a service.
	maxQueued = 4096
	// shedInterval is the time between two searches for requests that can no longer make their deadline.
	shedInterval = 20 * time.Millisecond
	// holdMemory is the weight of a new sample in the mean time that a request holds its place.
	holdMemory = 0.05
	priorities = int(config.PriorityHigh) + 1
)

// ticket is a request that waits for a place.
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

// line holds the waiting requests of one workspace in one priority.
type line struct {
	workspace string
	tickets   []*ticket
	credit    float64
}

// queue admits requests of one service up to its capacity: high priorities first, workspaces of one priority in
// weighted round-robin, requests of one workspace in order. It isn't safe for concurrent use.
type queue struct {
	capacity int
	inFlight int
	lines    [priorities][]*line // the first has its turn
	length   [priorities]int
	weights  map[string]float64 // by workspace; 1 when absent
	hold     float64            // mean seconds that a request holds its place; 0: not measured
	shedAt   time.Time
}

func newQueue() *queue { return &queue{weights: map[string]float64{}} }

func (q *queue) weight(workspace string) float64 {
	if w := q.weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// waiting returns the number of requests that are served before a new one of a priority.
func (q *queue) waiting(p config.Priority) int {
	n := 0
	for i := int(p); i < priorities; i++ {
		n += q.length[i]
	}
	return n
}

// expected returns the time until the request at a position (1: next) is admitted, by the measured rate of service.
func (q *queue) expected(position int) time.Duration {
	if q.capacity <= 0 || q.hold == 0 {
		return 0
	}
	return time.Duration(float64(position) * q.hold / float64(q.capacity) * float64(time.Second))
}

// offer admits a ticket, queues it, or refuses it; the last two return false, and a refused one is decided.
func (q *queue) offer(t *ticket, now time.Time) bool {
	q.shed(now)
	if q.inFlight < q.capacity && q.waiting(0) == 0 {
		q.admit(t)
		return true
	}
	wait := q.expected(q.position(t))
	if now.Add(wait).After(t.deadline) || !q.room(t) {
		q.refuse(t, wait)
		return false
	}
	q.push(t)
	q.dispatch(now)
	return t.admitted
}

// position returns the place in the order of service that a new ticket would get: behind the higher priorities and
// in turn with the other workspaces of its own.
func (q *queue) position(t *ticket) int {
	own := 0
	for _, l := range q.lines[t.priority] {
		if l.workspace == t.workspace {
			own = len(l.tickets)
		}
	}
	ahead := own
	turns := float64(own+1) / q.weight(t.workspace)
	for _, l := range q.lines[t.priority] {
		if l.workspace != t.workspace {
			ahead += min(len(l.tickets), int(turns*q.weight(l.workspace)))
		}
	}
	return q.waiting(t.priority+1) + ahead + 1
}

// room makes place for a ticket in a full queue by shedding a request of lower priority.
func (q *queue) room(t *ticket) bool {
	if q.waiting(0) < maxQueued {
		return true
	}
	for p := config.PriorityLow; p < t.priority; p++ {
		if victim := q.longest(p); victim != nil {
			last := victim.tickets[len(victim.tickets)-1]
			q.remove(last)
			q.refuse(last, q.expected(q.waiting(p)))
			return true
		}
	}
	return false
}

func (q *queue) longest(p config.Priority) *line {
	var best *line
	for _, l := range q.lines[p] {
		if best == nil || len(l.tickets) > len(best.tickets) {
			best = l
		}
	}
	return best
}

func (q *queue) push(t *ticket) {
	for _, l := range q.lines[t.priority] {
		if l.workspace == t.workspace {
			l.tickets = append(l.tickets, t)
			q.length[t.priority]++
			return
		}
	}
	q.lines[t.priority] = append(q.lines[t.priority], &line{workspace: t.workspace, tickets: []*ticket{t}})
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

// remove takes a waiting ticket out of the queue; it reports false when the ticket isn't waiting.
func (q *queue) remove(t *ticket) bool {
	for i, l := range q.lines[t.priority] {
		if l.workspace != t.workspace {
			continue
		}
		j := slices.Index(l.tickets, t)
		if j < 0 {
			return false
		}
		l.tickets = slices.Delete(l.tickets, j, j+1)
		q.length[t.priority]--
		if len(l.tickets) == 0 {
			q.lines[t.priority] = slices.Delete(q.lines[t.priority], i, i+1)
		}
		return true
	}
	return false
}

// dispatch admits waiting requests while there are places. Requests past their deadline are refused.
func (q *queue) dispatch(now time.Time) {
	for q.inFlight < q.capacity {
		t := q.pop()
		if t == nil {
			return
		}
		if now.After(t.deadline) {
			q.refuse(t, q.expected(1))
			continue
		}
		q.admit(t)
	}
}

// pop takes the next request: the highest priority, there the workspace whose turn it is (deficit round-robin).
func (q *queue) pop() *ticket {
	for p := priorities - 1; p >= 0; p-- {
		for len(q.lines[p]) > 0 {
			l := q.lines[p][0]
			t := l.tickets[0]
			if l.credit < t.cost {
				l.credit += q.weight(l.workspace)
				q.lines[p] = append(q.lines[p][1:], l)
				continue
			}
			l.credit -= t.cost
			l.tickets = l.tickets[1:]
			q.length[p]--
			if len(l.tickets) == 0 {
				q.lines[p] = q.lines[p][1:]
			}
			return t
		}
	}
	return nil
}

// done frees the place of an admitted request that held it for d.
func (q *queue) done(d time.Duration, now time.Time) {
	q.inFlight--
	if q.hold == 0 {
		q.hold = d.Seconds()
	}
	q.hold += holdMemory * (d.Seconds() - q.hold)
	q.shed(now)
	q.dispatch(now)
}

// shed refuses waiting requests that can't make their deadline any more, so that they learn it at once.
func (q *queue) shed(now time.Time) {
	if now.Before(q.shedAt) || q.hold == 0 || q.capacity <= 0 {
		return
	}
	q.shedAt = now.Add(shedInterval)
	ahead := 0
	for p := priorities - 1; p >= 0; p-- {
		var late []*ticket
		for _, l := range q.lines[p] {
			inLine := 0
			for _, t := range l.tickets {
				// The others of this priority come in turn; at best the request waits for its own line only.
				if now.Add(q.expected(ahead + inLine + 1)).After(t.deadline) {
					late = append(late, t)
					continue
				}
				inLine++
			}
		}
		ahead += q.length[p]
		for _, t := range late {
			q.remove(t)
			q.refuse(t, q.expected(ahead))
		}
	}
}

// leave frees the place of a request that was admitted but never ran; it is no sample of the holding time.
func (q *queue) leave(now time.Time) {
	q.inFlight--
	q.dispatch(now)
}
