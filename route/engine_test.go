package route

import (
	"slices"
	"time"
)

// Parameters of the engine model.
const (
	engineTick       = 10 * time.Millisecond
	prefillPerSec    = 5000.0
	baseTokenSeconds = 0.020 // seconds per token
	tokenSlope       = 0.04  // relative growth with each further stream
	prefillSlowdown  = 0.5   // relative growth of the decode time while a prompt is computed
	cacheTokens      = 40_000
	engineSlots      = 16
)

// call is a line of a trace.
type call struct {
	At           int64  `json:"at"` // milliseconds after the start
	Kind         string `json:"kind"`
	Prefix       uint64 `json:"prefix"`
	PrefixTokens int    `json:"prefix_tokens"`
	Prompt       int    `json:"prompt"` // tokens, including the prefix
	Output       int    `json:"output"`
}

// job is a call at an engine.
type job struct {
	call
	node       int
	arrived    time.Duration
	promptLeft float64 // prompt tokens to compute
	generated  float64 // tokens generated
	first      time.Duration
	done       bool
}

// engine is a queueing model of a model engine: continuous batching, one prompt computed at a time, LRU prefix cache.
type engine struct {
	jobs    []*job // running, in order of admission
	waiting []*job
	cache   []call // least recently used first
	used    int
	events  []cacheEvent
}

type cacheEvent struct {
	at      time.Duration
	engine  int
	prefix  uint64
	evicted bool
}

// cached reports whether a prefix is in the cache and marks it as most recently used.
func (e *engine) cached(prefix uint64) bool {
	i := slices.IndexFunc(e.cache, func(c call) bool { return c.Prefix == prefix })
	if i < 0 {
		return false
	}
	c := e.cache[i]
	e.cache = append(slices.Delete(e.cache, i, i+1), c)
	return true
}

func (e *engine) insert(c call, now time.Duration) {
	if c.PrefixTokens == 0 || e.cached(c.Prefix) {
		return
	}
	e.cache = append(e.cache, c)
	e.used += c.PrefixTokens
	e.events = append(e.events, cacheEvent{at: now, prefix: c.Prefix})
	for e.used > cacheTokens {
		e.events = append(e.events, cacheEvent{at: now, prefix: e.cache[0].Prefix, evicted: true})
		e.used -= e.cache[0].PrefixTokens
		e.cache = e.cache[1:]
	}
}

// step advances the engine by a tick. It calls admit for each admitted job whose prefix is not cached, first when a job
// has its first token, and finished when a job has its last one. It calls tokens for each decoding job with the number
// of tokens that the job generates in the tick and the time per token in seconds.
func (e *engine) step(now time.Duration, admit func(*job), first, finished func(*job), tokens func(n, gap float64)) {
	for len(e.jobs) < engineSlots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.promptLeft = float64(j.Prompt)
		if e.cached(j.Prefix) {
			j.promptLeft -= float64(j.PrefixTokens)
		} else {
			admit(j)
		}
		e.jobs = append(e.jobs, j)
	}
	decoding := 0
	var prompt *job
	for _, j := range e.jobs {
		switch {
		case j.first > 0:
			decoding++
		case prompt == nil:
			prompt = j
		}
	}
	gap := baseTokenSeconds * (1 + tokenSlope*float64(max(decoding-1, 0)))
	if prompt != nil {
		gap *= 1 + prefillSlowdown
		e.prefill(prompt, now, first)
	}
	generated := engineTick.Seconds() / gap
	for _, j := range e.jobs {
		if j.first == 0 || j.first == now {
			continue
		}
		j.generated += generated
		tokens(generated, gap)
		if j.generated >= float64(j.Output) {
			j.done = true
			finished(j)
		}
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool { return j.done })
}

func (e *engine) prefill(j *job, now time.Duration, first func(*job)) {
	if j.promptLeft -= prefillPerSec * engineTick.Seconds(); j.promptLeft > 0 {
		return
	}
	j.first, j.generated = now, 1
	e.insert(j.call, now)
	first(j)
}
