package node

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/standin"
)

// Guards against a crash that is not counted because no other endpoint is left, and against a lost machine or a cut path
// that is taken for a crash.
func TestCheckLost_Cases(t *testing.T) {
	for name, c := range map[string]struct {
		lost   standin.Acceptance
		others []standin.Acceptance
		busy   bool // too many peers are being asked
		found  lossCause
	}{
		"accepts":                 {lost: standin.Accepts, found: lossNone},
		"one of one":              {lost: standin.Refuses, found: lossCrash},
		"one of two":              {lost: standin.Refuses, others: []standin.Acceptance{standin.Accepts}, found: lossCrash},
		"two of two":              {lost: standin.Refuses, others: []standin.Acceptance{standin.Refuses}, found: lossCrash},
		"all of four":             {lost: standin.Refuses, others: []standin.Acceptance{standin.Refuses, standin.Refuses, standin.Refuses}, found: lossCrash},
		"others silent":           {lost: standin.Refuses, others: []standin.Acceptance{standin.Hangs, standin.Hangs}, found: lossCrash},
		"silent":                  {lost: standin.Hangs, others: []standin.Acceptance{standin.Accepts}, found: lossSilent},
		"silent, one of one":      {lost: standin.Hangs, found: lossSilent},
		"silent, others refuse":   {lost: standin.Hangs, others: []standin.Acceptance{standin.Refuses}, found: lossSilent},
		"peers asked too often":   {lost: standin.Refuses, others: []standin.Acceptance{standin.Refuses}, busy: true, found: lossUnknown},
		"others reached while so": {lost: standin.Refuses, others: []standin.Acceptance{standin.Accepts}, busy: true, found: lossCrash},
	} {
		t.Run(name, func(t *testing.T) {
			n, _, _ := newProbingNode(t, 0)
			log, _ := test.NewNullLogger()
			mesh, err := peer.New(peer.Settings{Self: peer.Member{ID: "a", Address: "127.0.0.1:1"}, Transport: peer.NewWebSocket(), Log: log})
			must.NoError(t, err)
			mesh.Start()
			t.Cleanup(mesh.Close)
			n.mesh, n.members = mesh, newMembership("a", time.Now())
			target, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			t.Cleanup(func() { _ = target.Close() })
			for i, acceptance := range append([]standin.Acceptance{c.lost}, c.others...) {
				f, err := standin.NewForwarderAt(standin.FreeAddress(), target.Addr().String())
				must.NoError(t, err)
				t.Cleanup(f.Close)
				must.NoError(t, f.SetAcceptance(acceptance))
				n.fleet.Put(fleet.Entry{ID: string(rune('a' + i)), Service: "s", Address: f.Address(), Zone: "z", Slots: 1})
			}
			s := newSuspects(n)
			if c.busy {
				for range maxPeerChecks {
					s.peerChecks <- struct{}{}
				}
			}
			found, err := s.checkLost(n.fleet.Service("s")[0])
			must.Eq(t, c.found, found, must.Sprint(err))
		})
	}
}
