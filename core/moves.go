package core

import (
	"time"

	"github.com/trefoillug/trefoillug/move"
	"github.com/trefoillug/trefoillug/table"
)

// moveCommands converts the output of the moves to commands.
func moveCommands(out move.Output) []Command {
	var commands []Command
	for _, f := range out.Facts {
		commands = append(commands, PublishFact{Key: f.Key, Value: f.Value, TTL: f.TTL})
	}
	for _, r := range out.Proposals {
		commands = append(commands, RecordMove{Record: r})
	}
	for _, o := range out.Reads {
		commands = append(commands, ReadMove{Object: o})
	}
	return commands
}

// moveResult converts the end of an attempt to evidence about its version.
func (c *Core) moveResult(e AttemptDone) move.Result {
	r := move.Result{
		Service: e.Service, Version: e.Version, Route: e.Route, Outcome: c.evidence(e),
		FirstToken: e.FirstToken, PerToken: e.PerToken, Load: e.InFlight,
	}
	if r.PerToken == 0 {
		r.FirstToken = e.Total
	}
	return r
}

// evidence returns whether an attempt counts for or against its version, or is excluded. The loss of an endpoint that
// was announced to leave is excluded, because it says nothing about the version.
func (c *Core) evidence(e AttemptDone) move.AttemptOutcome {
	switch e.Result {
	case Succeeded:
		if e.Unsuccessful {
			return move.Unsuccessful
		}
		return move.OK
	case Failed, TimedOut:
		return move.Failed
	case EndpointLost:
		row, listed := c.endpoints.rows[e.Endpoint]
		if !listed || row.Condition == table.Leaving {
			return move.Excluded
		}
		return move.Failed
	default:
		return move.Excluded
	}
}

func (c *Core) moveStatus(now time.Time, service string) *table.Move {
	st, ok := c.moves.Status(now, service)
	if !ok {
		return nil
	}
	return &table.Move{
		ID: st.ID, From: st.From, To: st.To, Deadline: st.Deadline, State: string(st.State), Reason: st.Reason,
	}
}
