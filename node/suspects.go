package node

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/loglimit"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/quarantine"
)

const (
	// factCrashes and factAnswered are the key prefixes of facts about requests that crash endpoints, and about families
	// of which a request was answered.
	factCrashes  = "crashed/request/"
	factAnswered = "crashed/answered/"
	// factLegacyCrash is the key prefix of the counts of builds up to 0694119. Their fingerprints left out the host and some
	// fields of the body, so that a harmless request may have the fingerprint of a deadly one.
	factLegacyCrash = "crash/"
	// confirmDelay leaves an endpoint that has crashed time to close its listener; it restarts only after seconds.
	confirmDelay = 50 * time.Millisecond
	// connectionSpacing is the time before a request was sent on an open connection at which the endpoint counts as running.
	// The end of connections to endpoints that are lost together takes less time to arrive.
	connectionSpacing = 250 * time.Millisecond
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

	peerChecks  chan struct{} // holds an element for each crash that peers are being asked about
	legacyLines loglimit.Limit
}

type lostRequest struct {
	forward.Loss
	ended time.Time
}

// crashReport reports how often a request and its family have crashed endpoints, or that an endpoint has answered the request.
type crashReport struct {
	Request       quarantine.Fingerprint `cbor:"1,keyasint"`
	Crashes       int                    `cbor:"2,keyasint,omitempty"` // 0: an endpoint has answered the request
	Attributed    bool                   `cbor:"3,keyasint,omitempty"`
	Family        quarantine.Fingerprint `cbor:"4,keyasint,omitempty"`
	FamilyCrashes int                    `cbor:"5,keyasint,omitempty"`
}

// answeredReport reports that an endpoint has answered a request of a family that had crashes, or begun to.
type answeredReport struct {
	Family quarantine.Fingerprint `cbor:"1,keyasint"`
}

func newSuspects(n *Node) *suspects {
	return &suspects{
		Crashes: quarantine.NewCrashes(), n: n, blocks: quarantine.NewBlocks(), lost: map[*fleet.Endpoint][]lostRequest{},
		toStore: make(chan suspectRecord, 3*refusedKeys), stored: map[string]suspectRecord{},
		peerChecks: make(chan struct{}, maxPeerChecks), legacyLines: loglimit.Limit{Lines: 1},
	}
}

// IsSuspect implements forward.Suspects.
func (s *suspects) IsSuspect(id quarantine.Identity) bool {
	return s.Crashes.IsSuspect(id, time.Now())
}

// Refused implements forward.Suspects.
func (s *suspects) Refused(id quarantine.Identity) (quarantine.Refusal, bool) {
	return s.Crashes.Refused(id, time.Now())
}

// BeginProbe implements forward.Suspects.
func (s *suspects) BeginProbe(family quarantine.Fingerprint) bool {
	now := time.Now()
	if !s.IsProbeDue(family, now) || !s.owns(family) || !s.Crashes.BeginProbe(family, now) {
		return false
	}
	s.n.log.Info("refused family of requests is tried with one request")
	return true
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

// confirmCrash counts the loss of an endpoint's connections as a crash if the endpoint has crashed.
func (s *suspects) confirmCrash(e *fleet.Endpoint) {
	found, err := s.checkLost(e)
	s.mu.Lock()
	defer s.mu.Unlock() // held while publishing, so that peers receive the counts in order
	lost := s.lost[e]
	delete(s.lost, e)
	s.n.metrics.scope.Tagged(map[string]string{"found": string(found)}).Counter("lost_endpoints").Inc(1)
	log := s.n.log.WithError(err).WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service, "requests": len(lost)})
	switch {
	case e.IsLeaving():
		return
	case found == lossSilent, found == lossOwnPath:
		log.WithField("found", found).Info("endpoint lost; the requests on it are not suspected")
		return
	case found != lossCrash:
		return
	}
	notBegun, highest, known := 0, 0, s.Len()
	var blocks []quarantine.Fingerprint
	for _, r := range lost {
		if !r.Begun {
			notBegun++
			blocks = append(blocks, fingerprints(e.Service, r.Shared)...)
		}
	}
	accused, attributed := accusedOf(lost)
	for _, r := range accused {
		highest = max(highest, s.countCrash(r, attributed))
	}
	s.recordCrash(e, blocks, lost[0].ended)
	s.n.metrics.scope.Counter("endpoint_crashes").Inc(1)
	log.WithFields(logrus.Fields{
		"not_begun": notBegun, "accused": len(accused), "attributed": attributed, "highest": highest, "known": known,
	}).Info("endpoint crashed; the requests on it are suspected")
}

// accusedOf returns the requests that may have caused a crash, and whether there is only one. A request that crashes
// endpoints does so when its run begins, so one of those that had not begun is the cause if there are any.
func accusedOf(lost []lostRequest) (accused []lostRequest, attributed bool) {
	for _, r := range lost {
		if !r.Generating {
			accused = append(accused, r)
		}
	}
	if len(accused) == 0 {
		return lost, false
	}
	for _, r := range accused[1:] {
		if r.Identity != accused[0].Identity {
			return accused, false
		}
	}
	return accused, true
}

// countCrash counts the crash of an endpoint that ran a request, and returns the number of the request's crashes. The caller
// must hold s.mu.
func (s *suspects) countCrash(r lostRequest, attributed bool) int {
	c := quarantine.Crash{Since: r.Sent, At: r.ended, Attributed: attributed}
	if !r.Opened {
		c.Since = r.Sent.Add(-connectionSpacing)
	}
	request, family := s.Crashed(r.Identity, c)
	age := time.Since(r.ended)
	s.n.publishShared(keyOf(factCrashes, r.Identity.Request), uint8(min(request.Crashes, math.MaxUint8)), crashReport{
		Request: r.Identity.Request, Crashes: request.Crashes, Attributed: request.Attributed,
		Family: r.Identity.Family, FamilyCrashes: family.Crashes,
	}, quarantine.CrashTTL-age)
	at := s.n.wall.Now().Add(-age).UnixMilli()
	if request.Refuses(quarantine.ScopeRequest) {
		s.storeLater(requestRecord{Scope: quarantine.ScopeRequest, Fingerprint: r.Identity.Request, RecordedMs: at, Count: request.Crashes, Attributed: request.Attributed})
	}
	if family.Refuses(quarantine.ScopeFamily) {
		s.storeLater(requestRecord{Scope: quarantine.ScopeFamily, Fingerprint: r.Identity.Family, RecordedMs: at, Count: family.Crashes})
	}
	return request.Crashes
}

// keyOf returns the key of a shared fact. It is the same at all instances, and for the time after the process that publishes
// it: a request that has crashed some endpoints is not to crash more because the instance that saw it was restarted.
func keyOf(prefix string, fp quarantine.Fingerprint) string {
	return fmt.Sprintf("%s%x", prefix, uint64(fp))
}

// RecordAnswered implements forward.Suspects.
func (s *suspects) RecordAnswered(id quarantine.Identity) {
	if request := s.RequestAnswered(id.Request); request.Crashes > 0 {
		s.n.publishShared(keyOf(factCrashes, id.Request), 0, crashReport{Request: id.Request}, quarantine.CrashTTL)
		if request.Refuses(quarantine.ScopeRequest) {
			s.storeLater(requestRecord{Scope: quarantine.ScopeRequest, Fingerprint: id.Request, RecordedMs: s.n.wall.Now().UnixMilli()})
		}
	}
	s.recordFamilyAnswered(id.Family)
}

// recordFamilyAnswered records that an endpoint has answered a request of a family, or begun to.
func (s *suspects) recordFamilyAnswered(id quarantine.Fingerprint) {
	family := s.FamilyAnswered(id, time.Now())
	if family.Crashes == 0 {
		return
	}
	s.n.publishShared(keyOf(factAnswered, id), 0, answeredReport{Family: id}, quarantine.CrashTTL)
	if family.Refuses(quarantine.ScopeFamily) {
		s.storeLater(requestRecord{Scope: quarantine.ScopeFamily, Fingerprint: id, RecordedMs: s.n.wall.Now().UnixMilli()})
	}
}

// receive merges a crash report of a peer. Its age shortens the refusal that follows from it.
func (s *suspects) receive(f peer.Fact) {
	var report crashReport
	if err := cbor.Unmarshal(f.Value, &report); err != nil {
		s.n.log.WithError(err).WithField("peer", f.Origin).Warn("crash report from peer could not be decoded")
		return
	}
	if report.Crashes <= 0 {
		s.RequestAnswered(report.Request)
		return
	}
	at := publishedAt(f)
	s.MergeRequest(report.Request, quarantine.Count{Crashes: report.Crashes, Attributed: report.Attributed}, at)
	s.MergeFamily(report.Family, quarantine.Count{Crashes: report.FamilyCrashes, Attributed: true}, at)
}

// receiveAnswered merges a report of a peer that a request of a family was answered.
func (s *suspects) receiveAnswered(f peer.Fact) {
	var report answeredReport
	if err := cbor.Unmarshal(f.Value, &report); err != nil {
		s.n.log.WithError(err).WithField("peer", f.Origin).Warn("report of an answer from peer could not be decoded")
		return
	}
	s.MergeFamilyAnswered(report.Family, publishedAt(f))
}

// publishedAt returns the time of what a fact with the lifetime quarantine.CrashTTL reports.
func publishedAt(f peer.Fact) time.Time {
	return time.Now().Add(-max(0, quarantine.CrashTTL-f.TTL))
}

// receiveLegacy drops the count of an instance of an earlier build. It says so, since a deadly request that the other instance
// refuses may crash endpoints once more from here.
func (s *suspects) receiveLegacy(f peer.Fact) {
	s.n.metrics.scope.Counter("legacy_crash_counts").Inc(1)
	if s.legacyLines.Allow(time.Now()) {
		s.n.log.WithField("fact", f.Key).Warn("count of crashes by an earlier build not used: harmless requests may share its fingerprint")
	}
}
