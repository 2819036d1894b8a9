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
	// callersPerInstance is the number of callers for each instance. One in five uses the workspace with a tight quota.
	callersPerInstance = 12
	// pipeliningCaller is the one among the callers of an instance that sends its requests in pairs.
	pipeliningCaller = 5
	// draftingCaller is the one among the callers of an instance that sends one long stream after the other, without a
	// pause, on its connection until the instance ends that.
	draftingCaller = 7
	// callDeadline is how long callers wait for an answer, and draftDeadline how long they wait for a long stream.
	callDeadline  = 5 * time.Second
	draftDeadline = 12 * time.Second
	// minDraftTokens and maxDraftTokens make streams of 3.6 to 4.8 s, more than half of the grace time.
	minDraftTokens = 600
	maxDraftTokens = 800
	// meanPause is the mean time between the requests of a caller.
	meanPause = 60 * time.Millisecond
	// refusedPause is the mean time after a request that was over a quota, at a site whose callers resume streams.
	refusedPause = 300 * time.Millisecond
	// switchShare is the share of requests before which a caller picks a new instance.
	switchShare = 0.05
	// changedConfigShare is the share of requests that use an added route or a revoked key.
	changedConfigShare = 0.1
	// maxFailedChecks is the number of consecutive failed readiness checks that takes an instance out of rotation.
	maxFailedChecks = 2
)

// balancer is a load balancer. Its rotation holds the instances that get new connections.
type balancer struct {
	mu       sync.Mutex
	rotation []*instance
}

// run checks the readiness of all instances about once a second until ctx is done.
func (b *balancer) run(ctx context.Context, all []*instance) {
	failedChecks := make([]int, len(all))
	for ctx.Err() == nil {
		var rotation []*instance
		for n, i := range all {
			failedChecks[n]++
			if i.isReady() {
				failedChecks[n] = 0
			}
			if failedChecks[n] < maxFailedChecks {
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

// caller sends one request after the other, over the same connection as long as it stays open.
type caller struct {
	name   string
	key    string
	env    *environment
	rng    *rand.Rand
	http   *http.Client
	target *instance
	calls  int
	drafts bool // it is a draftingCaller
}

func newCaller(env *environment, n int, seed uint64) *caller {
	c := &caller{
		name: fmt.Sprintf("%04x", n), key: standin.PlatformOpenKey, env: env, rng: rand.New(rand.NewPCG(seed, uint64(n)+1)),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	c.drafts = n%callersPerInstance == draftingCaller
	if n%5 == 4 && !c.drafts {
		c.key = standin.PlatformLimitedKey
	}
	return c
}

func (c *caller) run(ctx context.Context, b *balancer) {
	for ctx.Err() == nil {
		if c.target == nil || !c.drafts && c.rng.Float64() < switchShare {
			c.target = b.pick(c.rng)
		}
		a := c.attempt(context.WithoutCancel(ctx), c.call())
		c.env.evidence.addAttempt(a)
		if c.env.site.Resumes && a.mayResume() {
			c.target = a.target
			c.resume(ctx, b, a)
		}
		if a.endsVisit() {
			c.target = nil // pick a new instance for the next request
		}
		if c.drafts && a.Status == http.StatusOK && a.Complete {
			continue // a refused caller pauses
		}
		pause := meanPause
		if c.env.site.Resumes && a.Status == http.StatusTooManyRequests {
			pause = refusedPause
		}
		sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(pause)))
	}
	c.http.CloseIdleConnections()
}

// endsVisit reports whether a caller picks a new instance after an attempt.
func (a *Attempt) endsVisit() bool {
	return !a.Complete || a.isRefusal() && a.Status != http.StatusTooManyRequests
}

// call returns the next request, drawn at random.
func (c *caller) call() standin.PlatformCall {
	c.calls++
	call := standin.PlatformCall{ID: fmt.Sprintf("%s%08x", c.name, c.calls), Key: c.key, Deadline: callDeadline}
	if c.drafts {
		call.Route, call.Stream, call.Deadline = standin.PlatformDraftRoute, true, draftDeadline
		call.Prompt, call.Output = 50+c.rng.IntN(400), minDraftTokens+c.rng.IntN(maxDraftTokens-minDraftTokens)
		return call
	}
	s := c.env.site
	switch draw := c.rng.Float64(); {
	case draw < s.Chat:
		call.Route, call.Stream, call.Output = "chat", true, s.output(s.ChatEvents)
	case draw < s.Chat+s.Notes:
		call.Route, call.Stream, call.Output = "notes", true, s.output(s.NotesEvents)
	case draw < s.Chat+s.Notes+s.Book:
		call.Route = "book"
	case draw < s.Chat+s.Notes+s.Book+s.Draft:
		call.Route, call.Stream, call.Output, call.Deadline = standin.PlatformDraftRoute, true, s.output(s.DraftEvents), draftDeadline
	default:
		call.Route = "look"
		if c.rng.Float64() < s.EventAnswers {
			call.Form = []string{standin.EventAnswer, standin.UnnumberedAnswer}[c.rng.IntN(2)]
		}
	}
	if call.Stream {
		call.Prompt = 50 + c.rng.IntN(400)
	}
	if c.key == standin.PlatformOpenKey && c.rng.Float64() < changedConfigShare {
		c.useChangedConfig(&call)
	}
	return call
}

// useChangedConfig makes a call use the latest added route or the latest revoked key, if there is one.
func (c *caller) useChangedConfig(call *standin.PlatformCall) {
	e := c.env.evidence
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case len(e.Added) > 0 && c.rng.IntN(2) == 0:
		call.Route, call.Stream, call.Form = e.Added[len(e.Added)-1].Name, false, ""
	case len(e.Revoked) > 0:
		call.Key = e.Revoked[len(e.Revoked)-1].Name
	}
}

// maxBody bounds the part of a response in bytes that callers read, since an endpoint may send without end and all
// responses of a run are kept. No sound response has more.
const maxBody = 256 << 10

var errBodyTooLong = fmt.Errorf("the response has more than %d bytes", maxBody)

// readBody reads a response body. It returns an error if the body breaks off or is longer than maxBody.
func readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	if err == nil && len(body) > maxBody {
		return body[:maxBody], errBodyTooLong
	}
	return body, err
}

func (c *caller) attempt(ctx context.Context, call standin.PlatformCall) (a Attempt) {
	a = Attempt{Call: call, Instance: c.target.machine.Name, Sent: time.Now()}
	a.target = c.target
	ctx, cancel := context.WithTimeout(ctx, call.Deadline+time.Second)
	defer func() {
		a.Ended = time.Now()
		if !a.Abandoned {
			cancel()
		}
	}()
	req, err := call.Request(ctx, c.target.machine.Front)
	if err != nil {
		return a
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return a
	}
	a.setHead(resp)
	if slices.Contains(resp.Header.Values("Connection"), "close") {
		c.target = nil
	}
	if events := c.drawAbandon(call); events > 0 && a.Status == http.StatusOK {
		if a.Body, a.Abandoned = readSome(resp, events, cancel); a.Abandoned {
			return a
		}
	}
	defer resp.Body.Close()
	body, err := readBody(resp.Body)
	a.Body, a.Complete = a.Body+string(body), err == nil
	return a
}

// setHead takes over what the head of a response says.
func (a *Attempt) setHead(resp *http.Response) {
	a.Status, a.Type, a.Seal = resp.StatusCode, resp.Header.Get("Content-Type"), standin.AnswerSeal(resp.Header)
}
