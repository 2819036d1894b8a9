package attempt_test

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/attempt"
)

var (
	errNone     = errors.New("no endpoint")
	errMayRun   = errors.New("may have run")
	errBudget   = errors.New("budget used up")
	errGivenUp  = errors.New("given up")
	endpointIDs = []string{"a", "b", "c"}
)

// script implements Steps with preset endpoints and outcomes, and records its calls.
type script struct {
	endpoints   []string
	outcomes    []string
	retryErrors map[string]error // by outcome
	budget      int
	calls       []string
	cause       error
	last        *string
}

func (s *script) Choose(context.Context) (string, error) {
	if len(s.endpoints) == 0 {
		return "", errNone
	}
	e := s.endpoints[0]
	s.endpoints = s.endpoints[1:]
	return e, nil
}

func (s *script) Try(_ context.Context, endpoint string) string {
	outcome := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	s.calls = append(s.calls, endpoint+":"+outcome)
	return outcome
}

func (s *script) IsAnswered(outcome string) bool { return outcome == "answer" }

func (s *script) CheckRetry(_ context.Context, _, outcome string) error {
	return s.retryErrors[outcome]
}

func (s *script) AcquireRetry(context.Context, string, string) error {
	if s.budget == 0 {
		return errBudget
	}
	s.budget--
	return nil
}

func (s *script) GiveUp(_ context.Context, last *string, cause error) error {
	s.last, s.cause = last, cause
	return errGivenUp
}

// Guards against a request that is retried after its answer or where a second run is not permitted, that uses up retry
// budget without a retry, or whose final error loses the last outcome.
func TestRun_Cases(t *testing.T) {
	unsafe := map[string]error{"lost": errMayRun}
	for name, c := range map[string]struct {
		script script
		calls  []string
		err    error
		cause  error
		last   string
		left   int
	}{
		"answered at once":           {script{outcomes: []string{"answer"}, budget: 1}, []string{"a:answer"}, nil, nil, "", 1},
		"answered by the second":     {script{outcomes: []string{"lost", "answer"}, budget: 1}, []string{"a:lost", "b:answer"}, nil, nil, "", 0},
		"may have run":               {script{outcomes: []string{"lost", "answer"}, retryErrors: unsafe, budget: 1}, []string{"a:lost"}, errGivenUp, errMayRun, "lost", 1},
		"did not run, then lost":     {script{outcomes: []string{"rejected", "lost"}, retryErrors: unsafe, budget: 2}, []string{"a:rejected", "b:lost"}, errGivenUp, errMayRun, "lost", 1},
		"budget used up":             {script{outcomes: []string{"lost", "answer"}}, []string{"a:lost"}, errGivenUp, errBudget, "lost", 0},
		"no endpoint after attempts": {script{outcomes: []string{"1", "2", "3"}, budget: 5}, []string{"a:1", "b:2", "c:3"}, errGivenUp, errNone, "3", 2},
	} {
		s := c.script
		s.endpoints = endpointIDs
		must.Eq(t, c.err, attempt.Run(context.Background(), &s), must.Sprint(name))
		must.Eq(t, c.calls, s.calls, must.Sprint(name))
		must.Eq(t, c.cause, s.cause, must.Sprint(name))
		must.Eq(t, c.left, s.budget, must.Sprint(name))
		if c.last != "" {
			must.Eq(t, c.last, *s.last, must.Sprint(name))
		}
	}
}

// Guards against GiveUp receiving an outcome when no endpoint was found, so no attempt was made.
func TestRun_NoEndpoint(t *testing.T) {
	s := script{}
	must.Eq(t, errGivenUp, attempt.Run(context.Background(), &s))
	must.Nil(t, s.last)
	must.Eq(t, errNone, s.cause)
}
