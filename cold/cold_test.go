package cold_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cold"
)

// Guards against shares that exceed the bound in the settings together, or leave an endpoint without any requests.
func TestLimit_Shares(t *testing.T) {
	for _, l := range []cold.Limit{
		{PerSecond: 4, Overage: 1.5, Slack: 5}, {PerSecond: 1, Overage: 1.5, Slack: 5}, {PerSecond: 0.5, Overage: 1, Slack: 1},
		{PerSecond: 20, Overage: 1, Slack: 0}, {PerSecond: 20, Overage: 1.05, Slack: 0}, {PerSecond: 100, Overage: 2, Slack: 10},
	} {
		sum, previous := 0, math.MaxInt
		for rank := range 10 {
			share := l.Share(rank)
			must.LessEq(t, previous, share)
			sum, previous = sum+share, share
		}
		must.Eq(t, l.Total(), sum)
		must.LessEq(t, l.PerSecond*l.Overage+l.Slack, float64(sum))
		must.GreaterEq(t, math.Floor(l.PerSecond), float64(sum))
		must.Positive(t, sum)
	}
	must.Eq(t, 0, cold.Limit{Overage: 1.5}.Share(0))
}

// instance is an instance of the test. It learns of the members from lists only, which may be old.
type instance struct {
	cold.Membership
	start, end time.Time            // of the process
	cutOff     bool                 // it reads no list after its first one
	windows    map[int]*cold.Window // by endpoint
}

// membersAt returns the list at a time, which is kept in lists.
func membersAt(all []*instance, at time.Time, lists map[time.Time][]string) []string {
	if members, known := lists[at]; known {
		return members
	}
	var members []string
	for _, in := range all {
		if !in.start.After(at) {
			members = append(members, in.Self)
		}
	}
	slices.Sort(members)
	lists[at] = slices.Compact(members)
	return lists[at]
}

// Guards against more requests in any one second than the bound, and against a rate far below the tolerated one, while
// instances start, restart, stop and lose the store, and while each has another list of the members.
func TestMembership_SumOfShares(t *testing.T) {
	for _, c := range []struct {
		instances int
		limit     cold.Limit
		sound     bool // nothing fails
	}{
		{75, cold.Limit{PerSecond: 4, Overage: 1.5, Slack: 5}, false}, {650, cold.Limit{PerSecond: 4, Overage: 1.5, Slack: 5}, false},
		{75, cold.Limit{PerSecond: 12, Overage: 1.1}, false}, {650, cold.Limit{PerSecond: 1, Overage: 1, Slack: 0.5}, false},
		{75, cold.Limit{PerSecond: 4, Overage: 1.5, Slack: 5}, true}, {650, cold.Limit{PerSecond: 12, Overage: 1.5}, true},
	} {
		t.Run(fmt.Sprintf("%d instances, %v a second, sound %v", c.instances, c.limit.PerSecond, c.sound), func(t *testing.T) {
			run := time.Duration(40-c.instances/25) * time.Second // 14 s with 650, to save time
			random := rand.New(rand.NewPCG(1, uint64(c.instances)))
			within := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
			begin := time.Unix(1000, 0)
			var all []*instance
			for i := range c.instances {
				in := &instance{start: begin, end: begin.Add(run), cutOff: !c.sound && random.IntN(5) == 0, windows: map[int]*cold.Window{}}
				in.Self = fmt.Sprintf("n%d", i)
				switch {
				case c.sound:
				case i%4 == 1:
					in.start = begin.Add(within(run)) // joins later
				case i%4 == 2:
					in.end = begin.Add(within(run)) // dies, and its entry stays
				}
				all = append(all, in)
			}
			for i := range c.instances / 10 { // restarts within a second
				if c.sound {
					break
				}
				old := all[4*i%c.instances]
				old.end = old.start.Add(within(run))
				again := &instance{start: old.end.Add(within(time.Second)), end: begin.Add(run), windows: map[int]*cold.Window{}}
				again.Self = old.Self
				all = append(all, again)
			}
			const endpoints = 8
			names := []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"}
			lists := map[time.Time][]string{}
			arrivals := make([][]time.Time, endpoints)
			for now := begin; now.Before(begin.Add(run)); now = now.Add(20 * time.Millisecond) {
				for _, in := range all {
					if now.Before(in.start) || now.After(in.end) {
						continue
					}
					if in.Confirmed.IsZero() {
						in.RecordRenewed(now)
					}
					if _, listed := in.Members(); listed.IsZero() || !in.cutOff && now.Sub(listed) > cold.MaxListAge/2+within(2*time.Second) {
						at := now.Add(-within(cold.MaxListAge / 2)) // a copy of another instance's list
						if listed.IsZero() {
							at = now
						}
						at = at.Truncate(100 * time.Millisecond)
						if at.Before(in.start) {
							at = in.start // a list is read after the entry was written
						}
						in.SetMembers(membersAt(all, at, lists), at)
					}
				}
				for _, i := range random.Perm(len(all)) {
					in := all[i]
					if now.Before(in.start) || now.After(in.end) || random.IntN(3) > 0 {
						continue
					}
					for e := range endpoints {
						share := in.Share(names[e], c.limit, now)
						if share > 0 && in.windows[e] == nil {
							in.windows[e] = &cold.Window{}
						}
						if share > 0 && in.windows[e].Take(share, now) {
							arrivals[e] = append(arrivals[e], now.Add(within(cold.PermitTime)))
						}
					}
				}
			}
			bound, total := int(c.limit.PerSecond*c.limit.Overage+c.limit.Slack), 0
			for _, times := range arrivals {
				slices.SortFunc(times, time.Time.Compare)
				for i, at := range times {
					if i >= bound {
						must.Greater(t, time.Second, at.Sub(times[i-bound]), must.Sprintf("%d requests", bound+1))
					}
				}
				total += len(times)
			}
			served := (run - cold.MaxListAge).Seconds() * endpoints * c.limit.PerSecond
			if c.sound {
				must.Greater(t, 0.85*served, float64(total))
			} else {
				must.Greater(t, 0.2*served, float64(total))
			}
			t.Logf("%d requests to %d endpoints in %v", total, endpoints, run)
		})
	}
}
