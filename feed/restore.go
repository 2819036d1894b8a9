package feed

import (
	"maps"
	"slices"
	"time"
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
	era, isRead := f.era, f.objectsEra == f.era
	f.mu.Unlock()
	switch {
	case number > era || !isRead:
		return nil
	case number < era:
		return f.Copy(0)
	default:
		return f.Copy(after)
	}
}
