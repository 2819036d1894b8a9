package move

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/table"
)

const modelTick = 500 * time.Millisecond

var modelStart = time.Unix(1_700_000_000, 0)

// scenario describes the new version and the circumstances of a model run.
type scenario struct {
	name          string
	quick         bool // part of the normal test run
	bad           bool
	rate          float64       // requests a second over all instances
	failRate      float64       // failure rate of both versions
	extraFailRate float64       // additional failure rate of the new version
	slow          float64       // latency factor of the new version; 0: 1
	onset         time.Duration // of the fault after the start
	minLoad       int           // the fault occurs from this load on
	route         int           // the fault occurs on this route only; -1: on all
	reclaimWave   bool          // after a third of the time: lost attempts and more load
	stages        []config.Stage
	pause         [2]time.Duration // instance 3 is paused
	partition     [2]time.Duration // instances 0 to 3 can't reach 4 to 7
	storeDown     [2]time.Duration // the store is down
	restart       time.Duration    // instance 5 restarts with a new epoch
}

var modelRoutes = []struct {
	name   string
	weight float64
	base   time.Duration // median first token
}{{"review", 0.3, 600 * time.Millisecond}, {"answer", 0.6, 200 * time.Millisecond}, {"tag", 0.1, 100 * time.Millisecond}}

// result holds the measurements of a run.
type result struct {
	newFraction float64       // fraction of all requests up to the deadline that the new version served
	toZero      time.Duration // from the first faulty attempt to zero share at the last instance; -1: never
	outcome     Outcome       // recorded; empty: none
	settled     time.Duration // after the start
	onTime      bool          // done and all traffic moved by the deadline
	movedBack   bool
	factBytes   int // largest fact
}

type message struct {
	at     time.Time
	origin int
	fact   Fact
}

// model simulates eight instances with seeded arrivals, attempts and message delays, and a store.
type model struct {
	sc          scenario
	rng         *rand.Rand
	now         time.Time
	length      time.Duration
	svc         *config.Service
	systems     []*System
	shares      []float64
	inbox       [][]message
	objects     map[Object]*Record
	ids         []string
	res         result
	newRequests int
	fault       time.Time
	lastShareAt time.Time // last tick at which an instance had a share
	offered     [sides]float64
	fixed       *fixedSteps // replaces the systems when set
}

func newModel(sc scenario, seed uint64, length time.Duration) *model {
	m := &model{sc: sc, rng: rand.New(rand.NewPCG(seed, 99)), now: modelStart, length: length, objects: map[Object]*Record{}}
	m.svc = &config.Service{Name: "quotes", ServingVersion: "v1", Move: &config.Move{ID: "m1", From: "v1", To: "v2",
		Start: modelStart, Deadline: modelStart.Add(length), Stages: sc.stages}}
	for _, r := range modelRoutes {
		m.svc.Routes = append(m.svc.Routes, config.Route{Name: r.name})
	}
	for i := range 8 {
		m.ids = append(m.ids, fmt.Sprint("n", i))
	}
	for i := range 8 {
		m.systems = append(m.systems, m.start(i, 1))
	}
	m.shares, m.inbox = make([]float64, 8), make([][]message, 8)
	m.res.toZero = -1
	return m
}

func (m *model) start(i int, epoch uint64) *System {
	s := New(Settings{MemberID: m.ids[i], Epoch: epoch})
	s.SetMembers(m.ids)
	s.Configure(m.now, m.svc)
	return s
}

func (m *model) elapsed() time.Duration { return m.now.Sub(modelStart) }

func (m *model) within(w [2]time.Duration) bool { return m.elapsed() >= w[0] && m.elapsed() < w[1] }

func (m *model) paused(i int) bool { return i == 3 && m.within(m.sc.pause) }

func (m *model) inWave() bool {
	return m.sc.reclaimWave && m.within([2]time.Duration{m.length / 3, m.length/3 + 90*time.Second})
}

// run advances the model to the end of the watch period and calls check, if given, after each tick.
func (m *model) run(check func()) result {
	end := modelStart.Add(m.length * 3 / 2)
	for ; m.now.Before(end); m.now = m.now.Add(modelTick) {
		m.arrivals()
		if m.fixed != nil {
			m.fixed.tick(m)
		} else {
			m.tick()
		}
		m.measure()
		if check != nil {
			check()
		} else if m.rolledBackEverywhere() {
			break
		}
	}
	return m.finish()
}

// rolledBackEverywhere reports whether the move is rolled back and no instance has a share; nothing changes afterwards.
func (m *model) rolledBackEverywhere() bool {
	rec := m.objects[Object{"quotes", "m1"}]
	return rec != nil && rec.Outcome != Done && m.maxShare() == 0 && m.now.Sub(m.lastShareAt) > 4*modelTick
}

func (m *model) maxShare() float64 { return slices.Max(m.shares) }

func (m *model) arrivals() {
	mean := m.sc.rate * modelTick.Seconds() / 8
	var count [sides]float64
	for i := range m.systems {
		if m.paused(i) {
			continue
		}
		for range m.poisson(mean) {
			s := oldSide
			if m.rng.Float64() < m.shares[i] {
				s = newSide
			}
			count[s]++
			m.attempt(i, s)
		}
	}
	for s := range count {
		m.offered[s] = 0.8*m.offered[s] + 0.2*count[s]/modelTick.Seconds()
	}
}

func (m *model) attempt(i int, s side) {
	route := m.route()
	// Each version has eight endpoints, and a request takes 1.5 s.
	load := m.poisson(m.offered[s] * 1.5 / 8)
	if m.inWave() {
		load += m.poisson(3)
	}
	r := Result{Service: "quotes", Version: []string{"v1", "v2"}[s], Route: modelRoutes[route].name, Load: load}
	faulty := s == newSide && m.sc.bad && m.elapsed() >= m.sc.onset && load >= m.sc.minLoad &&
		(m.sc.route < 0 || m.sc.route == route)
	fail, slow := m.sc.failRate, 1+0.06*float64(load)
	if faulty {
		fail += m.sc.extraFailRate
		slow *= max(m.sc.slow, 1)
		if m.fault.IsZero() {
			m.fault = m.now
		}
	}
	r.FirstToken = time.Duration(float64(modelRoutes[route].base) * slow * math.Exp(0.5*m.rng.NormFloat64()))
	r.PerToken = time.Duration(float64(15*time.Millisecond) * slow * math.Exp(0.25*m.rng.NormFloat64()))
	if m.rng.Float64() < fail {
		r.Outcome = Failed
	}
	if m.inWave() && m.rng.Float64() < 0.2 {
		r.Outcome = Excluded
	}
	if m.elapsed() < m.length {
		m.newRequests += int(s)
	}
	if m.fixed != nil {
		m.fixed.observe(s, r)
	} else {
		m.systems[i].Observe(m.now, r)
	}
}

func (m *model) route() int {
	x := m.rng.Float64()
	for i, r := range modelRoutes {
		if x -= r.weight; x < 0 {
			return i
		}
	}
	return 0
}

func (m *model) poisson(mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for {
		if p *= m.rng.Float64(); p < limit {
			return n
		}
		n++
	}
}

func (m *model) tick() {
	if m.sc.restart > 0 && m.elapsed() == m.sc.restart {
		m.systems[5] = m.start(5, 2)
	}
	for i, s := range m.systems {
		if m.paused(i) {
			continue
		}
		m.deliver(i)
		out := s.Tick(m.now)
		m.shares[i] = fractionOf(out.Shares["quotes"], "v2")
		m.send(i, out.Facts)
		m.accessStore(s, out)
	}
}

func fractionOf(shares []table.Share, version string) float64 {
	for _, s := range shares {
		if s.Version == version {
			return s.Fraction
		}
	}
	return 0
}

func (m *model) deliver(i int) {
	keep := m.inbox[i][:0]
	for _, msg := range m.inbox[i] {
		if msg.at.After(m.now) {
			keep = append(keep, msg)
			continue
		}
		if err := m.systems[i].Receive(m.now, m.ids[msg.origin], msg.fact.Key, msg.fact.Value); err != nil {
			panic(err)
		}
	}
	m.inbox[i] = keep
}

// send delays facts by up to a second; a partition holds them until it ends.
func (m *model) send(from int, facts []Fact) {
	for _, f := range facts {
		m.res.factBytes = max(m.res.factBytes, len(f.Value))
		for to := range m.systems {
			if to == from {
				continue
			}
			at := m.now.Add(time.Duration(m.rng.Int64N(int64(time.Second))))
			if m.within(m.sc.partition) && (from < 4) != (to < 4) {
				at = at.Add(m.sc.partition[1] - m.elapsed())
			}
			m.inbox[to] = append(m.inbox[to], message{at, from, f})
		}
	}
}

func (m *model) accessStore(s *System, out Output) {
	if m.within(m.sc.storeDown) {
		return
	}
	for _, p := range out.Proposals {
		o := Object{Service: p.Service, Move: p.Move}
		if m.objects[o] == nil {
			m.objects[o] = &p
			if p.Move == "m1" {
				m.res.settled = m.elapsed()
			}
		}
		s.ApplyRecord(m.now, o, m.objects[o])
	}
	for _, o := range out.Reads {
		s.ApplyRecord(m.now, o, m.objects[o])
	}
}

func (m *model) measure() {
	if m.maxShare() > 0 {
		m.lastShareAt = m.now
	}
	if m.elapsed() == m.length {
		m.res.onTime = true
		for _, s := range m.shares {
			m.res.onTime = m.res.onTime && s == 1
		}
	}
}

func (m *model) finish() result {
	r := &m.res
	r.newFraction = float64(m.newRequests) / (m.sc.rate * m.length.Seconds())
	if rec := m.objects[Object{"quotes", "m1"}]; rec != nil {
		r.outcome = rec.Outcome
	}
	r.movedBack = m.objects[Object{"quotes", "m1-back"}] != nil
	r.onTime = r.onTime && r.outcome == Done && !r.movedBack && r.settled <= m.length
	if last := m.lastShareAt; !m.fault.IsZero() && m.now.Sub(last) > 2*modelTick {
		r.toZero = last.Add(modelTick).Sub(m.fault)
	}
	return *r
}

// fixedSteps is the baseline policy: stages have fixed lengths, and a move is rolled back only for the failure rate at
// the end of a stage.
type fixedSteps struct {
	failed, n int
	stage     int
	back      bool
}

var fixedShares = [...]float64{0.05, 0.25, 0.5, 1}

func (f *fixedSteps) observe(s side, r Result) {
	if s == newSide && r.Outcome != Excluded {
		f.n++
		if r.Outcome == Failed {
			f.failed++
		}
	}
}

func (f *fixedSteps) tick(m *model) {
	stage := min(int(4*m.elapsed()/m.length), len(fixedShares)-1)
	over := m.elapsed() >= m.length
	if stage != f.stage || over && m.objects[Object{"quotes", "m1"}] == nil {
		f.back = f.back || f.n > 0 && float64(f.failed)/float64(f.n) > 0.05
		f.stage, f.failed, f.n = stage, 0, 0
	}
	outcome := Done
	if f.back {
		outcome = RolledBack
	}
	if (over || f.back) && m.objects[Object{"quotes", "m1"}] == nil {
		m.objects[Object{"quotes", "m1"}] = &Record{Outcome: outcome}
		m.res.settled = m.elapsed()
	}
	for i := range m.shares {
		m.shares[i] = fixedShares[stage]
		if f.back {
			m.shares[i] = 0
		}
	}
}
