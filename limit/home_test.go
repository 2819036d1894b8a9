package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/rendezvous"
)

// Guards against a home whose grants add up to more than the limit, whatever is lost on the way.
func TestHome_GrantsWithinLimit(t *testing.T) {
	type held struct {
		rate  float64
		until time.Time
		seq   uint64
	}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := newHome("a", epoch.Add(-time.Hour))
		ids := []string{"a"}
		h.observe(ids, epoch.Add(-time.Hour))
		g, now, holders := newGlobal(100, 10), epoch, map[string]*held{}
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
			if r := h.answer(id, &d, g, now); rng.IntN(4) > 0 { // else the reply is lost
				x.rate, x.until = r.Rate, now.Add(grantLife)
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

// Guards against a new home that gives away what members still hold from the old one, which is alive.
func TestHome_WaitsOutOldGrants(t *testing.T) {
	k, g, before := key{"s", "w"}, newGlobal(100, 10), []string{"b", "c", "d"}
	joined := "a"
	for rendezvous.First(k.String(), append([]string{joined}, before...)) != joined {
		joined += "a"
	}
	h := newHome(joined, epoch.Add(-time.Hour))
	h.observe(before, epoch.Add(-time.Hour))
	h.observe(append([]string{joined}, before...), epoch)
	ask := func(from string, held float32, seq uint64, after time.Duration) float64 {
		d := demand{Service: "s", Workspace: "w", Rate: 500, Held: held, Seq: seq}
		return h.answer(from, &d, g, epoch.Add(after)).Rate
	}
	must.Eq(t, 25, ask("b", 0, 1, time.Second))  // an even split, no more
	must.Eq(t, 70, ask("c", 70, 1, time.Second)) // what it holds
	must.Eq(t, 25, ask("b", 25, 2, 2*time.Second))
	must.Greater(t, 25, ask("b", 25, 3, grantLife+skewAllowance+3*time.Second))
}
