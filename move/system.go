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
	publishInterval = time.Second            // of evidence, up to publishMembers members
	publishMembers  = 16                     // above, the interval grows with the members, so that the traffic doesn't
	freshIntervals  = 5                      // evidence is fresh up to this many publish intervals
	pausedAfter     = 3 * time.Second        // a longer gap between ticks means that the instance stood still
	maxPassed       = time.Second            // time on the ramp that one tick can add
	proposalStep    = 250 * time.Millisecond // delay of a proposal for each member that ranks higher
	maxProposalWait = 2 * time.Second
	repeatProposal  = time.Second
	readInterval    = 5 * time.Second // of an outcome object that is due, up to readMembers members
	readMembers     = 100
	maxClosing      = 4 // moves out of the configuration whose settlement waits for the store, per service
)

// Attempt is the outcome of an attempt as evidence on its version.
type Attempt int

// Outcomes of an attempt.
const (
	OK     Attempt = iota
	Failed         // by the version: wrong status, broken stream, time-out, crash of an endpoint whose instance stays
	// Excluded attempts say nothing on the version: the endpoint was leaving or reclaimed, the caller gave up, or a
	// quarantined request crashed the endpoint.
	Excluded
)

// Result is the result of one attempt of this instance.
type Result struct {
	Service    string
	Version    string
	Route      string
	Outcome    Attempt
	FirstToken time.Duration // plain services: time to the complete answer; 0: not measured
	PerToken   time.Duration // 0: not measured
	Load       int           // attempts in flight at the endpoint at dispatch, this one not counted
}

// Settings of a System.
type Settings struct {
	Self string // member ID
	// Epoch differs between the starts of an instance, whose counters restart at zero. The member's incarnation at
	// start will do.
	Epoch uint64
}

// Fact is a value to publish to the peers.
type Fact struct {
	Key   string
	Value []byte
	TTL   time.Duration
}

// Object names the outcome object move/<service>/<move id>.
type Object struct {
	Service string
	Move    string
}

// Output is what a tick asks for.
type Output struct {
	// Shares holds those of each configured service. It must not be changed; it is the same map as that of the last
	// tick when no share changed.
	Shares    map[string][]table.Share
	Facts     []Fact
	Proposals []Record // to be created conditionally, and the winner passed to Recorded
	Reads     []Object // to be read, and the result passed to Recorded
}

// System runs the moves of all services on one instance.
type System struct {
	set      Settings
	services map[string]*service
	members  []string // entry instances that should exist, this one included
	heard    map[string]time.Time
	lastTick time.Time
	woken    bool // stood still and has no fresh evidence since
	beatAt   time.Time
	beats    uint64
	queued   []Fact
	early    map[string]earlyFact // facts on moves that aren't configured here yet
	moving   []string             // services with a move, sorted, so that the output doesn't depend on map order
	shares   map[string][]table.Share
	changed  map[string][]table.Share // since the last tick; nil: removed
}

type service struct {
	config  *config.Service
	current *tracker
	closing []*tracker
	proven  string // effective From of the current move; empty: the plan's
}

// New returns a System without services.
func New(set Settings) *System {
	return &System{set: set, services: map[string]*service{}, heard: map[string]time.Time{}, early: map[string]earlyFact{},
		shares: map[string][]table.Share{}, changed: map[string][]table.Share{}}
}

// SetMembers names the entry instances that should exist, by the instance list and the peers, whether reachable or
// not. A share rises only with recent evidence of at least half of the others.
func (s *System) SetMembers(ids []string) {
	s.members = slices.Clone(ids)
}

// Configure takes over the accepted configuration of a service. A move that is replaced before it was decided is
// settled as superseded. When the replacing move starts from the new version of such a move, it starts from that
// move's old version instead, because only that one has proved itself.
func (s *System) Configure(now time.Time, svc *config.Service) {
	x := s.services[svc.Name]
	if x == nil {
		x = &service{}
		s.services[svc.Name] = x
	}
	x.config = svc
	defer s.index(svc.Name)
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
	if x.proven != "" {
		m.From = x.proven
	}
	x.current = newTracker(svc.Name, &m, len(svc.Routes), now)
	s.replayEarly(now)
}

func (x *service) replace(now time.Time) {
	old := x.current
	x.current, x.proven = nil, ""
	reason := "no move is configured any more"
	if x.config.Move != nil {
		reason = "replaced by move " + x.config.Move.ID
	}
	if !old.successful() && x.config.Move != nil && x.config.Move.From == old.plan.move.To {
		x.proven = old.plan.move.From
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

// Remove drops a service that is no longer configured.
func (s *System) Remove(name string) {
	delete(s.services, name)
	s.index(name)
}

// index brings the list of moving services and the shares up to date for a service.
func (s *System) index(name string) {
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

// publishShares applies the changes to a copy, because the map of the last tick may be in use.
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

// Observe counts an attempt of this instance.
func (s *System) Observe(now time.Time, r Result) {
	if x := s.services[r.Service]; x != nil && x.current != nil {
		x.current.observe(now, r)
	}
}

// Watching returns the old version of a done move of the service while it must be kept, and until when.
func (s *System) Watching(now time.Time, name string) (version string, until time.Time, ok bool) {
	x := s.services[name]
	if x == nil || x.current == nil || !x.current.watching(now) {
		return "", time.Time{}, false
	}
	t := x.current
	return t.plan.move.From, t.watchEnd(), true
}

// Recorded takes over an outcome object, nil when it doesn't exist. The store's answer is authoritative.
func (s *System) Recorded(now time.Time, o Object, r *Record) {
	x := s.services[o.Service]
	if x == nil {
		return
	}
	for _, t := range x.trackers() {
		switch {
		case o.Move == t.id() && r != nil:
			s.recorded(now, x, t, r)
		case o.Move == t.backID():
			t.recordBack(r)
		}
	}
	x.closing = slices.DeleteFunc(x.closing, func(t *tracker) bool { return t.pending(now) == nil })
}

func (s *System) recorded(now time.Time, x *service, t *tracker, r *Record) {
	if t.recorded != nil {
		return
	}
	t.record(now, r)
	s.publish(keySettled, settledFact{Service: t.service, Move: t.id(), Outcome: r.Outcome}, t.service, t.id())
	if t.closing && r.Outcome == Done && x.current != nil && x.proven != "" {
		x.proven = ""
		s.restart(now, x)
	}
}

// restart starts the current move over from the version that its plan names.
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

// Tick advances all moves.
func (s *System) Tick(now time.Time) Output {
	passed := s.passed(now)
	fresh := s.fresh(now)
	if fresh {
		s.woken = false
	}
	var out Output
	beat := !now.Before(s.beatAt)
	active := false
	for _, name := range s.moving {
		x := s.services[name]
		for _, t := range x.trackers() {
			if t.step(now, passed, fresh, s.woken) {
				s.publish(keyAbort, abortFact{Service: t.service, Move: t.id(), Reason: t.abort}, t.service, t.id())
			}
			s.settle(now, t, &out)
			active = active || !t.finished(now)
			if beat {
				s.publishEvidence(t)
			}
		}
		if shares := x.shares(); !slices.Equal(shares, s.shares[name]) {
			s.changed[name] = shares
		}
	}
	if beat {
		s.beatAt = now.Add(s.interval())
		s.beat(active)
	}
	out.Shares = s.publishShares()
	out.Facts, s.queued = s.queued, nil
	return out
}

func (s *System) passed(now time.Time) time.Duration {
	passed := now.Sub(s.lastTick)
	if !s.lastTick.IsZero() && passed > pausedAfter {
		s.woken = true
		clear(s.heard)
	}
	s.lastTick = now
	return min(max(passed, 0), maxPassed)
}

func (x *service) shares() []table.Share {
	t := x.current
	if t == nil {
		return []table.Share{{Version: x.config.Serve, Part: 1}}
	}
	return []table.Share{
		{Version: t.plan.move.From, Part: 1 - t.share},
		{Version: t.plan.move.To, Part: t.share},
	}
}

// interval is the time between publications of this instance.
func (s *System) interval() time.Duration {
	return publishInterval * time.Duration(max(1, (len(s.members)+publishMembers-1)/publishMembers))
}

// fresh reports whether at least half of the other members have been heard recently.
func (s *System) fresh(now time.Time) bool {
	others, heard := 0, 0
	for _, m := range s.members {
		if m == s.set.Self {
			continue
		}
		others++
		if at, ok := s.heard[m]; ok && now.Sub(at) <= freshIntervals*s.interval() {
			heard++
		}
	}
	return 2*heard >= others
}

// settle adds the proposals and reads that are due. The members propose one after the other by rendezvous order, so
// that usually only one writes; each of them may.
func (s *System) settle(now time.Time, t *tracker, out *Output) {
	if r := t.pending(now); r != nil {
		if t.proposeAt.IsZero() {
			t.proposeAt = now.Add(s.rankDelay(t))
		}
		if !now.Before(t.proposeAt) {
			p := *r
			p.By = s.set.Self
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
	if t.recorded != nil || t.decided != nil || t.abort != "" || !due.After(now.Add(every)) {
		return now.Add(every)
	}
	return due
}

func (s *System) rankDelay(t *tracker) time.Duration {
	order := rendezvous.Top(FactPrefix+t.service+"/"+t.id(), s.members, len(s.members))
	rank := max(slices.Index(order, s.set.Self), 0)
	return min(time.Duration(rank)*proposalStep, maxProposalWait)
}

func marshal(v any) []byte {
	raw, err := cbor.Marshal(v)
	if err != nil {
		// The facts of this package hold only types that CBOR can encode.
		panic(oops.Wrapf(err, "move: encode fact"))
	}
	return raw
}
