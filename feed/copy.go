package feed

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/era"
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
	// DeletionsAfter is the revision after which the sender knows all deletions. Releases that left deletions out after a
	// restart do not send it; their changes are not complete.
	DeletionsAfter uint64 `cbor:"7,keyasint,omitempty"`
	// Era is the era of the store in which the sender has read the objects.
	Era era.State `cbor:"8,keyasint,omitzero"`
}

// isComplete reports whether the copy holds all objects, or all changes after Since.
func (c *Copy) isComplete() bool {
	return c.Since == 0 || c.DeletionsAfter > 0 && c.DeletionsAfter <= c.Since
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
	state := f.settings.Eras.State()
	if !f.listed || f.objectsEra != state.Number || f.changed <= after && !hasNothing {
		return nil
	}
	c := &Copy{
		Revision: f.revision, NewestChange: f.changed, Settled: f.settled(), DeletionsAfter: f.deletionsAfter, Era: state,
	}
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
	if f.listed && f.objectsEra == f.era {
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

// fetchFromPeer fetches and applies what a peer has received after a revision, or all objects if the peer does not know
// all deletions since. It returns an error if the peer does not answer or has nothing newer.
func (f *Feed) fetchFromPeer(ctx context.Context, after uint64) (*Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	c, err := f.settings.FetchFromPeer(ctx, f.settings.Kind, after)
	if err == nil && c != nil && !c.isComplete() {
		c, err = f.settings.FetchFromPeer(ctx, f.settings.Kind, 0)
	}
	if err != nil {
		return nil, err
	}
	if c == nil {
		return nil, errors.New("the peer has nothing newer")
	}
	f.replace(c, true)
	return c, nil
}

// peerCallTimeout bounds a call to a peer; peers answer within milliseconds.
const peerCallTimeout = time.Second

// withChanges returns the feed's objects with the changes of a copy, and records the deletions among them. Callers must
// hold f.mu.
func (f *Feed) withChanges(c *Copy) []Object {
	objects := maps.Clone(f.objects)
	for _, o := range c.Objects {
		objects[o.Name] = o
	}
	for _, name := range c.Deleted {
		delete(objects, name)
		f.recordDeletion(name, c.NewestChange)
	}
	return slices.Collect(maps.Values(objects))
}

// recordDeletion keeps a deletion for copies to peers. Callers must hold f.mu.
func (f *Feed) recordDeletion(name string, revision uint64) {
	f.deletions = append(f.deletions, deletion{name, revision})
	if len(f.deletions) > keptDeletions {
		f.deletionsAfter = f.deletions[0].revision
		f.deletions = f.deletions[1:]
	}
}

// forgetDeletions records that the deletions up to a revision are not known: a list shows what exists, but not what was
// deleted before it. Callers must hold f.mu.
func (f *Feed) forgetDeletions(revision uint64) {
	f.deletions, f.deletionsAfter = nil, revision
}
