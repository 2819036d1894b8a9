package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/engine"
)

// EngineConfig sets the simulated costs and the limits of a model engine. A field that is zero gets its default.
type EngineConfig struct {
	ID            string
	Slots         int           // requests decoded at the same time; default 64
	PrefillToken  time.Duration // time to compute one prompt token; default 20 us
	DecodeStep    time.Duration // time between two tokens of a running request; default 2 ms
	TransferToken time.Duration // time to export or import the KV cache of one token; default 1 us
	CacheTokens   int           // capacity of the prefix cache in tokens; default 1<<20
	LoadLag       time.Duration // age of the load report; default 500 ms
	EventLag      time.Duration // delay of cache events; default 200 ms
	NoKVSharing   bool          // a run doesn't use the KV cache of a concurrent run of the same request
	Fencing       bool          // reject orders with an old fencing token
	// Load fetches the weights of an order's version. If it is nil, the version is loaded at once.
	Load func(engine.Order)
}

func (c EngineConfig) withDefaults() EngineConfig {
	setDefault(&c.Slots, 64)
	setDefault(&c.PrefillToken, 20*time.Microsecond)
	setDefault(&c.DecodeStep, 2*time.Millisecond)
	setDefault(&c.TransferToken, time.Microsecond)
	setDefault(&c.CacheTokens, 1<<20)
	setDefault(&c.LoadLag, 500*time.Millisecond)
	setDefault(&c.EventLag, 200*time.Millisecond)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// defaultMaxTokens is the answer length of a request that doesn't set max_tokens.
const defaultMaxTokens = 64

// Engine is a simulated model engine. Its text is a function of seed, prompt and offset, so that a resumed answer
// equals an uninterrupted one.
type Engine struct {
	cfg     EngineConfig
	mux     *http.ServeMux
	slots   *slots
	mu      sync.Mutex
	runs    map[string]*run // by attempt ID
	kv      map[string]int  // by request ID: tokens of prompt and answer imported
	cache   prefixCache
	counts  EngineCounts
	faults  EngineFaults
	state   faultState
	orders  []engine.Order
	serving engine.Serving
	loads   []engine.LoadReport
}

// EngineCounts is the body of GET /counts.
type EngineCounts struct {
	Runs       int            `json:"runs"`
	Cancels    int            `json:"cancels"`
	Tokens     int            `json:"tokens"`
	Prefilled  int            `json:"prefilled"`
	Recomputed int            `json:"recomputed"` // prompt and answer tokens that resumed runs computed again
	Exports    int            `json:"exports"`
	Imports    int            `json:"imports"`
	Running    int            `json:"running"`
	Waiting    int            `json:"waiting"`
	Errors     int            `json:"errors"`     // requests answered with status 500 because of EngineFaults.ErrorRate
	ByRequest  map[string]int `json:"by_request"` // runs by request ID
}

// NewEngine returns a model engine.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg: cfg, mux: http.NewServeMux(), slots: newSlots(cfg.Slots), runs: map[string]*run{},
		kv: map[string]int{}, counts: EngineCounts{ByRequest: map[string]int{}},
	}
	e.cache = prefixCache{capacity: cfg.CacheTokens, lag: cfg.EventLag}
	e.mux.HandleFunc("POST "+engine.PathChat, e.serveChat)
	e.mux.HandleFunc("POST "+engine.PathCancel, e.serveCancel)
	e.mux.HandleFunc("POST "+engine.PathKVExport, e.serveExport)
	e.mux.HandleFunc("POST "+engine.PathKVImport, e.serveImport)
	e.mux.HandleFunc("GET "+engine.PathLoad, e.serveLoad)
	e.mux.HandleFunc("GET "+engine.PathEvents, e.serveEvents)
	e.mux.HandleFunc("POST "+engine.PathOrders, e.serveOrder)
	e.mux.HandleFunc("GET "+engine.PathOrders, e.serveServing)
	e.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) })
	e.mux.HandleFunc("POST /faults", e.serveFaults)
	return e
}

// ServeHTTP implements http.Handler. While the engine is down it breaks every connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/faults" && r.URL.Path != "/counts" && e.Down() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Counts returns a copy of the counts.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.ByRequest = make(map[string]int, len(e.counts.ByRequest))
	for k, n := range e.counts.ByRequest {
		c.ByRequest[k] = n
	}
	c.Running, c.Waiting = e.slots.load()
	return c
}

func (e *Engine) updateCounts(change func(*EngineCounts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.counts)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var ref engine.AttemptRef
	if err := json.NewDecoder(r.Body).Decode(&ref); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if run := e.findRun(ref.AttemptID); run != nil {
		run.end(endCancelled)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) findRun(attempt string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[attempt]
}

// promptOf returns the tokens of all messages. Each word is a token.
func promptOf(req *engine.ChatRequest) []string {
	var words []string
	for _, m := range req.Messages {
		words = append(words, strings.Fields(m.Content)...)
	}
	return words
}
