// Package era tracks the eras of a store. An era ends when the store is restored from an older copy of itself: what it
// has acknowledged since the copy is gone, and its revisions go back and are given out again. Revisions of two eras say
// nothing about each other, and the answer to a call that began in an earlier era says nothing about the present.
package era

import (
	"errors"
	"fmt"
	"sync"
)

// ErrChanged means that the era changed during a call, so that the answer may be of the earlier era. Whether a write took
// effect is unknown.
var ErrChanged = errors.New("the store was restored from an older copy during the call")

// State is what an instance knows of the eras. Peers exchange it and agree on the largest.
type State struct {
	// Number counts the eras that the instances have noticed; 0 is the first one. It means nothing to the store.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	// Stated is the number that the store itself gives to its era, if IsStated.
	Stated   uint64 `cbor:"2,keyasint,omitempty"`
	IsStated bool   `cbor:"3,keyasint,omitempty"`
}

// Cause is the evidence by which a new era was noticed.
type Cause string

// Causes of a change.
const (
	CauseStated    Cause = "stated"    // the store states a higher era
	CauseRevisions Cause = "revisions" // a current answer has a lower revision than an earlier one
	CauseObjects   Cause = "objects"   // an object contradicts what the store has shown up to a later revision
	CausePeer      Cause = "peer"      // a peer has noticed it
)

// Answer is what an answer of the store says of the store as a whole.
type Answer struct {
	Stated   uint64 // number of the era, if IsStated
	IsStated bool
	Revision uint64 // that the store has reached; 0: the answer states none
	// IsCurrent means that Revision is the store's own at some time during the call. Otherwise the store may have reached
	// a higher one long before, as with the revision of one object or an answer that may be stale.
	IsCurrent bool
	// IsStale means that the answer may be older than the call, and so of an earlier era.
	IsStale bool
}

// Tracker tracks the eras of a store. It is safe for concurrent use.
type Tracker struct {
	onChange  []func(State, Cause)
	onProblem func(error)

	mu       sync.Mutex
	state    State
	newest   uint64 // highest revision that an answer of this era has stated
	problems map[string]bool
}

// NewTracker returns a tracker that has seen no answer.
func NewTracker() *Tracker { return &Tracker{problems: map[string]bool{}} }

// OnChange adds a function that is called after each change of the era, without a lock, so that the calls for two changes
// may come in the reverse order. It must be added before the first call.
func (t *Tracker) OnChange(fn func(State, Cause)) { t.onChange = append(t.onChange, fn) }

// OnProblem sets a function that is called once for each kind of problem with the eras that the store states. It must be
// set before the first call.
func (t *Tracker) OnProblem(fn func(error)) { t.onProblem = fn }

// State returns what is known of the eras.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// Number returns State().Number.
func (t *Tracker) Number() uint64 { return t.State().Number }

// Call is a call of the store in progress.
type Call struct {
	tracker *Tracker
	number  uint64
	newest  uint64 // highest revision that the store had stated when the call began
}

// Begin records that a call begins.
func (t *Tracker) Begin() Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Call{t, t.state.Number, t.newest}
}

// End records the answer to a call. It returns ErrChanged if the era has changed since the call began, also if the answer
// itself shows that.
func (c Call) End(a Answer) error {
	t := c.tracker
	t.mu.Lock()
	if c.number != t.state.Number {
		t.mu.Unlock()
		return ErrChanged
	}
	if a.IsStated && t.state.IsStated && a.Stated > t.state.Stated {
		t.change(State{t.state.Number + 1, a.Stated, true}, CauseStated)
		return ErrChanged
	}
	if a.IsCurrent && a.Revision > 0 && a.Revision < c.newest {
		t.change(State{t.state.Number + 1, t.state.Stated, t.state.IsStated}, CauseRevisions)
		return ErrChanged
	}
	t.newest = max(t.newest, a.Revision)
	known := t.state
	if a.IsStated && !known.IsStated {
		t.state.Stated, t.state.IsStated = a.Stated, true
	}
	t.mu.Unlock()
	switch {
	case known.IsStated && !a.IsStated:
		t.Problem("missing", fmt.Errorf("an answer of the store states no era after era %d", known.Stated))
	case known.IsStated && !a.IsStale && a.Stated < known.Stated:
		t.Problem("falling", fmt.Errorf("the store states era %d after era %d; the lower one is ignored", a.Stated, known.Stated))
	}
	return nil
}

// Restored records evidence, gathered in the era with the given number, that the store has been restored since.
func (t *Tracker) Restored(number uint64, cause Cause) {
	t.mu.Lock()
	if number != t.state.Number {
		t.mu.Unlock()
		return // noticed already
	}
	t.change(State{number + 1, t.state.Stated, t.state.IsStated}, cause)
}

// Merge adopts what a peer knows of the eras, if it knows more.
func (t *Tracker) Merge(other State) {
	t.mu.Lock()
	mine := t.state
	next := State{max(mine.Number, other.Number), max(mine.Stated, other.Stated), mine.IsStated || other.IsStated}
	if mine.IsStated && other.IsStated && other.Stated > mine.Stated {
		next.Number = max(mine.Number+1, other.Number) // this instance has not noticed that era
	}
	if next.Number == mine.Number {
		t.state = next
		t.mu.Unlock()
		return
	}
	t.change(next, CausePeer)
}

// change begins another era. t.mu must be held; it is released.
func (t *Tracker) change(next State, cause Cause) {
	t.state, t.newest = next, 0
	t.mu.Unlock()
	for _, fn := range t.onChange {
		fn(next, cause)
	}
}

// Problem reports a problem with the eras that the store states, once for each kind.
func (t *Tracker) Problem(kind string, err error) {
	t.mu.Lock()
	isNew := !t.problems[kind]
	t.problems[kind] = true
	t.mu.Unlock()
	if isNew && t.onProblem != nil {
		t.onProblem(err)
	}
}
