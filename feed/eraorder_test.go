package feed_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/era"
	"github.com/trefoillug/trefoillug/feed"
)

// slowLists is a store whose lists take some time.
type slowLists struct{ *store }

func (s slowLists) List(ctx context.Context, kind string) ([]feed.Object, uint64, error) {
	time.Sleep(10 * time.Millisecond)
	return s.store.List(ctx, kind)
}

// Guards against a feed that ignores all lists, and lists without a pause, after it was told of two new eras in the reverse
// order: the tracker calls its receivers without a lock, from the goroutines that noticed the eras.
func TestFeed_ErasNoticedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, eras := newStore(), era.NewTracker()
		eras.OnChange(func(st era.State, _ era.Cause) {
			if st.Number == 1 {
				eras.Merge(era.State{Number: 2}) // by another goroutine, while this one has not told the feed yet
			}
		})
		s.put("a", "1")
		f, r := newFeed(slowLists{s}, feed.Settings{Eras: eras})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(5 * time.Second)
		eras.Restored(0, era.CauseRevisions)
		s.put("b", "1")
		time.Sleep(20 * time.Second)
		must.Eq(t, []string{"a", "b"}, r.now())
		must.LessEq(t, 5, s.listed())
	})
}
