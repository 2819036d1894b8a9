package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

// Breach is a promise that was broken.
type Breach struct {
	Promise string
	At      time.Time
	Text    string
}

// Bounds of the promises, from the users' pages.
const (
	// contact is how long an instance must have been undisturbed for bounds in time to hold for it.
	contact = 3 * time.Second
	// drainBound and configBound are 2 s; the margin is for the scheduling of many processes on one machine.
	drainBound  = 2*time.Second + margin
	configBound = 2*time.Second + margin
	margin      = 250 * time.Millisecond
	// lossSlack is the time in which a connection may be closed after a request was sent on it.
	lossSlack = 200 * time.Millisecond
	// quotaWindow and budgetWindow are the spans in which quotas and the retry budget are counted.
	quotaWindow  = 8 * time.Second
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 54
	maxAttempts  = 2
	// recoverTime is the time after the last fault after which service must be back.
	recoverTime = 10 * time.Second
	// servedShare is the least part of the requests within their quota that must be served by then.
	servedShare = 0.95
)

// Check returns the breaches that the evidence shows, the earliest first.
func (e *Evidence) Check() []Breach {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := map[string][]standin.UsersRun{}
	for _, r := range e.Runs {
		runs[r.ID] = append(runs[r.ID], r)
	}
	var all []Breach
	for i := range e.Attempts {
		a := &e.Attempts[i]
		all = append(all, e.checkAnswer(a)...)
		all = append(all, e.checkRuns(a, runs[a.Call.ID])...)
		all = append(all, e.checkConfiguration(a)...)
		all = append(all, e.checkPlannedStop(a, runs[a.Call.ID])...)
	}
	all = append(all, e.checkLeaving()...)
	all = append(all, e.checkQuota()...)
	all = append(all, e.checkBudget()...)
	all = append(all, e.checkEnd()...)
	slices.SortStableFunc(all, func(a, b Breach) int { return a.At.Compare(b.At) })
	return all
}

func breach(promise string, at time.Time, format string, args ...any) []Breach {
	return []Breach{{Promise: promise, At: at, Text: fmt.Sprintf(format, args...)}}
}

// checkAnswer finds answers that are not the whole answer to their own request.
func (e *Evidence) checkAnswer(a *Attempt) []Breach {
	if a.Status == 200 && a.Whole && !a.Call.IsWhole(a.Body, e.Events) {
		return breach("whole answer to its own request", a.Ended, "%s at %s got %q", a.Call.ID, a.Instance, shorten(a.Body))
	}
	return nil
}

// checkRuns finds refusals of requests that ran, and requests that ran too often.
func (e *Evidence) checkRuns(a *Attempt, runs []standin.UsersRun) []Breach {
	var found []Breach
	own := slices.DeleteFunc(slices.Clone(runs), standin.UsersRun.Moved)
	switch {
	case a.isRefusal() && !a.mayRepeat() && len(runs) > 0:
		found = breach("not run means not run", a.Ended, "%s got %d from %s and ran at %s", a.Call.ID, a.Status, a.Instance, runs[0].Worker)
	case !a.mayRepeat() && len(own) > 1:
		found = breach("at most once", own[1].At, "%s of %s ran %d times", a.Call.ID, a.Instance, len(own))
	case len(own) > maxAttempts:
		found = breach("attempts of a route", own[maxAttempts].At, "%s of %s ran %d times", a.Call.ID, a.Instance, len(own))
	}
	for _, r := range runs {
		if r.Workspace() != workspaceOf(a.Call.Key) && a.Call.Key == standin.UsersKey {
			found = append(found, breach("workspace of the key", r.At, "%s ran for %q", a.Call.ID, r.Workspace())...)
		}
	}
	return found
}

func workspaceOf(key string) string {
	if key == standin.UsersKey {
		return standin.UsersTight
	}
	return "open"
}

// inTouch reports whether an instance was undisturbed for the whole of contact before a time.
func (e *Evidence) inTouch(instance string, at time.Time) bool {
	return !e.disturbed(instance, at.Add(-contact), at, func(s Span) bool { return s.What.onInstance() && s.What != InstanceReload || s.What.onStore() })
}

// checkConfiguration finds requests that an instance in touch treated as an older configuration says.
func (e *Evidence) checkConfiguration(a *Attempt) []Breach {
	for _, n := range e.Revoked {
		if a.Call.Key == n.Name && a.Status == 200 && a.Sent.After(n.At.Add(configBound)) && e.inTouch(a.Instance, a.Sent) {
			return breach("configuration in force in time", a.Sent, "%s was served at %s with a key taken away %s before", a.Call.ID, a.Instance, a.Sent.Sub(n.At))
		}
	}
	for _, n := range e.Added {
		if a.Call.Route == n.Name && a.Status == 404 && a.Sent.After(n.At.Add(configBound)) && e.inTouch(a.Instance, a.Sent) {
			return breach("configuration in force in time", a.Sent, "%s got 404 at %s on a route added %s before", a.Call.ID, a.Instance, a.Sent.Sub(n.At))
		}
	}
	return nil
}

// checkPlannedStop finds requests that were cut around planned work, with no fault from contact before them to their end.
// A request that crosses the close of its connection, and isn't passed on, does not count.
func (e *Evidence) checkPlannedStop(a *Attempt, runs []standin.UsersRun) []Breach {
	crossed := a.Status == 0 && len(runs) == 0 && a.Ended.Sub(a.Sent) <= lossSlack
	if a.Whole || crossed {
		return nil
	}
	unplanned := func(s Span) bool { return !s.Planned }
	stopped := func(s Span) bool { return s.Planned }
	if e.disturbed(a.Instance, a.Sent, a.Ended, stopped) && !e.disturbed(a.Instance, a.Sent.Add(-contact), a.Ended, unplanned) {
		return breach("planned work cuts nothing", a.Ended, "%s (%s) at %s was cut after %s", a.Call.ID, a.Call.Route, a.Instance, a.Ended.Sub(a.Sent))
	}
	return nil
}

// checkLeaving finds new work for endpoints that have been leaving for too long.
func (e *Evidence) checkLeaving() []Breach {
	var found []Breach
	instances := map[string]*Attempt{}
	for i := range e.Attempts {
		instances[e.Attempts[i].Call.ID] = &e.Attempts[i]
	}
	for _, r := range e.Runs {
		at, leaving := e.Leaving[r.Worker]
		a := instances[r.ID]
		if !leaving || a == nil || r.At.Before(at.Add(drainBound)) {
			continue
		}
		if e.inTouch(a.Instance, r.At) && e.inTouch(a.Instance, at.Add(contact)) {
			found = append(found, breach("no work for leaving endpoints", r.At, "%s reached %s from %s %s after it said that it leaves", r.ID, r.Worker, a.Instance, r.At.Sub(at))...)
		}
	}
	return found
}

// checkQuota finds a window in which a workspace got more than its quota and the tolerance.
func (e *Evidence) checkQuota() []Breach {
	var tight []standin.UsersRun
	for _, r := range e.Runs {
		if r.Workspace() == standin.UsersTight && !r.Moved() && !r.Continues() {
			tight = append(tight, r)
		}
	}
	slices.SortFunc(tight, func(a, b standin.UsersRun) int { return a.At.Compare(b.At) })
	allowed := (standin.UsersTightRate*quotaWindow.Seconds()+standin.UsersTightRate)*1.1 + standin.UsersQuotaSlack
	seen := map[string]bool{} // a repeat is the same request
	sum, first := 0.0, 0
	for _, r := range tight {
		if seen[r.ID] {
			continue
		}
		seen[r.ID] = true
		for sum += r.Cost(); r.At.Sub(tight[first].At) > quotaWindow; first++ {
			sum -= tight[first].Cost()
		}
		if sum > allowed {
			return breach("quota in sum", r.At, "workspace %s used %.0f of %.0f tokens in %s", standin.UsersTight, sum, allowed, quotaWindow)
		}
	}
	return nil
}

// checkBudget finds a window in which a service got more repeats than the retry budget allows.
func (e *Evidence) checkBudget() []Breach {
	runs := slices.Clone(e.Runs)
	slices.SortFunc(runs, func(a, b standin.UsersRun) int { return a.At.Compare(b.At) })
	seen := map[string]bool{}
	var repeats, firsts []time.Time
	for _, r := range runs {
		if seen[r.ID] && !r.Moved() {
			repeats = append(repeats, r.At)
		}
		if !seen[r.ID] {
			firsts = append(firsts, r.At)
		}
		seen[r.ID] = true
	}
	for i, at := range repeats {
		requests, _ := slices.BinarySearchFunc(firsts, at, time.Time.Compare)
		before, _ := slices.BinarySearchFunc(firsts, at.Add(-budgetWindow), time.Time.Compare)
		from, _ := slices.BinarySearchFunc(repeats, at.Add(-budgetWindow), time.Time.Compare)
		if n := i + 1 - from; float64(n) > budgetRatio*float64(requests-before)+2*budgetSlack {
			return breach("retry budget", at, "%d repeats of %d requests in %s", n, requests-before, budgetWindow)
		}
	}
	return nil
}

// checkEnd judges the state after the faults.
func (e *Evidence) checkEnd() []Breach {
	var found []Breach
	for _, text := range e.Broken {
		found = append(found, breach("one holder of a duty", e.End, "%s", text)...)
	}
	for _, text := range e.Leaks {
		found = append(found, breach("no leak", e.End, "%s", text)...)
	}
	if len(e.Unready) > 0 {
		found = append(found, breach("service is back", e.End, "not ready: %s", strings.Join(e.Unready, ", "))...)
	}
	asked, served := 0, 0
	for i := range e.Attempts {
		a := &e.Attempts[i]
		if a.Sent.Before(e.FaultEnd.Add(recoverTime)) || a.Call.Key != standin.UsersOpenKey {
			continue
		}
		asked++
		if a.Status == 200 && a.Whole {
			served++
		}
	}
	if asked == 0 || float64(served) < servedShare*float64(asked) {
		found = append(found, breach("service is back", e.End, "%d of %d requests served %s after the last fault", served, asked, recoverTime)...)
	}
	return found
}

func shorten(s string) string { return s[:min(len(s), 200)] }

// Counts returns a line for each way in which attempts ended.
func (e *Evidence) Counts() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	ends := map[string]int{}
	for i := range e.Attempts {
		a := &e.Attempts[i]
		route, _, _ := strings.Cut(a.Call.Route, "-") // routes that were added share a line
		end := fmt.Sprintf("%s: status %d", route, a.Status)
		if !a.Whole {
			end += ", cut"
		}
		ends[end]++
	}
	lines := make([]string, 0, len(ends))
	for end, n := range ends {
		lines = append(lines, fmt.Sprintf("%6d  %s", n, end))
	}
	slices.SortFunc(lines, func(a, b string) int { return cmp.Compare(b, a) })
	return fmt.Sprintf("%d requests, %d runs, %d windows of usage reported\n%s\n", len(e.Attempts), len(e.Runs), e.Windows, strings.Join(lines, "\n"))
}
