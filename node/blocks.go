package node

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/placement"
	"github.com/trefoillug/trefoillug/quarantine"
	"github.com/trefoillug/trefoillug/rendezvous"
)

const (
	// factBlocks is the key prefix of facts about the prompt blocks of crashed endpoints. It must not begin with
	// factLegacyCrash, whose facts earlier versions decode differently.
	factBlocks = "blocks/"
	// evidenceKeys and refusedKeys bound the facts about blocks that the peers store for each process. New facts
	// replace the oldest.
	evidenceKeys = 128
	refusedKeys  = 32
	// evidenceTTL is how long peers keep the evidence of a crash for instances that start; their own records last longer.
	evidenceTTL = 10 * time.Minute
	// refusedTTL is how long peers keep the crashes of a block that is refused.
	refusedTTL = 24 * time.Hour
	// clearDelay is how long cleared blocks are gathered before they are reported together.
	clearDelay = 100 * time.Millisecond
	// maxReportFacts bounds the facts about cleared blocks in a report to 8 KiB.
	maxReportFacts = 64
)

func fingerprints(service string, blocks []placement.Block) []quarantine.Fingerprint {
	all := make([]quarantine.Fingerprint, len(blocks))
	for i, b := range blocks {
		all[i] = quarantine.BlockFingerprint(service, b.ID)
	}
	return all
}

// recordCrash records the crash of an endpoint with the shared blocks of the requests on it that had not begun. The
// caller must hold s.mu.
func (s *suspects) recordCrash(e *fleet.Endpoint, blocks []quarantine.Fingerprint, at time.Time) {
	wall := s.n.wall.Now().Add(-time.Since(at))
	if f, ok := s.blocks.Crashed(e.Service, e.ID, blocks, wall, time.Now()); ok {
		s.publishEvidence([]quarantine.BlockFact{f})
	}
}

// publishEvidence reports to the peers, also for the time after this process. The caller must hold s.mu.
func (s *suspects) publishEvidence(facts []quarantine.BlockFact) {
	s.n.publishShared(fmt.Sprintf("%s%s/%d", factBlocks, s.n.process, s.evidenceCount%evidenceKeys), 0, facts, evidenceTTL)
	s.evidenceCount++
}

// RecordBegun implements forward.Suspects.
func (s *suspects) RecordBegun(service string, family quarantine.Fingerprint, shared []placement.Block) {
	s.recordFamilyAnswered(family)
	if len(shared) == 0 || !s.blocks.Any() {
		return
	}
	facts, wereRefused := s.blocks.Begun(service, fingerprints(service, shared), time.Now())
	for _, fp := range wereRefused {
		s.n.log.WithField("service", service).Info("prompt block is served again: a request with it has begun")
		s.storeLater(blockRecord{Block: fp, RecordedMs: s.n.wall.Now().UnixMilli()})
	}
	if len(facts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.cleared) == 0 {
		time.AfterFunc(clearDelay, s.publishCleared)
	}
	s.cleared = append(s.cleared, facts...)
}

func (s *suspects) publishCleared() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for facts := range slices.Chunk(s.cleared, maxReportFacts) {
		s.publishEvidence(facts)
	}
	s.cleared = nil
}

// RefusedBlock implements forward.Suspects.
func (s *suspects) RefusedBlock(service string, shared []placement.Block) (id string, until time.Time, refused bool) {
	if !s.blocks.Any() {
		return "", time.Time{}, false
	}
	now, all := time.Now(), fingerprints(service, shared)
	i, facts := s.blocks.Refused(all, now)
	if i < 0 {
		return "", time.Time{}, false
	}
	if s.blocks.IsProbeDue(all[i], now) && s.owns(all[i]) && s.blocks.BeginProbe(all[i], now) {
		s.n.log.WithFields(logrus.Fields{"service": service, "block": shared[i].ID}).Info("refused prompt block is tried with one request")
		return "", time.Time{}, false
	}
	if len(facts) > 0 {
		s.reportRefused(service, shared[i].ID, facts)
	}
	return shared[i].ID, s.blocks.RefusedUntil(all[i]), true
}

// owns reports whether this instance is the one that tries a refused block or family again, and stores what is refused after
// a restore of the store.
func (s *suspects) owns(fp quarantine.Fingerprint) bool {
	owner := rendezvous.Top(fmt.Sprint(uint64(fp)), s.n.memberIDs(), 1)
	return len(owner) == 1 && owner[0] == s.n.settings.Name
}

// reportRefused logs that requests with a block are refused from now on, and reports it to the peers.
func (s *suspects) reportRefused(service, block string, facts []quarantine.BlockFact) {
	var endpoints []string
	for _, f := range facts {
		endpoints = append(endpoints, f.Crash.Endpoint)
	}
	s.n.log.WithFields(logrus.Fields{"service": service, "block": block, "endpoints": endpoints}).
		Warn("prompt block crashes endpoints; requests with it are refused")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n.publishFor(fmt.Sprintf("%srefused/%d", factBlocks, s.refusedCount%refusedKeys), facts[:min(len(facts), maxReportFacts)], refusedTTL)
	s.refusedCount++
	s.storeLater(blockRecord{Block: facts[0].Blocks[0], RecordedMs: s.n.wall.Now().UnixMilli(), Facts: facts})
}

func (s *suspects) receiveBlocks(f peer.Fact) {
	var facts []quarantine.BlockFact
	if err := cbor.Unmarshal(f.Value, &facts); err != nil {
		s.n.log.WithError(err).WithField("peer", f.Origin).Warn("report about prompt blocks from peer could not be decoded")
		return
	}
	for _, fact := range facts {
		s.blocks.Merge(fact, time.Now())
	}
}
