package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/quarantine"
)

const (
	// blockPrefix and requestPrefix are the key prefixes of the stored blocks and requests that are refused; there are
	// refusedKeys of each at most.
	blockPrefix      = "refused-blocks/"
	requestPrefix    = "refused-requests/"
	recordRetryPause = 2 * time.Second
)

// suspectRecord is stored so that instances that are started while no other runs know what is refused.
type suspectRecord interface {
	// slot returns the key under which the record is stored.
	slot() string
	// replaces reports whether it has to replace a stored record.
	replaces(stored []byte) bool
}

// blockRecord records a prompt block that is refused. A block that is served again has no facts.
type blockRecord struct {
	Block      quarantine.Fingerprint `json:"block"`
	RecordedMs int64                  `json:"recorded_ms"` // time of day in Unix milliseconds
	Facts      []quarantine.BlockFact `json:"facts"`
}

func (r blockRecord) slot() string {
	return fmt.Sprintf("%s%d", blockPrefix, uint64(r.Block)%refusedKeys)
}

// replaces implements suspectRecord. A block that is served again replaces only its own record.
func (r blockRecord) replaces(value []byte) bool {
	var stored blockRecord
	if err := json.Unmarshal(value, &stored); err != nil {
		return true
	}
	if stored.Block != r.Block {
		return len(r.Facts) > 0
	}
	if r.RecordedMs < stored.RecordedMs {
		return false // r is stored again after a restore, and another instance knows more
	}
	isRecent := r.RecordedMs-stored.RecordedMs < refusedTTL.Milliseconds()/2
	return len(stored.Facts) != len(r.Facts) || !isRecent
}

// requestRecord records a request that is refused for its crashes. One that was answered since has none.
type requestRecord struct {
	Request    quarantine.Fingerprint `json:"request"`
	RecordedMs int64                  `json:"recorded_ms"` // time of day of the latest crash in Unix milliseconds
	Crashes    int                    `json:"crashes"`
}

func (r requestRecord) slot() string {
	return fmt.Sprintf("%s%d", requestPrefix, uint64(r.Request)%refusedKeys)
}

// replaces implements suspectRecord. A request that was answered replaces only its own record.
func (r requestRecord) replaces(value []byte) bool {
	var stored requestRecord
	if err := json.Unmarshal(value, &stored); err != nil {
		return true
	}
	if stored.Request != r.Request {
		return r.Crashes > 0
	}
	return r.RecordedMs > stored.RecordedMs
}

func (s *suspects) storeLater(r suspectRecord) {
	select {
	case s.toStore <- r:
	default:
		s.n.log.WithField("record", r.slot()).Warn("refused request or prompt block not stored: too many are waiting")
	}
}

// storeAgain stores what this process has stored before, since a restored store may have forgotten it.
func (s *suspects) storeAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.stored {
		s.storeLater(r)
	}
	if len(s.stored) > 0 {
		s.n.recordedAgain("refused")
	}
}

// maintainRecords reads what is stored and then stores changes. While the store fails, it tries again.
func (s *suspects) maintainRecords(ctx context.Context) {
	retry(ctx, s.readRecords, func(err error) { s.n.log.WithError(err).Info("refused requests and prompt blocks not read") })
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.toStore:
			retry(ctx, func(ctx context.Context) error { return s.writeRecord(ctx, r) },
				func(err error) {
					s.n.log.WithError(err).WithField("record", r.slot()).Info("refused request or prompt block not stored")
				})
			s.mu.Lock()
			s.stored[r.slot()] = r
			s.mu.Unlock()
		}
	}
}

// retry calls do until it succeeds or ctx is done.
func retry(ctx context.Context, do func(context.Context) error, failed func(error)) {
	for {
		err := do(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		failed(err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(recordRetryPause):
		}
	}
}

func (s *suspects) readRecords(ctx context.Context) error {
	if err := s.readEach(ctx, requestPrefix, s.mergeRequest); err != nil {
		return err
	}
	return s.readEach(ctx, blockPrefix, s.mergeBlock)
}

// readEach calls merge with each record with a key prefix. A record that merge can't decode is skipped.
func (s *suspects) readEach(ctx context.Context, prefix string, merge func(value []byte) error) error {
	objects, err := s.n.platform.Records.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if err := merge(o.Value); err != nil {
			s.n.log.WithError(err).WithField("object", o.Key).Warn("invalid record of a refused request or prompt block skipped")
		}
	}
	return nil
}

func (s *suspects) mergeRequest(value []byte) error {
	var r requestRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return err
	}
	age := s.n.wall.Now().Sub(time.UnixMilli(r.RecordedMs))
	if r.Crashes > 0 && age < quarantine.CrashTTL {
		s.MergeCount(r.Request, r.Crashes, time.Now().Add(-max(0, age)))
	}
	return nil
}

func (s *suspects) mergeBlock(value []byte) error {
	var r blockRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return err
	}
	if s.n.wall.Now().Sub(time.UnixMilli(r.RecordedMs)) >= refusedTTL {
		return nil
	}
	for _, f := range r.Facts {
		s.blocks.Merge(f, time.Now())
	}
	return nil
}

// writeRecord replaces the record in the slot of r if it has to.
func (s *suspects) writeRecord(ctx context.Context, r suspectRecord) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = s.n.platform.Records.Put(ctx, r.slot(), value, 0)
	if !errors.Is(err, objstore.ErrConflict) && !errors.Is(err, objstore.ErrUnknownResult) {
		return err
	}
	old, err := s.n.platform.Records.Get(ctx, r.slot())
	if err != nil {
		return err
	}
	if !r.replaces(old.Value) {
		return nil
	}
	_, err = s.n.platform.Records.Put(ctx, r.slot(), value, old.Version)
	return err
}
