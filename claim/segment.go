package claim

import (
	"container/list"
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/trefoillug/trefoillug/objstore"
)

type segmentID struct {
	slot int
	seq  uint64
}

func (id segmentID) key() string { return fmt.Sprintf("claim/%d/%d", id.slot, id.seq) }

// segmentIndex holds the leading 8 bytes of the keys of a sealed segment, sorted. For a segment of at most
// maxCachedEntryBytes it also holds the entries: outcomes arrive soon after their claims were sealed, and merging
// reads all small segments.
type segmentIndex struct {
	id      segmentID
	hashes  []uint64
	entries []entry
	size    int // size of entries in bytes
}

const (
	maxCachedEntryBytes = 32 << 10
	// segmentOverhead is the memory in bytes of a cached index in addition to its hashes and entries.
	segmentOverhead = 160
)

func (x *segmentIndex) bytes() int { return segmentOverhead + 8*len(x.hashes) + x.size }

// segmentCache is an LRU cache of the indexes of sealed segments, which never change, bounded in bytes. When a key's
// hash is in an index, its entry is read from the store unless cached; apart from hash collisions, only repeated keys
// cause such reads.
type segmentCache struct {
	store objstore.Store
	limit int

	mu    sync.Mutex
	used  int
	order *list.List // *segmentIndex values, most recently used first
	items map[segmentID]*list.Element
}

func newSegmentCache(store objstore.Store, limit int) *segmentCache {
	return &segmentCache{store: store, limit: limit, order: list.New(), items: map[segmentID]*list.Element{}}
}

// lookup returns the entry of key in a sealed segment.
func (c *segmentCache) lookup(ctx context.Context, id segmentID, key Digest) (entry, bool, error) {
	if index, cached := c.get(id); cached && !index.mayContain(key) {
		return entry{}, false, nil
	}
	entries, err := c.read(ctx, id)
	if err != nil {
		return entry{}, false, err
	}
	i := slices.IndexFunc(entries, func(e entry) bool { return e.Key == key })
	if i < 0 {
		return entry{}, false, nil
	}
	return entries[i], true, nil
}

// maxParallelReads bounds the concurrent reads for one slot. At 2 ms a read, 4 use up the store's 2,000 reads a second.
const maxParallelReads = 4

// loadMissing reads the sealed segments of a slot that are not cached, for example after a change of owner.
func (c *segmentCache) loadMissing(ctx context.Context, slot int, s *state) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelReads)
	for ref := range s.sealed() {
		id := segmentID{slot, ref.Seq}
		if _, cached := c.get(id); cached {
			continue
		}
		g.Go(func() error {
			_, err := c.read(ctx, id)
			return err
		})
	}
	return g.Wait()
}

// read returns the entries of a segment and caches its index.
func (c *segmentCache) read(ctx context.Context, id segmentID) ([]entry, error) {
	if index, cached := c.get(id); cached && index.entries != nil {
		return index.entries, nil
	}
	obj, err := c.store.Get(ctx, id.key())
	if err != nil {
		return nil, fmt.Errorf("read sealed segment %s: %w", id.key(), err)
	}
	var entries []entry
	if err := cbor.Unmarshal(obj.Value, &entries); err != nil {
		return nil, fmt.Errorf("decode sealed segment %s: %w", id.key(), err)
	}
	c.add(id, entries)
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

// index returns the index of a segment and reads it from the store when it isn't cached.
func (c *segmentCache) index(ctx context.Context, id segmentID) (*segmentIndex, error) {
	if x, cached := c.get(id); cached {
		return x, nil
	}
	entries, err := c.read(ctx, id)
	return newIndex(id, entries), err
}

func (c *segmentCache) add(id segmentID, entries []entry) { c.insert(newIndex(id, entries)) }

func (c *segmentCache) insert(x *segmentIndex) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.items[x.id]; ok {
		return
	}
	c.items[x.id] = c.order.PushFront(x)
	c.used += x.bytes()
	for c.used > c.limit {
		c.evict(c.order.Back())
	}
}

func newIndex(id segmentID, entries []entry) *segmentIndex {
	x := &segmentIndex{id: id, hashes: make([]uint64, 0, len(entries))}
	for i := range entries {
		x.hashes = append(x.hashes, keyPrefix(entries[i].Key))
	}
	slices.Sort(x.hashes)
	if size := sizeOf(entries); size <= maxCachedEntryBytes {
		x.entries, x.size = entries, size
	}
	return x
}

// pack returns the hashes in the form of a listedSegment.
func (x *segmentIndex) pack() []byte {
	packed := make([]byte, 0, 8*len(x.hashes))
	for _, h := range x.hashes {
		packed = binary.BigEndian.AppendUint64(packed, h)
	}
	return packed
}

func unpackIndex(id segmentID, packed []byte) *segmentIndex {
	x := &segmentIndex{id: id, hashes: make([]uint64, 0, len(packed)/8)}
	for ; len(packed) >= 8; packed = packed[8:] {
		x.hashes = append(x.hashes, binary.BigEndian.Uint64(packed))
	}
	return x
}

// remove evicts segments that are no longer referenced.
func (c *segmentCache) remove(slot int, refs []segmentRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ref := range refs {
		if el, ok := c.items[segmentID{slot, ref.Seq}]; ok {
			c.evict(el)
		}
	}
}

func (c *segmentCache) evict(el *list.Element) {
	x := el.Value.(*segmentIndex)
	c.order.Remove(el)
	delete(c.items, x.id)
	c.used -= x.bytes()
}

func (x *segmentIndex) mayContain(key Digest) bool {
	_, ok := slices.BinarySearch(x.hashes, keyPrefix(key))
	return ok
}

func keyPrefix(key Digest) uint64 { return binary.BigEndian.Uint64(key[:8]) }
