package move

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/samber/oops"
)

const (
	strata     = 3 // load classes: an endpoint with up to 1, up to 5 and more attempts in flight
	lightLoad  = 1
	mediumLoad = 5

	bins        = 84 // latency classes from 0.5 ms to about 40 s
	lowestBin   = 500 * time.Microsecond
	slowBins    = 3 // classes in a factor of 1.5
	marginBins  = 1 // classes that a good version may be slower: a factor of 1.14
	maxRouteLen = 256
)

// binWidth is the logarithm of the ratio of neighbouring latency classes.
var binWidth = math.Log(1.5) / slowBins

// side is a version's role in a move.
type side int

const (
	oldSide side = iota
	newSide
	sides
)

// sketch counts latencies in logarithmic classes.
type sketch [bins]uint32

func (s *sketch) add(d time.Duration) {
	b := int(math.Log(float64(d)/float64(lowestBin)) / binWidth)
	s[min(max(b, 0), bins-1)]++
}

// cell holds the cumulative counters of a version on a route at one load class.
type cell struct {
	n, failed     uint32
	first, perTok sketch
}

// counters are the cumulative counters of a route.
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
	if r.FirstToken > 0 {
		x.first.add(r.FirstToken)
	}
	if r.PerToken > 0 {
		x.perTok.add(r.PerToken)
	}
}

// observed is the number of counted attempts of a version over all load classes.
func (c *counters) observed(s side) int {
	n := 0
	for i := range c[s] {
		n += int(c[s][i].n)
	}
	return n
}

func (c *counters) attempts() int { return c.observed(oldSide) + c.observed(newSide) }

// apply calls f on each pair of corresponding counters.
func (c *counters) apply(o *counters, f func(a, b uint32) uint32) {
	for s := range c {
		for i := range c[s] {
			c[s][i].apply(&o[s][i], f)
		}
	}
}

func (c *cell) apply(o *cell, f func(a, b uint32) uint32) {
	c.n, c.failed = f(c.n, o.n), f(c.failed, o.failed)
	for b := range bins {
		c.first[b] = f(c.first[b], o.first[b])
		c.perTok[b] = f(c.perTok[b], o.perTok[b])
	}
}

func sum(a, b uint32) uint32 { return a + b }
func sub(a, b uint32) uint32 { return a - min(a, b) }

// routeFact is the published form of an instance's counters of a route.
type routeFact struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Move    string
	Epoch   uint64 // of the origin; its counters restart with a new epoch
	Route   string
	Cells   []cellFact // only those with attempts
}

type cellFact struct {
	_       struct{} `cbor:",toarray"`
	Side    uint8
	Stratum uint8
	N       uint32
	Failed  uint32
	First   sketchFact
	PerTok  sketchFact
}

// sketchFact holds the classes from the first to the last that isn't zero.
type sketchFact struct {
	_      struct{} `cbor:",toarray"`
	Start  uint8
	Counts []byte // unsigned varints
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
				First: encodeSketch(&x.first), PerTok: encodeSketch(&x.perTok)})
		}
	}
	return out
}

func encodeSketch(s *sketch) sketchFact {
	lo, hi := bins, 0
	for b, n := range s {
		if n > 0 {
			lo, hi = min(lo, b), b+1
		}
	}
	if lo >= hi {
		return sketchFact{}
	}
	f := sketchFact{Start: uint8(lo)}
	for _, n := range s[lo:hi] {
		f.Counts = binary.AppendUvarint(f.Counts, uint64(n))
	}
	return f
}

// into overwrites the classes of s that the fact holds.
func (f *sketchFact) into(s *sketch) bool {
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

// cell decodes the counters of a fact.
func (f *cellFact) cell() (*cell, error) {
	if f.Side >= uint8(sides) || f.Stratum >= strata || f.Failed > f.N {
		return nil, oops.Errorf("move: evidence cell of version %d, load class %d is out of range", f.Side, f.Stratum)
	}
	c := &cell{n: f.N, failed: f.Failed}
	if !f.First.into(&c.first) || !f.PerTok.into(&c.perTok) {
		return nil, oops.Errorf("move: evidence cell has a latency class out of range")
	}
	return c, nil
}

// routeEvidence is the evidence of a route: own counters, those of other origins, and their sum.
type routeEvidence struct {
	name    string
	own     counters
	dirty   bool // own counters changed since they were published
	origins map[string]*[sides][strata]cellFact

	total  counters
	past   *counters // total when all traffic had gone to the new version
	scales [scales]scale
}

// scale is the evidence of a route in batches of a size.
type scale struct {
	seen      counters // part of the total that is in the tally
	batchAt   time.Time
	tally     tally
	baselines []tally // at the last window boundaries
}

func newRouteEvidence(name string) *routeEvidence {
	return &routeEvidence{name: name, origins: map[string]*[sides][strata]cellFact{}}
}

func (r *routeEvidence) observe(s side, res Result) {
	r.own.add(s, res)
	r.total.add(s, res)
	r.dirty = true
}

// merge takes over an origin's counters by maximum, so that late and repeated facts change nothing. The counters of a
// cell grow together, so those with more attempts are the maximum.
func (r *routeEvidence) merge(origin string, cells []cellFact) error {
	known := r.origins[origin]
	if known == nil {
		known = new([sides][strata]cellFact)
	}
	var gains [sides * strata]*cell
	for i := range cells {
		f := &cells[i]
		if i < len(gains) && f.Side < uint8(sides) && f.Stratum < strata && f.N <= known[f.Side][f.Stratum].N {
			continue
		}
		gain, err := f.cell()
		if err != nil {
			return err
		}
		if i >= len(gains) {
			return oops.Errorf("move: evidence has %d cells, at most %d", len(cells), len(gains))
		}
		gains[i] = gain
	}
	for i, gain := range gains {
		if gain == nil {
			continue
		}
		f := &cells[i]
		k := &known[f.Side][f.Stratum]
		if before, err := k.cell(); err == nil && k.N > 0 {
			gain.apply(before, sub)
		}
		r.total[f.Side][f.Stratum].apply(gain, sum)
		*k = *f
	}
	r.origins[origin] = known
	return nil
}
