// Package core is the decision core: timed events in, commands out. It has no clock, I/O, goroutine or global
// random source, so that the daemon, a replay of a recorded trace and a benchmark drive the same code.
package core

import (
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/move"
	"github.com/trefoillug/trefoillug/route"
	"github.com/trefoillug/trefoillug/table"
)

// TickInterval is the longest time between two calls of Step.
const TickInterval = 100 * time.Millisecond

// Settings of a core.
type Settings struct {
	Instance      string // ID of this entry instance
	FailureDomain string
	Epoch         uint64 // differs between the starts of an instance, for example its start time
}

// Core holds the tables and runs the systems over them. Step must not be called concurrently; Snapshot may be
// called at any time.
type Core struct {
	settings  Settings
	endpoints endpoints
	services  services
	moves     *move.System
	snapshot  atomic.Pointer[table.Snapshot]
}

// New returns a core without configuration or endpoints.
func New(s Settings) *Core {
	c := &Core{settings: s, moves: move.New(move.Settings{Self: s.Instance, Epoch: s.Epoch})}
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
	c.endpoints.tick(now)
	moves := c.moves.Tick(now)
	c.publish(now, moves.Shares)
	return append(out, moveCommands(moves)...)
}

func (c *Core) apply(now time.Time, e Event) []Command {
	switch e := e.(type) {
	case ConfigAccepted:
		c.configure(now, e)
	case InstancesListed:
		c.endpoints.list(now, e.Instances)
	case EndpointLeaving:
		return c.endpoints.leaving(now, e)
	case LoadReported:
		c.endpoints.load(e)
	case AttemptDone:
		c.moves.Observe(now, c.moveResult(e))
		c.endpoints.attemptDone(now, e)
	case EndpointCrashed:
		c.endpoints.crashed(now, e.Endpoint)
	case FactReceived:
		return c.factReceived(now, e.Fact)
	case MembersChanged:
		c.moves.SetMembers(e.IDs)
	case MoveRead:
		c.moves.Recorded(now, e.Object, e.Record)
	}
	return nil
}

// publish builds the snapshot of the tables.
func (c *Core) publish(now time.Time, shares map[string][]table.Share) {
	prev := c.snapshot.Load()
	s := &table.Snapshot{Revision: c.services.revision, Services: make(map[string]*table.Service, len(c.services.rows))}
	for name, cfg := range c.services.rows {
		svc := &table.Service{
			Config:    cfg,
			Shares:    shares[name],
			Move:      c.moveStatus(now, name),
			Endpoints: c.endpoints.ofService(name),
		}
		route.Build(svc, prev.Services[name], now)
		s.Services[name] = svc
	}
	c.snapshot.Store(s)
}
