package problem

import (
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a kind whose answer lacks a status, an outcome or a title.
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
