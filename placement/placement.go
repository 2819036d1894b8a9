// Package placement decides which endpoint gets a request. It does no I/O and reads no clock: the state of the endpoints
// is passed in as candidates, and the time as an argument.
package placement

import (
	"math"
	"time"

	"github.com/trefoillug/trefoillug/rendezvous"
	"github.com/trefoillug/trefoillug/speed"
)

// Block is a block of a prompt that other requests may share.
type Block struct {
	ID     string // the same in all prompts with this block
	Tokens int
}

// Request holds the properties of a request that the choice of an endpoint depends on.
type Request struct {
	ID     string  // distinguishes requests where a choice is spread over equal endpoints
	Blocks []Block // in the order of the prompt; the last one is specific to this request or its session
	Input  int     // prompt tokens; 0 on plain services
	Speed  speed.Speed
}

// Candidate is an endpoint with the state that this instance has recorded for it.
type Candidate struct {
	ID       string
	SameZone bool
	Running  float64 // requests at the endpoint, from all instances
	Prefill  float64 // prompt tokens of this instance's requests at the endpoint that wait for their first event
	Slots    float64 // requests that run at once; 0: unknown
	Cached   float64 // tokens of this request's prompt that are expected in the cache
	Failures float64 // share of failed answers, 0 to 1
	Avoided  bool    // a connection to it failed recently
	// Uncertainty is the standard deviation of Running, whose part of other instances is an estimate.
	Uncertainty float64
	// Silence is how long requests at the endpoint have waited for a first event while none arrived.
	Silence time.Duration
	Factor  float64 // by which work takes longer at it than Request.Speed says; 0: 1
}

const (
	// runningShare is the share of a decode step by which each running generation delays a first event.
	runningShare = 0.15
	// zoneDelay is the round-trip time between zones in ms, 2.8 by the data sheets, and about as much again for the price
	// of traffic between zones.
	zoneDelay = 5.0
	// failureDelay is the time in ms that a failed answer costs a caller: about one objective.
	failureDelay = 400.0
	// avoidedDelay in ms ranks endpoints to which connections failed behind all others.
	avoidedDelay = 10_000.0
)

// Best returns the index of the candidate with the lowest Cost, and -1 without candidates.
func Best(r Request, candidates []Candidate) int {
	best, bestCost := -1, 0.0
	for i := range candidates {
		cost := Cost(r, &candidates[i])
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Cost returns the expected time in ms until the answer or the first event. Failures, traffic between zones and avoided
// endpoints are counted as additional time.
func Cost(r Request, c *Candidate) float64 {
	cost := c.Failures * failureDelay
	scaled := r.Speed.Scaled(c.Factor)
	if r.Input > 0 {
		cost += milliseconds(scaled.Base - r.Speed.Base)
		cost += milliseconds(scaled.PrefillTime(c.Prefill + max(0, float64(r.Input)-c.Cached)))
		// A new request is expected to wait for as long again as the others have waited beyond the time of their prompts.
		cost += max(0, milliseconds(c.Silence-scaled.Base-scaled.PrefillTime(c.Prefill)))
		cost += c.Running * runningShare * milliseconds(scaled.Step)
		// A place in a full engine becomes free each time that one of its generations ends.
		cost += queueLength(c) * milliseconds(scaled.Generation) / max(1, c.Slots)
	} else {
		cost += milliseconds(scaled.Answer - r.Speed.Answer)
		cost += queueLength(c) * milliseconds(scaled.Answer) / max(1, c.Slots)
		cost += c.Running // prefers the less loaded of two endpoints with free slots
	}
	if !c.SameZone {
		cost += zoneDelay
	}
	if c.Avoided {
		cost += avoidedDelay
	}
	return cost
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// queueLength returns the number of requests that are expected to wait at the endpoint, with this one.
func queueLength(c *Candidate) float64 {
	if c.Slots <= 0 {
		return 0
	}
	excess := c.Running + 1 - c.Slots
	if c.Uncertainty <= 0 {
		return max(0, excess)
	}
	// The mean of the positive part of a normal distribution.
	z := excess / c.Uncertainty
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return excess*(1+math.Erf(z/math.Sqrt2))/2 + c.Uncertainty*density
}

// cachedShare is the share of a prompt's shared tokens that is expected in the cache of its owner and of its secondary
// owner. All instances pick the same owners for prompts with the same shared blocks.
var cachedShare = [...]float64{0.9, 0.25}

// Owners returns the owner and the secondary owner of a prompt: the endpoints whose caches should hold its shared
// blocks. ids are the candidates. The result is empty for a prompt without shared blocks.
func Owners(r Request, ids []string) []string {
	if len(r.Blocks) < 2 {
		return nil
	}
	return rendezvous.Top(r.Blocks[len(r.Blocks)-2].ID, ids, len(cachedShare))
}

// ExpectedCached returns the number of tokens of a request that are expected in an endpoint's cache. It is the larger
// of two numbers: known, which is the result of Cache.CachedTokens, and the share of the shared tokens that cachedShare
// gives for the endpoint. ownerRank is the index of the endpoint in the result of Owners, -1 if it is not an owner.
func ExpectedCached(r Request, ownerRank int, known float64) float64 {
	if ownerRank < 0 || ownerRank >= len(cachedShare) {
		return known
	}
	shared := 0
	for _, block := range r.Blocks[:len(r.Blocks)-1] {
		shared += block.Tokens
	}
	return max(known, cachedShare[ownerRank]*float64(shared))
}

// Cache records the prompt blocks that should be in the cache of one endpoint, from the requests that this instance has
// sent to it. It isn't safe for concurrent use.
type Cache struct {
	lastSent map[string]time.Time // by block ID: when a request with the block was last sent
}

const (
	// cacheTTL is how long a block is assumed to stay in the cache; engines keep hundreds of thousands of tokens.
	cacheTTL = 30 * time.Second
	// maxBlocks bounds the blocks recorded for one endpoint.
	maxBlocks = 4096
)

// RecordSent records that a request was sent to the endpoint.
func (c *Cache) RecordSent(r Request, now time.Time) {
	if c.lastSent == nil {
		c.lastSent = map[string]time.Time{}
	}
	if len(c.lastSent)+len(r.Blocks) > maxBlocks {
		c.expire(now)
	}
	for _, block := range r.Blocks {
		c.lastSent[block.ID] = now
	}
}

func (c *Cache) expire(now time.Time) {
	for id, at := range c.lastSent {
		if now.Sub(at) > cacheTTL/2 {
			delete(c.lastSent, id)
		}
	}
	if len(c.lastSent) > maxBlocks/2 {
		clear(c.lastSent)
	}
}

// CachedTokens returns the number of tokens of a request that the endpoint should have cached from earlier requests. A
// block counts only if all blocks before it do.
func (c *Cache) CachedTokens(r Request, now time.Time) float64 {
	tokens := 0
	for _, block := range r.Blocks {
		at, ok := c.lastSent[block.ID]
		if !ok || now.Sub(at) > cacheTTL {
			break
		}
		tokens += block.Tokens
	}
	return float64(tokens)
}
