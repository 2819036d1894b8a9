package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/admission"
	"github.com/trefoillug/trefoillug/placement"
	"github.com/trefoillug/trefoillug/speed"
)

// kind is a kind of calls of a service.
type kind struct {
	name          string
	rank          int
	input, output int // tokens; of a plain endpoint: 0, and its work in ms
	objective     time.Duration
	timeout       time.Duration
	rate          float64 // calls a second over all instances
}

// work returns the time of an engine, or of a slot of a plain endpoint, in seconds.
func (k *kind) work() float64 {
	if k.input == 0 {
		return float64(k.output) / 1000
	}
	return (float64(k.input)/prefillRate + float64(k.output)*decodeStep/(0.7*24)) / 1000
}

// call is what a caller wants, over all its attempts.
type call struct {
	kind      *kind
	workspace string
	key       uint64
	first     time.Time // first arrival
	arrived   time.Time // of the latest attempt
	tries     int
	result    result
	prompt    bool // the answer came within the objective since the first arrival
}

func (c *call) deadline() time.Time { return c.first.Add(c.kind.timeout) }

type result int

const (
	refused result = iota
	timedOut
	late
	inTime
)

// scenario is a load pattern.
type scenario struct {
	name       string
	instances  int
	endpoints  int
	slots      int
	memory     float64 // 0: plain endpoints
	kinds      []kind
	workspaces []float64 // weights
	factor     func(at time.Duration, workspace int) float64
	lostAt     time.Duration // a seventh of the endpoints is lost; 0: none
	impatient  float64       // share of callers that repeat at once and up to 8 times
	duration   time.Duration
	reportAge  time.Duration // age of the load reports when they arrive
}

// instance is the state of one instance.
type instance struct {
	service  *admission.Service
	running  []int
	prefill  []float64
	reports  []admission.Load
	reported []time.Time
	waiting  []*pending
	budget   float64 // of repeats
}

// pending is a call at an instance, until it ends.
type pending struct {
	call     *call
	instance *instance
	ticket   *admission.Ticket
	tried    []int
	run      *run
	over     bool
}

// simulation runs a scenario. Without admit, each call is sent as it arrives.
type simulation struct {
	scenario
	admit     bool
	rng       *rand.Rand
	now       time.Time
	start     time.Time
	engines   []*endpoint
	nodes     []*instance
	open      []*pending
	byRun     map[*run]*pending
	returning []*call
	returnAt  []time.Time
	calls     []*call
	history   [][]admission.Load // by endpoint, oldest first
	used      []float64          // share of the slots in use at each tick
	delayed   int                // calls that have waited at an instance
}

func newSimulation(s scenario, admit bool) *simulation {
	m := &simulation{
		scenario: s, admit: admit, rng: rand.New(rand.NewPCG(7, 11)), start: time.Unix(1000, 0), byRun: map[*run]*pending{},
		history: make([][]admission.Load, s.endpoints),
	}
	m.now = m.start
	for i := range s.endpoints {
		m.engines = append(m.engines, &endpoint{index: i, slots: s.slots, memory: s.memory})
	}
	for range s.instances {
		m.nodes = append(m.nodes, &instance{
			service: admission.NewService(m.rng.Float64), running: make([]int, s.endpoints), prefill: make([]float64, s.endpoints),
			reports: make([]admission.Load, s.endpoints), reported: make([]time.Time, s.endpoints),
		})
	}
	return m
}

func (m *simulation) play() *simulation {
	for m.now.Sub(m.start) < m.duration || len(m.open)+len(m.returning) > 0 {
		at := m.now.Sub(m.start)
		if at > m.duration+15*time.Second {
			break
		}
		if m.lostAt > 0 && at == m.lostAt {
			m.loseEndpoints()
		}
		if at < m.duration {
			m.arrivals(at)
		}
		m.returns()
		m.poll()
		used := 0
		for i, e := range m.engines {
			e.step(m.begun, m.ended)
			used += len(e.running)
			m.history[i] = append(m.history[i], admission.Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots})
		}
		m.used = append(m.used, float64(used)/float64(m.slots*m.endpoints))
		m.now = m.now.Add(tick)
		m.expire()
	}
	return m
}

func (m *simulation) arrivals(at time.Duration) {
	total := 0.0
	for _, w := range m.workspaces {
		total += w
	}
	for k := range m.kinds {
		for w, weight := range m.workspaces {
			rate := m.kinds[k].rate * weight / total * m.factor(at, w) * tick.Seconds()
			for m.rng.Float64() < rate {
				rate--
				c := &call{kind: &m.kinds[k], workspace: fmt.Sprint("w", w), key: m.rng.Uint64(), first: m.now}
				m.calls = append(m.calls, c)
				m.arrive(c)
			}
		}
	}
}

func (m *simulation) arrive(c *call) {
	c.arrived = m.now
	n := m.nodes[m.rng.IntN(len(m.nodes))]
	n.budget = min(3, n.budget+0.1)
	p := &pending{call: c, instance: n}
	m.open = append(m.open, p)
	m.offer(p)
}

// offer decides about a first or repeated attempt.
func (m *simulation) offer(p *pending) {
	if !m.admit {
		m.send(p)
		return
	}
	p.ticket = p.instance.service.Offer(m.request(p), m.now)
	m.proceed(p)
}

func (m *simulation) proceed(p *pending) {
	switch p.ticket.State() {
	case admission.Running:
		m.send(p)
	case admission.Rejected:
		m.refuse(p, p.ticket.RetryAfter)
	case admission.Waiting:
		m.delayed++
		p.instance.waiting = append(p.instance.waiting, p)
	}
}

func (m *simulation) request(p *pending) admission.Request {
	k := p.call.kind
	_, cost := m.best(p)
	first := time.Duration(cost * float64(time.Millisecond))
	rest := min(speed.Default.Generation, time.Duration(float64(k.output)*decodeStep)*time.Millisecond)
	service := time.Duration(float64(k.output)*decodeStep*1.3) * time.Millisecond
	if k.input == 0 {
		rest, service = 0, time.Duration(k.output)*time.Millisecond
	}
	return admission.Request{
		Rank: k.rank, Workspace: p.call.workspace, Work: k.work(), Arrived: p.call.arrived, Deadline: p.call.deadline(),
		Objective: k.objective, First: first, Finish: first + rest, Service: service, Key: p.call.key,
	}
}

// best returns the endpoint that the instance expects to be the fastest, with its cost in ms.
func (m *simulation) best(p *pending) (endpoint int, cost float64) {
	n, k := p.instance, p.call.kind
	r := placement.Request{Input: k.input, Speed: speed.Default}
	r.Speed.Answer = time.Duration(k.output) * time.Millisecond
	candidates := make([]placement.Candidate, 0, m.endpoints)
	ids := make([]int, 0, m.endpoints)
	offset := m.rng.IntN(m.endpoints) // equal endpoints are chosen at random
	for j := range m.endpoints {
		i := (j + offset) % m.endpoints
		if m.engines[i].lost || slices.Contains(p.tried, i) {
			continue
		}
		running := float64(n.running[i])
		running = max(running, running+(float64(n.reports[i].Running+n.reports[i].Waiting)-running)*m.freshness(n, i))
		candidates = append(candidates, placement.Candidate{SameZone: true, Running: running, Prefill: n.prefill[i], Slots: float64(m.slots)})
		ids = append(ids, i)
	}
	best := placement.Best(r, candidates)
	return ids[best], placement.Cost(r, &candidates[best])
}

func (m *simulation) freshness(n *instance, i int) float64 {
	if n.reported[i].IsZero() {
		return 0
	}
	return max(0, 1-m.now.Sub(n.reported[i]).Seconds()/2)
}

func (m *simulation) send(p *pending) {
	i, _ := m.best(p)
	p.tried = append(p.tried, i)
	p.run = &run{call: p.call, sent: m.now}
	if m.engines[i].accept(p.run) {
		m.byRun[p.run] = p
		p.instance.running[i]++
		p.instance.prefill[i] += float64(p.call.kind.input)
		return
	}
	p.run = nil
	p.instance.reports[i], p.instance.reported[i] = admission.Load{Running: m.slots, Waiting: m.slots, Slots: m.slots}, m.now
	if m.admit {
		p.instance.service.RejectedBy(fmt.Sprint(i), m.now)
	}
	after := 125*time.Millisecond + time.Duration(m.rng.IntN(250))*time.Millisecond
	if m.admit {
		p.instance.service.Release(p.ticket, false, m.now)
		if again, rejected := p.instance.service.WouldReject(m.request(p), m.now); rejected {
			m.refuse(p, again)
			return
		}
	}
	if len(p.tried) <= 2 && p.instance.budget >= 1 {
		p.instance.budget--
		m.offer(p)
		return
	}
	if m.admit && p.instance.service.IsShort() {
		after = p.instance.service.RetryAfter(m.request(p), m.now)
	}
	m.refuse(p, after)
}

// report records a load report.
func (m *simulation) report(n *instance, i int, l admission.Load) {
	n.reports[i], n.reported[i] = l, m.now
	if m.admit {
		n.service.Answered(fmt.Sprint(i), l, true, m.now)
	}
}

func (m *simulation) begun(r *run) {
	p := m.byRun[r]
	i := r.endpoint.index
	p.instance.prefill[i] -= float64(p.call.kind.input)
	old := max(0, len(m.history[i])-1-int(m.reportAge/tick))
	if len(m.history[i]) > 0 {
		m.report(p.instance, i, m.history[i][old])
	}
	if m.admit {
		p.instance.service.Begun(p.ticket, m.now)
	}
	p.call.result = late
	if m.now.Sub(p.call.arrived) <= p.call.kind.objective {
		p.call.result = inTime
		p.call.prompt = m.now.Sub(p.call.first) <= p.call.kind.objective
	}
}

func (m *simulation) ended(r *run) {
	p := m.byRun[r]
	p.instance.running[r.endpoint.index]--
	m.close(p, true)
}

// close ends a call at an instance.
func (m *simulation) close(p *pending, ran bool) {
	p.over = true
	if p.ticket != nil {
		p.instance.service.Release(p.ticket, ran, m.now)
	}
	if p.run != nil {
		delete(m.byRun, p.run)
	}
}

// refuse refuses an attempt. Most callers return once; impatient ones return at once and often.
func (m *simulation) refuse(p *pending, after time.Duration) {
	m.close(p, false)
	c := p.call
	c.tries++
	left := c.deadline().Sub(m.now)
	impatient := float64(c.key%1000) < 1000*m.impatient
	after = min(after, left/3)
	if impatient {
		after = 10 * time.Millisecond
	}
	if left < tick || c.tries > 1 && !impatient || c.tries > 8 {
		return
	}
	m.returning, m.returnAt = append(m.returning, c), append(m.returnAt, m.now.Add(after))
}

func (m *simulation) returns() {
	due := m.returning[:0:0]
	keep, keepAt := m.returning[:0], m.returnAt[:0]
	for i, c := range m.returning {
		if m.returnAt[i].After(m.now) {
			keep, keepAt = append(keep, c), append(keepAt, m.returnAt[i])
		} else {
			due = append(due, c)
		}
	}
	m.returning, m.returnAt = keep, keepAt
	for _, c := range due {
		m.arrive(c)
	}
}

// poll polls the queues of the instances.
func (m *simulation) poll() {
	for _, n := range m.nodes {
		if len(n.waiting) == 0 {
			continue
		}
		n.service.Poll(m.now)
		decided := n.waiting[:0:0]
		n.waiting = slices.DeleteFunc(n.waiting, func(p *pending) bool {
			if p.ticket.State() == admission.Waiting && !p.over {
				return false
			}
			decided = append(decided, p)
			return true
		})
		for _, p := range decided {
			if !p.over {
				m.proceed(p)
			}
		}
	}
}

// expire ends the calls whose callers have left.
func (m *simulation) expire() {
	m.open = slices.DeleteFunc(m.open, func(p *pending) bool {
		if !p.over && m.now.After(p.call.deadline()) {
			m.leave(p)
		}
		return p.over
	})
}

func (m *simulation) leave(p *pending) {
	p.call.result = timedOut
	if r := p.run; r != nil {
		r.endpoint.drop(r)
		p.instance.running[r.endpoint.index]--
		if !r.begun {
			p.instance.prefill[r.endpoint.index] -= float64(p.call.kind.input)
		}
	}
	m.close(p, p.run != nil)
}

// loseEndpoints loses a seventh of the endpoints; the callers of their runs get no answer.
func (m *simulation) loseEndpoints() {
	for _, e := range m.engines[:len(m.engines)/7] {
		for _, r := range append(e.running, e.waiting...) {
			p := m.byRun[r]
			p.call.result = timedOut
			m.close(p, false)
		}
		e.lost, e.running, e.waiting = true, nil, nil
	}
}
