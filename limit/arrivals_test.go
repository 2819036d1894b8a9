package limit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/limit"
)

// Guards against repeats that exceed the shared budget in sum when every endpoint fails.
func TestRepeatBudget_SumStaysWithinBudget(t *testing.T) {
	bound := limit.RepeatLimit{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	const instances, perSecond = 7, 5
	var all []*limit.RepeatBudget
	for range instances {
		all = append(all, limit.NewRepeatBudget(bound, instances))
	}
	now := time.Unix(100, 0)
	requests, repeats := 0, 0
	for range 10 * perSecond {
		now = now.Add(time.Second / perSecond)
		for _, a := range all {
			a.CountRequest(now)
			requests++
			for a.AcquireRetry(now) {
				repeats++
			}
		}
	}
	must.LessEq(t, bound.Ratio*float64(requests)+bound.Slack, float64(repeats))
	must.Greater(t, 0.7*bound.Ratio*float64(requests), float64(repeats))
}

// Guards against a budget that stays used up after its window has passed.
func TestRepeatBudget_WindowSlides(t *testing.T) {
	a := limit.NewRepeatBudget(limit.RepeatLimit{Ratio: 0, Slack: 2, Window: time.Second}, 1)
	now := time.Unix(0, 0)
	must.True(t, a.AcquireRetry(now))
	must.False(t, a.AcquireRetry(now))
	must.True(t, a.AcquireRetry(now.Add(1100*time.Millisecond)))
}
