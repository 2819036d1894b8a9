package config

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/trefoillug/trefoillug/objstore"
)

// publishBackoff is the delay before a store call is repeated. Calls are repeated until the caller's context ends.
const publishBackoff = 200 * time.Millisecond

// ConflictError reports that another publish was accepted first. Nothing of the failed publish was applied.
type ConflictError struct {
	BaseRevision     uint64 // revision on which this publish was based
	AcceptedRevision uint64 // revision that was found to be accepted instead
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("based on revision %d, but revision %d has been accepted meanwhile; nothing was applied", e.BaseRevision, e.AcceptedRevision)
}

// Result is the outcome of a publish.
type Result struct {
	Revision uint64 // accepted revision that contains the services
	Changed  bool   // false if the accepted configuration already contained them unchanged
}

// Publisher writes configuration to the object API.
type Publisher struct {
	store objstore.Store
}

// NewPublisher returns a publisher that writes to store.
func NewPublisher(store objstore.Store) *Publisher { return &Publisher{store: store} }

// Publish merges services into the accepted configuration and removes the services named in remove. It writes both with
// one update of the head, on the condition that the head has not changed since it was read. Failed calls are repeated
// until ctx ends. Publish returns a *ConflictError if another publish was accepted in between, an error that wraps
// objstore.ErrUnavailable if the configuration was not changed, and one that wraps objstore.ErrUnknownResult if ctx
// ended before the result of the update was known.
func (p *Publisher) Publish(ctx context.Context, services []Service, remove []string) (Result, error) {
	base, version, err := p.readHead(ctx)
	if err != nil {
		return Result{}, err
	}
	d, err := p.merge(ctx, base, services, remove)
	if err != nil {
		return Result{}, err
	}
	next := base.next(rand.Text())
	next.Shards = d.digests
	if next.Shards == base.Shards {
		return Result{Revision: base.Revision}, nil
	}
	for key, object := range d.objects {
		if err := p.putImmutable(ctx, key, object); err != nil {
			return Result{}, err
		}
	}
	revision, err := p.writeHead(ctx, &next, version)
	return Result{Revision: revision, Changed: err == nil}, err
}

// readHead returns the accepted head and its object version, or zero values if there is no head yet.
func (p *Publisher) readHead(ctx context.Context) (Head, uint64, error) {
	o, err := p.get(ctx, HeadKey)
	if errors.Is(err, objstore.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := decodeHead(o.Value)
	if err != nil {
		return Head{}, 0, err
	}
	return *h, o.Version, nil
}

// get repeats a read until it succeeds, returns objstore.ErrNotFound, or ctx ends.
func (p *Publisher) get(ctx context.Context, key string) (objstore.Object, error) {
	for {
		o, err := p.store.Get(ctx, key)
		if err == nil || errors.Is(err, objstore.ErrNotFound) || !pause(ctx, publishBackoff) {
			return o, err
		}
	}
}

func (p *Publisher) getVerified(ctx context.Context, key string, d Digest) ([]byte, error) {
	o, err := p.get(ctx, key)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", key, err)
	}
	return o.Value, verify(o.Value, d)
}

// putImmutable writes an object whose key contains its digest. A conflict counts as success, because an existing object
// with this key has the same content.
func (p *Publisher) putImmutable(ctx context.Context, key string, object []byte) error {
	for {
		_, err := p.store.Put(ctx, key, object, 0)
		if err == nil || errors.Is(err, objstore.ErrConflict) {
			return nil
		}
		if !pause(ctx, publishBackoff) {
			// The head has not changed, so objects that were written are not in force.
			return fmt.Errorf("%w: write %s: %w", objstore.ErrUnavailable, key, context.Cause(ctx))
		}
	}
}

// writeHead replaces the head of the given object version. If the response is lost, it reads the head back and finds
// out by the write ID whether the write took effect.
func (p *Publisher) writeHead(ctx context.Context, next *Head, version uint64) (uint64, error) {
	object, err := encoder.Marshal(next)
	if err != nil {
		return 0, err
	}
	mayHaveTakenEffect := false // an earlier attempt may have been applied
	for {
		_, err := p.store.Put(ctx, HeadKey, object, version)
		if err == nil {
			return next.Revision, nil
		}
		if !errors.Is(err, objstore.ErrUnavailable) {
			mayHaveTakenEffect = true
			revision, resolved, err := p.resolveWrite(ctx, next, version)
			if resolved {
				return revision, err
			}
		}
		if !pause(ctx, publishBackoff) {
			return 0, headError(next, mayHaveTakenEffect, err)
		}
	}
}

func headError(next *Head, sent bool, err error) error {
	if sent {
		return fmt.Errorf("%w: publish of revision %d: %w", objstore.ErrUnknownResult, next.Revision, err)
	}
	return fmt.Errorf("%w: publish of revision %d: %w", objstore.ErrUnavailable, next.Revision, err)
}

// resolveWrite reads the head back to determine the result of a write whose response was lost. It returns the revision
// and whether the result is certain. The result stays uncertain while the store does not answer or returns a head no
// newer than the one this publish is based on: either the write has not taken effect yet, or the read is stale.
func (p *Publisher) resolveWrite(ctx context.Context, next *Head, version uint64) (uint64, bool, error) {
	o, err := p.store.Get(ctx, HeadKey)
	if err != nil || o.Version <= version {
		return 0, false, nil
	}
	h, err := decodeHead(o.Value)
	if err != nil {
		return 0, false, nil
	}
	if revision, found := h.revisionOf(next.WriteID); found {
		return revision, true, nil
	}
	if h.Revision > next.Revision+recentWrites {
		err := fmt.Errorf("%w: revision %d no longer lists the writes after %d", objstore.ErrUnknownResult, h.Revision, next.Revision-1)
		return 0, true, err
	}
	return 0, true, &ConflictError{BaseRevision: next.Revision - 1, AcceptedRevision: h.Revision}
}

// draft holds the shards and objects of a merge before the head is written.
type draft struct {
	digests [ShardCount]Digest
	objects map[string][]byte // objects to write, by key
	shards  map[int]*shard    // shards read for the merge, by index
}

func (p *Publisher) merge(ctx context.Context, base Head, services []Service, remove []string) (*draft, error) {
	d := &draft{digests: base.Shards, objects: map[string][]byte{}, shards: map[int]*shard{}}
	for i := range services {
		if err := p.add(ctx, d, services[i]); err != nil {
			return nil, err
		}
	}
	if err := p.removeAll(ctx, d, services, remove); err != nil {
		return nil, err
	}
	return d, d.encodeShards()
}

func (p *Publisher) shard(ctx context.Context, d *draft, i int) (*shard, error) {
	if s := d.shards[i]; s != nil {
		return s, nil
	}
	s := &shard{}
	if digest := d.digests[i]; digest != (Digest{}) {
		object, err := p.getVerified(ctx, shardKey(digest), digest)
		if err != nil {
			return nil, err
		}
		if s, err = decodeShard(object); err != nil {
			return nil, err
		}
	}
	d.shards[i] = s
	return s, nil
}

func (p *Publisher) add(ctx context.Context, d *draft, service Service) error {
	serviceShard, err := p.shard(ctx, d, shardOf(service.Name))
	if err != nil {
		return err
	}
	old, found := serviceShard.get(service.Name)
	if service.Move != nil {
		if service.Move, err = p.checkMove(ctx, service.Name, *service.Move, old); err != nil {
			return err
		}
	}
	object, err := encodeService(&service)
	if err != nil {
		return err
	}
	digest := digestOf(object)
	if !found || digest != old {
		serviceShard.set(service.Name, digest)
		d.objects[serviceKey(digest)] = object
	}
	return nil
}

// checkMove returns a move with its start. published is the digest of the service in the accepted configuration, zero if
// it has none. A move that is published again without a start field keeps its start. checkMove returns an error if
// another move has used the same ID, since its outcome would be taken for that of this one.
func (p *Publisher) checkMove(ctx context.Context, service string, m Move, published Digest) (*Move, error) {
	old, err := p.publishedMove(ctx, published)
	if err != nil {
		return nil, err
	}
	if old != nil && old.ID == m.ID {
		if old.From != m.From || old.To != m.To {
			return nil, fmt.Errorf("service %q: move.id: %q is the move from %q to %q; set another id", service, m.ID, old.From, old.To)
		}
		if m.StartAtPublish {
			m.Start = old.Start
		}
		if m.Deadline.Equal(old.Deadline) {
			return &m, nil
		}
	}
	_, err = p.get(ctx, MoveOutcomeKey(service, m.ID))
	switch {
	case errors.Is(err, objstore.ErrNotFound):
		return &m, nil
	case err != nil:
		return nil, fmt.Errorf("read the outcome of move %q of service %q: %w", m.ID, service, err)
	}
	return nil, fmt.Errorf("service %q: move.id: the move %q has ended already; set another id", service, m.ID)
}

// MoveOutcomeKey returns the key of the object that records the outcome of a move.
func MoveOutcomeKey(service, id string) string { return "move/" + service + "/" + id }

// publishedMove returns the move of a published service, and nil if the digest is zero or the service has no move.
func (p *Publisher) publishedMove(ctx context.Context, service Digest) (*Move, error) {
	if service == (Digest{}) {
		return nil, nil
	}
	object, err := p.getVerified(ctx, serviceKey(service), service)
	if err != nil {
		return nil, err
	}
	s, err := decodeService(object)
	if err != nil {
		return nil, err
	}
	return s.Move, nil
}

func (p *Publisher) removeAll(ctx context.Context, d *draft, services []Service, remove []string) error {
	var unknown []string
	for _, s := range services {
		for _, name := range remove {
			if s.Name == name {
				return fmt.Errorf("service %q is both published and removed", name)
			}
		}
	}
	for _, name := range remove {
		sh, err := p.shard(ctx, d, shardOf(name))
		if err != nil {
			return err
		}
		if !sh.remove(name) {
			unknown = append(unknown, name)
		}
	}
	if len(unknown) > 0 {
		return fmt.Errorf("not in the accepted configuration: %s", strings.Join(unknown, ", "))
	}
	return nil
}

func (d *draft) encodeShards() error {
	for i, sh := range d.shards {
		if len(sh.Entries) == 0 {
			d.digests[i] = Digest{}
			continue
		}
		object, err := encoder.Marshal(sh)
		if err != nil {
			return err
		}
		digest := digestOf(object)
		if digest != d.digests[i] {
			d.digests[i] = digest
			d.objects[shardKey(digest)] = object
		}
	}
	return nil
}

// pause waits for d. It returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
