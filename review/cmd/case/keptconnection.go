//go:build review

package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/trefoillug/trefoillug/review/kit"
)

func init() { cases["kept-connection"] = keptConnection }

// keptConnection: callers send one stream after the other on a connection that they keep. An instance gets SIGTERM.
func keptConnection(dir string) {
	const (
		callers    = 48
		roundTrip  = 2 * time.Millisecond // the sheet has 1 ms one way to requesters
		sentWithin = 3 * time.Second      // of the SIGTERM: a request sent later has no excuse
	)
	s := kit.New(dir)
	grace := time.Duration(s.GraceS) * time.Second
	s.Publish(kit.Manifest(3, kit.Route("review", "/review/", "streaming", kit.Models, nil)))
	var workers []*kit.Worker
	for _, id := range []string{"i-w1", "i-w2"} {
		// 64 events as of contract-review, with pauses far below 500 ms: 4.5 s for a stream.
		u := &kit.Worker{ID: id, Site: s, Events: 64, EventTime: 70 * time.Millisecond}
		s.AddWorker(id, kit.Models, u)
		workers = append(workers, u)
	}
	nodes := s.StartNodes("edge-1", "edge-2", "edge-3")
	target := nodes[0]

	type result struct {
		request *kit.Request
		answer  kit.Answer
	}
	var (
		mu      sync.Mutex
		results []result
		wg      sync.WaitGroup
		stop    = make(chan struct{})
	)
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond) // so that the streams end at different times
			// The platform sends all connections of these callers to the instance while it is in rotation. A caller that
			// has to open another connection goes elsewhere and is not looked at.
			c, err := kit.Dial(target.Front)
			if err != nil {
				s.Fail("dial: %v", err)
			}
			defer c.Close()
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := &kit.Request{ID: kit.NewID(), Method: http.MethodPost, Target: "/review/1", Body: "prompt", Header: http.Header{
					"X-Trefoillug-Token-Count": {"1200,384"}, "X-Trefoillug-Deadline-Ms": {"15000"}, "X-Trefoillug-Model": {"m"},
				}}
				s.Log("caller %d sends %s on its connection", i, r.ID)
				a := c.Do(r)
				s.Log("caller %d: %s ended, status %d, complete: %v, close: %v, %v", i, r.ID, a.Status, a.Complete, a.Closing, a.Err)
				mu.Lock()
				results = append(results, result{r, a})
				mu.Unlock()
				if a.Closing {
					return
				}
				time.Sleep(roundTrip)
			}
		})
	}
	time.Sleep(9 * time.Second)
	at := time.Now()
	if kit.Trouble() {
		target.Signal(syscall.SIGTERM)
	} else {
		s.Log("no SIGTERM")
	}
	time.Sleep(grace + time.Second)
	close(stop)
	wg.Wait()

	lost, complete := 0, 0
	for _, r := range results {
		if r.answer.Complete {
			complete++
			continue
		}
		ranAt := time.Time{}
		for _, u := range workers {
			if run, ok := u.Runs()[r.request.ID]; ok {
				ranAt = run.Begun
			}
		}
		sent, ended := r.answer.Sent.Sub(at), r.answer.Ended.Sub(at)
		excused := ranAt.IsZero() || ended < 0 || ended > grace+time.Second || sent <= sentWithin || r.answer.Ended.Sub(r.answer.Sent) > 14*time.Second
		s.Log("%s has no complete answer: sent %.3f s and ended %.3f s after the SIGTERM, reached a worker: %v, excused: %v", r.request.ID, sent.Seconds(), ended.Seconds(), !ranAt.IsZero(), excused)
		if !excused {
			lost++
		}
	}
	if complete == 0 {
		s.Fail("no stream was complete")
	}
	s.Finish(lost > 0, "%d streams complete; %d lost that were read, passed on and sent later than 3 s after the SIGTERM", complete, lost)
}
