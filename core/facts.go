package core

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/move"
	"github.com/trefoillug/trefoillug/peer"
)

// factReceived applies a fact that another member published. It ignores facts that concern other packages.
func (c *Core) factReceived(now time.Time, f peer.Fact) []Command {
	switch {
	case strings.HasPrefix(f.Key, factLeavingDomain):
		return c.noticeReceived(now, f, EndpointLeaving{FailureDomain: f.Key[len(factLeavingDomain):]})
	case strings.HasPrefix(f.Key, factLeaving):
		return c.noticeReceived(now, f, EndpointLeaving{Endpoint: f.Key[len(factLeaving):]})
	case strings.HasPrefix(f.Key, move.FactPrefix):
		if err := c.moves.Receive(now, f.Origin, f.Key, f.Value); err != nil {
			return []Command{Alert{Message: "invalid fact about a move: " + err.Error(), Subject: f.Origin}}
		}
	}
	return nil
}

func (c *Core) noticeReceived(now time.Time, f peer.Fact, e EndpointLeaving) []Command {
	var by int64
	if err := cbor.Unmarshal(f.Value, &by); err != nil {
		return []Command{Alert{Message: "invalid leaving notice of a peer: " + err.Error(), Subject: f.Origin}}
	}
	e.LeaveBy = time.UnixMilli(by)
	c.endpoints.recordLeaving(now, e)
	return nil
}
