package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/problem"
)

func testCall(key, body string) Call {
	return Call{Service: "orders", Workspace: "w", Key: key, BodyDigest: DigestBody([]byte(body))}
}

func timeoutContext(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// Guards against a repeat at another instance that runs the call again instead of returning the recorded response.
func TestClaim_RepeatGetsRecordedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 1, Options{})
		defer c.stop()
		r, err := c.services[0].Claim(timeoutContext(5*time.Second), testCall("k", "body"))
		must.NoError(t, err)
		must.NotNil(t, r.Attempt)
		go func() {
			time.Sleep(time.Second)
			c.services[0].Complete(r.Attempt, Response{Status: 201, Body: []byte("done")})
		}()
		for _, s := range c.services {
			again, err := s.Claim(timeoutContext(5*time.Second), testCall("k", "body"))
			must.NoError(t, err)
			must.Eq(t, &Response{Status: 201, Body: []byte("done"), Retained: true}, again.Response)
			_, err = s.Claim(timeoutContext(5*time.Second), testCall("k", "other"))
			must.Eq(t, problem.KeyReused, problem.KindOf(err))
		}
	})
}

// Guards against a wrong answer to a repeat when the outcome of the first attempt is unknown, still pending or not
// recorded because of its size, or when the attempt was released.
func TestClaim_RepeatAfterOtherEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 1, Options{})
		defer c.stop()
		first := map[string]*Attempt{}
		for _, key := range []string{"unknown", "pending", "large", "released"} {
			r, err := c.services[0].Claim(timeoutContext(20*time.Second), testCall(key, ""))
			must.NoError(t, err)
			first[key] = r.Attempt
		}
		c.services[0].MarkUnknown(first["unknown"])
		c.services[0].Complete(first["large"], Response{Status: 200, Body: make([]byte, MaxRecordedBody+1)})
		c.services[0].Release(first["released"])
		for key, kind := range map[string]problem.Kind{
			"unknown": problem.OutcomeUnknown, "pending": problem.OutcomeUnknown, "large": problem.AnswerNotRetained,
		} {
			_, err := c.services[1].Claim(timeoutContext(2*time.Second), testCall(key, ""))
			must.Eq(t, kind, problem.KindOf(err), must.Sprint(key))
		}
		r, err := c.services[1].Claim(timeoutContext(2*time.Second), testCall("released", ""))
		must.NoError(t, err)
		must.NotNil(t, r.Attempt)
	})
}

// Guards against a first call that is not refused at its deadline during a store outage, against its claim staying
// recorded afterwards, and against reporting to a repeat during the outage that the key did not run.
func TestClaim_StoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 1, Options{})
		defer c.stop()
		_, err := c.services[0].Claim(timeoutContext(time.Second), testCall("ran", ""))
		must.NoError(t, err)
		time.Sleep(time.Minute)
		for _, client := range c.clients {
			client.set(faults{Down: 1})
		}
		start := time.Now()
		_, err = c.services[0].Claim(timeoutContext(3*time.Second), testCall("new", ""))
		must.Eq(t, problem.StoreUnavailable, problem.KindOf(err))
		must.Eq(t, 3*time.Second, time.Since(start))
		for _, s := range c.services {
			_, err = s.Claim(timeoutContext(3*time.Second), testCall("ran", ""))
			must.Eq(t, problem.OutcomeUnknown, problem.KindOf(err))
		}
		for _, client := range c.clients {
			client.set(faults{})
		}
		time.Sleep(10 * time.Second)
		r, err := c.services[1].Claim(timeoutContext(time.Second), testCall("new", ""))
		must.NoError(t, err)
		must.NotNil(t, r.Attempt)
	})
}

// Guards against a claim that is refused, or left recorded although its caller gave up, because an answer of the
// store or of the owner was lost after the claim had been recorded.
func TestClaim_AnswerLost(t *testing.T) {
	for name, f := range map[string]faults{"store": {Lost: 1}, "late write": {Late: 1}, "home": {AnswerLost: 1}} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(3, 1, Options{})
			defer c.stop()
			for i := range c.ids {
				c.clients[i].set(f)
				c.meshes[i].set(f, c.ids)
			}
			for i, s := range c.services {
				r, err := s.Claim(timeoutContext(2*time.Second), testCall(c.ids[i], ""))
				must.NoError(t, err, must.Sprint(name))
				must.NotNil(t, r.Attempt, must.Sprint(name))
			}
		})
	}
}

// Guards against a key that expires before 24 hours, also at an instance that starts with an empty cache, and against
// sealed segments that never expire.
func TestClaim_Retention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := Options{Slots: 1, CacheBytes: 100_000, sealBytes: 1000, mergeBytes: 4000}
		c := newCluster(2, 1, opts)
		defer func() { c.stop() }()
		claimAll := func(s *Service) (granted int) {
			for i := range 400 {
				r, err := s.Claim(timeoutContext(time.Minute), testCall(fmt.Sprint(i), ""))
				must.NoError(t, err)
				if r.Attempt != nil {
					s.Complete(r.Attempt, Response{Status: 200})
					granted++
				}
			}
			return granted
		}
		// claimNew claims unused keys; the writes cause segments to be sealed and old ones to be dropped.
		claimNew := func(s *Service, name string) {
			for i := range 100 {
				_, err := s.Claim(timeoutContext(time.Minute), testCall(fmt.Sprint(name, i), ""))
				must.NoError(t, err)
			}
		}
		must.Eq(t, 400, claimAll(c.services[0]))
		time.Sleep(24*time.Hour - 10*time.Minute)
		c.stop()
		s := New(c.clients[1], c.meshes[1], opts)
		c.services = []*Service{s}
		c.meshes[1].set(faults{}, c.ids[1:])
		claimNew(s, "day")
		must.Zero(t, claimAll(s))
		must.Greater(t, 1, len(s.slots[0].view.large))
		time.Sleep(2 * time.Hour)
		claimNew(s, "later")
		must.Greater(t, 250, claimAll(s))
	})
}

// Guards against more store writes than the budget allows at high load and against added delay at low load.
func TestClaim_WriteBudget(t *testing.T) {
	for rate, delay := range map[int]time.Duration{5: 20 * time.Millisecond, 420: 400 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(8, 1, Options{})
			defer c.stop()
			c.prefill(Options{})
			l := newLoad(c)
			l.generate(rate, rand.New(rand.NewPCG(1, 1)))
			writes, _ := c.store.traffic()
			must.LessEq(t, int(defaultWrites*loadTime.Seconds())+writeBurst*defaultSlots, writes, must.Sprint(rate))
			l.calls.Wait()
			must.Less(t, delay.Microseconds(), l.hist.ValueAtQuantile(95), must.Sprint(rate))
			must.Zero(t, l.failed.Load())
		})
	}
}

// Guards against a cache of sealed segments that grows without bound or evicts the segments in use.
func TestSegmentCache_Bounded(t *testing.T) {
	cache := newSegmentCache(nil, 10*segmentOverhead)
	for seq := range uint64(100) {
		cache.add(segmentID{0, seq}, nil)
		_, used := cache.get(segmentID{0, 0})
		must.True(t, used)
	}
	must.MapLen(t, 10, cache.items)
	must.LessEq(t, cache.limit, cache.used)
}
