package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/table"
)

const (
	scanAll     = 32  // up to this many endpoints of a version, each is a candidate
	ringPicks   = 6   // candidates from the ring
	randomPicks = 4   // candidates drawn at random
	loadBound   = 2.0 // a prefix hit counts only up to this multiple of the mean load
	loadSlack   = 6.0 // attempts above the bound that always count
)

// Prefix is a prompt prefix that an endpoint may have in its cache.
type Prefix struct {
	Hash   uint64
	Tokens int // prompt tokens that a hit saves
}

// Request describes an attempt to be placed.
type Request struct {
	// Version pins the version; when empty, Draw selects it by the shares.
	Version string
	// Draw is in [0, 1) and the same for all attempts of a request, so that a retry stays on its version.
	Draw float64
	// Prefixes are nested, the shortest first. The first one selects the ring position.
	Prefixes       []Prefix
	PromptTokens   int // estimate
	ExpectedOutput int // tokens
	Priority       config.Priority
	Deadline       time.Time // zero: none
	Exclude        []string  // endpoint IDs that this request must not use again
	Isolate        bool      // only an endpoint that runs nothing else
}

// Choose returns the endpoint with the least expected finishing time for the request, and false when no endpoint may
// take it now. Leaving and suspect endpoints and those at their concurrency limit are never chosen. When the version
// that the draw selects has no usable endpoint, the other versions with a share are tried. It doesn't allocate.
func Choose(svc *table.Service, req Request, now time.Time, rng *rand.Rand) (*table.Endpoint, bool) {
	c := chooser{svc: svc, req: req, now: now, rng: rng}
	first := req.Version
	if first == "" {
		first = VersionFor(svc, req.Draw)
	}
	if e := c.inVersion(first); e != nil || req.Version != "" {
		return e, e != nil
	}
	for i := range svc.Shares {
		s := &svc.Shares[i]
		if s.Part <= 0 || s.Version == first {
			continue
		}
		if e := c.inVersion(s.Version); e != nil {
			return e, true
		}
	}
	return nil, false
}

// VersionFor returns the version that the shares of a service select for a draw in [0, 1). Without shares it is the
// version that the service file names.
func VersionFor(svc *table.Service, draw float64) string {
	last := svc.Config.Serve
	for i := range svc.Shares {
		s := &svc.Shares[i]
		if s.Part <= 0 {
			continue
		}
		if draw < s.Part {
			return s.Version
		}
		draw -= s.Part
		last = s.Version
	}
	return last
}

// chooser is the state of one decision; it stays on the stack.
type chooser struct {
	svc   *table.Service
	index *table.VersionIndex
	req   Request
	now   time.Time
	rng   *rand.Rand

	ring  [ringPicks]int32 // distinct endpoints in ring order from the prefix
	rings int

	best      *table.Endpoint
	bestScore float64
}

func (c *chooser) inVersion(version string) *table.Endpoint {
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
	if len(members) <= scanAll {
		c.considerAll()
		return c.best
	}
	for _, m := range c.ring[:c.rings] {
		c.consider(m)
	}
	for range randomPicks + ringPicks - c.rings {
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

// firstUsable scans from a random position when no candidate is usable, which happens only near saturation.
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

func (c *chooser) walkRing() {
	c.rings = 0
	ring := c.index.Ring
	if len(c.req.Prefixes) == 0 || len(ring) == 0 {
		return
	}
	want := min(ringPicks, len(c.index.Members))
	at := ringStart(ring, c.req.Prefixes[0].Hash)
	for range ring {
		m := int32(uint32(ring[at]))
		if !slices.Contains(c.ring[:c.rings], m) {
			c.ring[c.rings] = m
			c.rings++
		}
		if c.rings == want {
			return
		}
		if at++; at == len(ring) {
			at = 0
		}
	}
}

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
	if c.req.Isolate && (own > 0 || othersAt(&e.Load) > 0) {
		return false
	}
	return !slices.Contains(c.req.Exclude, e.ID)
}

// limit is the concurrency limit of e; 0 means none.
func (c *chooser) limit(e *table.Endpoint) float64 {
	if l := e.Live.Limit.Load(); l > 0 {
		return float64(l)
	}
	return float64(c.svc.Config.Concurrency)
}

// expectedHit is the expected number of cached prompt tokens at e. Above the load bound a hit counts nothing, so
// that a popular prefix spreads to further endpoints.
func (c *chooser) expectedHit(e *table.Endpoint, m int32, load float64) float64 {
	if len(c.req.Prefixes) == 0 {
		return 0
	}
	if load > loadBound*c.index.MeanLoad+loadSlack {
		return 0
	}
	hit := 0.0
	if i := slices.Index(c.ring[:c.rings], m); i >= 0 && i < len(ringHit) {
		hit = ringHit[i] * float64(c.req.Prefixes[0].Tokens)
	}
	for i := range c.req.Prefixes {
		p := &c.req.Prefixes[i]
		if known := knownHit * float64(p.Tokens); known > hit && e.Live.Prefixes.Has(p.Hash, c.now, prefixAge) {
			hit = known
		}
	}
	return hit
}
