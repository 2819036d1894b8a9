package feed

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/era"
)

// beginEra makes the feed list again, because the store was restored from an older copy: its revisions in the era before
// say nothing about those that it gives out now.
func (f *Feed) beginEra(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number <= f.era {
		return // the tracker passes on concurrent changes in any order
	}
	f.era, f.eraSince = number, time.Now()
	f.changed, f.notified = 0, 0
	f.forgetDeletions(0)
	f.mustList = f.listed
	if !f.healthySince.IsZero() {
		f.healthySince = f.eraSince // what is missing now may be written again
	}
	f.interrupt()
}

// contradicts reports whether a list can't come from the store that the feed has read before, so that the store was
// restored in between. A feed knows all changes up to its revision. After an unbroken connection an unknown one was missed
// by a stalled watch, and is no evidence; an object that is older than the known one always is.
func (f *Feed) contradicts(c *Copy) (era.Cause, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || f.objectsEra != c.Era.Number {
		return "", false
	}
	if c.Revision < f.revision {
		return era.CauseRevisions, true
	}
	for _, o := range c.Objects {
		known := f.objects[o.Name].Revision
		if o.Revision < known || f.discontinuous && o.Revision <= f.revision && known != o.Revision {
			return era.CauseObjects, true
		}
	}
	return "", false
}

// isFirstOfEra reports whether no objects were read in the store's era yet. Callers must hold f.mu.
func (f *Feed) isFirstOfEra() bool { return !f.listed || f.objectsEra != f.era }

// isOfEra reports whether a copy is of the store's era. Instances that have missed different restores may give one number to
// two eras, which the store itself tells apart. Callers must hold f.mu.
func (f *Feed) isOfEra(c *Copy, fromPeer bool) bool {
	isEarlier := fromPeer && c.Era.IsStated && c.Era.Stated < f.settings.Eras.State().Stated
	return c.Era.Number == f.era && !isEarlier
}

// keepMissing determines the objects that are kept though a list lacks them: the first list of an era lacks what will be
// written again, and one that is confirmed shows what is gone. Callers must hold f.mu.
func (f *Feed) keepMissing(listed map[string]Object, isFirst, isConfirmed bool) {
	var candidates []Object
	switch {
	case !f.settings.KeepsMissing || isConfirmed:
	case isFirst:
		candidates = slices.AppendSeq(slices.Clone(f.unconfirmed), maps.Values(f.objects))
	default:
		candidates = f.unconfirmed
	}
	f.unconfirmed = nil
	for _, o := range candidates {
		if _, still := listed[o.Name]; !still {
			f.unconfirmed = append(f.unconfirmed, o)
		}
	}
}

// confirm lists again in an era, since the first list may lack what is written again after the store's return.
func (f *Feed) confirm(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.era == number {
		f.mustList = true
		f.interrupt()
	}
}

// CopyFor returns Copy(after) for a peer in the era with the given number. A peer in an earlier era gets all objects, one
// in a later era none.
func (f *Feed) CopyFor(number, after uint64) *Copy {
	f.mu.Lock()
	current, isRead := f.era, f.objectsEra == f.era
	f.mu.Unlock()
	switch {
	case number > current || !isRead:
		return nil
	case number < current:
		return f.Copy(0)
	default:
		return f.Copy(after)
	}
}
