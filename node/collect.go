package node

import (
	"context"
	"math/rand/v2"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/usage"
)

const (
	callUsage = "usage-known"
	// maxUsagePeers is the number of peers that a new holder of the duties asks. The counts of a process that has
	// restarted since are held only by the peers that received them.
	maxUsagePeers = 3
)

// usageReply is the reply to callUsage.
type usageReply struct {
	ByProcess map[string]usage.Windows `cbor:"1,keyasint"`
}

func (n *Node) handleUsage(empty) (usageReply, error) {
	return usageReply{n.usage.AllRecent(n.process, n.wall.Now(), reportedWindows+1)}, nil
}

// collectUsage asks up to maxUsagePeers peers for all usage counts that they have recorded.
func (n *Node) collectUsage(ctx context.Context) {
	ids := n.memberIDs()
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	asked := 0
	for _, id := range ids {
		if id == n.settings.Name || asked == maxUsagePeers {
			continue
		}
		asked++
		if err := n.collectUsageFrom(ctx, id); err != nil {
			n.log.WithError(err).WithFields(logrus.Fields{"peer": id}).Info("usage counts not read from peer")
		}
	}
}

func (n *Node) collectUsageFrom(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := callPeer[usageReply](ctx, n, id, callUsage, empty{})
	if err != nil {
		return err
	}
	for process, w := range reply.ByProcess {
		if process != n.process {
			n.usage.Receive(process, w)
		}
	}
	return nil
}
