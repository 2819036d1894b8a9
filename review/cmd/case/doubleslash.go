//go:build review

package main

import (
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/review/kit"
)

func init() { cases["double-slash"] = doubleSlash }

// doubleSlash: a manifest adds a route with the prefix "/"; a path of that route begins with two slashes.
func doubleSlash(dir string) {
	s := kit.New(dir)
	lookup := kit.Route("lookup", "/lookup/", "idempotent", kit.Orders, map[string]any{"maxAttempts": 2})
	s.Publish(kit.Manifest(3, lookup))
	u := &kit.Worker{ID: "i-w1", Site: s, Work: 10 * time.Millisecond}
	s.AddWorker(u.ID, kit.Orders, u)
	nodes := s.StartNodes("edge-1")
	if kit.Trouble() {
		s.Publish(kit.Manifest(7, lookup, kit.Route("rest", "/", "idempotent", kit.Orders, map[string]any{"maxAttempts": 2})))
		time.Sleep(3 * time.Second)
	}
	changed := 0
	for _, target := range []string{"/lookup/1?a=b", "//pickups/7", "/pickups//7", "/a%2Fb?x=//y"} {
		r := &kit.Request{ID: kit.NewID(), Method: http.MethodGet, Target: target, Header: http.Header{"X-Trefoillug-Deadline-Ms": {"1500"}}}
		c, err := kit.Dial(nodes[0].Front)
		if err != nil {
			s.Fail("dial: %v", err)
		}
		a := c.Do(r)
		_ = c.Close()
		run, ran := u.Runs()[r.ID]
		s.Log("%s %s: status %d %q; the worker ran %q", r.ID, target, a.Status, a.Body, run.Target)
		if ran && run.Target != target {
			changed++
		}
	}
	s.Finish(changed > 0, "%d requests ran with another path", changed)
}
