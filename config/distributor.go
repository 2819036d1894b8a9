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
	Poll      time.Duration // between reads of the head, with a jitter of a fifth
	Watch     time.Duration // after which a watch without news is given up
	Role      time.Duration // between checks whether this instance is a watcher
	PeerCall  time.Duration // bound of a call to a peer
	StoreCall time.Duration // bound of a read from the store
	StartWait time.Duration // for peers at the start when the store answers
	Retry     time.Duration // first pause after a failure; it doubles up to MaxRetry
	MaxRetry  time.Duration
	// StartObjects is how long a starting instance that is not a watcher waits for peers to have the objects.
	StartObjects time.Duration
}

// DefaultTiming returns the intervals of the design. A watch that goes silent right before a publish delays its
// failure domain by at most Watch, which leaves 3 s of the 13 s until the configuration must be in force.
func DefaultTiming() Timing {
	return Timing{
		Poll: time.Minute, Watch: 10 * time.Second, Role: time.Second, PeerCall: time.Second,
		StoreCall: 2 * time.Second, StartWait: 3 * time.Second, Retry: 50 * time.Millisecond, MaxRetry: 5 * time.Second,
		StartObjects: 30 * time.Second,
	}
}

// alarmInterval limits the alarm lines of one kind about one source.
const alarmInterval = time.Minute

// Options are the parts of a distributor.
type Options struct {
	Store  objstore.Store
	Mesh   peer.Mesh
	Log    logrus.FieldLogger
	Timing Timing // zero: DefaultTiming
	Seed   uint64 // of the jitter
	// Apply is called with each revision that comes into force, in rising order, and with revision 0 when a
	// start finds that nothing has been published. The services are sorted by name and must not be changed.
	Apply func(revision uint64, services []*Service)
}

// Distributor keeps an instance at the accepted configuration. Its clock is package time, so that it runs under
// testing/synctest.
type Distributor struct {
	opts  Options
	wake  chan struct{}
	ready chan struct{}

	mu      sync.Mutex
	tracker *tracker
	cache   *cache
	after   uint64 // object version of the head after which a watch waits
	isReady bool
	begin   time.Time // of the start
	alarms  map[string]time.Time
	rand    *rand.Rand
}

// NewDistributor registers a distributor with the mesh; call it before the mesh starts, then Run.
func NewDistributor(o Options) *Distributor {
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
	d := &Distributor{
		opts: o, wake: make(chan struct{}, 1), ready: make(chan struct{}), tracker: newTracker(), cache: newCache(),
		alarms: map[string]time.Time{}, rand: rand.New(rand.NewPCG(o.Seed, 0)),
	}
	o.Mesh.Handle(callHead, d.serveHead)
	o.Mesh.Handle(callObjects, d.serveObjects)
	o.Mesh.Subscribe(factHead, d.onAnnouncement)
	return d
}

// Ready is closed when the configuration found at the start is in force.
func (d *Distributor) Ready() <-chan struct{} { return d.ready }

// Revision returns the revision in force, and 0 before the first one.
func (d *Distributor) Revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.inForce.revision()
}

// Run starts up and then follows the accepted configuration until ctx ends.
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

// syncLoop loads what the other loops and the peers have heard of.
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
			pause(ctx, d.opts.Timing.Role)
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
		// A watch that lasted was given up, not refused, and is opened again at once.
		if time.Since(begin) < d.opts.Timing.Watch/2 {
			pause(ctx, retry.next())
		}
	}
}

// watchOnce waits for a head and returns whether it was believed.
func (d *Distributor) watchOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timing.Watch)
	defer cancel()
	d.mu.Lock()
	after, floor := d.after, d.tracker.floor(storeSource)
	d.mu.Unlock()
	o, err := d.opts.Store.Watch(ctx, HeadKey, after)
	return err == nil && d.fromStore(o, floor)
}

func (d *Distributor) pollLoop(ctx context.Context) {
	// A random first interval keeps instances that start together from polling together.
	interval := d.spread(d.opts.Timing.Poll)
	for pause(ctx, interval) {
		d.poll(ctx)
		interval = d.jitter(d.opts.Timing.Poll)
	}
}

// poll reads the head and returns whether the store answered, believed or not.
func (d *Distributor) poll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timing.StoreCall)
	defer cancel()
	d.mu.Lock()
	floor := d.tracker.floor(storeSource)
	d.mu.Unlock()
	o, err := d.opts.Store.Get(ctx, HeadKey)
	if errors.Is(err, objstore.ErrNotFound) {
		if floor > 0 {
			d.alarm("config_reverted", storeSource, 0, floor)
		}
		return true
	}
	if err != nil {
		d.opts.Log.WithError(err).Warn("configuration head not read")
		return false
	}
	d.fromStore(o, floor)
	return true
}

// fromStore takes in a head that the store has shown. floor is the lowest revision to believe.
func (d *Distributor) fromStore(o objstore.Object, floor uint64) bool {
	r, err := newHeadRecord(o.Value)
	if err != nil {
		d.alarm("config_corrupt", storeSource, 0, floor)
		return false
	}
	d.mu.Lock()
	ok := d.tracker.hear(storeSource, announcement{r.revision(), digestOf(r.bytes)}, floor)
	if ok {
		d.after = max(d.after, o.Version)
		d.tracker.offer(r)
	}
	d.mu.Unlock()
	if !ok {
		d.alarm("config_reverted", storeSource, r.revision(), floor)
		return false
	}
	d.signal()
	return true
}

// onAnnouncement takes in the fact of a peer.
func (d *Distributor) onAnnouncement(f peer.Fact) {
	var a announcement
	if err := cbor.Unmarshal(f.Value, &a); err != nil {
		d.alarm("config_corrupt", f.Origin, 0, 0)
		return
	}
	d.mu.Lock()
	floor := d.tracker.floor(f.Origin)
	ok := d.tracker.hear(f.Origin, a, floor)
	d.mu.Unlock()
	if !ok {
		d.alarm("config_reverted", f.Origin, a.Revision, floor)
		return
	}
	d.signal()
}

// announce tells the peers the head in force. Only watchers, and instances that found a revision which nobody
// announces, do so: 650 announcements of each change would use up the 4 KB a second of control traffic.
func (d *Distributor) announce() {
	self, members := d.opts.Mesh.Self(), d.opts.Mesh.Members()
	d.mu.Lock()
	r := d.tracker.inForce
	d.tracker.forget(members)
	known := r == nil || d.tracker.announced(self, members, r.revision())
	d.mu.Unlock()
	if r == nil || known && !isWatcher(self, members) {
		return
	}
	value, err := encoder.Marshal(announcement{r.revision(), digestOf(r.bytes)})
	if err != nil {
		d.opts.Log.WithError(err).Error("announcement not encoded")
		return
	}
	d.opts.Mesh.Publish(factHead, value, 0)
}

func (d *Distributor) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// alarm logs that a source showed something that is not believed.
func (d *Distributor) alarm(kind, source string, revision, floor uint64) {
	now := time.Now()
	d.mu.Lock()
	last, logged := d.alarms[kind+source]
	quiet := logged && now.Sub(last) < alarmInterval
	if !quiet {
		d.alarms[kind+source] = now
	}
	d.mu.Unlock()
	if quiet {
		return
	}
	d.opts.Log.WithFields(logrus.Fields{
		"alarm": kind, "source": source, "revision": revision, "expected_at_least": floor,
	}).Error("configuration source not believed")
}

// jitter varies d by a fifth to both sides.
func (d *Distributor) jitter(interval time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(float64(interval) * (0.8 + 0.4*d.rand.Float64()))
}

// spread returns a random part of an interval.
func (d *Distributor) spread(interval time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(float64(interval) * d.rand.Float64())
}

// backoff gives rising pauses with jitter.
type backoff struct {
	d     *Distributor
	pause time.Duration
}

func (d *Distributor) backoff() *backoff { return &backoff{d: d, pause: d.opts.Timing.Retry} }

func (b *backoff) next() time.Duration {
	pause := b.pause
	b.pause = min(2*b.pause, b.d.opts.Timing.MaxRetry)
	return b.d.jitter(pause)
}
