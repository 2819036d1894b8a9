// Package feed keeps a copy of the objects of one kind of the platform's store: it lists them once and then watches
// for changes. When the store fails, a newer copy of a peer is taken instead.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// ErrHistoryGone means that a watch reaches back further than the history that the store keeps.
var ErrHistoryGone = errors.New("history of the store is gone")

// Object is an object of the store.
type Object struct {
	Name     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"` // of its last change
	Spec     []byte `cbor:"3,keyasint"`
	Status   []byte `cbor:"4,keyasint"`
	Deleting bool   `cbor:"5,keyasint"` // will go once its finalizers are gone
	Created  uint64 `cbor:"6,keyasint"` // revision at which it was created
}

// Event is a change of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// Store reads the objects of a kind.
type Store interface {
	// List returns all objects of a kind and a revision from which a watch misses no change.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Watch waits for changes and returns the revision to continue from.
	Watch(ctx context.Context, w Watch) ([]Event, uint64, error)
}

// Watch describes a call of Store.Watch.
type Watch struct {
	Kind  string
	After uint64        // changes after this revision
	Wait  time.Duration // at most
	// MayBeOld allows an answer that is seconds behind, at a fraction of the price.
	MayBeOld bool
}

// Handler takes over the objects. Its methods are called one at a time.
type Handler interface {
	// Replace takes over all objects. With settled, the store was sound for a while, so that what is missing is gone.
	Replace(objects []Object, settled bool)
	// Apply takes over a change.
	Apply(e Event, settled bool)
}

// Settings of a Feed.
type Settings struct {
	Kind    string
	Store   Store
	Handler Handler
	Log     logrus.FieldLogger
	// Peer asks a peer for a copy with changes after a revision; nil: no peers.
	Peer func(ctx context.Context, kind string, after uint64) (*Copy, error)
	// Wait returns the longest wait of the next watch; nil: MaxWait. A watch may hear nothing of changes while it
	// waits, so some of the peers must wait for short times only, and notify the others.
	Wait func() time.Duration
	// Pace returns the mean time between watches that bring changes; nil or 0: no bound. It bounds the calls of a large
	// fleet while much changes; the first few watches after a calm time follow at once.
	Pace func() time.Duration
	// MayBeOld reports whether the next watch may be seconds behind, because peers tell what can't wait; nil: never.
	MayBeOld func() bool
}

// MaxWait is the longest wait of one watch; the store allows 30 s.
const MaxWait = 25 * time.Second

const (
	// listTime bounds a list; the store answers in milliseconds, and 60 times as slowly on bad days.
	listTime = 2 * time.Second
	// settleTime is how long the store must have been sound for a missing object to count as gone: the time after
	// which the rules call the store stable again.
	settleTime = 3 * time.Second
	// minPause and maxPause bound the pause after a failed call.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// notifyDelay is the time that an own watch gets to bring what a peer has seen.
	notifyDelay = 150 * time.Millisecond
	// paceBurst is the number of watches that may bring changes at once before the pace binds: the first one brings
	// the beginning of a reclaim, and the next two the rest of it.
	paceBurst = 3
	// minBatch is the least pause of a paced feed, in which the entries of a failure domain that is reclaimed arrive.
	minBatch = 50 * time.Millisecond
	// oldTime is how far a watch that may be old can be behind; the store's pages say seconds.
	oldTime = 5 * time.Second
	// cutWatch is the time after which a watch that breaks may just have been cut off while it waited.
	cutWatch = 200 * time.Millisecond
)

// Feed keeps the copy. Its methods are safe for concurrent use.
type Feed struct {
	s Settings

	mu          sync.Mutex
	objects     map[string]Object
	revision    uint64 // from which a watch misses no change; other kinds raise it too
	changed     uint64 // of the newest change of an object of this kind
	wanted      uint64 // newest change that a peer has taken over
	listed      bool
	sound       time.Time // since when calls succeed; zero: they fail
	answered    time.Time // the newest call that succeeded
	pause       time.Duration
	cancel      context.CancelFunc // of the waiting watch
	watchEnd    time.Time          // of the waiting watch
	mayBeOld    bool               // the waiting watch may be seconds behind
	interrupted bool               // the waiting watch was given up for a list or for a shorter one
	behind      bool               // list again
	listedAt    time.Time          // of the newest list; used by Run only
	pace        *rate.Limiter      // of watches that bring changes; used by Run only
	pausedUntil time.Time          // the next watch waits until then
	ready       chan struct{}
	deletions   []deletion // the newest last
	complete    uint64     // deletions after this revision are all known
	gone        []string   // deleted by the events that are being taken over
}

// New returns a feed without objects.
func New(s Settings) *Feed {
	if s.Wait == nil {
		s.Wait = func() time.Duration { return MaxWait }
	}
	if s.MayBeOld == nil {
		s.MayBeOld = func() bool { return false }
	}
	if s.Pace == nil {
		s.Pace = func() time.Duration { return 0 }
	}
	return &Feed{s: s, pace: rate.NewLimiter(rate.Inf, paceBurst), objects: map[string]Object{}, ready: make(chan struct{})}
}

// Ready is closed once a first copy was taken over.
func (f *Feed) Ready() <-chan struct{} { return f.ready }

// Changed returns the revision of the newest change taken over.
func (f *Feed) Changed() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Answered returns when the store last answered a call; zero: never.
func (f *Feed) Answered() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answered
}

// Run follows the store until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		list := !f.listed || f.behind
		f.mu.Unlock()
		next := f.watch
		if list {
			next = f.list
		}
		err := next(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.failed(err)
		f.askPeer(ctx)
		f.rest(ctx)
	}
}

func (f *Feed) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	f.mu.Lock()
	c := &Copy{Changed: f.wanted} // a list that begins now holds what peers have seen before
	f.mu.Unlock()
	var err error
	if c.Objects, c.Revision, err = f.s.Store.List(ctx, f.s.Kind); err != nil {
		return err
	}
	for _, o := range c.Objects {
		c.Changed = max(c.Changed, o.Revision)
	}
	f.succeeded()
	f.listedAt = time.Now()
	f.replace(c, false)
	return nil
}

// replace takes over a copy, unless the own one is newer.
func (f *Feed) replace(c *Copy, fromPeer bool) {
	f.mu.Lock()
	first := !f.listed
	if !first && (fromPeer && c.Changed <= f.changed || !fromPeer && c.Revision < f.revision) {
		f.behind = false
		f.mu.Unlock()
		f.s.Log.WithFields(logrus.Fields{"kind": f.s.Kind, "revision": c.Revision, "peer": fromPeer}).Info("older copy ignored")
		return
	}
	settled := first || fromPeer && c.Settled || !fromPeer && f.settled()
	objects := make(map[string]Object, len(c.Objects))
	for _, o := range c.Objects {
		objects[o.Name] = o
	}
	if !fromPeer {
		for name := range f.objects {
			if _, still := objects[name]; !still {
				c.Changed = max(c.Changed, c.Revision) // peers must hear of it too
				f.noteDeletion(name, c.Changed)
			}
		}
	}
	f.objects = objects
	f.revision, f.changed, f.listed, f.behind = c.Revision, max(f.changed, c.Changed), true, false
	f.mu.Unlock()
	f.s.Handler.Replace(c.Objects, settled)
	if first {
		close(f.ready)
	}
}

func (f *Feed) watch(parent context.Context) error {
	wait := f.s.Wait()
	ctx, cancel := context.WithTimeout(parent, wait+listTime)
	defer cancel()
	began := time.Now()
	f.mu.Lock()
	after := f.revision
	f.mayBeOld = f.s.MayBeOld()
	old := f.mayBeOld
	f.cancel, f.watchEnd = cancel, began.Add(wait)
	f.mu.Unlock()
	events, revision, err := f.s.Store.Watch(ctx, Watch{Kind: f.s.Kind, After: after, Wait: wait, MayBeOld: old})
	f.mu.Lock()
	f.cancel = nil
	notified, sound := f.interrupted, !f.sound.IsZero()
	f.interrupted = false
	f.mu.Unlock()
	switch {
	case errors.Is(err, ErrHistoryGone) && time.Since(f.listedAt) > maxPause:
		f.s.Log.WithField("kind", f.s.Kind).Info("history of the store is gone; listing again")
		f.mu.Lock()
		f.behind = true
		f.mu.Unlock()
		return nil // the list comes at once; when its own revision is gone too, the next one waits
	case err != nil && (notified || sound && time.Since(began) > cutWatch):
		return nil // given up for a list, or cut off while waiting; the next call shows whether the store is sound
	case err != nil:
		if errors.Is(err, ErrHistoryGone) {
			f.mu.Lock()
			f.behind = true
			f.mu.Unlock()
		}
		return err
	}
	f.succeeded()
	f.takeEvents(events, revision)
	if len(events) > 0 {
		f.keepPace(parent)
	}
	return nil
}

// takeEvents takes over what a watch has brought.
func (f *Feed) takeEvents(events []Event, revision uint64) {
	for _, e := range events {
		f.apply(e)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = max(f.revision, revision)
	if len(f.gone) > 0 {
		f.changed = max(f.changed, revision) // an object that is gone shows its last change only
	}
	for _, name := range f.gone {
		f.noteDeletion(name, f.changed)
	}
	f.gone = nil
}

// keepPace waits after a watch that brought changes, so that further ones arrive together.
func (f *Feed) keepPace(ctx context.Context) {
	pace := f.s.Pace()
	f.pace.SetLimit(paceLimit(pace))
	if pace <= 0 {
		return
	}
	pause := max(minBatch, f.pace.Reserve().Delay())
	f.mu.Lock()
	f.pausedUntil = time.Now().Add(pause)
	f.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

func paceLimit(pace time.Duration) rate.Limit {
	if pace <= 0 {
		return rate.Inf
	}
	return rate.Every(pace)
}

func (f *Feed) apply(e Event) {
	f.mu.Lock()
	settled := f.settled()
	if e.Deleted {
		delete(f.objects, e.Object.Name)
		f.gone = append(f.gone, e.Object.Name)
	} else {
		f.objects[e.Object.Name] = e.Object
	}
	f.changed = max(f.changed, e.Object.Revision)
	f.mu.Unlock()
	f.s.Handler.Apply(e, settled)
}

// settled needs f.mu.
func (f *Feed) settled() bool { return !f.sound.IsZero() && time.Since(f.sound) > settleTime }

func (f *Feed) succeeded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pause, f.answered = 0, time.Now()
	if f.sound.IsZero() {
		f.sound = time.Now()
		f.s.Log.WithFields(logrus.Fields{"kind": f.s.Kind, "revision": f.revision}).Info("store answers")
	}
}

func (f *Feed) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.sound.IsZero() || f.pause == 0 {
		f.s.Log.WithError(err).WithFields(logrus.Fields{"kind": f.s.Kind, "revision": f.revision}).Warn("store fails")
	}
	f.sound = time.Time{}
	f.pause = min(max(minPause, 2*f.pause), maxPause)
}

func (f *Feed) rest(ctx context.Context) {
	f.mu.Lock()
	pause := f.pause
	f.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(pause/2 + rand.N(pause)):
	}
}
