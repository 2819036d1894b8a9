package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

const (
	// callers is the number of callers for each instance; one in five belongs to the workspace with a quota.
	callers = 12
	// deadline is what callers wait for an answer.
	deadline = 5 * time.Second
	// pause is the mean time between the requests of a caller.
	pause = 60 * time.Millisecond
	// moveShare is the share of requests before which a caller goes to another instance.
	moveShare = 0.05
	// newsShare is the share of requests that use a route or a key of a configuration change.
	newsShare = 0.1
	// missesAllowed is the number of questions without an answer of readiness that take an instance out of rotation.
	missesAllowed = 2
)

// balancer keeps the instances that get new connections.
type balancer struct {
	mu       sync.Mutex
	rotation []*instance
}

func (b *balancer) run(ctx context.Context, all []*instance) {
	misses := make([]int, len(all))
	for ctx.Err() == nil {
		var rotation []*instance
		for n, i := range all {
			misses[n]++
			if i.isReady() {
				misses[n] = 0
			}
			if misses[n] < missesAllowed {
				rotation = append(rotation, i)
			}
		}
		if len(rotation) == 0 {
			rotation = all
		}
		b.mu.Lock()
		b.rotation = rotation
		b.mu.Unlock()
		sleep(ctx, time.Second)
	}
}

func (b *balancer) pick(rng *rand.Rand) *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rotation[rng.IntN(len(b.rotation))]
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// caller sends requests one after the other, on an open connection as long as it lasts.
type caller struct {
	name  string
	key   string
	world *world
	rng   *rand.Rand
	http  *http.Client
	at    *instance
	sent  int
}

func newCaller(w *world, n int, seed uint64) *caller {
	c := &caller{
		name: fmt.Sprintf("%04x", n), key: standin.UsersOpenKey, world: w, rng: rand.New(rand.NewPCG(seed, uint64(n)+1)),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	if n%5 == 4 {
		c.key = standin.UsersKey
	}
	return c
}

func (c *caller) run(ctx context.Context, b *balancer) {
	for ctx.Err() == nil {
		if c.at == nil || c.rng.Float64() < moveShare {
			c.at = b.pick(c.rng)
		}
		a := c.attempt(context.WithoutCancel(ctx), c.call())
		c.world.evidence.addAttempt(a)
		if !a.Whole || a.isRefusal() && a.Status != http.StatusTooManyRequests {
			c.at = nil // repeats reach other instances
		}
		sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(pause)))
	}
	c.http.CloseIdleConnections()
}

// call draws the next request.
func (c *caller) call() standin.UsersCall {
	c.sent++
	call := standin.UsersCall{ID: fmt.Sprintf("%s%08x", c.name, c.sent), Key: c.key, Deadline: deadline}
	switch draw := c.rng.Float64(); {
	case draw < 0.15:
		call.Route, call.Stream = "chat", true
	case draw < 0.4:
		call.Route, call.Stream = "notes", true
	case draw < 0.7:
		call.Route = "book"
	default:
		call.Route = "look"
	}
	if call.Stream {
		call.Prompt, call.Output = 50+c.rng.IntN(400), 100
	}
	if c.key == standin.UsersOpenKey && c.rng.Float64() < newsShare {
		c.useNews(&call)
	}
	return call
}

// useNews lets a call use a route that was added or a key that was taken away.
func (c *caller) useNews(call *standin.UsersCall) {
	e := c.world.evidence
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case len(e.Added) > 0 && c.rng.IntN(2) == 0:
		call.Route, call.Stream = e.Added[len(e.Added)-1].Name, false
	case len(e.Revoked) > 0:
		call.Key = e.Revoked[len(e.Revoked)-1].Name
	}
}

func (c *caller) attempt(ctx context.Context, call standin.UsersCall) (a Attempt) {
	a = Attempt{Call: call, Instance: c.at.machine.Name, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, call.Deadline+time.Second)
	defer cancel()
	defer func() { a.Ended = time.Now() }()
	req, err := call.Request(ctx, c.at.machine.Front)
	if err != nil {
		return a
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.Status, a.Body, a.Whole = resp.StatusCode, string(body), err == nil
	if slices.Contains(resp.Header.Values("Connection"), "close") {
		c.at = nil
	}
	return a
}
