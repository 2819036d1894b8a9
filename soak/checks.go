package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

// Breach is a violation of a guarantee.
type Breach struct {
	Guarantee string
	At        time.Time
	Text      string
	Request   string // attempt ID, if the breach is of one request whose log lines tell more
}

// Bounds of the guarantees, as the users' pages state them.
const (
	// settleTime is how long an instance must have been undisturbed before time bounds hold for it.
	settleTime = 3 * time.Second
	// drainBound and configBound are the stated 2 s plus a margin for the scheduling of many processes on one machine.
	drainBound       = 2*time.Second + schedulingMargin
	configBound      = 2*time.Second + schedulingMargin
	schedulingMargin = 250 * time.Millisecond
	// closeRaceTime is the time after a request was sent in which its connection may be closed, because the instance
	// may have closed the connection before the request arrived.
	closeRaceTime = 200 * time.Millisecond
	// quotaWindow and budgetWindow are the windows in which quotas and the retry budget are counted.
	quotaWindow  = 8 * time.Second
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 54
	maxAttempts  = 2
	// recoverTime is the longest time from the last fault until requests must be served again.
	recoverTime = 10 * time.Second
	// minServedShare is the share of the open workspace's requests that must be served at least, once recoverTime has
	// passed since the last fault.
	minServedShare = 0.95
)

// Check returns the breaches found in the evidence, earliest first.
func (e *Evidence) Check() []Breach {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := map[string][]standin.PlatformRun{}
	for _, r := range e.Runs {
		runs[r.ID] = append(runs[r.ID], r)
	}
	var all []Breach
	streams := map[string][]standin.PlatformStream{}
	for _, s := range e.Streams {
		streams[s.Request] = append(streams[s.Request], s)
	}
	for i := range e.Attempts {
		a := &e.Attempts[i]
		all = append(all, checkAnswer(a, runs[a.Call.ID])...)
		all = append(all, e.checkEvents(a, streams[a.Call.ID])...)
		all = append(all, e.checkRuns(a, runs[a.Call.ID])...)
		all = append(all, e.checkConfiguration(a)...)
		all = append(all, e.checkPlannedStop(a, runs[a.Call.ID])...)
	}
	attempts := e.attemptsByID()
	all = append(all, e.checkLeaving(attempts)...)
	all = append(all, e.checkAnnouncedLeaving(attempts, runs)...)
	all = append(all, e.checkDeadlyBlocks(attempts, runs)...)
	all = append(all, e.checkRepeatedRequests(attempts)...)
	all = append(all, e.checkFull(attempts)...)
	all = append(all, e.checkNewEndpoints(attempts)...)
	all = append(all, e.checkQuota(attempts)...)
	all = append(all, e.checkBudget()...)
	all = append(all, e.checkEnd()...)
	slices.SortStableFunc(all, func(a, b Breach) int { return a.At.Compare(b.At) })
	return all
}

func breach(guarantee string, at time.Time, format string, args ...any) []Breach {
	return []Breach{{Guarantee: guarantee, At: at, Text: fmt.Sprintf(format, args...)}}
}

// checkAnswer finds successful answers that are incomplete or belong to another request, or that bear the mark of an
// endpoint that didn't run the request.
func checkAnswer(a *Attempt, runs []standin.PlatformRun) []Breach {
	if a.Status != 200 || !a.Complete {
		return nil
	}
	if !a.Call.HasEvents() && !a.Call.IsComplete(a.Body, 0) {
		return breach("complete answer to its own request", a.Ended, "%s at %s got %q", a.Call.ID, a.Instance, shorten(a.Body))
	}
	ran := slices.ContainsFunc(runs, func(r standin.PlatformRun) bool { return a.Seal == standin.SealOf(r.Worker) })
	if !ran || !a.Call.HasEvents() && !strings.HasPrefix(a.Body, standin.SealedBy(a.Seal)+" ") {
		return breach(wholeAnswer, a.Ended, "%s at %s got the mark %q with %q", a.Call.ID, a.Instance, a.Seal, shorten(a.Body))
	}
	return nil
}

// checkRuns finds requests that were refused but ran, that ran too often, or that ran for another workspace.
func (e *Evidence) checkRuns(a *Attempt, runs []standin.PlatformRun) []Breach {
	var found []Breach
	own := slices.DeleteFunc(slices.Clone(runs), standin.PlatformRun.Moved)
	switch {
	case a.isRefusal() && !a.isRepeatable() && len(runs) > 0:
		found = breach("refused requests don't run", a.Ended, "%s got %d from %s but ran at %s", a.Call.ID, a.Status, a.Instance, runs[0].Worker)
	case !a.isRepeatable() && len(own) > 1:
		found = breach("at most once", own[1].At, "%s at %s ran %d times", a.Call.ID, a.Instance, len(own))
	case len(own) > maxAttempts:
		found = breach("maximum attempts of a route", own[maxAttempts].At, "%s at %s ran %d times", a.Call.ID, a.Instance, len(own))
	}
	for _, r := range runs {
		if r.Workspace() != workspaceOf(a.Call.Key) && a.Call.Key == standin.PlatformLimitedKey {
			found = append(found, breach("workspace of the key", r.At, "%s ran for workspace %q", a.Call.ID, r.Workspace())...)
		}
	}
	return found
}

func workspaceOf(key string) string {
	if key == standin.PlatformLimitedKey {
		return standin.PlatformLimitedWorkspace
	}
	return "open"
}

// settled reports whether an instance was undisturbed for the whole settleTime before a time.
func (e *Evidence) settled(instance string, at time.Time) bool {
	return !e.unsettled(instance, at, at)
}

// checkConfiguration finds requests that a settled instance handled by an outdated configuration.
func (e *Evidence) checkConfiguration(a *Attempt) []Breach {
	for _, n := range e.Revoked {
		if a.Call.Key == n.Name && a.Status == 200 && a.Sent.After(n.At.Add(configBound)) && e.settled(a.Instance, a.Sent) {
			return breach("configuration in effect in time", a.Sent, "%s was served at %s with a key revoked %s before", a.Call.ID, a.Instance, a.Sent.Sub(n.At))
		}
	}
	for _, n := range e.Added {
		if a.Call.Route == n.Name && a.Status == 404 && a.Sent.After(n.At.Add(configBound)) && e.settled(a.Instance, a.Sent) {
			return breach("configuration in effect in time", a.Sent, "%s got 404 at %s on a route added %s before", a.Call.ID, a.Instance, a.Sent.Sub(n.At))
		}
	}
	return nil
}

// checkPlannedStop finds requests that were interrupted during planned work, without any fault from settleTime before
// them to their end. A request that was sent while its connection was being closed, and that didn't run, doesn't count, nor
// does one behind a response that ended its connection, or one that has reached its route's timeout.
func (e *Evidence) checkPlannedStop(a *Attempt, runs []standin.PlatformRun) []Breach {
	closeRace := a.Status == 0 && len(runs) == 0 && a.Ended.Sub(a.Sent) <= closeRaceTime
	unowed := a.Unowed && len(runs) == 0
	timedOut := a.duration() >= a.Call.Timeout()
	if a.Complete || a.Abandoned || closeRace || unowed || timedOut {
		return nil
	}
	unplanned := func(s FaultSpan) bool { return !s.Planned }
	planned := func(s FaultSpan) bool { return s.Planned }
	if e.disturbed(a.Instance, a.Sent, a.Ended, planned) && !e.disturbed(a.Instance, a.Sent.Add(-settleTime), a.Ended, unplanned) {
		return breach("planned work interrupts nothing", a.Ended, "%s (%s) at %s was cut off after %s", a.Call.ID, a.Call.Route, a.Instance, a.Ended.Sub(a.Sent))
	}
	return nil
}

// checkLeaving finds requests that settled instances sent to an endpoint more than drainBound after it announced that
// it leaves.
func (e *Evidence) checkLeaving(attempts map[string]*Attempt) []Breach {
	var found []Breach
	for _, r := range e.Runs {
		at, leaving := e.Leaving[r.Worker]
		a := attempts[r.ID]
		if !leaving || a == nil || r.At.Before(at.Add(drainBound)) || e.isReturned(r) {
			continue
		}
		if e.settled(a.Instance, r.At) && e.settled(a.Instance, at.Add(settleTime)) {
			found = append(found, breach("no work for leaving endpoints", r.At, "%s reached %s from %s %s after it announced that it leaves", r.ID, r.Worker, a.Instance, r.At.Sub(at))...)
		}
	}
	return found
}

// isReturned reports whether a run that its endpoint had stopped for a move goes on there, which is no new work.
func (e *Evidence) isReturned(r standin.PlatformRun) bool {
	return r.Moved() && slices.ContainsFunc(e.Runs, func(earlier standin.PlatformRun) bool {
		return earlier.ID == r.ID && earlier.Worker == r.Worker && earlier.At.Before(r.At)
	})
}

// checkQuota finds a window in which the workspace PlatformLimitedWorkspace used more than its quota plus the
// tolerance. A request counts in a window in which it is both sent and arrives at an endpoint.
func (e *Evidence) checkQuota(attempts map[string]*Attempt) []Breach {
	var tight []standin.PlatformRun
	seen := map[string]bool{} // by request ID; a repeat is not counted again
	runs := slices.SortedFunc(slices.Values(e.Runs), func(a, b standin.PlatformRun) int { return a.At.Compare(b.At) })
	for _, r := range runs {
		if r.Workspace() == standin.PlatformLimitedWorkspace && !r.Moved() && !r.Continues() && !seen[r.ID] {
			seen[r.ID] = true
			tight = append(tight, r)
		}
	}
	allowed := (standin.PlatformLimitedRate*quotaWindow.Seconds()+standin.PlatformLimitedRate)*1.1 + standin.PlatformQuotaSlack
	first := 0
	for i, last := range tight {
		start := last.At.Add(-quotaWindow)
		for tight[first].At.Before(start) {
			first++
		}
		sum := 0.0
		for _, r := range tight[first : i+1] {
			if a := attempts[r.ID]; a == nil || !a.Sent.Before(start) {
				sum += r.Cost()
			}
		}
		if sum > allowed {
			return breach("workspace quota", last.At, "workspace %s used %.0f of %.0f tokens in %s", standin.PlatformLimitedWorkspace, sum, allowed, quotaWindow)
		}
	}
	return nil
}

// checkBudget finds a window in which the endpoints got more repeats than the retry budget allows.
func (e *Evidence) checkBudget() []Breach {
	runs := slices.Clone(e.Runs)
	slices.SortFunc(runs, func(a, b standin.PlatformRun) int { return a.At.Compare(b.At) })
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

// checkEnd checks the state after the faults.
func (e *Evidence) checkEnd() []Breach {
	var found []Breach
	for _, text := range e.APIViolations {
		found = append(found, breach("one holder of a duty", e.End, "%s", text)...)
	}
	for _, text := range e.Leaks {
		found = append(found, breach("no leak", e.End, "%s", text)...)
	}
	for _, text := range e.Exits {
		found = append(found, breach("processes live", e.End, "%s", text)...)
	}
	if len(e.NotReady) > 0 {
		found = append(found, breach("service recovers", e.End, "not ready: %s", strings.Join(e.NotReady, ", "))...)
	}
	requests, served := 0, 0
	for i := range e.Attempts {
		a := &e.Attempts[i]
		if a.Abandoned || a.Sent.Before(e.FaultEnd.Add(recoverTime)) || a.Call.Key != standin.PlatformOpenKey {
			continue
		}
		requests++
		if a.Status == 200 && a.Complete {
			served++
		}
	}
	if requests == 0 || float64(served) < minServedShare*float64(requests) {
		found = append(found, breach("service recovers", e.End, "%d of %d requests served from %s after the last fault on", served, requests, recoverTime)...)
	}
	return found
}

func shorten(s string) string { return s[:min(len(s), 200)] }

// Counts returns the total counts, and a line with the number of attempts for each route and outcome.
func (e *Evidence) Counts() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	ends := map[string]int{}
	for i := range e.Attempts {
		a := &e.Attempts[i]
		route, _, _ := strings.Cut(a.Call.Route, "-") // added routes share a line
		end := fmt.Sprintf("%s: status %d", route, a.Status)
		if !a.Complete {
			end += ", incomplete"
		}
		ends[end]++
	}
	lines := make([]string, 0, len(ends))
	for end, n := range ends {
		lines = append(lines, fmt.Sprintf("%6d  %s", n, end))
	}
	slices.SortFunc(lines, func(a, b string) int { return cmp.Compare(b, a) })
	return fmt.Sprintf("%d requests, %d runs, %d usage windows reported\n%s\n%s\n%s\n", len(e.Attempts), len(e.Runs), e.Windows, strings.Join(lines, "\n"), e.countEndpointEvidence(), e.countStreams())
}

// countEndpointEvidence returns a line with the numbers of what the checks of endpoints rest on.
func (e *Evidence) countEndpointEvidence() string {
	waits, leaving, crashes, unowed := 0, 0, 0, 0
	for i := range e.Attempts {
		if e.Attempts[i].Unowed {
			unowed++
		}
	}
	for _, r := range e.Refusals {
		if r.Wait() > fullBound {
			waits++
		}
	}
	for _, r := range e.Runs {
		if r.Leaving {
			leaving++
		}
	}
	for _, d := range e.Deadly {
		crashes += len(d.Crashes)
	}
	repeatedCrashes := 0
	for _, d := range e.Repeated {
		repeatedCrashes += len(d.Crashes)
	}
	return fmt.Sprintf(
		"%d refusals with a time to wait, %d answers of leaving endpoints, %d deadly blocks with %d crashes, %d deadly requests with %d crashes, %d endpoints started, %d requests behind the end of a connection",
		waits, leaving, len(e.Deadly), crashes, len(e.Repeated), repeatedCrashes, len(e.Lifetimes), unowed)
}
