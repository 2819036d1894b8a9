// Package lease gives a duty to one instance at a time by a lease object in the object API. Each grant carries a
// fencing token above all earlier ones. The lease only keeps instances from working against each other: what the
// holder does must be safe by conditional updates or by fencing at the receiver.
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
	// ErrNotHeld means that this instance does not hold the lease, or that its term has run out by its own clock.
	ErrNotHeld = errors.New("lease not held")
	// ErrOldData means that the store showed an older version than it did before, so that it can't be believed.
	ErrOldData = errors.New("object store showed an older version of a lease")
)

// Defaults of Settings.
const (
	// DefaultTerm bounds how long a duty rests after its holder died.
	DefaultTerm = 15 * time.Second
	// DefaultMargin covers clocks that run at different rates during a term; 2 s in 15 s is far above any real clock.
	DefaultMargin = 2 * time.Second
	// DefaultStagger is the advantage of each candidate over the next; it is longer than a read and a write.
	DefaultStagger = 2 * time.Second
)

const (
	// renewals is the number of renewals within a term, so that two may fail before the lease is lost.
	renewals = 3
	// watchers is the number of candidates that read the object often. At 650 nodes, all would cost 130 reads a second.
	watchers = 3
	// outsiderFactor is how much more rarely the other candidates read; they matter only when the watchers are gone.
	outsiderFactor = 20
	// settleInterval is the time between reads while a write may still take effect.
	settleInterval = time.Second
)

// Settings of a Lease. Zero durations mean the defaults.
type Settings struct {
	Store     objstore.Store
	Duty      string          // the object is lease/<duty>
	Candidate string          // ID of this instance
	Process   uint64          // differs between the starts of an instance, so that a start doesn't inherit a grant
	Members   func() []string // IDs of the live candidates
	Term      time.Duration
	Margin    time.Duration // part of the term in which neither the holder nor a successor works
	Stagger   time.Duration
	// Now is the clock; nil means time.Now. Where instances can be suspended it must count that time too.
	Now func() time.Time
}

// Grant is the right to carry out the duty until a time of this process's clock.
type Grant struct {
	Token      uint64
	ValidUntil time.Time
	// PreviousEnd is when the term of the previous holder ends; zero without one.
	PreviousEnd time.Time
}

// Lease is one candidate for a duty. It is safe for concurrent use.
type Lease struct {
	settings Settings

	call  sync.Mutex // held over a store call, so that there is one at a time
	mu    sync.Mutex // guards the fields below
	seen  seen
	grant Grant // Token 0: not held
	sent  sent
}

// seen is the newest version of the object that was read or written.
type seen struct {
	version uint64
	record  record
	since   time.Time // when this version was first seen
}

// sent is the earliest write that may have taken effect and was not confirmed yet.
type sent struct {
	token    uint64
	at       time.Time // before the write
	previous time.Time // end of the previous holder's term
}

// New returns a candidate that holds nothing yet.
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
	return &Lease{settings: s}
}

// Held returns the grant while it is valid by this process's monotonic clock.
func (l *Lease) Held() (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant, l.grant.Token != 0 && l.settings.Now().Before(l.grant.ValidUntil)
}

// Revalidate renews a held lease by a conditional update, which proves that nobody has taken it over. A plan is
// committed only under the grant that it returns.
func (l *Lease) Revalidate(ctx context.Context) (Grant, error) {
	l.call.Lock()
	defer l.call.Unlock()
	if _, ok := l.Held(); !ok {
		return Grant{}, ErrNotHeld
	}
	before := l.versionSeen()
	if err := l.renew(ctx); err != nil {
		return Grant{}, err
	}
	g, ok := l.Held()
	if !ok || l.versionSeen() == before {
		return Grant{}, ErrNotHeld
	}
	return g, nil
}

// Run keeps trying for the lease and renewing it until ctx is done, then gives it up. Errors go to report.
func (l *Lease) Run(ctx context.Context, report func(error)) {
	for ctx.Err() == nil {
		if err := l.Step(ctx); err != nil && ctx.Err() == nil {
			report(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.interval()):
		}
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.callTimeout())
	defer cancel()
	if err := l.GiveUp(end); err != nil {
		report(err)
	}
}

// Step renews a held lease, or reads the object and takes a lease that is free or has expired.
func (l *Lease) Step(ctx context.Context) error {
	l.call.Lock()
	defer l.call.Unlock()
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

// GiveUp ends a held lease at once, so that the next candidate need not wait for the end of the term. The grant ends
// here first: when the write fails, the others wait for the term.
func (l *Lease) GiveUp(ctx context.Context) error {
	l.call.Lock()
	defer l.call.Unlock()
	l.mu.Lock()
	held, version := l.grant, l.seen.version
	l.grant, l.sent = Grant{}, sent{}
	l.mu.Unlock()
	if held.Token == 0 {
		return nil
	}
	_, err := l.put(ctx, l.record(held.Token, true), version)
	if errors.Is(err, objstore.ErrConflict) {
		return nil // another instance holds it
	}
	if err != nil {
		return fmt.Errorf("give up lease of %s: %w", l.settings.Duty, err)
	}
	return nil
}

func (l *Lease) versionSeen() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen.version
}

func (l *Lease) key() string { return "lease/" + l.settings.Duty }

// callTimeout bounds a store call, so that a renewal that hangs leaves time for another.
func (l *Lease) callTimeout() time.Duration { return l.settings.Term / (renewals + 1) }

func (l *Lease) interval() time.Duration {
	l.mu.Lock()
	unsettled := l.sent.token != 0
	l.mu.Unlock()
	if unsettled {
		return settleInterval
	}
	interval := l.settings.Term / renewals
	if _, held := l.Held(); !held && l.rank() >= watchers {
		return outsiderFactor * interval
	}
	return interval
}
