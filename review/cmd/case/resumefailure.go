//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/review/kit"
)

func init() { cases["resume-failure"] = resumeFailure }

// resumeFailure: for some seconds the workers fail part of their requests, with good health. Some of the failed streams
// are reset in the middle, others are answered with a failure at once.
func resumeFailure(dir string) {
	const (
		events   = 30
		callers  = 8
		failTime = 6 * time.Second // srv_grey of the site lasts up to 6.5 s
		failing  = 2               // of 5 requests; the site has up to 0.45
	)
	s := kit.New(dir)
	s.Publish(kit.Manifest(3, kit.Route("notes", "/notes/", "streaming", kit.Models, map[string]any{"resumable": true, "maxAttempts": 2, "timeoutMs": 12000})))
	var begun, resumed atomic.Int64
	var until atomic.Int64
	fails := func(n int64) bool { return time.Now().UnixNano() < until.Load() && n%5 < failing }
	for _, id := range []string{"i-w1", "i-w2", "i-w3"} {
		u := &kit.Worker{ID: id, Site: s, Events: events, EventTime: 20 * time.Millisecond}
		u.Fail = func(w http.ResponseWriter, r *http.Request) bool {
			attempt := r.Header.Get("X-Trefoillug-Attempt-Id")
			switch {
			case r.Header.Get("Last-Event-Id") != "" && fails(resumed.Add(1)):
				// A failure without X-Trefoillug-Not-Executed: it does not say whether the request has run.
				s.Log("worker %s fails %s with 429", u.ID, attempt)
				w.WriteHeader(http.StatusTooManyRequests)
				fmt.Fprint(w, `{"error":"busy"}`)
				return true
			case r.Header.Get("Last-Event-Id") == "" && fails(begun.Add(1)):
				w.Header().Set("Content-Type", "text/event-stream")
				u.SendEvents(w, r, 0, events/2)
				s.Log("worker %s fails %s: it resets the stream after event %d", u.ID, attempt, events/2)
				panic(http.ErrAbortHandler)
			}
			return false
		}
		s.AddWorker(id, kit.Models, u)
	}
	nodes := s.StartNodes("edge-1", "edge-2")
	if kit.Trouble() {
		until.Store(time.Now().Add(failTime).UnixNano())
		s.Log("the workers begin to fail two in five of their requests, for %v", failTime)
	}
	want := ""
	for n := range events {
		want += kit.Event(n + 1)
	}
	var wrong, whole, failed atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(failTime + 2*time.Second)
	for i := range callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				c, err := kit.Dial(nodes[i%len(nodes)].Front)
				if err != nil {
					s.Fail("dial: %v", err)
				}
				r := &kit.Request{ID: kit.NewID(), Method: http.MethodPost, Target: "/notes/x", Body: "prompt", Header: http.Header{
					"X-Trefoillug-Token-Count": {"800,180"}, "X-Trefoillug-Deadline-Ms": {"12000"}, "X-Trefoillug-Model": {"m"},
				}}
				s.Log("caller %d sends %s", i, r.ID)
				a := c.Do(r)
				_ = c.Close()
				switch {
				case a.Status == http.StatusOK && a.Complete && a.Body != want:
					wrong.Add(1)
					s.Log("%s: 200, seal %q, complete by HTTP; %d of %d events, the body ends with %q", r.ID, a.Header.Get("X-Trefoillug-Response-Seal"),
						strings.Count(a.Body, "\n\n"), events, a.Body[max(0, len(a.Body)-40):])
				case a.Status == http.StatusOK && a.Complete:
					whole.Add(1)
					s.Log("%s: 200 and whole", r.ID)
				default:
					failed.Add(1)
					s.Log("%s: status %d, complete: %v, %d events, %v", r.ID, a.Status, a.Complete, strings.Count(a.Body, "\n\n"), a.Err)
				}
			}
		})
	}
	wg.Wait()
	if whole.Load() == 0 {
		s.Fail("no stream was whole")
	}
	s.Finish(wrong.Load() > 0, "%d streams whole, %d ended visibly incomplete or failed, %d were 200 and complete with a body that no worker sent", whole.Load(), failed.Load(), wrong.Load())
}
