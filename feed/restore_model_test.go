package feed_test

import (
	"context"
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
