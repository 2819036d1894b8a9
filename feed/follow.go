package feed

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// followCheck is how often a feed that follows peers checks whether it still may.
	followCheck = 100 * time.Millisecond
	// minFollowPause and followSpread are the time from a report of a change until it is fetched, in which further changes
	// arrive. Urgent changes reach this instance otherwise; the spread keeps the feeds of a fleet from asking at once.
	minFollowPause = 300 * time.Millisecond
	followSpread   = 900 * time.Millisecond
	// followTimeout bounds the call for a copy; peers answer within milliseconds.
	followTimeout = 300 * time.Millisecond
	// followAttempts is the number of calls in succession for a copy before the objects are listed from the store.
	followAttempts = 2
)

var errNothingNewer = errors.New("the peer has nothing newer")

// follow waits until a peer reports a change, and fetches what has changed from a peer. If that fails, the objects are
// listed from the store.
func (f *Feed) follow(ctx context.Context) error {
	f.mu.Lock()
	if !f.following {
		f.settings.Log.WithField("kind", f.settings.Kind).Info("changes are taken from peers")
	}
	f.following, f.mayBeStale = true, false
	isBehind := f.notified > f.changed
	f.mu.Unlock()
	if !isBehind {
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-time.After(followCheck):
		}
		return nil
	}
	for end := time.Now().Add(minFollowPause + rand.N(followSpread)); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(min(followCheck, time.Until(end))):
		}
		if !f.settings.Follow() {
			return nil
		}
	}
	var err error
	for range followAttempts {
		if err = f.followPeer(ctx); err == nil || !f.settings.Follow() {
			return nil
		}
	}
	f.settings.Log.WithError(err).WithField("kind", f.settings.Kind).Info("changes not received from peers; listing")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mustList = true
	return nil
}

// endFollowing ends the time in which changes are taken from peers. Those that peers have reported must now come from the
// feed's own watch. Callers must hold f.mu.
func (f *Feed) endFollowing() {
	if !f.following {
		return
	}
	f.following = false
	f.settings.Log.WithField("kind", f.settings.Kind).Info("changes are watched again")
	if f.notified > f.changed {
		f.expect(f.notified)
	}
}

// followPeer fetches what has changed from a peer, and applies it.
func (f *Feed) followPeer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	f.mu.Lock()
	after := f.changed
	f.mu.Unlock()
	c, err := f.settings.FetchFromPeer(ctx, f.settings.Kind, after)
	if err != nil {
		return err
	}
	if c == nil || c.NewestChange <= after {
		return errNothingNewer
	}
	if c.Since == 0 {
		f.replace(c, true)
		return nil
	}
	f.applyChanges(c)
	return nil
}

// applyChanges applies a copy that holds only changes, one by one: a list has thousands of objects.
func (f *Feed) applyChanges(c *Copy) {
	f.mu.Lock()
	if !c.Settled && !f.healthySince.IsZero() {
		f.healthySince = time.Now() // the peer's store was failing, so a missing object may only have expired
	}
	var events []Event
	for _, name := range c.Deleted {
		if o, exists := f.objects[name]; exists {
			events = append(events, Event{Object: o, Deleted: true})
			delete(f.objects, name)
		}
		f.recordDeletion(name, c.NewestChange)
	}
	slices.SortFunc(c.Objects, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, o := range c.Objects {
		old := f.objects[o.Name]
		if old.CreatedRevision > 0 && old.CreatedRevision < o.CreatedRevision {
			// Its entry was deleted and is new. An endpoint whose deletion a peer has announced is used again only then.
			events = append(events, Event{Object: old, Deleted: true})
		}
		if old.Revision < o.Revision {
			events = append(events, Event{Object: o})
			f.objects[o.Name] = o
		}
	}
	f.revision, f.changed = max(f.revision, c.Revision), max(f.changed, c.NewestChange)
	f.mu.Unlock()
	for _, e := range events {
		f.settings.Handler.Apply(e, c.Settled)
	}
	f.settings.Log.WithFields(logrus.Fields{"kind": f.settings.Kind, "revision": c.Revision, "changes": len(events)}).Debug("changes received from a peer")
}
