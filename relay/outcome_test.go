package relay

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

// refuseAll refuses every call for its workspace's limit.
type refuseAll struct{}

func (refuseAll) Admit(context.Context, *Call) (func(), error) {
	return nil, problem.New(problem.LimitExceeded, "over the limit")
}

// Guards against a refusal as not_run for a key that an earlier request may have run: nothing was sent this time, but
// the claim was not looked at either.
func TestOutcome_RefusedBeforeClaim(t *testing.T) {
	w := newWorld(t)
	_, url := w.relay(Config{Admitter: refuseAll{}})
	must.StrContains(t, book(url, "k1", "body").body, `"kind":"limit_exceeded","outcome":"unknown"`)
	must.StrContains(t, send("GET", url+"/services/orders/list", "").body, `"kind":"limit_exceeded","outcome":"not_run"`)
}

// Guards against a refusal as not_run for a model request that a lost endpoint may have run.
func TestOutcome_SentThenNoEndpoint(t *testing.T) {
	s := &session{}
	must.Eq(t, problem.NoEndpoint, problem.KindOf(s.broken(problem.NoEndpoint, "none ready")))
	s.sent.Store(true)
	must.Eq(t, problem.EndpointFailed, problem.KindOf(s.broken(problem.NoEndpoint, "none ready")))
}

// Guards against callers who are told that their service does not exist by an instance that has no configuration yet.
func TestOutcome_NoConfigurationYet(t *testing.T) {
	w := newWorld(t)
	_, url := w.relay(Config{Snapshots: func() *table.Snapshot { return &table.Snapshot{} }})
	must.StrContains(t, send("GET", url+"/services/orders/list", "").body, `"kind":"not_ready","outcome":"not_run"`)
	must.StrContains(t, book(url, "k1", "body").body, `"kind":"not_ready","outcome":"unknown"`)
	must.StrContains(t, chat(url, "x", 3).body, `"kind":"not_ready","outcome":"not_run"`)
}
