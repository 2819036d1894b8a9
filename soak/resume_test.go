package soak

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/standin"
)

// Guards against a caller that asks for the rest of a stream after an event that it has only in part.
func TestAttempt_Position(t *testing.T) {
	for body, want := range map[string]int{
		"":                                 2,
		"id: 3\ndata: x\n\n":               3,
		"id: 3\ndata: x\n\nid: 4\ndata: x": 3,
		"id: 3\ndata: x\n\nv: 1\nid: 4\ndata: x\n\n: ok\n\n": 4,
	} {
		a := Attempt{Call: standin.PlatformCall{After: 2}, Status: http.StatusOK, Body: body}
		must.Eq(t, want, a.position(), must.Sprint(body))
		a.Status = http.StatusBadGateway
		must.Eq(t, 2, a.position())
	}
}

// Guards against callers that don't resume a broken stream where it ended, or that resume one that ended whole.
func TestCaller_Resumes(t *testing.T) {
	requests := 0
	worker := &standin.PlatformWorker{ID: "i-1", EventTokens: 1, EventTime: time.Microsecond, NameRequests: true, NameRuns: true}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests++; requests == 3 {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		broken := &breakingWriter{ResponseWriter: w}
		if requests < 3 {
			broken.left = 2
		}
		worker.ServeHTTP(broken, worker.Addressed(r))
	}))
	defer server.Close()
	env := &environment{evidence: newEvidence(1), site: standardSite}
	i := &instance{machine: standin.PlatformMachine{Front: strings.TrimPrefix(server.URL, "http://")}}
	b := &balancer{rotation: []*instance{i}}
	c := newCaller(env, 0, 1)
	c.target = i
	call := standin.PlatformCall{ID: "b", Route: "notes", Key: c.key, Stream: true, Prompt: 1, Output: 6, Deadline: callDeadline}
	first := c.attempt(t.Context(), call)
	must.True(t, first.mayResume())
	env.evidence.addAttempt(first)
	c.resume(t.Context(), b, first)
	all := env.evidence.Attempts
	must.Len(t, 4, all)
	after := make([]int, 0, len(all))
	for n, a := range all {
		after = append(after, a.Call.After)
		must.SliceEmpty(t, env.evidence.checkEvents(&a, slices.DeleteFunc(worker.Streams(), func(s standin.PlatformStream) bool { return s.Request != a.Call.ID })))
		must.True(t, n == 0 || a.Resumes == all[n-1].Call.ID)
	}
	must.Eq(t, []int{0, 2, 4, 4}, after)
	must.True(t, all[3].Complete)
	must.False(t, all[3].mayResume())
}

// breakingWriter breaks a response off after a number of writes, if that is not 0.
type breakingWriter struct {
	http.ResponseWriter
	left int
}

func (w *breakingWriter) Write(b []byte) (int, error) {
	if w.left > 0 {
		if w.left--; w.left == 0 {
			_, _ = w.ResponseWriter.Write(b) // the response ends here
			_ = http.NewResponseController(w.ResponseWriter).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	return w.ResponseWriter.Write(b)
}

func (w *breakingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Guards against plans of a site that differ for the same seed, end in no calm time, or never contain some kind.
func TestNewSitePlan_Cases(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(50) {
		p := NewDrawnSitePlan(seed, time.Minute, 7)
		must.Eq(t, p.String(), NewDrawnSitePlan(seed, time.Minute, 7).String())
		must.True(t, p.Site.Resumes)
		for _, f := range p.Faults {
			seen[f.Kind] = true
			must.True(t, f.Kind.isPlanned() || f.At+f.For <= time.Minute-CalmEnd, must.Sprint(f))
		}
	}
	for _, k := range append([]Kind{StreamsBreak, RollOut}, siteKinds...) {
		must.True(t, seen[k], must.Sprint(k))
	}
}
