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
	// outcomeDelay lets outcomes travel with the next claims of the slot; nobody waits for them.
	outcomeDelay = 250 * time.Millisecond
	// pendingGrace is the time after a call's deadline in which its owner may still record the outcome.
	pendingGrace = 5 * time.Second
	// viewAge is the age at which a pending entry is read again from the store before it is reported.
	viewAge = time.Second
	// batchBytes bounds the entries added by one write, so that the object stays below objstore.MaxValueBytes.
	batchBytes = 256 << 10
	// writeBurst lets a claim that follows an outcome at low load go out without delay.
	writeBurst = 3

	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
)

// queued is an operation that waits in a slot for its answer.
type queued struct {
	ctx  context.Context
	op   operation
	done chan answer // buffered, receives at most one answer
}

// slot serialises this instance's writes of one slot object. Its view may be stale; only the conditional update
// decides.
type slot struct {
	number int
	store  objstore.Store
	cache  *segmentCache
	opts   Options
	pace   *rate.Limiter
	urgent chan struct{} // a claim waits
	lazy   chan struct{} // an outcome waits
	start  sync.Once
	paid   bool // a write of the budget is reserved; used by the writer only

	mu      sync.Mutex
	waiting []*queued
	view    state // last state known to be stored
	version uint64
	fresh   bool      // the view holds the latest version known; false after a failed write
	readAt  time.Time // when the view was last confirmed
}

func newSlot(number int, store objstore.Store, cache *segmentCache, opts Options) *slot {
	limit := rate.Limit(opts.WritesPerSecond / float64(opts.Slots))
	return &slot{
		number: number, store: store, cache: cache, opts: opts,
		pace:   rate.NewLimiter(limit, writeBurst),
		urgent: make(chan struct{}, 1), lazy: make(chan struct{}, 1),
	}
}

func (s *slot) key() string { return fmt.Sprintf("claim/%d", s.number) }

// submit queues an operation and waits for its answer until ctx ends. life ends the slot's writer. When ctx ends
// first, a claim of a key that the view shows as taken is still answered, as pending.
func (s *slot) submit(ctx, life context.Context, op operation) (answer, error) {
	if a, ok := s.fromView(&op); ok {
		return a, nil
	}
	s.start.Do(func() { go s.run(life) })
	q := &queued{ctx: ctx, op: op, done: make(chan answer, 1)}
	s.mu.Lock()
	s.waiting = append(s.waiting, q)
	s.mu.Unlock()
	s.wake(op.Kind)
	select {
	case a := <-q.done:
		return a, nil
	case <-life.Done():
		return answer{}, life.Err()
	case <-ctx.Done():
	}
	if op.Kind == opClaim && s.mayBeTaken(op.Key, op.Attempt) {
		return answer{Verdict: verdictPending}, nil
	}
	return answer{}, ctx.Err()
}

func (s *slot) wake(kind opKind) {
	ch := s.lazy
	if kind == opClaim {
		ch = s.urgent
	}
	select {
	case ch <- struct{}{}:
	default:
	}
}

// fromView answers a claim of a key that the open segment shows as taken by another attempt, without store access.
// A pending entry may have been released since, so it counts only while the view is recent.
func (s *slot) fromView(op *operation) (answer, bool) {
	if op.Kind != opClaim {
		return answer{}, false
	}
	s.mu.Lock()
	d, recent := draft{state: s.view}, time.Since(s.readAt) < viewAge
	s.mu.Unlock()
	e, known := d.lookup(op.Key)
	if !known || e.State == stateReleased || e.Attempt == op.Attempt {
		return answer{}, false
	}
	return foreignAnswer(e, op.Body, time.Now()), recent || e.State != statePending
}

// mayBeTaken reports whether the view, however old, shows that an attempt other than own holds or held the key. It
// keeps a repeat from being refused as not run during an outage.
func (s *slot) mayBeTaken(key, own Digest) bool {
	s.mu.Lock()
	d := draft{state: s.view}
	s.mu.Unlock()
	if e, known := d.lookup(key); known {
		return e.State != stateReleased && e.Attempt != own
	}
	for ref := range d.sealed() {
		if index, cached := s.cache.get(segmentID{s.number, ref.Seq}); cached && index.mayHold(key) {
			return true
		}
	}
	return false
}

// progressing reports whether the store answered this slot's writer within the last d.
func (s *slot) progressing(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.readAt) < d
}

func (s *slot) run(life context.Context) {
	for s.waitForWork(life) {
		s.settle(life)
	}
}

func (s *slot) waitForWork(life context.Context) bool {
	select {
	case <-life.Done():
		return false
	case <-s.urgent:
		return true
	case <-s.lazy:
	}
	timer := time.NewTimer(outcomeDelay)
	defer timer.Stop()
	select {
	case <-life.Done():
		return false
	case <-s.urgent:
	case <-timer.C:
	}
	return true
}

// settle retries until each waiting operation is answered or abandoned.
func (s *slot) settle(life context.Context) {
	var batch []*queued
	backoff := minBackoff
	for {
		batch = s.collect(batch)
		if len(batch) == 0 || !s.await(life) {
			return
		}
		// Operations that arrived during the wait join the batch.
		batch = s.collect(batch)
		err := s.try(life, batch)
		if err == nil {
			batch, backoff = nil, minBackoff
			continue
		}
		pause(life, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// await waits until the write budget has room for one write.
func (s *slot) await(life context.Context) bool {
	if !s.paid {
		s.paid = s.pace.Wait(life) == nil
	}
	return s.paid && life.Err() == nil
}

// collect adds waiting operations to the batch and drops abandoned ones.
func (s *slot) collect(batch []*queued) []*queued {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := append(batch, s.waiting...)
	live, rest, size := []*queued(nil), []*queued(nil), 0
	for _, q := range all {
		e := q.op.newEntry(statePending)
		switch {
		case q.ctx.Err() != nil: // nobody waits for the answer
		case size+e.size() > batchBytes:
			rest = append(rest, q)
		default:
			live, size = append(live, q), size+e.size()
		}
	}
	s.waiting = rest
	return live
}

// try applies the batch to the current state and writes it. Answers are sent only when the state that they rest on
// is known to be stored.
func (s *slot) try(life context.Context, batch []*queued) error {
	ctx, cancel := context.WithTimeout(life, s.opts.StoreTimeout)
	defer cancel()
	if !s.fresh {
		if err := s.refresh(ctx); err != nil {
			return err
		}
	}
	if err := s.cache.load(ctx, s.number, &s.view); err != nil {
		return err
	}
	d, answers, err := s.draft(ctx, batch)
	if err == nil && !d.changed && time.Since(s.readAt) >= viewAge {
		// Without a write nothing confirms the view, so it is read again before it is reported.
		if err = s.refresh(ctx); err == nil {
			d, answers, err = s.draft(ctx, batch)
		}
	}
	if err == nil && d.changed {
		err = s.write(life, d)
	}
	if err != nil {
		return err
	}
	for i, q := range batch {
		q.done <- answers[i]
	}
	return nil
}

// draft applies the batch to a copy of the view. Operations abandoned by now are left out: a claim applied after its
// release and the release of a later attempt would hold the key for nobody.
func (s *slot) draft(ctx context.Context, batch []*queued) (*draft, []answer, error) {
	d := newDraft(s.view)
	answers := make([]answer, len(batch))
	for i, q := range batch {
		if q.ctx.Err() != nil {
			continue
		}
		e, known, err := s.find(ctx, d, q.op.Key)
		if err != nil {
			return nil, nil, err
		}
		answers[i] = d.apply(&q.op, e, known, time.Now())
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
	if next.large, err = s.listed(ctx, next.Chunks); err != nil {
		return err
	}
	s.adopt(next, obj.Version, start)
	return nil
}

func (s *slot) adopt(next state, version uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view, s.version, s.fresh, s.readAt = next, version, true, at
}

// write stores the draft on condition that the slot object is unchanged since it was read. After any error the
// object is read again: the write may have taken effect, which the attempt IDs in it then show.
func (s *slot) write(life context.Context, d *draft) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(life, s.opts.StoreTimeout)
	defer cancel()
	s.mu.Lock()
	s.fresh, s.paid = false, false
	s.mu.Unlock()
	if err := s.compact(ctx, d); err != nil {
		return err
	}
	version, err := s.store.Put(ctx, s.key(), encode(d.head), s.version)
	if err != nil {
		return err
	}
	s.adopt(d.state, version, start)
	return nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
