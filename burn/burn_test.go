package burn

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/problem"
)

var start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// Guards against counting a minute twice when two instances refused requests in it, and against counting refusals that
// are the caller's own error.
func TestNewReport_RefusalMinutes(t *testing.T) {
	subject := Subject{"orders", "bakeries"}
	a, b := NewRecorder(), NewRecorder()
	a.Refused(start, subject, problem.NoEndpoint)
	b.Refused(start.Add(20*time.Second), subject, problem.Overloaded)
	b.Refused(start.Add(2*time.Minute), subject, problem.InvalidRequest)
	b.Refused(start.Add(3*time.Minute), subject, problem.Overloaded)
	a.Served(start.Add(3*time.Minute), subject)
	to := start.Add(4 * time.Minute)
	report := NewReport(append(a.Days()["2026-12-04"], b.Days()["2026-12-04"]...), start.Add(-time.Hour), to, 0.99)
	must.Len(t, 1, report.Lines)
	line := report.Lines[0]
	must.Eq(t, 2, line.RefusalMinutes)
	must.Eq(t, uint64(1), line.Served)
	must.Eq(t, uint64(2), line.Refused[problem.Overloaded])
	// Two of five minutes refused against a budget of one in a hundred.
	must.Eq(t, Rate{"5m0s", 40}, roundRate(line.BurnRates[0]))
}

// Guards against a text or HTML report that lacks a subject, its refusals or its plot.
func TestReport_Rendered(t *testing.T) {
	r := NewRecorder()
	r.Refused(start, Subject{"orders", "kiosks"}, problem.NoEndpoint)
	report := NewReport(r.Days()["2026-12-04"], start.Add(-time.Hour), start.Add(time.Minute), 0.999)
	var text, html strings.Builder
	must.NoError(t, report.WriteText(&text))
	must.NoError(t, report.WriteHTML(&html))
	must.StrContains(t, text.String(), "no_endpoint=1")
	must.StrContains(t, html.String(), "<rect")
	must.StrContains(t, html.String(), "kiosks")
}

// Guards against the day object growing with each minute of a day without refusals.
func TestRecorder_MergesMinutesWithoutRefusals(t *testing.T) {
	r := NewRecorder()
	for m := range 600 {
		r.Served(start.Add(time.Duration(m)*time.Minute), Subject{"orders", "kiosks"})
	}
	must.Len(t, 10, r.Days()["2026-12-04"])
}

func roundRate(r Rate) Rate {
	r.Rate = float64(int(r.Rate + 0.5))
	return r
}
