package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/table"
)

const (
	fullScanLimit    = 32  // versions with at most this many endpoints are scanned in full
	ringCandidates   = 6   // candidates from the ring
	randomCandidates = 4   // candidates drawn at random
	loadBoundFactor  = 2.0 // a prefix hit counts only up to this multiple of the mean load, plus loadSlack
	loadSlack        = 6.0 // attempts allowed above the multiple
)

// Prefix is a prompt prefix that an endpoint may have in its cache.
type Prefix struct {
	Hash   uint64
	Tokens int // prompt tokens that a hit saves
}

// Request describes an attempt that needs an endpoint.
type Request struct {
	// Version pins the version; when empty, Draw selects it by the shares.
	Version string
	// Draw is in [0, 1) and the same for all attempts of a request, so that a retry stays on its version.
	Draw float64
	// Prefixes are ordered from the shortest, each a prefix of the next. The first one selects the ring position.
	Prefixes             []Prefix
	PromptTokens         int // estimate
	ExpectedOutputTokens int // tokens
	Priority             config.Priority
	Deadline             time.Time // zero: none
	Exclude              []string  // endpoint IDs that this request must not use again
	Isolate              bool      // accept only an endpoint that runs no other attempt
}

// Choose returns the candidate with the lowest score, which is the expected time to finish the request weighted by
// price and reclaim risk, and false when no endpoint is usable. Leaving and suspect endpoints and those at their
// concurrency limit are never chosen. When the version that the draw selects has no usable endpoint, the other versions
// with a share are tried. It doesn't allocate.
func Choose(svc *table.Service, req Request, now time.Time, rng *rand.Rand) (*table.Endpoint, bool) {
	c := chooser{svc: svc, req: req, now: now, rng: rng}
	first := req.Version
	if first == "" {
		first = VersionFor(svc, req.Draw)
	}
	if e := c.bestInVersion(first); e != nil || req.Version != "" {
		return e, e != nil
	}
	for i := range svc.Shares {
		s := &svc.Shares[i]
		if s.Fraction <= 0 || s.Version == first {
			continue
		}
		if e := c.bestInVersion(s.Version); e != nil {
			return e, true
		}
	}
	return nil, false
}

// VersionFor returns the version that the shares of a service select for a draw in [0, 1). Without shares it is the
// version that the service file names.
func VersionFor(svc *table.Service, draw float64) string {
	last := svc.Config.ServingVersion
	for i := range svc.Shares {
		s := &svc.Shares[i]
		if s.Fraction <= 0 {
			continue
		}
		if draw < s.Fraction {
			return s.Version
		}
		draw -= s.Fraction
		last = s.Version
	}
	return last
}

// chooser is the state of one call of Choose. It must not escape to the heap.
type chooser struct {
	svc   *table.Service
	index *table.VersionIndex
	req   Request
	now   time.Time
	rng   *rand.Rand

	ring    [ringCandidates]int32 // distinct endpoints in ring order from the prefix
	ringLen int

	best      *table.Endpoint
	bestScore float64
}

// bestInVersion returns the best usable endpoint of a version, and nil when there is none. In versions with more than
// fullScanLimit endpoints it compares the candidates from the ring and some drawn at random.
func (c *chooser) bestInVersion(version string) *table.Endpoint {
	c.index = nil
	for i := range c.svc.Index {
		if c.svc.Index[i].Version == version {
			c.index = &c.svc.Index[i]
		}
	}
	if c.index == nil || len(c.index.Members) == 0 {
		return nil
	}
	c.best = nil
	c.walkRing()
	members := c.index.Members
	if len(members) <= fullScanLimit {
		c.considerAll()
		return c.best
	}
	for _, m := range c.ring[:c.ringLen] {
		c.consider(m)
	}
	for range randomCandidates + ringCandidates - c.ringLen {
		c.consider(members[c.rng.IntN(len(members))])
	}
	if c.best == nil {
		c.firstUsable()
	}
	return c.best
}

func (c *chooser) considerAll() {
	for _, m := range c.index.Members {
		c.consider(m)
	}
}

// firstUsable scans all members from a random position until one is usable. It is called when no candidate is usable,
// which happens only near saturation.
func (c *chooser) firstUsable() {
	members := c.index.Members
	start := c.rng.IntN(len(members))
	for i := range members {
		c.consider(members[(start+i)%len(members)])
		if c.best != nil {
			return
		}
	}
}

// walkRing collects the first distinct endpoints on the ring from the position of the shortest prefix.
func (c *chooser) walkRing() {
	c.ringLen = 0
	ring := c.index.Ring
	if len(c.req.Prefixes) == 0 || len(ring) == 0 {
		return
	}
	want := min(ringCandidates, len(c.index.Members))
	at := ringStart(ring, c.req.Prefixes[0].Hash)
	for range ring {
		m := int32(uint32(ring[at]))
		if !slices.Contains(c.ring[:c.ringLen], m) {
			c.ring[c.ringLen] = m
			c.ringLen++
		}
		if c.ringLen == want {
			return
		}
		if at++; at == len(ring) {
			at = 0
		}
	}
}

// consider scores an endpoint if it is usable and keeps it if it is the best so far.
func (c *chooser) consider(m int32) {
	e := c.svc.Endpoints[m]
	if !c.usable(e) {
		return
	}
	load := inFlight(e, c.index.MeanOthers, c.now)
	score := c.score(e, load, c.expectedHit(e, m, load))
	if c.best == nil || score < c.bestScore {
		c.best, c.bestScore = e, score
	}
}

func (c *chooser) usable(e *table.Endpoint) bool {
	if e.Condition != table.Ready || e.Live.Isolated.Load() {
		return false
	}
	if !e.LeaveBy.IsZero() && !c.now.Before(e.LeaveBy) {
		return false
	}
	own := e.Live.InFlight.Load()
	if limit := c.limit(e); limit > 0 && float64(own) >= limit {
		return false
	}
	if c.req.Isolate && (own > 0 || otherAttempts(&e.Load) > 0) {
		return false
	}
	return !slices.Contains(c.req.Exclude, e.ID)
}

// limit returns the concurrency limit of e; 0 means none.
func (c *chooser) limit(e *table.Endpoint) float64 {
	if l := e.Live.Limit.Load(); l > 0 {
		return float64(l)
	}
	return float64(c.svc.Config.Concurrency)
}

// expectedHit returns the expected number of cached prompt tokens at e. It is 0 above the load bound, so that a popular
// prefix spreads to further endpoints.
func (c *chooser) expectedHit(e *table.Endpoint, m int32, load float64) float64 {
	if len(c.req.Prefixes) == 0 {
		return 0
	}
	if load > loadBoundFactor*c.index.MeanLoad+loadSlack {
		return 0
	}
	hit := 0.0
	if i := slices.Index(c.ring[:c.ringLen], m); i >= 0 && i < len(ringHitRate) {
		hit = ringHitRate[i] * float64(c.req.Prefixes[0].Tokens)
	}
	for i := range c.req.Prefixes {
		p := &c.req.Prefixes[i]
		if tokens := recordedHitRate * float64(p.Tokens); tokens > hit && e.Live.Prefixes.Has(p.Hash, c.now, maxPrefixAge) {
			hit = tokens
		}
	}
	return hit
}
