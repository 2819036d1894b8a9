package reachability

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// ProbeInterval is how often Tick is to be called. It adds to the time in which isolation is detected, which is to be about
	// 1 s.
	ProbeInterval = 100 * time.Millisecond
	// maxRounds is the number of rounds of probes that follow each other at once. Two usually decide; a probe that fails for want
	// of descriptors decides nothing.
	maxRounds = 2
	// maxOthers is the number of endpoints that are tried to find out whether one that can't be reached is alone in that. Two that
	// are down at once are common.
	maxOthers = 3
)

// Prober opens connections to endpoints, for requests and to find out whether any can be reached, and records the results. It
// is safe for concurrent use but for Tick.
type Prober struct {
	Tracker *Tracker
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	// Timeout bounds the opening of a connection by a probe, and is far above the time that it takes.
	Timeout time.Duration
	// OnProbes is called with the number of connections that are about to be opened without a request.
	OnProbes func(count int)
}

var errPending = errors.New("the connection is not open yet")

// Open opens a connection to an endpoint and records whether that succeeded. One that is not open within Timeout counts as failed
// until it is, since requests may wait longer for it.
func (p *Prober) Open(ctx context.Context, address string) (net.Conn, error) {
	started := time.Now()
	pending := time.AfterFunc(p.Timeout, func() { p.Tracker.RecordDial(address, errPending, time.Now()) })
	c, err := p.Dial(ctx, address)
	pending.Stop()
	now := time.Now()
	// The deadline of a request may end an attempt too soon to mean anything.
	if !isTimeout(err) || now.Sub(started) >= p.Timeout/2 {
		p.Tracker.RecordDial(address, err, now)
	}
	return c, err
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}

// Check opens a connection to an endpoint, records whether that succeeded, and closes it.
func (p *Prober) Check(ctx context.Context, address string) error {
	c, err := p.Open(ctx, address)
	if err == nil {
		_ = c.Close() // opened only to check the endpoint
	}
	return err
}

// Tick opens connections to some endpoints if that is due, and returns when the results are there.
func (p *Prober) Tick(ctx context.Context) {
	for range maxRounds {
		targets := p.Tracker.ProbeTargets(time.Now())
		if len(targets) == 0 {
			return
		}
		p.probe(ctx, targets)
	}
}

// probe opens a connection to each of the targets at the same time.
func (p *Prober) probe(ctx context.Context, targets []Endpoint) {
	p.OnProbes(len(targets))
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	var probes sync.WaitGroup
	for _, target := range targets {
		probes.Go(func() { _ = p.Check(ctx, target.Address) }) // the result is recorded
	}
	probes.Wait()
}

// ReachesOther reports whether any of the endpoints but the one at the given address accepts a connection. It tries some in
// other zones and of other services first, and is true if there is no other.
func (p *Prober) ReachesOther(ctx context.Context, e Endpoint, all []Endpoint) bool {
	others := slices.DeleteFunc(slices.Clone(all), func(o Endpoint) bool { return o.Address == e.Address })
	different := func(o Endpoint) int {
		count := 0
		if o.Zone != e.Zone {
			count++
		}
		if o.Service != e.Service {
			count++
		}
		return count
	}
	slices.SortStableFunc(others, func(a, b Endpoint) int { return different(b) - different(a) })
	for _, o := range others[:min(maxOthers, len(others))] {
		p.OnProbes(1)
		ctx, cancel := context.WithTimeout(ctx, p.Timeout)
		err := p.Check(ctx, o.Address)
		cancel()
		if err == nil {
			return true
		}
	}
	return len(others) == 0
}
