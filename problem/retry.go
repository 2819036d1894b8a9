package problem

import (
	"time"

	"github.com/samber/oops"
)

// Keys of an error's context.
const (
	retryAfterKey = "retry_after"
	outcomeKey    = "outcome"
)

// WithUnknownOutcome gives err the outcome Unknown, whatever its kind: nothing was sent for this request, but an
// earlier request with the same key may have run. It returns nil if err is nil.
func WithUnknownOutcome(err error) error {
	return oops.With(outcomeKey, Unknown).Wrap(err)
}

// OutcomeOf returns the outcome that err carries, or else that of its kind.
func OutcomeOf(err error) Outcome {
	if o, ok := oops.AsOops(err); ok {
		if outcome, ok := o.Context()[outcomeKey].(Outcome); ok {
			return outcome
		}
	}
	return AnswerFor(KindOf(err)).Outcome
}

// NewWithRetryAfter returns an error of the given kind for a request that may succeed if it is repeated after the given
// time.
func NewWithRetryAfter(k Kind, after time.Duration, format string, args ...any) error {
	return oops.Code(string(k)).With(retryAfterKey, after).Errorf(format, args...)
}

// RetryAfter returns the time after which a retry may succeed: that of the error, or else that of its kind. Zero
// means that a retry can't help.
func RetryAfter(err error) time.Duration {
	if o, ok := oops.AsOops(err); ok {
		if after, ok := o.Context()[retryAfterKey].(time.Duration); ok {
			return after
		}
	}
	return AnswerFor(KindOf(err)).Retry
}
