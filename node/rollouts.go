package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/feed"
	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/move"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/routing"
	"github.com/trefoillug/trefoillug/table"
)

// Rollout is an order to move the traffic of a service to the version Target within the time Ramp.
type Rollout struct {
	Service  string
	Target   string
	Ramp     time.Duration
	Revision uint64 // of the object
	Order    uint64 // revision at which the order was written; identifies it among the orders of the same object
	State    RolloutState
	Started  time.Time // time of day at which the first instance saw the order; zero: not recorded
	Reason   string    // of the decision; empty before

	era uint64 // number of the store's era in which it was read
}

// RolloutState is the recorded state of a rollout.
type RolloutState int

// States of a rollout.
const (
	RolloutNew RolloutState = iota
	RolloutInProgress
	RolloutComplete
	RolloutReverted
)

func (s RolloutState) isDecided() bool { return s == RolloutComplete || s == RolloutReverted }

// RolloutStore records the states of rollouts.
type RolloutStore interface {
	// Record writes the state of a rollout if the object still has the revision of r, and returns an error otherwise.
	Record(ctx context.Context, r Rollout) error
}

const (
	// oldVersion stands for all versions of a service other than the target of its rollout.
	oldVersion = "old"
	// exposureFraction is the fraction of the allowed exposure that the ramp uses. The rest is for the time between
	// the decision and the deadline, in which the target gets all traffic.
	exposureFraction = 0.6
	// decisionLead is the time between the decision on a rollout and its deadline. The old endpoints stop at
	// completion, so the traffic must have moved by then.
	decisionLead = 500 * time.Millisecond
	// moveLead is the lead that package move keeps before its own deadline on short moves.
	moveLead = time.Second
	// forgottenRetry is the time between two attempts to write a decision again that a restored store has forgotten.
	forgottenRetry = time.Second
	// rolloutTick is how often rollouts are advanced.
	rolloutTick = 100 * time.Millisecond
)

// rollouts runs the rollouts of all services.
type rollouts struct {
	n *Node

	mu     sync.Mutex
	moves  *move.System
	orders map[string]Rollout // by service
	ended  map[string]Rollout // by service: the order of an earlier era that a restored store lacks, with what was decided
	// forgotten holds by service when a decision that the restored store has forgotten was last written again.
	forgotten map[string]time.Time
	shares    map[string][]table.Share
	faults    map[string]string // by service: ID of the complete move whose fault was logged

	attempts map[[2]string]tally.Counter // see countAttempt
}

func newRollouts(n *Node) *rollouts {
	return &rollouts{
		n: n, moves: move.New(move.Settings{MemberID: n.settings.Name, Epoch: seedFor(n.process)}), orders: map[string]Rollout{}, ended: map[string]Rollout{}, forgotten: map[string]time.Time{},
		shares: map[string][]table.Share{}, faults: map[string]string{}, attempts: map[[2]string]tally.Counter{},
	}
}

// Replace implements feed.Handler.
func (r *rollouts) Replace(objects []feed.Object, _ bool) {
	listed := map[string]bool{}
	for _, o := range objects {
		listed[o.Name] = true
		r.update(o)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.orders {
		if !listed[name] {
			r.remove(name)
		}
	}
}

// Apply implements feed.Handler.
func (r *rollouts) Apply(e feed.Event, _ bool) {
	if !e.Deleted {
		r.update(e.Object)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(e.Object.Name)
}

// remove drops the rollout of a service. Callers must hold r.mu.
func (r *rollouts) remove(service string) {
	r.end(service)
	delete(r.orders, service)
	delete(r.forgotten, service)
	delete(r.faults, service)
	r.moves.Remove(service)
}

// end notes that the order of a service is removed or replaced. Only one of an earlier era may come back as the same order.
// Callers must hold r.mu.
func (r *rollouts) end(service string) {
	delete(r.ended, service)
	if o, ok := r.orders[service]; ok && o.era < r.n.eras.Number() {
		r.ended[service] = o
	}
}

func (r *rollouts) update(o feed.Object) {
	order, err := r.n.platform.DecodeRollout(o)
	log := r.n.log.WithField("object", o.Name)
	if err != nil {
		log.WithError(err).Warn("rollout could not be decoded")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.n.wall.Now()
	order.era = o.Era
	old, known := r.orders[order.Service]
	isForgotten := r.carryOver(&order)
	isNew := !known || moveID(old) != moveID(order)
	if order.Started.IsZero() {
		order.Started = now
		if !isNew {
			order.Started = old.Started
		}
	}
	if isNew || old.State != order.State {
		log.WithFields(logrus.Fields{"service": order.Service, "target": order.Target, "state": order.State, "ramp": order.Ramp.String()}).Info("rollout")
	}
	if isNew {
		r.end(order.Service)
	}
	r.orders[order.Service] = order
	r.moves.Configure(now, r.service(order))
	if known && isNew {
		// Nothing is recorded for a replaced order: its object holds the state of the new one.
		replaced := move.Object{Service: old.Service, Move: moveID(old)}
		r.moves.ApplyRecord(now, replaced, &move.Record{Service: old.Service, Move: replaced.Move, Outcome: move.Superseded, At: now})
	}
	r.recordOutcome(now, order)
	delete(r.forgotten, order.Service)
	switch {
	case isForgotten:
		r.forgotten[order.Service] = now
		log.WithFields(logrus.Fields{"service": order.Service, "target": order.Target, "state": order.State}).
			Info("the restored store has forgotten the state of the rollout; it is recorded again")
		r.n.recordedAgain("rollout")
		go r.record(order, order.State)
	case order.State == RolloutNew:
		go r.record(order, RolloutInProgress)
	}
}

// carryOver gives an order the start and the decision that are known of it from an earlier era of the store, and reports
// whether the store has forgotten the decision. In another era an order has another revision, so that its content
// identifies it: a store that was restored contains it as it was, or its writer writes it again.
func (r *rollouts) carryOver(order *Rollout) (isForgotten bool) {
	for _, old := range []Rollout{r.orders[order.Service], r.ended[order.Service]} {
		if old.Target != order.Target || old.Ramp != order.Ramp || old.era >= order.era && old.Order != order.Order {
			continue
		}
		if order.Started.IsZero() || !old.Started.IsZero() && old.Started.Before(order.Started) {
			order.Started = old.Started
		}
		if !order.State.isDecided() && old.State.isDecided() {
			order.State, order.Reason = old.State, old.Reason
			return true
		}
	}
	return false
}

// service converts an order to the configuration that package move works on.
func (r *rollouts) service(o Rollout) *config.Service {
	svc := &config.Service{Name: o.Service, ServingVersion: oldVersion, Move: &config.Move{
		ID: moveID(o), From: oldVersion, To: o.Target, Start: o.Started, Deadline: o.Started.Add(o.Ramp + moveLead - decisionLead),
		Stages: []config.Stage{{Share: r.n.settings.ExposedShare * exposureFraction, MinTime: 2 * o.Ramp}},
	}}
	if t := r.n.table.Load(); t != nil {
		for i := range t.Routes {
			if routesTo(&t.Routes[i], o.Service) {
				svc.Routes = append(svc.Routes, config.Route{Name: t.Routes[i].Name})
			}
		}
	}
	return svc
}

func routesTo(route *routing.Route, service string) bool {
	for _, s := range route.Shares {
		if s.Service == service {
			return true
		}
	}
	return false
}

func moveID(o Rollout) string { return fmt.Sprintf("%s-%d", o.Target, o.Order) }

// recordOutcome passes the recorded outcome of an order, if any, to package move. Callers must hold r.mu.
func (r *rollouts) recordOutcome(now time.Time, o Rollout) {
	object := move.Object{Service: o.Service, Move: moveID(o)}
	switch o.State {
	case RolloutComplete:
		r.moves.ApplyRecord(now, object, &move.Record{Service: o.Service, Move: object.Move, Outcome: move.Done, At: now})
	case RolloutReverted:
		r.moves.ApplyRecord(now, object, &move.Record{Service: o.Service, Move: object.Move, Outcome: move.RolledBack, At: now})
	default:
		r.moves.ApplyRecord(now, object, nil)
	}
}

// tick advances the moves, publishes their facts and records their proposed outcomes.
func (r *rollouts) tick(context.Context) {
	r.mu.Lock()
	if len(r.orders) == 0 {
		r.mu.Unlock()
		return
	}
	now := r.n.wall.Now()
	r.moves.SetMembers(r.n.memberIDs())
	out := r.moves.Tick(now)
	r.shares = out.Shares
	var proposals []Rollout
	for _, p := range out.Proposals {
		o, ok := r.orders[p.Service]
		if !ok || moveID(o) != p.Move || o.State.isDecided() {
			continue
		}
		o.State, o.Reason = RolloutReverted, p.Reason
		if p.Outcome == move.Done {
			o.State = RolloutComplete
		}
		r.n.log.WithFields(logrus.Fields{
			"service": o.Service, "target": o.Target, "outcome": p.Outcome, "reason": p.Reason, "evidence": r.moves.Evidence(o.Service),
		}).Info("rollout decided")
		proposals = append(proposals, o)
	}
	proposals = append(proposals, r.repeatForgotten(now)...)
	r.logFaults(now)
	r.mu.Unlock()
	for _, f := range out.Facts {
		r.n.mesh.Publish(f.Key, f.Value, f.TTL)
	}
	for _, p := range proposals {
		go r.record(p, p.State)
	}
}

// repeatForgotten returns the decisions to write again that the store still lacks: the write of one may have failed, as
// others do around a restore. Callers must hold r.mu.
func (r *rollouts) repeatForgotten(now time.Time) (due []Rollout) {
	for service, at := range r.forgotten {
		if now.Sub(at) >= forgottenRetry {
			r.forgotten[service] = now
			due = append(due, r.orders[service])
		}
	}
	return due
}

// logFaults logs once for each complete rollout that its target was found faulty afterwards. The requests then go to the
// old version while endpoints of it are listed, and to the target once they are gone. r.mu must be held.
func (r *rollouts) logFaults(now time.Time) {
	for name, o := range r.orders {
		status, ok := r.moves.Status(now, name)
		if !ok || o.State != RolloutComplete || status.State != move.Aborted || r.faults[name] == status.ID {
			continue
		}
		r.faults[name] = status.ID
		oldEndpoints, targetEndpoints := 0, 0
		for _, e := range r.n.fleet.Service(name) {
			if e.Version == o.Target {
				targetEndpoints++
			} else {
				oldEndpoints++
			}
		}
		r.n.log.WithFields(logrus.Fields{
			"service": name, "target": o.Target, "decided": o.Reason, "reason": status.Reason, "old_endpoints": oldEndpoints, "target_endpoints": targetEndpoints,
		}).Warn("target of a complete rollout is faulty")
	}
}

// record writes a state to the store. The feed then delivers what the store holds, also when another instance wrote
// first.
func (r *rollouts) record(o Rollout, state RolloutState) {
	o.State = state
	if err := r.n.platform.Rollouts.Record(context.Background(), o); err != nil {
		r.n.log.WithError(err).WithFields(logrus.Fields{"service": o.Service, "state": state}).Info("rollout state not recorded")
	}
}

// receive passes a peer's evidence to package move.
func (r *rollouts) receive(f peer.Fact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.moves.Receive(r.n.wall.Now(), f.Origin, f.Key, f.Value); err != nil {
		r.n.log.WithError(err).WithField("peer", f.Origin).Warn("evidence from peer rejected")
	}
}

// Version implements forward.Versions. Once a rollout is complete and the endpoints of the old version have been stopped,
// there is nothing to move back to, so that the service is not being moved any more whatever is seen of its target.
func (r *rollouts) Version(service, requestID string) (version string, isTarget, moving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.orders[service]
	if !ok {
		return "", false, false
	}
	shares, ok := r.shares[service]
	isTarget = !ok && o.State == RolloutComplete // the first tick has not set the shares yet
	for _, s := range shares {
		isTarget = isTarget || s.Version == o.Target && routing.HashFraction(requestID) < s.Fraction
	}
	return o.Target, isTarget, isTarget || o.State != RolloutComplete || r.hasOldEndpoints(o)
}

// hasOldEndpoints reports whether an endpoint of another version than the target is listed.
func (r *rollouts) hasOldEndpoints(o Rollout) bool {
	return slices.ContainsFunc(r.n.fleet.Service(o.Service), func(e *fleet.Endpoint) bool { return e.Version != o.Target })
}

// countAttempt counts an attempt as evidence on a version, old or target. r.mu must be held.
func (r *rollouts) countAttempt(version, result string) {
	key := [2]string{version, result}
	if r.attempts[key] == nil {
		r.attempts[key] = r.n.metrics.scope.Tagged(map[string]string{"version": version, "result": result}).Counter("rollout_attempts")
	}
	r.attempts[key].Inc(1)
}

// Observe implements forward.Versions.
func (r *rollouts) Observe(o forward.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	order, ok := r.orders[o.Service]
	if !ok {
		return
	}
	version, side := oldVersion, "old"
	if o.Version == order.Target {
		version, side = order.Target, "target"
	}
	outcome, result := move.OK, "ok"
	switch {
	case o.Excluded:
		outcome, result = move.Excluded, "excluded"
	case o.Failed:
		outcome, result = move.Failed, "failed"
	case o.Unsuccessful:
		outcome, result = move.Unsuccessful, "unsuccessful"
	}
	r.countAttempt(side, result)
	r.moves.Observe(r.n.wall.Now(), move.Result{
		Service: o.Service, Version: version, Route: strings.Clone(o.Route), Outcome: outcome, FirstToken: o.TimeToFirst, Load: o.Load,
	})
}
