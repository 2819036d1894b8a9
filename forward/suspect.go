package forward

import (
	"errors"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/quarantine"
)

// fingerprint tells requests of the same content apart from others, whatever their IDs.
func (r *run) fingerprint() quarantine.Fingerprint {
	return quarantine.Of(r.service.Name, r.req.Key+" "+r.req.Method+" "+r.req.URI, r.req.Body)
}

func (r *run) isQuarantined() bool {
	s := r.f.cfg.Suspects
	return s != nil && s.Any() && s.IsRefused(r.fingerprint())
}

// noteSuspect passes on what the end of an attempt says of the request. An endpoint that fell silent, or that leaves, was
// not crashed by it.
func (r *run) noteSuspect(e *fleet.Endpoint, out *outcome) {
	s := r.f.cfg.Suspects
	switch {
	case s == nil || r.moved != nil || e.IsLeaving():
	case out.end == lost && !errors.Is(out.err, errSilent):
		s.Lost(e, r.fingerprint(), r.sent)
	case out.end == answered && s.Any():
		s.Answered(r.fingerprint())
	}
}
