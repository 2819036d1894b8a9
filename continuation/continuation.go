// Package continuation decides whether an endpoint's answer continues the stream that a caller has a part of: without a
// gap and without a step back. Both request paths use it, so that a stream is joined by the same rule on each.
package continuation

import (
	"fmt"
	"strconv"
)

// Cause says why an answer does not continue a stream.
type Cause string

// Causes for which an answer is not relayed.
const (
	Gap        Cause = "gap"          // it begins after the next event
	StepBack   Cause = "step_back"    // it begins at or before the last event that the caller has, or its IDs decrease
	NoPosition Cause = "no_position"  // its first event has no ID, or one that does not tell a position
	NoEvents   Cause = "no_events"    // it ends before its first event
	NotStream  Cause = "not_a_stream" // it is no stream of events
)

// Error reports an answer that does not continue a stream.
type Error struct {
	Cause    Cause
	Position string // ID of the last event that the caller has
	Offered  string // ID of the first event of the answer; for NotStream, its status
}

func (e *Error) Error() string {
	return fmt.Sprintf("the answer does not continue the stream (%s): position %q, offered %q", e.Cause, e.Position, e.Offered)
}

// uneven is the step of IDs that do not rise by a constant step.
const uneven = -1

// Position is the position of the last event that a caller has. The zero value is the start of a stream.
type Position struct {
	id       string
	isNumber bool
	last     int64
	step     int64 // by which the IDs rise; 0: not known yet
}

// After returns the position after the event with an ID, in a stream whose step is not known. After("") is the start.
func After(id string) Position {
	n, err := strconv.ParseInt(id, 10, 64)
	return Position{id: id, isNumber: err == nil, last: n}
}

// AfterNumber returns the position after event n of a stream whose events have consecutive numbers.
func AfterNumber(n int) Position {
	return Position{id: strconv.Itoa(n), isNumber: true, last: int64(n), step: 1}
}

// IsStart reports whether the caller has no event that tells a position.
func (p Position) IsStart() bool { return p.id == "" }

// String returns the ID of the last event.
func (p Position) String() string { return p.id }

// Record moves the position to the next event that the caller gets.
func (p *Position) Record(id string) {
	next := After(id)
	switch step := next.last - p.last; {
	case p.IsStart() || !p.isNumber || !next.isNumber:
	case step <= 0 || p.step != 0 && p.step != step:
		next.step = uneven
	default:
		next.step = step
	}
	*p = next
}

// Judge decides whether an answer continues a stream. While the step of the IDs is not known, that takes up to
// three events, which must not be relayed before the decision.
type Judge struct {
	position Position
	offered  string
	ids      []int64 // of the events so far
}

// NewJudge returns the judge of an answer that is to continue after a position.
func NewJudge(p Position) *Judge { return &Judge{position: p} }

// IsPending reports whether events await the decision.
func (j *Judge) IsPending() bool { return len(j.ids) > 0 }

// Add takes the ID of the next event of the answer. It returns true once the answer is known to continue the stream, and
// an *Error once it is known that it does not.
func (j *Judge) Add(id string) (bool, error) {
	if !j.IsPending() {
		j.offered = id
	}
	p := j.position
	next := After(id)
	switch {
	case id == "" || p.isNumber && !next.isNumber:
		return false, j.fail(NoPosition)
	case !p.isNumber && id == p.id:
		return false, j.fail(StepBack)
	case !p.isNumber:
		return true, nil
	}
	before := p.last
	if j.IsPending() {
		before = j.ids[len(j.ids)-1]
	}
	if next.last <= before {
		return false, j.fail(StepBack)
	}
	j.ids = append(j.ids, next.last)
	return j.decide()
}

// decide compares the first ID with the position. It returns false and no error if more events are needed.
func (j *Judge) decide() (bool, error) {
	offset := j.ids[0] - j.position.last
	switch {
	case j.position.step == uneven || offset == 1:
		return true, nil
	case j.position.step != 0 && offset != j.position.step:
		return false, j.fail(Gap)
	case j.position.step != 0:
		return true, nil
	case len(j.ids) == 1:
		return false, nil
	}
	step := j.ids[1] - j.ids[0]
	switch {
	case step == offset:
		return true, nil
	case len(j.ids) == 2:
		return false, nil
	case j.ids[2]-j.ids[1] == step:
		return false, j.fail(Gap)
	}
	return true, nil // the IDs rise by no constant step
}

// End decides at the complete end of the answer. An answer without events does not show that its endpoint took the
// position, so it is no proof that the stream has ended.
func (j *Judge) End() error {
	switch len(j.ids) {
	case 0:
		return j.fail(NoEvents)
	case 1:
		// Numbers count what was generated, so with a constant step each one is a multiple of it. Zero is one of any step.
		if j.position.last != 0 && j.position.last%(j.ids[0]-j.position.last) == 0 {
			return nil
		}
	}
	return j.fail(Gap)
}

func (j *Judge) fail(c Cause) error {
	return &Error{Cause: c, Position: j.position.id, Offered: j.offered}
}
