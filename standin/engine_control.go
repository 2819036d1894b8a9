package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/trefoillug/trefoillug/engine"
)

// kvState is the opaque part of an exported KV cache.
type kvState struct {
	Tokens int `json:"tokens"` // of prompt and answer
}

// serveExport ends an attempt at its current offset and returns its KV cache.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var ref engine.AttemptRef
	if err := json.NewDecoder(r.Body).Decode(&ref); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run := e.findRun(ref.AttemptID)
	if run == nil {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	run.end(endMoved)
	if e.serveExportFault(w) {
		return
	}
	_, offset := run.status()
	tokens := len(run.prompt) + offset
	e.transfer(tokens)
	state, err := json.Marshal(kvState{Tokens: tokens})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	e.updateCounts(func(c *EngineCounts) { c.Exports++ })
	writeJSON(w, engine.KV{RequestID: ref.RequestID, Offset: offset, State: state})
}

// transferPollInterval is the time between checks whether the engine went down during a transfer.
const transferPollInterval = 10 * time.Millisecond

// transfer sleeps for the time that the KV cache of a number of tokens takes to transfer. It breaks the connection when
// the engine goes down.
func (e *Engine) transfer(tokens int) {
	end := time.Now().Add(time.Duration(tokens) * e.cfg.TransferToken)
	for left := time.Until(end); left > 0; left = time.Until(end) {
		time.Sleep(min(left, transferPollInterval))
		if e.Down() {
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv engine.KV
	var state kvState
	if err := json.NewDecoder(r.Body).Decode(&kv); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := json.Unmarshal(kv.State, &state); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.transfer(state.Tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv[kv.RequestID] = state.Tokens
	e.counts.Imports++
	w.WriteHeader(http.StatusNoContent)
}

// maxLoadReports bounds the number of load reports kept. GET /load returns the latest that is at least LoadLag old.
const maxLoadReports = 64

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	running, waiting := e.slots.load()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	used := min(1, float64(len(e.cache.order)*cacheBlockTokens)/float64(e.cfg.CacheTokens))
	e.loads = append(e.loads, engine.LoadReport{Running: running, Waiting: waiting, KVUsed: used, AtMS: now.UnixMilli()})
	e.loads = e.loads[max(0, len(e.loads)-maxLoadReports):]
	report := e.loads[0]
	for _, l := range e.loads {
		if l.AtMS <= now.Add(-e.cfg.LoadLag).UnixMilli() {
			report = l
		}
	}
	writeJSON(w, report)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.cache.after(time.Now(), after))
}

// serveOrder records an order. An engine that checks fencing tokens rejects an order with a token below the latest one.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.orders); e.cfg.Fencing && n > 0 && order.Fence < e.orders[n-1].Fence {
		http.Error(w, "stale fencing token", http.StatusPreconditionFailed)
		return
	}
	e.orders = append(e.orders, order)
	e.applyOrder(order)
	w.WriteHeader(http.StatusNoContent)
}

// applyOrder starts to load the version of an order unless it is loaded or being loaded. The caller holds e.mu.
func (e *Engine) applyOrder(order engine.Order) {
	e.serving.Fence = max(e.serving.Fence, order.Fence)
	if order.Version == "" || order.Version == e.serving.Version || order.Version == e.serving.Loading {
		return
	}
	e.serving.Loading = order.Version
	go func() {
		if e.cfg.Load != nil {
			e.cfg.Load(order)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.serving.Loading == order.Version {
			e.serving.Version, e.serving.Loading = order.Version, ""
		}
	}()
}

func (e *Engine) serveServing(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.serving)
}

// Orders returns the accepted orders.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Order{}, e.orders...)
}
