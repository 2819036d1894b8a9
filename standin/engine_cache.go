package standin

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoillug/trefoillug/engine"
)

// cacheBlockTokens is the number of tokens of a block of the prefix cache.
const cacheBlockTokens = 16

// lostEventInterval is the number of cache events of which one is lost, as real engines lose some.
const lostEventInterval = 10

// maxCacheEvents bounds the number of events kept for readers.
const maxCacheEvents = 1024

// prefixCache holds blocks of tokens. Each block is identified by the hash of the prefix that ends with it. The oldest
// blocks are evicted first.
type prefixCache struct {
	capacity int           // tokens
	lag      time.Duration // delay of events
	blocks   map[uint64]struct{}
	order    []uint64 // keys of blocks, oldest first
	events   []delayedEvent
	lastID   uint64
}

// delayedEvent is a cache event that readers see from visibleAt on.
type delayedEvent struct {
	event     engine.CacheEvent
	visibleAt time.Time
}

// prefixHashes returns the hash of each prefix that consists of whole blocks.
func prefixHashes(tokens []string) []uint64 {
	var d xxhash.Digest
	d.Reset()
	hashes := make([]uint64, 0, len(tokens)/cacheBlockTokens)
	for i := 0; i+cacheBlockTokens <= len(tokens); i += cacheBlockTokens {
		// Digest writes never fail.
		_, _ = d.WriteString(strings.Join(tokens[i:i+cacheBlockTokens], " "))
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// match returns the number of leading tokens whose blocks are all cached.
func (c *prefixCache) match(tokens []string) int {
	n := 0
	for _, h := range prefixHashes(tokens) {
		if _, ok := c.blocks[h]; !ok {
			break
		}
		n += cacheBlockTokens
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
		c.recordEvent(now, engine.CacheEvent{Prefix: h, Stored: true})
	}
	for len(c.order)*cacheBlockTokens > c.capacity {
		delete(c.blocks, c.order[0])
		c.recordEvent(now, engine.CacheEvent{Prefix: c.order[0]})
		c.order = c.order[1:]
	}
}

func (c *prefixCache) recordEvent(now time.Time, event engine.CacheEvent) {
	c.lastID++
	event.ID = c.lastID
	if c.lastID%lostEventInterval == 0 {
		return
	}
	c.events = append(c.events, delayedEvent{event: event, visibleAt: now.Add(c.lag)})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// after returns the visible events with an ID above id.
func (c *prefixCache) after(now time.Time, id uint64) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.event.ID > id && !now.Before(e.visibleAt) {
			events = append(events, e.event)
		}
	}
	return events
}
