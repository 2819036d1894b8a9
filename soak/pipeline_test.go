package soak

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/standin"
)

// Guards against a pipelining caller that reports sound answers as lost, or that excuses a lost one.
func TestPipeline_Responses(t *testing.T) {
	for name, c := range map[string]struct {
		served   int  // requests answered on a connection
		announce bool // the last answer says that the connection ends
		want     []Attempt
	}{
		"both answered":             {2, false, []Attempt{{Complete: true}, {Complete: true}}},
		"first answer ends it":      {1, true, []Attempt{{Complete: true}, {Unowed: true}}},
		"closed without a word":     {1, false, []Attempt{{Complete: true}, {}}},
		"closed without any answer": {0, false, []Attempt{{}, {Unowed: true}}},
	} {
		served := 0
		worker := &standin.PlatformWorker{ID: "i-1", EventTokens: eventTokens, NameRequests: true, NameRuns: true}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if served++; served > c.served {
				panic(http.ErrAbortHandler)
			}
			if c.announce {
				w.Header().Set("Connection", "close")
			}
			worker.ServeHTTP(w, worker.Addressed(r))
		}))
		env := &environment{evidence: newEvidence(eventTokens), site: standardSite}
		p := &pipeline{caller: newCaller(env, 0, 1)}
		p.target = &instance{machine: standin.PlatformMachine{Front: strings.TrimPrefix(server.URL, "http://")}}
		must.Eq(t, c.served == 2, p.runPair(t.Context()), must.Sprint(name))
		p.close()
		server.Close()
		must.Len(t, 2, env.evidence.Attempts)
		for n, a := range env.evidence.Attempts {
			must.Eq(t, c.want[n].Complete, a.Complete, must.Sprint(name, n))
			must.Eq(t, c.want[n].Unowed, a.Unowed, must.Sprint(name, n))
			must.SliceEmpty(t, checkAnswer(&a, worker.Runs()), must.Sprint(name, n))
			must.SliceEmpty(t, env.evidence.checkEvents(&a, worker.Streams()), must.Sprint(name, n))
		}
	}
}

// Guards against a summary that counts a run without evidence as good.
func TestWriteSummary_FailedRuns(t *testing.T) {
	failed, err := WriteSummary(io.Discard, []Result{
		{Evidence: newEvidence(1)}, {Err: io.EOF}, {Evidence: newEvidence(1), Breaches: []Breach{{Guarantee: "no leak"}}},
	})
	must.NoError(t, err)
	must.Eq(t, 2, failed)
}
