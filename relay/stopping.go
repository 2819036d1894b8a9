package relay

import (
	"time"

	"github.com/trefoillug/trefoillug/problem"
)

// stopFactor multiplies the usual time to an answer of a service to get the time that an idempotent call may take.
const stopFactor = 4

// stopping describes the end of an instance that is leaving.
type stopping struct {
	at    time.Time // when open calls are cut
	final bool      // streams are not handed over any more
}

// StopAt makes the relay refuse plain calls that may still be open at the given time, when the instance cuts them. With
// final it refuses such streams too, because nothing hands them over any more.
func (r *Relay) StopAt(at time.Time, final bool) { r.stopping.Store(&stopping{at, final}) }

// checkStopping returns an error for a request that the instance may cut when it stops. A call that runs at most once must
// be certain to end before.
func (r *Relay) checkStopping(call *Call) error {
	s := r.stopping.Load()
	switch {
	case s == nil, call.Chat != nil && !s.final, !call.Deadline.After(s.at):
		return nil
	case call.Chat == nil && !call.runsAtMostOnce() && r.usuallyEndsBefore(call, s.at):
		return nil
	}
	err := problem.New(problem.NotReady, "the instance is stopping and may not finish the request")
	if call.Chat == nil && call.runsAtMostOnce() {
		return problem.WithUnknownOutcome(err) // an earlier call under the key may have run
	}
	return err
}

// usuallyEndsBefore reports whether the service's endpoints usually answer a call before a time.
func (r *Relay) usuallyEndsBefore(call *Call, at time.Time) bool {
	svc, ok := r.cfg.Snapshots().Service(call.Service.Name)
	if !ok {
		return false
	}
	usual := time.Duration(0)
	for _, e := range svc.Endpoints {
		usual = max(usual, time.Duration(e.Live.FirstToken.Load())*time.Microsecond)
	}
	return usual > 0 && r.cfg.Now().Add(stopFactor*usual).Before(at)
}
