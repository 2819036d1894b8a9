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
	callTake     = "quota-take"
	callGiveBack = "quota-give-back"
	// homeTime bounds a call of a workspace's home: ten times what it takes between failure domains, and a fifth of the
	// shortest objective of 300 ms.
	homeTime = 60 * time.Millisecond
	// homeAvoid is how long a home that did not answer is not asked; the peers find a dead instance in 3 to 6 s.
	homeAvoid = 500 * time.Millisecond
	// homeCores is the least part of the largest instance's processor that a home has, since small ones answer slowly.
	homeCores = 0.5
	// homesTried is the number of homes that are asked before an instance takes from its own share.
	homesTried = 2
)

// takeCall asks the home of a workspace for a part of its quota.
type takeCall struct {
	Workspace  string  `cbor:"1,keyasint"`
	Cost       float64 `cbor:"2,keyasint"`
	Substitute bool    `cbor:"3,keyasint,omitempty"` // the first home did not answer
}

type takeReply struct {
	Taken   bool          `cbor:"1,keyasint"`
	RetryIn time.Duration `cbor:"2,keyasint,omitempty"`
}

// homes picks the homes of workspaces among the instances.
type homes struct {
	mu         sync.Mutex
	candidates []string
	cores      map[string]float64   // by instance, as reported
	avoided    map[string]time.Time // until when
}

func newHomes() homes { return homes{cores: map[string]float64{}, avoided: map[string]time.Time{}} }

func (h *homes) noteCores(instance string, cores float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cores[instance] = cores
}

// update takes over the live members, and drops what is known of others.
func (h *homes) update(members []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	largest, known := 0.0, map[string]float64{}
	for _, id := range members {
		known[id] = h.cores[id]
		largest = max(largest, known[id])
	}
	h.cores, h.candidates = known, nil
	maps.DeleteFunc(h.avoided, func(id string, _ time.Time) bool { return !slices.Contains(members, id) })
	for _, id := range members {
		if known[id] >= largest*homeCores {
			h.candidates = append(h.candidates, id)
		}
	}
}

// of returns the homes of a workspace, the first one preferred; one that did not answer lately is left out.
func (h *homes) of(workspace string, now time.Time) (ids []string, substitute bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, id := range rendezvous.Top(workspace, h.candidates, homesTried) {
		if now.Before(h.avoided[id]) {
			substitute = substitute || i == 0
			continue
		}
		ids = append(ids, id)
	}
	return ids, substitute
}

func (h *homes) avoid(id string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoided[id] = now.Add(homeAvoid)
}

// quotas implements forward.Quotas.
type quotas struct{ n *Node }

func limitOf(ws *routing.Workspace) quota.Limit {
	return quota.Limit{PerSecond: ws.Quota.PerSecond, Burst: ws.Quota.Burst}
}

// Take implements forward.Quotas. In large fleets the home of the workspace decides.
func (q quotas) Take(ctx context.Context, ws *routing.Workspace, cost float64) (giveBack func(), retry time.Duration) {
	n := q.n
	giveBack = func() { n.quotas.Return(ws.Name, cost) }
	take := n.quotas.Take
	if n.members.expected(time.Now()) > largeFleet && ws.Quota.PerSecond > 0 {
		if giveBack, retry, answered := n.takeAtHomes(ctx, ws, cost); answered {
			return giveBack, retry
		}
		take = n.quotas.TakeAlone
	}
	if ok, retry := take(ws.Name, limitOf(ws), cost, time.Now()); !ok {
		return nil, retry
	}
	return giveBack, 0
}

// takeAtHomes asks the homes of a workspace. answered is false when none could be reached.
func (n *Node) takeAtHomes(ctx context.Context, ws *routing.Workspace, cost float64) (giveBack func(), retry time.Duration, answered bool) {
	ids, substitute := n.homes.of(ws.Name, time.Now())
	for _, id := range ids {
		call := takeCall{Workspace: ws.Name, Cost: cost, Substitute: substitute}
		reply, err := n.takeFrom(ctx, id, call)
		if err == nil && !reply.Taken {
			return nil, reply.RetryIn, true
		}
		if err == nil {
			return func() { go n.giveBackTo(id, call) }, 0, true
		}
		n.log.WithError(err).WithFields(logrus.Fields{"home": id, "workspace": ws.Name}).Info("home of a workspace not reached")
		n.homes.avoid(id, time.Now())
		substitute = true
	}
	return nil, 0, false
}

func (n *Node) takeFrom(ctx context.Context, home string, call takeCall) (takeReply, error) {
	if home == n.settings.Name {
		return n.takeHere(call)
	}
	ctx, cancel := context.WithTimeout(ctx, homeTime)
	defer cancel()
	return callPeer[takeReply](ctx, n, home, callTake, call)
}

// giveBackTo returns to a home what was taken there for a request that did not run.
func (n *Node) giveBackTo(home string, call takeCall) {
	if home == n.settings.Name {
		n.quotas.Return(call.Workspace, call.Cost)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTime)
	defer cancel()
	if _, err := callPeer[none](ctx, n, home, callGiveBack, call); err != nil {
		n.log.WithError(err).WithFields(logrus.Fields{"home": home, "workspace": call.Workspace}).Info("quota not given back")
	}
}

// takeHere decides for this or another instance, as the home of a workspace.
func (n *Node) takeHere(call takeCall) (takeReply, error) {
	table := n.table.Load()
	if table == nil {
		return takeReply{}, fmt.Errorf("no configuration is known yet")
	}
	ws := table.WorkspaceNamed(call.Workspace)
	if ws == nil {
		return takeReply{}, fmt.Errorf("workspace %q is not known", call.Workspace)
	}
	ok, retry := n.quotas.TakeAtHome(ws.Name, limitOf(ws), call.Cost, call.Substitute, time.Now())
	return takeReply{Taken: ok, RetryIn: retry}, nil
}

func (n *Node) giveBackHere(call takeCall) (none, error) {
	n.quotas.Return(call.Workspace, call.Cost)
	return none{}, nil
}
