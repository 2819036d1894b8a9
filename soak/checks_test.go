package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/standin"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// served is an attempt that got its whole answer.
func served(id, route string, sent time.Time) Attempt {
	return Attempt{
		Call: standin.UsersCall{ID: id, Route: route, Key: standin.UsersOpenKey}, Instance: "n01", Sent: sent, Ended: sent.Add(time.Millisecond),
		Status: 200, Body: fmt.Sprintf("i-1 /%s/%s %d", route, id, len("body of "+id)), Whole: true,
	}
}

func ran(id, worker string, when time.Time) standin.UsersRun {
	return standin.NewUsersRun(id, worker, "open", when, false)
}

// sound is evidence of a run without faults in which one request was served.
func sound() *Evidence {
	e := newEvidence(2)
	e.FaultEnd, e.End = at(39), at(60)
	e.Attempts = []Attempt{served("a", "book", at(50))}
	e.Runs = []standin.UsersRun{ran("a", "i-1", at(50))}
	return e
}

// Guards against checks that miss the breach that they exist for, or that find one in a sound run.
func TestCheck_FindsEachBreach(t *testing.T) {
	must.Len(t, 0, sound().Check())
	for promise, breakIt := range map[string]func(e *Evidence){
		"whole answer to its own request": func(e *Evidence) {
			a := served("b", "book", at(30))
			a.Body = e.Attempts[0].Body
			e.addAttempt(a)
		},
		"not run means not run": func(e *Evidence) {
			a := served("b", "book", at(30))
			a.Status = 503
			e.addAttempt(a)
			e.Runs = append(e.Runs, ran("b", "i-1", at(30)))
		},
		"at most once": func(e *Evidence) { e.Runs = append(e.Runs, ran("a", "i-2", at(50.1))) },
		"attempts of a route": func(e *Evidence) {
			e.addAttempt(Attempt{Call: standin.UsersCall{ID: "c", Route: "look"}, Whole: true, Ended: at(3)})
			e.Runs = append(e.Runs, ran("c", "i-1", at(1)), ran("c", "i-2", at(2)), ran("c", "i-3", at(3)))
		},
		"workspace of the key": func(e *Evidence) {
			a := served("b", "book", at(30))
			a.Call.Key = standin.UsersKey
			e.addAttempt(a)
			e.Runs = append(e.Runs, ran("b", "i-1", at(30)))
		},
		"configuration in force in time": func(e *Evidence) {
			e.Revoked = []Notice{{At: at(40), Name: "k"}}
			late := served("b", "book", at(43))
			late.Call.Key = "k"
			e.addAttempt(late)
		},
		"planned work cuts nothing": func(e *Evidence) {
			e.Spans = []Span{{From: at(30), To: at(35), What: InstanceStop, Instance: "n01", Planned: true}}
			e.addAttempt(Attempt{Call: standin.UsersCall{ID: "b", Route: "book"}, Instance: "n01", Sent: at(31), Ended: at(31.5)})
		},
		"no work for leaving endpoints": func(e *Evidence) { e.Leaving["i-1"] = at(47) },
		"quota in sum": func(e *Evidence) {
			for i := range 400 {
				e.Runs = append(e.Runs, standin.NewUsersRun(fmt.Sprint("q", i), "i-1", standin.UsersTight, at(10+float64(i)/100), false))
			}
		},
		"retry budget": func(e *Evidence) {
			for i := range 200 {
				id := fmt.Sprint("r", i)
				e.Runs = append(e.Runs, ran(id, "i-1", at(20+float64(i)/100)), ran(id, "i-2", at(20.5+float64(i)/100)))
			}
		},
		"one holder of a duty": func(e *Evidence) { e.Broken = []string{"two reports of a window differ"} },
		"no leak":              func(e *Evidence) { e.Leaks = []string{"n01 has 5000 descriptors open"} },
		"service is back":      func(e *Evidence) { e.Attempts[0].Status = 502; e.Attempts[0].Call.Route = "look" },
	} {
		e := sound()
		breakIt(e)
		found := e.Check()
		must.Len(t, 1, found, must.Sprint(promise, found))
		must.Eq(t, promise, found[0].Promise)
	}
}

// Guards against breaches that are reported although the users' pages allow the case.
func TestCheck_AllowedCases(t *testing.T) {
	for name, change := range map[string]func(e *Evidence){
		"a run that was moved": func(e *Evidence) { e.Runs = append(e.Runs, standin.NewUsersRun("a", "i-2", "open", at(50.1), true)) },
		"a refused request that may be repeated and ran": func(e *Evidence) {
			a := served("b", "look", at(20))
			a.Status = 503
			e.addAttempt(a)
			e.Runs = append(e.Runs, ran("b", "i-1", at(20)))
		},
		"an old key at an instance out of touch": func(e *Evidence) {
			e.Revoked = []Notice{{At: at(40), Name: "k"}}
			e.Spans = []Span{{From: at(39), To: at(41), What: InstanceFreeze, Instance: "n01"}}
			late := served("b", "book", at(43))
			late.Call.Key = "k"
			e.addAttempt(late)
		},
		"a request cut by a crash beside a planned stop": func(e *Evidence) {
			e.Spans = []Span{
				{From: at(30), To: at(35), What: InstanceStop, Instance: "n01", Planned: true}, {From: at(30), To: at(31), What: EndpointCrash},
			}
			e.addAttempt(Attempt{Call: standin.UsersCall{ID: "b", Route: "book"}, Instance: "n01", Sent: at(31), Ended: at(31.5)})
		},
		"a request that crosses the close": func(e *Evidence) {
			e.Spans = []Span{{From: at(30), To: at(35), What: InstanceStop, Instance: "n01", Planned: true}}
			e.addAttempt(Attempt{Call: standin.UsersCall{ID: "b", Route: "book"}, Instance: "n01", Sent: at(31), Ended: at(31.1)})
		},
	} {
		e := sound()
		change(e)
		must.Len(t, 0, e.Check(), must.Sprint(name))
	}
}

// Guards against plans that differ between runs of a seed, leave no calm time, or never hold some kind.
func TestNewPlan_Cases(t *testing.T) {
	must.Eq(t, NewPlan(7, time.Minute, 4).String(), NewPlan(7, time.Minute, 4).String())
	seen := map[Kind]bool{}
	for seed := range uint64(50) {
		p := NewPlan(seed, time.Minute, 4)
		must.Positive(t, len(p.Faults))
		for _, f := range p.Faults {
			seen[f.Kind] = true
			must.Between(t, calmStart, f.At, time.Minute)
			must.True(t, f.Kind.isPlanned() || f.At+f.For <= time.Minute-CalmEnd, must.Sprint(f))
		}
	}
	for _, k := range kinds {
		must.True(t, seen[k], must.Sprint(k))
	}
}
