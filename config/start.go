package config

import (
	"context"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/peer"
)

// startPeersPerDomain is the number of peers that a starting instance asks in each failure domain. With two, one of
// them may be starting as well.
const startPeersPerDomain = 2

// start finds the accepted configuration and puts it in force. It returns false if ctx ended first.
func (d *Distributor) start(ctx context.Context) bool {
	begin := time.Now()
	d.mu.Lock()
	d.startedAt = begin
	d.mu.Unlock()
	s := newStartup()
	retry := d.backoff()
	for {
		domains := d.queryHeads(ctx, s)
		if s.complete(domains, time.Since(begin) >= d.opts.Timing.StartPeerWait) && d.loadNewest(ctx) {
			break
		}
		if !pause(ctx, min(retry.next(), time.Second)) {
			return false
		}
	}
	d.mu.Lock()
	d.isReady = true
	empty := d.tracker.inForce == nil
	d.mu.Unlock()
	if empty {
		d.opts.Apply(0, nil)
	}
	close(d.ready)
	d.announce()
	return true
}

// loadNewest loads the highest revision reported so far. It returns false while that revision is not in force, so that
// start asks the sources again instead of using a lower revision.
func (d *Distributor) loadNewest(ctx context.Context) bool {
	d.mu.Lock()
	pending := d.tracker.pending
	d.mu.Unlock()
	if pending == nil {
		return !d.isBehind()
	}
	self, members := d.opts.Mesh.Self(), d.opts.Mesh.Members()
	d.load(ctx, pending, d.announcers(self, members, pending.revision(), maxAnnouncers))
	return d.catchUp(ctx)
}

// queryHeads asks the store and peers in all failure domains for the head concurrently, and waits for all responses. It
// returns the number of failure domains that have other members.
func (d *Distributor) queryHeads(ctx context.Context, s *startup) int {
	var mu sync.Mutex // protects s
	var wg sync.WaitGroup
	wg.Go(func() {
		ok := d.poll(ctx)
		mu.Lock()
		defer mu.Unlock()
		s.storeAnswered = s.storeAnswered || ok
	})
	domains := d.selectStartPeers()
	for domain, members := range domains {
		for _, m := range members {
			wg.Go(func() {
				r, ready, err := d.requestHead(ctx, m)
				if err != nil {
					return
				}
				if r != nil {
					d.mu.Lock()
					d.tracker.offer(r)
					d.mu.Unlock()
				}
				mu.Lock()
				defer mu.Unlock()
				s.recordPeer(domain, ready)
			})
		}
	}
	wg.Wait()
	return len(domains)
}

// selectStartPeers selects random peers in each failure domain, by failure domain.
func (d *Distributor) selectStartPeers() map[string][]string {
	self := d.opts.Mesh.Self()
	var others []peer.Member
	for _, m := range d.opts.Mesh.Members() {
		if m.ID != self.ID && !m.Leaving {
			others = append(others, m)
		}
	}
	d.mu.Lock()
	d.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	d.mu.Unlock()
	domains := map[string][]string{}
	for _, m := range others {
		if len(domains[m.FailureDomain]) < startPeersPerDomain {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m.ID)
		}
	}
	return domains
}
