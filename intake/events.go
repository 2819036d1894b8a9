package intake

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// event is something that happens only to clients outside the limits, or to their neighbours while memory is short.
type event string

const (
	eventAnnouncedTooLarge event = "announced_too_large" // refused by its announced length
	eventFraming           event = "framing"             // refused for the bytes that its chunks took on the wire
	eventWaited            event = "waited"              // waited for memory
	eventEvicted           event = "evicted"             // given up for others
	eventRefused           event = "refused"             // got no memory in time
)

// logInterval is the least time between two log lines for the same kind of event, so that a crowd does not flood the log.
const logInterval = 5 * time.Second

// events counts events and logs some of them.
type events struct {
	mu     sync.Mutex
	log    logrus.FieldLogger // nil: not reported
	scope  tally.Scope
	logged map[event]time.Time
	since  map[event]int // events since the last line
}

// Report makes the memory count events and log them at most once in 5 s a kind.
func (m *Memory) Report(log logrus.FieldLogger, scope tally.Scope) {
	m.events.mu.Lock()
	defer m.events.mu.Unlock()
	m.events.log, m.events.scope = log, scope.SubScope("intake")
	m.events.logged, m.events.since = map[event]time.Time{}, map[event]int{}
}

func (e *events) record(kind event, bytes int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.log == nil {
		return
	}
	e.scope.Tagged(map[string]string{"event": string(kind)}).Counter("bodies").Inc(1)
	e.since[kind]++
	if now := time.Now(); now.Sub(e.logged[kind]) >= logInterval {
		e.log.WithFields(logrus.Fields{"event": kind, "bytes": bytes, "count": e.since[kind]}).Warn("memory for bodies is bounded")
		e.logged[kind], e.since[kind] = now, 0
	}
}

// ReportUse updates the gauge of the bytes in use.
func (m *Memory) ReportUse() {
	used := m.Used()
	m.events.mu.Lock()
	defer m.events.mu.Unlock()
	if m.events.scope != nil {
		m.events.scope.Gauge("bytes").Update(float64(used))
	}
}
