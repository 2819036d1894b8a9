package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/era"
	"github.com/trefoillug/trefoillug/objstore"
)

// modelStore is a store with one object that can be restored from a copy of itself. Its versions are revisions of the
// whole store, so that they are given out again.
type modelStore struct {
	mu       sync.Mutex
	revision uint64
	object   objstore.Object
	past     []pastState
	era      uint64
	run      uint64 // number of the process; a connection ends with it
	away     bool
}

// put writes the object if its version is ifVersion. The caller holds s.mu.
func (s *modelStore) put(value []byte, ifVersion uint64) (uint64, error) {
	if s.object.Version != ifVersion {
		return 0, objstore.ErrConflict
	}
	s.past = append(s.past, pastState{time.Now(), s.revision, s.object})
	s.revision++
	s.object = objstore.Object{Version: s.revision, Value: value}
	return s.revision, nil
}

func (s *modelStore) raise(by uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.past = append(s.past, pastState{time.Now(), s.revision, s.object})
	s.revision += by
}

func (s *modelStore) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.run++
}

// restore sets the store back to its state at a time. Changes of other objects raise the revision before the first call.
func (s *modelStore) restore(to time.Time, raise uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.past) > 0 && s.past[len(s.past)-1].at.After(to) {
		last := s.past[len(s.past)-1]
		s.revision, s.object, s.past = last.revision, last.object, s.past[:len(s.past)-1]
	}
	s.revision += raise
	s.away = false
	s.era++
}

// modelClient is the client of one process, as platform.Records.
type modelClient struct {
	objstore.Store // nil; for the methods that are not called
	store          *modelStore
	eras           *era.Tracker
	statesEra      bool

	mu          sync.Mutex
	rng         *rand.Rand
	frozenUntil time.Time
	dead        bool
	lossy       bool
	latency     time.Duration // longest time of a message
	isOpen      bool
	run         uint64 // of the store that the open connection leads to
	connections uint64
}

func (c *modelClient) opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connections
}

func (c *modelClient) isFrozen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.frozenUntil)
}

// thaw waits while the process is frozen.
func (c *modelClient) thaw() {
	for c.isFrozen() {
		c.mu.Lock()
		d := time.Until(c.frozenUntil)
		c.mu.Unlock()
		time.Sleep(d)
	}
}

func (c *modelClient) draw(n time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rng.Int64N(int64(n) + 1))
}

func (c *modelClient) travel() {
	c.mu.Lock()
	latency := c.latency
	c.mu.Unlock()
	time.Sleep(time.Millisecond + c.draw(latency))
	c.thaw()
}

// connect returns the number of the store's process that the connection leads to.
func (c *modelClient) connect() (uint64, error) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.store.away || c.dead {
		return 0, objstore.ErrUnavailable
	}
	if !c.isOpen || c.run != c.store.run {
		c.isOpen, c.run = true, c.store.run
		c.connections++
	}
	return c.run, nil
}

// errLost is the error of a call whose answer does not arrive.
var errLost = errors.New("no answer")

// call makes a call of the store, which serve carries out. In a lossy network it may take effect without an answer, or
// late if it is a write.
func (c *modelClient) call(isWrite bool, serve func() era.Answer) error {
	c.thaw()
	call := c.eras.Begin()
	c.thaw()
	run, err := c.connect()
	if err != nil {
		return err
	}
	c.mu.Lock()
	isLost, isLate := c.lossy && c.rng.IntN(2) == 0, isWrite && c.rng.IntN(2) == 0
	c.mu.Unlock()
	if isLost && isLate {
		time.AfterFunc(c.draw(maxEffectDelay), func() {
			c.store.mu.Lock()
			defer c.store.mu.Unlock()
			if c.store.run == run {
				serve()
			}
		})
		time.Sleep(modelCallTimeout)
		c.thaw()
		return errLost
	}
	c.travel()
	c.store.mu.Lock()
	if c.store.run != run || c.store.away {
		c.store.mu.Unlock()
		return errLost
	}
	answer := serve()
	answer.Stated, answer.IsStated = c.store.era, c.statesEra
	c.store.mu.Unlock()
	if isLost {
		time.Sleep(modelCallTimeout)
		c.thaw()
		return errLost
	}
	c.travel()
	return call.End(answer)
}

func (c *modelClient) Get(context.Context, string) (o objstore.Object, err error) {
	if err := c.call(false, func() era.Answer { o = c.store.object; return era.Answer{} }); err != nil {
		return objstore.Object{}, errors.Join(objstore.ErrUnavailable, err)
	}
	c.thaw()
	if o.Version == 0 {
		return objstore.Object{}, objstore.ErrNotFound
	}
	return o, nil
}

func (c *modelClient) Put(_ context.Context, _ string, value []byte, ifVersion uint64) (uint64, error) {
	var version uint64
	var conflict error
	err := c.call(true, func() era.Answer {
		version, conflict = c.store.put(value, ifVersion)
		return era.Answer{Revision: version}
	})
	c.thaw()
	switch {
	case errors.Is(err, objstore.ErrUnavailable):
		return 0, err
	case err != nil:
		return 0, errors.Join(objstore.ErrUnknownResult, err)
	}
	return version, conflict
}

// follow makes the calls of a feed, which show the revision of the store.
func (c *modelClient) follow(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(500*time.Millisecond + c.draw(time.Second))
		_ = c.call(false, func() era.Answer { return era.Answer{Revision: c.store.revision, IsCurrent: true} })
	}
}
