package feed_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/trefoillug/trefoillug/era"
	"github.com/trefoillug/trefoillug/feed"
)

// TestMain fixes the seed of property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var errReset = errors.New("connection reset")

// modelStore is a store of one kind that can be restored from a copy of itself.
type modelStore struct {
	mu       sync.Mutex
	revision uint64
	history  []feed.Event // all changes, oldest first
	floor    uint64       // watches from before this revision fail
	era      uint64
	run      uint64 // number of the process; a connection ends with it
	away     bool
	changed  chan struct{}
	reached  []reachedRevision // oldest first
}

// reachedRevision is when the store of the present run reached a revision.
type reachedRevision struct {
	at       time.Time
	revision uint64
}

// staleRevision returns a revision that the store has reached some time ago. The caller holds s.mu.
func (s *modelStore) staleRevision() uint64 {
	i := len(s.reached) - 1
	for i > 0 && time.Since(s.reached[i].at) < maxLag {
		i--
	}
	return s.reached[i].revision
}

// maxLag is how far answers that may be stale are behind.
const maxLag = 3 * time.Second

func (s *modelStore) update(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
	s.reached = append(s.reached, reachedRevision{time.Now(), s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

// objects returns the objects by name. The caller holds s.mu.
func (s *modelStore) objects() map[string]feed.Object {
	all := map[string]feed.Object{}
	for _, e := range s.history {
		if e.Deleted {
			delete(all, e.Object.Name)
		} else {
			all[e.Object.Name] = e.Object
		}
	}
	return all
}

// write puts an object, or removes it if spec is empty. The caller holds s.mu.
func (s *modelStore) write(name, spec string) {
	old, exists := s.objects()[name]
	if spec == "" && !exists {
		return
	}
	s.revision++
	if spec == "" {
		s.history = append(s.history, feed.Event{Object: old, Deleted: true})
		s.history[len(s.history)-1].Object.CreatedRevision = s.revision // stands for the revision of the deletion
		return
	}
	s.history = append(s.history, feed.Event{Object: feed.Object{Name: name, Revision: s.revision, Spec: []byte(spec)}})
}

// at returns the revision of an event.
func at(e feed.Event) uint64 {
	if e.Deleted {
		return e.Object.CreatedRevision
	}
	return e.Object.Revision
}

// restore replaces the state by the one at a revision. Writers write again what is lost, if rewrites is set, after changes
// of other kinds have raised the revision.
func (s *modelStore) restore(revision, raise uint64, rewrites bool) {
	s.update(func() {
		before := s.objects()
		s.history = slices.DeleteFunc(s.history, func(e feed.Event) bool { return at(e) > revision })
		s.revision, s.floor = revision, min(s.floor, revision)
		s.era++
		s.run++
		s.away = false
		s.reached = []reachedRevision{{time.Now(), revision}}
		s.revision += raise
		if !rewrites {
			return
		}
		after := s.objects()
		for _, name := range slices.Sorted(maps.Keys(before)) {
			if string(before[name].Spec) != string(after[name].Spec) {
				s.write(name, string(before[name].Spec))
			}
		}
	})
}

// link is the state of the network between an instance and the store.
type link int

const (
	linkOpen link = iota
	linkRefused
	linkHanging // nothing arrives, until it is open again
)

// modelConn is a connection to a run of the store.
type modelConn struct{ opened, run, generation uint64 }

// modelMoment is moment of package platform.
type modelMoment struct{ began, opened uint64 }

// modelClient is the client of one process, as platform.Store with its continuity.
type modelClient struct {
	store     *modelStore
	eras      *era.Tracker
	statesEra bool
	pageSize  int
	onList    func()

	mu         sync.Mutex
	rng        *rand.Rand
	link       link
	latency    time.Duration // longest time of a message
	changed    chan struct{}
	generation uint64 // connections of earlier ones are broken
	idle       []*modelConn
	ticks      uint64
	answered   uint64
	isKnown    bool
}

func (c *modelClient) set(fn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn()
	close(c.changed)
	c.changed = make(chan struct{})
}

// take returns an idle connection, or nil.
func (c *modelClient) take() *modelConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	i := c.rng.IntN(len(c.idle))
	conn := c.idle[i]
	c.idle = slices.Delete(c.idle, i, i+1)
	return conn
}

// dialTimeout is the time in which package platform opens a connection.
const dialTimeout = time.Second

func (c *modelClient) open(ctx context.Context) (*modelConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := c.travel(ctx, nil); err != nil {
		return nil, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.store.away {
		return nil, errReset
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ticks++
	return &modelConn{c.ticks, c.store.run, c.generation}, nil
}

// travel waits until a message has passed the link.
func (c *modelClient) travel(ctx context.Context, conn *modelConn) error {
	c.mu.Lock()
	d := time.Millisecond + time.Duration(c.rng.Int64N(int64(c.latency)+1))
	c.mu.Unlock()
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	for hung := false; ; hung = true {
		c.mu.Lock()
		state, changed, generation := c.link, c.changed, c.generation
		c.mu.Unlock()
		switch {
		case conn != nil && conn.generation != generation, state == linkRefused:
			return errReset
		case state == linkOpen && hung && conn != nil:
			c.store.mu.Lock()
			defer c.store.mu.Unlock()
			if conn.run != c.store.run {
				return errReset
			}
			return nil
		case state == linkOpen:
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// over sends a call over a connection. serve is called with the store locked until it returns true.
func (c *modelClient) over(ctx context.Context, conn *modelConn, serve func() bool) error {
	if err := c.travel(ctx, conn); err != nil {
		return err
	}
	for {
		c.mu.Lock()
		linkChanged, broken := c.changed, c.link == linkRefused || conn.generation != c.generation
		c.mu.Unlock()
		c.store.mu.Lock()
		changed := c.store.changed
		if broken || conn.run != c.store.run {
			c.store.mu.Unlock()
			return errReset
		}
		done := serve()
		c.store.mu.Unlock()
		if done {
			return c.travel(ctx, conn)
		}
		select {
		case <-changed:
		case <-linkChanged:
		case <-time.After(100 * time.Millisecond): // for the end of the wait
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// call makes a call. Like net/http it repeats a call that failed over a connection that was idle. With mustProve it returns
// feed.ErrDiscontinuous if the connection was opened after the latest answer, as platform.Store.Watch does.
func (c *modelClient) call(ctx context.Context, mustProve bool, serve func() bool) (m modelMoment, err error) {
	c.mu.Lock()
	c.ticks++
	m.began = c.ticks
	c.mu.Unlock()
	for {
		conn := c.take()
		reused := conn != nil
		if !reused {
			if conn, err = c.open(ctx); err != nil {
				return m, err
			}
		}
		m.opened = conn.opened
		if mustProve && !c.proves(m) {
			return m, feed.ErrDiscontinuous
		}
		err = c.over(ctx, conn, serve)
		if err == nil {
			c.mu.Lock()
			c.idle = append(c.idle, conn)
			c.mu.Unlock()
			return m, nil
		}
		if ctx.Err() != nil || !reused {
			return m, err
		}
	}
}

func (c *modelClient) record(m modelMoment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered, c.isKnown = max(m.began, m.opened), true
}

func (c *modelClient) proves(m modelMoment) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isKnown || m.opened <= c.answered
}

func (c *modelClient) List(ctx context.Context, _ string) ([]feed.Object, uint64, error) {
	number := c.eras.Number()
	var all []feed.Object
	var revision uint64
	var first modelMoment
	for after := ""; ; after = all[len(all)-1].Name {
		var page []feed.Object
		var answer era.Answer
		var truncated bool
		call := c.eras.Begin()
		m, err := c.call(ctx, false, func() bool {
			answer = era.Answer{Stated: c.store.era, IsStated: c.statesEra, Revision: c.store.revision, IsCurrent: true}
			objects := c.store.objects()
			page = nil
			for _, name := range slices.Sorted(maps.Keys(objects)) {
				if name > after {
					page = append(page, objects[name])
				}
			}
			if truncated = len(page) > c.pageSize; truncated {
				page = page[:c.pageSize]
			}
			return true
		})
		if err != nil {
			return nil, 0, err
		}
		if err := call.End(answer); err != nil {
			return nil, 0, err
		}
		if after == "" {
			revision, first = answer.Revision, m
		}
		all = append(all, page...)
		if c.eras.Number() != number {
			return nil, 0, era.ErrChanged
		}
		if !truncated {
			break
		}
	}
	c.record(first)
	c.onList()
	return all, revision, nil
}

func (c *modelClient) Watch(ctx context.Context, w feed.Watch) ([]feed.Event, uint64, error) {
	number := c.eras.Number()
	call := c.eras.Begin()
	var events []feed.Event
	var answer era.Answer
	var gone bool
	var revision uint64
	var end time.Time // the store waits from the arrival of the request
	m, err := c.call(ctx, true, func() bool {
		if end.IsZero() {
			end = time.Now().Add(w.Wait)
		}
		answer = era.Answer{Stated: c.store.era, IsStated: c.statesEra}
		if gone = w.After < c.store.floor || w.After > c.store.revision; gone {
			return true
		}
		newest := c.store.revision
		if answer.IsStale = w.MayBeStale; !w.MayBeStale {
			answer.Revision = newest
		} else {
			newest = c.store.staleRevision()
		}
		events, revision = nil, newest
		for _, e := range c.store.history {
			if at(e) > w.After && at(e) <= newest {
				events = append(events, e)
			}
		}
		return len(events) > 0 || !time.Now().Before(end)
	})
	if err != nil {
		return nil, 0, err
	}
	if err := call.End(answer); err != nil {
		return nil, 0, err
	}
	if gone {
		return nil, 0, feed.ErrHistoryExpired
	}
	if !w.MayBeStale && revision < w.After {
		c.eras.Restored(number, era.CauseRevisions)
		return nil, 0, era.ErrChanged
	}
	if !c.proves(m) {
		return nil, 0, feed.ErrDiscontinuous
	}
	c.record(m)
	return events, revision, nil
}

// modelHandler checks that no list returns an older state of an object after a newer one in the same era.
type modelHandler struct {
	mu       sync.Mutex
	objects  map[string]feed.Object
	newest   map[string]feed.Object // last state of each, also of those that were removed
	fromPeer bool
	faults   []string
}

func (h *modelHandler) setSource(isPeer bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fromPeer = isPeer
}

func (h *modelHandler) Replace(objects []feed.Object, _ bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.objects = map[string]feed.Object{}
	for _, o := range objects {
		if last, known := h.newest[o.Name]; known && last.Era == o.Era && o.Revision < last.Revision && !h.fromPeer {
			h.faults = append(h.faults, fmt.Sprintf("era %d: a list returns %s at revision %d after %d", o.Era, o.Name, o.Revision, last.Revision))
		}
		h.newest[o.Name], h.objects[o.Name] = o, o
	}
}

func (h *modelHandler) Apply(e feed.Event, _ bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.newest[e.Object.Name] = e.Object
	if e.Deleted {
		delete(h.objects, e.Object.Name)
	} else {
		h.objects[e.Object.Name] = e.Object
	}
}

func describe(objects map[string]feed.Object) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		fmt.Fprintf(&b, "%s@%d=%s ", name, objects[name].Revision, objects[name].Spec)
	}
	return b.String()
}

// modelInstance is an instance of which one process at a time runs.
type modelInstance struct {
	fleet   *modelFleet
	wait    time.Duration
	client  *modelClient
	feed    atomic.Pointer[feed.Feed]
	handler *modelHandler
	stop    context.CancelFunc
	ended   chan struct{}
}

// modelFleet is a number of instances that follow one store.
type modelFleet struct {
	scenario  restoreScenario
	store     *modelStore
	rng       *rand.Rand
	instances []*modelInstance
	faults    []string
	specs     int
}

func silentLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func (f *modelFleet) start(i *modelInstance) {
	state, latency := linkOpen, time.Duration(0)
	if i.client != nil {
		state, latency = i.client.link, i.client.latency
	}
	tracker := era.NewTracker()
	i.handler = &modelHandler{newest: map[string]feed.Object{}}
	handler := i.handler
	i.client = &modelClient{
		store: f.store, eras: tracker, statesEra: f.scenario.StatesEra, pageSize: f.scenario.PageSize, link: state, latency: latency,
		onList: func() { handler.setSource(false) }, rng: rand.New(rand.NewPCG(f.rng.Uint64(), 0)), changed: make(chan struct{}),
	}
	choice := rand.New(rand.NewPCG(f.rng.Uint64(), 0)) // used by the feed's goroutine only
	process := feed.New(feed.Settings{
		Kind: "k", Store: i.client, Handler: handler, Log: silentLog(), Eras: tracker, KeepsMissing: f.scenario.KeepsMissing, Wait: func() time.Duration { return i.wait },
		MayBeStale: func() bool { return f.scenario.MayBeStale && i.wait == feed.MaxWait }, // the others notify it of changes
		FetchFromPeer: func(_ context.Context, _ string, after uint64) (*feed.Copy, error) {
			number := tracker.Number()
			time.Sleep(2 * time.Millisecond)
			other := f.instances[choice.IntN(len(f.instances))]
			if other == i {
				return nil, errReset
			}
			c := other.feed.Load().CopyFor(number, after)
			time.Sleep(2 * time.Millisecond)
			handler.setSource(true)
			return c, nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	i.feed.Store(process)
	i.stop, i.ended = cancel, ended
	go func() { defer close(ended); process.Run(ctx) }()
}

func (f *modelFleet) end(i *modelInstance) {
	i.stop()
	<-i.ended
	f.faults = append(f.faults, i.handler.faults...)
}

// run lets the instances run for a time, with reports to each other as those of package node, some of which are late.
func (f *modelFleet) run(d time.Duration) {
	const tick = 100 * time.Millisecond
	for left := d; left > 0; left -= tick {
		time.Sleep(min(tick, left))
		for _, from := range f.instances {
			state := from.client.eras.State()
			changed := from.feed.Load().NewestChangeIn(state.Number)
			for _, to := range f.instances {
				if to != from && f.rng.IntN(3) == 0 {
					to.client.eras.Merge(state)
					to.feed.Load().NotifyChangeIn(state.Number, changed)
				}
			}
		}
	}
}

// action is what a step of a scenario does.
type action int

const (
	doPut action = iota
	doRemove
	doRaise
	doRefuse
	doHang
	doRefuseAll
	doHangAll
	doHeal
	doHealAll
	doBreak
	doRestart
	doCompact
	doSlow
	doRestore
	actionCount
)

func (a action) String() string {
	return [...]string{
		"put", "remove", "raise", "refuse", "hang", "refuseAll", "hangAll", "heal", "healAll", "break", "restart", "compact", "slow", "restore",
	}[a]
}

type restoreStep struct {
	Do       action
	Instance int
	Name     string
	Amount   int // revisions by which the store is set back or raised
	Raise    int // of the revisions when the store comes back
	Away     time.Duration
	Rewrites bool
	Pause    time.Duration
}

type restoreScenario struct {
	Seed         uint64
	StatesEra    bool
	KeepsMissing bool
	MayBeStale   bool // long watches may be stale
	PageSize     int
	Waits        []time.Duration
	Steps        []restoreStep
}

const maxRestores = 3

func drawRestoreScenario(t *rapid.T) restoreScenario {
	s := restoreScenario{
		Seed: rapid.Uint64().Draw(t, "seed"), StatesEra: rapid.Bool().Draw(t, "statesEra"), KeepsMissing: rapid.Bool().Draw(t, "keepsMissing"),
		MayBeStale: rapid.Bool().Draw(t, "mayBeStale"), PageSize: rapid.SampledFrom([]int{100, 2}).Draw(t, "pageSize"), Waits: []time.Duration{time.Second},
	}
	for range rapid.IntRange(1, 3).Draw(t, "others") {
		s.Waits = append(s.Waits, rapid.SampledFrom([]time.Duration{time.Second, feed.MaxWait}).Draw(t, "wait"))
	}
	actions := []action{doPut, doPut, doPut, doRemove, doRemove, doRaise, doRefuse, doHang, doRefuseAll, doHangAll, doHeal, doHeal, doHealAll, doHealAll, doBreak, doRestart, doCompact, doSlow, doRestore, doRestore}
	restores := 0
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		step := restoreStep{Do: rapid.SampledFrom(actions).Draw(t, "do")}
		switch step.Do {
		case doPut, doRemove:
			step.Name = rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
		case doRaise:
			step.Amount = rapid.IntRange(1, 10).Draw(t, "amount")
		case doRefuseAll, doHangAll, doHealAll, doCompact:
		case doRestore:
			if restores++; restores > maxRestores {
				continue
			}
			step.Amount, step.Raise = rapid.IntRange(0, 8).Draw(t, "amount"), rapid.SampledFrom([]int{0, 0, 1, 3, 8, 20}).Draw(t, "raise")
			step.Away = time.Duration(rapid.SampledFrom([]int{0, 5, 100, 1000, 2500}).Draw(t, "away")) * time.Millisecond
			step.Rewrites = rapid.Bool().Draw(t, "rewrites")
		default:
			step.Instance = rapid.IntRange(0, len(s.Waits)-1).Draw(t, "instance")
		}
		step.Pause = time.Duration(rapid.SampledFrom([]int{0, 1, 2, 5, 50, 200, 400, 1500, 4000}).Draw(t, "pause")) * time.Millisecond
		s.Steps = append(s.Steps, step)
	}
	return s
}

func (f *modelFleet) setLinks(l link, instances ...*modelInstance) {
	for _, i := range instances {
		i.client.set(func() {
			i.client.link = l
			if l == linkRefused {
				i.client.generation++
			}
		})
	}
}

func (f *modelFleet) play(s restoreStep) {
	i := f.instances[s.Instance]
	switch s.Do {
	case doPut:
		f.specs++
		f.store.update(func() { f.store.write(s.Name, fmt.Sprint(f.specs)) })
	case doRemove:
		f.store.update(func() { f.store.write(s.Name, "") })
	case doRaise:
		f.store.update(func() { f.store.revision += uint64(s.Amount) })
	case doRefuse:
		f.setLinks(linkRefused, i)
	case doHang:
		f.setLinks(linkHanging, i)
	case doRefuseAll:
		f.setLinks(linkRefused, f.instances...)
	case doHangAll:
		f.setLinks(linkHanging, f.instances...)
	case doHeal:
		f.setLinks(linkOpen, i)
	case doHealAll:
		f.setLinks(linkOpen, f.instances...)
	case doBreak:
		i.client.set(func() { i.client.generation++ })
	case doRestart:
		f.end(i)
		f.start(i)
	case doCompact:
		f.store.update(func() { f.store.floor = f.store.revision })
	case doSlow:
		i.client.set(func() { i.client.latency = 150*time.Millisecond - i.client.latency })
	case doRestore:
		f.store.update(func() { f.store.away = true; f.store.run++ })
		f.run(s.Away)
		f.store.restore(f.store.revision-min(f.store.revision, uint64(s.Amount)), uint64(s.Raise), s.Rewrites)
	}
	f.run(s.Pause)
}

// recoveryTime is the time after the last trouble in which all instances agree with the store.
const recoveryTime = 10 * time.Second

// playRestores plays a scenario and returns what is wrong at its end.
func playRestores(s restoreScenario) (faults []string) {
	f := &modelFleet{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 0)), store: &modelStore{revision: 1, changed: make(chan struct{})}}
	f.store.update(func() { f.store.write("a", "first") })
	for _, wait := range s.Waits {
		f.instances = append(f.instances, &modelInstance{fleet: f, wait: wait})
	}
	for _, i := range f.instances {
		f.start(i)
	}
	f.run(time.Second)
	for _, step := range s.Steps {
		f.play(step)
	}
	f.setLinks(linkOpen, f.instances...)
	for _, i := range f.instances {
		i.client.set(func() { i.client.latency = 0 })
	}
	f.run(recoveryTime)
	f.store.mu.Lock()
	want := describe(f.store.objects())
	f.store.mu.Unlock()
	for n, i := range f.instances {
		i.handler.mu.Lock()
		if got := describe(i.handler.objects); got != want {
			f.faults = append(f.faults, fmt.Sprintf("instance %d has %q, the store %q", n, got, want))
		}
		i.handler.mu.Unlock()
		if number := i.client.eras.Number(); number != f.instances[0].client.eras.Number() {
			f.faults = append(f.faults, fmt.Sprintf("instance %d is in era %d, instance 0 in %d", n, number, f.instances[0].client.eras.Number()))
		}
	}
	for _, i := range f.instances {
		f.end(i)
	}
	return f.faults
}

// Guards against instances that differ from the store, or from each other in the era, after restores of the store among
// other trouble, and against a list that sets an object back within an era.
func TestFeed_AgreesAfterRandomRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawRestoreScenario(t)
		rapid.SyncTest(t, func(t *rapid.T) {
			for _, fault := range playRestores(s) {
				t.Error(fault)
			}
		})
	})
}
