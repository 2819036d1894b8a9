package forward_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/placement"
)

// Guards against a load that seems to fall when the engines can't keep up with it, which shrinks their pool further.
func TestServe_UnservedRequestsCountAsLoad(t *testing.T) {
	for name, c := range map[string]struct {
		script func(a *arrival)
		least  time.Duration
	}{
		"rejected": {func(a *arrival) { a.reply(http.StatusServiceUnavailable, "", "Not-Run", "1") }, 20 * time.Millisecond},
		"served": {func(a *arrival) {
			a.stream()
			a.chunk(event(1) + event(2))
			a.end()
		}, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var work atomic.Int64
			w := newHarness(t, 2, c.script, func(cfg *forward.Config) {
				cfg.OnWork = func(_ string, d time.Duration) { work.Add(int64(d)) }
			})
			w.table.Services[service].Engine = engine()
			p := &forward.Prompt{Input: 3000, Output: 10, Blocks: []placement.Block{{ID: "a", Tokens: 1000}, {ID: "b", Tokens: 2000}}}
			w.sendPrompt(t.Context(), "resume", p)
			must.GreaterEq(t, c.least, time.Duration(work.Load()))
		})
	}
}
