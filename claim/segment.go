package claim

import (
	"container/list"
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/trefoillug/trefoillug/objstore"
)

type segmentID struct {
	slot int
	seq  uint64
}

func (id segmentID) key() string { return fmt.Sprintf("claim/%d/%d", id.slot, id.seq) }

// segmentIndex holds the leading 8 bytes of the keys of a sealed segment, sorted.
type segmentIndex struct {
	id     segmentID
	hashes []uint64
}

// segmentOverhead is the memory of a cached index beside its hashes, in bytes.
const segmentOverhead = 160

func (x *segmentIndex) bytes() int { return segmentOverhead + 8*len(x.hashes) }

// segmentCache keeps indexes of sealed segments, which never change, up to a bound of bytes; the least recently used
// are evicted. Entries are read from the store again on a hit, which only a repeated key causes.
type segmentCache struct {
	store objstore.Store
	limit int

	mu    sync.Mutex
	used  int
	order *list.List // of *segmentIndex, most recently used first
	items map[segmentID]*list.Element
}

func newSegmentCache(store objstore.Store, limit int) *segmentCache {
	return &segmentCache{store: store, limit: limit, order: list.New(), items: map[segmentID]*list.Element{}}
}

// lookup returns the entry of key in a sealed segment.
func (c *segmentCache) lookup(ctx context.Context, slot int, seq uint64, key Digest) (entry, bool, error) {
	id := segmentID{slot, seq}
	index, cached := c.get(id)
	if cached && !index.mayHold(key) {
		return entry{}, false, nil
	}
	entries, err := c.read(ctx, id)
	if err != nil {
		return entry{}, false, err
	}
	if !cached {
		c.add(id, entries)
	}
	i := slices.IndexFunc(entries, func(e entry) bool { return e.Key == key })
	if i < 0 {
		return entry{}, false, nil
	}
	return entries[i], true, nil
}

func (c *segmentCache) read(ctx context.Context, id segmentID) ([]entry, error) {
	obj, err := c.store.Get(ctx, id.key())
	if err != nil {
		return nil, fmt.Errorf("read sealed segment %s: %w", id.key(), err)
	}
	var entries []entry
	if err := cbor.Unmarshal(obj.Value, &entries); err != nil {
		return nil, fmt.Errorf("decode sealed segment %s: %w", id.key(), err)
	}
	return entries, nil
}

func (c *segmentCache) get(id segmentID) (*segmentIndex, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	el, ok := c.items[id]
	if !ok {
		return nil, false
	}
	c.order.MoveToFront(el)
	return el.Value.(*segmentIndex), true
}

func (c *segmentCache) add(id segmentID, entries []entry) {
	x := &segmentIndex{id: id, hashes: make([]uint64, 0, len(entries))}
	for i := range entries {
		x.hashes = append(x.hashes, prefix(entries[i].Key))
	}
	slices.Sort(x.hashes)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.items[id]; ok {
		return
	}
	c.items[id] = c.order.PushFront(x)
	c.used += x.bytes()
	for c.used > c.limit {
		c.evict(c.order.Back())
	}
}

func (c *segmentCache) evict(el *list.Element) {
	x := el.Value.(*segmentIndex)
	c.order.Remove(el)
	delete(c.items, x.id)
	c.used -= x.bytes()
}

func (x *segmentIndex) mayHold(key Digest) bool {
	_, ok := slices.BinarySearch(x.hashes, prefix(key))
	return ok
}

func prefix(key Digest) uint64 { return binary.BigEndian.Uint64(key[:8]) }
