package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/trefoillug/trefoillug/fleet"
)

func one() *fleet.Endpoint {
	table := newTable()
	table.Put(entry("a", "x:1", 1))
	return table.Service("s")[0]
}

func pause(d time.Duration) fleet.Signals { return fleet.Signals{Pause: d} }

// Guards against requests to an endpoint that wants none, against a pause that a shorter one ends, against evidence of
// health that a pause changes, and against all requests that waited arriving at once when it ends.
func TestGate_PauseAndRamp(t *testing.T) {
	e := one()
	_, before := e.Admit(now)
	must.True(t, before)
	e.RecordSignals(pause(2*time.Second), now)
	e.RecordSignals(pause(time.Second), now)
	must.Eq(t, now.Add(2*time.Second), e.AcceptsAt(now))
	must.Eq(t, fleet.Snapshot{}, e.Stats.Snapshot(now))
	end := now.Add(2 * time.Second)
	_, ok := e.Admit(end.Add(-1))
	must.False(t, ok)
	must.True(t, e.PausedUntil(end).IsZero())
	probe, ok := e.Admit(end)
	must.True(t, ok)
	_, ok = e.Admit(end)
	must.False(t, ok)
	e.EndAdmission(probe, true)
	for range 2 {
		_, ok = e.Admit(end)
		must.True(t, ok)
	}
	_, ok = e.Admit(end)
	must.False(t, ok)
	_, ok = e.Admit(end.Add(60 * time.Millisecond)) // the endpoint is slow, but doesn't turn requests away
	must.True(t, ok)
	for range 100 {
		_, ok = e.Admit(end.Add(time.Second))
		must.True(t, ok)
	}
	must.False(t, e.IsRamping())
}

// Guards against a late answer of a request from before a pause that opens the endpoint further.
func TestGate_AnswersFromBeforeThePause(t *testing.T) {
	e := one()
	e.RecordSignals(pause(time.Second), now)
	at := now.Add(time.Second)
	first, _ := e.Admit(at)
	e.RecordSignals(pause(time.Second), at)
	e.EndAdmission(first, true)
	e.EndAdmission(fleet.Admission{}, true)
	_, ok := e.Admit(at.Add(time.Second))
	must.True(t, ok)
	_, ok = e.Admit(at.Add(time.Second))
	must.False(t, ok)
}

// Guards against a request within a pause, and against an endpoint that stays closed for good, in any order of pauses,
// requests and answers.
func TestGate_AnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := one()
		at, until := now, time.Time{}
		var open []fleet.Admission
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				d := time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond
				e.RecordSignals(pause(d), at)
				if end := at.Add(d); end.After(until) {
					until = end
				}
			case 1, 2:
				if a, ok := e.Admit(at); ok {
					must.False(t, at.Before(until))
					open = append(open, a)
				}
			case 3:
				if len(open) > 0 {
					e.EndAdmission(open[0], rapid.Bool().Draw(t, "answered"))
					open = open[1:]
				}
			}
		}
		for _, a := range open {
			e.EndAdmission(a, false)
		}
		must.Eq(t, until.After(at), !e.PausedUntil(at).IsZero())
		_, ok := e.Admit(at.Add(10 * time.Second))
		must.True(t, ok)
	})
}

// Guards against requests to a fifth of the workers that are full for 5 s, and against a rush on them afterwards.
func TestFleet_FifthIsFull(t *testing.T) {
	const endpoints, full, stay = 20, 4, 5 * time.Second
	for _, n := range []int{8, 195} {
		late, rush := 0, map[string]int{}
		for _, table := range instances(n, endpoints) {
			list := table.Service("s")
			end := map[string]time.Time{}
			for ms := 0; ms < 5200; ms += 5 {
				at := now.Add(time.Duration(ms) * time.Millisecond)
				e := list[ms%endpoints]
				admission, ok := e.Admit(at)
				switch {
				case !ok:
				case e.ID >= list[full].ID:
					e.EndAdmission(admission, true)
				case end[e.ID].IsZero():
					e.RecordSignals(pause(stay), at)
					end[e.ID] = at.Add(stay)
					e.EndAdmission(admission, false)
				case at.Before(end[e.ID]):
					late++
				default:
					rush[e.ID]++ // no answer yet
				}
			}
		}
		must.Eq(t, 0, late)
		for _, requests := range rush {
			must.LessEq(t, 4*n, requests)
		}
	}
}

// BenchmarkAdmit measures what the signals of endpoints add to a request.
func BenchmarkAdmit(b *testing.B) {
	e := one()
	at := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		if e.AcceptsAt(at).After(at) {
			b.Fatal("closed")
		}
		a, _ := e.Admit(at)
		e.RecordSignals(fleet.Signals{}, at)
		e.EndAdmission(a, true)
	}
}
