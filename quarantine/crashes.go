package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxCrashes is the number of crashes after which a request is refused if it was the only possible cause of each. The
	// requirement allows three, and another instance may already be running the request for the third time when the second
	// crash is counted.
	maxCrashes = 2
	// maxSharedCrashes is that number if other requests may have caused some of the crashes, but none of them all. An instance
	// that was killed does not report what it had on the endpoint, so one crash with a single possible cause is not enough.
	// Two deadly requests at a time can each crash an endpoint that a harmless one is on, which three crashes don't rule out.
	maxSharedCrashes = 4
	// maxTiedCrashes is that number if another request may have caused all of the crashes as well. Suspects are sent one at a
	// time, so that two requests hardly go on being lost together by chance.
	maxTiedCrashes = 5
	// maxFamilyCrashes is the number of crashes, each by other requests of a family, with no answer to any request of the
	// family in between, after which all of them are refused.
	maxFamilyCrashes = 3
	// familyProbeDelay is the time after the latest crash of a family that is refused after which one of its requests may be
	// let through, since endpoints that failed for other reasons can't answer any. Each further crash makes the time
	// probeBackoff times as long.
	familyProbeDelay = 15 * time.Second
	// CrashTTL is how long a crash counts. A request that was on crashed endpoints only by chance is served again
	// after it.
	CrashTTL = 2 * time.Minute
	// SettleTime is the time in which the reports of the other instances arrive, which say what else was on a crashed endpoint.
	SettleTime = 300 * time.Millisecond
	// maxCrashRecords bounds the recorded crashes, maxAccused the requests of each, and maxCleared the answers to requests
	// that had crashes.
	maxCrashRecords = 512
	maxAccused      = 1024
	maxCleared      = 10_000
)

// Scope is what a refusal is about.
type Scope string

// Scopes of refusals.
const (
	ScopeRequest Scope = "request" // the fingerprint is Identity.Request
	ScopeFamily  Scope = "family"  // the fingerprint is Identity.Family
)

// Subject is what is refused.
type Subject struct {
	Scope       Scope
	Fingerprint Fingerprint
}

// Refusal says why requests are refused.
type Refusal struct {
	Subject
	Crashes int
	Latest  time.Time // of the crashes
	IsOwn   bool      // this instance has seen one of the crashes
}

// Until returns when the refusal ends.
func (r Refusal) Until() time.Time { return r.Latest.Add(CrashTTL) }

// Accused is a request that may have caused a crash.
type Accused struct {
	Identity
	// Since is a time at which the endpoint ran, as late as is known. Crashes of endpoints that ran at the same time count
	// once for a request, because endpoints can be lost together.
	Since time.Time
	// HadBegun is set if the endpoint had begun to generate the answer. A request that crashes endpoints does so when its run
	// begins, so it is accused only if there is no other one.
	HadBegun bool
}

// Report is what an instance knows of the crash of an endpoint.
type Report struct {
	Endpoint string
	At       time.Time
	Accused  []Accused
}

// Crashes finds requests that crash the endpoints that run them, by the reports of all instances. It is meant for engines that
// run dozens of requests at once, where suspects can't be isolated as Table requires.
//
// A crash accuses the requests that were on the endpoint. An answer to one of them, anywhere, clears it. A request is refused
// for several crashes, one after the other, that no other refused request explains: for two if it was the only one accused
// of each, and for more if others were. What a refused request explains is held against no other one, so requests
// that ran beside a deadly one are served as soon as that is known. A family is refused if other requests of it crash
// endpoints each time.
//
// It is safe for concurrent use.
type Crashes struct {
	mu       sync.Mutex
	crashes  []*crashRecord                 // by the time of recording
	requests map[Fingerprint][]*crashRecord // of which a request is accused
	families map[Fingerprint][]*crashRecord
	// cleared holds when requests and families with crashes were answered last. Reports of earlier crashes may arrive later.
	cleared map[Subject]time.Time
	stored  map[Subject]Refusal // what earlier processes have refused
	probed  map[Fingerprint]time.Time
	faulty  map[Fingerprint]Refusal // the requests that are refused, until evaluated changes
	// evaluateAt is when faulty has to be determined again; zero: now.
	evaluateAt time.Time
}

type crashRecord struct {
	endpoint       string
	at, recordedAt time.Time
	isOwn          bool
	accused        map[Fingerprint]Accused // by request
}

// NewCrashes returns an empty record.
func NewCrashes() *Crashes {
	return &Crashes{
		requests: map[Fingerprint][]*crashRecord{}, families: map[Fingerprint][]*crashRecord{}, cleared: map[Subject]time.Time{},
		stored: map[Subject]Refusal{}, probed: map[Fingerprint]time.Time{}, faulty: map[Fingerprint]Refusal{},
	}
}

// Any reports whether any request is accused. While none is, callers needn't compute identities.
func (s *Crashes) Any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests) > 0 || len(s.stored) > 0
}

// Len returns the number of accused requests.
func (s *Crashes) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// Record records a crash. isOwn is set for one that this instance has seen.
func (s *Crashes) Record(r Report, isOwn bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if now.Sub(r.At) >= CrashTTL {
		return
	}
	c := s.crashOf(r, now)
	c.isOwn = c.isOwn || isOwn
	if r.At.Before(c.at) {
		c.at = r.At
	}
	for _, a := range r.Accused {
		_, known := c.accused[a.Request]
		if known || len(c.accused) >= maxAccused || !r.At.After(s.cleared[Subject{ScopeRequest, a.Request}]) {
			continue
		}
		c.accused[a.Request] = a
		s.requests[a.Request] = append(s.requests[a.Request], c)
		if !slices.Contains(s.families[a.Family], c) {
			s.families[a.Family] = append(s.families[a.Family], c)
		}
	}
	s.evaluateAt = time.Time{}
}

// crashOf returns the record of a crash, which several instances may report.
func (s *Crashes) crashOf(r Report, now time.Time) *crashRecord {
	for _, c := range s.crashes {
		if c.endpoint == r.Endpoint && r.At.Sub(c.at).Abs() < restartTime {
			return c
		}
	}
	if len(s.crashes) >= maxCrashRecords {
		s.remove(s.crashes[0])
	}
	c := &crashRecord{endpoint: r.Endpoint, at: r.At, recordedAt: now, accused: map[Fingerprint]Accused{}}
	s.crashes = append(s.crashes, c)
	return c
}

// expire drops what no longer counts.
func (s *Crashes) expire(now time.Time) {
	for len(s.crashes) > 0 && now.Sub(s.crashes[0].at) >= CrashTTL {
		s.remove(s.crashes[0])
	}
	maps.DeleteFunc(s.cleared, func(_ Subject, at time.Time) bool { return now.Sub(at) >= CrashTTL })
	maps.DeleteFunc(s.stored, func(_ Subject, r Refusal) bool { return !r.Until().After(now) })
	maps.DeleteFunc(s.probed, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) >= CrashTTL })
}

func (s *Crashes) remove(c *crashRecord) {
	s.crashes = slices.DeleteFunc(s.crashes, func(other *crashRecord) bool { return other == c })
	for request := range maps.Clone(c.accused) {
		s.acquit(c, request)
	}
}

// acquit removes a request from those accused of a crash.
func (s *Crashes) acquit(c *crashRecord, request Fingerprint) {
	family := c.accused[request].Family
	delete(c.accused, request)
	dropCrash(s.requests, request, c)
	if !slices.ContainsFunc(slices.Collect(maps.Values(c.accused)), func(a Accused) bool { return a.Family == family }) {
		dropCrash(s.families, family, c)
	}
	s.evaluateAt = time.Time{}
}

func dropCrash(index map[Fingerprint][]*crashRecord, fp Fingerprint, c *crashRecord) {
	rest := slices.DeleteFunc(index[fp], func(other *crashRecord) bool { return other == c })
	if index[fp] = rest; len(rest) == 0 {
		delete(index, fp)
	}
}

// Answered records that an endpoint has answered a request. It reports whether the request had crashes, and whether its family
// had, so that the peers have to know.
func (s *Crashes) Answered(id Identity, now time.Time) (request, family bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request = s.has(Subject{ScopeRequest, id.Request}); request {
		s.clearRequest(id.Request, now)
	}
	return request, s.familyAnswered(id.Family, now)
}

// FamilyAnswered records that an endpoint has answered a request of a family, or begun to. It reports whether the family had
// crashes.
func (s *Crashes) FamilyAnswered(family Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.familyAnswered(family, now)
}

func (s *Crashes) familyAnswered(family Fingerprint, now time.Time) bool {
	had := s.has(Subject{ScopeFamily, family})
	if had {
		s.clearFamily(family, now)
	}
	return had
}

// MergeAnswered merges the report of a peer that a request or one of a family was answered at a time.
func (s *Crashes) MergeAnswered(subject Subject, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if subject.Scope == ScopeFamily {
		s.clearFamily(subject.Fingerprint, at)
	} else {
		s.clearRequest(subject.Fingerprint, at)
	}
}

func (s *Crashes) has(subject Subject) bool {
	_, isStored := s.stored[subject]
	if subject.Scope == ScopeRequest {
		return isStored || len(s.requests[subject.Fingerprint]) > 0
	}
	cleared := s.cleared[subject]
	return isStored || slices.ContainsFunc(s.families[subject.Fingerprint], func(c *crashRecord) bool { return c.at.After(cleared) })
}

func (s *Crashes) clearRequest(request Fingerprint, at time.Time) {
	s.setCleared(Subject{ScopeRequest, request}, at)
	for _, c := range slices.Clone(s.requests[request]) {
		if !c.at.After(at) {
			s.acquit(c, request)
		}
	}
}

func (s *Crashes) clearFamily(family Fingerprint, at time.Time) {
	s.setCleared(Subject{ScopeFamily, family}, at)
}

func (s *Crashes) setCleared(subject Subject, at time.Time) {
	if r, ok := s.stored[subject]; ok && !r.Latest.After(at) {
		delete(s.stored, subject)
	}
	if _, known := s.cleared[subject]; known || len(s.cleared) < maxCleared {
		s.cleared[subject] = later(s.cleared[subject], at)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RefuseStored refuses what an earlier process has refused, until that refusal ends.
func (s *Crashes) RefuseStored(r Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Latest.After(s.cleared[r.Subject]) && r.Latest.After(s.stored[r.Subject].Latest) {
		s.stored[r.Subject] = r
	}
}

// IsSuspect reports whether a request may have crashed an endpoint before that had begun to answer it.
func (s *Crashes) IsSuspect(id Identity, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.requests[id.Request]) == 0 {
		return false
	}
	s.evaluate(now)
	return slices.ContainsFunc(s.requests[id.Request], func(c *crashRecord) bool {
		return now.Sub(c.at) < CrashTTL && !c.accused[id.Request].HadBegun && !s.isExplained(c, id.Request)
	})
}

// Refused returns why a request is refused, and false if it is not.
func (s *Crashes) Refused(id Identity, now time.Time) (Refusal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, subject := range []Subject{{ScopeRequest, id.Request}, {ScopeFamily, id.Family}} {
		if r, ok := s.refusal(subject, now); ok {
			return r, true
		}
	}
	return Refusal{}, false
}

func (s *Crashes) refusal(subject Subject, now time.Time) (r Refusal, ok bool) {
	switch {
	case subject.Scope == ScopeRequest && len(s.requests[subject.Fingerprint]) >= maxCrashes:
		s.evaluate(now)
		r, ok = s.faulty[subject.Fingerprint]
	case subject.Scope == ScopeFamily && len(s.families[subject.Fingerprint]) >= maxFamilyCrashes:
		s.evaluate(now)
		r, ok = s.familyRefusal(subject.Fingerprint)
	}
	if !ok {
		r, ok = s.stored[subject]
	}
	return r, ok && r.Until().After(now)
}

// AllRefused returns all refusals.
func (s *Crashes) AllRefused(now time.Time) []Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evaluate(now)
	all := maps.Clone(s.stored)
	for _, r := range s.faulty {
		all[r.Subject] = r
	}
	for family := range s.families {
		if r, ok := s.familyRefusal(family); ok {
			all[r.Subject] = r
		}
	}
	return slices.DeleteFunc(slices.Collect(maps.Values(all)), func(r Refusal) bool { return !r.Until().After(now) })
}

// IsProbeDue reports whether a request of a refused family may be let through, as one that shows whether the family still
// crashes endpoints. Of all instances, one should do so.
func (s *Crashes) IsProbeDue(family Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isProbeDue(family, now)
}

// BeginProbe records that a request of a refused family is let through, and returns false if none is due.
func (s *Crashes) BeginProbe(family Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isProbeDue(family, now) {
		return false
	}
	s.probed[family] = now
	return true
}

func (s *Crashes) isProbeDue(family Fingerprint, now time.Time) bool {
	r, ok := s.refusal(Subject{ScopeFamily, family}, now)
	if !ok {
		return false
	}
	delay := familyProbeDelay
	for n := maxFamilyCrashes; n < r.Crashes && delay < CrashTTL; n++ {
		delay *= probeBackoff
	}
	return now.Sub(later(r.Latest, s.probed[family])) >= delay
}
