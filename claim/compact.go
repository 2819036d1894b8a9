package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/trefoillug/trefoillug/objstore"
)

// chunkBytes is the size at which a chunk is full; until then each merge rewrites it. Even with the hashes of one more
// segment, at most 70 KB, a chunk stays far below objstore.MaxValueBytes.
const chunkBytes = 400 << 10

// compact seals a full open segment of the draft, merges small segments once their total size reaches mergeBytes, and
// drops segments past the retention time. All objects that it writes are immutable and take effect only once the head
// that names them is written; a failure leaves unreferenced objects behind.
func (s *slot) compact(ctx context.Context, d *draft) error {
	if size := sizeOf(d.Open); size < s.opts.sealBytes {
		return nil
	}
	ref, err := s.seal(ctx, d, d.Open, time.Now().Unix())
	if err != nil {
		return err
	}
	d.Open, d.Small = nil, append(s.unexpired(d.Small), ref)
	total := 0
	for _, ref := range d.Small {
		total += ref.Size
	}
	if total < s.opts.mergeBytes {
		return nil
	}
	return s.merge(ctx, d)
}

// merge replaces the small segments by one large segment with the latest entry of each key.
func (s *slot) merge(ctx context.Context, d *draft) error {
	entries, err := s.latestEntries(ctx, d.Small)
	if err != nil {
		return err
	}
	ref, err := s.seal(ctx, d, entries, d.Small[len(d.Small)-1].Last)
	if err != nil {
		return err
	}
	s.dropExpiredChunks(d)
	if err := s.addToChunk(ctx, d, ref); err != nil {
		return err
	}
	s.cache.remove(s.number, d.Small)
	d.Small = nil
	return nil
}

// dropExpiredChunks drops chunks past the retention time with all their segments.
func (s *slot) dropExpiredChunks(d *draft) {
	for len(d.Chunks) > 0 && s.expired(d.Chunks[0].Last) {
		d.large = d.large[d.Chunks[0].Count:]
		d.Chunks = d.Chunks[1:]
	}
}

// addToChunk adds a large segment to the last chunk, or to a new one when that is full. Segments of the last chunk
// past the retention time are left out; those of full chunks are dropped together with their chunk.
func (s *slot) addToChunk(ctx context.Context, d *draft, ref segmentRef) error {
	full, older, last := d.Chunks, d.large, []segmentRef(nil)
	if n := len(full); n > 0 {
		split := len(older) - full[n-1].Count
		full, older, last = full[:n-1], older[:split], s.unexpired(older[split:])
	}
	c, size, err := s.buildChunk(ctx, last)
	if err != nil {
		return err
	}
	if size >= chunkBytes {
		c, full, older, last = chunk{}, d.Chunks, d.large, nil
	}
	added, _, err := s.buildChunk(ctx, []segmentRef{ref})
	if err != nil {
		return err
	}
	c.Segments = append(c.Segments, added.Segments...)
	seq, err := s.putNext(ctx, d, encode(c))
	if err != nil {
		return err
	}
	d.Chunks = append(slices.Clone(full), chunkRef{Seq: seq, Last: ref.Last, Count: len(c.Segments)})
	d.large = slices.Concat(older, last, []segmentRef{ref})
	return nil
}

// buildChunk returns a chunk of the given segments and the size of its hashes in bytes.
func (s *slot) buildChunk(ctx context.Context, refs []segmentRef) (c chunk, size int, err error) {
	for _, r := range refs {
		index, err := s.cache.index(ctx, segmentID{s.number, r.Seq})
		if err != nil {
			return c, 0, err
		}
		c.Segments = append(c.Segments, listedSegment{Ref: r, Hashes: index.pack()})
		size += 8 * len(index.hashes)
	}
	return c, size, nil
}

// latestEntries returns the latest entry of each key in the segments, which are ordered from the oldest.
func (s *slot) latestEntries(ctx context.Context, refs []segmentRef) ([]entry, error) {
	segments := make([][]entry, len(refs))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelReads)
	for i, ref := range refs {
		g.Go(func() (err error) {
			segments[i], err = s.cache.read(ctx, segmentID{s.number, ref.Seq})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	latest := map[Digest]int{}
	var entries []entry
	for _, segment := range segments {
		for _, e := range segment {
			if i, ok := latest[e.Key]; ok {
				entries[i] = e
				continue
			}
			latest[e.Key] = len(entries)
			entries = append(entries, e)
		}
	}
	return entries, nil
}

// seal writes entries as a sealed segment and caches its index. last is the Unix time in seconds of the latest entry.
func (s *slot) seal(ctx context.Context, d *draft, entries []entry, last int64) (segmentRef, error) {
	value := encode(entries)
	seq, err := s.putNext(ctx, d, value)
	if err != nil {
		return segmentRef{}, err
	}
	s.cache.add(segmentID{s.number, seq}, entries)
	return segmentRef{Seq: seq, Last: last, Size: len(value)}, nil
}

// putNext writes an immutable object under the next free sequence number and returns the number. A number whose
// write may have failed is never referred to: another writer may have used it for other content.
func (s *slot) putNext(ctx context.Context, d *draft, value []byte) (uint64, error) {
	for {
		d.NextSeq++
		// This write is charged to the write budget of the next head. Waiting here would delay the claims in this batch.
		s.writeLimiter.Reserve()
		_, err := s.store.Put(ctx, segmentID{s.number, d.NextSeq}.key(), value, 0)
		if err == nil {
			return d.NextSeq, nil
		}
		if !errors.Is(err, objstore.ErrConflict) {
			return 0, err
		}
	}
}

// listedSegments returns the large segments that the chunks list, and caches their indexes.
func (s *slot) listedSegments(ctx context.Context, chunks []chunkRef) ([]segmentRef, error) {
	if slices.Equal(chunks, s.view.Chunks) {
		return s.view.large, nil
	}
	segments := make([][]segmentRef, len(chunks))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelReads)
	for i, ref := range chunks {
		g.Go(func() (err error) {
			segments[i], err = s.readChunk(ctx, ref)
			return err
		})
	}
	err := g.Wait()
	return slices.Concat(segments...), err
}

func (s *slot) readChunk(ctx context.Context, ref chunkRef) ([]segmentRef, error) {
	obj, err := s.store.Get(ctx, segmentID{s.number, ref.Seq}.key())
	if err != nil {
		return nil, fmt.Errorf("read chunk %d of slot %d: %w", ref.Seq, s.number, err)
	}
	var c chunk
	if err := cbor.Unmarshal(obj.Value, &c); err != nil {
		return nil, fmt.Errorf("decode chunk %d of slot %d: %w", ref.Seq, s.number, err)
	}
	var refs []segmentRef
	for _, l := range c.Segments {
		refs = append(refs, l.Ref)
		s.cache.insert(unpackIndex(segmentID{s.number, l.Ref.Seq}, l.Hashes))
	}
	return refs, nil
}

// unexpired returns a copy of refs without segments past the retention time.
func (s *slot) unexpired(refs []segmentRef) []segmentRef {
	return slices.DeleteFunc(slices.Clone(refs), func(ref segmentRef) bool { return s.expired(ref.Last) })
}

func (s *slot) expired(last int64) bool { return time.Since(time.Unix(last, 0)) >= s.opts.Retention }

func sizeOf(entries []entry) int {
	size := 0
	for i := range entries {
		size += entries[i].size()
	}
	return size
}
