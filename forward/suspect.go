package forward

import (
	"errors"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/quarantine"
)

// fingerprint identifies requests with the same content, regardless of their IDs.
func (r *exchange) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.service.Name, r.req.Key+" "+r.req.Method+" "+r.req.URI, r.req.Body)
}

func (r *exchange) isQuarantined() bool {
	s := r.f.cfg.Suspects
	return s != nil && s.Any() && s.IsRefused(r.fingerprint())
}

// reportToSuspects tells Config.Suspects that the request lost its connection or was answered. It reports no loss from
// an endpoint that stalled, sent too much or is leaving, because the request did not crash it.
func (r *exchange) reportToSuspects(e *fleet.Endpoint, out *outcome) {
	s := r.f.cfg.Suspects
	switch {
	case s == nil || r.pendingMove != nil || e.IsLeaving():
	case out.end == lost && !errors.Is(out.err, progress.ErrStalled) && !errors.Is(out.err, progress.ErrTooLong):
		s.RecordLost(e, Loss{Fingerprint: r.fingerprint(), Sent: r.sentAt, Begun: r.begun})
	case out.end == answered && s.Any():
		s.RecordAnswered(r.fingerprint())
	}
}
