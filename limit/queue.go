package limit

import (
	"time"

	"github.com/trefoillug/trefoillug/admission"
	"github.com/trefoillug/trefoillug/config"
)

const (
	// maxQueued bounds the waiting requests of a service.
	maxQueued = 4096
	// deadlineCheckInterval is the time between searches for waiting requests that can no longer meet their deadline.
	deadlineCheckInterval = 20 * time.Millisecond
	// holdTimeWeight is the weight of a new sample in the moving average of the time from admission to release.
	holdTimeWeight = 0.05
)

// ticket is a request in the queue.
type ticket struct {
	workspace string
	priority  config.Priority
	deadline  time.Time
	cost      float64
	identity  uint64 // of what the caller sends; 0: unknown
	queued    time.Time
	decided   chan struct{} // closed when admitted or refused
	admitted  bool
	wait      time.Duration // expected wait at the refusal
	item      *admission.Item
}

// queue admits requests of one service up to its capacity, in the order of admission.Queue. It isn't safe for concurrent
// use.
type queue struct {
	capacity          int
	inFlight          int
	waiting           admission.Queue
	tickets           map[*admission.Item]*ticket
	refused           admission.Returns
	meanHoldTime      float64 // mean seconds from admission to release; 0: not measured
	nextDeadlineCheck time.Time
}

func newQueue() *queue { return &queue{tickets: map[*admission.Item]*ticket{}} }

// rank returns the rank of a priority, of which 0 is the most urgent.
func rank(p config.Priority) int { return int(config.PriorityHigh - p) }

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
	t.item = &admission.Item{
		Rank: rank(t.priority), Workspace: t.workspace, Cost: t.cost, Returning: q.refused.Take(t.identity, now),
	}
	q.waiting.CountArrival(t.item, now)
	if q.inFlight < q.capacity && q.waiting.Len() == 0 {
		q.waiting.CountServed(t.item, now)
		q.admit(t)
		return true
	}
	wait := q.expectedWait(q.position(t, now))
	if now.Add(wait).After(t.deadline) || !q.makeQueueSpace(t) {
		q.refuse(t, wait)
		return false
	}
	q.waiting.Push(t.item)
	q.tickets[t.item] = t
	q.dispatch(now)
	return t.admitted
}

// position returns the position (1: next) that a new ticket would get.
func (q *queue) position(t *ticket, now time.Time) int { return q.waiting.Ahead(t.item, now) + 1 }

// makeQueueSpace reports whether the queue has space for a ticket. If it is full, a request of lower priority is
// refused to make space.
func (q *queue) makeQueueSpace(t *ticket) bool {
	if q.waiting.Len() < maxQueued {
		return true
	}
	last := q.waiting.Last(rank(t.priority))
	if last == nil {
		return false
	}
	refused := q.tickets[last]
	q.remove(refused)
	q.refuse(refused, q.expectedWait(q.waiting.LenBefore(last.Rank+1)))
	return true
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
	delete(q.tickets, t.item)
	return q.waiting.Remove(t.item)
}

// dispatch admits waiting requests while there is capacity. Requests past their deadline are refused.
func (q *queue) dispatch(now time.Time) {
	for q.inFlight < q.capacity {
		i, _ := q.waiting.Next(now)
		if i == nil {
			return
		}
		t := q.tickets[i]
		if now.After(t.deadline) {
			q.remove(t)
			q.refuse(t, q.expectedWait(1))
			continue
		}
		q.waiting.Pop(now)
		delete(q.tickets, i)
		q.admit(t)
	}
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
	q.waiting.Each(func(i *admission.Item, ahead int) bool {
		t := q.tickets[i]
		if !now.Add(q.expectedWait(ahead + 1)).After(t.deadline) {
			return true
		}
		delete(q.tickets, i)
		q.refuse(t, q.expectedWait(ahead+1))
		return false
	})
}

// cancelAdmitted releases the capacity of a request that was admitted but did not run. It records no hold time.
func (q *queue) cancelAdmitted(now time.Time) {
	q.inFlight--
	q.dispatch(now)
}
