package relay

import (
	"context"
	"time"

	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

// LeastInFlight is a Chooser that picks the ready endpoint with the fewest attempts of this instance in flight.
type LeastInFlight struct{}

// Choose implements Chooser.
func (LeastInFlight) Choose(
	_ *Call, svc *table.Service, version string, skip func(*table.Endpoint) bool) (*table.Endpoint, bool) {
	var best *table.Endpoint
	var bestInFlight int64
	for _, e := range svc.Endpoints {
		if e.Condition != table.Ready || e.Version != version || skip(e) {
			continue
		}
		if n := e.Live.InFlight.Load(); best == nil || n < bestInFlight {
			best, bestInFlight = e, n
		}
	}
	return best, best != nil
}

// AdmitAll is an Admitter that admits every call immediately.
type AdmitAll struct{}

// Admit implements Admitter.
func (AdmitAll) Admit(context.Context, *Call) (func(), error) { return func() {}, nil }

// NoClaims is a Claimer that fails every claim with the kind StoreUnavailable.
type NoClaims struct{}

// Claim implements Claimer.
func (NoClaims) Claim(context.Context, *Call) (Claim, error) {
	return Claim{}, problem.New(problem.StoreUnavailable, "no store for claims is configured")
}

// Complete implements Claimer.
func (NoClaims) Complete(*Call, RecordedAnswer) {}

// MarkUnknown implements Claimer.
func (NoClaims) MarkUnknown(*Call) {}

// Release implements Claimer.
func (NoClaims) Release(*Call) {}

// NoQuarantine is a Quarantine that restricts no request.
type NoQuarantine struct{}

// Quarantined implements Quarantine.
func (NoQuarantine) Quarantined(uint64) (time.Time, bool) { return time.Time{}, false }

// MustIsolate implements Quarantine.
func (NoQuarantine) MustIsolate(uint64, time.Duration) bool { return false }

// MustHold implements Quarantine.
func (NoQuarantine) MustHold(uint64) bool { return false }

// BeginIsolated implements Quarantine.
func (NoQuarantine) BeginIsolated(uint64, string) bool { return true }

// UnlimitedRetries is a RetryBudget that allows every retry.
type UnlimitedRetries struct{}

// CountRequest implements RetryBudget.
func (UnlimitedRetries) CountRequest(string) {}

// AcquireRetry implements RetryBudget.
func (UnlimitedRetries) AcquireRetry(string) bool { return true }
