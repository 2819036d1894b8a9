package move

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/samber/oops"
)

const (
	strata     = 3 // load classes: up to 1, up to 5 and more attempts in flight at the endpoint
	lightLoad  = 1
	mediumLoad = 5

	bins        = 84 // of a latency histogram, from 0.5 ms to about 40 s
	lowestBin   = 500 * time.Microsecond
	slowBins    = 3 // bins in a factor of 1.5
	marginBins  = 1 // bins by which a good version may be slower: a factor of 1.14
	maxRouteLen = 256
)

// binWidth is the logarithm of the ratio of neighbouring bin edges.
var binWidth = math.Log(1.5) / slowBins

// side is the role of a version in a move: the old or the new one.
type side int

const (
	oldSide side = iota
	newSide
	sides
)

// histogram counts latencies in logarithmic bins.
type histogram [bins]uint32

func (s *histogram) add(d time.Duration) {
	b := int(math.Log(float64(d)/float64(lowestBin)) / binWidth)
	s[min(max(b, 0), bins-1)]++
}

// cell holds the cumulative counters of a version on a route in one load class.
type cell struct {
	n, failed              uint32
	answered, unsuccessful uint32 // of instances that count them; n includes the attempts of earlier releases
	firstToken, perToken   histogram
}

// count returns how many of the attempts that could show a counted event did so.
func (c *cell) count(e event) (k, n float64) {
	if e == unsuccessful {
		return float64(c.unsuccessful), float64(c.answered)
	}
	return float64(c.failed), float64(c.n)
}

// counters are the cumulative counters of a route by version and load class.
type counters [sides][strata]cell

func stratum(load int) int {
	switch {
	case load <= lightLoad:
		return 0
	case load <= mediumLoad:
		return 1
	}
	return 2
}

func (c *counters) add(s side, r Result) {
	x := &c[s][stratum(r.Load)]
	x.n++
	if r.Outcome == Failed {
		x.failed++
		return
	}
	x.answered++
	if r.Outcome == Unsuccessful {
		x.unsuccessful++ // its latency is not that of the work
		return
	}
	if r.FirstToken > 0 {
		x.firstToken.add(r.FirstToken)
	}
	if r.PerToken > 0 {
		x.perToken.add(r.PerToken)
	}
}

// observed returns the number of counted attempts on a version over all load classes.
func (c *counters) observed(s side) int {
	n := 0
	for i := range c[s] {
		n += int(c[s][i].n)
	}
	return n
}

func (c *counters) attempts() int { return c.observed(oldSide) + c.observed(newSide) }

// apply sets each counter of c to the result of f for it and the corresponding counter of o.
func (c *counters) apply(o *counters, f func(a, b uint32) uint32) {
	for s := range c {
		for i := range c[s] {
			c[s][i].apply(&o[s][i], f)
		}
	}
}

func (c *cell) apply(o *cell, f func(a, b uint32) uint32) {
	c.n, c.failed = f(c.n, o.n), f(c.failed, o.failed)
	c.answered, c.unsuccessful = f(c.answered, o.answered), f(c.unsuccessful, o.unsuccessful)
	for b := range bins {
		c.firstToken[b] = f(c.firstToken[b], o.firstToken[b])
		c.perToken[b] = f(c.perToken[b], o.perToken[b])
	}
}

func sum(a, b uint32) uint32 { return a + b }
func sub(a, b uint32) uint32 { return a - min(a, b) }

// routeFact publishes an instance's counters of a route.
type routeFact struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Move    string
	Epoch   uint64 // of the origin, whose counters restart at zero with a new epoch
	Route   string
	Cells   []cellFact // only those with attempts
}

type cellFact struct {
	_       struct{} `cbor:",toarray"`
	Side    uint8
	Stratum uint8
	N       uint32
	Failed  uint32
	First   histogramFact
	PerTok  histogramFact
}

// histogramFact holds the bins of a histogram from the first to the last that isn't zero.
type histogramFact struct {
	_      struct{} `cbor:",toarray"`
	Start  uint8
	Counts []byte // unsigned varints
}

// answersFact publishes an instance's counters of answers on a route. It is a fact of its own because earlier releases
// reject a cellFact with more fields; they ignore facts of a kind that they don't know.
type answersFact struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Move    string
	Epoch   uint64 // see routeFact
	Route   string
	Cells   []answersCell // only those with answers
}

type answersCell struct {
	_            struct{} `cbor:",toarray"`
	Side         uint8
	Stratum      uint8
	Answered     uint32
	Unsuccessful uint32
}

func (a *answersCell) isValid() bool {
	return a.Side < uint8(sides) && a.Stratum < strata && a.Unsuccessful <= a.Answered
}

func encodeAnswers(c *counters) []answersCell {
	var out []answersCell
	for s := range c {
		for i := range c[s] {
			if x := &c[s][i]; x.answered > 0 {
				out = append(out, answersCell{Side: uint8(s), Stratum: uint8(i), Answered: x.answered, Unsuccessful: x.unsuccessful})
			}
		}
	}
	return out
}

func encodeCells(c *counters) []cellFact {
	var out []cellFact
	for s := range c {
		for i := range c[s] {
			x := &c[s][i]
			if x.n == 0 {
				continue
			}
			out = append(out, cellFact{Side: uint8(s), Stratum: uint8(i), N: x.n, Failed: x.failed,
				First: encodeHistogram(&x.firstToken), PerTok: encodeHistogram(&x.perToken)})
		}
	}
	return out
}

func encodeHistogram(s *histogram) histogramFact {
	lo, hi := bins, 0
	for b, n := range s {
		if n > 0 {
			lo, hi = min(lo, b), b+1
		}
	}
	if lo >= hi {
		return histogramFact{}
	}
	f := histogramFact{Start: uint8(lo)}
	for _, n := range s[lo:hi] {
		f.Counts = binary.AppendUvarint(f.Counts, uint64(n))
	}
	return f
}

// decodeInto overwrites the bins of s that the fact holds, and reports whether the fact is valid.
func (f *histogramFact) decodeInto(s *histogram) bool {
	raw := f.Counts
	for b := int(f.Start); len(raw) > 0; b++ {
		n, size := binary.Uvarint(raw)
		if size <= 0 || b >= bins || n > math.MaxUint32 {
			return false
		}
		s[b] = uint32(n)
		raw = raw[size:]
	}
	return true
}

// cell decodes the counters of a fact. It returns an error when a value is out of range.
func (f *cellFact) cell() (*cell, error) {
	if f.Side >= uint8(sides) || f.Stratum >= strata || f.Failed > f.N {
		return nil, oops.Errorf("move: evidence cell of version %d, load class %d is out of range", f.Side, f.Stratum)
	}
	c := &cell{n: f.N, failed: f.Failed}
	if !f.First.decodeInto(&c.firstToken) || !f.PerTok.decodeInto(&c.perToken) {
		return nil, oops.Errorf("move: evidence cell has a latency bin out of range")
	}
	return c, nil
}

// routeEvidence is the evidence of a route: the counters of this instance, those of other origins, and their sum.
type routeEvidence struct {
	name    string
	own     counters
	dirty   bool // own has changed since it was published
	origins map[string]*[sides][strata]cellFact
	answers map[string]*[sides][strata]answersCell // by origin

	total          counters
	beforeAllOnNew *counters // total at the time when all traffic went to the new version
	scales         [scales]batchSeries
}

// batchSeries accumulates the evidence of a route in batches of one size.
type batchSeries struct {
	tallied   counters // attempts that are in the tally
	closedAt  time.Time
	tally     tally
	baselines []tally                  // tally at the start of each open window
	exact     [countedEvents]exactTest // those of the largest batches are used, which compare the most attempts
}

func newRouteEvidence(name string) *routeEvidence {
	return &routeEvidence{name: name, origins: map[string]*[sides][strata]cellFact{}, answers: map[string]*[sides][strata]answersCell{}}
}

func (r *routeEvidence) observe(s side, res Result) {
	r.own.add(s, res)
	r.total.add(s, res)
	r.dirty = true
}

// merge updates the counters of an origin to the maximum of those received, so that late and repeated facts change
// nothing. All counters of a cell only grow, so those with more attempts are the maximum. It returns an error and
// changes nothing when a cell is out of range.
func (r *routeEvidence) merge(origin string, cells []cellFact) error {
	latest := r.origins[origin]
	if latest == nil {
		latest = new([sides][strata]cellFact)
	}
	var deltas [sides * strata]*cell
	for i := range cells {
		f := &cells[i]
		if i < len(deltas) && f.Side < uint8(sides) && f.Stratum < strata && f.N <= latest[f.Side][f.Stratum].N {
			continue
		}
		delta, err := f.cell()
		if err != nil {
			return err
		}
		if i >= len(deltas) {
			return oops.Errorf("move: evidence has %d cells, at most %d", len(cells), len(deltas))
		}
		deltas[i] = delta
	}
	for i, delta := range deltas {
		if delta == nil {
			continue
		}
		f := &cells[i]
		k := &latest[f.Side][f.Stratum]
		if before, err := k.cell(); err == nil && k.N > 0 {
			delta.apply(before, sub)
		}
		r.total[f.Side][f.Stratum].apply(delta, sum)
		*k = *f
	}
	r.origins[origin] = latest
	return nil
}

// mergeAnswers is merge for the counters of answers.
func (r *routeEvidence) mergeAnswers(origin string, cells []answersCell) error {
	for i := range cells {
		if !cells[i].isValid() {
			return oops.Errorf("move: answers of version %d, load class %d are out of range", cells[i].Side, cells[i].Stratum)
		}
	}
	latest := r.answers[origin]
	if latest == nil {
		latest = new([sides][strata]answersCell)
		r.answers[origin] = latest
	}
	for _, a := range cells {
		k, total := &latest[a.Side][a.Stratum], &r.total[a.Side][a.Stratum]
		if a.Answered <= k.Answered {
			continue
		}
		total.answered += a.Answered - k.Answered
		total.unsuccessful += sub(a.Unsuccessful, k.Unsuccessful)
		*k = a
	}
	return nil
}
