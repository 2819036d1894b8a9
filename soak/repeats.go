package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/standin"
)

const (
	// repeatedTime is how long a deadly request comes again, and repeatedInterval the time between two of its repeats.
	repeatedTime     = 12 * time.Second
	repeatedInterval = 500 * time.Millisecond
	// repeatedShare is the share of plans with such a request.
	repeatedShare = 0.5
	// repeatedCrashes is the number of crashes by a request after which it may reach endpoints in maxRepeatedRuns retries
	// that are sent repeatedBound later: the stated 3 s plus a margin as drainBound.
	repeatedCrashes = 3
	repeatedBound   = 3*time.Second + schedulingMargin
	maxRepeatedRuns = 3
)

// harmlessVariants returns the calls that differ from a deadly one in one field, one header, the query, the host or the key.
func harmlessVariants(deadly standin.PlatformCall) []standin.PlatformCall {
	variant := func(change func(call *standin.PlatformCall, c *standin.PlatformContent)) standin.PlatformCall {
		call, content := deadly, *deadly.Content
		call.Content = &content
		change(&call, &content)
		return call
	}
	return []standin.PlatformCall{
		variant(func(_ *standin.PlatformCall, c *standin.PlatformContent) { c.User = "kitchen-14" }),
		variant(func(_ *standin.PlatformCall, c *standin.PlatformContent) { c.Kind = "b" }),
		variant(func(_ *standin.PlatformCall, c *standin.PlatformContent) { c.Query = "q=2" }),
		variant(func(_ *standin.PlatformCall, c *standin.PlatformContent) { c.Host = standin.PlatformOtherHost }),
		variant(func(call *standin.PlatformCall, _ *standin.PlatformContent) { call.Key = standin.PlatformSecondKey }),
	}
}

// sendRepeatedRequest sends a deadly request to all instances in turn, again and again, with harmless ones beside it.
func (env *environment) sendRepeatedRequest(f Fault) {
	defer env.openSpan(f, "", "")()
	d := RepeatedRequest{Content: standin.DeadlyContent(f.Target), Route: []string{"look", "book"}[f.Target%2], From: time.Now()}
	end := env.evidence.addRepeatedRequest(d)
	deadly := standin.PlatformCall{Route: d.Route, Key: standin.PlatformOpenKey, Deadline: callDeadline, Content: &d.Content}
	calls := append([]standin.PlatformCall{deadly}, harmlessVariants(deadly)...)
	for n := 0; time.Since(d.From) < f.For; n++ {
		for k, call := range calls {
			call.ID = fmt.Sprintf("r%03x%07x%x", f.Target, n, k)
			c := &caller{env: env, target: env.instances[(f.Target+n+k)%len(env.instances)], http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
			go func() { env.evidence.addAttempt(c.attempt(context.Background(), call)) }()
		}
		time.Sleep(repeatedInterval)
	}
	end(time.Now())
}

// crashByRequest crashes an endpoint that ran a deadly request, unless its lifetime has ended.
func (env *environment) crashByRequest(e *endpoint, worker *standin.PlatformWorker, r *http.Request) {
	if e.hasEnded(worker) {
		return
	}
	env.evidence.addRequestCrash(r.URL.Path, time.Now())
	go env.crashEndpoint(e, worker, crashRemovalDelay)
}

func (d *RepeatedRequest) path() string { return "/" + d.Route + "/" + d.Content.Name }

func (e *Evidence) addRepeatedRequest(d RepeatedRequest) (end func(now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := len(e.Repeated)
	e.Repeated = append(e.Repeated, d)
	return func(now time.Time) { e.update(func() { e.Repeated[i].To = now }) }
}

func (e *Evidence) addRequestCrash(path string, now time.Time) {
	e.update(func() {
		for i := range e.Repeated {
			if e.Repeated[i].path() == path {
				e.Repeated[i].Crashes = append(e.Repeated[i].Crashes, now)
			}
		}
	})
}

// isDeadly reports whether a call has the deadly content.
func (d *RepeatedRequest) isDeadly(call standin.PlatformCall) bool {
	return call.Content != nil && *call.Content == d.Content && call.Route == d.Route && call.Key == standin.PlatformOpenKey
}

// checkRepeatedRequests finds requests that reach endpoints although they have crashed many, and harmless ones that are refused
// for them.
func (e *Evidence) checkRepeatedRequests(attempts map[string]*Attempt) []Breach {
	var found []Breach
	for i := range e.Repeated {
		d := &e.Repeated[i]
		if len(d.Crashes) < repeatedCrashes {
			continue
		}
		known := d.Crashes[repeatedCrashes-1].Add(repeatedBound)
		var late []standin.PlatformRun
		for _, r := range e.Runs {
			if a := attempts[r.ID]; a != nil && d.isDeadly(a.Call) && r.At.After(known) && !e.unconnected(a.Instance, r.At) {
				late = append(late, r)
			}
		}
		if len(late) > maxRepeatedRuns {
			found = append(found, breach("deadly requests are kept away", late[maxRepeatedRuns].At, "%s reached endpoints %d times later than %s after its crash %d of %d", d.path(), len(late), repeatedBound, repeatedCrashes, len(d.Crashes))...)
		}
	}
	for i := range e.Attempts {
		a := &e.Attempts[i]
		isDeadly := false
		for k := range e.Repeated {
			isDeadly = isDeadly || e.Repeated[k].isDeadly(a.Call)
		}
		if a.Call.Content != nil && !isDeadly && strings.HasPrefix(a.Body, string(problem.Quarantined)) {
			found = append(found, breach("harmless requests beside deadly ones", a.Ended, "%s at %s was refused for a deadly one: %s", a.Call.ID, a.Instance, shorten(a.Body))...)
		}
	}
	return found
}
