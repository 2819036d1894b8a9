package core_test

import (
	"fmt"
	"time"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/core"
)

// A caller drives the core with timed events and reads commands and snapshots; no clock or I/O is involved.
func Example() {
	c := core.New(core.Settings{Instance: "entry-1", FailureDomain: "a"})
	now := time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)
	c.Step(now,
		core.ConfigAccepted{Revision: 1, Services: []config.Service{{Name: "labels", Kind: config.KindModel, ServingVersion: "v1"}}},
		core.InstancesListed{Instances: []cloud.Instance{
			{ID: "e1", FailureDomain: "a", Role: cloud.RoleEndpoint, Service: "labels", Version: "v1"},
			{ID: "e2", FailureDomain: "b", Role: cloud.RoleEndpoint, Service: "labels", Version: "v1"},
		}},
	)
	commands := c.Step(now.Add(time.Second), core.EndpointLeaving{FailureDomain: "a", LeaveBy: now.Add(10 * time.Second)})
	for _, command := range commands {
		fmt.Printf("%T %s\n", command, command.(core.PublishFact).Key)
	}
	for _, e := range c.Snapshot().Services["labels"].Endpoints {
		fmt.Println(e.ID, e.Condition)
	}
	// Output:
	// core.PublishFact leaving-domain/a
	// e1 leaving
	// e2 ready
}
