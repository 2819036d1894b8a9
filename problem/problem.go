// Package problem defines the closed list of error kinds and the answer that a caller gets for each kind.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// Kind is one entry of the closed list of errors that a caller can get.
type Kind string

// The closed list of error kinds.
const (
	InvalidRequest    Kind = "invalid_request"
	RequestTooLarge   Kind = "request_too_large"
	UnknownService    Kind = "unknown_service"
	UnknownRoute      Kind = "unknown_route"
	UnknownVersion    Kind = "unknown_version"
	UnknownWorkspace  Kind = "unknown_workspace"
	UnknownRequest    Kind = "unknown_request"
	Unauthenticated   Kind = "unauthenticated"
	KeyMissing        Kind = "key_missing"
	KeyReused         Kind = "key_reused"
	LimitExceeded     Kind = "limit_exceeded"
	Overloaded        Kind = "overloaded"
	Quarantined       Kind = "quarantined"
	NoEndpoint        Kind = "no_endpoint"
	NotReady          Kind = "not_ready"
	StoreUnavailable  Kind = "store_unavailable"
	EndpointFailed    Kind = "endpoint_failed"
	OutcomeUnknown    Kind = "outcome_unknown"
	AnswerNotRetained Kind = "answer_not_retained"
	StreamBroken      Kind = "stream_broken"
	TimedOut          Kind = "timed_out"
	Internal          Kind = "internal"
)

// Outcome states whether the request ran.
type Outcome string

// Outcomes of a refused or broken request.
const (
	NotRun  Outcome = "not_run" // no endpoint has received the request
	Unknown Outcome = "unknown" // an endpoint may have run the request
	Partial Outcome = "partial" // some of the answer was delivered
)

// Answer is the answer to a caller for one kind of error.
type Answer struct {
	Status  int           // HTTP status code
	Outcome Outcome       // what the caller may assume about the run
	Retry   time.Duration // default Retry-After; zero when a retry can't help
	Title   string        // short description for people
	// CallerError means that the caller must change the request; such an answer does not count towards refusal minutes.
	CallerError bool
}

var answers = map[Kind]Answer{
	InvalidRequest:   {http.StatusBadRequest, NotRun, 0, "The request is malformed.", true},
	RequestTooLarge:  {http.StatusRequestEntityTooLarge, NotRun, 0, "The request exceeds a size limit.", true},
	UnknownService:   {http.StatusNotFound, NotRun, 0, "No such service is configured.", true},
	UnknownRoute:     {http.StatusNotFound, NotRun, 0, "The service has no such route.", true},
	UnknownVersion:   {http.StatusNotFound, NotRun, 0, "The service has no such version.", true},
	UnknownWorkspace: {http.StatusForbidden, NotRun, 0, "The service has no such workspace.", true},
	UnknownRequest:   {http.StatusNotFound, Unknown, time.Second, "No instance holds this request; repeat the POST with Last-Event-ID.", false},
	Unauthenticated:  {http.StatusUnauthorized, NotRun, 0, "The API key is missing or unknown.", true},
	KeyMissing:       {http.StatusBadRequest, NotRun, 0, "This call is not idempotent and needs an Idempotency-Key.", true},
	KeyReused:        {http.StatusUnprocessableEntity, NotRun, 0, "The Idempotency-Key was used with another body.", true},
	LimitExceeded:    {http.StatusTooManyRequests, NotRun, time.Second, "The workspace is over its rate limit.", false},
	Overloaded:       {http.StatusServiceUnavailable, NotRun, time.Second, "The request can't be served before its deadline.", false},
	Quarantined:      {http.StatusUnprocessableEntity, Unknown, 0, "This request crashed its endpoints and is quarantined.", false},
	NoEndpoint:       {http.StatusServiceUnavailable, NotRun, 2 * time.Second, "No endpoint can take the request.", false},
	NotReady:         {http.StatusServiceUnavailable, NotRun, 2 * time.Second, "The instance is starting or leaving.", false},
	// The attempt was not sent, but whether an earlier call with the key ran can't be checked, so the outcome of
	// the key is unknown.
	StoreUnavailable:  {http.StatusServiceUnavailable, Unknown, 5 * time.Second, "The claim of this call could not be recorded and nothing was sent; repeat it with the same key.", false},
	EndpointFailed:    {http.StatusBadGateway, Unknown, time.Second, "The endpoint failed while it held the request.", false},
	OutcomeUnknown:    {http.StatusBadGateway, Unknown, 0, "The call may have run; it is not run again under this key.", false},
	AnswerNotRetained: {http.StatusConflict, Unknown, 0, "The call ran; its answer is not retained.", false},
	StreamBroken:      {http.StatusBadGateway, Partial, time.Second, "The answer broke off and could not be resumed.", false},
	TimedOut:          {http.StatusGatewayTimeout, Unknown, 0, "The endpoint did not answer in time.", false},
	Internal:          {http.StatusInternalServerError, Unknown, 0, "Internal error.", false},
}

// Kinds returns all kinds in alphabetical order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for k := range answers {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}

// AnswerFor returns the answer for a kind, and that for Internal if the kind is not in the list.
func AnswerFor(k Kind) Answer {
	if a, ok := answers[k]; ok {
		return a
	}
	return answers[Internal]
}

// New returns an error of the given kind; its text is the detail that the caller gets.
func New(k Kind, format string, args ...any) error {
	return oops.Code(string(k)).Errorf(format, args...)
}

// Wrap gives err the kind k. It returns nil if err is nil.
func Wrap(k Kind, err error) error {
	return oops.Code(string(k)).Wrap(err)
}

// KindOf returns the kind of err, or Internal if err has none.
func KindOf(err error) Kind {
	o, ok := oops.AsOops(err)
	if !ok {
		return Internal
	}
	code, _ := o.Code().(string)
	if _, known := answers[Kind(code)]; known {
		return Kind(code)
	}
	return Internal
}

// Details is the RFC 9457 problem details body.
type Details struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	Kind      Kind    `json:"kind"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id,omitempty"`
}

// DetailsFor builds the problem details of err for a request.
func DetailsFor(err error, requestID string) Details {
	k := KindOf(err)
	a := AnswerFor(k)
	return Details{
		Type: "about:blank", Title: a.Title, Status: a.Status, Detail: err.Error(),
		Kind: k, Outcome: OutcomeOf(err), RequestID: requestID,
	}
}

// Write responds to a request with the problem details of err.
func Write(w http.ResponseWriter, err error, requestID string) {
	d := DetailsFor(err, requestID)
	w.Header().Set("Content-Type", "application/problem+json")
	if retry := RetryAfter(err); retry > 0 {
		// The header has whole seconds; rounding up prevents a retry that is too early.
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	w.WriteHeader(d.Status)
	// The caller may have disconnected, so a write error can't be reported.
	_ = json.NewEncoder(w).Encode(d)
}
