package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

const (
	// deadlyBlocks begins the IDs of the prompt blocks that crash endpoints. No caller's ID begins so.
	deadlyBlocks = "dead"
	// deadlyTime is how long requests with a deadly block come.
	deadlyTime = 10 * time.Second
	// deadlyInterval is the time between two of them.
	deadlyInterval = 350 * time.Millisecond
	// deadlyShare is the share of plans with a deadly block.
	deadlyShare = 0.5
)

// sendDeadlyRequests sends requests with one deadly block to all instances in turn. No two of them are alike.
func (env *environment) sendDeadlyRequests(f Fault) {
	defer env.openSpan(f, "", "")()
	d := DeadlyBlock{ID: fmt.Sprintf("%s%04x", deadlyBlocks, f.Target), Route: "notes", From: time.Now()}
	if f.Target%2 == 1 {
		d.Route = "chat"
	}
	end := env.evidence.addDeadlyBlock(d)
	rng := rand.New(rand.NewPCG(uint64(f.Target), 0))
	for n := 0; time.Since(d.From) < f.For; n++ {
		c := &caller{env: env, target: env.instances[(f.Target+n)%len(env.instances)], http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
		call := standin.PlatformCall{
			ID: fmt.Sprintf("f%03x%08x", f.Target, n), Route: d.Route, Key: standin.PlatformOpenKey, Stream: true, Block: d.ID,
			Prompt: 100 + rng.IntN(400), Output: 50 + rng.IntN(100), Deadline: callDeadline,
		}
		go func() { env.evidence.addAttempt(c.attempt(context.Background(), call)) }()
		time.Sleep(deadlyInterval)
	}
	end(time.Now())
}

// crashByBlock crashes an endpoint that ran a deadly block, unless its lifetime has ended.
func (env *environment) crashByBlock(e *endpoint, worker *standin.PlatformWorker, block string) {
	if e.hasEnded(worker) {
		return
	}
	env.evidence.addCrash(block, time.Now())
	go env.crashEndpoint(e, worker, crashRemovalDelay)
}
