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
	end := e.AcceptsAt(now)
	must.Between(t, 2*time.Second, end.Sub(now), 2200*time.Millisecond)
	must.Eq(t, fleet.Snapshot{}, e.Stats.Snapshot(now))
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
	at := e.AcceptsAt(now)
	first, _ := e.Admit(at)
	e.RecordSignals(pause(time.Second), at)
	e.EndAdmission(first, true)
	e.EndAdmission(fleet.Admission{}, true)
	at = e.AcceptsAt(at)
	_, ok := e.Admit(at)
	must.True(t, ok)
	_, ok = e.Admit(at)
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
		must.True(t, !until.After(at) || !e.PausedUntil(at).IsZero())
		must.True(t, e.PausedUntil(at.Add(3300*time.Millisecond)).IsZero()) // the longest pause with its jitter
		_, ok := e.Admit(at.Add(10 * time.Second))
		must.True(t, ok)
	})
}

// Guards against requests to a fifth of the workers that are full for 5 s, and against instances that all come back to
// them at the same moment, with all that waits.
func TestFleet_FifthIsFull(t *testing.T) {
	const endpoints, full, stay, visit = 20, 4, 5 * time.Second, 20 * time.Millisecond
	for _, n := range []int{8, 195} {
		late, first, most := 0, map[time.Duration]int{}, 0
		for _, table := range instances(n, endpoints) {
			list := table.Service("s")
			saidAt, firstAt, probes := map[string]time.Duration{}, map[string]time.Duration{}, map[string]int{}
			for at := time.Duration(0); at < 5600*time.Millisecond; at += visit {
				for i, e := range list {
					admission, ok := e.Admit(now.Add(at))
					_, said := saidAt[e.ID]
					switch {
					case !ok:
					case i >= full:
						e.EndAdmission(admission, true)
					case !said:
						e.RecordSignals(pause(stay), now.Add(at))
						saidAt[e.ID] = at
						e.EndAdmission(admission, false)
					case at < saidAt[e.ID]+stay:
						late++
					default: // no answer yet
						if probes[e.ID]++; probes[e.ID] == 1 {
							first[at.Truncate(5*visit)]++
							firstAt[e.ID] = at
						}
						if at-firstAt[e.ID] < 5*visit {
							most = max(most, probes[e.ID])
						}
					}
				}
			}
		}
		must.Eq(t, 0, late)
		must.LessEq(t, 3, most) // in 100 ms
		total := 0
		for _, probes := range first {
			must.LessEq(t, full*n/2+2, probes) // of full*n in half a second
			total += probes
		}
		must.Eq(t, full*n, total)
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
