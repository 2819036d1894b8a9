package move

import (
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// Kinds of fact, the second part of a key.
const (
	keyBeat     = "beat"
	keyAbort    = "abort"
	keyEvidence = "evidence"
	keySettled  = "settled"
)

const (
	settledTTL  = time.Hour
	maxEarly    = 4096           // facts on unknown moves that are kept
	earlyAborts = 24 * time.Hour // how long an abort is kept for a move that isn't configured yet
	earlyOthers = 2 * time.Minute
	beatFactor  = 4 // publish intervals that a beat lives
	maxReason   = 256
	maxFactSize = 16 << 10 // bytes
)

// abortFact announces an abort; it stays until replaced.
type abortFact struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Move    string
	Reason  string
}

// settledFact tells that an outcome is recorded. Receivers read the outcome object and use the fact only as long as
// the store doesn't answer.
type settledFact struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Move    string
	Outcome Outcome
}

// beatFact shows that the origin's evidence is up to date.
type beatFact struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Count uint64
}

func (s *System) publish(kind string, v any, parts ...string) {
	ttl := time.Duration(0)
	if kind == keySettled {
		ttl = settledTTL
	}
	key := FactPrefix + kind + "/" + strings.Join(parts, "/")
	s.queued = append(s.queued, Fact{Key: key, Value: marshal(v), TTL: ttl})
}

// beat publishes that this instance is up while a move is under way.
func (s *System) beat(active bool) {
	if !active {
		return
	}
	s.beats++
	s.queued = append(s.queued, Fact{Key: FactPrefix + keyBeat, TTL: beatFactor * s.interval(),
		Value: marshal(beatFact{Epoch: s.set.Epoch, Count: s.beats})})
}

// publishEvidence publishes the own counters that changed, a fact for each route.
func (s *System) publishEvidence(t *tracker) {
	epoch := strconv.FormatUint(s.set.Epoch, 36)
	for _, r := range t.routes {
		if !r.dirty {
			continue
		}
		r.dirty = false
		f := routeFact{Service: t.service, Move: t.id(), Epoch: s.set.Epoch, Route: r.name, Cells: encodeCells(&r.own)}
		s.queued = append(s.queued, Fact{Key: FactPrefix + keyEvidence + "/" + t.service + "/" + t.id() + "/" + epoch + "/" + r.name,
			Value: marshal(f), TTL: t.plan.length + t.plan.watch()})
	}
}

// Receive takes over a fact of another member. It fails on a value that doesn't decode and then changes nothing.
func (s *System) Receive(now time.Time, origin, key string, value []byte) error {
	if origin == s.set.Self || len(value) > maxFactSize {
		return nil
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(key, FactPrefix), "/")
	switch kind {
	case keyBeat:
		var f beatFact
		if err := cbor.Unmarshal(value, &f); err != nil {
			return oops.Wrapf(err, "move: beat of %s", origin)
		}
		s.heard[origin] = now
	case keyAbort:
		return s.receiveAbort(now, origin, value)
	case keyEvidence:
		return s.receiveEvidence(now, origin, value)
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
		return oops.Wrapf(err, "move: abort of %s", origin)
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
		return oops.Wrapf(err, "move: evidence of %s", origin)
	}
	t := s.tracker(f.Service, f.Move)
	if t == nil {
		s.keepEarly(now, origin, keyEvidence, f.Service, f.Move, value)
		return nil
	}
	if t.finished(now) {
		return nil
	}
	return t.route(f.Route).merge(origin+"/"+strconv.FormatUint(f.Epoch, 36), f.Cells)
}

func (s *System) receiveSettled(now time.Time, origin string, value []byte) error {
	var f settledFact
	if err := cbor.Unmarshal(value, &f); err != nil {
		return oops.Wrapf(err, "move: outcome of %s", origin)
	}
	t := s.tracker(f.Service, f.Move)
	if t == nil || t.recorded != nil {
		return nil
	}
	t.hint = f.Outcome
	t.readAt = now
	return nil
}

// earlyFact is a fact on a move that this instance doesn't know yet, because facts can overtake the configuration.
type earlyFact struct {
	origin string
	kind   string
	value  []byte
	until  time.Time
}

// keepEarly keeps the last fact of each origin, kind and route. Aborts displace other facts when there are too many.
func (s *System) keepEarly(now time.Time, origin, kind, service, id string, value []byte) {
	f := earlyFact{origin: origin, kind: kind, value: value, until: now.Add(earlyOthers)}
	key := kind + "/" + service + "/" + id
	if kind == keyAbort {
		f.until = now.Add(earlyAborts)
	} else {
		var r routeFact
		_ = cbor.Unmarshal(value, &r) // decoded by the caller before
		key += "/" + origin + "/" + r.Route
	}
	if len(s.early) >= maxEarly {
		s.dropEarly(now, kind == keyAbort)
	}
	if len(s.early) < maxEarly {
		s.early[key] = f
	}
}

func (s *System) dropEarly(now time.Time, forAbort bool) {
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
		// Merging commutes, so the order doesn't matter. A value that failed to decode wasn't kept.
		_ = s.Receive(now, f.origin, FactPrefix+f.kind, f.value)
	}
}
