// Package placement decides which endpoint gets a request. It is pure: what is known of the endpoints comes in as
// candidates, and time as an argument.
package placement

import (
	"time"

	"github.com/trefoillug/trefoillug/rendezvous"
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is what the choice depends on.
type Request struct {
	Parts []Part // in the order of the prompt; the last one belongs to this request or its session
	Input int    // prompt tokens; 0 on plain services
}

// Candidate is an endpoint as this instance sees it.
type Candidate struct {
	ID       string
	SameZone bool
	Running  float64 // requests at the endpoint, by all instances
	Prefill  float64 // prompt tokens at the endpoint that wait for their first event
	Slots    float64 // requests that run at once; 0: unknown
	Cached   float64 // tokens of this request's prompt that are expected in the cache
	Failures float64 // rate of failed answers
	Avoided  bool    // connections to it failed just before
}

const (
	// PrefillRate is the speed of an engine in prompt tokens per millisecond, from the sheets of both deployments.
	PrefillRate = 115.0
	// runningDelay is the delay in ms of a first event by each running generation: a share of a decode step of 6 ms.
	runningDelay = 0.6
	// plainWork is the usual work of a plain request in ms, from the sheets of both deployments.
	plainWork = 60.0
	// zoneDelay is the two-way delay between zones in ms, 2.8 by the sheets, and about as much for the price of bytes.
	zoneDelay = 5.0
	// failureDelay is what a failed answer costs a caller in ms: about one objective.
	failureDelay = 400.0
	// avoidedDelay puts endpoints that can't be reached behind all others.
	avoidedDelay = 10_000.0
)

// Best returns the index of the candidate with the least expected cost for the caller, and -1 without candidates.
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

// Cost is the expected time in ms until the answer or the first event, with failures as time lost.
func Cost(r Request, c *Candidate) float64 {
	cost := c.Failures * failureDelay
	if r.Input > 0 {
		cost += (c.Prefill+max(0, float64(r.Input)-c.Cached))/PrefillRate + c.Running*runningDelay
		cost += waiting(c) * queueDelay
	} else {
		cost += waiting(c) * plainWork / max(1, c.Slots)
		cost += c.Running // the less loaded one of two that have free slots
	}
	if !c.SameZone {
		cost += zoneDelay
	}
	if c.Avoided {
		cost += avoidedDelay
	}
	return cost
}

// queueDelay is the wait in ms for each request ahead in the queue of a full engine: a generation of half a second
// over 64 slots.
const queueDelay = 8.0

func waiting(c *Candidate) float64 {
	if c.Slots <= 0 {
		return 0
	}
	return max(0, c.Running+1-c.Slots)
}

// homeShare is the expected cached part of a prompt's shared tokens at its first home and at its second one. All
// instances send prompts with the same shared part to the same homes.
var homeShare = [...]float64{0.9, 0.25}

// Homes returns the endpoints that should hold the shared parts of a prompt, the first one most likely.
func Homes(r Request, ids []string) []string {
	if len(r.Parts) < 2 {
		return nil
	}
	return rendezvous.Top(r.Parts[len(r.Parts)-2].ID, ids, len(homeShare))
}

// Expected returns the tokens of a request that are expected in an endpoint's cache: what this instance knows of it,
// or what its place among the homes suggests.
func Expected(r Request, home int, known float64) float64 {
	if home < 0 || home >= len(homeShare) {
		return known
	}
	shared := 0
	for _, p := range r.Parts[:len(r.Parts)-1] {
		shared += p.Tokens
	}
	return max(known, homeShare[home]*float64(shared))
}

// Cache is what this instance knows of the prompt parts in the cache of one endpoint. It isn't safe for concurrent use.
type Cache struct {
	parts map[string]time.Time // when a request with the part was last sent
}

const (
	// cacheAge is how long a part is believed to stay; engines keep hundreds of thousands of tokens.
	cacheAge = 30 * time.Second
	// maxParts bounds the memory for one endpoint.
	maxParts = 4096
)

// Sent takes note of a request that was sent to the endpoint.
func (c *Cache) Sent(r Request, now time.Time) {
	if c.parts == nil {
		c.parts = map[string]time.Time{}
	}
	if len(c.parts)+len(r.Parts) > maxParts {
		c.expire(now)
	}
	for _, p := range r.Parts {
		c.parts[p.ID] = now
	}
}

func (c *Cache) expire(now time.Time) {
	for id, at := range c.parts {
		if now.Sub(at) > cacheAge/2 {
			delete(c.parts, id)
		}
	}
	if len(c.parts) > maxParts/2 {
		clear(c.parts)
	}
}

// Known returns the tokens of a request that the endpoint has read for earlier ones. A part counts only when all
// parts before it do.
func (c *Cache) Known(r Request, now time.Time) float64 {
	known := 0
	for _, p := range r.Parts {
		at, ok := c.parts[p.ID]
		if !ok || now.Sub(at) > cacheAge {
			break
		}
		known += p.Tokens
	}
	return float64(known)
}
