//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/review/kit"
)

func init() { cases["event-feed"] = eventFeed }

// eventFeed: a plain service answers an idempotent route with events that have no IDs. One of its workers crashes.
func eventFeed(dir string) {
	const (
		events  = 30
		callers = 12
	)
	s := kit.New(dir)
	s.Publish(kit.Manifest(3, kit.Route("feed", "/feed/", "idempotent", kit.Orders, map[string]any{"maxAttempts": 2, "timeoutMs": 5000, "targetLatencyMs": 300})))
	var servers []*http.Server
	var runs atomic.Int64
	for _, id := range []string{"i-w1", "i-w2", "i-w3", "i-w4"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Fail("listen: %v", err)
		}
		u := &kit.Worker{ID: id, Site: s}
		u.Fail = func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("Content-Type", "text/event-stream")
			run := runs.Add(1)
			for n := range events {
				select {
				case <-r.Context().Done():
					panic(http.ErrAbortHandler)
				case <-time.After(20 * time.Millisecond):
				}
				if _, err := fmt.Fprintf(w, "data: run %d piece %d\n\n", run, n+1); err != nil {
					panic(http.ErrAbortHandler)
				}
				_ = http.NewResponseController(w).Flush() // a failure shows in the next write
			}
			return true
		}
		server := &http.Server{Handler: u}
		servers = append(servers, server)
		go func() { _ = server.Serve(l) }()
		s.List(id, kit.Orders, l.Addr().String(), "ready", time.Now().UnixMilli())
	}
	nodes := s.StartNodes("edge-1", "edge-2")
	var whole, joined, cut, refused atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(5 * time.Second)
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			for time.Now().Before(end) {
				c, err := kit.Dial(nodes[i%len(nodes)].Front)
				if err != nil {
					s.Fail("dial: %v", err)
				}
				r := &kit.Request{ID: kit.NewID(), Method: http.MethodGet, Target: "/feed/orders", Header: http.Header{"X-Trefoillug-Deadline-Ms": {"5000"}}}
				s.Log("caller %d sends %s", i, r.ID)
				a := c.Do(r)
				_ = c.Close()
				pieces := strings.Count(a.Body, "\n\n")
				switch {
				case a.Status == http.StatusOK && a.Complete && pieces == events:
					whole.Add(1)
					s.Log("%s: 200 and whole", r.ID)
				case a.Status == http.StatusOK && a.Complete:
					joined.Add(1)
					first, rest, _ := strings.Cut(a.Body, "\n\n")
					s.Log("%s: 200, seal %q, complete by HTTP, with %d pieces instead of %d: from %q to %q", r.ID,
						a.Header.Get("X-Trefoillug-Response-Seal"), pieces, events, first, rest[max(0, len(rest)-30):])
				case a.Status == http.StatusOK:
					cut.Add(1)
					s.Log("%s: 200, cut after %d pieces, %v", r.ID, pieces, a.Err)
				default:
					refused.Add(1)
					s.Log("%s: status %d, %v", r.ID, a.Status, a.Err)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if kit.Trouble() {
		s.Log("worker i-w1 crashes: its listener and all its connections close")
		_ = servers[0].Close()
	}
	wg.Wait()
	if whole.Load() == 0 {
		s.Fail("no answer was whole")
	}
	s.Finish(joined.Load() > 0, "%d answers whole, %d visibly cut, %d refused, %d were 200 and complete with the pieces of two runs", whole.Load(), cut.Load(), refused.Load(), joined.Load())
}
