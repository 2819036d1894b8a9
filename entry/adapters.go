package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoillug/trefoillug/claim"
	"github.com/trefoillug/trefoillug/limit"
	"github.com/trefoillug/trefoillug/relay"
	"github.com/trefoillug/trefoillug/route"
	"github.com/trefoillug/trefoillug/table"
)

// seedFor returns the seed of an instance's random numbers, different for each instance and process.
func seedFor(id string) uint64 { return xxhash.Sum64String(id) ^ rand.Uint64() }

// claimer adapts the claim service to the request path.
type claimer struct {
	service  *claim.Service
	attempts sync.Map // *relay.Call to *claim.Attempt
}

// Claim implements relay.Claimer.
func (c *claimer) Claim(ctx context.Context, call *relay.Call) (relay.Claim, error) {
	res, err := c.service.Claim(ctx, claim.Call{
		Service: call.Service.Name, Workspace: call.Workspace, Key: call.Key, BodyDigest: claim.DigestBody(call.Body),
	})
	if err != nil {
		return relay.Claim{}, err
	}
	if r := res.Response; r != nil {
		return relay.Claim{State: relay.ClaimRecorded, Answer: &relay.RecordedAnswer{
			Status: r.Status, ContentType: r.ContentType, Body: r.Body,
		}}, nil
	}
	c.attempts.Store(call, res.Attempt)
	return relay.Claim{State: relay.ClaimGranted}, nil
}

// Complete implements relay.Claimer.
func (c *claimer) Complete(call *relay.Call, a relay.RecordedAnswer) {
	c.finishAttempt(call, func(attempt *claim.Attempt) {
		if !a.Retained {
			c.service.CompleteWithoutBody(attempt, a.Status)
			return
		}
		c.service.Complete(attempt, claim.Response{Status: a.Status, ContentType: a.ContentType, Body: a.Body})
	})
}

// MarkUnknown implements relay.Claimer.
func (c *claimer) MarkUnknown(call *relay.Call) { c.finishAttempt(call, c.service.MarkUnknown) }

// Release implements relay.Claimer.
func (c *claimer) Release(call *relay.Call) { c.finishAttempt(call, c.service.Release) }

func (c *claimer) finishAttempt(call *relay.Call, fn func(*claim.Attempt)) {
	if attempt, ok := c.attempts.LoadAndDelete(call); ok {
		fn(attempt.(*claim.Attempt))
	}
}

// chooser adapts endpoint selection to the request path.
type chooser struct {
	rngs sync.Pool
}

func newChooser(seed uint64) *chooser {
	var mu sync.Mutex
	seeds := rand.New(rand.NewPCG(seed, 0))
	return &chooser{rngs: sync.Pool{New: func() any {
		mu.Lock()
		defer mu.Unlock()
		return rand.New(rand.NewPCG(seeds.Uint64(), seeds.Uint64()))
	}}}
}

// Choose implements relay.Chooser.
func (c *chooser) Choose(call *relay.Call, svc *table.Service, version string, skip func(*table.Endpoint) bool) (*table.Endpoint, bool) {
	rng := c.rngs.Get().(*rand.Rand)
	defer c.rngs.Put(rng)
	req := route.Request{Version: version, Priority: call.Route.Priority, Deadline: call.Deadline}
	if call.Chat != nil {
		req.Prefixes, req.PromptTokens = prefixesOf(call.Chat.Messages)
		req.ExpectedOutputTokens = call.Chat.MaxTokens
	}
	for _, e := range svc.Endpoints {
		if e.Version == version && skip(e) {
			req.Exclude = append(req.Exclude, e.ID)
		}
	}
	now := time.Now()
	e, ok := route.Choose(svc, req, now, rng)
	if ok {
		// The endpoint caches the prompt, so requests with a common prefix should be sent there too.
		for _, p := range req.Prefixes {
			e.Live.Prefixes.Add(p.Hash, now)
		}
	}
	return e, ok
}

// bytesPerToken is the typical size of a token of text.
const bytesPerToken = 4

// prefixesOf returns a prefix for each message boundary, the shortest first, and the estimated tokens of the prompt.
func prefixesOf(messages []json.RawMessage) ([]route.Prefix, int) {
	var digest xxhash.Digest
	digest.Reset()
	prefixes := make([]route.Prefix, 0, len(messages))
	size := 0
	for _, m := range messages {
		// Digest writes never fail.
		_, _ = digest.Write(m)
		size += len(m)
		prefixes = append(prefixes, route.Prefix{Hash: digest.Sum64(), Tokens: size / bytesPerToken})
	}
	return prefixes, size / bytesPerToken
}

// admitter adapts admission to the request path.
type admitter struct{ admission *limit.Admission }

// Admit implements relay.Admitter. Releasing reports no result to the concurrency limits: Daemon.post reports each
// attempt as it ends, since a request may take several.
func (a admitter) Admit(ctx context.Context, call *relay.Call) (func(), error) {
	release, err := a.admission.Admit(ctx, limit.Request{
		Service: call.Service.Name, Workspace: call.Workspace, Priority: call.Route.Priority, Deadline: call.Deadline,
		Work: workOf(call), Identity: xxhash.Sum64String(call.Key) ^ call.Fingerprint,
	})
	if err != nil {
		return nil, err
	}
	return func() { release(limit.Result{}) }, nil
}

// outputWork is the work of generating a token in prompt tokens: a decode step of an engine takes as long as the prefill of
// some hundred tokens, and generates a token for each request of the batch.
const outputWork = 20

// workOf returns the work of a call in prompt tokens, and 0 for a call of a plain service.
func workOf(call *relay.Call) float64 {
	if call.Chat == nil {
		return 0
	}
	return float64(len(call.Body)/bytesPerToken + outputWork*call.Chat.MaxTokens)
}

// retryBudget adapts the retry budgets to the request path.
type retryBudget struct{ admission *limit.Admission }

// CountRequest implements relay.RetryBudget. It does nothing, since admission counts the requests.
func (retryBudget) CountRequest(string) {}

// AcquireRetry implements relay.RetryBudget.
func (b retryBudget) AcquireRetry(service string) bool { return b.admission.AcquireRetry(service) }
