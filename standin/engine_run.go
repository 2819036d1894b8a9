package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/engine"
)

// keepAlive is the time between comments on a stream that waits for a slot or computes its prompt.
const keepAlive = 500 * time.Millisecond

// endReason tells why a run ended before its answer was complete.
type endReason int

const (
	endNone endReason = iota
	endCancelled
	endMoved
	endCrashed
	endGone // the caller closed the connection
)

// run is one attempt in progress.
type run struct {
	ref    engine.AttemptRef
	req    *engine.ChatRequest
	prompt []string
	text   answerText
	stop   chan struct{}

	mu     sync.Mutex
	reason endReason
	offset int // tokens of the answer emitted
}

func (r *run) end(reason endReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reason == endNone {
		r.reason = reason
		close(r.stop)
	}
}

// status returns why the run ended, if it has, and the tokens emitted.
func (r *run) status() (endReason, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason, r.offset
}

// advance runs emit for the next token unless the run has ended.
func (r *run) advance(emit func(offset int)) endReason {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reason == endNone {
		emit(r.offset)
		r.offset++
	}
	return r.reason
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	run, err := newRun(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.injectError() {
		http.Error(w, "injected error", http.StatusInternalServerError)
		return
	}
	e.begin(run)
	defer e.finish(run)
	w.Header().Set("Content-Type", "text/event-stream")
	out := newEventWriter(w, e.currentFaults(), run)
	out.flush()
	if !e.wait(r, run, out) {
		reason, _ := run.status()
		out.abort(reason)
		return
	}
	defer e.slots.release()
	e.generate(r, run, out)
}

func newRun(r *http.Request) (*run, error) {
	var req engine.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return nil, err
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	prompt := promptOf(&req)
	n := &run{
		ref: engine.AttemptRef{
			RequestID: r.Header.Get(engine.HeaderRequestID), AttemptID: r.Header.Get(engine.HeaderAttemptID),
		},
		req: &req, prompt: prompt, text: newAnswerText(req.Seed, prompt), stop: make(chan struct{}),
	}
	if req.Resume == nil {
		return n, nil
	}
	n.offset = req.Resume.Offset
	if req.Resume.Text != n.text.upTo(n.offset) {
		return nil, errResumeText
	}
	return n, nil
}

func (e *Engine) begin(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[r.ref.AttemptID] = r
	e.counts.Runs++
	e.counts.ByRequest[r.ref.RequestID]++
}

func (e *Engine) finish(r *run) {
	reason, offset := r.status()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, r.ref.AttemptID)
	if reason == endCancelled || reason == endGone {
		e.counts.Cancels++
	}
	e.cache.store(time.Now(), r.cacheKey(offset))
}

// wait takes a slot and computes the prompt. It reports false when the run ended meanwhile.
func (e *Engine) wait(r *http.Request, run *run, out *eventWriter) bool {
	ticket := e.slots.request(run.req.Priority)
	if !out.pause(r, run, ticket) {
		e.slots.abandon(ticket)
		return false
	}
	usage, work := e.prefill(run)
	out.usage = usage
	timer := time.NewTimer(e.slowed(work))
	defer timer.Stop()
	if !out.pause(r, run, timer.C) {
		e.slots.release()
		return false
	}
	return true
}

// prefill finds out which tokens must be computed before the first new one, and how long that takes.
func (e *Engine) prefill(run *run) (*engine.Usage, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := len(run.prompt) + run.offset
	cached := min(total, max(e.cache.match(run.cacheKey(run.offset)), e.kv[run.ref.RequestID], e.shared(run)))
	delete(e.kv, run.ref.RequestID)
	usage := &engine.Usage{PromptTokens: len(run.prompt), CachedTokens: cached}
	if run.req.Resume != nil {
		usage.RecomputedTokens = total - cached
	}
	e.counts.Prefilled += total - cached
	e.counts.Recomputed += usage.RecomputedTokens
	return usage, time.Duration(total-cached) * e.cfg.PrefillToken
}

// shared returns the tokens that another attempt at the same request holds. e.mu is held.
func (e *Engine) shared(run *run) int {
	if e.cfg.Unshared {
		return 0
	}
	tokens := 0
	for _, other := range e.runs {
		if other != run && other.ref.RequestID == run.ref.RequestID {
			_, offset := other.status()
			tokens = max(tokens, len(other.prompt)+offset)
		}
	}
	return tokens
}

// generate emits the tokens of an answer at the decode rate.
func (e *Engine) generate(r *http.Request, run *run, out *eventWriter) {
	step := e.slowed(e.cfg.DecodeStep)
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for run.offset < run.req.MaxTokens {
		select {
		case <-ticker.C:
		case <-run.stop:
		case <-r.Context().Done():
			run.end(endGone)
		}
		reason := run.advance(func(offset int) { out.token(offset, run.text.token(offset)) })
		if reason != endNone {
			out.abort(reason)
			return
		}
		e.count(func(c *EngineCounts) { c.Tokens++ })
		e.crashOnMarker(run)
	}
	out.finish(run.offset, engine.FinishStop)
	if out.faults.SilentFrom > 0 {
		// A silent stream keeps its connection.
		<-r.Context().Done()
	}
}

// cacheKey returns the tokens of prompt and answer up to offset, which the prefix cache is indexed by.
func (r *run) cacheKey(offset int) []string {
	return append(append([]string{}, r.prompt...), strings.Fields(r.text.upTo(offset))...)
}
