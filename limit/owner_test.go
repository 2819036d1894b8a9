package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/rendezvous"
)

// Guards against an owner whose grants add up to more than the limit when some of its replies are lost.
func TestOwner_GrantsWithinLimit(t *testing.T) {
	type held struct {
		rate  float64
		until time.Time
		seq   uint64
	}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		own := newOwner("a", epoch.Add(-time.Hour))
		ids := []string{"a"}
		own.observe(ids, epoch.Add(-time.Hour))
		g, now, holders := newGlobalLimit(100, 10), epoch, map[string]*held{}
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			id := fmt.Sprint(rng.IntN(8))
			x := holders[id]
			if x == nil {
				x = &held{}
				holders[id] = x
			}
			if !now.Before(x.until) {
				x.rate = 0
			}
			x.seq++
			d := demand{Service: "s", Workspace: "w", Rate: float32(rng.ExpFloat64() * 40), Held: float32(x.rate), Seq: x.seq}
			if r := own.answer(id, &d, g, now); rng.IntN(4) > 0 { // else the reply is lost
				x.rate, x.until = r.Rate, now.Add(grantLifetime)
			}
			total := 0.0
			for _, o := range holders {
				if now.Before(o.until) {
					total += o.rate
				}
			}
			must.LessEq(t, g.rate*1.0001, total)
		}
	}
}

// Guards against a new owner that grants the rates which members still hold under grants of the previous owner, while
// that is still a member.
func TestOwner_WaitsForOldGrants(t *testing.T) {
	k, g, before := key{"s", "w"}, newGlobalLimit(100, 10), []string{"b", "c", "d"}
	joined := "a"
	for rendezvous.First(k.String(), append([]string{joined}, before...)) != joined {
		joined += "a"
	}
	own := newOwner(joined, epoch.Add(-time.Hour))
	own.observe(before, epoch.Add(-time.Hour))
	own.observe(append([]string{joined}, before...), epoch)
	grantedRate := func(from string, held float32, seq uint64, after time.Duration) float64 {
		d := demand{Service: "s", Workspace: "w", Rate: 500, Held: held, Seq: seq}
		return own.answer(from, &d, g, epoch.Add(after)).Rate
	}
	must.Eq(t, 25, grantedRate("b", 0, 1, time.Second))  // at most the even split
	must.Eq(t, 70, grantedRate("c", 70, 1, time.Second)) // the rate that it holds
	must.Eq(t, 25, grantedRate("b", 25, 2, 2*time.Second))
	must.Greater(t, 25, grantedRate("b", 25, 3, grantLifetime+skewAllowance+3*time.Second))
}
