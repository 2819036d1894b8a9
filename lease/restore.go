package lease

import (
	"time"

	"github.com/trefoillug/trefoillug/era"
)

// Restores configures a Lease whose store may be restored from an older copy of itself. Such a store may hand out a lease
// that is held, and forgets which tokens were granted. So in each era all grants of earlier ones end, no candidate acquires
// the lease before it has known the object for a term, in which the grants that it can't see end too, and a token is above
// every one that this process or its peers have seen, and not below MinToken.
type Restores struct {
	Eras *era.Tracker
	// IsFirstStart is set if no instance has run before, so that no grant can have been forgotten in the first era.
	IsFirstStart bool
	// Connections returns how many connections have been opened over which the object may be read. A restored store ends all,
	// so that a candidate which has opened another one since it last read the object does not know what was written in
	// between. It is not used once the store has stated its era.
	Connections func() uint64
	// MinToken returns a token above all that may have been granted earlier without the process knowing of them, given the
	// highest that it knows.
	MinToken func(highest uint64) uint64
}

// enterEra drops what is known of the object if the store was restored since. l.mu must be held.
func (l *Lease) enterEra() {
	r := l.settings.Restores
	if r == nil {
		return
	}
	if number := r.Eras.Number(); number != l.era {
		l.era, l.firstRead = number, time.Time{}
		l.observed, l.grant, l.pending = observation{}, Grant{}, pendingWrite{}
	}
}

// noteConnections begins the time anew in which the object has been known, if a connection to the store was opened since.
// A store that states its era proves with each answer that it was not restored, whatever becomes of its connections.
// l.mu must be held.
func (l *Lease) noteConnections(now time.Time) {
	r := l.settings.Restores
	if r == nil || r.Connections == nil || r.Eras.State().IsStated {
		return
	}
	if opened := r.Connections(); opened != l.connections {
		l.connections = opened
		l.firstRead, l.observed.firstSeen = now, now
	}
}

// currentEra enters the era of the store and returns its number.
func (l *Lease) currentEra() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterEra()
	return l.era
}

// reportRestored records that the store has shown an older version of the object than before. l.mu must be held.
func (l *Lease) reportRestored() {
	if r := l.settings.Restores; r != nil {
		number := l.era
		go r.Eras.Restored(number, era.CauseRevisions) // its receivers may use the lease
	}
}

// minReadTime returns how long the object must have been known for the lease to be acquired. l.mu must be held.
func (l *Lease) minReadTime() time.Duration {
	r := l.settings.Restores
	if r == nil || r.IsFirstStart && l.era == 0 && l.settings.Now().Sub(l.started) < l.settings.Term {
		return 0
	}
	return l.settings.Term
}

// nextToken returns the token of a new grant. l.mu must be held.
func (l *Lease) nextToken() uint64 {
	next := max(l.observed.record.Token, l.highest) + 1
	if r := l.settings.Restores; r != nil && r.MinToken != nil {
		next = max(next, r.MinToken(l.highest))
	}
	return next
}

// RecordToken records that a peer knows a token as granted.
func (l *Lease) RecordToken(token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highest = max(l.highest, token)
}

// HighestToken returns the highest token that this process knows as granted.
func (l *Lease) HighestToken() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highest
}
