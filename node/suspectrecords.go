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

// requestRecord records the crashes because of which a request or a family is refused.
type requestRecord struct {
	Scope       quarantine.Scope       `json:"scope"`
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	RecordedMs  int64                  `json:"recorded_ms"` // time of day of the latest crash, or answer, in Unix milliseconds
	Count       int                    `json:"count"`       // 0: it was answered since
}

// legacyRecord is the record of builds up to 0694119, in slots without a scope. See factLegacyCrash.
type legacyRecord struct {
	Crashes int `json:"crashes"`
}

func (r requestRecord) slot() string {
	return fmt.Sprintf("%s%s-%d", requestPrefix, r.Scope, uint64(r.Fingerprint)%refusedKeys)
}

func (r requestRecord) isOlderThan(other suspectRecord) bool {
	o, ok := other.(requestRecord)
	return ok && r.RecordedMs < o.RecordedMs
}

// replaces implements suspectRecord. One that was answered replaces only its own record, and another one yields to a later
// crash.
func (r requestRecord) replaces(value []byte) bool {
	var stored requestRecord
	if err := json.Unmarshal(value, &stored); err != nil {
		return true
	}
	if stored.Fingerprint != r.Fingerprint && r.Count == 0 {
		return false
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

// storeAgain stores what this process has stored before, and what it knows to be refused if it owns that, since a restored store
// may have forgotten it. The process that stored it first may be gone.
func (s *suspects) storeAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, again := time.Now(), map[string]suspectRecord{}
	for _, c := range s.AllRefused(now) {
		if s.owns(c.Fingerprint) {
			r := s.recordOf(c, now)
			again[r.slot()] = r
		}
	}
	for slot, r := range s.stored {
		if known, ok := again[slot].(requestRecord); !ok || known.isOlderThan(r) {
			again[slot] = r
		}
	}
	for _, r := range again {
		s.storeLater(r)
	}
	if len(again) > 0 {
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
	// A list that is seconds old may lack the refusals from right before all instances were killed.
	list := s.n.platform.ListRecords
	if list == nil {
		list = s.n.platform.Records.List
	}
	objects, err := list(ctx, prefix)
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
	if age >= quarantine.CrashTTL || age <= -quarantine.CrashTTL {
		return nil // over, or of a clock that was far ahead: the refusal would begin anew at each start
	}
	switch r.Scope {
	case quarantine.ScopeRequest, quarantine.ScopeFamily:
		if r.Count > 0 {
			s.RefuseStored(quarantine.Refusal{
				Subject: quarantine.Subject{Scope: r.Scope, Fingerprint: r.Fingerprint}, Crashes: r.Count, Latest: time.Now().Add(-max(0, age)),
			})
		}
	default:
		var legacy legacyRecord
		if err := json.Unmarshal(value, &legacy); err != nil {
			return err
		}
		if legacy.Crashes > 0 {
			s.n.metrics.scope.Counter("legacy_crash_counts").Inc(1)
			s.n.log.WithField("crashes", legacy.Crashes).
				Warn("stored count of crashes by an earlier build not used: harmless requests may share its fingerprint")
		}
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
