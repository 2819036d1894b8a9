// Package core is the decision core: timed events in, commands out. It has no clock, I/O, goroutine or global
// random source, so that the daemon, a replay of a recorded trace and a benchmark drive the same code.
package core

import (
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/table"
)

// TickInterval is the longest time between two calls of Step.
const TickInterval = 100 * time.Millisecond

// Settings of a core.
type Settings struct {
	Instance      string // ID of this entry instance
	FailureDomain string
	Seed          uint64 // of the core's random numbers
}

// Core holds the tables and runs the systems over them. Step must not be called concurrently; Snapshot may be
// called at any time.
type Core struct {
	settings  Settings
	endpoints endpoints
	services  services
	snapshot  atomic.Pointer[table.Snapshot]
}

// New returns a core without configuration or endpoints.
func New(s Settings) *Core {
	c := &Core{settings: s}
	c.snapshot.Store(&table.Snapshot{})
	return c
}

// Snapshot returns the view of the tables after the latest step.
func (c *Core) Snapshot() *table.Snapshot { return c.snapshot.Load() }

// Step applies events at time now, runs every system once and returns the commands to carry out.
func (c *Core) Step(now time.Time, events ...Event) []Command {
	var out []Command
	for _, e := range events {
		out = append(out, c.apply(now, e)...)
	}
	out = append(out, c.endpoints.tick(now)...)
	c.publish()
	return out
}

func (c *Core) apply(now time.Time, e Event) []Command {
	switch e := e.(type) {
	case ConfigAccepted:
		c.services.accept(e)
	case InstancesListed:
		c.endpoints.list(now, e.Instances)
	case EndpointLeaving:
		return c.endpoints.leaving(now, e)
	case LoadReported:
		c.endpoints.load(e)
	case AttemptDone:
		c.endpoints.attemptDone(now, e)
	case EndpointCrashed:
		c.endpoints.crashed(now, e.Endpoint)
	case FactReceived:
		c.factReceived(now, e.Fact)
	}
	return nil
}

func (c *Core) publish() {
	s := &table.Snapshot{Revision: c.services.revision, Services: make(map[string]*table.Service, len(c.services.rows))}
	for name, cfg := range c.services.rows {
		s.Services[name] = &table.Service{
			Config:    cfg,
			Shares:    []table.Share{{Version: cfg.Serve, Part: 1}},
			Endpoints: c.endpoints.ofService(name),
		}
	}
	c.snapshot.Store(s)
}
