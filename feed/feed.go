// Package feed keeps a copy of the objects of one kind of the platform's store: it lists them once and then watches
// for changes. When the store fails, a newer copy of a peer is used instead.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/trefoillug/trefoillug/era"
)

// ErrHistoryExpired means that a watch starts from a revision before the history that the store keeps.
var ErrHistoryExpired = errors.New("revision is older than the history of the store")

// ErrDiscontinuous means that the store may have been restored since the revision that a watch starts from, so that the
// revision may stand for another state.
var ErrDiscontinuous = errors.New("connection to the store was opened after the revision was read")

// Object is an object of the store.
type Object struct {
	Name            string `cbor:"1,keyasint"`
	Revision        uint64 `cbor:"2,keyasint"` // of its last change
	Spec            []byte `cbor:"3,keyasint"`
	Status          []byte `cbor:"4,keyasint"`
	Deleting        bool   `cbor:"5,keyasint"` // will be deleted once its finalizers are removed
	CreatedRevision uint64 `cbor:"6,keyasint"` // revision at which it was created
	Era             uint64 `cbor:"-"`          // number of the store's era in which this instance read it
}

// Event is a change of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// Store reads the objects of a kind.
type Store interface {
	// List returns all objects of a kind and a revision; a watch from that revision misses no change.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Watch waits for changes and returns them with the revision to continue from. It returns ErrHistoryExpired when the
	// store no longer keeps the changes after w.After, or has not reached that revision, and ErrDiscontinuous when the
	// revision may be of an earlier era.
	Watch(ctx context.Context, w Watch) ([]Event, uint64, error)
}

// Watch holds the parameters of Store.Watch.
type Watch struct {
	Kind  string
	After uint64        // changes after this revision
	Wait  time.Duration // at most
	// MayBeStale allows an answer that is seconds behind, at a fraction of the price.
	MayBeStale bool
}

// Handler applies the objects and their changes. Its methods are called one at a time.
type Handler interface {
	// Replace replaces all objects. settled means that the store has been healthy for a while, so that a missing
	// object counts as deleted.
	Replace(objects []Object, settled bool)
	// Apply applies a change; settled is as in Replace.
	Apply(e Event, settled bool)
}

// Settings configures a Feed.
type Settings struct {
	Kind    string
	Store   Store
	Handler Handler
	Log     logrus.FieldLogger
	// FetchFromPeer asks a peer for what has changed after a revision; nil: no peers.
	FetchFromPeer func(ctx context.Context, kind string, after uint64) (*Copy, error)
	// Eras tracks the eras of the store; nil: only what the feed itself notices.
	Eras *era.Tracker
	// KeepsMissing is set for kinds whose objects do not expire. Those that are missing in the first list of an era are
	// passed on to the handler, since their writers write them again, until a list confirms that they are gone.
	KeepsMissing bool
	// Wait returns the longest wait of the next watch; nil: MaxWait. A watch may miss changes while it waits, so some
	// of the peers must use short waits only, and notify the others.
	Wait func() time.Duration
	// Pace returns the mean time between watches that return changes; nil or 0: no bound. It bounds the calls of a
	// large fleet while there are many changes; after a time without changes, the first few watches follow at once.
	Pace func() time.Duration
	// MayBeStale reports whether the next watch may be seconds behind, because peers notify this instance of urgent
	// changes; nil: never.
	MayBeStale func() bool
}

// MaxWait is the longest wait of one watch; the store allows 30 s.
const MaxWait = 25 * time.Second

const (
	// listTimeout bounds a list; the store answers in milliseconds, or 60 times as slowly when it is degraded.
	listTimeout = 2 * time.Second
	// settleTime is how long the store must have been healthy for a missing object to count as deleted: the time
	// after which the platform's rules call the store stable again.
	settleTime = 3 * time.Second
	// minPause and maxPause bound the pause after a failed call.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// notifyDelay is how long the feed's own watch has to return a change that a peer has reported.
	notifyDelay = 150 * time.Millisecond
	// paceBurst is the number of watches that may return changes at once before the pace applies: the first returns
	// the beginning of a reclaim, and the next two the rest of it.
	paceBurst = 3
	// minBatchPause is the shortest pause of a paced feed, in which the entries of a reclaimed failure domain arrive.
	minBatchPause = 50 * time.Millisecond
	// maxStaleness is how far a watch with MayBeStale can be behind; the store's documentation says seconds.
	maxStaleness = 5 * time.Second
	// maxConfirmDelay bounds the random time by which the instances list later than settleTime after a new era, so that they
	// do not all list at once.
	maxConfirmDelay = time.Second
	// staleBan is the time after a new era in which no watch may be stale: twice maxStaleness, since a stale answer may be of
	// the earlier era.
	staleBan = 2 * maxStaleness
	// minCutWatch is the time after which a failed watch may merely have been cut off while it waited, so that its
	// failure does not show that the store fails.
	minCutWatch = 200 * time.Millisecond
)

// Feed keeps a copy of the objects of one kind. Its methods are safe for concurrent use.
type Feed struct {
	settings Settings

	mu             sync.Mutex
	objects        map[string]Object
	era            uint64    // number of the store's era
	eraSince       time.Time // when this instance noticed it; zero for the first one
	objectsEra     uint64    // era in which the objects were read
	unconfirmed    []Object  // kept though the list of the new era lacks them; see KeepsMissing
	discontinuous  bool      // the store may have been restored since the revision, so that the next call is a list
	revision       uint64    // a watch from it misses no change; changes of other kinds raise it too
	changed        uint64    // of the newest change of an object of this kind
	notified       uint64    // newest change that a peer has reported
	listed         bool
	healthySince   time.Time // when calls started to succeed; zero: calls fail
	lastAnswered   time.Time // newest call that succeeded
	pause          time.Duration
	cancel         context.CancelFunc // of the waiting watch
	watchEnd       time.Time          // of the waiting watch
	mayBeStale     bool               // the waiting watch may be seconds behind
	interrupted    bool               // the waiting watch was cancelled for a list or for another watch
	mustList       bool               // the next call is a list
	listedAt       time.Time          // newest list; used by Run only
	pace           *rate.Limiter      // of watches that return changes; used by Run only
	pausedUntil    time.Time          // the next watch starts then
	retryWake      chan struct{}      // a peer has reported a change while the store fails
	ready          chan struct{}
	deletions      []deletion // newest last
	deletionsAfter uint64     // all deletions after this revision are kept
}

// New returns a feed without objects; Run fills it.
func New(s Settings) *Feed {
	if s.Wait == nil {
		s.Wait = func() time.Duration { return MaxWait }
	}
	if s.MayBeStale == nil {
		s.MayBeStale = func() bool { return false }
	}
	if s.Pace == nil {
		s.Pace = func() time.Duration { return 0 }
	}
	if s.Eras == nil {
		s.Eras = era.NewTracker()
	}
	f := &Feed{
		settings: s, pace: rate.NewLimiter(rate.Inf, paceBurst), objects: map[string]Object{}, ready: make(chan struct{}), retryWake: make(chan struct{}, 1),
	}
	s.Eras.OnChange(func(st era.State, _ era.Cause) { f.beginEra(st.Number) })
	return f
}

// Ready returns a channel that is closed once the first copy has been received.
func (f *Feed) Ready() <-chan struct{} { return f.ready }

// NewestChange returns the revision of the newest change that was applied.
func (f *Feed) NewestChange() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// NewestChangeIn is NewestChange in the era with the given number, 0 if the objects are of another one.
func (f *Feed) NewestChangeIn(number uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.era != number || f.objectsEra != number {
		return 0
	}
	return f.changed
}

// LastAnswered returns when the store last answered a call; the zero time means never.
func (f *Feed) LastAnswered() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastAnswered
}

// HealthySince returns when calls to the store started to succeed in this era; the zero time means that they fail.
func (f *Feed) HealthySince() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.healthySince
}

// Run follows the store until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		list := !f.listed || f.mustList || f.discontinuous
		f.mu.Unlock()
		next := f.watch
		if list {
			next = f.list
		}
		err := next(ctx)
		if err == nil || ctx.Err() != nil || errors.Is(err, era.ErrChanged) {
			continue // in a new era the feed lists at once
		}
		f.recordFailure(err)
		f.recoverFromPeer(ctx)
		f.waitToRetry(ctx)
	}
}

func (f *Feed) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	start := time.Now()
	f.mu.Lock()
	f.cancel = func() {
		if time.Since(start) > minCutWatch {
			cancel() // it is stalled
		}
	}
	c := &Copy{NewestChange: f.notified, Era: f.settings.Eras.State()} // a list that starts now includes what peers reported before
	f.mu.Unlock()
	var err error
	c.Objects, c.Revision, err = f.settings.Store.List(ctx, f.settings.Kind)
	f.mu.Lock()
	f.cancel, f.interrupted = nil, false
	f.mu.Unlock()
	if err != nil {
		return err
	}
	if cause, restored := f.contradicts(c); restored {
		f.settings.Eras.Restored(c.Era.Number, cause)
		return era.ErrChanged
	}
	for _, o := range c.Objects {
		c.NewestChange = max(c.NewestChange, o.Revision)
	}
	f.recordSuccess()
	f.listedAt = time.Now()
	f.replace(c, false)
	return nil
}

// isUsable reports whether a copy may replace the objects. Callers must hold f.mu.
func (f *Feed) isUsable(c *Copy, fromPeer bool) bool {
	switch {
	case !f.isOfEra(c, fromPeer):
		return false
	case f.isFirstOfEra():
		return c.Since == 0
	default:
		return !fromPeer || c.NewestChange > f.changed
	}
}

// replace replaces the feed's objects by those of a copy, or applies its changes to them, unless they are newer or of
// another era.
func (f *Feed) replace(c *Copy, fromPeer bool) {
	if fromPeer {
		f.settings.Eras.Merge(c.Era)
	}
	f.mu.Lock()
	if !f.isUsable(c, fromPeer) {
		f.mustList = f.isFirstOfEra() || !f.isOfEra(c, fromPeer)
		log := f.settings.Log.WithFields(logrus.Fields{"kind": f.settings.Kind, "revision": c.Revision, "known": f.revision, "era": f.era, "peer": fromPeer})
		f.mu.Unlock()
		log.Info("older copy ignored")
		return
	}
	first := !f.listed
	restored := !first && f.isFirstOfEra()
	settled := first || !restored && (fromPeer && c.Settled || !fromPeer && f.settled())
	all := c.Objects
	if c.Since > 0 {
		all = f.withChanges(c)
	} else {
		f.forgetDeletions(c.Revision)
	}
	objects := make(map[string]Object, len(all))
	for i := range all {
		all[i].Era = c.Era.Number
		objects[all[i].Name] = all[i]
	}
	if !fromPeer && !restored {
		for name := range f.objects {
			if _, still := objects[name]; !still {
				c.NewestChange = max(c.NewestChange, c.Revision) // so that peers receive the deletion too
			}
		}
	}
	f.keepMissing(objects, restored, settled && !fromPeer)
	if restored || len(f.unconfirmed) > 0 {
		time.AfterFunc(settleTime+rand.N(maxConfirmDelay), func() { f.confirm(c.Era.Number) })
	}
	all = append(slices.Clone(all), f.unconfirmed...)
	f.objects = objects
	f.revision, f.changed, f.listed, f.mustList = c.Revision, max(f.changed, c.NewestChange), true, false
	f.objectsEra = f.era
	if !fromPeer {
		f.discontinuous = false
	}
	f.mu.Unlock()
	f.settings.Handler.Replace(all, settled)
	if first {
		close(f.ready)
	}
}

func (f *Feed) watch(parent context.Context) error {
	wait := f.settings.Wait()
	ctx, cancel := context.WithTimeout(parent, wait+listTimeout)
	defer cancel()
	start := time.Now()
	f.mu.Lock()
	after, number := f.revision, f.era
	f.mayBeStale = f.settings.MayBeStale() && time.Since(f.eraSince) > staleBan
	mayBeStale := f.mayBeStale
	f.cancel, f.watchEnd = cancel, start.Add(wait)
	f.mu.Unlock()
	events, revision, err := f.settings.Store.Watch(ctx, Watch{Kind: f.settings.Kind, After: after, Wait: wait, MayBeStale: mayBeStale})
	f.mu.Lock()
	f.cancel = nil
	interrupted, healthy := f.interrupted, !f.healthySince.IsZero()
	f.interrupted = false
	f.mu.Unlock()
	switch {
	case errors.Is(err, ErrHistoryExpired) && time.Since(f.listedAt) > maxPause:
		f.settings.Log.WithField("kind", f.settings.Kind).Info("revision is older than the history of the store; listing again")
		f.mu.Lock()
		f.mustList = true
		f.mu.Unlock()
		return nil // list at once; if the list's revision is too old as well, the next list waits
	case err != nil && interrupted, errors.Is(err, era.ErrChanged):
		return nil
	case err != nil:
		f.mu.Lock()
		f.mustList = f.mustList || errors.Is(err, ErrHistoryExpired)
		f.discontinuous = f.discontinuous || errors.Is(err, ErrDiscontinuous)
		f.mu.Unlock()
		if errors.Is(err, ErrDiscontinuous) && time.Since(f.listedAt) < maxPause {
			f.waitToRetry(parent) // the store may end all connections soon
		}
		if errors.Is(err, ErrDiscontinuous) || healthy && time.Since(start) > minCutWatch {
			return nil // the answer can't be used, or was cut off while waiting; the next call shows whether the store is healthy
		}
		return err
	}
	f.recordSuccess()
	f.applyEvents(events, revision, number)
	if len(events) > 0 {
		f.keepPace(parent)
	}
	return nil
}

// applyEvents applies the events of a watch and passes them on. A copy for a peer holds all of them or none: it has one
// revision and one newest change for all its objects and deletions.
func (f *Feed) applyEvents(events []Event, revision, number uint64) {
	f.mu.Lock()
	if f.era != number {
		f.mu.Unlock()
		return
	}
	settled := f.settled()
	f.revision = max(f.revision, revision)
	for i := range events {
		events[i].Object.Era = number
	}
	for _, e := range events {
		f.unconfirmed = slices.DeleteFunc(f.unconfirmed, func(o Object) bool { return o.Name == e.Object.Name })
		f.changed = max(f.changed, e.Object.Revision)
		if !e.Deleted {
			f.objects[e.Object.Name] = e.Object
			continue
		}
		delete(f.objects, e.Object.Name)
		f.changed = max(f.changed, revision) // a deleted object holds the revision of its last change only
		f.recordDeletion(e.Object.Name, f.changed)
	}
	f.mu.Unlock()
	for _, e := range events {
		f.settings.Handler.Apply(e, settled)
	}
}

// keepPace waits after a watch that returned changes, so that further ones arrive together.
func (f *Feed) keepPace(ctx context.Context) {
	pace := f.settings.Pace()
	f.pace.SetLimit(paceLimit(pace))
	if pace <= 0 {
		return
	}
	pause := max(minBatchPause, f.pace.Reserve().Delay())
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

// settled reports whether the store has been healthy for settleTime. Callers must hold f.mu.
func (f *Feed) settled() bool {
	return !f.healthySince.IsZero() && time.Since(f.healthySince) > settleTime
}

func (f *Feed) recordSuccess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pause, f.lastAnswered = 0, time.Now()
	if f.healthySince.IsZero() {
		f.healthySince = time.Now()
		f.settings.Log.WithFields(logrus.Fields{"kind": f.settings.Kind, "revision": f.revision}).Info("store is reachable")
	}
}

func (f *Feed) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.healthySince.IsZero() || f.pause == 0 {
		f.settings.Log.WithError(err).WithFields(logrus.Fields{"kind": f.settings.Kind, "revision": f.revision}).Warn("call to store failed")
	}
	f.healthySince = time.Time{}
	f.pause = min(max(minPause, 2*f.pause), maxPause)
}

// waitToRetry waits for the pause after a failed call, with jitter. When a peer reports a change meanwhile, it asks the peer:
// an endpoint may be leaving.
func (f *Feed) waitToRetry(ctx context.Context) {
	f.mu.Lock()
	pause := max(minPause, f.pause)
	f.mu.Unlock()
	end := time.After(pause/2 + rand.N(pause))
	for {
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-f.retryWake:
			f.recoverFromPeer(ctx)
		}
	}
}
