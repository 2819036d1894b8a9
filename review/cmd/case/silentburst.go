//go:build review

package main

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/trefoillug/trefoillug/review/kit"
)

func init() { cases["silent-burst"] = silentBurst }

// silentBurst: many users come at once. For some seconds the workers have no place for another request, and while they
// read the new prompts the streams that they run pause. An instance gets SIGHUP before.
func silentBurst(dir string) {
	const (
		events      = 40
		callers     = 24
		silence     = 1300 * time.Millisecond // a second or so, and more than three times targetGapMs
		burst       = 3 * time.Second         // as long as that of the site
		configApply = 2 * time.Second
	)
	s := kit.New(dir)
	s.Publish(kit.Manifest(3, kit.Route("notes", "/notes/", "streaming", kit.Models, map[string]any{"resumable": true, "maxAttempts": 2, "timeoutMs": 10000, "targetGapMs": 400, "targetLatencyMs": 500})))
	var fullUntil, silentUntil atomic.Int64
	left := func(until *atomic.Int64) time.Duration { return time.Until(time.Unix(0, until.Load())) }
	for _, id := range []string{"i-w1", "i-w2", "i-w3"} {
		u := &kit.Worker{ID: id, Site: s, EventTime: 100 * time.Millisecond}
		u.Fail = func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("Content-Type", "text/event-stream")
			if r.Header.Get("Last-Event-Id") != "" {
				return false // continued by the stand-in
			}
			for n := 1; n <= events; n++ {
				if d := left(&silentUntil); d > 0 {
					time.Sleep(d) // the pause of a sound worker
				}
				if !u.SendEvents(w, r, n-1, n) {
					return true
				}
			}
			u.SetComplete(r.Header.Get("X-Trefoillug-Attempt-Id"))
			return true
		}
		u.Events = events
		u.Full = func() bool { return left(&fullUntil) > 0 }
		s.AddWorker(id, kit.Models, u)
	}
	nodes := s.StartNodes("edge-1", "edge-2", "edge-3")
	target := nodes[0]
	target.Signal(syscall.SIGHUP)
	at := time.Now()
	const timeout = 10 * time.Second // of the route, and the deadline
	answers := make([]kit.Answer, callers)
	requests := make([]*kit.Request, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			time.Sleep(200*time.Millisecond + time.Duration(i)*20*time.Millisecond)
			c, err := kit.Dial(target.Front)
			if err != nil {
				s.Fail("dial: %v", err)
			}
			defer c.Close()
			requests[i] = &kit.Request{ID: kit.NewID(), Method: http.MethodPost, Target: "/notes/1", Body: "prompt", Header: http.Header{
				"X-Trefoillug-Token-Count": {"800,180"}, "X-Trefoillug-Deadline-Ms": {"10000"}, "X-Trefoillug-Model": {"m"},
			}}
			s.Log("caller %d sends %s", i, requests[i].ID)
			answers[i] = c.Do(requests[i])
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if kit.Trouble() {
		s.Log("a burst: the workers are full for %v, and their streams pause for %v", burst, silence)
		fullUntil.Store(time.Now().Add(burst).UnixNano())
		silentUntil.Store(time.Now().Add(silence).UnixNano())
	}
	wg.Wait()
	lost, complete := 0, 0
	for i, a := range answers {
		sent, ended := a.Sent.Sub(at), a.Ended.Sub(at)
		if a.Complete && a.Status == http.StatusOK {
			complete++
			continue
		}
		// The callers never leave, and no worker breaks off.
		counts := sent <= configApply && !a.Complete && a.Ended.Sub(a.Sent) < timeout
		s.Log("%s: status %d, %d events, sent %.3f s and cut %.3f s after the SIGHUP: %v", requests[i].ID, a.Status, strings.Count(a.Body, "\n\n"), sent.Seconds(), ended.Seconds(), a.Err)
		if counts {
			lost++
		}
	}
	s.Finish(lost > 0, "%d streams complete, %d lost", complete, lost)
}
