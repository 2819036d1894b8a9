package config

import (
	"context"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/peer"
)

// startAsks is the number of peers asked in each failure domain at the start; one of them may be starting itself.
const startAsks = 2

// start finds the accepted configuration and puts it in force. It returns false when ctx ended first.
func (d *Distributor) start(ctx context.Context) bool {
	begin := time.Now()
	d.mu.Lock()
	d.begin = begin
	d.mu.Unlock()
	s := newStartup()
	retry := d.backoff()
	for {
		domains := d.ask(ctx, s)
		if s.complete(domains, time.Since(begin) >= d.opts.Timing.StartWait) && d.startLoad(ctx) {
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

// startLoad loads the highest revision seen, and a lower one only when a later round of answers shows no higher.
func (d *Distributor) startLoad(ctx context.Context) bool {
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

// ask puts the question for the head to the store and to peers of all failure domains at once and waits for the
// answers. It returns the number of failure domains that have other members.
func (d *Distributor) ask(ctx context.Context, s *startup) int {
	var mu sync.Mutex // protects s
	var wg sync.WaitGroup
	wg.Go(func() {
		ok := d.poll(ctx)
		mu.Lock()
		defer mu.Unlock()
		s.store = s.store || ok
	})
	domains := d.startPeers()
	for domain, members := range domains {
		for _, m := range members {
			wg.Go(func() {
				r, ready, err := d.askHead(ctx, m)
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
				s.peer(domain, ready)
			})
		}
	}
	wg.Wait()
	return len(domains)
}

// startPeers picks random peers of each failure domain.
func (d *Distributor) startPeers() map[string][]string {
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
		if len(domains[m.FailureDomain]) < startAsks {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m.ID)
		}
	}
	return domains
}
