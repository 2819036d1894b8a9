package core

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/move"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/table"
)

var start = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)

func instance(id, domain string) cloud.Instance {
	return cloud.Instance{
		ID: id, FailureDomain: domain, Role: cloud.RoleEndpoint, Service: "labels", Version: "v1", State: cloud.StateLive,
	}
}

func newCore(instances ...cloud.Instance) *Core {
	c := New(Settings{Instance: "entry-1"})
	c.Step(start, ConfigAccepted{Revision: 5, Services: []config.Service{{Name: "labels", ServingVersion: "v1"}}},
		InstancesListed{Instances: instances})
	return c
}

func condition(c *Core, id string) table.Condition {
	for _, e := range c.Snapshot().Services["labels"].Endpoints {
		if e.ID == id {
			return e.Condition
		}
	}
	return -1
}

// Guards against a lagging instance list that marks an endpoint as ready after its leaving notice.
func TestCore_NoticeOverridesLaggingList(t *testing.T) {
	c := newCore(instance("e1", "a"), instance("e2", "b"))
	c.Step(start.Add(time.Second), EndpointLeaving{Endpoint: "e1", LeaveBy: start.Add(20 * time.Second)})
	c.Step(start.Add(2*time.Second), InstancesListed{Instances: []cloud.Instance{instance("e1", "a"), instance("e2", "b")}})
	must.Eq(t, table.Leaving, condition(c, "e1"))
	must.Eq(t, table.Ready, condition(c, "e2"))
}

// Guards against an instance that keeps using a leaving endpoint because it received no notice and its instance list is
// stale: the fact that a peer publishes must be enough.
func TestCore_NoticeFromPeer(t *testing.T) {
	informed, stale := newCore(instance("e1", "a")), newCore(instance("e1", "a"))
	commands := informed.Step(start, EndpointLeaving{Endpoint: "e1", LeaveBy: start.Add(20 * time.Second)})
	must.Len(t, 1, commands)
	fact := commands[0].(PublishFact)
	stale.Step(start.Add(200*time.Millisecond), FactReceived{peer.Fact{Origin: "entry-2", Key: fact.Key, Value: fact.Value}})
	must.Eq(t, table.Leaving, condition(stale, "e1"))
}

// Guards against using endpoints of a leaving failure domain that appear on the list only after the notice.
func TestCore_LateEndpointOfLeavingDomain(t *testing.T) {
	c := newCore(instance("e1", "a"))
	c.Step(start, EndpointLeaving{FailureDomain: "a", LeaveBy: start.Add(20 * time.Second)})
	c.Step(start.Add(time.Second), InstancesListed{Instances: []cloud.Instance{instance("e1", "a"), instance("e3", "a")}})
	must.Eq(t, table.Leaving, condition(c, "e3"))
}

// Guards against an endpoint that still gets attempts after its connections broke, and against one that never gets
// attempts again.
func TestCore_SuspectBacksOff(t *testing.T) {
	c := newCore(instance("e1", "a"))
	now := start
	for _, wait := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		c.Step(now, AttemptDone{Endpoint: "e1", Result: EndpointLost})
		must.Eq(t, table.Suspect, condition(c, "e1"))
		c.Step(now.Add(wait - time.Millisecond))
		must.Eq(t, table.Suspect, condition(c, "e1"))
		now = now.Add(wait)
		c.Step(now)
		must.Eq(t, table.Ready, condition(c, "e1"))
	}
	c.Step(now, AttemptDone{Endpoint: "e1", Result: Succeeded}, AttemptDone{Endpoint: "e1", Result: EndpointLost})
	c.Step(now.Add(2 * time.Second))
	must.Eq(t, table.Ready, condition(c, "e1"))
}

// Guards against applying a configuration of an earlier revision.
func TestCore_OldRevisionIgnored(t *testing.T) {
	c := newCore()
	c.Step(start, ConfigAccepted{Revision: 4, Services: nil})
	must.Eq(t, uint64(5), c.Snapshot().Revision)
	must.MapContainsKey(t, c.Snapshot().Services, "labels")
}

// Guards against an endpoint choice that keeps using the defaults or that follows a single slow answer.
func TestCore_MovingAverages(t *testing.T) {
	c := newCore(instance("e1", "a"))
	done := AttemptDone{Endpoint: "e1", Service: "labels", Version: "v1", FirstToken: 80 * time.Millisecond, PerToken: 16 * time.Millisecond}
	c.Step(start, done)
	live := c.Snapshot().Services["labels"].Endpoints[0].Live
	must.Eq(t, int64(80_000), live.FirstToken.Load())
	done.FirstToken = 160 * time.Millisecond
	c.Step(start, done)
	must.Eq(t, int64(90_000), live.FirstToken.Load())
	must.Eq(t, int64(16_000), live.PerToken.Load())
}

// Guards against answers such as 404 that count for a version: they are compared with those of the other version.
func TestCore_UnsuccessfulAnswersAreEvidence(t *testing.T) {
	c := newCore()
	must.Eq(t, move.OK, c.evidence(AttemptDone{Result: Succeeded}))
	must.Eq(t, move.Unsuccessful, c.evidence(AttemptDone{Result: Succeeded, Unsuccessful: true}))
	must.Eq(t, move.Failed, c.evidence(AttemptDone{Result: Failed, Unsuccessful: true}))
	must.Eq(t, move.Excluded, c.evidence(AttemptDone{Result: Cancelled, Unsuccessful: true}))
}
