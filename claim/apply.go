package claim

import (
	"context"
	"slices"
	"time"
)

// draft is a slot's state with operations applied that are not yet written.
type draft struct {
	state
	changed bool
}

func newDraft(s state) *draft {
	s.Open = slices.Clone(s.Open)
	return &draft{state: s}
}

// lookup finds the latest entry of a key in the open segment.
func (d *draft) lookup(key Digest) (entry, bool) {
	i := slices.IndexFunc(d.Open, func(e entry) bool { return e.Key == key })
	if i < 0 {
		return entry{}, false
	}
	return d.Open[i], true
}

// set replaces the entry of a key in the open segment, or adds it there.
func (d *draft) set(e entry) {
	d.changed = true
	i := slices.IndexFunc(d.Open, func(old entry) bool { return old.Key == e.Key })
	if i < 0 {
		d.Open = append(d.Open, e)
		return
	}
	d.Open[i] = e
}

// apply carries out an operation on the draft and returns its answer, which counts once the draft is written.
func (d *draft) apply(o *operation, found entry, known bool, now time.Time) answer {
	if o.Kind == opClaim {
		return d.applyClaim(o, found, known, now)
	}
	own := known && found.Attempt == o.Attempt
	switch {
	case o.Kind == opRelease:
		d.applyRelease(o, found, known)
	case own && found.State == statePending && o.Kind == opComplete:
		d.set(o.newEntry(stateDone))
	case own && found.State == statePending:
		d.set(o.newEntry(stateUnknown))
	}
	return answer{Verdict: verdictNoted}
}

func (d *draft) applyClaim(o *operation, found entry, known bool, now time.Time) answer {
	if known && found.Attempt == o.Attempt {
		return ownAnswer(found)
	}
	if !known || found.State == stateReleased {
		d.set(o.newEntry(statePending))
		return answer{Verdict: verdictGranted}
	}
	return foreignAnswer(found, o.Body, now)
}

// applyRelease writes the release even when the claim is not recorded: it raises the object's version, so a claim
// write of this attempt that is still on its way fails, and a later one finds the attempt released.
func (d *draft) applyRelease(o *operation, found entry, known bool) {
	own := known && found.Attempt == o.Attempt
	if own && found.State != statePending {
		return
	}
	if own || !known || found.State == stateReleased {
		d.set(o.newEntry(stateReleased))
	}
}

// ownAnswer answers a claim whose attempt is already recorded, for example because a response was lost.
func ownAnswer(e entry) answer {
	switch e.State {
	case statePending:
		return answer{Verdict: verdictGranted}
	case stateReleased:
		return answer{Verdict: verdictReleased}
	case stateDone:
		return answer{Verdict: verdictDone, Response: e.Response}
	default:
		return answer{Verdict: verdictUnknown}
	}
}

// foreignAnswer answers a claim of a key that another attempt holds. A pending attempt past its deadline has no
// owner that could still record a response; the clocks of instances only decide how early a repeat learns that.
func foreignAnswer(e entry, body Digest, now time.Time) answer {
	switch {
	case e.Body != body:
		return answer{Verdict: verdictReused}
	case e.State == stateDone:
		return answer{Verdict: verdictDone, Response: e.Response}
	case e.State == stateUnknown, now.UnixMilli() > e.Until+pendingGrace.Milliseconds():
		return answer{Verdict: verdictUnknown}
	default:
		return answer{Verdict: verdictPending}
	}
}

// find returns the latest entry of a key in the draft or in the sealed segments.
func (s *slot) find(ctx context.Context, d *draft, key Digest) (entry, bool, error) {
	if e, ok := d.lookup(key); ok {
		return e, true, nil
	}
	for ref := range d.sealed() {
		e, ok, err := s.cache.lookup(ctx, segmentID{s.number, ref.Seq}, key)
		if err != nil || ok {
			return e, ok, err
		}
	}
	return entry{}, false, nil
}
