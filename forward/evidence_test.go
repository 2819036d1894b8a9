package forward_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/forward"
)

// observer records what is reported of a version.
type observer struct{ observed chan forward.Observation }

func (observer) Version(string, string) (string, bool, bool) { return "", false, false }
func (o observer) Observe(e forward.Observation)             { o.observed <- e }

// Guards against an answer that counts for its version although the caller got no success: a version that answered each
// request of a route with 404 was declared good.
func TestServe_AnswersAsEvidence(t *testing.T) {
	tests := map[string]struct {
		status               int
		body                 string
		failed, unsuccessful bool
	}{
		"success":         {http.StatusOK, "x", false, false},
		"no content":      {http.StatusNoContent, "", false, false},
		"redirect":        {http.StatusFound, "", false, true},
		"not modified":    {http.StatusNotModified, "", false, true},
		"not found":       {http.StatusNotFound, "x", false, true},
		"long not found":  {http.StatusNotFound, strings.Repeat("x", 300<<10), false, true},
		"too many":        {http.StatusTooManyRequests, "", false, true}, // without proof that it did not run
		"failure":         {http.StatusInternalServerError, "x", true, false},
		"long failure":    {http.StatusInternalServerError, strings.Repeat("x", 300<<10), true, false}, // relayed as it arrives
		"unclear refusal": {http.StatusServiceUnavailable, "", true, false},
	}
	for name, c := range tests {
		for _, route := range []string{"once", "safe", "stream"} {
			t.Run(name+"/"+route, func(t *testing.T) {
				t.Parallel()
				o := observer{make(chan forward.Observation, 8)}
				w := newHarness(t, 1, func(a *arrival) { a.reply(c.status, c.body) }, func(cfg *forward.Config) { cfg.Versions = o }).setPatient()
				w.send(t.Context(), route)
				select {
				case e := <-o.observed:
					must.False(t, e.Excluded)
					must.Eq(t, c.failed, e.Failed)
					must.Eq(t, c.unsuccessful, e.Unsuccessful)
				case <-time.After(10 * time.Second):
					t.Fatal("nothing was reported")
				}
			})
		}
	}
}
