package claim

import (
	"context"
	"slices"
	"time"
)

// draft is a copy of a slot's state with operations applied that are not yet written to the store.
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

// apply applies an operation to the draft and returns its answer, which must not be sent before the draft is written.
func (d *draft) apply(o *operation, found entry, recorded bool, now time.Time) answer {
	if o.Kind == opClaim {
		return d.applyClaim(o, found, recorded, now)
	}
	own := recorded && found.Attempt == o.Attempt
	switch {
	case o.Kind == opRelease:
		d.applyRelease(o, found, recorded)
	case own && found.State == statePending && o.Kind == opComplete:
		d.set(o.newEntry(stateDone))
	case own && found.State == statePending:
		d.set(o.newEntry(stateUnknown))
	}
	return answer{Verdict: verdictRecorded}
}

func (d *draft) applyClaim(o *operation, found entry, recorded bool, now time.Time) answer {
	if recorded && found.Attempt == o.Attempt {
		return answerToHolder(found)
	}
	if !recorded || found.State == stateReleased {
		d.set(o.newEntry(statePending))
		return answer{Verdict: verdictGranted}
	}
	return answerToOther(found, o.Body, now)
}

// applyRelease records the release even when the claim is not recorded. Writing the release raises the version of the
// object, so a claim write of this attempt that is still in flight fails, and a later claim finds the attempt released.
func (d *draft) applyRelease(o *operation, found entry, recorded bool) {
	own := recorded && found.Attempt == o.Attempt
	if own && found.State != statePending {
		return
	}
	if own || !recorded || found.State == stateReleased {
		d.set(o.newEntry(stateReleased))
	}
}

// answerToHolder answers a claim whose attempt is already recorded, for example because a response was lost.
func answerToHolder(e entry) answer {
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

// answerToOther answers a claim of a key that another attempt holds. A pending attempt past its deadline and
// pendingGrace can no longer record a response, so its outcome is unknown. Clock differences between instances only
// affect how early a repeat gets that answer.
func answerToOther(e entry, body Digest, now time.Time) answer {
	switch {
	case e.Body != body:
		return answer{Verdict: verdictReused}
	case e.State == stateDone:
		return answer{Verdict: verdictDone, Response: e.Response}
	case e.State == stateUnknown, now.UnixMilli() > e.Deadline+pendingGrace.Milliseconds():
		return answer{Verdict: verdictUnknown}
	default:
		return answer{Verdict: verdictPending}
	}
}

// findEntry returns the latest entry of a key in the draft or in the sealed segments.
func (s *slot) findEntry(ctx context.Context, d *draft, key Digest) (entry, bool, error) {
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
