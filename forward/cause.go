package forward

import (
	"errors"

	"github.com/trefoillug/trefoillug/problem"
)

// Reasons why a request gets no further attempt.
var (
	errTimeUp          = errors.New("the caller has left or its time is up")
	errMayHaveRun      = errors.New("the request may have run and may not run again")
	errPartial         = errors.New("the caller has a part of an answer that can't be continued")
	errTooManyFailures = errors.New("too many endpoints have rejected the request or were not reached")
	errBudget          = errors.New("the retry budget is used up")
	errNoEndpoint      = errors.New("no endpoint is ready for another attempt")
)

// causeLabel returns the value of a metric's tag for the reason why a request gets no further attempt.
func causeLabel(cause error) string {
	switch cause {
	case errTimeUp:
		return "time_up"
	case errMayHaveRun:
		return "no_repeat"
	case errPartial:
		return "partial"
	case errTooManyFailures:
		return "failures"
	case errBudget:
		return "budget"
	}
	if problem.KindOf(cause) == problem.Quarantined {
		return "quarantined"
	}
	return "no_endpoint"
}
