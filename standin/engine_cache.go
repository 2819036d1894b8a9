package standin

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoillug/trefoillug/engine"
)

// cacheBlock is the number of tokens of a block of the prefix cache.
const cacheBlock = 16

// eventGap leaves out every so many cache events, as real engines lose some.
const eventGap = 10

// keptCacheEvents bounds the events that can be read.
const keptCacheEvents = 1024

// prefixCache holds blocks of tokens by the hash of the prefix that ends with them; the oldest are evicted first.
type prefixCache struct {
	capacity int // tokens
	lag      time.Duration
	blocks   map[uint64]struct{}
	order    []uint64
	events   []lateEvent
	lastID   uint64
}

type lateEvent struct {
	event engine.CacheEvent
	at    time.Time
}

func prefixHashes(tokens []string) []uint64 {
	var d xxhash.Digest
	d.Reset()
	hashes := make([]uint64, 0, len(tokens)/cacheBlock)
	for i := 0; i+cacheBlock <= len(tokens); i += cacheBlock {
		// Digest writes never fail.
		_, _ = d.WriteString(strings.Join(tokens[i:i+cacheBlock], " "))
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// match returns the number of leading tokens that are cached.
func (c *prefixCache) match(tokens []string) int {
	n := 0
	for _, h := range prefixHashes(tokens) {
		if _, ok := c.blocks[h]; !ok {
			break
		}
		n += cacheBlock
	}
	return n
}

func (c *prefixCache) store(now time.Time, tokens []string) {
	if c.blocks == nil {
		c.blocks = map[uint64]struct{}{}
	}
	for _, h := range prefixHashes(tokens) {
		if _, ok := c.blocks[h]; ok {
			continue
		}
		c.blocks[h] = struct{}{}
		c.order = append(c.order, h)
		c.note(now, engine.CacheEvent{Prefix: h, Stored: true})
	}
	for len(c.order)*cacheBlock > c.capacity {
		delete(c.blocks, c.order[0])
		c.note(now, engine.CacheEvent{Prefix: c.order[0]})
		c.order = c.order[1:]
	}
}

func (c *prefixCache) note(now time.Time, event engine.CacheEvent) {
	c.lastID++
	event.ID = c.lastID
	if c.lastID%eventGap == 0 {
		return
	}
	c.events = append(c.events, lateEvent{event: event, at: now.Add(c.lag)})
	if len(c.events) > keptCacheEvents {
		c.events = c.events[1:]
	}
}

// after returns the events after an ID whose delay has passed.
func (c *prefixCache) after(now time.Time, id uint64) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.event.ID > id && !now.Before(e.at) {
			events = append(events, e.event)
		}
	}
	return events
}
