// Package lease assigns a duty to one instance at a time through a lease object in the object store. Each grant carries
// a fencing token that is greater than all earlier ones, also if the store is restored from an older copy (see Restores).
// The lease alone does not guarantee mutual exclusion; it only
// avoids conflicting work. The holder's actions must be protected by conditional updates or by fencing at the receiver.
package lease

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/objstore"
)

// Errors of a Lease.
var (
	// ErrNotHeld means that this instance does not hold the lease, or that its grant has expired by its own clock.
	ErrNotHeld = errors.New("lease not held")
	// ErrStaleRead means that the store returned an older version of the object than before, so its data is not used.
	ErrStaleRead = errors.New("object store returned an older version of a lease than before")
)

// Default values of Settings.
const (
	// DefaultTerm bounds the time that a duty has no holder after its holder crashed.
	DefaultTerm = 15 * time.Second
	// DefaultMargin allows for clocks that run at different rates; 2 s in a term of 15 s is far above any real drift.
	DefaultMargin = 2 * time.Second
	// DefaultStagger is the head start of each candidate over the next; it is longer than a read and a write.
	DefaultStagger = 2 * time.Second
)

const (
	// renewals is the number of renewals within a term: two may fail before the lease is lost.
	renewals = 3
	// watchers is the number of candidates that read the object frequently. If all candidates did, 650 nodes would
	// cause 130 reads a second.
	watchers = 3
	// nonWatcherFactor is the factor by which the other candidates read less often; they are needed only when all
	// watchers are down.
	nonWatcherFactor = 20
	// manyCandidates is the number above which non-watchers read less often the more there are, so that their reads do not
	// grow with the fleet. Each checks in between whether it has become a watcher.
	manyCandidates = 32
	// pendingWriteInterval is the time between steps while an unconfirmed write may still take effect.
	pendingWriteInterval = time.Second
)

// Settings configures a Lease. Zero durations mean the defaults.
type Settings struct {
	Store     objstore.Store
	Duty      string          // the object is lease/<duty>
	Candidate string          // ID of this instance
	Process   uint64          // unique to a start of the instance, so that a restart doesn't inherit a grant
	Members   func() []string // IDs of the live candidates
	Term      time.Duration
	Margin    time.Duration // last part of the term, in which neither the holder nor a successor may act
	Stagger   time.Duration
	// Now is the clock; nil means time.Now. Where instances can be suspended, it must include suspended time.
	Now func() time.Time
	// Restores is set if the store may be restored from an older copy of itself, so that it forgets grants.
	Restores *Restores
}

// Grant permits its holder to carry out the duty until ValidUntil, a time of this process's clock.
type Grant struct {
	Token      uint64
	ValidUntil time.Time
	// PreviousEnd is the time at which the term of the previous holder ends; zero if there was none.
	PreviousEnd time.Time
}

// Lease acquires and renews the lease of a duty for one candidate. It is safe for concurrent use.
type Lease struct {
	settings Settings

	callMu   sync.Mutex // held during a store call, so that there is one at a time
	mu       sync.Mutex // guards the fields below
	observed observation
	grant    Grant // Token 0: not held
	pending  pendingWrite

	// For a store that may be restored; see Restores.
	started     time.Time
	era         uint64
	firstRead   time.Time // since when the object is known; zero: not read in this era
	connections uint64    // opened to the store when the object was last read
	highest     uint64    // token known to have been granted
}

// observation is the newest version of the lease object that this candidate read or wrote.
type observation struct {
	version   uint64
	record    record
	firstSeen time.Time // when this version was first read or written
}

// pendingWrite is the earliest unconfirmed write that may have taken effect or may still do so.
type pendingWrite struct {
	token       uint64
	sentAt      time.Time // time just before the write was sent
	previousEnd time.Time // end of the previous holder's term
}

// New returns a candidate that does not hold the lease yet.
func New(s Settings) *Lease {
	if s.Term == 0 {
		s.Term = DefaultTerm
	}
	if s.Margin == 0 {
		s.Margin = DefaultMargin
	}
	if s.Stagger == 0 {
		s.Stagger = DefaultStagger
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	return &Lease{settings: s, started: s.Now()}
}

// Held returns the current grant and whether it is still valid by Settings.Now.
func (l *Lease) Held() (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterEra()
	return l.grant, l.grant.Token != 0 && l.settings.Now().Before(l.grant.ValidUntil)
}

// Revalidate renews a held lease by a conditional update, which proves that no other candidate has acquired it. Callers
// commit a plan only under the grant that it returns. It returns ErrNotHeld if the lease is not held, and otherwise the
// error of the store.
func (l *Lease) Revalidate(ctx context.Context) (Grant, error) {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	if _, ok := l.Held(); !ok {
		return Grant{}, ErrNotHeld
	}
	before := l.observedVersion()
	if err := l.renew(ctx); err != nil {
		return Grant{}, err
	}
	g, ok := l.Held()
	if !ok || l.observedVersion() == before {
		return Grant{}, ErrNotHeld
	}
	return g, nil
}

// Run acquires and renews the lease until ctx is done, then releases it. It passes errors to report.
func (l *Lease) Run(ctx context.Context, report func(error)) {
	for ctx.Err() == nil {
		if err := l.Step(ctx); err != nil && ctx.Err() == nil {
			report(err)
		}
		l.wait(ctx)
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.callTimeout())
	defer cancel()
	if err := l.Release(end); err != nil {
		report(err)
	}
}

// wait waits until the next step is due. Among many candidates one may have become a watcher meanwhile.
func (l *Lease) wait(ctx context.Context) {
	for start := time.Now(); ctx.Err() == nil; {
		left := l.interval() - time.Since(start)
		if left <= 0 {
			return
		}
		if len(l.settings.Members()) > manyCandidates {
			left = min(left, l.settings.Term/renewals)
		}
		select {
		case <-ctx.Done():
		case <-time.After(left):
		}
	}
}

// Step renews a held lease. Otherwise it reads the lease object and acquires the lease if it is free or has expired.
func (l *Lease) Step(ctx context.Context) error {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	if _, ok := l.Held(); ok {
		return l.renew(ctx)
	}
	if err := l.read(ctx); err != nil {
		return err
	}
	if _, ok := l.Held(); ok || !l.mayAcquire() {
		return nil
	}
	return l.acquire(ctx)
}

// Release releases a held lease, so that the next candidate need not wait for the end of the term. The grant ends
// before the write: if the write fails, the others wait until the term ends.
func (l *Lease) Release(ctx context.Context) error {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	l.mu.Lock()
	l.enterEra()
	held, version := l.grant, l.observed.version
	l.grant, l.pending = Grant{}, pendingWrite{}
	l.mu.Unlock()
	if held.Token == 0 {
		return nil
	}
	_, err := l.put(ctx, l.record(held.Token, true), version)
	if errors.Is(err, objstore.ErrConflict) {
		return nil // another instance has acquired it
	}
	if err != nil {
		return fmt.Errorf("release lease of %s: %w", l.settings.Duty, err)
	}
	return nil
}

func (l *Lease) observedVersion() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.observed.version
}

func (l *Lease) key() string { return "lease/" + l.settings.Duty }

// callTimeout returns the timeout of a store call. It leaves time for another renewal after one that timed out.
func (l *Lease) callTimeout() time.Duration { return l.settings.Term / (renewals + 1) }

func (l *Lease) interval() time.Duration {
	l.mu.Lock()
	hasPending := l.pending.token != 0
	l.mu.Unlock()
	if hasPending {
		return pendingWriteInterval
	}
	interval := l.settings.Term / renewals
	if _, held := l.Held(); !held && l.rank() >= watchers {
		return nonWatcherFactor * interval * time.Duration(max(1, len(l.settings.Members())/manyCandidates))
	}
	return interval
}
