package lease

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/era"
	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/rendezvous"
)

// record is the value of the lease object. It contains no timestamps, since clocks of different instances are never
// compared.
type record struct {
	Holder  string        `cbor:"1,keyasint"`
	Process uint64        `cbor:"2,keyasint"`
	Token   uint64        `cbor:"3,keyasint"`
	Term    time.Duration `cbor:"4,keyasint"`
	Free    bool          `cbor:"5,keyasint"` // released by its holder
	// Writes counts the writes of the object. Without it a renewal would not change the record, and in a store that
	// keeps the version of an unchanged value the other candidates could not detect the renewal.
	Writes uint64 `cbor:"6,keyasint"`
}

func (l *Lease) record(token uint64, free bool) record {
	l.mu.Lock()
	writes := l.observed.record.Writes + 1
	l.mu.Unlock()
	return record{
		Holder: l.settings.Candidate, Process: l.settings.Process, Token: token, Term: l.settings.Term, Free: free, Writes: writes,
	}
}

// rank returns this candidate's position in the rendezvous order of the duty, 0 for the preferred candidate.
func (l *Lease) rank() int {
	members := l.settings.Members()
	if i := slices.Index(rendezvous.Top(l.key(), members, len(members)), l.settings.Candidate); i >= 0 {
		return i
	}
	return len(members)
}

// mayAcquire reports whether the lease is free or its version has not changed for the whole term. Candidates further
// down the rendezvous order wait longer, so that usually only one tries.
func (l *Lease) mayAcquire() bool {
	wait := time.Duration(min(l.rank(), watchers)) * l.settings.Stagger
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observed.version > 0 && !l.observed.record.Free {
		wait += max(l.observed.record.Term, l.settings.Term)
	}
	now := l.settings.Now()
	return now.Sub(l.observed.firstSeen) >= wait && now.Sub(l.firstRead) >= l.minReadTime()
}

func (l *Lease) acquire(ctx context.Context) error {
	l.mu.Lock()
	next := pendingWrite{token: l.nextToken(), sentAt: l.settings.Now()}
	if l.observed.version > 0 {
		next.previousEnd = l.observed.firstSeen.Add(l.observed.record.Term)
	}
	l.mu.Unlock()
	return l.write(ctx, next)
}

func (l *Lease) renew(ctx context.Context) error {
	l.mu.Lock()
	next := pendingWrite{token: l.grant.Token, sentAt: l.settings.Now(), previousEnd: l.grant.PreviousEnd}
	l.mu.Unlock()
	return l.write(ctx, next)
}

// write replaces the observed version of the object by the record of a grant. If the result of the write is unknown, it
// reads the object back; a grant found there counts from the earliest write with its token that may have taken effect.
func (l *Lease) write(ctx context.Context, next pendingWrite) error {
	l.mu.Lock()
	number := l.era
	if l.enterEra(); l.era != number {
		l.mu.Unlock()
		return fmt.Errorf("write lease of %s: %w", l.settings.Duty, era.ErrChanged) // decided by what an earlier era showed
	}
	earlier := l.pending
	if earlier.token != next.token {
		l.pending = next
	}
	l.mu.Unlock()
	rec := l.record(next.token, false)
	version, err := l.put(ctx, rec, l.observedVersion())
	switch {
	case err == nil:
		l.setPending(next)
		return l.observe(number, version, rec)
	case errors.Is(err, objstore.ErrUnavailable):
		l.setPending(earlier)
		return fmt.Errorf("write lease of %s: %w", l.settings.Duty, err)
	default:
		return l.read(ctx)
	}
}

func (l *Lease) setPending(w pendingWrite) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = w
}

func (l *Lease) put(ctx context.Context, rec record, ifVersion uint64) (uint64, error) {
	value, err := cbor.Marshal(rec)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	return l.settings.Store.Put(ctx, l.key(), value, ifVersion)
}

func (l *Lease) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	number := l.currentEra()
	object, err := l.settings.Store.Get(ctx, l.key())
	if errors.Is(err, objstore.ErrNotFound) {
		return l.observe(number, 0, record{})
	}
	if err != nil {
		return fmt.Errorf("read lease of %s: %w", l.settings.Duty, err)
	}
	var rec record
	if err := cbor.Unmarshal(object.Value, &rec); err != nil {
		return fmt.Errorf("decode lease of %s: %w", l.settings.Duty, err)
	}
	return l.observe(number, object.Version, rec)
}

// observe records a version of the object after it was read or written. A grant counts from before its write was sent,
// and a successor counts the term from after it observed that write, so the grant always ends first.
//
// number is the era in which the call began. In a new era nothing is known of the object yet.
func (l *Lease) observe(number, version uint64, rec record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.enterEra(); l.era != number {
		return fmt.Errorf("%s: %w", l.key(), era.ErrChanged)
	}
	l.highest = max(l.highest, rec.Token)
	if l.firstRead.IsZero() {
		l.firstRead = l.settings.Now()
	}
	if version < l.observed.version {
		l.reportRestored()
		return fmt.Errorf("%s: version %d after %d: %w", l.key(), version, l.observed.version, ErrStaleRead)
	}
	if version == l.observed.version && !l.observed.firstSeen.IsZero() {
		l.noteConnections(l.settings.Now())
		if l.settings.Restores != nil && rec != l.observed.record {
			l.reportRestored()
			return fmt.Errorf("%s: version %d was given out again: %w", l.key(), version, ErrStaleRead)
		}
		return nil
	}
	l.observed = observation{version: version, record: rec, firstSeen: l.settings.Now()}
	l.noteConnections(l.settings.Now())
	isOwn := rec.Holder == l.settings.Candidate && rec.Process == l.settings.Process && !rec.Free
	if !isOwn || rec.Token != l.pending.token || rec.Token == 0 {
		l.grant, l.pending = Grant{}, pendingWrite{}
		return nil
	}
	until := l.pending.sentAt.Add(l.settings.Term - l.settings.Margin)
	l.grant = Grant{Token: rec.Token, ValidUntil: until, PreviousEnd: l.pending.previousEnd}
	l.pending = pendingWrite{}
	return nil
}
