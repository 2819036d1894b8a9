// Package reachability decides whether an instance can reach the endpoints at all. It distinguishes endpoints that are
// down from a fault of the instance's own links: only the latter makes new connections fail to all endpoints. Tracker decides
// and opens no connections; Prober opens them.
package reachability

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// minFailed is the number of distinct endpoints to which connections must have failed before an instance is isolated,
	// unless there are fewer. Two endpoints that are down at once are common.
	minFailed = 3
	// maxProbed bounds the endpoints that are probed before a decision. Up to this number of endpoints all of them
	// must have failed; of more, some in each zone and of each service.
	maxProbed = 8
	// failureTTL is how long a failed connection counts. It is longer than two rounds of probes take and shorter than the
	// time after which an endpoint that crashed may be back.
	failureTTL = 2 * time.Second
	// suspicionDelay is the time after a failed connection before the first probe: the attempt at another endpoint that
	// follows usually shows within a few milliseconds that the endpoint was at fault.
	suspicionDelay = 50 * time.Millisecond
	// silenceLimit is the time for which no byte may come from any endpoint after a request was sent before that is a
	// suspicion. It leaves two thirds of the 1 s within which isolation is to be detected for probes that time out.
	silenceLimit = 300 * time.Millisecond
	// suspicionInterval is the least time between the end of a suspicion and the probes of the next one. An endpoint that is
	// down and long computations cause suspicions again and again, and each connection has a price.
	suspicionInterval = 500 * time.Millisecond
	// isolatedInterval is the mean time between rounds of probes during isolation. It bounds how late the end is seen.
	isolatedInterval = 250 * time.Millisecond
	// isolatedProbes is the number of endpoints in such a round: the end of isolation needs recoveryAccepts, and one
	// endpoint may be down.
	isolatedProbes = recoveryAccepts + 1
	// recoveryAccepts is the number of distinct endpoints that must accept a connection to end isolation.
	recoveryAccepts = 2
	// recoveryTime is the time over which a single endpoint must accept connections to end isolation, since all others may
	// be down.
	recoveryTime = time.Second
)

// Endpoint is an endpoint that may be probed.
type Endpoint struct {
	Address string // host:port
	Zone    string
	Service string
}

// Tracker decides from the results of new connections to endpoints whether this instance is isolated, that is, can reach
// no endpoint. Bytes on connections that are already open say nothing about new ones and count for nothing. It is safe
// for concurrent use.
type Tracker struct {
	isolated atomic.Bool
	// silentSince is when a request was sent after which no byte has come from any endpoint, in Unix nanoseconds; 0: there
	// is none.
	silentSince atomic.Int64

	mu        sync.Mutex
	rand      *rand.Rand
	endpoints []Endpoint
	failed    map[string]failures  // by address, since the last success
	since     time.Time            // begin of the failures that led to isolation
	accepted  map[string]time.Time // by address, while isolated: first of the connections accepted without a failure
	nextProbe time.Time
	next      int // index of the endpoint that the next round during isolation begins with
	onChange  func(Change)
}

// failures are the failed connections to one endpoint.
type failures struct{ first, last time.Time }

// Change is the begin or the end of isolation.
type Change struct {
	Isolated  bool
	Endpoints int           // distinct endpoints to which connections failed (begin) or that have accepted one (end)
	Duration  time.Duration // since the first of these failures (begin), or since the first failure of the isolation (end)
}

// NewTracker returns a tracker of an instance that is not isolated.
func NewTracker() *Tracker {
	return &Tracker{rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), failed: map[string]failures{}, accepted: map[string]time.Time{}}
}

// OnChange sets the function that is called at the begin and the end of isolation. It must be set before the tracker is
// used, and fn must not call the tracker's methods except IsIsolated.
func (t *Tracker) OnChange(fn func(Change)) { t.onChange = fn }

// IsIsolated reports whether this instance can reach no endpoint.
func (t *Tracker) IsIsolated() bool { return t.isolated.Load() }

// SetEndpoints sets the endpoints that may get work. Without it, connections to any minFailed endpoints decide.
func (t *Tracker) SetEndpoints(all []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpoints = all
}

// RecordSent records that a request was sent to an endpoint.
func (t *Tracker) RecordSent(now time.Time) { t.silentSince.CompareAndSwap(0, now.UnixNano()) }

// RecordReceived records that bytes have come from an endpoint.
func (t *Tracker) RecordReceived() {
	if t.silentSince.Load() != 0 {
		t.silentSince.Store(0)
	}
}

// RecordDial records the result of opening a connection to an endpoint. Failures whose cause is on this side, such as the end
// of the caller's context or a lack of descriptors, count for nothing.
func (t *Tracker) RecordDial(address string, err error, now time.Time) {
	if isLocal(err) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil && t.isolated.Load():
		t.accept(address, now)
	case err == nil:
		t.endSuspicion(now)
	default:
		t.fail(address, now)
	}
}

func isLocal(err error) bool {
	for _, local := range []error{context.Canceled, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// endSuspicion drops the failures after a success, and delays the next probes if there was a suspicion. Callers must hold t.mu.
func (t *Tracker) endSuspicion(now time.Time) {
	if len(t.failed) > 0 || t.isSilent(now) {
		t.nextProbe = now.Add(suspicionInterval)
	}
	t.silentSince.Store(0)
	clear(t.failed)
}

// fail records a failed connection. Callers must hold t.mu.
func (t *Tracker) fail(address string, now time.Time) {
	delete(t.accepted, address)
	if t.isolated.Load() {
		return
	}
	t.expire(now)
	f, ok := t.failed[address]
	if !ok {
		f.first = now
	}
	f.last = now
	t.failed[address] = f
	t.decide(now)
}

// decide begins isolation if connections have failed to enough endpoints. Callers must hold t.mu.
func (t *Tracker) decide(now time.Time) {
	if !t.isDecided() {
		return
	}
	t.since = t.firstFailure()
	change := Change{Isolated: true, Endpoints: len(t.failed), Duration: now.Sub(t.since)}
	clear(t.failed)
	clear(t.accepted)
	t.nextProbe = now.Add(isolatedInterval)
	t.set(change)
}

// firstFailure returns the time of the first of the failures that count. Callers must hold t.mu.
func (t *Tracker) firstFailure() time.Time {
	var first time.Time
	for _, f := range t.failed {
		if first.IsZero() || f.first.Before(first) {
			first = f.first
		}
	}
	return first
}

// accept records a connection that was accepted during isolation. Callers must hold t.mu.
func (t *Tracker) accept(address string, now time.Time) {
	maps.DeleteFunc(t.accepted, func(_ string, first time.Time) bool { return now.Sub(first) > recoveryTime+failureTTL })
	first, ok := t.accepted[address]
	if !ok {
		first = now
		t.accepted[address] = now
	}
	if len(t.accepted) < recoveryAccepts && now.Sub(first) < recoveryTime {
		return
	}
	change := Change{Endpoints: len(t.accepted), Duration: now.Sub(t.since)}
	clear(t.accepted)
	t.silentSince.Store(0)
	t.nextProbe = now
	t.set(change)
}

// set changes the state. Callers must hold t.mu.
func (t *Tracker) set(c Change) {
	t.isolated.Store(c.Isolated)
	if t.onChange != nil {
		t.onChange(c)
	}
}

// expire drops failures that no longer count. Callers must hold t.mu.
func (t *Tracker) expire(now time.Time) {
	maps.DeleteFunc(t.failed, func(_ string, f failures) bool { return now.Sub(f.last) > failureTTL })
}

// isDecided reports whether connections have failed to enough endpoints. Callers must hold t.mu.
func (t *Tracker) isDecided() bool {
	if len(t.endpoints) == 0 {
		return len(t.failed) >= minFailed
	}
	return len(t.failed) > 0 && len(t.missing(maxProbed)) == 0
}

// missing returns endpoints, at most limit of them, that must also fail before the instance is isolated; empty: enough
// have failed. Endpoints in zones and of services of which none has failed come first. Callers must hold t.mu.
func (t *Tracker) missing(limit int) []Endpoint {
	zones, services := map[string]bool{}, map[string]bool{}
	var rest []Endpoint
	failed := 0
	for _, e := range t.endpoints {
		if _, ok := t.failed[e.Address]; !ok {
			rest = append(rest, e)
			continue
		}
		failed++
		zones[e.Zone], services[e.Service] = true, true
	}
	t.rand.Shuffle(len(rest), func(i, k int) { rest[i], rest[k] = rest[k], rest[i] })
	needed := min(minFailed, len(t.endpoints)) - failed
	all := len(t.endpoints) <= maxProbed
	var chosen []Endpoint
	take := func(e Endpoint) {
		chosen = append(chosen, e)
		zones[e.Zone], services[e.Service] = true, true
	}
	for _, most := range []int{2, 1, 0} { // new zones and services that an endpoint adds
		for i := 0; i < len(rest) && len(chosen) < limit; {
			e := rest[i]
			added := 0
			if !zones[e.Zone] {
				added++
			}
			if !services[e.Service] {
				added++
			}
			if added < most || most == 0 && !all && len(chosen) >= needed {
				i++
				continue
			}
			take(e)
			rest = slices.Delete(rest, i, i+1)
		}
	}
	return chosen
}

// isSilent reports whether no byte has come from any endpoint for silenceLimit after a request was sent.
func (t *Tracker) isSilent(now time.Time) bool {
	since := t.silentSince.Load()
	return since != 0 && now.UnixNano()-since >= int64(silenceLimit)
}

// ProbeTargets returns the endpoints to which connections are to be opened now to decide about isolation, usually none. The
// results must be recorded with RecordDial before the next call.
func (t *Tracker) ProbeTargets(now time.Time) []Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.endpoints) == 0 || now.Before(t.nextProbe) {
		return nil
	}
	if t.isolated.Load() {
		t.nextProbe = now.Add(isolatedInterval*3/4 + time.Duration(t.rand.Int64N(int64(isolatedInterval/2))))
		return t.rotate()
	}
	t.expire(now)
	silent := t.isSilent(now)
	switch {
	case len(t.failed) > 1, len(t.failed) == 1 && silent:
		if t.decide(now); t.isolated.Load() { // the list of endpoints may have changed since the last failure
			return t.rotate()
		}
		return t.missing(maxProbed)
	case silent, len(t.failed) == 1 && now.Sub(t.firstFailure()) >= suspicionDelay:
		return t.missing(1) // one that accepts is enough to end the suspicion
	}
	return nil
}

// rotate returns the next endpoints to probe during isolation: those that have accepted a connection, and others in turn.
// Callers must hold t.mu.
func (t *Tracker) rotate() []Endpoint {
	var targets []Endpoint
	for _, e := range t.endpoints {
		if _, ok := t.accepted[e.Address]; ok {
			targets = append(targets, e)
		}
	}
	for range t.endpoints {
		if len(targets) >= isolatedProbes {
			break
		}
		t.next = (t.next + 1) % len(t.endpoints)
		if e := t.endpoints[t.next]; !slices.Contains(targets, e) {
			targets = append(targets, e)
		}
	}
	return targets
}
