// Package attempt is the loop that all request paths share: an endpoint is chosen, the request is sent to it, and the
// outcome decides whether the request is answered, goes to another endpoint, or is given up.
package attempt

import "context"

// Path is a request on its way. E is an endpoint taken for an attempt, O the outcome of an attempt. Run calls the
// methods from one goroutine.
type Path[E, O any] interface {
	// Choose takes an endpoint, and may wait for one. An error ends the request.
	Choose(ctx context.Context) (E, error)
	// Try sends the request to the endpoint once and gives the endpoint back.
	Try(ctx context.Context, endpoint E) O
	// IsAnswered reports whether an outcome holds the final answer of the request, and takes the answer over.
	IsAnswered(outcome O) bool
	// Permit returns why the request must not go to another endpoint, such as that its time is up, or that it may have
	// run and may not run twice. It takes nothing from the retry budget.
	Permit(ctx context.Context, endpoint E, outcome O) error
	// TakeRepeat takes another attempt from the retry budget, and may wait for it. An error ends the request.
	TakeRepeat(ctx context.Context, endpoint E, outcome O) error
	// GiveUp ends a request without a final answer and returns the error of Run. last is nil when nothing was tried.
	GiveUp(ctx context.Context, last *O, cause error) error
}

// Run takes a request to its end. It returns nil when the request was answered, else what GiveUp returns.
func Run[E, O any](ctx context.Context, p Path[E, O]) error {
	var last *O
	for {
		endpoint, err := p.Choose(ctx)
		if err != nil {
			return p.GiveUp(ctx, last, err)
		}
		outcome := p.Try(ctx, endpoint)
		if p.IsAnswered(outcome) {
			return nil
		}
		last = &outcome
		if err := p.Permit(ctx, endpoint, outcome); err != nil {
			return p.GiveUp(ctx, last, err)
		}
		if err := p.TakeRepeat(ctx, endpoint, outcome); err != nil {
			return p.GiveUp(ctx, last, err)
		}
	}
}
