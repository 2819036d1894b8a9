package forward

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoillug/trefoillug/admission"
	"github.com/trefoillug/trefoillug/continuation"
	"github.com/trefoillug/trefoillug/problem"
)

// ResponseWriter writes the answer to a caller.
type ResponseWriter interface {
	// WriteHead starts an answer of an endpoint. length is the length of the body in bytes, -1 if it is unknown.
	WriteHead(status int, header http.Header, length int64)
	Write(b []byte) (int, error)
	// Flush sends the data written so far.
	Flush() error
	// Refuse answers with an error of the system.
	Refuse(r *Refusal)
}

// Refusal is an error answer from the system itself rather than from an endpoint.
type Refusal struct {
	Err        error         // an error of package problem
	RetryAfter time.Duration // 0: none
}

// Error implements error.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the error of package problem.
func (r *Refusal) Unwrap() error { return r.Err }

// refuse answers a request with an error of the system and logs why.
func (r *exchange) refuse(refusal *Refusal) error {
	kind := problem.KindOf(refusal.Err)
	fields := logrus.Fields{"kind": kind, "ms": time.Since(r.req.Arrived).Milliseconds(), "arrivals": r.arrivals}
	if r.route != nil {
		fields["route"] = r.route.Name
	}
	if r.workspace != nil {
		fields["workspace"] = r.workspace.Name
	}
	r.log.WithError(refusal.Err).WithFields(fields).Info("request refused")
	r.f.cfg.Metrics.countRefused(kind)
	r.w.Refuse(refusal)
	return nil
}

// Metrics counts refused requests, attempts and broken streams, and records the times to an answer.
type Metrics struct{ scope tally.Scope }

// NewMetrics returns metrics in the subscope "forward" of scope. A nil scope discards them.
func NewMetrics(scope tally.Scope) *Metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &Metrics{scope: scope.SubScope("forward")}
}

func (m *Metrics) countRefused(kind problem.Kind) {
	m.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("refused").Inc(1)
}

func (m *Metrics) countAttempt(e attemptEnd) {
	m.scope.Tagged(map[string]string{"end": e.String()}).Counter("attempts").Inc(1)
}

// countDelayed counts a request that was held back under shortage. rule says why.
func (m *Metrics) countDelayed(rule admission.Rule) {
	m.scope.Tagged(map[string]string{"rule": string(rule)}).Counter("delayed").Inc(1)
}

// countHeldBack counts a request that waits or is rejected because its service is brittle.
func (m *Metrics) countHeldBack() { m.scope.Counter("held_back").Inc(1) }

// countRejected counts a request that was rejected under shortage. rule says why.
func (m *Metrics) countRejected(rule admission.Rule) {
	m.scope.Tagged(map[string]string{"rule": string(rule)}).Counter("rejected").Inc(1)
}

// answerBuckets range from the fastest answers to the longest deadlines.
var answerBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// recordAnswerTime records the time from the arrival of a request to the first byte of its answer.
func (m *Metrics) recordAnswerTime(took time.Duration) {
	m.scope.Histogram("answer", answerBuckets).RecordDuration(took)
}

// countBrokenStream counts a stream that was broken off. cause is the reason why it was not continued elsewhere.
func (m *Metrics) countBrokenStream(cause string) {
	m.scope.Tagged(map[string]string{"cause": cause}).Counter("streams_broken").Inc(1)
}

// countContinuation counts an answer that was not relayed because it does not continue a stream.
func (m *Metrics) countContinuation(cause continuation.Cause) {
	m.scope.Tagged(map[string]string{"cause": string(cause)}).Counter("continuations_refused").Inc(1)
}

// countMove counts a call that moves a run.
func (m *Metrics) countMove(outcome moveOutcome) {
	m.scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("moves").Inc(1)
}

// countUnconfirmedEnd counts a stream that ended with its connection after a call that may have stopped its run.
func (m *Metrics) countUnconfirmedEnd() { m.scope.Counter("unconfirmed_ends").Inc(1) }
