package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/intake"
	"github.com/trefoillug/trefoillug/table"
)

// Call is a parsed request to a service. It is immutable once admitted.
type Call struct {
	RequestID   string
	Service     *config.Service
	Route       *config.Route
	Workspace   string
	Key         string // Idempotency-Key header; empty if absent
	Method      string
	Path        string // escaped path relative to the service, with the query
	Header      http.Header
	Body        []byte
	Fingerprint uint64 // of the content; repeats of a call share it
	Accepted    time.Time
	Deadline    time.Time
	Chat        *Chat        // parsed body of a model request; nil for plain services
	received    *intake.Body // memory of the body; nil if it was handed over
}

// Chooser picks the endpoint for an attempt.
type Chooser interface {
	// Choose returns a ready endpoint of the given version for which skip returns false, or false if there is none.
	// It must not block.
	Choose(call *Call, svc *table.Service, version string, skip func(*table.Endpoint) bool) (*table.Endpoint, bool)
}

// Admitter decides whether a call may run now.
type Admitter interface {
	// Admit waits at most until the call's deadline. The caller calls release once, when the call has ended. Errors
	// have the kind LimitExceeded or Overloaded.
	Admit(ctx context.Context, call *Call) (release func(), err error)
}

// ClaimState is the state of a claim.
type ClaimState int

// States of a claim.
const (
	ClaimGranted           ClaimState = iota // this instance runs the call
	ClaimRecorded                            // the call has run and its answer is retained
	ClaimPending                             // an earlier attempt under this key is still running
	ClaimUnknown                             // an earlier attempt may have run
	ClaimAnswerNotRetained                   // the call has run, but its answer is not retained
)

// RecordedAnswer is the answer to a call as retained for repeats of its idempotency key.
type RecordedAnswer struct {
	Status      int
	ContentType string
	Body        []byte // at most 4 KiB
	Retained    bool   // false if the body was too large to retain
	Endpoint    string
	Version     string
}

// Claim is the result of claiming a call.
type Claim struct {
	State  ClaimState
	Answer *RecordedAnswer // set if State is ClaimRecorded
}

// Claimer records calls that must run at most once. Complete, MarkUnknown and Release are called after a granted
// claim; they must not block on the store.
type Claimer interface {
	// Claim records that the call is about to be sent. Errors have the kind KeyReused or StoreUnavailable; after an
	// error the call must not be sent.
	Claim(ctx context.Context, call *Call) (Claim, error)
	// Complete records the answer to the call.
	Complete(call *Call, answer RecordedAnswer)
	// MarkUnknown records that the call may have run.
	MarkUnknown(call *Call)
	// Release removes the claim of a call of which nothing was sent.
	Release(call *Call)
}

// Quarantine restricts requests that crash endpoints. Requests are identified by their fingerprints.
type Quarantine interface {
	// Quarantined reports whether the request is refused, and until when at most.
	Quarantined(fingerprint uint64) (until time.Time, refused bool)
	// MustIsolate reports whether the request may only run on an endpoint that runs no other request at the same time.
	// waited is how long the request has waited for an endpoint.
	MustIsolate(fingerprint uint64, waited time.Duration) bool
	// MustHold reports whether the request must wait because reports of a crash may still be in transit.
	MustHold(fingerprint uint64) bool
	// BeginIsolated reserves the isolated run of a request. It returns false while another isolated run of it is in
	// progress.
	BeginIsolated(fingerprint uint64, endpoint string) bool
}

// RetryBudget limits the rate of retries of each service.
type RetryBudget interface {
	// CountRequest counts the first attempt of a request.
	CountRequest(service string)
	// AcquireRetry takes one retry from the budget. It returns false if the budget is exhausted.
	AcquireRetry(service string) bool
}
