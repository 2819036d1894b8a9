package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/reachability"
)

const (
	// confirmTimeout bounds the connection attempt that shows whether an endpoint still runs.
	confirmTimeout = 200 * time.Millisecond
	// askedPeers is the number of peers that are asked whether they reach an endpoint. Several may be restarting.
	askedPeers = 3
	// askTimeout bounds the time in which they answer: they try a connection as well.
	askTimeout = 2 * confirmTimeout
	// maxPeerChecks bounds the crashes that peers are asked about at a time, of which there is one for each endpoint of all
	// services that are down.
	maxPeerChecks = 8

	callReach = "reach"
)

// lossCause is why the connections to an endpoint were lost.
type lossCause string

const (
	lossNone    lossCause = "running"  // the endpoint accepts connections
	lossSilent  lossCause = "silent"   // nothing answers: its machine, or the path to it, may be lost
	lossOwnPath lossCause = "own_path" // it refuses connections from this instance only
	lossCrash   lossCause = "crash"    // its machine refuses connections, so its process is gone
	lossUnknown lossCause = "unknown"  // it refuses connections, and too many peers are being asked
)

// checkLost finds out why the connections to an endpoint were lost, and returns the error of a new one. Only a refused
// connection shows that the process is gone: a time without an answer is the same for a crash, a lost machine and a cut.
func (s *suspects) checkLost(e *fleet.Endpoint) (lossCause, error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	err := s.n.prober.Check(ctx, e.Address)
	switch {
	case err == nil:
		return lossNone, nil
	case !errors.Is(err, syscall.ECONNREFUSED):
		return lossSilent, err
	case s.n.reachesOther(e):
		return lossCrash, err
	}
	// Either all endpoints have crashed, as when one request has crashed each of them, or something on the path of this
	// instance refuses for them. Peers can tell. Without any, what the endpoint's address says holds.
	select {
	case s.peerChecks <- struct{}{}:
		defer func() { <-s.peerChecks }()
	default:
		return lossUnknown, err
	}
	if s.n.anyPeerReaches(e) {
		return lossOwnPath, err
	}
	return lossCrash, err
}

// reachesOther reports whether another endpoint accepts a connection.
func (n *Node) reachesOther(e *fleet.Endpoint) bool {
	self := reachability.Endpoint{Address: e.Address, Zone: e.Zone, Service: e.Service}
	candidates := n.probeCandidates()
	for _, other := range candidates {
		if other.Address != e.Address {
			return n.prober.ReachesOther(context.Background(), self, candidates)
		}
	}
	return false
}

// reachCall asks whether the peer reaches an endpoint.
type reachCall struct {
	Endpoint string `cbor:"1,keyasint"` // ID
}

type reachReply struct {
	Accepts bool `cbor:"1,keyasint,omitempty"` // the endpoint accepts a connection from the peer
}

// anyPeerReaches reports whether an endpoint accepts a connection from one of some peers. Instances of builds that don't know
// the call count as not reaching it.
func (n *Node) anyPeerReaches(e *fleet.Endpoint) bool {
	peers := n.reachableInstances()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	peers = peers[:min(askedPeers, len(peers))]
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	replies := make(chan bool, len(peers))
	for _, p := range peers {
		go func() {
			reply, err := callPeer[reachReply](ctx, n, p.ID, callReach, reachCall{e.ID})
			replies <- err == nil && reply.Accepts
		}()
	}
	for range peers {
		if <-replies {
			return true
		}
	}
	return false
}

func (n *Node) handleReach(call reachCall) (reachReply, error) {
	for _, e := range n.fleet.All() {
		if e.ID != call.Endpoint {
			continue
		}
		n.prober.OnProbes(1)
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		return reachReply{Accepts: n.prober.Check(ctx, e.Address) == nil}, nil
	}
	return reachReply{}, nil
}
