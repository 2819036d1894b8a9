package feed

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// Copy holds all objects of a kind, or what has changed in them since a revision, for a peer.
type Copy struct {
	Revision     uint64   `cbor:"1,keyasint"` // a watch from it misses no change
	Objects      []Object `cbor:"2,keyasint"`
	NewestChange uint64   `cbor:"3,keyasint"` // revision of the newest change of an object
	// Since is set in a copy that holds only the changes after that revision.
	Since   uint64   `cbor:"4,keyasint,omitempty"`
	Deleted []string `cbor:"5,keyasint,omitempty"` // names; only in a copy with Since
	// Settled means that the peer's store has been healthy for a while, so that a missing object counts as deleted.
	Settled bool `cbor:"6,keyasint,omitempty"`
}

// deletion is an object that was deleted.
type deletion struct {
	name     string
	revision uint64 // at which the deletion was noticed
}

// keptDeletions is the number of deletions that are kept for copies to peers; a peer that lags further gets all
// objects.
const keptDeletions = 200

// Copy returns the state for a peer that has the changes up to after. It returns nil when there is nothing newer.
func (f *Feed) Copy(after uint64) *Copy {
	f.mu.Lock()
	defer f.mu.Unlock()
	hasNothing := f.changed == 0 && after == 0 // a peer without a list needs to know that there are no objects
	if !f.listed || f.changed <= after && !hasNothing {
		return nil
	}
	c := &Copy{Revision: f.revision, NewestChange: f.changed, Settled: f.settled()}
	if after >= f.deletionsAfter {
		c.Since = after
	}
	for _, o := range f.objects {
		if c.Since == 0 || o.Revision > after {
			c.Objects = append(c.Objects, o)
		}
	}
	for _, d := range f.deletions {
		if _, exists := f.objects[d.name]; c.Since > 0 && d.revision > after && !exists {
			c.Deleted = append(c.Deleted, d.name)
		}
	}
	return c
}

// recoverFromPeer replaces the feed's objects by a newer copy of a peer while the store fails.
func (f *Feed) recoverFromPeer(ctx context.Context) {
	if f.settings.FetchFromPeer == nil {
		return
	}
	f.mu.Lock()
	ask := !f.listed || f.mustList
	after := f.changed
	if f.listed {
		after = max(after, 1) // an empty list is nothing newer
	}
	f.mu.Unlock()
	if !ask {
		return
	}
	c, err := f.fetchFromPeer(ctx, after)
	if err != nil {
		f.settings.Log.WithError(err).WithField("kind", f.settings.Kind).Debug("no copy received from a peer")
		return
	}
	f.settings.Log.WithFields(logrus.Fields{
		"kind": f.settings.Kind, "since": c.Since, "revision": c.Revision, "objects": len(c.Objects), "deleted": len(c.Deleted),
	}).Info("state copied from a peer")
}

// fetchFromPeer fetches and applies what a peer has received after a revision. It returns an error if the peer does
// not answer or has nothing newer.
func (f *Feed) fetchFromPeer(ctx context.Context, after uint64) (*Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	c, err := f.settings.FetchFromPeer(ctx, f.settings.Kind, after)
	if err != nil {
		return nil, err
	}
	if c == nil {
		return nil, errors.New("the peer has nothing newer")
	}
	f.replace(f.merged(c), true)
	return c, nil
}

// peerCallTimeout bounds a call to a peer; peers answer within milliseconds.
const peerCallTimeout = time.Second

// merged returns a full copy: a copy that holds only changes is applied to the feed's objects.
func (f *Feed) merged(c *Copy) *Copy {
	if c.Since == 0 {
		return c
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	objects := make(map[string]Object, len(f.objects)+len(c.Objects))
	for name, o := range f.objects {
		objects[name] = o
	}
	for _, o := range c.Objects {
		objects[o.Name] = o
	}
	for _, name := range c.Deleted {
		delete(objects, name)
		f.recordDeletion(name, c.NewestChange)
	}
	whole := &Copy{Revision: c.Revision, NewestChange: c.NewestChange, Settled: c.Settled}
	for _, o := range objects {
		whole.Objects = append(whole.Objects, o)
	}
	return whole
}

// recordDeletion keeps a deletion for copies to peers. Callers must hold f.mu.
func (f *Feed) recordDeletion(name string, revision uint64) {
	f.deletions = append(f.deletions, deletion{name, revision})
	if len(f.deletions) > keptDeletions {
		f.deletionsAfter = f.deletions[0].revision
		f.deletions = f.deletions[1:]
	}
}
