package lease

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoillug/trefoillug/era"
)

// TestMain fixes the seed of property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	// modelCallTimeout is the time-out of a call in package platform.
	modelCallTimeout = time.Second
	// maxEffectDelay is the longest time after which a write takes effect.
	maxEffectDelay = 3 * time.Second
	maxFreeze      = 7 * time.Second
	// recoveryTime is the time after the last trouble in which there is a holder.
	recoveryTime = 15 * time.Second
	maxRestores  = 3
)

// modelProcess is a candidate that keeps nothing when it ends.
type modelProcess struct {
	client *modelClient
	lease  *Lease
	cancel context.CancelFunc
}

func (p *modelProcess) run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = p.lease.Step(ctx) // an error is followed by the next step
		p.lease.wait(ctx)
		p.client.thaw()
	}
}

func (p *modelProcess) kill() {
	p.cancel()
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	p.client.dead, p.client.frozenUntil = true, time.Time{}
}

// leaseStep is a step of a scenario.
type leaseStep struct {
	Do       string
	Instance int
	Amount   int           // of revisions
	For      time.Duration // of a freeze, or of the absence of the store
	Age      time.Duration // of the copy
	Pause    time.Duration
}

type leaseScenario struct {
	Seed         uint64
	StatesEra    bool
	IsFirstStart bool
	Follows      bool            // feeds call the store as well
	Skews        []time.Duration // of the wall clocks
	Steps        []leaseStep
}

func drawLeaseScenario(t *rapid.T) leaseScenario {
	s := leaseScenario{
		Seed: rapid.Uint64().Draw(t, "seed"), StatesEra: rapid.Bool().Draw(t, "statesEra"), IsFirstStart: rapid.Bool().Draw(t, "firstStart"),
		Follows: rapid.Bool().Draw(t, "follows"),
	}
	for range rapid.IntRange(2, 4).Draw(t, "instances") {
		s.Skews = append(s.Skews, time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "skew"))*time.Millisecond)
	}
	restores := 0
	actions := []string{"restore", "restore", "killHolder", "killHolder", "killAll", "kill", "freezeHolder", "freezeHolder", "freeze", "lossy", "lossyHolder", "clear", "slow", "raise", "break"}
	for range rapid.IntRange(1, 30).Draw(t, "steps") {
		step := leaseStep{Do: rapid.SampledFrom(actions).Draw(t, "do"), Instance: rapid.IntRange(0, len(s.Skews)-1).Draw(t, "instance")}
		switch step.Do {
		case "restore":
			if restores++; restores > maxRestores {
				continue
			}
			step.For, step.Age = drawMillis(t, 0, 2500, "away"), drawMillis(t, 0, 12000, "age")
			step.Amount = rapid.SampledFrom([]int{0, 0, 1, 2, 5, 20}).Draw(t, "amount")
		case "freeze", "freezeHolder":
			step.For = drawMillis(t, 1, int(maxFreeze/time.Millisecond), "freeze")
		case "raise":
			step.Amount = rapid.IntRange(1, 12).Draw(t, "amount")
		}
		step.Pause = drawMillis(t, 0, 5000, "pause")
		s.Steps = append(s.Steps, step)
	}
	return s
}

func drawMillis(t *rapid.T, lo, hi int, name string) time.Duration {
	return time.Duration(rapid.IntRange(lo, hi).Draw(t, name)) * time.Millisecond
}

// modelFleet is a number of candidates of one lease.
type modelFleet struct {
	scenario  leaseScenario
	store     *modelStore
	rng       *rand.Rand
	ids       []string
	processes []*modelProcess
	starts    uint64
	highest   uint64
	users     map[uint64]uint64 // processes by token
	faults    []string
	ticks     int
	began     time.Time
}

func (f *modelFleet) start(i int) {
	f.starts++
	eras, skew, choice := era.NewTracker(), f.scenario.Skews[i], rand.New(rand.NewPCG(f.rng.Uint64(), 0))
	p := &modelProcess{client: &modelClient{store: f.store, eras: eras, statesEra: f.scenario.StatesEra, rng: rand.New(rand.NewPCG(f.rng.Uint64(), 0))}}
	p.lease = New(Settings{
		Store: p.client, Duty: "duties", Candidate: f.ids[i], Process: f.starts, Members: func() []string { return f.ids },
		Term: 4 * time.Second, Margin: 1500 * time.Millisecond, Stagger: 500 * time.Millisecond,
		Restores: &Restores{
			Eras: eras, IsFirstStart: f.scenario.IsFirstStart && f.starts <= uint64(len(f.ids)), Connections: p.client.opened,
			MinToken: func(highest uint64) uint64 { return minToken(eras.State(), highest, time.Now().Add(skew), choice) },
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.run(ctx)
	if f.scenario.Follows {
		go p.client.follow(ctx)
	}
	f.processes[i] = p
}

// minToken is minToken of package node.
func minToken(s era.State, highest uint64, now time.Time, choice *rand.Rand) uint64 {
	fromClock := uint64(now.UnixMilli())<<10 + choice.Uint64N(1<<10)
	if !s.IsStated || highest>>20 > s.Stated {
		return fromClock
	}
	return s.Stated<<20 + 1
}

// run lets the candidates run for a time, with reports to each other as those of package node, some of which are late.
func (f *modelFleet) run(d time.Duration) {
	const tick = 50 * time.Millisecond
	for left := d; left > 0; left -= tick {
		time.Sleep(min(tick, left))
		f.check()
		if f.ticks++; f.ticks%4 != 0 {
			continue
		}
		for _, from := range f.processes {
			if from.client.isFrozen() {
				continue
			}
			state, token := from.client.eras.State(), from.lease.HighestToken()
			for _, to := range f.processes {
				if to != from && !to.client.isFrozen() && f.rng.IntN(2) == 0 {
					to.client.eras.Merge(state)
					to.lease.RecordToken(token)
				}
			}
		}
	}
}

func (f *modelFleet) fault(format string, args ...any) {
	if len(f.faults) < 5 {
		f.faults = append(f.faults, fmt.Sprintf("after %v: ", time.Since(f.began))+fmt.Sprintf(format, args...))
	}
}

// check checks the holders. A process that is frozen counts too, since it may go on at any time.
func (f *modelFleet) check() {
	var holders []uint64
	for _, p := range f.processes {
		g, ok := p.lease.Held()
		if !ok {
			continue
		}
		process := p.lease.settings.Process
		holders = append(holders, process)
		if user, used := f.users[g.Token]; used && user != process {
			f.fault("token %d is used by processes %d and %d", g.Token, user, process)
		}
		if g.Token < f.highest {
			f.fault("token %d after %d", g.Token, f.highest)
		}
		f.highest, f.users[g.Token] = max(f.highest, g.Token), process
	}
	if len(holders) > 1 {
		f.fault("processes %v hold the lease", holders)
	}
}

// holder returns the index of the holder, or another one if there is none.
func (f *modelFleet) holder(other int) int {
	if i := slices.IndexFunc(f.processes, func(p *modelProcess) bool { _, ok := p.lease.Held(); return ok }); i >= 0 {
		return i
	}
	return other
}

func (f *modelFleet) restart(i int) {
	f.processes[i].kill()
	f.start(i)
}

func (f *modelFleet) play(s leaseStep) {
	i := s.Instance
	switch s.Do {
	case "freezeHolder", "killHolder", "lossyHolder":
		i = f.holder(i)
	}
	c := f.processes[i].client
	switch s.Do {
	case "restore":
		f.store.mu.Lock()
		to := time.Now().Add(-s.Age)
		f.store.mu.Unlock()
		f.store.leave()
		f.run(s.For)
		f.store.restore(to, uint64(s.Amount))
	case "kill", "killHolder":
		f.restart(i)
	case "killAll":
		for n := range f.processes {
			f.restart(n)
		}
	case "freeze", "freezeHolder":
		c.mu.Lock()
		c.frozenUntil = time.Now().Add(s.For)
		c.mu.Unlock()
	case "lossy", "lossyHolder":
		c.mu.Lock()
		c.lossy = true
		c.mu.Unlock()
	case "slow":
		c.mu.Lock()
		c.latency = 300*time.Millisecond - c.latency
		c.mu.Unlock()
	case "clear":
		f.clear()
	case "raise":
		f.store.raise(uint64(s.Amount))
	case "break":
		c.mu.Lock()
		c.isOpen = false
		c.mu.Unlock()
	}
	f.run(s.Pause)
}

func (f *modelFleet) clear() {
	for _, p := range f.processes {
		p.client.mu.Lock()
		p.client.lossy, p.client.latency = false, 0
		p.client.mu.Unlock()
	}
}

// playLease plays a scenario and returns what was wrong.
func playLease(s leaseScenario) []string {
	f := &modelFleet{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 0)), store: &modelStore{revision: 1}, users: map[uint64]uint64{}, began: time.Now()}
	for i := range s.Skews {
		f.ids = append(f.ids, fmt.Sprint("i", i))
	}
	f.processes = make([]*modelProcess, len(f.ids))
	for i := range f.ids {
		f.start(i)
	}
	if s.IsFirstStart {
		// Each candidate makes its first step before the trouble begins. One that reads the object for the first time later
		// can't tell that a grant was forgotten, and IsFirstStart lets it acquire the lease without waiting for a term.
		f.run(100 * time.Millisecond)
	}
	for _, step := range s.Steps {
		f.play(step)
	}
	f.clear()
	f.run(max(maxFreeze, maxEffectDelay+modelCallTimeout)) // freezes and late writes are the last trouble
	f.run(recoveryTime)
	if _, ok := f.processes[f.holder(0)].lease.Held(); !ok {
		f.fault("no process holds the lease")
	}
	for _, p := range f.processes {
		p.kill()
	}
	time.Sleep(2 * time.Minute) // all goroutines end
	return f.faults
}

// Guards against two holders, against a token that two processes use or that falls, and against a lease that stays without
// a holder, after restores of the store among other trouble.
func TestLease_RandomRestoresAndLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawLeaseScenario(t)
		rapid.SyncTest(t, func(t *rapid.T) {
			for _, fault := range playLease(s) {
				t.Error(fault)
			}
		})
	})
}
