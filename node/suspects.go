package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/quarantine"
	"github.com/trefoillug/trefoillug/upstream"
)

const (
	factCrash = "crash/"
	// confirmDelay lets an endpoint that has crashed close its listener; it is back after seconds only.
	confirmDelay = 50 * time.Millisecond
	// confirmTime bounds the connection that shows whether an endpoint still runs.
	confirmTime = 200 * time.Millisecond
)

// suspects implements forward.Suspects: it counts crashes with those of the peers.
type suspects struct {
	*quarantine.Crashes
	n *Node

	mu   sync.Mutex
	lost map[*fleet.Endpoint][]lostRequest // whose endpoint is being looked at
}

type lostRequest struct {
	fingerprint quarantine.Fingerprint
	sent, ended time.Time
}

// crashReport tells of a crash or of an answer.
type crashReport struct {
	Fingerprint quarantine.Fingerprint `cbor:"1,keyasint"`
	Crashes     int                    `cbor:"2,keyasint,omitempty"` // 0: an endpoint has answered it
}

func newSuspects(n *Node) *suspects {
	return &suspects{Crashes: quarantine.NewCrashes(), n: n, lost: map[*fleet.Endpoint][]lostRequest{}}
}

// IsRefused implements forward.Suspects.
func (s *suspects) IsRefused(fp quarantine.Fingerprint) bool {
	return s.Crashes.IsRefused(fp, time.Now())
}

// Lost implements forward.Suspects. A broken connection alone is no crash, so a new one is tried.
func (s *suspects) Lost(e *fleet.Endpoint, fp quarantine.Fingerprint, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost[e] = append(s.lost[e], lostRequest{fp, sent, time.Now()}); len(s.lost[e]) == 1 {
		time.AfterFunc(confirmDelay, func() { s.confirm(e) })
	}
}

func (s *suspects) confirm(e *fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTime)
	defer cancel()
	c, err := upstream.DialTCP(ctx, e.Address)
	if err == nil {
		_ = c.Close() // it has done its job
	}
	s.mu.Lock()
	defer s.mu.Unlock() // also while publishing, so that the peers get the counts in their order
	lost := s.lost[e]
	delete(s.lost, e)
	if err == nil || e.IsLeaving() {
		return
	}
	s.n.log.WithError(err).WithFields(logrus.Fields{"endpoint": e.ID, "requests": len(lost)}).Info("endpoint crashed; the requests on it are suspects")
	for _, r := range lost {
		s.publish(crashReport{Fingerprint: r.fingerprint, Crashes: s.Crashed(r.fingerprint, r.sent, r.ended)})
	}
}

// Answered implements forward.Suspects.
func (s *suspects) Answered(fp quarantine.Fingerprint) {
	if s.Crashes.Answered(fp) {
		s.publish(crashReport{Fingerprint: fp})
	}
}

func (s *suspects) publish(report crashReport) {
	s.n.publishLife(fmt.Sprintf("%s%x", factCrash, uint64(report.Fingerprint)), report, quarantine.CrashLife)
}

func (s *suspects) receive(f peer.Fact) {
	var report crashReport
	if err := cbor.Unmarshal(f.Value, &report); err != nil {
		s.n.log.WithError(err).WithField("peer", f.Origin).Warn("crash reported by a peer not understood")
		return
	}
	if report.Crashes == 0 {
		s.Crashes.Answered(report.Fingerprint)
		return
	}
	s.Raise(report.Fingerprint, report.Crashes, time.Now())
}
