package move

import (
	"fmt"
	"strings"
	"time"
)

// State is the progress of a move as this instance has recorded it.
type State string

// States of a move that is not settled. The state of a settled move is its outcome.
const (
	Waiting State = "waiting" // before its start
	Running State = "running"
	Aborted State = "aborted" // the share is zero; the outcome, or that of the move back after done, is not recorded yet
	Decided State = "decided" // by this instance; the outcome is not recorded yet
)

// Status describes the current move of a service.
type Status struct {
	ID       string
	From, To string
	Deadline time.Time
	State    State
	Reason   string
}

// Status returns the status of the current move of a service, or false if there is none.
func (s *System) Status(now time.Time, name string) (Status, bool) {
	x := s.services[name]
	if x == nil || x.current == nil {
		return Status{}, false
	}
	t := x.current
	st := Status{ID: t.id(), From: t.plan.move.From, To: t.plan.move.To, Deadline: t.plan.move.Deadline}
	st.State, st.Reason = t.state(now)
	return st, true
}

func (t *tracker) state(now time.Time) (State, string) {
	switch {
	case t.back != nil:
		return State(t.back.Outcome), t.back.Reason
	case t.doneRecorded() && t.abortReason != "":
		return Aborted, t.abortReason
	case t.recorded != nil:
		return State(t.recorded.Outcome), t.recorded.Reason
	case t.abortReason != "":
		return Aborted, t.abortReason
	case t.decided != nil:
		return Decided, t.decided.Reason
	case now.Before(t.plan.move.Start):
		return Waiting, ""
	default:
		return Running, ""
	}
}

// Evidence describes, for the log, the attempts of all instances that the current move of a service is judged by. It lists
// for each route, on the old and on the new version, the failed of all attempts and the unsuccessful of all answers.
func (s *System) Evidence(name string) string {
	x := s.services[name]
	if x == nil || x.current == nil {
		return ""
	}
	var routes []string
	for _, r := range x.current.routes {
		routes = append(routes, fmt.Sprintf("%s: failed %s, unsuccessful %s", r.name, r.total.compare(failure), r.total.compare(unsuccessful)))
	}
	return strings.Join(routes, "; ")
}

// compare formats the numbers of a counted event over all load classes.
func (c *counters) compare(e event) string {
	var k, n [sides]float64
	for s := range c {
		for i := range c[s] {
			ki, ni := c[s][i].count(e)
			k[s], n[s] = k[s]+ki, n[s]+ni
		}
	}
	return fmt.Sprintf("%.0f/%.0f old, %.0f/%.0f new", k[oldSide], n[oldSide], k[newSide], n[newSide])
}
