package feed

import (
	"context"
	"errors"
	"time"
)

// Copy is a state of all objects, for peers.
type Copy struct {
	Revision uint64   `cbor:"1,keyasint"` // from which a watch misses no change
	Objects  []Object `cbor:"2,keyasint"`
	Changed  uint64   `cbor:"3,keyasint"` // revision of the newest change of an object
	// Since is set in a copy that holds only what has changed after that revision.
	Since   uint64   `cbor:"4,keyasint,omitempty"`
	Deleted []string `cbor:"5,keyasint,omitempty"` // names, in a copy with Since
	// Settled tells that the peer's store was sound for a while, so that what is missing is gone.
	Settled bool `cbor:"6,keyasint,omitempty"`
}

// deletion is an object that is gone.
type deletion struct {
	name     string
	revision uint64 // at which it was known to be gone
}

// keptDeletions is the number of deletions that copies for peers may name; one who lags further gets all objects.
const keptDeletions = 200

// Copy returns the state for a peer that knows the changes up to after; nil when there is nothing newer.
func (f *Feed) Copy(after uint64) *Copy {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || f.changed <= after {
		return nil
	}
	c := &Copy{Revision: f.revision, Changed: f.changed, Settled: f.settled()}
	if after >= f.complete {
		c.Since = after
	}
	for _, o := range f.objects {
		if c.Since == 0 || o.Revision > after {
			c.Objects = append(c.Objects, o)
		}
	}
	for _, d := range f.deletions {
		if _, back := f.objects[d.name]; c.Since > 0 && d.revision > after && !back {
			c.Deleted = append(c.Deleted, d.name)
		}
	}
	return c
}

// askPeer takes over a newer copy of a peer while the store fails.
func (f *Feed) askPeer(ctx context.Context) {
	if f.s.Peer == nil {
		return
	}
	f.mu.Lock()
	ask := !f.listed || f.behind
	after := f.changed
	f.mu.Unlock()
	if !ask {
		return
	}
	if err := f.takeFromPeer(ctx, after); err != nil {
		f.s.Log.WithError(err).WithField("kind", f.s.Kind).Debug("no copy from a peer")
		return
	}
	f.s.Log.WithField("kind", f.s.Kind).Info("state taken from a peer")
}

// takeFromPeer takes over what a peer has seen after a revision.
func (f *Feed) takeFromPeer(ctx context.Context, after uint64) error {
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	c, err := f.s.Peer(ctx, f.s.Kind, after)
	if err != nil {
		return err
	}
	if c == nil {
		return errors.New("the peer knows nothing newer")
	}
	f.replace(f.merged(c), true)
	return nil
}

// peerTime bounds a call of a peer; peers answer within milliseconds.
const peerTime = time.Second

// merged completes a copy that holds only changes.
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
		f.noteDeletion(name, c.Changed)
	}
	whole := &Copy{Revision: c.Revision, Changed: c.Changed, Settled: c.Settled}
	for _, o := range objects {
		whole.Objects = append(whole.Objects, o)
	}
	return whole
}

// noteDeletion needs f.mu.
func (f *Feed) noteDeletion(name string, revision uint64) {
	f.deletions = append(f.deletions, deletion{name, revision})
	if len(f.deletions) > keptDeletions {
		f.complete = f.deletions[0].revision
		f.deletions = f.deletions[1:]
	}
}
