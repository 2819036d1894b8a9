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

// Guards against a state of an earlier era that is taken from a peer which has not noticed the store's latest restore: an
// instance that has missed a restore counts fewer eras than its peers, so that its number of the latest one is that of their
// era before.
func TestFeed_CopyOfEarlierStatedEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, eras := newStore(), era.NewTracker()
		s.put("a", "1")
		must.NoError(t, eras.Begin().End(era.Answer{Stated: 7, IsStated: true}))
		_, r := startWith(t, s, feed.Settings{Eras: eras, FetchFromPeer: func(context.Context, string, uint64) (*feed.Copy, error) {
			return &feed.Copy{
				Revision: 90, NewestChange: 90, Objects: []feed.Object{{Name: "lost", Revision: 90}},
				Era: era.State{Number: 1, Stated: 8, IsStated: true},
			}, nil
		}})
		time.Sleep(5 * time.Second)
		s.update(func() { s.down = true })
		must.ErrorIs(t, eras.Begin().End(era.Answer{Stated: 9, IsStated: true}), era.ErrChanged) // era 8 was missed
		time.Sleep(5 * time.Second)
		must.Eq(t, []string{"a"}, r.now())
		s.update(func() { s.down = false })
		time.Sleep(5 * time.Second)
		must.Eq(t, s.names(), r.now())
	})
}
