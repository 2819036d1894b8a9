package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/trefoillug/trefoillug/upstream"
)

// instanceRamp is the number of requests that may wait for an answer of an instance after a pause before it gets all again.
const instanceRamp = 8

// NewInstance returns an endpoint that is in no table: another instance, which sends requests on to endpoints. pool holds
// the connections to it.
func NewInstance(id, zone, address string, pool *upstream.Pool) *Endpoint {
	return &Endpoint{
		Entry: Entry{ID: id, Zone: zone, Address: address, Slots: instanceRamp}, Pool: pool,
		leaving: make(chan struct{}), isInstance: true,
	}
}

// IsInstance reports whether the endpoint is another instance, which sends requests on.
func (e *Endpoint) IsInstance() bool { return e.isInstance }

// Pause holds back requests to an instance for a time, and lets them through step by step afterwards.
func (e *Endpoint) Pause(d time.Duration, now time.Time) {
	if d > 0 {
		e.gate.pause(now.Add(d+rand.N(d/pauseJitter+1)), now)
	}
}
