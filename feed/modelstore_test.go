package feed_test

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/era"
	"github.com/trefoillug/trefoillug/feed"
)

var errReset = errors.New("connection reset")

// modelStore is a store of one kind that can be restored from a copy of itself.
type modelStore struct {
	mu       sync.Mutex
	revision uint64
	history  []feed.Event // all changes, oldest first
	floor    uint64       // watches from before this revision fail
	era      uint64
	run      uint64 // number of the process; a connection ends with it
	away     bool
	changed  chan struct{}
	reached  []reachedRevision // oldest first
}

// reachedRevision is when the store of the present run reached a revision.
type reachedRevision struct {
	at       time.Time
	revision uint64
}

// staleRevision returns a revision that the store has reached some time ago. The caller holds s.mu.
func (s *modelStore) staleRevision() uint64 {
	i := len(s.reached) - 1
	for i > 0 && time.Since(s.reached[i].at) < maxLag {
		i--
	}
	return s.reached[i].revision
}

// maxLag is how far answers that may be stale are behind.
const maxLag = 3 * time.Second

func (s *modelStore) update(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
	s.reached = append(s.reached, reachedRevision{time.Now(), s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

// objects returns the objects by name. The caller holds s.mu.
func (s *modelStore) objects() map[string]feed.Object {
	all := map[string]feed.Object{}
	for _, e := range s.history {
		if e.Deleted {
			delete(all, e.Object.Name)
		} else {
			all[e.Object.Name] = e.Object
		}
	}
	return all
}

// write puts an object, or removes it if spec is empty. The caller holds s.mu.
func (s *modelStore) write(name, spec string) {
	old, exists := s.objects()[name]
	if spec == "" && !exists {
		return
	}
	s.revision++
	if spec == "" {
		s.history = append(s.history, feed.Event{Object: old, Deleted: true})
		s.history[len(s.history)-1].Object.CreatedRevision = s.revision // stands for the revision of the deletion
		return
	}
	s.history = append(s.history, feed.Event{Object: feed.Object{Name: name, Revision: s.revision, Spec: []byte(spec)}})
}

// at returns the revision of an event.
func at(e feed.Event) uint64 {
	if e.Deleted {
		return e.Object.CreatedRevision
	}
	return e.Object.Revision
}

// restore replaces the state by the one at a revision. Writers write again what is lost, if rewrites is set, after changes
// of other kinds have raised the revision.
func (s *modelStore) restore(revision, raise uint64, rewrites bool) {
	s.update(func() {
		before := s.objects()
		s.history = slices.DeleteFunc(s.history, func(e feed.Event) bool { return at(e) > revision })
		s.revision, s.floor = revision, min(s.floor, revision)
		s.era++
		s.run++
		s.away = false
		s.reached = []reachedRevision{{time.Now(), revision}}
		s.revision += raise
		if !rewrites {
			return
		}
		after := s.objects()
		for _, name := range slices.Sorted(maps.Keys(before)) {
			if string(before[name].Spec) != string(after[name].Spec) {
				s.write(name, string(before[name].Spec))
			}
		}
	})
}

// link is the state of the network between an instance and the store.
type link int

const (
	linkOpen link = iota
	linkRefused
	linkHanging // nothing arrives, until it is open again
)

// modelConn is a connection to a run of the store.
type modelConn struct{ opened, run, generation uint64 }

// modelMoment is moment of package platform.
type modelMoment struct{ began, opened uint64 }

// modelClient is the client of one process, as platform.Store with its continuity.
type modelClient struct {
	store     *modelStore
	eras      *era.Tracker
	statesEra bool
	pageSize  int
	onList    func()

	mu         sync.Mutex
	rng        *rand.Rand
	link       link
	latency    time.Duration // longest time of a message
	changed    chan struct{}
	generation uint64 // connections of earlier ones are broken
	idle       []*modelConn
	ticks      uint64
	answered   uint64
	isKnown    bool
}

func (c *modelClient) set(fn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn()
	close(c.changed)
	c.changed = make(chan struct{})
}

// take returns an idle connection, or nil.
func (c *modelClient) take() *modelConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	i := c.rng.IntN(len(c.idle))
	conn := c.idle[i]
	c.idle = slices.Delete(c.idle, i, i+1)
	return conn
}

// dialTimeout is the time in which package platform opens a connection.
const dialTimeout = time.Second

func (c *modelClient) open(ctx context.Context) (*modelConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := c.travel(ctx, nil); err != nil {
		return nil, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.store.away {
		return nil, errReset
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ticks++
	return &modelConn{c.ticks, c.store.run, c.generation}, nil
}

// travel waits until a message has passed the link.
func (c *modelClient) travel(ctx context.Context, conn *modelConn) error {
	c.mu.Lock()
	d := time.Millisecond + time.Duration(c.rng.Int64N(int64(c.latency)+1))
	c.mu.Unlock()
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	for hung := false; ; hung = true {
		c.mu.Lock()
		state, changed, generation := c.link, c.changed, c.generation
		c.mu.Unlock()
		switch {
		case conn != nil && conn.generation != generation, state == linkRefused:
			return errReset
		case state == linkOpen && hung && conn != nil:
			c.store.mu.Lock()
			defer c.store.mu.Unlock()
			if conn.run != c.store.run {
				return errReset
			}
			return nil
		case state == linkOpen:
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// over sends a call over a connection. serve is called with the store locked until it returns true.
func (c *modelClient) over(ctx context.Context, conn *modelConn, serve func() bool) error {
	if err := c.travel(ctx, conn); err != nil {
		return err
	}
	for {
		c.mu.Lock()
		linkChanged, broken := c.changed, c.link == linkRefused || conn.generation != c.generation
		c.mu.Unlock()
		c.store.mu.Lock()
		changed := c.store.changed
		if broken || conn.run != c.store.run {
			c.store.mu.Unlock()
			return errReset
		}
		done := serve()
		c.store.mu.Unlock()
		if done {
			return c.travel(ctx, conn)
		}
		select {
		case <-changed:
		case <-linkChanged:
		case <-time.After(100 * time.Millisecond): // for the end of the wait
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// call makes a call. Like net/http it repeats a call that failed over a connection that was idle. With mustProve it returns
// feed.ErrDiscontinuous if the connection was opened after the latest answer, as platform.Store.Watch does.
func (c *modelClient) call(ctx context.Context, mustProve bool, serve func() bool) (m modelMoment, err error) {
	c.mu.Lock()
	c.ticks++
	m.began = c.ticks
	c.mu.Unlock()
	for {
		conn := c.take()
		reused := conn != nil
		if !reused {
			if conn, err = c.open(ctx); err != nil {
				return m, err
			}
		}
		m.opened = conn.opened
		if mustProve && !c.proves(m) {
			return m, feed.ErrDiscontinuous
		}
		err = c.over(ctx, conn, serve)
		if err == nil {
			c.mu.Lock()
			c.idle = append(c.idle, conn)
			c.mu.Unlock()
			return m, nil
		}
		if ctx.Err() != nil || !reused {
			return m, err
		}
	}
}

func (c *modelClient) record(m modelMoment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered, c.isKnown = max(m.began, m.opened), true
}

func (c *modelClient) proves(m modelMoment) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isKnown || m.opened <= c.answered
}

func (c *modelClient) List(ctx context.Context, _ string) ([]feed.Object, uint64, error) {
	number := c.eras.Number()
	var all []feed.Object
	var revision uint64
	var first modelMoment
	for after := ""; ; after = all[len(all)-1].Name {
		var page []feed.Object
		var answer era.Answer
		var truncated bool
		call := c.eras.Begin()
		m, err := c.call(ctx, false, func() bool {
			answer = era.Answer{Stated: c.store.era, IsStated: c.statesEra, Revision: c.store.revision, IsCurrent: true}
			objects := c.store.objects()
			page = nil
			for _, name := range slices.Sorted(maps.Keys(objects)) {
				if name > after {
					page = append(page, objects[name])
				}
			}
			if truncated = len(page) > c.pageSize; truncated {
				page = page[:c.pageSize]
			}
			return true
		})
		if err != nil {
			return nil, 0, err
		}
		if err := call.End(answer); err != nil {
			return nil, 0, err
		}
		if after == "" {
			revision, first = answer.Revision, m
		}
		all = append(all, page...)
		if c.eras.Number() != number {
			return nil, 0, era.ErrChanged
		}
		if !truncated {
			break
		}
	}
	c.record(first)
	c.onList()
	return all, revision, nil
}

func (c *modelClient) Watch(ctx context.Context, w feed.Watch) ([]feed.Event, uint64, error) {
	number := c.eras.Number()
	call := c.eras.Begin()
	var events []feed.Event
	var answer era.Answer
	var gone bool
	var revision uint64
	var end time.Time // the store waits from the arrival of the request
	m, err := c.call(ctx, true, func() bool {
		if end.IsZero() {
			end = time.Now().Add(w.Wait)
		}
		answer = era.Answer{Stated: c.store.era, IsStated: c.statesEra}
		if gone = w.After < c.store.floor || w.After > c.store.revision; gone {
			return true
		}
		newest := c.store.revision
		if answer.IsStale = w.MayBeStale; !w.MayBeStale {
			answer.Revision = newest
		} else {
			newest = c.store.staleRevision()
		}
		events, revision = nil, newest
		for _, e := range c.store.history {
			if at(e) > w.After && at(e) <= newest {
				events = append(events, e)
			}
		}
		return len(events) > 0 || !time.Now().Before(end)
	})
	if err != nil {
		return nil, 0, err
	}
	if err := call.End(answer); err != nil {
		return nil, 0, err
	}
	if gone {
		return nil, 0, feed.ErrHistoryExpired
	}
	if !w.MayBeStale && revision < w.After {
		c.eras.Restored(number, era.CauseRevisions)
		return nil, 0, era.ErrChanged
	}
	if !c.proves(m) {
		return nil, 0, feed.ErrDiscontinuous
	}
	c.record(m)
	return events, revision, nil
}
