package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/engine"
)

// keepAliveInterval is the time between comments on a stream that waits for a slot or for the prefill.
const keepAliveInterval = 500 * time.Millisecond

// endReason is the reason why a run ended before its answer was complete.
type endReason int

const (
	endNone endReason = iota
	endCancelled
	endMoved
	endCrashed
	endDisconnected // the caller closed the connection
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

// status returns the reason why the run ended, endNone if it has not, and the number of tokens emitted.
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
	faults := e.currentFaults()
	if faults.Unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	out := newEventWriter(w, faults, run)
	out.flush()
	if !e.acquireSlotAndPrefill(r, run, out) {
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
	if reason == endCancelled || reason == endDisconnected {
		e.counts.Cancels++
	}
	e.cache.store(time.Now(), r.cacheKey(offset))
}

// acquireSlotAndPrefill acquires a slot and waits for the time of the prefill. It returns false if the run ended in the
// meantime; the run then holds no slot.
func (e *Engine) acquireSlotAndPrefill(r *http.Request, run *run, out *eventWriter) bool {
	granted := e.slots.request(run.req.Priority)
	if !out.waitWithKeepAlive(r, run, granted) {
		e.slots.abandon(granted)
		return false
	}
	usage, work := e.prefill(run)
	out.usage = usage
	timer := time.NewTimer(e.scaleDuration(work))
	defer timer.Stop()
	if !out.waitWithKeepAlive(r, run, timer.C) {
		e.slots.release()
		return false
	}
	return true
}

// prefill returns the token usage of a run, and how long the tokens that are not cached take to compute.
func (e *Engine) prefill(run *run) (*engine.Usage, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := len(run.prompt) + run.offset
	cached := min(total, max(e.cache.match(run.cacheKey(run.offset)), e.kv[run.ref.RequestID], e.sharedTokens(run)))
	delete(e.kv, run.ref.RequestID)
	usage := &engine.Usage{PromptTokens: len(run.prompt), CachedTokens: cached}
	if run.req.Resume != nil {
		usage.RecomputedTokens = total - cached
	}
	e.counts.Prefilled += total - cached
	e.counts.Recomputed += usage.RecomputedTokens
	return usage, time.Duration(total-cached) * e.cfg.PrefillToken
}

// sharedTokens returns the number of tokens in the KV cache of another attempt at the same request. The caller holds
// e.mu.
func (e *Engine) sharedTokens(run *run) int {
	if e.cfg.NoKVSharing {
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

// generate emits the tokens of an answer, one each decode step.
func (e *Engine) generate(r *http.Request, run *run, out *eventWriter) {
	step := e.scaleDuration(e.cfg.DecodeStep)
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for run.offset < run.req.MaxTokens {
		select {
		case <-ticker.C:
		case <-run.stop:
		case <-r.Context().Done():
			run.end(endDisconnected)
		}
		reason := run.advance(func(offset int) { out.token(offset, run.text.token(offset)) })
		if reason != endNone {
			out.abort(reason)
			return
		}
		e.updateCounts(func(c *EngineCounts) { c.Tokens++ })
		e.crashOnMarker(run)
	}
	out.finish(run.offset, engine.FinishStop)
	if out.faults.StallFrom > 0 {
		// A stalled stream keeps its connection open.
		<-r.Context().Done()
	}
}

// cacheKey returns the tokens of prompt and answer up to offset, which the prefix cache is indexed by.
func (r *run) cacheKey(offset int) []string {
	return append(append([]string{}, r.prompt...), strings.Fields(r.text.upTo(offset))...)
}
