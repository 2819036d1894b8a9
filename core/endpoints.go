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
	// noticeTTL is how long a published leaving notice is kept, and how long the notice of a failure domain is kept
	// after its leave time. The instance list confirms a notice long before.
	noticeTTL = 10 * time.Minute
	// suspectTime is how long an endpoint gets no new attempts after its connections first broke.
	suspectTime = 2 * time.Second
	// averageDivisor is the reciprocal of the weight of a new sample in an exponential moving average.
	averageDivisor = 8
	// maxSuspectTime bounds the doubling of suspectTime while an endpoint keeps failing.
	maxSuspectTime = 30 * time.Second
)

// endpoints is the endpoint table with the notices and the failures that determine the conditions of its rows.
type endpoints struct {
	rows          map[string]*table.Endpoint
	notices       map[string]time.Time     // endpoint to the time by which it leaves
	domainNotices map[string]time.Time     // failure domain to the time by which it leaves
	suspectTimes  map[string]time.Duration // endpoint to its latest suspect time
	byService     map[string][]*table.Endpoint
}

// replaceRows replaces the rows by the platform's list. Notices and this instance's observations take precedence over
// the list, which lags.
func (t *endpoints) replaceRows(now time.Time, instances []cloud.Instance) {
	rows := make(map[string]*table.Endpoint, len(instances))
	for i := range instances {
		in := &instances[i]
		if in.Role != cloud.RoleEndpoint {
			continue
		}
		rows[in.ID] = t.newRow(in)
	}
	t.rows = rows
	for id, by := range t.notices {
		if _, listed := rows[id]; !listed && now.After(by) {
			delete(t.notices, id)
		}
	}
	t.byService = nil
}

// newRow returns the row of a listed endpoint. It keeps load and condition of the old row unless the address differs.
func (t *endpoints) newRow(in *cloud.Instance) *table.Endpoint {
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
	if by, ok := t.leaveTime(e); ok {
		e.Condition, e.LeaveBy = table.Leaving, by
	}
	return e
}

// leaveTime returns the earliest time by which an endpoint leaves according to the notices for it and for its failure
// domain, and false without a notice.
func (t *endpoints) leaveTime(e *table.Endpoint) (time.Time, bool) {
	by, ok := t.notices[e.ID]
	if domainBy, domain := t.domainNotices[e.FailureDomain]; domain && (!ok || domainBy.Before(by)) {
		return domainBy, true
	}
	return by, ok
}

// announceLeaving marks endpoints as leaving and publishes the notice to the other members when it is new.
func (t *endpoints) announceLeaving(now time.Time, e EndpointLeaving) []Command {
	if !t.recordLeaving(now, e) {
		return nil
	}
	key := factLeaving + e.Endpoint
	if e.Endpoint == "" {
		key = factLeavingDomain + e.FailureDomain
	}
	value, err := cbor.Marshal(e.LeaveBy.UnixMilli())
	if err != nil {
		return []Command{Alert{Message: "failed to encode a leaving notice", Subject: e.Endpoint}}
	}
	return []Command{PublishFact{Key: key, Value: value, TTL: noticeTTL}}
}

// recordLeaving applies a notice and reports whether it was new.
func (t *endpoints) recordLeaving(now time.Time, e EndpointLeaving) bool {
	if t.notices == nil {
		t.notices, t.domainNotices = map[string]time.Time{}, map[string]time.Time{}
	}
	notices, subject := t.notices, e.Endpoint
	if subject == "" {
		notices, subject = t.domainNotices, e.FailureDomain
	}
	if by, ok := notices[subject]; ok && !now.After(by) {
		return false
	}
	notices[subject] = e.LeaveBy
	for id, row := range t.rows {
		if by, ok := t.leaveTime(row); ok && row.Condition != table.Leaving {
			t.update(id, func(r *table.Endpoint) { r.Condition, r.LeaveBy = table.Leaving, by })
		}
	}
	return true
}

// recordLoad applies a load report that is newer than the row's.
func (t *endpoints) recordLoad(e LoadReported) {
	if row, ok := t.rows[e.Endpoint]; ok && e.Load.MeasuredAt.After(row.Load.MeasuredAt) {
		e.Load.OwnInFlight = int(row.Live.InFlight.Load())
		t.update(e.Endpoint, func(r *table.Endpoint) { r.Load = e.Load })
	}
}

// recordAttempt updates the averages and the condition of an endpoint after an attempt. A success makes a suspect
// endpoint ready again.
func (t *endpoints) recordAttempt(now time.Time, e AttemptDone) {
	switch e.Result {
	case Succeeded:
		t.updateAverages(e)
		delete(t.suspectTimes, e.Endpoint)
		if row, ok := t.rows[e.Endpoint]; ok && row.Condition == table.Suspect {
			t.update(e.Endpoint, func(r *table.Endpoint) { r.Condition = table.Ready })
		}
	case EndpointLost:
		t.markSuspect(now, e.Endpoint)
	}
}

// updateAverages updates the moving averages of an endpoint.
func (t *endpoints) updateAverages(e AttemptDone) {
	if row, ok := t.rows[e.Endpoint]; ok {
		updateAverage(&row.Live.FirstToken, e.FirstToken)
		updateAverage(&row.Live.PerToken, e.PerToken)
	}
}

// updateAverage adds a sample to an exponential moving average in microseconds. The first sample sets the average.
func updateAverage(a *atomic.Int64, sample time.Duration) {
	us, old := sample.Microseconds(), a.Load()
	switch {
	case us <= 0:
	case old == 0:
		a.Store(us)
	default:
		a.Store(max(1, old+(us-old)/averageDivisor))
	}
}

// markSuspect marks a ready endpoint as suspect for a time that doubles, up to maxSuspectTime, while it keeps failing.
func (t *endpoints) markSuspect(now time.Time, id string) {
	row, ok := t.rows[id]
	if !ok || row.Condition != table.Ready {
		return
	}
	if t.suspectTimes == nil {
		t.suspectTimes = map[string]time.Duration{}
	}
	wait := min(max(suspectTime, 2*t.suspectTimes[id]), maxSuspectTime)
	t.suspectTimes[id] = wait
	t.update(id, func(r *table.Endpoint) { r.Condition, r.ProbeAfter = table.Suspect, now.Add(wait) })
}

// tick marks suspect endpoints as ready after their suspect time and drops expired notices of failure domains.
func (t *endpoints) tick(now time.Time) {
	for id, row := range t.rows {
		if row.Condition == table.Suspect && !now.Before(row.ProbeAfter) {
			t.update(id, func(r *table.Endpoint) { r.Condition = table.Ready })
		}
	}
	for domain, by := range t.domainNotices {
		if now.After(by.Add(noticeTTL)) {
			delete(t.domainNotices, domain)
		}
	}
}

// update replaces a row by a changed copy, because snapshots share the old one.
func (t *endpoints) update(id string, change func(*table.Endpoint)) {
	changed := *t.rows[id]
	change(&changed)
	t.rows[id] = &changed
	t.byService = nil
}

// ofService returns the rows of a service, sorted by ID.
func (t *endpoints) ofService(name string) []*table.Endpoint {
	if t.byService == nil {
		t.byService = map[string][]*table.Endpoint{}
		for _, row := range t.rows {
			t.byService[row.Service] = append(t.byService[row.Service], row)
		}
		for _, rows := range t.byService {
			slices.SortFunc(rows, func(a, b *table.Endpoint) int { return strings.Compare(a.ID, b.ID) })
		}
	}
	return t.byService[name]
}
