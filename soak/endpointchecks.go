package soak

import (
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

// Bounds of the guarantees towards endpoints.
const (
	// deadlyCrashes is the number of crashes by a prompt block after which it is kept away from endpoints, deadlyBound
	// later. It is the stated 3 s plus a margin as drainBound.
	deadlyCrashes = 5
	deadlyBound   = 3*time.Second + 2*schedulingMargin
	// maxDeadlyRuns is the number of requests with the block that may still reach endpoints then.
	maxDeadlyRuns = 3
	// minSoundShare is the share of the sound requests beside them, if there are minSoundRequests, that must begin.
	minSoundShare    = 0.25
	minSoundRequests = 8
	// fullBound is the time after which a full endpoint's Retry-After is obeyed, and maxFullRequests is the number of
	// requests from an instance that may still reach the endpoint until its end.
	fullBound       = 500*time.Millisecond + schedulingMargin
	maxFullRequests = 2
	// newEndpointTime is the time from newEndpointBound on in which an instance that sent minNewRequests requests to a
	// service has sent one to a new endpoint of it.
	newEndpointBound = 2*time.Second + schedulingMargin
	newEndpointTime  = 3 * time.Second
	minNewRequests   = 60
)

// attemptsByID returns the attempts by request ID.
func (e *Evidence) attemptsByID() map[string]*Attempt {
	all := make(map[string]*Attempt, len(e.Attempts))
	for i := range e.Attempts {
		all[e.Attempts[i].Call.ID] = &e.Attempts[i]
	}
	return all
}

// link is an instance and an endpoint to which it sends requests.
type link struct{ instance, endpoint string }

// restarted reports whether the process of an instance was ended between two times.
func (e *Evidence) restarted(instance string, from, to time.Time) bool {
	return e.disturbed(instance, from, to, func(s FaultSpan) bool {
		return slices.Contains([]Kind{InstanceKill, InstanceStop, InstanceSignals}, s.Kind)
	})
}

// unsettled reports whether an instance was disturbed between the settleTime before a time and another time.
func (e *Evidence) unsettled(instance string, from, to time.Time) bool {
	return e.disturbed(instance, from.Add(-settleTime), to, func(s FaultSpan) bool { return s.Kind.disturbsInstances() })
}

// unconnected reports whether an instance may not have heard of its peers in the settleTime before a time. Faults of the
// store don't matter for that.
func (e *Evidence) unconnected(instance string, at time.Time) bool {
	return e.disturbed(instance, at.Add(-settleTime), at, func(s FaultSpan) bool {
		return slices.Contains([]Kind{InstanceKill, InstanceFreeze, InstanceStop, InstanceSignals, InstanceHolderFreeze}, s.Kind)
	})
}

// checkAnnouncedLeaving finds requests that were sent to an instance more than drainBound after it had passed on an
// answer that said that its endpoint leaves, and that the instance still sent to that endpoint. Faults of the store
// excuse nothing, as the instance knows by itself.
func (e *Evidence) checkAnnouncedLeaving(attempts map[string]*Attempt, runs map[string][]standin.PlatformRun) []Breach {
	known := e.announcements(attempts, runs)
	var found []Breach
	for _, r := range e.Runs {
		a := attempts[r.ID]
		if a == nil {
			continue
		}
		at, ok := known[link{a.Instance, r.Worker}]
		if ok && a.Sent.After(at.Add(drainBound)) && !e.restarted(a.Instance, at, r.At) {
			found = append(found, breach("no work for endpoints that said they leave", r.At, "%s reached %s from %s %s after the instance had passed on that it leaves", r.ID, r.Worker, a.Instance, a.Sent.Sub(at))...)
		}
	}
	return found
}

// announcements returns when an instance had passed on the first answer that said that its endpoint leaves.
func (e *Evidence) announcements(attempts map[string]*Attempt, runs map[string][]standin.PlatformRun) map[link]time.Time {
	known := map[link]time.Time{}
	for id, own := range runs {
		a := attempts[id]
		if a == nil || len(own) != 1 || !own[0].Leaving || a.Status != 200 || !a.Complete {
			continue
		}
		l := link{a.Instance, own[0].Worker}
		if at, ok := known[l]; !ok || a.Ended.Before(at) {
			known[l] = a.Ended
		}
	}
	return known
}

// checkDeadlyBlocks finds prompt blocks that reach endpoints although they have crashed many, and blocks that sound
// requests suffer for.
func (e *Evidence) checkDeadlyBlocks(attempts map[string]*Attempt, runs map[string][]standin.PlatformRun) []Breach {
	var found []Breach
	for _, d := range e.Deadly {
		if len(d.Crashes) < deadlyCrashes {
			continue
		}
		known := d.Crashes[deadlyCrashes-1].Add(deadlyBound)
		var late []standin.PlatformRun
		for _, r := range e.Runs {
			a := attempts[r.ID]
			if a != nil && a.Call.Block == d.ID && r.At.After(known) && !e.unconnected(a.Instance, r.At) {
				late = append(late, r)
			}
		}
		if len(late) > maxDeadlyRuns {
			found = append(found, breach("deadly requests are kept away", late[maxDeadlyRuns].At, "%d requests with block %s reached endpoints later than %s after its crash %d of %d", len(late), d.ID, deadlyBound, deadlyCrashes, len(d.Crashes))...)
		}
		found = append(found, e.checkSoundRequests(d, known, runs)...)
	}
	return found
}

// checkSoundRequests finds a deadly block for which sound requests of its route, with the same key and first block,
// don't begin after a time.
func (e *Evidence) checkSoundRequests(d DeadlyBlock, from time.Time, runs map[string][]standin.PlatformRun) []Breach {
	sent, begun := 0, 0
	for i := range e.Attempts {
		a := &e.Attempts[i]
		isSound := a.Call.Route == d.Route && a.Call.Block == "" && a.Call.Key == standin.PlatformOpenKey
		if !isSound || a.Sent.Before(from) || a.Sent.After(d.To) || !e.settled(a.Instance, a.Sent) {
			continue
		}
		sent++
		if len(runs[a.Call.ID]) > 0 {
			begun++
		}
	}
	if sent >= minSoundRequests && float64(begun) < minSoundShare*float64(sent) {
		return breach("sound requests beside deadly ones", d.To, "%d of %d requests of route %s began after block %s was known", begun, sent, d.Route, d.ID)
	}
	return nil
}

// checkFull finds full endpoints that got more requests from an instance before the time at which they had asked it to
// come back.
func (e *Evidence) checkFull(attempts map[string]*Attempt) []Breach {
	arrivals := map[link][]time.Time{}
	for _, r := range e.Runs {
		if a := attempts[r.ID]; a != nil {
			l := link{a.Instance, r.Worker}
			arrivals[l] = append(arrivals[l], r.At)
		}
	}
	for _, r := range e.Refusals {
		if a := attempts[r.ID]; a != nil {
			l := link{a.Instance, r.Worker}
			arrivals[l] = append(arrivals[l], r.At)
		}
	}
	var found []Breach
	reported := map[link]bool{}
	for _, r := range e.Refusals {
		a := attempts[r.ID]
		if a == nil || reported[link{a.Instance, r.Worker}] {
			continue
		}
		l, from, to := link{a.Instance, r.Worker}, r.At.Add(fullBound), r.At.Add(r.Wait())
		early := 0
		for _, at := range arrivals[l] {
			if at.After(from) && at.Before(to) {
				early++
			}
		}
		if early > maxFullRequests && !e.unsettled(l.instance, r.At, to) {
			reported[l] = true
			found = append(found, breach("full endpoints are left alone", r.At, "%d requests from %s reached %s between %s and the %s that it had asked for", early, l.instance, r.Worker, fullBound, r.Wait())...)
		}
	}
	return found
}

// checkNewEndpoints finds instances that send requests to a plain service but none to a new endpoint of it.
func (e *Evidence) checkNewEndpoints(attempts map[string]*Attempt) []Breach {
	var found []Breach
	for _, l := range e.Lifetimes {
		from := l.From.Add(newEndpointBound)
		to := from.Add(newEndpointTime)
		if l.Service != standin.PlatformOrders || to.After(e.End) || !l.To.IsZero() && l.To.Before(to) || e.hadFault(l.Endpoint, l.From, to) {
			continue
		}
		for instance, n := range e.requestsToService(l, attempts, from, to) {
			if n.all >= minNewRequests && n.own == 0 && !e.unsettled(instance, l.From, to) {
				found = append(found, breach("new endpoints are used", to, "%s sent %d requests to service %s but none to %s, listed %s before", instance, n.all, l.Service, l.Endpoint, to.Sub(l.From))...)
			}
		}
	}
	return found
}

// hadFault reports whether an endpoint had a fault or planned work of its own between two times.
func (e *Evidence) hadFault(endpoint string, from, to time.Time) bool {
	return slices.ContainsFunc(e.Spans, func(s FaultSpan) bool {
		return (s.Endpoint == endpoint || s.Kind == StreamsBreak) && s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
	})
}

// serviceRequests are the requests of an instance to the endpoints of a service, and to one of them.
type serviceRequests struct{ all, own int }

// requestsToService counts the requests to an endpoint's service between two times by instance.
func (e *Evidence) requestsToService(l Lifetime, attempts map[string]*Attempt, from, to time.Time) map[string]serviceRequests {
	counts := map[string]serviceRequests{}
	for _, r := range e.Runs {
		a := attempts[r.ID]
		if a == nil || a.Call.Stream || r.At.Before(from) || r.At.After(to) {
			continue
		}
		n := counts[a.Instance]
		n.all++
		if r.Worker == l.Endpoint {
			n.own++
		}
		counts[a.Instance] = n
	}
	return counts
}
