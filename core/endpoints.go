package core

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/table"
)

const (
	// factLeaving is the key prefix of facts about leaving endpoints.
	factLeaving = "leaving/"
	// factLeavingDomain is the key prefix of facts about failure domains that leave as a whole.
	factLeavingDomain = "leaving-domain/"
	// leavingTTL bounds how long a notice is believed; the instance list confirms it long before.
	leavingTTL = 10 * time.Minute
	// suspectTime is how long an endpoint gets no new work after its connections broke.
	suspectTime = 2 * time.Second
	// averageWeight is the reciprocal of the weight of a new sample in a moving average.
	averageWeight = 8
	// suspectTimeMax bounds the doubling of suspectTime while an endpoint keeps failing.
	suspectTimeMax = 30 * time.Second
)

// endpoints is the endpoint table and the system that runs over it.
type endpoints struct {
	rows     map[string]*table.Endpoint
	notices  map[string]time.Time     // endpoint to the time by which it leaves
	domains  map[string]time.Time     // failure domain to the time by which it leaves
	suspects map[string]time.Duration // endpoint to its last suspect time
	sorted   map[string][]*table.Endpoint
}

// list replaces the rows by the platform's list. Notices and own observations win over the list, which lags.
func (t *endpoints) list(now time.Time, instances []cloud.Instance) {
	rows := make(map[string]*table.Endpoint, len(instances))
	for i := range instances {
		in := &instances[i]
		if in.Role != cloud.RoleEndpoint {
			continue
		}
		rows[in.ID] = t.fromInstance(in)
	}
	t.rows = rows
	for id, by := range t.notices {
		if _, listed := rows[id]; !listed && now.After(by) {
			delete(t.notices, id)
		}
	}
	t.sorted = nil
}

func (t *endpoints) fromInstance(in *cloud.Instance) *table.Endpoint {
	e := &table.Endpoint{
		ID: in.ID, Address: in.Address, FailureDomain: in.FailureDomain, Class: in.Class, Price: in.Price,
		Reclaimable: in.Reclaimable, Service: in.Service, Version: in.Version,
	}
	if old, ok := t.rows[in.ID]; ok && old.Address == in.Address {
		e.Live, e.Load = old.Live, old.Load
		e.Condition, e.ProbeAfter, e.LeaveBy = old.Condition, old.ProbeAfter, old.LeaveBy
	} else {
		e.Live = &table.Counters{}
	}
	if in.State == cloud.StateLeaving {
		e.Condition, e.LeaveBy = table.Leaving, in.LeaveBy
	}
	if by, ok := t.notice(e); ok {
		e.Condition, e.LeaveBy = table.Leaving, by
	}
	return e
}

// notice returns the earliest time by which an endpoint leaves according to notices.
func (t *endpoints) notice(e *table.Endpoint) (time.Time, bool) {
	by, ok := t.notices[e.ID]
	if domainBy, domain := t.domains[e.FailureDomain]; domain && (!ok || domainBy.Before(by)) {
		return domainBy, true
	}
	return by, ok
}

// leaving marks endpoints as leaving and spreads the notice when it is new.
func (t *endpoints) leaving(now time.Time, e EndpointLeaving) []Command {
	if !t.noteLeaving(now, e) {
		return nil
	}
	key := factLeaving + e.Endpoint
	if e.Endpoint == "" {
		key = factLeavingDomain + e.FailureDomain
	}
	value, err := cbor.Marshal(e.By.UnixMilli())
	if err != nil {
		return []Command{Alert{Message: "encode leaving notice", Subject: e.Endpoint}}
	}
	return []Command{PublishFact{Key: key, Value: value, TTL: leavingTTL}}
}

// noteLeaving applies a notice and reports whether it was new.
func (t *endpoints) noteLeaving(now time.Time, e EndpointLeaving) bool {
	if t.notices == nil {
		t.notices, t.domains = map[string]time.Time{}, map[string]time.Time{}
	}
	known, subject := t.notices, e.Endpoint
	if subject == "" {
		known, subject = t.domains, e.FailureDomain
	}
	if by, ok := known[subject]; ok && !now.After(by) {
		return false
	}
	known[subject] = e.By
	for id, row := range t.rows {
		if by, ok := t.notice(row); ok && row.Condition != table.Leaving {
			t.update(id, func(r *table.Endpoint) { r.Condition, r.LeaveBy = table.Leaving, by })
		}
	}
	return true
}

func (t *endpoints) load(e LoadReported) {
	if row, ok := t.rows[e.Endpoint]; ok && e.Load.At.After(row.Load.At) {
		e.Load.Own = int(row.Live.InFlight.Load())
		t.update(e.Endpoint, func(r *table.Endpoint) { r.Load = e.Load })
	}
}

func (t *endpoints) attemptDone(now time.Time, e AttemptDone) {
	switch e.Result {
	case Succeeded:
		t.measure(e)
		delete(t.suspects, e.Endpoint)
		if row, ok := t.rows[e.Endpoint]; ok && row.Condition == table.Suspect {
			t.update(e.Endpoint, func(r *table.Endpoint) { r.Condition = table.Ready })
		}
	case EndpointLost:
		t.crashed(now, e.Endpoint)
	}
}

// measure updates the moving averages of an endpoint.
func (t *endpoints) measure(e AttemptDone) {
	if row, ok := t.rows[e.Endpoint]; ok {
		average(&row.Live.FirstToken, e.FirstToken)
		average(&row.Live.PerToken, e.PerToken)
	}
}

// average moves an average in microseconds by a part of its distance to the sample, and to the first sample at once.
func average(a *atomic.Int64, sample time.Duration) {
	us, old := sample.Microseconds(), a.Load()
	switch {
	case us <= 0:
	case old == 0:
		a.Store(us)
	default:
		a.Store(max(1, old+(us-old)/averageWeight))
	}
}

// crashed takes an endpoint out of service for a time that doubles while it keeps failing.
func (t *endpoints) crashed(now time.Time, id string) {
	row, ok := t.rows[id]
	if !ok || row.Condition != table.Ready {
		return
	}
	if t.suspects == nil {
		t.suspects = map[string]time.Duration{}
	}
	wait := min(max(suspectTime, 2*t.suspects[id]), suspectTimeMax)
	t.suspects[id] = wait
	t.update(id, func(r *table.Endpoint) { r.Condition, r.ProbeAfter = table.Suspect, now.Add(wait) })
}

// tick returns suspect endpoints to service after their wait and forgets notices about failure domains that passed.
func (t *endpoints) tick(now time.Time) {
	for id, row := range t.rows {
		if row.Condition == table.Suspect && !now.Before(row.ProbeAfter) {
			t.update(id, func(r *table.Endpoint) { r.Condition = table.Ready })
		}
	}
	for domain, by := range t.domains {
		if now.After(by.Add(leavingTTL)) {
			delete(t.domains, domain)
		}
	}
}

// update replaces a row by a changed copy, since snapshots hold the old one.
func (t *endpoints) update(id string, change func(*table.Endpoint)) {
	changed := *t.rows[id]
	change(&changed)
	t.rows[id] = &changed
	t.sorted = nil
}

// ofService returns the rows of a service, sorted by ID.
func (t *endpoints) ofService(name string) []*table.Endpoint {
	if t.sorted == nil {
		t.sorted = map[string][]*table.Endpoint{}
		for _, row := range t.rows {
			t.sorted[row.Service] = append(t.sorted[row.Service], row)
		}
		for _, rows := range t.sorted {
			slices.SortFunc(rows, func(a, b *table.Endpoint) int { return strings.Compare(a.ID, b.ID) })
		}
	}
	return t.sorted[name]
}
