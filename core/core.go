// Package core is the decision core. It takes timed events and returns commands. It has no clock, I/O, goroutine or
// global random source, so that the daemon, a replay of a recorded trace and a benchmark run the same code.
package core

import (
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/move"
	"github.com/trefoillug/trefoillug/route"
	"github.com/trefoillug/trefoillug/table"
)

// TickInterval is the longest permitted time between two calls of Step.
const TickInterval = 100 * time.Millisecond

// Settings configures a Core.
type Settings struct {
	Instance      string // ID of this entry instance
	FailureDomain string
	Epoch         uint64 // different for each start of an instance, for example its start time
}

// Core holds the tables of services and endpoints and the state of version moves. Step must not be called concurrently;
// Snapshot may be called at any time.
type Core struct {
	settings  Settings
	endpoints endpoints
	services  services
	moves     *move.System
	snapshot  atomic.Pointer[table.Snapshot]
}

// New returns a core without configuration or endpoints.
func New(s Settings) *Core {
	c := &Core{settings: s, moves: move.New(move.Settings{MemberID: s.Instance, Epoch: s.Epoch})}
	c.snapshot.Store(&table.Snapshot{})
	return c
}

// Snapshot returns the snapshot of the tables after the latest step.
func (c *Core) Snapshot() *table.Snapshot { return c.snapshot.Load() }

// Step applies events at time now, updates the tables and the moves, and returns the commands to execute.
func (c *Core) Step(now time.Time, events ...Event) []Command {
	var commands []Command
	for _, e := range events {
		commands = append(commands, c.apply(now, e)...)
	}
	c.endpoints.tick(now)
	moves := c.moves.Tick(now)
	c.publish(now, moves.Shares)
	return append(commands, moveCommands(moves)...)
}

func (c *Core) apply(now time.Time, e Event) []Command {
	switch e := e.(type) {
	case ConfigAccepted:
		c.configure(now, e)
	case InstancesListed:
		c.endpoints.replaceRows(now, e.Instances)
	case EndpointLeaving:
		return c.endpoints.announceLeaving(now, e)
	case LoadReported:
		c.endpoints.recordLoad(e)
	case AttemptDone:
		c.moves.Observe(now, c.moveResult(e))
		c.endpoints.recordAttempt(now, e)
	case EndpointCrashed:
		c.endpoints.markSuspect(now, e.Endpoint)
	case FactReceived:
		return c.factReceived(now, e.Fact)
	case MembersChanged:
		c.moves.SetMembers(e.IDs)
	case MoveRead:
		c.moves.ApplyRecord(now, e.Object, e.Record)
	}
	return nil
}

// publish builds a snapshot of the tables and makes it available to readers.
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
