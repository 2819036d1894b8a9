package node

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/quarantine"
)

const (
	factCrash = "crash/"
	// confirmDelay leaves an endpoint that has crashed time to close its listener; it restarts only after seconds.
	confirmDelay = 50 * time.Millisecond
	// confirmTimeout bounds the connection attempt that shows whether an endpoint still runs.
	confirmTimeout = 200 * time.Millisecond
)

// suspects implements forward.Suspects: it counts crashes, including those that peers report.
type suspects struct {
	*quarantine.Crashes
	n      *Node
	blocks *quarantine.Blocks

	mu            sync.Mutex
	lost          map[*fleet.Endpoint][]lostRequest // by endpoint that is being checked for a crash
	cleared       []quarantine.BlockFact            // to be reported
	evidenceCount int                               // reports published
	refusedCount  int

	toStore chan suspectRecord
	stored  map[string]suspectRecord // by slot: the latest one that this process has stored
}

type lostRequest struct {
	forward.Loss
	ended time.Time
}

// crashReport reports how often a request has crashed its endpoint, or that an endpoint has answered it.
type crashReport struct {
	Fingerprint quarantine.Fingerprint `cbor:"1,keyasint"`
	Crashes     int                    `cbor:"2,keyasint,omitempty"` // 0: an endpoint has answered the request
}

func newSuspects(n *Node) *suspects {
	return &suspects{Crashes: quarantine.NewCrashes(), n: n, blocks: quarantine.NewBlocks(), lost: map[*fleet.Endpoint][]lostRequest{}, toStore: make(chan suspectRecord, 2*refusedKeys), stored: map[string]suspectRecord{}}
}

// IsRefused implements forward.Suspects.
func (s *suspects) IsRefused(fp quarantine.Fingerprint) bool {
	return s.Crashes.IsRefused(fp, time.Now())
}

// RecordLost implements forward.Suspects. A broken connection alone does not prove a crash, so a new connection is
// tried.
func (s *suspects) RecordLost(e *fleet.Endpoint, loss forward.Loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost[e] = append(s.lost[e], lostRequest{loss, time.Now()}); len(s.lost[e]) == 1 {
		time.AfterFunc(confirmDelay, func() { s.confirmCrash(e) })
	}
}

func (s *suspects) confirmCrash(e *fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	err := s.n.prober.Check(ctx, e.Address)
	// An instance that reaches no other endpoint either has no evidence against this one.
	reachesOthers := err == nil || s.n.reachesOther(e)
	s.mu.Lock()
	defer s.mu.Unlock() // held while publishing, so that peers receive the counts in order
	lost := s.lost[e]
	delete(s.lost, e)
	if err == nil || e.IsLeaving() || !reachesOthers {
		return
	}
	notBegun, highest, known := 0, 0, s.Len()
	var blocks []quarantine.Fingerprint
	for _, r := range lost {
		count := s.Crashed(r.Fingerprint, r.Sent, r.ended)
		s.publish(crashReport{Fingerprint: r.Fingerprint, Crashes: count})
		if quarantine.Refuses(count) {
			s.storeLater(requestRecord{Request: r.Fingerprint, Crashes: count, RecordedMs: s.n.wall.Now().UnixMilli()})
		}
		highest = max(highest, count)
		if !r.Begun {
			notBegun++
			blocks = append(blocks, fingerprints(e.Service, r.Shared)...)
		}
	}
	// A refused connection shows that the machine is up and the process is not. Without one, the path may be cut.
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.recordCrash(e, blocks, lost[0].ended)
	}
	s.n.metrics.scope.Counter("endpoint_crashes").Inc(1)
	s.n.log.WithError(err).WithFields(logrus.Fields{
		"endpoint": e.ID, "service": e.Service, "requests": len(lost), "not_begun": notBegun, "highest": highest, "known": known,
	}).Info("endpoint crashed; the requests on it are suspected")
}

// RecordAnswered implements forward.Suspects.
func (s *suspects) RecordAnswered(fp quarantine.Fingerprint) {
	crashes := s.Crashes.Answered(fp)
	if crashes == 0 {
		return
	}
	s.publish(crashReport{Fingerprint: fp})
	if quarantine.Refuses(crashes) {
		s.storeLater(requestRecord{Request: fp, RecordedMs: s.n.wall.Now().UnixMilli()})
	}
}

// publish reports to the peers for this process and all later ones: the count is about the request and its endpoints, and
// a request that has crashed some is not to crash more because the instance that saw it was restarted.
func (s *suspects) publish(report crashReport) {
	s.n.publishShared(fmt.Sprintf("%s%x", factCrash, uint64(report.Fingerprint)), uint8(min(report.Crashes, math.MaxUint8)), report, quarantine.CrashTTL)
}

func (s *suspects) receive(f peer.Fact) {
	var report crashReport
	if err := cbor.Unmarshal(f.Value, &report); err != nil {
		s.n.log.WithError(err).WithField("peer", f.Origin).Warn("crash report from peer could not be decoded")
		return
	}
	if report.Crashes == 0 {
		s.Crashes.Answered(report.Fingerprint)
		return
	}
	age := max(0, quarantine.CrashTTL-f.TTL)
	isNew := s.MergeCount(report.Fingerprint, report.Crashes, time.Now().Add(-age))
	if isNew && f.Origin != "" {
		s.publish(report) // of an earlier release, whose report ends with its process
	}
}
