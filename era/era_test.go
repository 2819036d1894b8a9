package era_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/era"
)

// Guards against a restored store that is not noticed, and against answers of the earlier era that are used.
func TestTracker_NoticesRestores(t *testing.T) {
	for name, c := range map[string]struct {
		answers []era.Answer
		changes uint64
	}{
		"rising_revisions":    {[]era.Answer{{Revision: 3, IsCurrent: true}, {Revision: 4, IsCurrent: true}, {Revision: 4, IsCurrent: true}}, 0},
		"falling_revisions":   {[]era.Answer{{Revision: 4, IsCurrent: true}, {Revision: 3, IsCurrent: true}}, 1},
		"falls_twice":         {[]era.Answer{{Revision: 4, IsCurrent: true}, {Revision: 3, IsCurrent: true}, {Revision: 2, IsCurrent: true}, {Revision: 1, IsCurrent: true}}, 2},
		"revision_of_object":  {[]era.Answer{{Revision: 4, IsCurrent: true}, {Revision: 3}}, 0},
		"without_revision":    {[]era.Answer{{Revision: 4, IsCurrent: true}, {}}, 0},
		"first_stated":        {[]era.Answer{{}, {Stated: 9, IsStated: true}, {Stated: 9, IsStated: true}}, 0},
		"rising_era":          {[]era.Answer{{Stated: 9, IsStated: true}, {Stated: 10, IsStated: true}}, 1},
		"rising_from_zero":    {[]era.Answer{{IsStated: true}, {Stated: 1, IsStated: true}}, 1},
		"era_and_revision":    {[]era.Answer{{Stated: 9, IsStated: true, Revision: 5, IsCurrent: true}, {Stated: 10, IsStated: true, Revision: 3, IsCurrent: true}, {Stated: 10, IsStated: true, Revision: 4, IsCurrent: true}}, 1},
		"falling_era":         {[]era.Answer{{Stated: 9, IsStated: true}, {Stated: 8, IsStated: true}, {Stated: 9, IsStated: true}}, 0},
		"stale_of_earlier":    {[]era.Answer{{Stated: 9, IsStated: true}, {Stated: 8, IsStated: true, IsStale: true}}, 0},
		"missing_in_between":  {[]era.Answer{{Stated: 9, IsStated: true}, {}, {Stated: 10, IsStated: true}}, 1},
		"unstated_then_falls": {[]era.Answer{{Stated: 9, IsStated: true, Revision: 4, IsCurrent: true}, {Revision: 3, IsCurrent: true}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, changes := era.NewTracker(), uint64(0)
			tracker.OnChange(func(era.State, era.Cause) { changes++ })
			for _, a := range c.answers {
				before := tracker.Number()
				err := tracker.Begin().End(a)
				must.Eq(t, tracker.Number() != before, err != nil)
			}
			must.Eq(t, c.changes, changes)
			must.Eq(t, c.changes, tracker.Number())
		})
	}
}

// Guards against an answer to a call that began in an earlier era: it may be of that era, and its revision must not count
// in the new one.
func TestTracker_LateAnswer(t *testing.T) {
	tracker := era.NewTracker()
	must.NoError(t, tracker.Begin().End(era.Answer{Revision: 9, IsCurrent: true}))
	late := tracker.Begin()
	tracker.Restored(0, era.CauseObjects)
	tracker.Restored(0, era.CauseObjects) // noticed by two feeds
	must.Eq(t, 1, tracker.Number())
	must.ErrorIs(t, late.End(era.Answer{Revision: 10, IsCurrent: true}), era.ErrChanged)
	must.NoError(t, tracker.Begin().End(era.Answer{Revision: 5, IsCurrent: true}))
}

// Guards against a bad era of the store that is reported with each answer, or never.
func TestTracker_ProblemsAreReportedOnce(t *testing.T) {
	tracker, reported := era.NewTracker(), 0
	tracker.OnProblem(func(error) { reported++ })
	for range 3 {
		must.NoError(t, tracker.Begin().End(era.Answer{Stated: 9, IsStated: true}))
		must.NoError(t, tracker.Begin().End(era.Answer{Stated: 8, IsStated: true}))
		must.NoError(t, tracker.Begin().End(era.Answer{}))
	}
	must.Eq(t, 2, reported)
}

// Guards against instances that notice one restore each and raise each other's number for it without end, and against one
// that misses a restore which a peer has noticed.
func TestTracker_PeersAgree(t *testing.T) {
	stated := func(n uint64) era.Answer { return era.Answer{Stated: n, IsStated: true} }
	trackers := make([]*era.Tracker, 5)
	for i := range trackers {
		trackers[i] = era.NewTracker()
		must.NoError(t, trackers[i].Begin().End(stated(3)))
	}
	for restore := range uint64(3) {
		for i, tracker := range trackers {
			if i != int(restore) { // one misses it
				must.ErrorIs(t, tracker.Begin().End(stated(4+restore)), era.ErrChanged)
			}
			for _, other := range trackers[:i] {
				tracker.Merge(other.State())
			}
		}
		for _, tracker := range trackers {
			for _, other := range trackers {
				tracker.Merge(other.State())
			}
		}
		for _, tracker := range trackers {
			must.Eq(t, era.State{Number: restore + 1, Stated: 4 + restore, IsStated: true}, tracker.State())
			must.NoError(t, tracker.Begin().End(stated(4+restore)))
		}
	}
}
