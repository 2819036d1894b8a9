package move

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/rendezvous"
	"github.com/trefoillug/trefoillug/table"
)

// FactPrefix starts the key of each fact of this package.
const FactPrefix = "move/"

const (
	publishInterval = time.Second            // of evidence, with up to publishMembers members
	publishMembers  = 16                     // with more, the interval grows in proportion, to limit the traffic
	freshIntervals  = 5                      // age in publish intervals up to which evidence is fresh
	pausedAfter     = 3 * time.Second        // a longer gap between ticks means that the instance was paused
	maxTickTime     = time.Second            // maximum ramp time that a tick adds
	proposalStep    = 250 * time.Millisecond // delay of a proposal for each member of a higher rank
	maxProposalWait = 2 * time.Second
	repeatProposal  = time.Second
	readInterval    = 5 * time.Second // of an outcome object that is due, with up to readMembers members
	readMembers     = 100
	maxClosing      = 4 // per service: replaced moves whose outcome isn't recorded yet
)

// AttemptOutcome is the outcome of an attempt, as evidence about its version.
type AttemptOutcome int

// Outcomes of an attempt.
const (
	OK AttemptOutcome = iota
	// Failed attempts failed because of the version: status of a server error, broken stream, time-out, endpoint crash on
	// a surviving instance.
	Failed
	// Excluded attempts are no evidence about the version: the endpoint was leaving or reclaimed, the caller gave up,
	// or a quarantined request crashed the endpoint.
	Excluded
	// Unsuccessful attempts got a complete answer that is no success, such as 404. It may be right for the request, so
	// it counts against a version only if the other one gives fewer.
	Unsuccessful
)

// Result describes one finished attempt of this instance.
type Result struct {
	Service    string
	Version    string
	Route      string
	Outcome    AttemptOutcome
	FirstToken time.Duration // plain services: time to the complete answer; 0: not measured
	PerToken   time.Duration // 0: not measured
	Load       int           // attempts in flight at the endpoint at dispatch, without this one
}

// Settings configures a System.
type Settings struct {
	MemberID string // member ID of this instance
	// Epoch must differ between the starts of an instance, because its counters restart at zero. The member's
	// incarnation at start is suitable.
	Epoch uint64
}

// Fact is a value to publish to the peers. A TTL of 0 means that it doesn't expire.
type Fact struct {
	Key   string
	Value []byte
	TTL   time.Duration
}

// Object identifies the outcome object move/<service>/<move id>.
type Object struct {
	Service string
	Move    string
}

// Output is what the caller must apply, publish, write and read after a tick.
type Output struct {
	// Shares holds the shares of each configured service. The caller must not modify the map, which is the same as that
	// of the last tick when no share has changed.
	Shares    map[string][]table.Share
	Facts     []Fact
	Proposals []Record // to create conditionally; the record that exists afterwards goes to ApplyRecord
	Reads     []Object // to read; the result goes to ApplyRecord
}

// System runs the moves of all services on one instance.
type System struct {
	settings       Settings
	services       map[string]*service
	members        []string             // entry instances that should exist, including this one
	lastReports    map[string]time.Time // by member: time of the last heartbeat
	lastTick       time.Time
	resumed        bool // this instance was paused and has had no fresh evidence since
	publishAt      time.Time
	heartbeatCount uint64
	queued         []Fact
	early          map[string]earlyFact // by kind, service, move and, for evidence, origin and route
	moving         []string             // names of services with a move, sorted to make the output deterministic
	shares         map[string][]table.Share
	changed        map[string][]table.Share // since the last tick; nil: removed
}

type service struct {
	config     *config.Service
	current    *tracker
	closing    []*tracker // replaced moves that still have a record to propose
	provenFrom string     // version that the current move starts from, if not the plan's From
}

// New returns a System without services.
func New(set Settings) *System {
	return &System{settings: set, services: map[string]*service{}, lastReports: map[string]time.Time{},
		early: map[string]earlyFact{}, shares: map[string][]table.Share{}, changed: map[string][]table.Share{}}
}

// SetMembers sets the entry instances that should exist according to the instance list and the peers, whether reachable
// or not. A share rises only with recent evidence of at least half of the others.
func (s *System) SetMembers(ids []string) {
	s.members = slices.Clone(ids)
}

// Configure applies the accepted configuration of a service. A move that is replaced before it is decided is settled
// as superseded. If the next move starts from the new version of an unsuccessful move, it starts from that move's old
// version instead, because the new one hasn't been shown to be sound.
func (s *System) Configure(now time.Time, svc *config.Service) {
	x := s.services[svc.Name]
	if x == nil {
		x = &service{}
		s.services[svc.Name] = x
	}
	x.config = svc
	defer s.updateIndex(svc.Name)
	if x.current != nil && (svc.Move == nil || svc.Move.ID != x.current.id()) {
		x.replace(now)
	}
	if svc.Move == nil {
		return
	}
	if x.current != nil {
		m := *svc.Move
		m.From = x.current.plan.move.From
		x.current.setPlan(&m, len(svc.Routes))
		return
	}
	m := *svc.Move
	if x.provenFrom != "" {
		m.From = x.provenFrom
	}
	x.current = newTracker(svc.Name, &m, len(svc.Routes), now)
	s.replayEarly(now)
}

func (x *service) replace(now time.Time) {
	old := x.current
	x.current, x.provenFrom = nil, ""
	reason := "no move is configured any more"
	if x.config.Move != nil {
		reason = "replaced by move " + x.config.Move.ID
	}
	if !old.successful() && x.config.Move != nil && x.config.Move.From == old.plan.move.To {
		x.provenFrom = old.plan.move.From
	}
	old.supersede(now, reason)
	if old.pending(now) == nil {
		return
	}
	x.closing = append(x.closing, old)
	if len(x.closing) > maxClosing {
		x.closing = x.closing[1:]
	}
}

// Remove removes a service that is no longer configured.
func (s *System) Remove(name string) {
	delete(s.services, name)
	s.updateIndex(name)
}

// updateIndex updates the list of services with a move, and the shares, for one service.
func (s *System) updateIndex(name string) {
	x := s.services[name]
	i, found := slices.BinarySearch(s.moving, name)
	moving := x != nil && (x.current != nil || len(x.closing) > 0)
	switch {
	case moving && !found:
		s.moving = slices.Insert(s.moving, i, name)
	case !moving && found:
		s.moving = slices.Delete(s.moving, i, i+1)
	}
	s.changed[name] = nil
	if x != nil {
		s.changed[name] = x.shares()
	}
}

// publishShares returns the shares of all services. It applies changes to a copy, because the caller may still use the
// map of the last tick.
func (s *System) publishShares() map[string][]table.Share {
	if len(s.changed) == 0 {
		return s.shares
	}
	s.shares = maps.Clone(s.shares)
	for name, shares := range s.changed {
		if shares == nil {
			delete(s.shares, name)
		} else {
			s.shares[name] = shares
		}
	}
	clear(s.changed)
	return s.shares
}

// Observe counts a finished attempt of this instance.
func (s *System) Observe(now time.Time, r Result) {
	if x := s.services[r.Service]; x != nil && x.current != nil {
		x.current.observe(now, r)
	}
}

// WatchPeriod returns the old version of a service whose move is done, and until when it must be kept. It returns false
// outside the watch period.
func (s *System) WatchPeriod(now time.Time, name string) (version string, until time.Time, ok bool) {
	x := s.services[name]
	if x == nil || x.current == nil || !x.current.watching(now) {
		return "", time.Time{}, false
	}
	t := x.current
	return t.plan.move.From, t.watchEnd(), true
}

// ApplyRecord applies the content of an outcome object read from the store; r is nil if the object doesn't exist. A
// record overrides the decision of this instance.
func (s *System) ApplyRecord(now time.Time, o Object, r *Record) {
	x := s.services[o.Service]
	if x == nil {
		return
	}
	for _, t := range x.trackers() {
		switch {
		case o.Move == t.id() && r != nil:
			s.applyRecord(now, x, t, r)
		case o.Move == t.backID():
			t.setRecordedBack(r)
		}
	}
	x.closing = slices.DeleteFunc(x.closing, func(t *tracker) bool { return t.pending(now) == nil })
}

func (s *System) applyRecord(now time.Time, x *service, t *tracker, r *Record) {
	if t.recorded != nil {
		return
	}
	t.setRecorded(now, r)
	s.publish(keySettled, settledFact{Service: t.service, Move: t.id(), Outcome: r.Outcome}, t.service, t.id())
	if t.unconfigured && r.Outcome == Done && x.current != nil && x.provenFrom != "" {
		x.provenFrom = ""
		s.restart(now, x)
	}
}

// restart resets the current move, so that it starts from the From of its plan.
func (s *System) restart(now time.Time, x *service) {
	if x.current.recorded == nil {
		x.current = newTracker(x.config.Name, x.config.Move, len(x.config.Routes), now)
	}
}

func (x *service) trackers() []*tracker {
	if x.current == nil {
		return slices.Clone(x.closing)
	}
	return append(slices.Clone(x.closing), x.current)
}

// Tick advances all moves and returns what is to be done.
func (s *System) Tick(now time.Time) Output {
	elapsed := s.sinceLastTick(now)
	fresh := s.evidenceFresh(now)
	if fresh {
		s.resumed = false
	}
	var out Output
	publishDue := !now.Before(s.publishAt)
	active := false
	for _, name := range s.moving {
		x := s.services[name]
		for _, t := range x.trackers() {
			if t.step(now, elapsed, fresh, s.resumed) {
				s.publish(keyAbort, abortFact{Service: t.service, Move: t.id(), Reason: t.abortReason}, t.service, t.id())
			}
			s.proposeAndRead(now, t, &out)
			active = active || !t.finished(now)
			if publishDue {
				s.publishEvidence(t)
			}
		}
		if shares := x.shares(); !slices.Equal(shares, s.shares[name]) {
			s.changed[name] = shares
		}
	}
	if publishDue {
		s.publishAt = now.Add(s.interval())
		s.publishHeartbeat(active)
	}
	out.Shares = s.publishShares()
	out.Facts, s.queued = s.queued, nil
	return out
}

func (s *System) sinceLastTick(now time.Time) time.Duration {
	elapsed := now.Sub(s.lastTick)
	if !s.lastTick.IsZero() && elapsed > pausedAfter {
		s.resumed = true
		clear(s.lastReports)
	}
	s.lastTick = now
	return min(max(elapsed, 0), maxTickTime)
}

func (x *service) shares() []table.Share {
	t := x.current
	if t == nil {
		return []table.Share{{Version: x.config.ServingVersion, Fraction: 1}}
	}
	return []table.Share{
		{Version: t.plan.move.From, Fraction: 1 - t.share},
		{Version: t.plan.move.To, Fraction: t.share},
	}
}

// interval returns the time between publications of this instance.
func (s *System) interval() time.Duration {
	return publishInterval * time.Duration(max(1, (len(s.members)+publishMembers-1)/publishMembers))
}

// evidenceFresh reports whether at least half of the other members have sent a recent heartbeat.
func (s *System) evidenceFresh(now time.Time) bool {
	others, reporting := 0, 0
	for _, m := range s.members {
		if m == s.settings.MemberID {
			continue
		}
		others++
		if at, ok := s.lastReports[m]; ok && now.Sub(at) <= freshIntervals*s.interval() {
			reporting++
		}
	}
	return 2*reporting >= others
}

// proposeAndRead adds the proposals and reads that are due to out. The members propose one after the other in
// rendezvous order, so that usually only one writes, although each of them may.
func (s *System) proposeAndRead(now time.Time, t *tracker, out *Output) {
	if r := t.pending(now); r != nil {
		if t.proposeAt.IsZero() {
			t.proposeAt = now.Add(s.proposalDelay(t))
		}
		if !now.Before(t.proposeAt) {
			p := *r
			p.By = s.settings.MemberID
			out.Proposals = append(out.Proposals, p)
			t.proposeAt = now.Add(repeatProposal)
		}
	}
	if now.Before(t.readAt) {
		return
	}
	switch {
	case t.recorded == nil:
		out.Reads = append(out.Reads, Object{Service: t.service, Move: t.id()})
	case t.doneRecorded() && !t.backRead:
		out.Reads = append(out.Reads, Object{Service: t.service, Move: t.backID()})
	}
	t.readAt = s.nextRead(now, t)
}

func (s *System) nextRead(now time.Time, t *tracker) time.Time {
	every := readInterval * time.Duration(max(1, len(s.members)/readMembers))
	due := t.plan.decideAt()
	if t.recorded != nil || t.decided != nil || t.abortReason != "" || !due.After(now.Add(every)) {
		return now.Add(every)
	}
	return due
}

func (s *System) proposalDelay(t *tracker) time.Duration {
	order := rendezvous.Top(FactPrefix+t.service+"/"+t.id(), s.members, len(s.members))
	rank := max(slices.Index(order, s.settings.MemberID), 0)
	return min(time.Duration(rank)*proposalStep, maxProposalWait)
}

func marshal(v any) []byte {
	raw, err := cbor.Marshal(v)
	if err != nil {
		// Unreachable: the facts of this package hold only types that CBOR can encode.
		panic(oops.Wrapf(err, "move: encode fact"))
	}
	return raw
}
