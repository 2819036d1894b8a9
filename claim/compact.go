package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/trefoillug/trefoillug/objstore"
)

// compact seals a full open segment of the draft, merges small segments when they add up, and drops segments past
// the retention time. All objects that it writes are immutable and count only once the head that names them is
// written; a failure leaves objects behind that nothing refers to.
func (s *slot) compact(ctx context.Context, d *draft) error {
	if size := sizeOf(d.Open); size < s.opts.sealBytes {
		return nil
	}
	ref, err := s.seal(ctx, d, d.Open, time.Now().Unix())
	if err != nil {
		return err
	}
	d.Open, d.Small = nil, append(s.live(d.Small), ref)
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
	entries, err := s.newest(ctx, d.Small)
	if err != nil {
		return err
	}
	ref, err := s.seal(ctx, d, entries, d.Small[len(d.Small)-1].Last)
	if err != nil {
		return err
	}
	d.large = append(s.live(d.large), ref)
	if d.List, err = s.putNext(ctx, d, encode(d.large)); err != nil {
		return err
	}
	s.cache.remove(s.number, d.Small)
	d.Small = nil
	return nil
}

// newest returns the latest entry of each key in the segments, which are ordered from the oldest.
func (s *slot) newest(ctx context.Context, refs []segmentRef) ([]entry, error) {
	segments := make([][]entry, len(refs))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(loadParallel)
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
// write had no clear success is never referred to: another writer may have used it for other content.
func (s *slot) putNext(ctx context.Context, d *draft, value []byte) (uint64, error) {
	for {
		d.NextSeq++
		// Counts against the write budget of the next head; waiting here would hold up claims that are due now.
		s.pace.Reserve()
		_, err := s.store.Put(ctx, segmentID{s.number, d.NextSeq}.key(), value, 0)
		if err == nil {
			return d.NextSeq, nil
		}
		if !errors.Is(err, objstore.ErrConflict) {
			return 0, err
		}
	}
}

// list returns the list of large segments stored under a sequence number.
func (s *slot) list(ctx context.Context, seq uint64) ([]segmentRef, error) {
	if seq == s.view.List {
		return s.view.large, nil
	}
	if seq == 0 {
		return nil, nil
	}
	obj, err := s.store.Get(ctx, segmentID{s.number, seq}.key())
	if err != nil {
		return nil, fmt.Errorf("read segment list of slot %d: %w", s.number, err)
	}
	var refs []segmentRef
	if err := cbor.Unmarshal(obj.Value, &refs); err != nil {
		return nil, fmt.Errorf("decode segment list of slot %d: %w", s.number, err)
	}
	return refs, nil
}

// live returns a copy of refs without segments past the retention time.
func (s *slot) live(refs []segmentRef) []segmentRef {
	var kept []segmentRef
	for _, ref := range refs {
		if time.Since(time.Unix(ref.Last, 0)) < s.opts.Retention {
			kept = append(kept, ref)
		}
	}
	return kept
}

func sizeOf(entries []entry) int {
	size := 0
	for i := range entries {
		size += entries[i].size()
	}
	return size
}
