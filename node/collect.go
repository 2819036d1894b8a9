package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/trefoillug/trefoillug/usage"
)

const (
	callUsage = "usage-known"
	// maxUsagePeers is the number of peers that a new holder of the duties asks. The counts of a process that has
	// restarted since are held only by the peers that received them.
	maxUsagePeers = 3

	callOwnUsage = "usage-own"
	// missingUsageTimeout bounds the calls for the counts of one window; the next plan of the pool waits meanwhile.
	missingUsageTimeout = time.Second
	// maxUsageCalls bounds the calls at the same time.
	maxUsageCalls = 16
)

// ownUsageReply is the reply to callOwnUsage.
type ownUsageReply struct {
	Process string      `cbor:"1,keyasint"`
	Usage   usageReport `cbor:"2,keyasint"`
}

// usageReply is the reply to callUsage.
type usageReply struct {
	ByProcess map[string]usage.Windows `cbor:"1,keyasint"`
}

func (n *Node) handleUsage(empty) (usageReply, error) {
	return usageReply{n.usage.AllRecent(n.process, n.wall.Now(), reportedWindows+1)}, nil
}

// collectMissing asks the peers whose final counts of a window have not arrived for them. In a large fleet reports take
// seconds to reach each instance.
func (n *Node) collectMissing(ctx context.Context, window uint64) {
	missing := n.members.withoutUsage(n.memberIDs(), window)
	if len(missing) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, missingUsageTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxUsageCalls)
	var failed atomic.Int32
	for _, id := range missing {
		group.Go(func() error {
			if err := n.collectOwnUsage(ctx, id); err != nil {
				failed.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait() // returns nil only
	n.log.WithFields(logrus.Fields{"window": window, "peers": len(missing), "failed": failed.Load()}).Info("usage counts read from peers whose report was late")
}

// collectOwnUsage asks a peer for the counts of its own process.
func (n *Node) collectOwnUsage(ctx context.Context, id string) error {
	reply, err := callPeer[ownUsageReply](ctx, n, id, callOwnUsage, empty{})
	if err != nil {
		return err
	}
	n.usage.Receive(reply.Process, reply.Usage.Windows)
	n.members.recordUsage(id, reply.Usage.Current)
	return nil
}

func (n *Node) handleOwnUsage(empty) (ownUsageReply, error) {
	return ownUsageReply{Process: n.process, Usage: n.recentUsage()}, nil
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
