package forward

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoillug/trefoillug/problem"
)

// ResponseWriter takes the answer to a caller.
type ResponseWriter interface {
	// WriteHead starts an answer of an endpoint. length is that of the body in bytes, -1 when it is not known.
	WriteHead(status int, header http.Header, length int64)
	Write(b []byte) (int, error)
	// Flush sends what was written.
	Flush() error
	// Refuse answers with an error.
	Refuse(r *Refusal)
}

// Refusal is an answer of the system itself.
type Refusal struct {
	Err        error         // of package problem
	RetryAfter time.Duration // 0: none
}

// Error implements error.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the error of package problem.
func (r *Refusal) Unwrap() error { return r.Err }

// refuse answers a request with an error of the system and logs why.
func (r *run) refuse(refusal *Refusal) error {
	kind := problem.KindOf(refusal.Err)
	fields := logrus.Fields{"kind": kind, "ms": time.Since(r.req.Arrived).Milliseconds(), "arrivals": r.arrivals}
	if r.route != nil {
		fields["route"] = r.route.Name
	}
	if r.workspace != nil {
		fields["workspace"] = r.workspace.Name
	}
	r.log.WithError(refusal.Err).WithFields(fields).Info("request refused")
	r.f.cfg.Metrics.refused(kind)
	r.w.Refuse(refusal)
	return nil
}

// Metrics counts what happens to requests.
type Metrics struct{ scope tally.Scope }

// NewMetrics returns counters in a scope; nil counts nothing.
func NewMetrics(scope tally.Scope) *Metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &Metrics{scope: scope.SubScope("forward")}
}

func (m *Metrics) refused(kind problem.Kind) {
	m.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("refused").Inc(1)
}

func (m *Metrics) attempt(e end) {
	m.scope.Tagged(map[string]string{"end": e.String()}).Counter("attempts").Inc(1)
}

// answerBuckets reach from the quickest answers to the longest deadlines.
var answerBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// answered records the time from the arrival of a request to the answer's first byte.
func (m *Metrics) answered(took time.Duration) {
	m.scope.Histogram("answer", answerBuckets).RecordDuration(took)
}

func (m *Metrics) broken() { m.scope.Counter("streams_broken").Inc(1) }
