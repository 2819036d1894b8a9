package lease

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/rendezvous"
)

// record is the value of the lease object. It holds no time of day, since clocks are never compared.
type record struct {
	Holder  string        `cbor:"1,keyasint"`
	Process uint64        `cbor:"2,keyasint"`
	Token   uint64        `cbor:"3,keyasint"`
	Term    time.Duration `cbor:"4,keyasint"`
	Free    bool          `cbor:"5,keyasint"` // given up
	// Writes counts the writes of the object. Without it a renewal would equal the record before, and a store that
	// keeps the version of an unchanged value would show the others no sign of life.
	Writes uint64 `cbor:"6,keyasint"`
}

func (l *Lease) record(token uint64, free bool) record {
	l.mu.Lock()
	writes := l.seen.record.Writes + 1
	l.mu.Unlock()
	return record{
		Holder: l.settings.Candidate, Process: l.settings.Process, Token: token, Term: l.settings.Term, Free: free, Writes: writes,
	}
}

// rank returns this candidate's place in the rendezvous order of the duty, 0 for the preferred one.
func (l *Lease) rank() int {
	members := l.settings.Members()
	if i := slices.Index(rendezvous.Top(l.key(), members, len(members)), l.settings.Candidate); i >= 0 {
		return i
	}
	return len(members)
}

// mayAcquire reports whether the lease is free or its version has stood for its whole term. Candidates further down
// the rendezvous order wait longer, so that usually one tries.
func (l *Lease) mayAcquire() bool {
	wait := time.Duration(min(l.rank(), watchers)) * l.settings.Stagger
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen.version > 0 && !l.seen.record.Free {
		wait += max(l.seen.record.Term, l.settings.Term)
	}
	return l.settings.Now().Sub(l.seen.since) >= wait
}

func (l *Lease) acquire(ctx context.Context) error {
	l.mu.Lock()
	next := sent{token: l.seen.record.Token + 1, at: l.settings.Now()}
	if l.seen.version > 0 {
		next.previous = l.seen.since.Add(l.seen.record.Term)
	}
	l.mu.Unlock()
	return l.write(ctx, next)
}

func (l *Lease) renew(ctx context.Context) error {
	l.mu.Lock()
	next := sent{token: l.grant.Token, at: l.settings.Now(), previous: l.grant.PreviousEnd}
	l.mu.Unlock()
	return l.write(ctx, next)
}

// write puts the record of a grant in place of the version seen. A lost response is settled by reading back, where
// the grant counts from the earliest write for its token that may have taken effect.
func (l *Lease) write(ctx context.Context, next sent) error {
	l.mu.Lock()
	earlier := l.sent
	if earlier.token != next.token {
		l.sent = next
	}
	l.mu.Unlock()
	rec := l.record(next.token, false)
	version, err := l.put(ctx, rec, l.versionSeen())
	switch {
	case err == nil:
		l.setSent(next)
		return l.observe(version, rec)
	case errors.Is(err, objstore.ErrUnavailable):
		l.setSent(earlier)
		return fmt.Errorf("write lease of %s: %w", l.settings.Duty, err)
	default:
		return l.read(ctx)
	}
}

func (l *Lease) setSent(s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = s
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
	object, err := l.settings.Store.Get(ctx, l.key())
	if errors.Is(err, objstore.ErrNotFound) {
		return l.observe(0, record{})
	}
	if err != nil {
		return fmt.Errorf("read lease of %s: %w", l.settings.Duty, err)
	}
	var rec record
	if err := cbor.Unmarshal(object.Value, &rec); err != nil {
		return fmt.Errorf("decode lease of %s: %w", l.settings.Duty, err)
	}
	return l.observe(object.Version, rec)
}

// observe takes note of a version of the object after it was read or written. A grant counts from before its write
// was sent, and a successor counts the term from after it saw that write, so the grant always ends first.
func (l *Lease) observe(version uint64, rec record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < l.seen.version {
		return fmt.Errorf("%s: version %d after %d: %w", l.key(), version, l.seen.version, ErrOldData)
	}
	if version == l.seen.version && !l.seen.since.IsZero() {
		return nil
	}
	l.seen = seen{version: version, record: rec, since: l.settings.Now()}
	mine := rec.Holder == l.settings.Candidate && rec.Process == l.settings.Process && !rec.Free
	if !mine || rec.Token != l.sent.token || rec.Token == 0 {
		l.grant, l.sent = Grant{}, sent{}
		return nil
	}
	until := l.sent.at.Add(l.settings.Term - l.settings.Margin)
	l.grant = Grant{Token: rec.Token, ValidUntil: until, PreviousEnd: l.sent.previous}
	l.sent = sent{}
	return nil
}
