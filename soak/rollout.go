package soak

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/trefoillug/trefoillug/platform"
	"github.com/trefoillug/trefoillug/standin"
)

const (
	// rolloutRamp is the time from an order to move the model service to a new version until its deadline.
	rolloutRamp = 4 * time.Second
	// rolloutPoll is how often the status of an order is read.
	rolloutPoll = 50 * time.Millisecond
)

// rollOut starts model engines of a new version, with new weights, beside the old ones and orders that the traffic moves to
// them. Once the order is complete the old ones stop at once; else the new ones leave.
func (env *environment) rollOut(f Fault) {
	defer env.openSpan(f, "", "")()
	version := fmt.Sprintf("v-%d", f.At.Milliseconds())
	old := env.endpoints[:env.site.Models]
	next := make([]*endpoint, 0, len(old))
	for _, e := range old {
		n := &endpoint{service: e.service, zone: e.zone, version: version, busy: true}
		if err := env.startEndpoint(n, anyAddress); err != nil {
			env.evidence.update(func() { env.evidence.Leaks = append(env.evidence.Leaks, "endpoint not started: "+err.Error()) })
			continue
		}
		n.worker.SetWeights(f.At.Milliseconds())
		next = append(next, n)
	}
	env.store.Put(platform.KindRollouts, standin.PlatformModels, map[string]any{"service": standin.PlatformModels, "target": version, "rampS": rolloutRamp.Seconds()})
	state := env.awaitRollout(version)
	env.evidence.update(func() { env.evidence.Rollouts = append(env.evidence.Rollouts, state) })
	for i, n := range next {
		if state != "complete" || !env.replaceEndpoint(old[i], n) {
			go env.retireEndpoint(n)
		}
	}
}

// awaitRollout returns the state of the order of a version, once it is final or twice its ramp has passed.
func (env *environment) awaitRollout(version string) string {
	var status struct{ State, Target string }
	for end := time.Now().Add(2 * rolloutRamp); time.Now().Before(end); time.Sleep(rolloutPoll) {
		text := env.store.Status(platform.KindRollouts, standin.PlatformModels)
		if err := json.Unmarshal(text, &status); err != nil || status.Target != version {
			continue // there is no status of this order yet
		}
		if status.State == "complete" || status.State == "reverted" {
			return status.State
		}
	}
	return "without an end"
}

// replaceEndpoint stops the current lifetime of an endpoint without any notice and puts a new one in its place. It
// returns false if the lifetime is being ended by something else.
func (env *environment) replaceEndpoint(e, next *endpoint) bool {
	e.mu.Lock()
	worker := e.worker
	e.version = next.version
	e.mu.Unlock()
	if !e.claimEnd(worker) {
		return false
	}
	env.stopEndpoint(e)
	env.removeEntry(worker.ID)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.worker, e.server, e.proxy, e.started, e.ending = next.worker, next.server, next.proxy, next.started, false
	return true
}

// retireEndpoint makes an endpoint that is not to be used leave, and ends it.
func (env *environment) retireEndpoint(e *endpoint) {
	env.drainEndpoint(e, e.worker)
	time.Sleep(drainTime)
	env.store.Remove(platform.KindEndpoints, e.worker.ID)
	env.stopEndpoint(e)
}
