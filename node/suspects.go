package node

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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
	// factCrashes and factAnswered are the key prefixes of facts about crashes of endpoints, and about requests that were
	// answered although they had been on crashed endpoints.
	factCrashes  = "crashed/"
	factAnswered = "answered/"
	// factLegacyCrash is the key prefix of the counts of builds up to 0694119. Their fingerprints left out the host and some
	// fields of the body, so that a harmless request may have the fingerprint of a deadly one.
	factLegacyCrash = "crash/"
	// confirmDelay leaves an endpoint that has crashed time to close its listener; it restarts only after seconds.
	confirmDelay = 50 * time.Millisecond
	// connectionSpacing is the time before a request was sent on an open connection at which the endpoint counts as running.
	// The end of connections to endpoints that are lost together takes less time to arrive.
	connectionSpacing = 250 * time.Millisecond
	// maxTrialWait bounds the time for which a suspect waits until another one that this instance sends to the same service has
	// begun or ended. It is also bounded by trialWaitShare of the time that its caller waits.
	maxTrialWait   = 500 * time.Millisecond
	trialWaitShare = 0.25
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

	trials    map[string]chan struct{}         // by service: holds an element while a suspect is sent
	announced map[quarantine.Subject]time.Time // by refusal: the latest crash for which it was logged and stored
}

type lostRequest struct {
	forward.Loss
	ended time.Time
}

// crashReport reports the crash of an endpoint, whose time is that of the report.
type crashReport struct {
	Endpoint string          `cbor:"1,keyasint"`
	Accused  []accusedReport `cbor:"2,keyasint"`
}

// accusedReport is a request that may have caused the crash.
type accusedReport struct {
	Request  quarantine.Fingerprint `cbor:"1,keyasint"`
	Family   quarantine.Fingerprint `cbor:"2,keyasint"`
	RanMs    int64                  `cbor:"3,keyasint"` // from the time at which the endpoint is known to have run until the crash
	HadBegun bool                   `cbor:"4,keyasint,omitempty"`
}

// maxReportAccused bounds the requests in a report to 8 KiB. Those that had not begun come first.
const maxReportAccused = 256

// answeredReport reports that an endpoint has answered a request with crashes, or one of a family, or begun to.
type answeredReport struct {
	IsFamily    bool                   `cbor:"1,keyasint,omitempty"`
	Fingerprint quarantine.Fingerprint `cbor:"2,keyasint"`
}

func newSuspects(n *Node) *suspects {
	return &suspects{
		Crashes: quarantine.NewCrashes(), n: n, blocks: quarantine.NewBlocks(), lost: map[*fleet.Endpoint][]lostRequest{},
		toStore: make(chan suspectRecord, 3*refusedKeys), stored: map[string]suspectRecord{},
		peerChecks: make(chan struct{}, maxPeerChecks), legacyLines: loglimit.Limit{Lines: 1},
		trials: map[string]chan struct{}{}, announced: map[quarantine.Subject]time.Time{},
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

// BeginTrial implements forward.Suspects. Suspects that are sent one at a time are not lost in the same crash, so that it shows
// which of them is the cause.
func (s *suspects) BeginTrial(ctx context.Context, service string) (end func()) {
	s.mu.Lock()
	slot := s.trials[service]
	if slot == nil {
		slot = make(chan struct{}, 1)
		s.trials[service] = slot
	}
	s.mu.Unlock()
	wait := maxTrialWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Duration(trialWaitShare*float64(time.Until(deadline))))
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	// Suspects that come at the same time at several instances are spread over the time that a short request takes several times.
	select {
	case <-time.After(rand.N(max(1, wait/2))):
	case <-ctx.Done():
	}
	select {
	case slot <- struct{}{}:
		return sync.OnceFunc(func() { <-slot })
	case <-timeout.C:
	case <-ctx.Done():
	}
	return func() {}
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

// confirmCrash finds out why the connections to an endpoint were lost, and reports a crash.
func (s *suspects) confirmCrash(e *fleet.Endpoint) {
	found, err := s.checkLost(e)
	s.mu.Lock()
	defer s.mu.Unlock()
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
	notBegun, known := 0, s.Len()
	var blocks []quarantine.Fingerprint
	for _, r := range lost {
		if !r.Begun {
			notBegun++
			blocks = append(blocks, fingerprints(e.Service, r.Shared)...)
		}
	}
	s.reportCrash(e, lost)
	s.recordCrash(e, blocks, lost[0].ended)
	s.n.metrics.scope.Counter("endpoint_crashes").Inc(1)
	log.WithFields(logrus.Fields{"not_begun": notBegun, "known": known}).Info("endpoint crashed; the requests on it are suspected")
}

// reportCrash records a crash and publishes it, for the time after this process as well: a request that has crashed some
// endpoints is not to crash more because the instance that saw it was restarted. The caller must hold s.mu.
func (s *suspects) reportCrash(e *fleet.Endpoint, lost []lostRequest) {
	crash := quarantine.Report{Endpoint: e.ID, At: lost[0].ended}
	report := crashReport{Endpoint: e.ID}
	slices.SortStableFunc(lost, func(a, b lostRequest) int { return cmp.Compare(order(a.Generating), order(b.Generating)) })
	for _, r := range lost[:min(len(lost), maxReportAccused)] {
		since := r.Sent
		if !r.Opened {
			since = r.Sent.Add(-connectionSpacing)
		}
		crash.Accused = append(crash.Accused, quarantine.Accused{Identity: r.Identity, Since: since, HadBegun: r.Generating})
		report.Accused = append(report.Accused, accusedReport{
			Request: r.Identity.Request, Family: r.Identity.Family, RanMs: crash.At.Sub(since).Milliseconds(), HadBegun: r.Generating,
		})
	}
	now := time.Now()
	s.Record(crash, true, now)
	key := fmt.Sprintf("%s%s/%s/%x", factCrashes, e.ID, s.n.process, crash.At.UnixMilli())
	s.n.publishShared(key, 0, report, quarantine.CrashTTL-now.Sub(crash.At))
	time.AfterFunc(quarantine.SettleTime, s.announceRefusals)
}

func order(last bool) int {
	if last {
		return 1
	}
	return 0
}

// announceRefusals logs and stores what is refused from now on because of a crash that this instance has seen, and what of that
// is refused no longer.
func (s *suspects) announceRefusals() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.announced, func(_ quarantine.Subject, latest time.Time) bool { return now.Sub(latest) >= quarantine.CrashTTL })
	refused := map[quarantine.Subject]bool{}
	for _, r := range s.AllRefused(now) {
		refused[r.Subject] = true
		if !r.IsOwn || !r.Latest.After(s.announced[r.Subject]) {
			continue
		}
		s.announced[r.Subject] = r.Latest
		s.n.metrics.scope.Tagged(map[string]string{"scope": string(r.Scope)}).Counter("refusals_begun").Inc(1)
		s.n.log.WithFields(logrus.Fields{"scope": r.Scope, "crashes": r.Crashes, "fingerprint": fmt.Sprintf("%x", uint64(r.Fingerprint))}).
			Warn("requests that crash endpoints are refused")
		s.storeLater(s.recordOf(r, now))
	}
	for subject := range s.announced {
		if !refused[subject] { // it was answered, or another request explains its crashes
			s.withdrawRefusal(subject)
		}
	}
}

// withdrawRefusal stores that a refusal of which this instance has stored a record has ended early. The caller must hold s.mu.
func (s *suspects) withdrawRefusal(subject quarantine.Subject) {
	delete(s.announced, subject)
	s.n.log.WithFields(logrus.Fields{"scope": subject.Scope, "fingerprint": fmt.Sprintf("%x", uint64(subject.Fingerprint))}).
		Info("requests are served again: they did not crash endpoints")
	s.storeLater(requestRecord{Scope: subject.Scope, Fingerprint: subject.Fingerprint, RecordedMs: s.n.wall.Now().UnixMilli()})
}

// recordOf returns the record of a refusal, with the time of day of its latest crash.
func (s *suspects) recordOf(r quarantine.Refusal, now time.Time) requestRecord {
	return requestRecord{Scope: r.Scope, Fingerprint: r.Fingerprint, RecordedMs: s.n.wall.Now().Add(-now.Sub(r.Latest)).UnixMilli(), Count: r.Crashes}
}

// RecordAnswered implements forward.Suspects.
func (s *suspects) RecordAnswered(id quarantine.Identity) {
	request, family := s.Answered(id, time.Now())
	if request {
		s.publishAnswered(quarantine.Subject{Scope: quarantine.ScopeRequest, Fingerprint: id.Request})
	}
	if family {
		s.publishAnswered(quarantine.Subject{Scope: quarantine.ScopeFamily, Fingerprint: id.Family})
	}
}

// recordFamilyAnswered records that an endpoint has begun to answer a request of a family.
func (s *suspects) recordFamilyAnswered(family quarantine.Fingerprint) {
	if s.FamilyAnswered(family, time.Now()) {
		s.publishAnswered(quarantine.Subject{Scope: quarantine.ScopeFamily, Fingerprint: family})
	}
}

// publishAnswered reports that a request, or one of a family, was answered. What it was accused of, another request has caused.
func (s *suspects) publishAnswered(subject quarantine.Subject) {
	key := fmt.Sprintf("%s%s/%x", factAnswered, subject.Scope, uint64(subject.Fingerprint))
	s.n.publishShared(key, 0, answeredReport{IsFamily: subject.Scope == quarantine.ScopeFamily, Fingerprint: subject.Fingerprint}, quarantine.CrashTTL)
	s.announceRefusals()
}

// receive merges a crash report of a peer. Its age shortens the refusals that follow from it.
func (s *suspects) receive(f peer.Fact) {
	var report crashReport
	if err := cbor.Unmarshal(f.Value, &report); err != nil {
		s.n.log.WithError(err).WithField("peer", f.Origin).Warn("crash report from peer could not be decoded")
		return
	}
	crash := quarantine.Report{Endpoint: report.Endpoint, At: publishedAt(f)}
	for _, a := range report.Accused {
		ran := time.Duration(min(max(0, a.RanMs), quarantine.CrashTTL.Milliseconds())) * time.Millisecond
		crash.Accused = append(crash.Accused, quarantine.Accused{
			Identity: quarantine.Identity{Request: a.Request, Family: a.Family}, Since: crash.At.Add(-ran), HadBegun: a.HadBegun,
		})
	}
	s.Record(crash, false, time.Now())
	time.AfterFunc(quarantine.SettleTime, s.announceRefusals)
}

// receiveAnswered merges a report of a peer that a request, or one of a family, was answered.
func (s *suspects) receiveAnswered(f peer.Fact) {
	var report answeredReport
	if err := cbor.Unmarshal(f.Value, &report); err != nil {
		s.n.log.WithError(err).WithField("peer", f.Origin).Warn("report of an answer from peer could not be decoded")
		return
	}
	subject := quarantine.Subject{Scope: quarantine.ScopeRequest, Fingerprint: report.Fingerprint}
	if report.IsFamily {
		subject.Scope = quarantine.ScopeFamily
	}
	s.MergeAnswered(subject, publishedAt(f))
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
