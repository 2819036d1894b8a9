package node

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/peer"
)

const (
	factBrittle = "brittle"
	// brittleTick is how often an instance checks which services are brittle.
	brittleTick = 100 * time.Millisecond
	// brittleNoticeInterval is the time between two notices of a service that stays brittle, over all instances: several times
	// within the time for which a service counts as brittle after the latest answer that said so.
	brittleNoticeInterval = time.Second
	// maxBrittleNoticeDelay bounds the random time for which an instance of a large fleet keeps a notice. Endpoints may let
	// fewer requests wait from two seconds after they begin to be brittle.
	maxBrittleNoticeDelay = 500 * time.Millisecond
	// senderRetention is how long an unreachable instance keeps its places at brittle endpoints, since it may be sending.
	// Partitions of seconds must not let both sides use the places of the other; those of an instance that has crashed are
	// unused meanwhile.
	senderRetention = 30 * time.Second
	// maxNoticedTolerance bounds the tolerance that a notice of a peer can state.
	maxNoticedTolerance = 1 << 20
)

// brittleNotice announces that endpoints of a service fall over when they have to reject many requests.
type brittleNotice struct {
	Service   string `cbor:"1,keyasint"`
	Tolerance int    `cbor:"2,keyasint"` // rejections in a second
	AgeMs     int64  `cbor:"3,keyasint"` // since the latest answer that said so
}

// brittleServices notifies the peers of brittle services and logs when they begin and end.
type brittleServices struct {
	n *Node

	mu     sync.Mutex
	dueAt  map[string]time.Time // by service: the next notice of this instance
	known  map[string]int       // by service: the tolerance at the latest tick
	facts  int                  // published so far
	jitter func(time.Duration) time.Duration
}

func newBrittleServices(n *Node) *brittleServices {
	return &brittleServices{n: n, dueAt: map[string]time.Time{}, known: map[string]int{}, jitter: rand.N[time.Duration]}
}

// tick updates the members among which places are divided and publishes the notices that are due.
func (b *brittleServices) tick(context.Context) {
	now := time.Now()
	b.n.fleet.SetMembers(b.n.settings.Name, b.n.members.sending(now), now)
	current := b.n.fleet.Brittle(now)
	b.logChanges(current)
	if batch, fact := b.due(current, len(b.n.memberIDs()) > largeFleet, now); len(batch) > 0 {
		b.n.publishFor(fmt.Sprintf("%s/%s/%d", factBrittle, b.n.process, fact), batch, noticeLifetime)
	}
}

// due returns the notices that are due and the number of the fact to publish them in. delayed is set if peers may say the
// same meanwhile.
func (b *brittleServices) due(current map[string]fleet.Brittle, delayed bool, now time.Time) (batch []brittleNotice, fact int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.dueAt, func(service string, _ time.Time) bool { _, ok := current[service]; return !ok })
	for service, info := range current {
		if info.Age < 0 || info.Age >= brittleNoticeInterval {
			continue // only peers have been told of late
		}
		at, known := b.dueAt[service]
		if !known {
			at = now
			if delayed {
				at = now.Add(b.jitter(maxBrittleNoticeDelay))
			}
			b.dueAt[service] = at
		}
		if at.After(now) || len(batch) == maxNotices {
			continue
		}
		b.dueAt[service] = b.next(now)
		batch = append(batch, brittleNotice{service, info.Tolerance, info.Age.Milliseconds()})
	}
	if len(batch) > 0 {
		b.facts++
	}
	return batch, b.facts % noticeFacts
}

// next returns when the next notice of a service is due after one of this instance or a peer.
func (b *brittleServices) next(now time.Time) time.Time {
	return now.Add(brittleNoticeInterval + b.jitter(maxBrittleNoticeDelay))
}

func (b *brittleServices) receive(f peer.Fact) {
	var items []brittleNotice
	if err := cbor.Unmarshal(f.Value, &items); err != nil {
		b.n.log.WithError(err).WithField("peer", f.Origin).Warn("notices of brittle services from peer could not be decoded")
		return
	}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, item := range items {
		if item.Tolerance <= 0 || item.AgeMs < 0 {
			continue
		}
		b.dueAt[item.Service] = b.next(now)
		b.n.fleet.MarkBrittle(item.Service, min(item.Tolerance, maxNoticedTolerance), time.Duration(min(item.AgeMs, time.Minute.Milliseconds()))*time.Millisecond, now)
	}
}

// logChanges logs which services have begun or ended to be brittle since the latest tick.
func (b *brittleServices) logChanges(current map[string]fleet.Brittle) {
	for _, service := range slices.Sorted(maps.Keys(current)) {
		if tolerance := current[service].Tolerance; b.known[service] != tolerance {
			b.known[service] = tolerance
			b.n.log.WithFields(logrus.Fields{"service": service, "rejections_per_s": tolerance}).Info("service is brittle; its requests are bounded by the free slots")
		}
	}
	maps.DeleteFunc(b.known, func(service string, _ int) bool {
		_, ok := current[service]
		if !ok {
			b.n.log.WithField("service", service).Info("service is no longer brittle")
		}
		return !ok
	})
	b.n.metrics.scope.SubScope("brittle").Gauge("services").Update(float64(len(current)))
}
