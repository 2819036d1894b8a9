package relay

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/continuation"
	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/standin"
)

// ignoreResume makes an engine answer each request from its start.
func ignoreResume(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.PathChat {
			var chat engine.ChatRequest
			_ = json.NewDecoder(r.Body).Decode(&chat)
			chat.Resume = nil
			body, _ := json.Marshal(chat)
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		h.ServeHTTP(w, r)
	})
}

// refusedContinuations returns the causes for which answers were not relayed, without repetitions.
func (env *testEnv) refusedContinuations() map[continuation.Cause]bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	causes := map[continuation.Cause]bool{}
	for _, e := range env.events {
		if done, ok := e.(core.AttemptDone); ok && done.Refused != "" {
			causes[done.Refused] = true
		}
	}
	return causes
}

// Guards against a stream joined of two runs, or with a hole, when the next engine does not go on where the lost one
// stopped, and against such an engine that leaves no trace in the log.
func TestResume_ContinuationFollows(t *testing.T) {
	for name, c := range map[string]struct {
		faults standin.EngineFaults
		wrap   func(http.Handler) http.Handler
		cause  continuation.Cause
	}{
		"hole":           {standin.EngineFaults{Drop: 1}, func(h http.Handler) http.Handler { return h }, continuation.Gap},
		"from the start": {standin.EngineFaults{}, ignoreResume, continuation.StepBack},
	} {
		t.Run(name, func(t *testing.T) {
			log, hook := logtest.NewNullLogger()
			env := newTestEnv(t)
			a := env.startEngine("a", "fd1", slowEngine)
			_, url := env.startRelay(Config{Log: log})
			replies := runStreams(url, 1, 100, func() {
				b := standin.NewEngine(slowEngine)
				b.SetFaults(c.faults)
				asked := make(chan struct{})
				once := sync.OnceFunc(func() { close(asked) })
				h := c.wrap(b)
				address := env.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == engine.PathChat {
						defer once()
					}
					h.ServeHTTP(w, r)
				}))
				env.addInstance(cloud.Instance{ID: "b", Address: address, FailureDomain: "fd2", Service: "wording"})
				a.SetFaults(standin.EngineFaults{DownNow: true})
				select {
				case <-asked: // the answer has ended
				case <-time.After(5 * time.Second):
				}
				env.startEngine("c", "fd2", slowEngine)
			})
			mustAllBeComplete(t, replies, 100)
			must.MapContainsKey(t, env.refusedContinuations(), c.cause)
			found := false
			for _, e := range hook.AllEntries() {
				if e.Data["cause"] != c.cause {
					continue
				}
				found = true
				must.Eq(t, "b", e.Data["endpoint"].(string))
				must.NotEq(t, "", e.Data["request"].(string))
				must.NotEq(t, "", e.Data["position"].(string))
				must.NotEq(t, "", e.Data["offered"].(string))
			}
			must.True(t, found)
		})
	}
}
