package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/peer"
)

// Timing holds the intervals of a distributor. Tests and benchmarks may shorten them.
type Timing struct {
	PollInterval      time.Duration // interval between reads of the head, with a jitter of ±20%
	WatchTimeout      time.Duration // timeout of a watch; one that sees no change is closed and opened again
	RoleCheckInterval time.Duration // interval between checks whether this instance is a watcher
	PeerCallTimeout   time.Duration // timeout of a call to a peer
	StoreCallTimeout  time.Duration // timeout of a read from the store
	StartPeerWait     time.Duration // how long after its start an instance waits for peers if the store has answered
	MinRetryDelay     time.Duration // delay after the first failure; each further failure doubles it up to MaxRetryDelay
	MaxRetryDelay     time.Duration
	// StartObjectsWait is how long a starting instance that is not a watcher fetches objects from peers only. After that
	// it reads them from the store.
	StartObjectsWait time.Duration
}

// DefaultTiming returns the intervals used in production. A watch that stalls right before a publish delays its
// failure domain by at most WatchTimeout (10 s). That leaves 3 s of the 13 s within which a configuration must be in
// force.
func DefaultTiming() Timing {
	return Timing{
		PollInterval: time.Minute, WatchTimeout: 10 * time.Second, RoleCheckInterval: time.Second, PeerCallTimeout: time.Second,
		StoreCallTimeout: 2 * time.Second, StartPeerWait: 3 * time.Second, MinRetryDelay: 50 * time.Millisecond, MaxRetryDelay: 5 * time.Second,
		StartObjectsWait: 30 * time.Second,
	}
}

// alarmInterval is the minimum time between two log lines for the same kind of alarm and the same source.
const alarmInterval = time.Minute

// Options configures a Distributor.
type Options struct {
	Store  objstore.Store
	Mesh   peer.Mesh
	Log    logrus.FieldLogger
	Timing Timing // the zero value means DefaultTiming
	Seed   uint64 // seeds the random numbers for jitter and peer selection
	// Apply is called with each revision that comes into force, in ascending order, and with revision 0 if
	// nothing has been published when the instance starts. The services are sorted by name and must not be changed.
	Apply func(revision uint64, services []*Service)
}

// Distributor keeps the configuration of an instance up to date with the accepted revision. It reads the time from
// package time, so that it runs under testing/synctest.
type Distributor struct {
	opts  Options
	wake  chan struct{}
	ready chan struct{}

	mu          sync.Mutex
	tracker     *tracker
	cache       *cache
	headVersion uint64 // highest object version of the head read so far; a watch waits for a later one
	isReady     bool
	startedAt   time.Time // when start began
	lastAlarms  map[string]time.Time
	rand        *rand.Rand
}

// NewDistributor returns a distributor and registers its handlers with the mesh. Call it before the mesh starts, and
// then call Run.
func NewDistributor(o Options) *Distributor {
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
	d := &Distributor{
		opts: o, wake: make(chan struct{}, 1), ready: make(chan struct{}), tracker: newTracker(), cache: newCache(),
		lastAlarms: map[string]time.Time{}, rand: rand.New(rand.NewPCG(o.Seed, 0)),
	}
	o.Mesh.Handle(callHead, d.serveHead)
	o.Mesh.Handle(callObjects, d.serveObjects)
	o.Mesh.Subscribe(factHead, d.onAnnouncement)
	return d
}

// Ready returns a channel that is closed when the configuration found at startup is in force.
func (d *Distributor) Ready() <-chan struct{} { return d.ready }

// Revision returns the revision in force, or 0 when there is none yet.
func (d *Distributor) Revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.inForce.revision()
}

// Run loads the accepted configuration and then follows its changes until ctx is canceled.
func (d *Distributor) Run(ctx context.Context) {
	if !d.start(ctx) {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { d.watchLoop(ctx) })
	wg.Go(func() { d.pollLoop(ctx) })
	d.syncLoop(ctx)
}

// syncLoop loads newer revisions that the watch, the poll or a peer has reported, and retries after failures.
func (d *Distributor) syncLoop(ctx context.Context) {
	retry := d.backoff()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-timer.C:
		}
		if d.catchUp(ctx) {
			retry = d.backoff()
			continue
		}
		timer.Reset(retry.next())
	}
}

func (d *Distributor) watchLoop(ctx context.Context) {
	retry := d.backoff()
	watching := false
	for ctx.Err() == nil {
		if !isWatcher(d.opts.Mesh.Self(), d.opts.Mesh.Members()) {
			watching = false
			pause(ctx, d.opts.Timing.RoleCheckInterval)
			continue
		}
		if !watching {
			watching = true
			d.announce()
		}
		begin := time.Now()
		if d.watchOnce(ctx) {
			retry = d.backoff()
			continue
		}
		// A watch that lasted this long timed out rather than being refused, so it is opened again without delay.
		if time.Since(begin) < d.opts.Timing.WatchTimeout/2 {
			pause(ctx, retry.next())
		}
	}
}

// watchOnce waits for a new head and reports whether one was accepted.
func (d *Distributor) watchOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timing.WatchTimeout)
	defer cancel()
	d.mu.Lock()
	after, floor := d.headVersion, d.tracker.floor(storeSource)
	d.mu.Unlock()
	o, err := d.opts.Store.Watch(ctx, HeadKey, after)
	return err == nil && d.receiveHead(o, floor)
}

func (d *Distributor) pollLoop(ctx context.Context) {
	// The first interval is random, so that instances that start together don't poll at the same time.
	interval := d.randomDelay(d.opts.Timing.PollInterval)
	for pause(ctx, interval) {
		d.poll(ctx)
		interval = d.jitter(d.opts.Timing.PollInterval)
	}
}

// poll reads the head and reports whether the store answered, even if the head was rejected.
func (d *Distributor) poll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timing.StoreCallTimeout)
	defer cancel()
	d.mu.Lock()
	floor := d.tracker.floor(storeSource)
	d.mu.Unlock()
	o, err := d.opts.Store.Get(ctx, HeadKey)
	if errors.Is(err, objstore.ErrNotFound) {
		if floor > 0 {
			d.raiseAlarm("config_reverted", storeSource, 0, floor)
		}
		return true
	}
	if err != nil {
		d.opts.Log.WithError(err).Warn("failed to read configuration head")
		return false
	}
	d.receiveHead(o, floor)
	return true
}

// receiveHead handles a head read from the store and reports whether it was accepted. Revisions below floor are
// rejected.
func (d *Distributor) receiveHead(o objstore.Object, floor uint64) bool {
	r, err := newHeadRecord(o.Value)
	if err != nil {
		d.raiseAlarm("config_corrupt", storeSource, 0, floor)
		return false
	}
	d.mu.Lock()
	accepted := d.tracker.record(storeSource, announcement{r.revision(), digestOf(r.bytes)}, floor)
	if accepted {
		d.headVersion = max(d.headVersion, o.Version)
		d.tracker.offer(r)
	}
	d.mu.Unlock()
	if !accepted {
		d.raiseAlarm("config_reverted", storeSource, r.revision(), floor)
		return false
	}
	d.wakeSync()
	return true
}

// onAnnouncement handles a peer's announcement of its head.
func (d *Distributor) onAnnouncement(f peer.Fact) {
	var a announcement
	if err := cbor.Unmarshal(f.Value, &a); err != nil {
		d.raiseAlarm("config_corrupt", f.Origin, 0, 0)
		return
	}
	d.mu.Lock()
	floor := d.tracker.floor(f.Origin)
	accepted := d.tracker.record(f.Origin, a, floor)
	d.mu.Unlock()
	if !accepted {
		d.raiseAlarm("config_reverted", f.Origin, a.Revision, floor)
		return
	}
	d.wakeSync()
}

// announce publishes the head in force to the peers. Only watchers, and instances whose revision no other member has
// announced, do so: 650 announcements of each change would use up the 4 KB a second of control traffic.
func (d *Distributor) announce() {
	self, members := d.opts.Mesh.Self(), d.opts.Mesh.Members()
	d.mu.Lock()
	r := d.tracker.inForce
	d.tracker.evict(members)
	announced := r == nil || d.tracker.isAnnounced(self, members, r.revision())
	d.mu.Unlock()
	if r == nil || announced && !isWatcher(self, members) {
		return
	}
	value, err := encoder.Marshal(announcement{r.revision(), digestOf(r.bytes)})
	if err != nil {
		d.opts.Log.WithError(err).Error("failed to encode configuration announcement")
		return
	}
	d.opts.Mesh.Publish(factHead, value, 0)
}

func (d *Distributor) wakeSync() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// raiseAlarm logs that data from a source was rejected or could not be confirmed. It logs each kind of alarm at most
// once per source and alarmInterval.
func (d *Distributor) raiseAlarm(kind, source string, revision, floor uint64) {
	now := time.Now()
	d.mu.Lock()
	last, logged := d.lastAlarms[kind+source]
	suppressed := logged && now.Sub(last) < alarmInterval
	if !suppressed {
		d.lastAlarms[kind+source] = now
	}
	d.mu.Unlock()
	if suppressed {
		return
	}
	d.opts.Log.WithFields(logrus.Fields{
		"alarm": kind, "source": source, "revision": revision, "expected_at_least": floor,
	}).Error("configuration from source not accepted")
}

// jitter returns the interval varied at random by up to 20% in both directions.
func (d *Distributor) jitter(interval time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(float64(interval) * (0.8 + 0.4*d.rand.Float64()))
}

// randomDelay returns a random duration between 0 and the interval.
func (d *Distributor) randomDelay(interval time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(float64(interval) * d.rand.Float64())
}

// backoff computes retry delays that double up to Timing.MaxRetryDelay, with jitter.
type backoff struct {
	d     *Distributor
	delay time.Duration
}

func (d *Distributor) backoff() *backoff { return &backoff{d: d, delay: d.opts.Timing.MinRetryDelay} }

func (b *backoff) next() time.Duration {
	delay := b.delay
	b.delay = min(2*b.delay, b.d.opts.Timing.MaxRetryDelay)
	return b.d.jitter(delay)
}
