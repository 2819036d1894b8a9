package node

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/quota"
	"github.com/trefoillug/trefoillug/rendezvous"
	"github.com/trefoillug/trefoillug/routing"
)

const (
	callAcquire = "quota-take"
	callRelease = "quota-give-back"
	// ownerCallTimeout bounds a call to the owner of a workspace: ten times the duration of a call between failure
	// domains, and a fifth of the shortest objective of 300 ms.
	ownerCallTimeout = 60 * time.Millisecond
	// ownerAvoidTime is how long an owner that did not answer is not asked; peers detect a dead instance in 3 to 6 s.
	ownerAvoidTime = 500 * time.Millisecond
	// minOwnerCoreShare is the least share of the largest instance's processor cores that an owner must have, since
	// small instances answer slowly.
	minOwnerCoreShare = 0.5
	// maxOwnersAsked is the number of owners that are asked before an instance acquires from its even share.
	maxOwnersAsked = 2
)

// acquireCall asks an owner of a workspace to acquire Cost from the workspace's quota.
type acquireCall struct {
	Workspace string  `cbor:"1,keyasint"`
	Cost      float64 `cbor:"2,keyasint"`
	Secondary bool    `cbor:"3,keyasint,omitempty"` // the first owner did not answer
}

type acquireReply struct {
	Acquired bool          `cbor:"1,keyasint"`
	RetryIn  time.Duration `cbor:"2,keyasint,omitempty"`
}

// owners picks the owners of workspaces among the instances.
type owners struct {
	mu           sync.Mutex
	candidates   []string
	cores        map[string]float64   // by instance, as reported
	avoidedUntil map[string]time.Time // by instance
}

func newOwners() owners {
	return owners{cores: map[string]float64{}, avoidedUntil: map[string]time.Time{}}
}

func (o *owners) recordCores(instance string, cores float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cores[instance] = cores
}

// update sets the live members and drops the records of all other instances.
func (o *owners) update(members []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	largest, cores := 0.0, map[string]float64{}
	for _, id := range members {
		cores[id] = o.cores[id]
		largest = max(largest, cores[id])
	}
	o.cores, o.candidates = cores, nil
	maps.DeleteFunc(o.avoidedUntil, func(id string, _ time.Time) bool { return !slices.Contains(members, id) })
	for _, id := range members {
		if cores[id] >= largest*minOwnerCoreShare {
			o.candidates = append(o.candidates, id)
		}
	}
}

// forWorkspace returns the owners of a workspace in order of preference, without those that did not answer recently.
// secondary reports whether the first owner was left out.
func (o *owners) forWorkspace(workspace string, now time.Time) (ids []string, secondary bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, id := range rendezvous.Top(workspace, o.candidates, maxOwnersAsked) {
		if now.Before(o.avoidedUntil[id]) {
			secondary = secondary || i == 0
			continue
		}
		ids = append(ids, id)
	}
	return ids, secondary
}

func (o *owners) avoid(id string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.avoidedUntil[id] = now.Add(ownerAvoidTime)
}

// quotas implements forward.Quotas.
type quotas struct{ n *Node }

func quotaLimit(ws *routing.Workspace) quota.Limit {
	return quota.Limit{PerSecond: ws.Quota.PerSecond, Burst: ws.Quota.Burst}
}

// Acquire implements forward.Quotas. In fleets of more than largeFleet instances, the owner of the workspace decides.
func (q quotas) Acquire(ctx context.Context, ws *routing.Workspace, cost float64) (release func(), retry time.Duration) {
	n := q.n
	release = func() { n.quotas.Release(ws.Name, cost) }
	acquire := n.quotas.Acquire
	if n.members.expected(time.Now()) > largeFleet && ws.Quota.PerSecond > 0 {
		if release, retry, reached := n.acquireFromOwners(ctx, ws, cost); reached {
			return release, retry
		}
		acquire = n.quotas.AcquireFromEvenShare
	}
	if ok, retry := acquire(ws.Name, quotaLimit(ws), cost, time.Now()); !ok {
		return nil, retry
	}
	return release, 0
}

// acquireFromOwners asks the owners of a workspace in turn. reached is false when none of them answered.
func (n *Node) acquireFromOwners(ctx context.Context, ws *routing.Workspace, cost float64) (release func(), retry time.Duration, reached bool) {
	ids, secondary := n.owners.forWorkspace(ws.Name, time.Now())
	for _, id := range ids {
		call := acquireCall{Workspace: ws.Name, Cost: cost, Secondary: secondary}
		reply, err := n.acquireFrom(ctx, id, call)
		if err == nil && !reply.Acquired {
			return nil, reply.RetryIn, true
		}
		if err == nil {
			return func() { go n.releaseTo(id, call) }, 0, true
		}
		n.log.WithError(err).WithFields(logrus.Fields{"home": id, "workspace": ws.Name}).Info("call to owner of workspace failed")
		n.owners.avoid(id, time.Now())
		secondary = true
	}
	return nil, 0, false
}

func (n *Node) acquireFrom(ctx context.Context, owner string, call acquireCall) (acquireReply, error) {
	if owner == n.settings.Name {
		return n.acquireLocal(call)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	return callPeer[acquireReply](ctx, n, owner, callAcquire, call)
}

// releaseTo releases quota that was acquired from an owner for a request that did not run.
func (n *Node) releaseTo(owner string, call acquireCall) {
	if owner == n.settings.Name {
		n.quotas.Release(call.Workspace, call.Cost)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	if _, err := callPeer[empty](ctx, n, owner, callRelease, call); err != nil {
		n.log.WithError(err).WithFields(logrus.Fields{"home": owner, "workspace": call.Workspace}).Info("quota not released at owner")
	}
}

// acquireLocal acquires quota on behalf of this or another instance, as an owner of the workspace.
func (n *Node) acquireLocal(call acquireCall) (acquireReply, error) {
	table := n.table.Load()
	if table == nil {
		return acquireReply{}, fmt.Errorf("no configuration is known yet")
	}
	ws := table.WorkspaceNamed(call.Workspace)
	if ws == nil {
		return acquireReply{}, fmt.Errorf("workspace %q is not known", call.Workspace)
	}
	ok, retry := n.quotas.AcquireAsOwner(ws.Name, quotaLimit(ws), call.Cost, call.Secondary, time.Now())
	return acquireReply{Acquired: ok, RetryIn: retry}, nil
}

func (n *Node) releaseLocal(call acquireCall) (empty, error) {
	n.quotas.Release(call.Workspace, call.Cost)
	return empty{}, nil
}
