package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/standin"
)

var epoch = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// servedAttempt returns an attempt that got its complete answer.
func servedAttempt(id, route string, sent time.Time) Attempt {
	return Attempt{
		Call: standin.PlatformCall{ID: id, Route: route, Key: standin.PlatformOpenKey}, Instance: "n01", Sent: sent, Ended: sent.Add(time.Millisecond),
		Status: 200, Seal: standin.SealOf("i-1"), Body: fmt.Sprintf("i-1 /%s/%s %d", route, id, len("body of "+id)), Complete: true,
	}
}

func runOf(id, worker string, when time.Time) standin.PlatformRun {
	return standin.NewPlatformRun(id, worker, "open", when, false)
}

// addServed adds an attempt that got its complete answer from an endpoint that ran it.
func addServed(e *Evidence, a Attempt) {
	e.addAttempt(a)
	e.Runs = append(e.Runs, runOf(a.Call.ID, standin.SealedBy(a.Seal), a.Sent))
}

// cleanEvidence returns the evidence of a run without faults in which one request was served.
func cleanEvidence() *Evidence {
	e := newEvidence(2)
	e.FaultEnd, e.End = at(39), at(60)
	e.Attempts = []Attempt{servedAttempt("a", "book", at(50))}
	e.Runs = []standin.PlatformRun{runOf("a", "i-1", at(50))}
	return e
}

// addDeadlyBlock adds a block that crashed five endpoints until 20 s, and that later reached others.
func addDeadlyBlock(e *Evidence, later int) {
	d := DeadlyBlock{ID: "dead1", Route: "notes", From: at(10), To: at(30)}
	for i := range 5 {
		d.Crashes = append(d.Crashes, at(16+float64(i)))
	}
	e.Deadly = append(e.Deadly, d)
	for i := range later {
		id := fmt.Sprint("d", i)
		e.addAttempt(Attempt{Call: standin.PlatformCall{ID: id, Route: "notes", Block: d.ID}, Instance: "n01", Sent: at(24), Ended: at(24.1), Status: 502, Complete: true})
		e.Runs = append(e.Runs, runOf(id, "i-1", at(24)))
	}
}

// addRepeated adds a deadly request that crashed three endpoints until 18 s and reached others later, and a harmless one beside it.
func addRepeated(e *Evidence, later int, harmless string) {
	d := RepeatedRequest{Content: standin.DeadlyContent(0), Route: "book", From: at(10), To: at(30), Crashes: []time.Time{at(16), at(17), at(18)}}
	e.Repeated = append(e.Repeated, d)
	call := standin.PlatformCall{Route: "book", Key: standin.PlatformOpenKey, Content: &d.Content}
	for i := range later {
		call.ID = fmt.Sprint("r", i)
		e.addAttempt(Attempt{Call: call, Instance: "n01", Sent: at(22), Ended: at(22.1), Status: 502, Complete: true})
		e.Runs = append(e.Runs, runOf(call.ID, "i-1", at(22)))
	}
	for i, call := range harmlessVariants(call) {
		call.ID = fmt.Sprint("h", i)
		e.addAttempt(Attempt{Call: call, Instance: "n01", Sent: at(22), Ended: at(22.1), Status: 502, Complete: true, Body: harmless})
	}
}

// addFull adds a rejection with a Retry-After at 30 s, and requests from the same instance 1 s later.
func addFull(e *Evidence, retryAfter string, later int) {
	e.addAttempt(Attempt{Call: standin.PlatformCall{ID: "f", Route: "book"}, Instance: "n01", Sent: at(30), Ended: at(30), Status: 503, Complete: true})
	e.Refusals = append(e.Refusals, standin.PlatformRefusal{ID: "f", Worker: "i-1", At: at(30), RetryAfter: retryAfter})
	for i := range later {
		id := fmt.Sprint("l", i)
		e.addAttempt(servedAttempt(id, "book", at(31)))
		e.Runs = append(e.Runs, runOf(id, "i-1", at(31)))
	}
}

// addLimited adds a request of the workspace with a tight quota.
func addLimited(e *Evidence, n int, sent, arrived time.Time) {
	a := servedAttempt(fmt.Sprint("q", n), "look", sent)
	a.Call.Key = standin.PlatformLimitedKey
	a.Body = a.Body[:len(a.Body)-2] + "0"
	e.addAttempt(a)
	e.Runs = append(e.Runs, standin.NewPlatformRun(a.Call.ID, "i-1", standin.PlatformLimitedWorkspace, arrived, false))
}

// addNewEndpoint adds a new endpoint i-2, and requests that an endpoint of its service got afterwards.
func addNewEndpoint(e *Evidence, endpoint string) {
	e.startLifetime("i-2", standin.PlatformOrders, at(20))
	for i := range minNewRequests {
		id := fmt.Sprint("n", i)
		a := servedAttempt(id, "book", at(23))
		a.Body, a.Seal = strings.Replace(a.Body, "i-1", endpoint, 1), standin.SealOf(endpoint)
		addServed(e, a)
	}
}

// Guards against checks that miss their breach, or that find one in a run without any.
func TestCheck_FindsEachBreach(t *testing.T) {
	must.Len(t, 0, cleanEvidence().Check())
	for guarantee, violate := range map[string]func(e *Evidence){
		"complete answer to its own request": func(e *Evidence) {
			a := servedAttempt("b", "book", at(30))
			a.Body = e.Attempts[0].Body
			e.addAttempt(a)
		},
		piecesInOrder: func(e *Evidence) {
			streamCase{route: "notes", body: two, streams: []standin.PlatformStream{whole}}.add(e)
		},
		wholeAnswer: func(e *Evidence) { e.Attempts[0].Seal = standin.SealOf("i-2") },
		"refused requests don't run": func(e *Evidence) {
			a := servedAttempt("b", "book", at(30))
			a.Status = 503
			e.addAttempt(a)
			e.Runs = append(e.Runs, runOf("b", "i-1", at(30)))
		},
		"at most once": func(e *Evidence) { e.Runs = append(e.Runs, runOf("a", "i-2", at(50.1))) },
		"maximum attempts of a route": func(e *Evidence) {
			e.addAttempt(Attempt{Call: standin.PlatformCall{ID: "c", Route: "look"}, Complete: true, Ended: at(3)})
			e.Runs = append(e.Runs, runOf("c", "i-1", at(1)), runOf("c", "i-2", at(2)), runOf("c", "i-3", at(3)))
		},
		"workspace of the key": func(e *Evidence) {
			a := servedAttempt("b", "book", at(30))
			a.Call.Key = standin.PlatformLimitedKey
			e.addAttempt(a)
			e.Runs = append(e.Runs, runOf("b", "i-1", at(30)))
		},
		"configuration in effect in time": func(e *Evidence) {
			e.Revoked = []ConfigChange{{At: at(40), Name: "k"}}
			late := servedAttempt("b", "book", at(43))
			late.Call.Key = "k"
			addServed(e, late)
		},
		"planned work interrupts nothing": func(e *Evidence) {
			e.Spans = []FaultSpan{{From: at(30), To: at(35), Kind: InstanceStop, Instance: "n01", Planned: true}}
			e.addAttempt(Attempt{Call: standin.PlatformCall{ID: "b", Route: "book"}, Instance: "n01", Sent: at(31), Ended: at(34.9)})
		},
		"no work for leaving endpoints": func(e *Evidence) { e.Leaving["i-1"] = at(47) },
		"workspace quota": func(e *Evidence) {
			for i := range 400 {
				addLimited(e, i, at(10), at(10+float64(i)/100))
			}
		},
		"retry budget": func(e *Evidence) {
			for i := range 200 {
				id := fmt.Sprint("r", i)
				e.Runs = append(e.Runs, runOf(id, "i-1", at(20+float64(i)/100)), runOf(id, "i-2", at(20.5+float64(i)/100)))
			}
		},
		"no work for endpoints that said they leave": func(e *Evidence) {
			e.addAttempt(servedAttempt("b", "book", at(47)))
			leaving := runOf("b", "i-1", at(47))
			leaving.Leaving = true
			e.Runs = append(e.Runs, leaving)
		},
		"deadly requests are kept away": func(e *Evidence) { addDeadlyBlock(e, 4) },
		"harmless requests beside deadly ones": func(e *Evidence) {
			addRepeated(e, 0, "endpoint_failed")
			e.Attempts[len(e.Attempts)-1].Body = "quarantined: it has crashed\n"
		},
		"sound requests beside deadly ones": func(e *Evidence) {
			addDeadlyBlock(e, 3)
			for i := range 8 {
				a := servedAttempt(fmt.Sprint("s", i), "notes", at(25))
				a.Status = 503
				e.addAttempt(a)
			}
		},
		"full endpoints are left alone": func(e *Evidence) { addFull(e, "2", 3) },
		"new endpoints are used": func(e *Evidence) {
			addNewEndpoint(e, "i-1")
		},
		"one holder of a duty": func(e *Evidence) { e.APIViolations = []string{"two reports of a window differ"} },
		"processes live":       func(e *Evidence) { e.Exits = []string{"n01: exit status 2"} },
		"no leak":              func(e *Evidence) { e.Leaks = []string{"n01 has 5000 descriptors open"} },
		"service recovers":     func(e *Evidence) { e.Attempts[0].Status = 502; e.Attempts[0].Call.Route = "look" },
	} {
		e := cleanEvidence()
		violate(e)
		found := e.Check()
		must.Len(t, 1, found, must.Sprint(guarantee, found))
		must.Eq(t, guarantee, found[0].Guarantee)
	}
}

// Guards against breaches that are reported in cases that the users' pages allow.
func TestCheck_AllowedCases(t *testing.T) {
	for name, change := range map[string]func(e *Evidence){
		"a run that was moved": func(e *Evidence) { e.Runs = append(e.Runs, standin.NewPlatformRun("a", "i-2", "open", at(50.1), true)) },
		"a refused repeatable request that ran": func(e *Evidence) {
			a := servedAttempt("b", "look", at(20))
			a.Status = 503
			e.addAttempt(a)
			e.Runs = append(e.Runs, runOf("b", "i-1", at(20)))
		},
		"a revoked key at an instance that was disturbed": func(e *Evidence) {
			e.Revoked = []ConfigChange{{At: at(40), Name: "k"}}
			e.Spans = []FaultSpan{{From: at(39), To: at(41), Kind: InstanceFreeze, Instance: "n01"}}
			late := servedAttempt("b", "book", at(43))
			late.Call.Key = "k"
			addServed(e, late)
		},
		"a revoked key at a holder of the duties that was frozen": func(e *Evidence) {
			e.Revoked = []ConfigChange{{At: at(40), Name: "k"}}
			e.Spans = []FaultSpan{{From: at(39), To: at(41), Kind: InstanceHolderFreeze, Instance: "n01"}}
			late := servedAttempt("b", "book", at(43))
			late.Call.Key = "k"
			addServed(e, late)
		},
		"a full endpoint and a holder of the duties that was frozen": func(e *Evidence) {
			addFull(e, "2", 3)
			e.Spans = []FaultSpan{{From: at(30.1), To: at(30.9), Kind: InstanceHolderFreeze, Instance: "n01"}}
		},
		"deadly requests from a holder of the duties that was frozen": func(e *Evidence) {
			addDeadlyBlock(e, 4)
			e.Spans = []FaultSpan{{From: at(20), To: at(23), Kind: InstanceHolderFreeze, Instance: "n01"}}
		},
		"a request interrupted by a crash during a planned stop": func(e *Evidence) {
			e.Spans = []FaultSpan{
				{From: at(30), To: at(35), Kind: InstanceStop, Instance: "n01", Planned: true}, {From: at(30), To: at(31), Kind: EndpointCrash},
			}
			e.addAttempt(Attempt{Call: standin.PlatformCall{ID: "b", Route: "book"}, Instance: "n01", Sent: at(31), Ended: at(31.5)})
		},
		"a moved run that goes on where it was stopped": func(e *Evidence) {
			e.Leaving["i-2"] = at(47)
			moved := servedAttempt("b", "book", at(46))
			moved.Body, moved.Seal = strings.Replace(moved.Body, "i-1", "i-2", 1), standin.SealOf("i-2")
			e.addAttempt(moved)
			e.Runs = append(e.Runs, runOf("b", "i-2", at(46)), standin.NewPlatformRun("b", "i-2", "open", at(50), true))
		},
		"a request behind an answer that ended its connection": func(e *Evidence) {
			e.Spans = []FaultSpan{{From: at(30), To: at(35), Kind: InstanceStop, Instance: "n01", Planned: true}}
			e.addAttempt(Attempt{Call: standin.PlatformCall{ID: "b", Route: "book"}, Instance: "n01", Sent: at(31), Ended: at(32), Unowed: true})
		},
		"a leaving endpoint whose answer a restarted instance had passed on": func(e *Evidence) {
			e.Spans = []FaultSpan{{From: at(48), To: at(49), Kind: InstanceStop, Instance: "n01"}}
			e.addAttempt(servedAttempt("b", "book", at(47)))
			leaving := runOf("b", "i-1", at(47))
			leaving.Leaving = true
			e.Runs = append(e.Runs, leaving)
		},
		"a request that reached its route's timeout": func(e *Evidence) {
			e.Spans = []FaultSpan{{From: at(30), To: at(35), Kind: InstanceStop, Instance: "n01", Planned: true}}
			e.addAttempt(Attempt{Call: standin.PlatformCall{ID: "b", Route: "notes"}, Instance: "n01", Sent: at(31), Ended: at(35)})
			e.Runs = append(e.Runs, runOf("b", "i-1", at(31)))
		},
		"requests of a workspace that were sent before the window": func(e *Evidence) {
			for i := range 400 {
				addLimited(e, i, at(1), at(10))
			}
		},
		"three deadly requests":           func(e *Evidence) { addDeadlyBlock(e, 3) },
		"three deadly repeats":            func(e *Evidence) { addRepeated(e, 3, "endpoint_failed") },
		"two requests to a full endpoint": func(e *Evidence) { addFull(e, "2", 2) },
		"an odd time to come back":        func(e *Evidence) { addFull(e, "Wed, 21 Oct 2099 07:28:00 GMT", 3) },
		"a new endpoint that is used":     func(e *Evidence) { addNewEndpoint(e, "i-2") },
		"a new endpoint with a fault of its own": func(e *Evidence) {
			addNewEndpoint(e, "i-1")
			e.Spans = []FaultSpan{{From: at(21), To: at(22), Kind: EndpointStalled, Endpoint: "i-2"}}
		},
		"a request sent while its connection was being closed": func(e *Evidence) {
			e.Spans = []FaultSpan{{From: at(30), To: at(35), Kind: InstanceStop, Instance: "n01", Planned: true}}
			e.addAttempt(Attempt{Call: standin.PlatformCall{ID: "b", Route: "book"}, Instance: "n01", Sent: at(31), Ended: at(31.1)})
		},
	} {
		e := cleanEvidence()
		change(e)
		must.Len(t, 0, e.Check(), must.Sprint(name))
	}
}

// Guards against plans that differ for the same seed, have no calm time, or never contain some kind.
func TestNewPlan_Cases(t *testing.T) {
	must.Eq(t, NewPlan(7, time.Minute, 4).String(), NewPlan(7, time.Minute, 4).String())
	seen, hasDeadly := map[Kind]bool{}, false
	for seed := range uint64(50) {
		p := NewPlan(seed, time.Minute, 4)
		must.Positive(t, len(p.Faults))
		for _, f := range p.Faults {
			seen[f.Kind] = true
			must.Between(t, calmStart, f.At, time.Minute)
			hasDeadly = hasDeadly || f.Kind == RequestDeadly
			must.True(t, f.Kind.isPlanned() || f.At+f.For <= time.Minute-CalmEnd, must.Sprint(f))
		}
	}
	must.True(t, hasDeadly)
	for _, k := range kinds {
		must.True(t, seen[k], must.Sprint(k))
	}
}

// Guards against a plan of planned work with a fault, which would excuse an interrupted request.
func TestNewPlannedWork_HasNoFaults(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(20) {
		p := NewPlannedWork(seed, time.Minute, 4)
		must.Eq(t, p.String(), NewPlannedWork(seed, time.Minute, 4).String())
		for _, f := range p.Faults {
			seen[f.Kind] = true
			must.True(t, f.Kind.isPlanned(), must.Sprint(f))
		}
	}
	for _, k := range plannedKinds {
		must.True(t, seen[k], must.Sprint(k))
	}
}
