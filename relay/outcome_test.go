package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

// refuseAll is an Admitter that refuses every call because of its workspace's limit.
type refuseAll struct{}

func (refuseAll) Admit(context.Context, *Call) (func(), error) {
	return nil, problem.New(problem.LimitExceeded, "over the limit")
}

// Guards against a refusal with the outcome not_run when an earlier request under the same key may have run. Nothing
// was sent for the refused request, but its claim was not checked either.
func TestOutcome_RefusedBeforeClaim(t *testing.T) {
	env := newTestEnv(t)
	_, url := env.startRelay(Config{Admitter: refuseAll{}})
	must.StrContains(t, book(url, "k1", "body").body, `"kind":"limit_exceeded","outcome":"unknown"`)
	must.StrContains(t, send("GET", url+"/services/orders/list", "").body, `"kind":"limit_exceeded","outcome":"not_run"`)
}

// Guards against a refusal with the outcome not_run of a model request that a lost endpoint may have run.
func TestOutcome_SentThenNoEndpoint(t *testing.T) {
	s := &session{}
	must.Eq(t, problem.NoEndpoint, problem.KindOf(s.incompleteError(problem.NoEndpoint, "none ready")))
	s.maybeSent.Store(true)
	must.Eq(t, problem.EndpointFailed, problem.KindOf(s.incompleteError(problem.NoEndpoint, "none ready")))
}

// Guards against a refusal with the outcome not_run of a request that was handed over before its first token, while an
// engine was working on it or after one was lost.
func TestOutcome_HandedOverBeforeFirstToken(t *testing.T) {
	env := newTestEnv(t)
	from, _ := env.startRelay(Config{})
	to, _ := env.startRelay(Config{Instance: "e2", FailureDomain: "fd2"})
	for name, c := range map[string]struct {
		set  func(s *session)
		kind problem.Kind
	}{
		"not sent":    {func(*session) {}, problem.NoEndpoint},
		"engine lost": {func(s *session) { s.maybeSent.Store(true) }, problem.EndpointFailed},
		"in progress": {func(s *session) { s.runs.current = &engineRun{} }, problem.EndpointFailed},
	} {
		t.Run(name, func(t *testing.T) {
			h := handover{RequestID: name, Service: "wording", Body: []byte(chatBody("p", 3, true)), TimeLeft: time.Minute}
			call, err := from.handoverCall(&h)
			must.NoError(t, err)
			s := from.newSession(call)
			defer s.cancel(nil)
			c.set(s)
			body, err := cbor.Marshal(s.newHandover(time.Now()))
			must.NoError(t, err)
			var received handover
			must.NoError(t, cbor.Unmarshal(body, &received))
			held, _, err := to.holdSession(call, &received)
			must.NoError(t, err)
			defer held.cancel(nil)
			must.Eq(t, c.kind, problem.KindOf(held.incompleteError(problem.NoEndpoint, "none ready")))
		})
	}
}

// Guards against the outcome not_run of a request that an engine rejects as malformed after another one, which was lost,
// may have run it.
func TestOutcome_BadRequestAfterLostEngine(t *testing.T) {
	for name, c := range map[string]struct {
		lost    bool
		outcome problem.Outcome
	}{"no other engine": {false, problem.NotRun}, "an engine was lost": {true, problem.Unknown}} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			var arrivals atomic.Int32
			engine := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.lost && arrivals.Add(1) == 1 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(http.StatusBadRequest)
			})
			for _, id := range []string{"a", "b"} {
				env.addInstance(cloud.Instance{ID: id, Address: env.serve(engine), FailureDomain: "fd1", Service: "wording"})
			}
			_, url := env.startRelay(Config{})
			got := chat(url, "p", 3)
			must.Eq(t, http.StatusBadRequest, got.status)
			must.StrContains(t, got.body, `"kind":"invalid_request","outcome":"`+string(c.outcome))
		})
	}
}

// Guards against the outcome not_run of a request that an engine rejects as malformed while another one, to which it was
// offered because the first one was silent, may be running it.
func TestOutcome_BadRequestDuringOffer(t *testing.T) {
	env := newTestEnv(t)
	env.streamGap = 200 * time.Millisecond
	reached, reject := make(chan struct{}), make(chan struct{})
	a := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(reached)
		<-reject
		w.WriteHeader(http.StatusBadRequest)
	})
	env.addInstance(cloud.Instance{ID: "a", Address: env.serve(a), FailureDomain: "fd1", Service: "wording"})
	_, url := env.startRelay(Config{})
	done := make(chan reply, 1)
	go func() { done <- chat(url, "p", 3) }()
	<-reached
	b := newPausingEngine("b")
	b.pauseAt = 0
	env.addInstance(cloud.Instance{ID: "b", Address: env.serve(b), FailureDomain: "fd2", Service: "wording"})
	<-b.paused
	close(reject)
	got := <-done
	must.Eq(t, http.StatusBadRequest, got.status)
	must.StrContains(t, got.body, `"kind":"invalid_request","outcome":"`+string(problem.Unknown))
}

// Guards against an instance without a configuration that reports every service as unknown.
func TestOutcome_NoConfigurationYet(t *testing.T) {
	env := newTestEnv(t)
	_, url := env.startRelay(Config{Snapshots: func() *table.Snapshot { return &table.Snapshot{} }})
	must.StrContains(t, send("GET", url+"/services/orders/list", "").body, `"kind":"not_ready","outcome":"not_run"`)
	must.StrContains(t, book(url, "k1", "body").body, `"kind":"not_ready","outcome":"unknown"`)
	must.StrContains(t, chat(url, "x", 3).body, `"kind":"not_ready","outcome":"not_run"`)
}
