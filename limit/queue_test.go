package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/config"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testTicket(workspace string, p config.Priority, timeout time.Duration) *ticket {
	return &ticket{workspace: workspace, priority: p, deadline: epoch.Add(timeout), cost: 1, queued: epoch, decided: make(chan struct{})}
}

func decided(t *ticket) bool {
	select {
	case <-t.decided:
		return true
	default:
		return false
	}
}

// busyQueue returns a queue with a capacity of 1, which is in use, and a mean hold time of 100 ms.
func busyQueue() *queue {
	q := newQueue()
	q.capacity, q.inFlight, q.meanHoldTime = 1, 1, 0.1
	return q
}

// Guards against lower priorities being served before higher ones.
func TestQueue_HighestPriorityFirst(t *testing.T) {
	q := busyQueue()
	low, normal, high := testTicket("w", 0, time.Hour), testTicket("w", 1, time.Hour), testTicket("w", 2, time.Hour)
	for _, x := range []*ticket{low, normal, high} {
		must.False(t, q.offer(x, epoch))
	}
	for i, x := range []*ticket{high, normal, low} {
		q.done(100*time.Millisecond, epoch.Add(time.Duration(i)*100*time.Millisecond))
		must.True(t, x.admitted)
	}
}

// Guards against a workspace with many waiting requests starving another of the same priority.
func TestQueue_WorkspacesTakeTurns(t *testing.T) {
	q := busyQueue()
	for range 100 {
		q.offer(testTicket("big", config.PriorityNormal, time.Hour), epoch)
	}
	small := testTicket("small", config.PriorityNormal, time.Hour)
	q.offer(small, epoch)
	served := 0
	for ; !small.admitted; served++ {
		q.done(100*time.Millisecond, epoch)
	}
	must.LessEq(t, 2, served)
}

// Guards against queueing requests that can't meet their deadline, and against refusing those that can.
func TestQueue_RefusesAtOnce(t *testing.T) {
	q := busyQueue()
	for range 10 {
		q.offer(testTicket("w", config.PriorityNormal, time.Hour), epoch)
	}
	late := testTicket("w", config.PriorityNormal, time.Second)
	must.False(t, q.offer(late, epoch))
	must.True(t, decided(late))
	must.Eq(t, 1100*time.Millisecond, late.wait)
	possible := testTicket("w", config.PriorityHigh, 200*time.Millisecond)
	q.offer(possible, epoch)
	must.False(t, decided(possible))
}

// Guards against a queued request of low priority that is refused only at its deadline, although requests of higher
// priority have moved it too far back.
func TestQueue_ShedsLowWhenHighArrives(t *testing.T) {
	q := busyQueue()
	low := testTicket("w", config.PriorityLow, 500*time.Millisecond)
	q.offer(low, epoch)
	for i := range 6 {
		q.offer(testTicket("w", config.PriorityHigh, time.Hour), epoch.Add(time.Duration(i+1)*deadlineCheckInterval))
	}
	must.True(t, decided(low))
	must.False(t, low.admitted)
}

// Guards against a retry budget that is exceeded in some window, or that refuses retries within its minimum.
func TestRetryBudget_NeverExceeded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var b RetryBudget
	var requests, retries []time.Time
	count := func(times []time.Time, from, to time.Time) (n int) {
		for i := len(times) - 1; i >= 0 && times[i].After(from); i-- {
			if !times[i].After(to) {
				n++
			}
		}
		return n
	}
	now := epoch
	for range 15_000 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Duration(1+now.Second()%7)*time.Millisecond)))
		if now.Second()%10 < 8 {
			b.CountRequest(now)
			requests = append(requests, now)
		}
		ok := b.AcquireRetry(now)
		if ok {
			retries = append(retries, now)
		}
		from := now.Add(-retryWindow)
		used, budget := count(retries, from, now), max(MinRetriesPerSecond, int(RetryRatio*float64(count(requests, from, now))))
		if ok {
			must.LessEq(t, budget, used)
		}
		must.True(t, ok || used >= MinRetriesPerSecond)
	}
}

// Guards against a caller that returns after a refusal, when it was asked to, and waits behind new ones.
func TestQueue_ReturningCallerFirst(t *testing.T) {
	q := busyQueue()
	q.refused.Remember(7, epoch.Add(time.Second), epoch)
	newer, returning := testTicket("w", config.PriorityNormal, time.Hour), testTicket("w", config.PriorityNormal, time.Hour)
	returning.identity = 7
	now := epoch.Add(time.Second)
	q.offer(newer, now)
	q.offer(returning, now)
	q.done(100*time.Millisecond, now)
	must.True(t, returning.admitted)
	must.False(t, newer.admitted)
}
