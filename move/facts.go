package move

import (
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// Kinds of fact, the second segment of a key.
const (
	keyHeartbeat = "beat"
	keyAbort     = "abort"
	keyEvidence  = "evidence"
	keyAnswers   = "answers"
	keySettled   = "settled"
)

const (
	settledTTL            = time.Hour
	maxEarly              = 4096            // number of kept facts on moves that aren't configured yet
	earlyAbortTTL         = 24 * time.Hour  // how long an abort of a move that isn't configured yet is kept
	earlyEvidenceTTL      = 2 * time.Minute // the same for evidence
	heartbeatTTLIntervals = 4               // time to live of a heartbeat, in publish intervals
	maxReason             = 256             // bytes
	maxFactSize           = 16 << 10        // bytes
)

// abortFact announces an abort. It has no time to live and stays published.
type abortFact struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Move    string
	Reason  string
}

// settledFact announces that an outcome is recorded. Receivers read the outcome object, and use the fact itself only
// until the store answers.
type settledFact struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Move    string
	Outcome Outcome
}

// heartbeatFact shows that the origin is up and its published evidence up to date.
type heartbeatFact struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Count uint64
}

func (s *System) publish(kind string, v any, keyParts ...string) {
	ttl := time.Duration(0)
	if kind == keySettled {
		ttl = settledTTL
	}
	key := FactPrefix + kind + "/" + strings.Join(keyParts, "/")
	s.queued = append(s.queued, Fact{Key: key, Value: marshal(v), TTL: ttl})
}

// publishHeartbeat publishes a heartbeat of this instance if a move is in progress.
func (s *System) publishHeartbeat(active bool) {
	if !active {
		return
	}
	s.heartbeatCount++
	s.queued = append(s.queued, Fact{Key: FactPrefix + keyHeartbeat, TTL: heartbeatTTLIntervals * s.interval(),
		Value: marshal(heartbeatFact{Epoch: s.settings.Epoch, Count: s.heartbeatCount})})
}

// publishEvidence publishes the counters of this instance that have changed, one fact for each route.
func (s *System) publishEvidence(t *tracker) {
	epoch := strconv.FormatUint(s.settings.Epoch, 36)
	for _, r := range t.routes {
		if !r.dirty {
			continue
		}
		r.dirty = false
		f := routeFact{Service: t.service, Move: t.id(), Epoch: s.settings.Epoch, Route: r.name, Cells: encodeCells(&r.own)}
		s.publishFor(t, keyEvidence, epoch, r.name, f)
		a := answersFact{Service: t.service, Move: t.id(), Epoch: s.settings.Epoch, Route: r.name, Cells: encodeAnswers(&r.own)}
		s.publishFor(t, keyAnswers, epoch, r.name, a)
	}
}

// publishFor publishes evidence on a route, which the peers keep as long as it counts.
func (s *System) publishFor(t *tracker, kind, epoch, route string, v any) {
	s.queued = append(s.queued, Fact{Key: FactPrefix + kind + "/" + t.service + "/" + t.id() + "/" + epoch + "/" + route,
		Value: marshal(v), TTL: t.plan.length + t.plan.watchPeriod()})
}

// Receive applies a fact of another member. It returns an error and changes nothing when the value doesn't decode. It
// ignores facts of this instance, oversized values and unknown kinds.
func (s *System) Receive(now time.Time, origin, key string, value []byte) error {
	if origin == s.settings.MemberID || len(value) > maxFactSize {
		return nil
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(key, FactPrefix), "/")
	switch kind {
	case keyHeartbeat:
		var f heartbeatFact
		if err := cbor.Unmarshal(value, &f); err != nil {
			return oops.Wrapf(err, "move: decode heartbeat of %s", origin)
		}
		s.lastReports[origin] = now
	case keyAbort:
		return s.receiveAbort(now, origin, value)
	case keyEvidence:
		return s.receiveEvidence(now, origin, value)
	case keyAnswers:
		return s.receiveAnswers(now, origin, value)
	case keySettled:
		return s.receiveSettled(now, origin, value)
	}
	return nil
}

func (s *System) tracker(service, id string) *tracker {
	x := s.services[service]
	if x == nil {
		return nil
	}
	for _, t := range x.trackers() {
		if t.id() == id {
			return t
		}
	}
	return nil
}

func (s *System) receiveAbort(now time.Time, origin string, value []byte) error {
	var f abortFact
	if err := cbor.Unmarshal(value, &f); err != nil {
		return oops.Wrapf(err, "move: decode abort of %s", origin)
	}
	t := s.tracker(f.Service, f.Move)
	if t == nil {
		s.keepEarly(now, origin, keyAbort, f.Service, f.Move, value)
		return nil
	}
	if len(f.Reason) > maxReason || f.Reason == "" {
		f.Reason = "aborted by " + origin
	}
	if t.setAbort(now, f.Reason) {
		s.publish(keyAbort, f, f.Service, f.Move)
	}
	return nil
}

func (s *System) receiveEvidence(now time.Time, origin string, value []byte) error {
	var f routeFact
	if err := cbor.Unmarshal(value, &f); err != nil {
		return oops.Wrapf(err, "move: decode evidence of %s", origin)
	}
	if r := s.receivedFor(now, origin, keyEvidence, f.Service, f.Move, f.Route, value); r != nil {
		return r.merge(origin+"/"+strconv.FormatUint(f.Epoch, 36), f.Cells)
	}
	return nil
}

func (s *System) receiveAnswers(now time.Time, origin string, value []byte) error {
	var f answersFact
	if err := cbor.Unmarshal(value, &f); err != nil {
		return oops.Wrapf(err, "move: decode answers of %s", origin)
	}
	if r := s.receivedFor(now, origin, keyAnswers, f.Service, f.Move, f.Route, value); r != nil {
		return r.mergeAnswers(origin+"/"+strconv.FormatUint(f.Epoch, 36), f.Cells)
	}
	return nil
}

// receivedFor returns the evidence on the route that a received fact is about. It returns nil if the move has ended, or if it
// isn't configured here yet, for which the fact is kept.
func (s *System) receivedFor(now time.Time, origin, kind, service, id, route string, value []byte) *routeEvidence {
	t := s.tracker(service, id)
	if t == nil {
		s.keepEarly(now, origin, kind, service, id, value)
		return nil
	}
	if t.finished(now) {
		return nil
	}
	return t.route(route)
}

func (s *System) receiveSettled(now time.Time, origin string, value []byte) error {
	var f settledFact
	if err := cbor.Unmarshal(value, &f); err != nil {
		return oops.Wrapf(err, "move: decode outcome of %s", origin)
	}
	t := s.tracker(f.Service, f.Move)
	if t == nil || t.recorded != nil {
		return nil
	}
	t.peerOutcome = f.Outcome
	t.readAt = now
	return nil
}

// earlyFact is a fact on a move that isn't configured here yet. Facts can arrive before the configuration.
type earlyFact struct {
	origin string
	kind   string
	value  []byte
	until  time.Time
}

// keepEarly keeps the last abort of each move, and the last evidence of each origin, epoch and route. When there are maxEarly
// facts, an abort evicts all other kinds.
func (s *System) keepEarly(now time.Time, origin, kind, service, id string, value []byte) {
	f := earlyFact{origin: origin, kind: kind, value: value, until: now.Add(earlyEvidenceTTL)}
	key := kind + "/" + service + "/" + id
	switch kind {
	case keyAbort:
		f.until = now.Add(earlyAbortTTL)
	case keyEvidence:
		var r routeFact
		_ = cbor.Unmarshal(value, &r) // the caller has decoded it without error
		key += "/" + origin + "/" + strconv.FormatUint(r.Epoch, 36) + "/" + r.Route
	case keyAnswers:
		var a answersFact
		_ = cbor.Unmarshal(value, &a)
		key += "/" + origin + "/" + strconv.FormatUint(a.Epoch, 36) + "/" + a.Route
	}
	if len(s.early) >= maxEarly {
		s.evictEarly(now, kind == keyAbort)
	}
	if len(s.early) < maxEarly {
		s.early[key] = f
	}
}

func (s *System) evictEarly(now time.Time, forAbort bool) {
	for k, f := range s.early {
		if now.After(f.until) || forAbort && f.kind != keyAbort {
			delete(s.early, k)
		}
	}
}

func (s *System) replayEarly(now time.Time) {
	early := s.early
	s.early = map[string]earlyFact{}
	for _, f := range early {
		if now.After(f.until) {
			continue
		}
		// Merging is commutative, so the order doesn't matter. Only values that decode are kept.
		_ = s.Receive(now, f.origin, FactPrefix+f.kind, f.value)
	}
}
