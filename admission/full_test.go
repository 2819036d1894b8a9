package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an urgent request that is rejected because the queue is full of less urgent ones.
func TestOffer_FullQueueMakesRoomForUrgentRequest(t *testing.T) {
	s, _ := shortService(epoch)
	now := epoch.Add(time.Second)
	late := func(rank int) Request {
		return Request{Rank: rank, Workspace: "w", Work: 1, Arrived: now, Deadline: now.Add(100 * time.Hour), Service: time.Millisecond}
	}
	var last *Ticket
	for s.Waiting() < maxWaiting {
		last = s.Offer(late(2), now)
		must.NotEq(t, Rejected, last.State())
	}
	first := s.Offer(late(1), now)
	for first.State() == Running { // the most urgent requests may exceed the window
		first = s.Offer(late(1), now)
	}
	must.Eq(t, Waiting, first.State())
	must.Eq(t, Rejected, last.State())
	must.Eq(t, RuleFull, last.Rule)
	<-last.Ready
	must.LessEq(t, maxWaiting, s.Waiting())
	must.Eq(t, Rejected, s.Offer(late(2), now).State()) // no less urgent one waits
}
