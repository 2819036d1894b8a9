package forward

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/continuation"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/placement"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/quarantine"
	"github.com/trefoillug/trefoillug/routing"
)

// Suspects finds requests that crash the endpoints that run them.
type Suspects interface {
	// Any reports whether any request has crashed an endpoint. If none has, requests need no identity.
	Any() bool
	// IsSuspect reports whether a request has crashed an endpoint and none has answered it since.
	IsSuspect(id quarantine.Identity) bool
	// Refused returns why a request must not run again, and false if it may.
	Refused(id quarantine.Identity) (quarantine.Refusal, bool)
	// BeginProbe reports whether a request of a refused family is to be let through, as the only one of all instances, and
	// records that it is.
	BeginProbe(family quarantine.Fingerprint) bool
	// BeginTrial waits for a time until no other suspect is being sent to a service. The caller calls end once an endpoint has
	// begun to answer the request, or the attempt has ended.
	BeginTrial(ctx context.Context, service string) (end func())
	// RecordLost records that the connection to an endpoint broke while it ran a request.
	RecordLost(e *fleet.Endpoint, loss Loss)
	// RecordAnswered records that an endpoint has answered a request.
	RecordAnswered(id quarantine.Identity)
	// RefusedBlock returns the ID of the block because of which a request to a service with the given shared blocks must
	// not run, with the time until which it is refused at most, and false if there is none.
	RefusedBlock(service string, shared []placement.Block) (id string, until time.Time, refused bool)
	// RecordBegun records that an endpoint has begun to generate the answer to a request of a family with the given shared
	// blocks.
	RecordBegun(service string, family quarantine.Fingerprint, shared []placement.Block)
}

// Loss describes a request whose connection to an endpoint broke.
type Loss struct {
	Identity   quarantine.Identity
	Sent       time.Time // when the request was sent
	Opened     bool      // a connection was opened for the request after Sent
	Begun      bool      // an endpoint had begun to generate the answer, maybe an earlier one
	Generating bool      // the endpoint had begun to generate the answer
	Shared     []placement.Block
}

// identity returns what tells the request from others. The service does not, since a configuration may move a route or split
// it between services.
func (r *exchange) identity() quarantine.Identity {
	r.identifyOnce.Do(func() {
		path, query, _ := strings.Cut(r.req.URI, "?")
		r.id = quarantine.Content{
			Host: routing.CanonicalHost(r.req.Host), Method: r.req.Method, Path: path, Query: query, Caller: r.req.Key,
			Header: r.f.cfg.Wire.RepeatedHeader(r.req.Header), Body: r.req.Body,
		}.Identity()
	})
	return r.id
}

// sharedBlocks returns the prompt blocks that other requests may have too.
func (r *exchange) sharedBlocks() []placement.Block {
	if p := r.req.Prompt; p != nil && len(p.Blocks) > 1 {
		return p.Blocks[:len(p.Blocks)-1]
	}
	return nil
}

// checkQuarantine returns an error if the request must not run, or not again.
func (r *exchange) checkQuarantine() error {
	s := r.f.cfg.Suspects
	if s == nil {
		return nil
	}
	if err := r.checkCrashes(); err != nil {
		return err
	}
	if shared := r.sharedBlocks(); len(shared) > 0 {
		if id, until, refused := s.RefusedBlock(r.service.Name, shared); refused {
			left := max(time.Second, time.Until(until))
			return problem.NewWithRetryAfter(problem.Quarantined, left,
				"prompt block %q has crashed the endpoints that got it; requests with it are refused for up to %d s more", id, seconds(left))
		}
	}
	return nil
}

// checkCrashes returns an error if the request, or its family, has crashed too many endpoints to be sent to another one.
func (r *exchange) checkCrashes() error {
	s := r.f.cfg.Suspects
	if s == nil || !s.Any() {
		return nil
	}
	refusal, ok := s.Refused(r.identity())
	if !ok {
		return nil
	}
	if refusal.Scope == quarantine.ScopeFamily && !r.crashed {
		if r.isProbe = r.isProbe || s.BeginProbe(r.identity().Family); r.isProbe {
			return nil
		}
	}
	return quarantined(refusal, time.Now())
}

// quarantined returns the error for a refused request. It says why and for how long.
func quarantined(refusal quarantine.Refusal, now time.Time) error {
	left := max(time.Second, refusal.Until().Sub(now))
	if refusal.Scope == quarantine.ScopeFamily {
		return problem.NewWithRetryAfter(problem.Quarantined, left,
			"%d requests with this path, caller and body have crashed the endpoints that ran them; such requests are refused for up to %d s more", refusal.Crashes, seconds(left))
	}
	return problem.NewWithRetryAfter(problem.Quarantined, left,
		"this request has crashed the endpoints that ran it, %d times; it is refused for %d s more", refusal.Crashes, seconds(left))
}

// seconds returns a time in whole seconds, rounded up.
func seconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }

// recordBegun records that an endpoint has begun to generate the answer.
func (r *exchange) recordBegun() {
	r.finishTrial()
	if r.begun || r.proxy.isCurrent {
		return
	}
	r.begun = true
	s := r.f.cfg.Suspects
	switch shared := r.sharedBlocks(); {
	case s == nil:
	case s.Any():
		s.RecordBegun(r.service.Name, r.identity().Family, shared)
	case len(shared) > 0:
		s.RecordBegun(r.service.Name, 0, shared)
	}
}

// reportToSuspects tells Config.Suspects that the request lost its connection or was answered. It reports no loss from
// an endpoint that stalled, sent too much or something else than asked for, or is leaving, because the request did not crash it.
func (r *exchange) reportToSuspects(e *fleet.Endpoint, out *outcome) {
	s := r.f.cfg.Suspects
	switch {
	case s == nil || r.pendingMove != nil || e.IsLeaving():
	case r.mayHaveCrashed(out):
		r.crashed = true
		s.RecordLost(e, Loss{
			Identity: r.identity(), Sent: r.sentAt, Opened: r.opens, Begun: r.begun, Generating: r.timeToFirst > 0, Shared: r.sharedBlocks(),
		})
	case out.end == answered && s.Any():
		s.RecordAnswered(r.identity())
	}
}

// beginTrial waits for its turn if the request may have crashed an endpoint. Another one may turn out to be the cause meanwhile,
// or this one.
func (r *exchange) beginTrial(ctx context.Context) *Refusal {
	s := r.f.cfg.Suspects
	if s == nil || r.offers.isAccepted() || r.pendingMove != nil || !s.Any() || !s.IsSuspect(r.identity()) {
		return nil
	}
	r.endTrial = s.BeginTrial(ctx, r.service.Name)
	if err := r.checkCrashes(); err != nil {
		return &Refusal{Err: err, RetryAfter: problem.RetryAfter(err)}
	}
	return nil
}

// finishTrial lets the next suspect go.
func (r *exchange) finishTrial() {
	if r.endTrial != nil {
		r.endTrial()
		r.endTrial = nil
	}
}

// mustOpen reports whether the next attempt needs a connection of its own because the request may crash endpoints. That an
// endpoint accepts one shows that it runs then: otherwise its loss could be the same one as that of the endpoint before.
func (r *exchange) mustOpen() bool {
	s := r.f.cfg.Suspects
	return s != nil && (r.crashed || s.Any() && s.IsSuspect(r.identity()))
}

// mayHaveCrashed reports whether an attempt ended as it does when its endpoint crashes.
func (r *exchange) mayHaveCrashed(out *outcome) bool {
	var refused *continuation.Error
	return out.end == lost && !errors.Is(out.err, progress.ErrStalled) && !errors.Is(out.err, progress.ErrTooLong) &&
		!errors.Is(out.err, progress.ErrStatus) && !errors.As(out.err, &refused)
}
