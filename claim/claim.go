// Package claim makes calls that are not idempotent run at most once. Before a call is dispatched its key is claimed
// by a conditional update of a slot object in the object API. Peers only make this cheaper: the owner of a slot batches
// the claims of all instances, and an instance that cannot reach the owner writes the slot itself.
//
// Endpoints that check idempotency keys themselves are not used to dispatch during a store outage. Their check covers
// one endpoint (or those that share its state), so a call that may have run on an endpoint that has since been removed
// could run again on another; and later repeats would find neither the recorded response nor the body digest. A service
// file does not state the scope and the retention of such checks, so the guarantee cannot be derived from it.
package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/problem"
)

// MaxRecordedBody is the largest response body in bytes that is recorded for repeats of a key.
const MaxRecordedBody = 4 << 10

// maxContentType is the longest Content-Type in bytes that is recorded.
const maxContentType = 256

// Digest is a truncated SHA-256 digest. Callers choose keys and bodies, so it must resist collisions.
type Digest [16]byte

// DigestBody returns the digest of a request body.
func DigestBody(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(sum[:16])
}

// Call identifies a call that is not idempotent. A key is unique within a workspace of a service.
type Call struct {
	Service    string
	Workspace  string
	Key        string // value of the Idempotency-Key header
	BodyDigest Digest
}

// Response is the recorded response of a completed call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Retained    bool // false when the body was left out
}

// Attempt is the right to dispatch one call once. Exactly one of Complete, CompleteWithoutBody, MarkUnknown and Release
// ends it.
type Attempt struct {
	id       Digest
	key      Digest
	body     Digest
	slot     int
	deadline time.Time
}

// Result is the outcome of a claim: either a granted attempt or the recorded response of an earlier one.
type Result struct {
	Attempt  *Attempt  // set when the call is to be dispatched now
	Response *Response // set when the key has a recorded response
}

// Service claims keys for the calls of this instance and, as the owner of some slots, for those of other instances.
type Service struct {
	store           objstore.Store
	mesh            peer.Mesh
	opts            Options
	slots           []*slot
	cache           *segmentCache
	ctx             context.Context // canceled when Close returns
	cancel          context.CancelFunc
	backgroundGroup sync.WaitGroup // background operations
	backgroundOps   atomic.Int64   // number of background operations in progress
	granted         sync.Map       // key to attempt ID of granted attempts whose outcome is not yet recorded
	skipOwnerUntil  []atomic.Int64 // per slot: Unix nanoseconds until which its owner is skipped
}

// New returns a service and registers its peer handler. It must be called before the mesh starts.
func New(store objstore.Store, mesh peer.Mesh, opts Options) *Service {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{store: store, mesh: mesh, opts: opts, ctx: ctx, cancel: cancel}
	s.cache = newSegmentCache(store, opts.CacheBytes)
	s.skipOwnerUntil = make([]atomic.Int64, opts.Slots)
	for i := range opts.Slots {
		s.slots = append(s.slots, newSlot(i, store, s.cache, opts))
	}
	mesh.Handle(callKind, s.handle)
	return s
}

// Close waits until the background operations are recorded or ctx ends, and stops the slot writers. It returns the
// error of ctx when ctx ended first.
func (s *Service) Close(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.backgroundGroup.Wait()
		close(done)
	}()
	defer s.cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Claim claims the key of a call until the deadline of ctx, which must also bound the dispatch; without a deadline
// it waits for Options.MaxWait. Errors carry one of these kinds:
//
//   - KeyMissing, KeyReused: the call has no key, or the key was used with another body.
//   - OutcomeUnknown: another attempt with the key may have run, or is still running at the deadline.
//   - AnswerNotRetained: a call with the key has run and its response was not recorded.
//   - StoreUnavailable: the claim was not recorded by the deadline. No attempt was or will be dispatched for this
//     request. When neither the store nor the slot's owner could be reached, the error says nothing about an
//     earlier request with the same key, which may have run.
func (s *Service) Claim(ctx context.Context, c Call) (Result, error) {
	if c.Key == "" {
		return Result{}, problem.New(problem.KeyMissing, "the call needs an Idempotency-Key")
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.MaxWait)
	defer cancel()
	w := waiter{service: s, attempt: s.newAttempt(ctx, c)}
	return w.wait(ctx)
}

// Complete records the response of an attempt. It returns at once; the record is written in a later batch.
func (s *Service) Complete(a *Attempt, r Response) {
	r.Retained = len(r.Body) <= MaxRecordedBody && len(r.ContentType) <= maxContentType
	if !r.Retained {
		r.Body, r.ContentType = nil, ""
	}
	s.background(a, a.operation(opComplete, &r))
}

// CompleteWithoutBody records that an attempt has a response whose body is not retained for repeats.
func (s *Service) CompleteWithoutBody(a *Attempt, status int) {
	s.background(a, a.operation(opComplete, &Response{Status: status}))
}

// MarkUnknown records that an attempt was sent, in whole or in part, and has no complete response.
func (s *Service) MarkUnknown(a *Attempt) { s.background(a, a.operation(opUnknown, nil)) }

// Release releases an attempt of which nothing was sent; a later call with the key may run.
func (s *Service) Release(a *Attempt) { s.background(a, a.operation(opRelease, nil)) }

func (s *Service) newAttempt(ctx context.Context, c Call) *Attempt {
	a := &Attempt{key: digestKey(c), body: c.BodyDigest}
	a.id = newID()
	a.deadline, _ = ctx.Deadline()
	a.slot = int(binary.BigEndian.Uint64(a.key[:8]) % uint64(s.opts.Slots))
	return a
}

func (a *Attempt) operation(kind opKind, r *Response) operation {
	return operation{
		Kind: kind, Slot: a.slot, Key: a.key, Attempt: a.id, Body: a.body,
		Deadline: a.deadline.UnixMilli(), Response: r,
	}
}

// newID returns a random attempt ID; crypto/rand never fails.
func newID() Digest {
	var id Digest
	_, _ = rand.Read(id[:])
	return id
}

func digestKey(c Call) Digest {
	h := sha256.New()
	var length [8]byte
	for _, field := range []string{c.Service, c.Workspace, c.Key} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(field))
	}
	return Digest(h.Sum(nil)[:16])
}
