// Package attempt provides the retry loop that all request paths share: choose an endpoint, send the request to it, and
// depending on the outcome return the answer, try another endpoint, or give up.
package attempt

import "context"

// Steps supplies the steps of the retry loop for one request. E is the endpoint acquired for an attempt, O the outcome
// of an attempt. Run calls the methods from one goroutine.
type Steps[E, O any] interface {
	// Choose acquires an endpoint, and may wait for one. An error ends the request.
	Choose(ctx context.Context) (E, error)
	// Try sends the request to the endpoint once and releases the endpoint.
	Try(ctx context.Context, endpoint E) O
	// IsAnswered reports whether an outcome holds the final answer of the request. If so, the implementation stores the
	// answer or has already delivered it.
	IsAnswered(outcome O) bool
	// CheckRetry returns nil if the request may go to another endpoint, otherwise the reason, for example that its
	// deadline has passed, or that it may have run and must not run twice. It does not use the retry budget.
	CheckRetry(ctx context.Context, endpoint E, outcome O) error
	// AcquireRetry acquires another attempt from the retry budget, and may wait for it. An error ends the request.
	AcquireRetry(ctx context.Context, endpoint E, outcome O) error
	// GiveUp ends a request without a final answer and returns the error of Run. last is the outcome of the last attempt,
	// nil if there was none.
	GiveUp(ctx context.Context, last *O, cause error) error
}

// Run makes attempts until the request is answered or given up. It returns nil if the request was answered, otherwise
// the error from GiveUp.
func Run[E, O any](ctx context.Context, steps Steps[E, O]) error {
	var last *O
	for {
		endpoint, err := steps.Choose(ctx)
		if err != nil {
			return steps.GiveUp(ctx, last, err)
		}
		outcome := steps.Try(ctx, endpoint)
		if steps.IsAnswered(outcome) {
			return nil
		}
		last = &outcome
		if err := steps.CheckRetry(ctx, endpoint, outcome); err != nil {
			return steps.GiveUp(ctx, last, err)
		}
		if err := steps.AcquireRetry(ctx, endpoint, outcome); err != nil {
			return steps.GiveUp(ctx, last, err)
		}
	}
}
