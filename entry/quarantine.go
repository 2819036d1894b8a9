package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/quarantine"
)

const (
	// factCrash is the key prefix of facts about crashes of endpoints.
	factCrash = "crash/"
	// crashNews is the age up to which a crash says something about the state of its endpoint.
	crashNews = 5 * time.Second
	// isolationWait is how long a suspect of one crash waits for an endpoint of its own. The first token is due within
	// 1.9 s, and nearly every suspect of a crash under load is innocent.
	isolationWait = time.Second
	// isolationWaitRepeated is the same for a suspect of several crashes, of which there are few.
	isolationWaitRepeated = 10 * time.Second
	// isolatedLimit bounds an isolated run whose end is never reported.
	isolatedLimit = 2 * time.Minute
)

// suspects adapts the quarantine table to the request path and the peers.
type suspects struct {
	table   *quarantine.Table
	publish func(key string, value []byte, ttl time.Duration)
}

// IsQuarantined implements relay.Quarantine.
func (s suspects) IsQuarantined(fp uint64) bool {
	return s.table.IsQuarantined(quarantine.Fingerprint(fp), time.Now())
}

// MustIsolate implements relay.Quarantine. A crash under many requests makes all of them suspects, and most are
// innocent; a suspect that has waited long enough runs beside others, which may cost a third endpoint and keeps the
// innocent ones within their deadlines.
func (s suspects) MustIsolate(fp uint64, waited time.Duration) bool {
	d := s.table.Decide(quarantine.Fingerprint(fp), time.Now())
	if d.Action != quarantine.Isolate {
		return false
	}
	if d.Crashes == 1 {
		return waited < isolationWait
	}
	return waited < isolationWaitRepeated
}

// MustHold implements relay.Quarantine.
func (s suspects) MustHold(fp uint64) bool {
	return s.table.Decide(quarantine.Fingerprint(fp), time.Now()).Action == quarantine.Hold
}

// BeginIsolated implements relay.Quarantine.
func (s suspects) BeginIsolated(fp uint64, endpoint string) bool {
	return s.table.Begin(quarantine.Fingerprint(fp), endpoint, isolatedLimit, time.Now())
}

// crashed records a crash that this instance saw and tells the peers.
func (s suspects) crashed(e core.EndpointCrashed) {
	now := time.Now()
	running := make([]quarantine.Running, 0, len(e.Running))
	for _, r := range e.Running {
		running = append(running, quarantine.Running{Fingerprint: quarantine.Fingerprint(r.Fingerprint), Started: r.Started})
	}
	if fact, ok := s.table.Crashed(e.Endpoint, running, now); ok {
		s.spread(fact)
	}
}

// attemptDone clears a request that completed, and tells the peers.
func (s suspects) attemptDone(e core.AttemptDone) {
	if e.Result != core.Succeeded {
		return
	}
	for _, fact := range s.table.Completed(quarantine.Fingerprint(e.Fingerprint), e.Endpoint, time.Now()) {
		s.spread(fact)
	}
}

func (s suspects) spread(f quarantine.Fact) {
	value, err := cbor.Marshal(f)
	if err != nil {
		return // Fact holds only types that CBOR can encode
	}
	s.publish(fmt.Sprintf("%s%s/%d", factCrash, f.Crash.Endpoint, f.Crash.Number), value, quarantine.DefaultTTL)
}

// merge takes in a fact of another member and returns the endpoint that crashed. Facts that clear a request are no
// news about the endpoint, and the endpoint is then empty.
func (s suspects) merge(f peer.Fact) (endpoint string, err error) {
	var fact quarantine.Fact
	if err := cbor.Unmarshal(f.Value, &fact); err != nil {
		return "", fmt.Errorf("crash fact %q of %s: %w", strings.TrimPrefix(f.Key, factCrash), f.Origin, err)
	}
	s.table.Merge(fact, time.Now())
	if len(fact.Cleared) > 0 {
		return "", nil
	}
	return fact.Crash.Endpoint, nil
}
