//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/review/kit"
)

// versionWorker is a worker of one version, with its own server so that the platform can stop it.
type versionWorker struct {
	*kit.Worker
	address string
	server  *http.Server
	started int64
}

func init() { cases["second-rollout"] = secondRollout }

// secondRollout: the operator orders a roll-out of a good version, and later one of a bad version in the same entry.
func secondRollout(dir string) {
	const (
		ramp        = 30 * time.Second
		perSecond   = 9 // at 7 instances: a quarter of what the sheet has for orders-app
		exposeShare = 0.1
		exposeSlack = 50
	)
	s := kit.New(dir)
	s.Publish(kit.Manifest(3, kit.Route("book", "/book/", "non_idempotent", kit.Orders, map[string]any{"timeoutMs": 1500, "targetLatencyMs": 300})))
	var mu sync.Mutex
	var arrived []arrival
	start := func(id, version string, failIn10 int64) *versionWorker {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Fail("listen: %v", err)
		}
		u := &kit.Worker{ID: id, Site: s, Work: 60 * time.Millisecond}
		var turn int64
		u.Fail = func(w http.ResponseWriter, r *http.Request) bool {
			mu.Lock()
			turn++
			bad := turn%10 < failIn10
			arrived = append(arrived, arrival{time.Now(), version, bad})
			mu.Unlock()
			if bad {
				time.Sleep(u.Work)
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = io.WriteString(w, "failed")
			}
			return bad
		}
		v := &versionWorker{Worker: u, address: l.Addr().String(), server: &http.Server{Handler: u}, started: time.Now().UnixMilli()}
		go func() { _ = v.server.Serve(l) }()
		return v
	}
	stop := func(all []*versionWorker) {
		for _, v := range all {
			s.Log("the platform stops worker %s", v.ID)
			_ = v.server.Close()
			s.Store.Remove("servers", v.ID)
		}
	}
	state := func(target string) string {
		var st struct{ State, Target string }
		_ = json.Unmarshal(s.Store.Status("rollouts", kit.Orders), &st)
		if st.Target != target {
			return ""
		}
		return st.State
	}
	// roll lists the workers of a version, orders its roll-out and does what the platform does when it has ended. It returns the state and when it was
	// written.
	roll := func(target string, old, fresh []*versionWorker) (string, time.Time) {
		for _, v := range fresh {
			s.ListVersion(v.ID, kit.Orders, target, v.address, "ready", v.started)
		}
		at := time.Now()
		s.Log("the operator orders %s of %s in %v", target, kit.Orders, ramp)
		s.Store.Put("rollouts", kit.Orders, map[string]any{"service": kit.Orders, "target": target, "rampS": ramp.Seconds()})
		for time.Since(at) < ramp+time.Second {
			switch st := state(target); st {
			case "complete":
				s.Log("status: %s is complete %.3f s after the order", target, time.Since(at).Seconds())
				stop(old)
				return st, time.Now()
			case "reverted":
				s.Log("status: %s is reverted %.3f s after the order", target, time.Since(at).Seconds())
				for _, v := range fresh {
					s.ListVersion(v.ID, kit.Orders, target, v.address, "draining", v.started)
				}
				return st, time.Now()
			}
			time.Sleep(5 * time.Millisecond)
		}
		return state(target), time.Now()
	}

	old := []*versionWorker{start("i-a1", "v1", 0), start("i-a2", "v1", 0)}
	for _, v := range old {
		s.ListVersion(v.ID, kit.Orders, "v1", v.address, "ready", v.started)
	}
	nodes := s.StartNodes("edge-1", "edge-2", "edge-3", "edge-4", "edge-5", "edge-6", "edge-7")
	end := make(chan struct{})
	var wg sync.WaitGroup
	ends := map[string]int{}
	for i := range perSecond {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / perSecond)
			tick := time.NewTicker(time.Second)
			defer tick.Stop()
			for {
				select {
				case <-end:
					return
				case <-tick.C:
				}
				c, err := kit.Dial(nodes[i%len(nodes)].Front)
				if err != nil {
					s.Fail("dial: %v", err)
				}
				r := &kit.Request{ID: kit.NewID(), Method: http.MethodPost, Target: "/book/1", Body: "pickup", Header: http.Header{"X-Trefoillug-Deadline-Ms": {"1500"}}}
				a := c.Do(r)
				_ = c.Close()
				seal := "own"
				if a.Header.Get("X-Trefoillug-Response-Seal") != "" {
					seal = "of a worker"
				}
				if a.Status != 200 {
					s.Log("%s: status %d, %s, %v", r.ID, a.Status, seal, a.Err)
				}
				mu.Lock()
				ends[fmt.Sprintf("%d %s", a.Status, seal)]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	if kit.Trouble() {
		fresh := []*versionWorker{start("i-b1", "v2", 0), start("i-b2", "v2", 0)}
		if st, _ := roll("v2", old, fresh); st != "complete" {
			s.Fail("the good version ended as %q", st)
		}
		old = fresh
		time.Sleep(8 * time.Second)
	}
	var (
		target, st  string
		at, written time.Time
	)
	for _, target = range []string{"v3", "v4", "v5", "v6", "v7", "v8"} {
		bad := []*versionWorker{start("i-"+target+"-1", target, 1), start("i-"+target+"-2", target, 1)}
		at = time.Now()
		st, written = roll(target, old, bad)
		if st != "reverted" || written.Sub(at) > time.Second {
			break
		}
		// Taken back at once, before anything could show that it is bad. The operator orders the next build.
		time.Sleep(3 * time.Second)
	}
	if left := ramp - time.Since(at); left > 0 {
		time.Sleep(left)
	}
	close(end)
	wg.Wait()

	all, exposed, badAnswers, late := 0, 0, 0, 0
	var fiftieth time.Time
	for _, a := range arrived {
		if a.at.Before(at) || a.at.After(at.Add(ramp)) {
			continue
		}
		all++
		if a.version != target {
			continue
		}
		exposed++
		if !fiftieth.IsZero() && a.at.After(fiftieth.Add(5*time.Second)) {
			late++
		}
		if a.bad {
			if badAnswers++; badAnswers == 50 {
				fiftieth = a.at
			}
		}
	}
	for what, n := range ends {
		s.Log("%d requests ended with %s", n, what)
	}
	limit := exposeShare*float64(all) + exposeSlack
	s.Finish(float64(exposed) > limit || late > 0,
		"%s (bad) is %q after %.1f s; it got %d of %d requests between the order and its deadline, %.0f are allowed; %d bad answers, %d requests later than 5 s after the 50th",
		target, st, written.Sub(at).Seconds(), exposed, all, limit, badAnswers, late)
}

type arrival struct {
	at      time.Time
	version string
	bad     bool
}
