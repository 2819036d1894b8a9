package node

import (
	"context"
	"math/rand/v2"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/usage"
)

const (
	callUsage = "usage-known"
	// peersAsked is the number of peers that a new holder of the duties asks. What processes counted that have been
	// restarted since is known to those who heard them only.
	peersAsked = 3
)

// usageKnown answers callUsage.
type usageKnown struct {
	ByProcess map[string]usage.Windows `cbor:"1,keyasint"`
}

func (n *Node) usageKnown(none) (usageKnown, error) {
	return usageKnown{n.usage.Known(n.process, n.wall.Now(), usageWindows+1)}, nil
}

// collectUsage asks some peers for all counts that they know.
func (n *Node) collectUsage(ctx context.Context) {
	ids := n.memberIDs()
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	asked := 0
	for _, id := range ids {
		if id == n.settings.Name || asked == peersAsked {
			continue
		}
		asked++
		if err := n.collectFrom(ctx, id); err != nil {
			n.log.WithError(err).WithFields(logrus.Fields{"peer": id}).Info("usage known to a peer not read")
		}
	}
}

func (n *Node) collectFrom(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTime)
	defer cancel()
	known, err := callPeer[usageKnown](ctx, n, id, callUsage, none{})
	if err != nil {
		return err
	}
	for process, w := range known.ByProcess {
		if process != n.process {
			n.usage.Receive(process, w)
		}
	}
	return nil
}
