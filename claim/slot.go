package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"github.com/trefoillug/trefoillug/objstore"
)

const (
	// outcomeDelay is how long outcomes wait for claims, so that one write stores both. No caller waits for an outcome.
	outcomeDelay = 250 * time.Millisecond
	// pendingGrace is the time after a call's deadline in which its outcome may still be recorded.
	pendingGrace = 5 * time.Second
	// maxViewAge is the age of the view from which a pending entry is read again from the store before it is reported.
	maxViewAge = time.Second
	// maxBatchBytes bounds the entries added by one write, so that the object stays below objstore.MaxValueBytes.
	maxBatchBytes = 256 << 10
	// writeBurst lets a claim that follows an outcome at low load be written without delay.
	writeBurst = 3

	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
)

// queuedOperation is an operation that waits in a slot for its answer.
type queuedOperation struct {
	ctx  context.Context
	op   operation
	done chan answer // buffered, receives at most one answer
}

// slot serializes this instance's writes of one slot object. Its view may be stale; the conditional update detects
// that.
type slot struct {
	number        int
	store         objstore.Store
	cache         *segmentCache
	opts          Options
	writeLimiter  *rate.Limiter
	claimQueued   chan struct{} // signals a queued claim
	outcomeQueued chan struct{} // signals a queued outcome or release
	startWriter   sync.Once
	writeReserved bool // the write budget for the next write is reserved; used by the writer only

	mu              sync.Mutex
	waiting         []*queuedOperation
	view            state // last state confirmed to be stored
	version         uint64
	viewCurrent     bool      // false before the first read and after a failed write
	viewConfirmedAt time.Time // when the view was last confirmed
}

func newSlot(number int, store objstore.Store, cache *segmentCache, opts Options) *slot {
	limit := rate.Limit(opts.WritesPerSecond / float64(opts.Slots))
	return &slot{
		number: number, store: store, cache: cache, opts: opts,
		writeLimiter: rate.NewLimiter(limit, writeBurst),
		claimQueued:  make(chan struct{}, 1), outcomeQueued: make(chan struct{}, 1),
	}
}

func (s *slot) key() string { return fmt.Sprintf("claim/%d", s.number) }

// submit queues an operation and waits for its answer until ctx ends. serviceCtx stops the slot's writer. When ctx
// ends first, a claim of a key that may be held by another attempt is answered as pending.
func (s *slot) submit(ctx, serviceCtx context.Context, op operation) (answer, error) {
	if a, ok := s.answerFromView(&op); ok {
		return a, nil
	}
	s.startWriter.Do(func() { go s.run(serviceCtx) })
	q := &queuedOperation{ctx: ctx, op: op, done: make(chan answer, 1)}
	s.mu.Lock()
	s.waiting = append(s.waiting, q)
	s.mu.Unlock()
	s.signal(op.Kind)
	select {
	case a := <-q.done:
		return a, nil
	case <-serviceCtx.Done():
		return answer{}, serviceCtx.Err()
	case <-ctx.Done():
	}
	if op.Kind == opClaim && s.mayBeHeld(op.Key, op.Attempt) {
		return answer{Verdict: verdictPending}, nil
	}
	return answer{}, ctx.Err()
}

// signal wakes the writer for a queued operation.
func (s *slot) signal(kind opKind) {
	ch := s.outcomeQueued
	if kind == opClaim {
		ch = s.claimQueued
	}
	select {
	case ch <- struct{}{}:
	default:
	}
}

// answerFromView answers a claim without store access when the open segment in the view shows that another attempt
// holds the key. A pending entry may have been released since, so it is used only while the view is recent.
func (s *slot) answerFromView(op *operation) (answer, bool) {
	if op.Kind != opClaim {
		return answer{}, false
	}
	s.mu.Lock()
	d, recent := draft{state: s.view}, time.Since(s.viewConfirmedAt) < maxViewAge
	s.mu.Unlock()
	e, recorded := d.lookup(op.Key)
	if !recorded || e.State == stateReleased || e.Attempt == op.Attempt {
		return answer{}, false
	}
	return answerToOther(e, op.Body, time.Now()), recent || e.State != statePending
}

// mayBeHeld reports whether an attempt other than the given one may hold or have held the key, according to the view,
// even if the view is old. During an outage, a repeat of such a key must not be refused as a call that was not run.
func (s *slot) mayBeHeld(key, attempt Digest) bool {
	s.mu.Lock()
	d := draft{state: s.view}
	s.mu.Unlock()
	if e, recorded := d.lookup(key); recorded {
		return e.State != stateReleased && e.Attempt != attempt
	}
	for ref := range d.sealed() {
		if index, cached := s.cache.get(segmentID{s.number, ref.Seq}); cached && index.mayContain(key) {
			return true
		}
	}
	return false
}

// confirmedWithin reports whether the store confirmed the view within the last d.
func (s *slot) confirmedWithin(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.viewConfirmedAt) < d
}

func (s *slot) run(serviceCtx context.Context) {
	for s.waitForWork(serviceCtx) {
		s.processWaiting(serviceCtx)
	}
}

// waitForWork blocks until a claim is queued or an outcome has waited for outcomeDelay. It returns false when
// serviceCtx ends.
func (s *slot) waitForWork(serviceCtx context.Context) bool {
	select {
	case <-serviceCtx.Done():
		return false
	case <-s.claimQueued:
		return true
	case <-s.outcomeQueued:
	}
	timer := time.NewTimer(outcomeDelay)
	defer timer.Stop()
	select {
	case <-serviceCtx.Done():
		return false
	case <-s.claimQueued:
	case <-timer.C:
	}
	return true
}

// processWaiting retries until each waiting operation is answered or abandoned.
func (s *slot) processWaiting(serviceCtx context.Context) {
	var batch []*queuedOperation
	backoff := minBackoff
	for {
		batch = s.collect(batch)
		if len(batch) == 0 || !s.reserveWrite(serviceCtx) {
			return
		}
		// Operations that arrived during the wait join the batch.
		batch = s.collect(batch)
		err := s.commit(serviceCtx, batch)
		if err == nil {
			batch, backoff = nil, minBackoff
			continue
		}
		sleep(serviceCtx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// reserveWrite waits until the write budget allows one write. It returns false when serviceCtx ends.
func (s *slot) reserveWrite(serviceCtx context.Context) bool {
	if !s.writeReserved {
		s.writeReserved = s.writeLimiter.Wait(serviceCtx) == nil
	}
	return s.writeReserved && serviceCtx.Err() == nil
}

// collect adds waiting operations to the batch and drops abandoned ones.
func (s *slot) collect(batch []*queuedOperation) []*queuedOperation {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := append(batch, s.waiting...)
	kept, rest, size := []*queuedOperation(nil), []*queuedOperation(nil), 0
	for _, q := range all {
		e := q.op.newEntry(statePending)
		switch {
		case q.ctx.Err() != nil: // abandoned: the caller no longer waits
		case size+e.size() > maxBatchBytes:
			rest = append(rest, q)
		default:
			kept, size = append(kept, q), size+e.size()
		}
	}
	s.waiting = rest
	return kept
}

// commit applies the batch to the current state and writes it. Answers are sent only once the state that they are
// based on is confirmed to be stored.
func (s *slot) commit(serviceCtx context.Context, batch []*queuedOperation) error {
	ctx, cancel := context.WithTimeout(serviceCtx, s.opts.StoreTimeout)
	defer cancel()
	if !s.viewCurrent {
		if err := s.refresh(ctx); err != nil {
			return err
		}
	}
	if err := s.cache.loadMissing(ctx, s.number, &s.view); err != nil {
		return err
	}
	d, answers, err := s.draftBatch(ctx, batch)
	if err == nil && !d.changed && time.Since(s.viewConfirmedAt) >= maxViewAge {
		// No write confirms the view, so it is read again before answers are based on it.
		if err = s.refresh(ctx); err == nil {
			d, answers, err = s.draftBatch(ctx, batch)
		}
	}
	if err == nil && d.changed {
		err = s.write(serviceCtx, d)
	}
	if err != nil {
		return err
	}
	for i, q := range batch {
		q.done <- answers[i]
	}
	return nil
}

// draftBatch applies the batch to a copy of the view. Abandoned operations are left out: a claim applied after its own
// release and the release of a later attempt would leave the key held by an attempt that has ended.
func (s *slot) draftBatch(ctx context.Context, batch []*queuedOperation) (*draft, []answer, error) {
	d := newDraft(s.view)
	answers := make([]answer, len(batch))
	for i, q := range batch {
		if q.ctx.Err() != nil {
			continue
		}
		e, recorded, err := s.findEntry(ctx, d, q.op.Key)
		if err != nil {
			return nil, nil, err
		}
		answers[i] = d.apply(&q.op, e, recorded, time.Now())
	}
	return d, answers, nil
}

// refresh reads the slot object into the view.
func (s *slot) refresh(ctx context.Context) error {
	start := time.Now()
	obj, err := s.store.Get(ctx, s.key())
	if errors.Is(err, objstore.ErrNotFound) {
		obj, err = objstore.Object{}, nil
	}
	if err != nil {
		return err
	}
	if obj.Version < s.version {
		return fmt.Errorf("slot %d: store returned version %d after version %d", s.number, obj.Version, s.version)
	}
	next := state{}
	if obj.Version > 0 {
		if err := cbor.Unmarshal(obj.Value, &next.head); err != nil {
			return fmt.Errorf("decode slot %d: %w", s.number, err)
		}
	}
	if next.large, err = s.listedSegments(ctx, next.Chunks); err != nil {
		return err
	}
	s.setView(next, obj.Version, start)
	return nil
}

// setView replaces the view by a state that the store confirmed at the given time.
func (s *slot) setView(next state, version uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view, s.version, s.viewCurrent, s.viewConfirmedAt = next, version, true, at
}

// write stores the draft on condition that the slot object is unchanged since it was read. After any error the
// object is read again: the write may have taken effect, and the attempt IDs in the object show whether it did.
func (s *slot) write(serviceCtx context.Context, d *draft) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(serviceCtx, s.opts.StoreTimeout)
	defer cancel()
	s.mu.Lock()
	s.viewCurrent, s.writeReserved = false, false
	s.mu.Unlock()
	if err := s.compact(ctx, d); err != nil {
		return err
	}
	version, err := s.store.Put(ctx, s.key(), encode(d.head), s.version)
	if err != nil {
		return err
	}
	s.setView(d.state, version, start)
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
