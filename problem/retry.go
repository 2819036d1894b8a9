package problem

import (
	"time"

	"github.com/samber/oops"
)

const retryAfterKey = "retry_after"

// NewRetry returns an error of the given kind for which a retry has a chance after the given time.
func NewRetry(k Kind, after time.Duration, format string, args ...any) error {
	return oops.Code(string(k)).With(retryAfterKey, after).Errorf(format, args...)
}

// RetryAfter returns the time after which a retry has a chance: that of the error, else that of its kind. Zero means
// that a retry can't help.
func RetryAfter(err error) time.Duration {
	if o, ok := oops.AsOops(err); ok {
		if after, ok := o.Context()[retryAfterKey].(time.Duration); ok {
			return after
		}
	}
	return AnswerFor(KindOf(err)).Retry
}
