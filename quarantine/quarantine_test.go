package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func attempts(fps ...Fingerprint) []RunningAttempt {
	var out []RunningAttempt
	for _, fp := range fps {
		out = append(out, RunningAttempt{Fingerprint: fp, Started: t0})
	}
	return out
}

// Guards against counting a crash more than once when several instances report it, in any order of facts.
func TestTable_CrashReportedTwiceCountsOnce(t *testing.T) {
	a, b := New(Options{}), New(Options{})
	fa, _ := a.Crashed("e1", attempts(1), t0)
	fb, _ := b.Crashed("e1", attempts(1), t0)
	a.Merge(fb, t0)
	b.Merge(fa, t0)
	b.Merge(fa, t0)
	late := New(Options{})
	late.Merge(fa, t0.Add(time.Second))
	_, _ = late.Crashed("e1", attempts(1), t0.Add(time.Second))
	for _, table := range []*Table{a, b, late} {
		must.True(t, table.MustIsolate(1, t0.Add(time.Minute)))
	}
}

// Guards against refusing a request that only ran on the same endpoints as the crashing one, and against losing a third
// endpoint although all other suspects have been cleared.
func TestTable_ClearedSuspectsAreNotRefused(t *testing.T) {
	table, now := New(Options{}), t0.Add(time.Minute)
	_, _ = table.Crashed("e1", attempts(1, 2), t0)
	_, _ = table.Crashed("e2", attempts(1, 2, 3), t0)
	must.True(t, table.MustIsolate(1, now))
	must.True(t, table.MustIsolate(2, now))
	must.SliceLen(t, 2, table.Completed(2, "e3", now))
	must.SliceLen(t, 1, table.Completed(3, "e3", now))
	must.Eq(t, Run, table.Decide(2, now).Action)
	must.Eq(t, Run, table.Decide(3, now).Action)
	must.True(t, table.IsQuarantined(1, now))
	must.Eq(t, Run, table.Decide(1, t0.Add(DefaultTTL)).Action)
}

// Guards against a refusal before the facts of the other instances, which name what else ran on the endpoint, have had
// time to arrive.
func TestTable_HoldsUntilFactsHaveArrived(t *testing.T) {
	table, now := New(Options{}), t0.Add(time.Minute)
	_, _ = table.Crashed("e1", attempts(1), t0)
	f, _ := table.Crashed("e2", []RunningAttempt{{1, now}}, now)
	must.Eq(t, Decision{Hold, now.Add(DefaultSettle), 2}, table.Decide(1, now))
	table.Merge(Fact{Crash: f.Crash, Running: []Fingerprint{2}}, now)
	table.Merge(Fact{Crash: CrashID{Endpoint: "e1", Number: 1}, Running: []Fingerprint{2}}, now)
	must.True(t, table.MustIsolate(1, now.Add(DefaultSettle)))
}

// Guards against a table that grows without bound, and against two isolated runs of a request at the same time.
func TestTable_Bounded(t *testing.T) {
	table := New(Options{MaxCrashes: 10})
	for i := range 1000 {
		_, _ = table.Crashed(fmt.Sprint("e", i), attempts(Fingerprint(i), Fingerprint(i+1)), t0.Add(time.Duration(i)*time.Minute))
	}
	must.MapLen(t, 10, table.crashes)
	must.MapLen(t, 11, table.byFingerprint)
	_ = table.Decide(0, t0.Add(17*time.Hour))
	must.Less(t, 100, len(table.numbers))
	must.True(t, table.Begin(5, "e", time.Minute, t0))
	must.False(t, table.Begin(5, "e", time.Minute, t0.Add(time.Second)))
	must.True(t, table.Begin(5, "e", time.Minute, t0.Add(time.Minute)))
}

// Guards against an instance that starts later and takes a harmless request for the only one on a crashed endpoint, because
// the fact that clears it has replaced the one that lists the others.
func TestTable_ClearingFactHoldsWholeCrash(t *testing.T) {
	table, now := New(Options{}), t0.Add(time.Minute)
	_, _ = table.Crashed("e1", attempts(1, 2), t0)
	_, _ = table.Crashed("e2", attempts(1, 2), t0) // request 1 is the cause
	late := New(Options{})
	for _, f := range table.Completed(2, "e3", now) {
		late.Merge(f, now)
	}
	later := now.Add(DefaultSettle)
	must.Eq(t, Run, late.Decide(2, later).Action)
	must.Eq(t, Refuse, late.Decide(1, later).Action)
}
