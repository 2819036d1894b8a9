package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/admission"
)

// newWaiting returns the admission of a service under shortage with waiting requests at now.
func newWaiting(tb testing.TB, n int, now time.Time) *serviceAdmission {
	tb.Helper()
	a := new(admissions).of("s")
	for range 10 {
		a.service.Offer(admission.Request{Deadline: now.Add(time.Hour)}, now)
	}
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		a.service.Answered("e", admission.Load{Running: 8, Waiting: 16, Slots: 8}, true, now)
	}
	must.True(tb, a.service.IsShort())
	for range n + 10 {
		a.service.Offer(admission.Request{Deadline: now.Add(time.Hour)}, now)
	}
	must.GreaterEq(tb, n, a.service.Waiting())
	return a
}

// Guards against waiting requests each of which checks all others in each interval, which takes the whole processor once
// some hundred wait.
func TestServiceAdmission_PollsOnceInAnInterval(t *testing.T) {
	start := time.Now()
	a := newWaiting(t, 500, start)
	now := start.Add(time.Second)
	checks := 0
	for range 500 {
		before := a.polledAt
		a.poll(now)
		if a.polledAt != before {
			checks++
		}
		now = now.Add(admissionPollInterval / 500)
	}
	must.Eq(t, 1, checks)
	a.poll(start.Add(2 * time.Hour))
	must.Eq(t, 0, a.service.Waiting()) // their deadlines have passed
}

// BenchmarkPoll measures what the polls of all waiting requests take in one interval: once each, and together.
func BenchmarkPoll(b *testing.B) {
	start := time.Now()
	for _, each := range []bool{true, false} {
		b.Run(map[bool]string{true: "each", false: "together"}[each], func(b *testing.B) {
			a := newWaiting(b, 500, start)
			now := start.Add(time.Second)
			for b.Loop() {
				now = now.Add(admissionPollInterval)
				for range 500 {
					if each {
						a.update(func(s *admission.Service, _ time.Time) { s.Poll(start) })
					} else {
						a.poll(now)
					}
				}
			}
		})
	}
}
