package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/quarantine"
)

const (
	// factCrash is the key prefix of facts about crashes of endpoints.
	factCrash = "crash/"
	// maxCrashAge is the age up to which a crash means that its endpoint is still down.
	maxCrashAge = 5 * time.Second
	// isolationWait is how long a suspect of one crash waits to run alone on an endpoint. The first token is due within
	// 1.9 s, and under load nearly all suspects of a crash did not cause it.
	isolationWait = time.Second
	// isolationWaitRepeated is the same wait for a suspect of several crashes; there are few of these.
	isolationWaitRepeated = 10 * time.Second
	// isolatedRunLimit ends an isolated run whose result is never reported.
	isolatedRunLimit = 2 * time.Minute
)

// suspects adapts the quarantine table to the request path and the peers.
type suspects struct {
	table   *quarantine.Table
	process string // of this instance, no other one has its name
	log     logrus.FieldLogger
	publish func(key string, rank uint8, value []byte, ttl time.Duration)
}

// Quarantined implements relay.Quarantine.
func (s suspects) Quarantined(fp uint64) (until time.Time, refused bool) {
	d := s.table.Decide(quarantine.Fingerprint(fp), time.Now())
	return d.Until, d.Action == quarantine.Refuse
}

// MustIsolate implements relay.Quarantine. A crash makes all requests on the endpoint suspects, and most did not cause
// it. A suspect that has waited long enough may run beside other requests: this may crash a third endpoint, but keeps
// the harmless suspects within their deadlines.
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
	return s.table.Begin(quarantine.Fingerprint(fp), endpoint, isolatedRunLimit, time.Now())
}

// recordCrash records a crash that this instance detected and publishes it to the peers.
func (s suspects) recordCrash(e core.EndpointCrashed) {
	now := time.Now()
	running := make([]quarantine.RunningAttempt, 0, len(e.Running))
	for _, r := range e.Running {
		running = append(running, quarantine.RunningAttempt{Fingerprint: quarantine.Fingerprint(r.Fingerprint), Started: r.Started})
	}
	if fact, ok := s.table.Crashed(e.Endpoint, running, now); ok {
		s.publishFact(fact)
	}
}

// recordCompletion clears a request that completed and publishes this to the peers.
func (s suspects) recordCompletion(e core.AttemptDone) {
	if e.Result != core.Succeeded {
		return
	}
	for _, fact := range s.table.Completed(quarantine.Fingerprint(e.Fingerprint), e.Endpoint, time.Now()) {
		s.publishFact(fact)
	}
}

// publishFact publishes what this process knows of a crash, also for the time after this process.
func (s suspects) publishFact(f quarantine.Fact) {
	value, err := cbor.Marshal(f)
	if err != nil {
		return // Fact holds only types that CBOR can encode
	}
	s.publish(fmt.Sprintf("%s%s/%d/%s", factCrash, f.Crash.Endpoint, f.Crash.Number, s.process), 0, value, quarantine.DefaultTTL)
}

// recordLegacy logs that the suspects of a crash are unknown here, since an instance of another build has identified them
// otherwise. The crash itself counts: others may have caused it than the requests of this instance.
func (s suspects) recordLegacy(f quarantine.Fact) {
	s.log.WithFields(logrus.Fields{"endpoint": f.Crash.Endpoint, "suspects": len(f.Running)}).
		Warn("suspects of a crash were identified by another build and can't be refused here")
}

// merge applies a fact of another member and returns the endpoint that crashed. The endpoint is empty for facts that
// clear a request, since they report no new crash.
func (s suspects) merge(f peer.Fact) (endpoint string, err error) {
	var fact quarantine.Fact
	if err := cbor.Unmarshal(f.Value, &fact); err != nil {
		return "", fmt.Errorf("decode crash fact %q of %s: %w", strings.TrimPrefix(f.Key, factCrash), f.Origin, err)
	}
	if fact.Scheme != quarantine.CurrentScheme && len(fact.Running) > len(fact.Cleared) {
		s.recordLegacy(fact)
	}
	s.table.Merge(fact, time.Now())
	if len(fact.Cleared) > 0 {
		return "", nil
	}
	return fact.Crash.Endpoint, nil
}
