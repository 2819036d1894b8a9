package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/table"
)

// Call is an accepted request on its way to an endpoint. It is immutable once admitted.
type Call struct {
	RequestID   string
	Service     *config.Service
	Route       *config.Route
	Workspace   string
	Key         string // Idempotency-Key, empty without one
	Method      string
	Path        string // escaped path below the service, with the query
	Header      http.Header
	Body        []byte
	Fingerprint uint64 // digest of the content without volatile fields
	Accepted    time.Time
	Deadline    time.Time
	Chat        *Chat // of model services, else nil
}

// Chooser picks endpoints.
type Chooser interface {
	// Choose returns a ready endpoint of a version for which skip is false. It must not block.
	Choose(call *Call, svc *table.Service, version string, skip func(*table.Endpoint) bool) (*table.Endpoint, bool)
}

// Admitter decides whether a call may run now.
type Admitter interface {
	// Admit waits at most until the call's deadline. release is called once when the call has ended. Errors carry the
	// kinds LimitExceeded or Overloaded.
	Admit(ctx context.Context, call *Call) (release func(), err error)
}

// ClaimState is the state of a claim.
type ClaimState int

// States of a claim.
const (
	ClaimGranted  ClaimState = iota // this instance runs the call
	ClaimRecorded                   // the call ran and its answer is retained
	ClaimPending                    // an earlier attempt under this key is still running
	ClaimUnknown                    // an earlier attempt may have run
	ClaimNoAnswer                   // the call ran; its answer is not retained
)

// Recorded is the answer of a call as retained for repeats of its key.
type Recorded struct {
	Status      int
	ContentType string
	Body        []byte // at most 4 KiB
	Retained    bool   // false: the body was too large to be retained
	Endpoint    string
	Version     string
}

// Claim is the result of claiming a call.
type Claim struct {
	State  ClaimState
	Answer *Recorded // of ClaimRecorded
}

// Claimer records calls that must run at most once. Complete, MarkUnknown and Release are called after a granted
// claim; they must not block on the store.
type Claimer interface {
	// Claim records that the call is about to be sent. Errors carry the kinds KeyReused or StoreUnavailable; after an
	// error nothing may be sent.
	Claim(ctx context.Context, call *Call) (Claim, error)
	// Complete records the answer.
	Complete(call *Call, answer Recorded)
	// MarkUnknown records that the call may have run.
	MarkUnknown(call *Call)
	// Release records that nothing was sent.
	Release(call *Call)
}

// Quarantine knows the requests that crash endpoints.
type Quarantine interface {
	IsQuarantined(fingerprint uint64) bool
	// MustIsolate tells that the request may only run on an endpoint that runs nothing else meanwhile. waited is how
	// long the request has waited for one.
	MustIsolate(fingerprint uint64, waited time.Duration) bool
	// MustHold tells that the request may not run now, because news of a crash is still under way.
	MustHold(fingerprint uint64) bool
	// BeginIsolated reserves the isolated run of a request and reports false while another one is under way.
	BeginIsolated(fingerprint uint64, endpoint string) bool
}

// RetryBudget paces the retries of a service.
type RetryBudget interface {
	// Request counts a first attempt.
	Request(service string)
	// Retry takes a retry from the budget and reports whether there was one.
	Retry(service string) bool
}
