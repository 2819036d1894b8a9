package problem

import (
	"fmt"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a kind whose answer has no status, outcome or title.
func TestAnswerFor_EveryKindComplete(t *testing.T) {
	for _, k := range Kinds() {
		a := AnswerFor(k)
		must.Between(t, 400, a.Status, 599)
		must.NotEq(t, "", a.Title)
		must.SliceContains(t, []Outcome{NotRun, Unknown, Partial}, a.Outcome)
	}
}

// Guards against losing the kind of an error when it is wrapped on its way to the caller.
func TestWrite_WrappedKind(t *testing.T) {
	w := httptest.NewRecorder()
	Write(w, Wrap(LimitExceeded, New(Internal, "bucket empty")), "r1")
	must.Eq(t, 500, w.Code)
	w = httptest.NewRecorder()
	Write(w, New(LimitExceeded, "bucket empty"), "r1")
	must.Eq(t, 429, w.Code)
	must.Eq(t, "1", w.Header().Get("Retry-After"))
	must.StrContains(t, w.Body.String(), `"outcome":"not_run"`)
}

// Guards against documentation for operators that differs from the answers that callers get.
func TestAnswers_MatchDocs(t *testing.T) {
	page, err := os.ReadFile("../docs/operations.md")
	must.NoError(t, err)
	for _, k := range Kinds() {
		a := AnswerFor(k)
		retry, refusal := "-", "yes"
		if a.Retry > 0 {
			retry = fmt.Sprintf("%d s", int(a.Retry.Seconds()))
		}
		if a.CallerError {
			refusal = "no"
		}
		row := fmt.Sprintf("| `%s` | %d | `%s` | %s | %s | %s |", k, a.Status, a.Outcome, retry, refusal, a.Title)
		must.StrContains(t, string(page), row)
	}
}

// Guards against a refusal that states not_run although an earlier request with the same key may have run.
func TestWithUnknownOutcome_KeepsKind(t *testing.T) {
	err := WithUnknownOutcome(NewWithRetryAfter(LimitExceeded, 3*time.Second, "over the limit"))
	must.Eq(t, LimitExceeded, KindOf(err))
	must.Eq(t, Unknown, DetailsFor(err, "r1").Outcome)
	must.Eq(t, 3*time.Second, RetryAfter(err))
	must.NoError(t, WithUnknownOutcome(nil))
}
