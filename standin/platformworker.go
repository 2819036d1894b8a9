package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// PlatformWorker is an endpoint on the users' platform. It serves requests with a token count as a model engine and
// others as a plain service, and records each request that it ran.
type PlatformWorker struct {
	ID string
	// EventTime is the time between two events of a stream.
	EventTime time.Duration
	// Events is the number of events of a stream.
	Events int
	// EventTokens, if not 0, is the number of tokens that an event holds. A stream then has as many events as its request's
	// maximum number of output tokens needs.
	EventTokens int
	// Work is the time that a plain request takes.
	Work time.Duration
	// CrashPath, if not empty, is a substring of the path of requests that crash the worker, and IsDeadly, if not nil, reports
	// whether a request does. OnCrash is called for them.
	CrashPath string
	IsDeadly  func(r *http.Request, body []byte) bool
	OnCrash   func(r *http.Request)
	// DeadlyBlocks, if not empty, begins the IDs of prompt blocks that crash the worker before the first event of a
	// stream. The last block of a prompt never does. OnDeadlyBlock is called with the ID of the block for each crash.
	DeadlyBlocks  string
	OnDeadlyBlock func(id string)
	// NameRequests makes each event of a stream name its request, and NameRuns also the run that generated it.
	NameRequests bool
	NameRuns     bool
	// Brittle, if not nil, bounds the requests of the worker, which falls over when it rejects too many.
	Brittle *Brittle
	// Oddities, if not nil, draws the requests that are answered oddly.
	Oddities *Oddities

	draining atomic.Bool
	leaving  atomic.Bool
	full     atomic.Bool  // rejects each request without running it
	status   atomic.Int32 // see SetStatus

	retryAfter  atomic.Value // string: the Retry-After of rejections; empty: none
	answerFault atomic.Value // an AnswerFault
	pausedUntil atomic.Int64 // Unix nanoseconds
	weights     atomic.Int64 // version

	mu       sync.Mutex
	runs     []PlatformRun
	refusals []PlatformRefusal
	streams  []*PlatformStream
	active   map[string]*workerStream
	stopped  map[string]*stoppedRun // by attempt ID

	moveFault   MoveFault
	faultyMoves int // calls for each run that have the fault
}

// PlatformRun is a request that a worker ran.
type PlatformRun struct {
	ID     string
	Worker string
	At     time.Time
	Header http.Header
	URI    string
	Body   string
	// Leaving is set if the header of the answer says that the worker leaves.
	Leaving bool
}

// PlatformRefusal is a request that a worker rejected without running it, because it was full.
type PlatformRefusal struct {
	ID         string
	Worker     string
	At         time.Time
	RetryAfter string // value of the header Retry-After; empty: none
}

// Wait returns the time that RetryAfter asks for. It is 0 if the value isn't a number of seconds.
func (r PlatformRefusal) Wait() time.Duration {
	seconds, err := strconv.ParseFloat(r.RetryAfter, 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// SetDraining sets whether the worker closes the connection after each answer, as a leaving endpoint does.
func (u *PlatformWorker) SetDraining(on bool) { u.draining.Store(on) }

// SetLeaving sets whether each answer says that the worker leaves.
func (u *PlatformWorker) SetLeaving(on bool) { u.leaving.Store(on) }

// SetRetryAfter sets the Retry-After of rejections. An empty value leaves the header out.
func (u *PlatformWorker) SetRetryAfter(value string) { u.retryAfter.Store(value) }

// SetFull sets whether the worker rejects requests without running them.
func (u *PlatformWorker) SetFull(on bool) { u.full.Store(on) }

// SetFailing sets whether the worker answers with status 500.
func (u *PlatformWorker) SetFailing(on bool) {
	status := 0
	if on {
		status = http.StatusInternalServerError
	}
	u.SetStatus(status)
}

// SetStatus makes the worker answer each request with a status and no body; 0: it answers as usual.
func (u *PlatformWorker) SetStatus(status int) { u.status.Store(int32(status)) }

// Runs returns the requests that the worker has run so far.
func (u *PlatformWorker) Runs() []PlatformRun {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]PlatformRun(nil), u.runs...)
}

// Refusals returns the requests that the worker has rejected so far because it was full.
func (u *PlatformWorker) Refusals() []PlatformRefusal {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]PlatformRefusal(nil), u.refusals...)
}

// Addressed returns a copy of a caller's request as an instance sends it to this worker.
func (u *PlatformWorker) Addressed(r *http.Request) *http.Request {
	r = r.Clone(r.Context())
	r.Header.Set("X-Trefoillug-Expect-Instance", u.ID)
	return r
}

// ServeHTTP implements http.Handler.
func (u *PlatformWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	arrived := time.Now()
	if u.pausesBeforeHead(r) {
		u.awaitPause()
	}
	leaving := u.leaving.Load()
	h := w.Header()
	h.Set("X-Trefoillug-Instance-Id", u.ID)
	h.Set("X-Trefoillug-Worker-Load", "1,0,8")
	if weights := u.weights.Load(); weights > 0 {
		h.Set("X-Trefoillug-Weight-Versions", strconv.FormatInt(weights, 10))
	}
	if u.draining.Load() {
		h.Set("Connection", "close")
	}
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/trefoillug/kv-move" {
		u.serveMove(w, body)
		return
	}
	h.Set("X-Trefoillug-Attempt-Id", r.Header.Get("X-Trefoillug-Attempt-Id"))
	switch {
	case r.Header.Get("X-Trefoillug-Expect-Instance") != u.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case u.full.Load():
		u.refuse(w, r)
		return
	case u.Brittle != nil:
		u.Brittle.serve(w, r, func() { u.refuse(w, r) }, func() { u.serveRequest(w, r, body, arrived, leaving) })
		return
	}
	u.serveRequest(w, r, body, arrived, leaving)
}

// serveRequest serves a request that is meant for this worker and for which it has room.
func (u *PlatformWorker) serveRequest(w http.ResponseWriter, r *http.Request, body []byte, arrived time.Time, leaving bool) {
	h := w.Header()
	switch {
	case u.currentAnswerFault() == RefusalCopies && u.serveRefusalCopies(w, r):
		return
	case u.Oddities != nil && u.serveOddity(w, r, body, arrived, leaving):
		return
	}
	h.Set("X-Trefoillug-Response-Seal", SealOf(u.ID))
	u.recordRequest(r, body, arrived, leaving)
	if u.serveFault(w, r) {
		return
	}
	switch {
	case u.CrashPath != "" && strings.Contains(r.URL.Path, u.CrashPath), u.IsDeadly != nil && u.IsDeadly(r, body):
		u.OnCrash(r)
		panic(http.ErrAbortHandler)
	case u.status.Load() != 0:
		w.WriteHeader(int(u.status.Load()))
	case hasEvents(r):
		u.serveStream(w, r)
	default:
		time.Sleep(u.Work * u.slowness())
		text := u.plainAnswer(r, len(body))
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_ = u.writePausing(text, flushingWriter(w)) // the caller may have gone
	}
}

// refuse rejects a request because the worker is full.
func (u *PlatformWorker) refuse(w http.ResponseWriter, r *http.Request) {
	value, _ := u.retryAfter.Load().(string)
	if value != "" {
		w.Header().Set("Retry-After", value)
	}
	u.recordRefusal(r, value)
	w.Header().Set("X-Trefoillug-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (u *PlatformWorker) recordRefusal(r *http.Request, retryAfter string) {
	refusal := PlatformRefusal{ID: r.Header.Get("X-Trefoillug-Attempt-Id"), Worker: u.ID, At: time.Now(), RetryAfter: retryAfter}
	if u.Brittle != nil {
		u.Brittle.recordRejection(refusal)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refusals = append(u.refusals, refusal)
}

// flushingWriter returns a function that writes text to w and flushes it.
func flushingWriter(w http.ResponseWriter) func(text string) error {
	return func(text string) error {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}
}

func (u *PlatformWorker) plainAnswer(r *http.Request, bodyBytes int) string {
	return fmt.Sprintf("%s %s %d", u.ID, r.RequestURI, bodyBytes)
}

func (u *PlatformWorker) recordRequest(r *http.Request, body []byte, arrived time.Time, leaving bool) {
	run := PlatformRun{
		ID: r.Header.Get("X-Trefoillug-Attempt-Id"), Worker: u.ID, At: arrived, Header: r.Header.Clone(), URI: r.RequestURI, Body: string(body),
		Leaving: leaving,
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, run)
	if r.Header.Get("Kv-From") != "" {
		delete(u.stopped, run.ID) // a handle can be used once
	}
}

// deadlyBlock returns the ID of the block, other than the last one, of the prompt that crashes the worker; empty: none.
func (u *PlatformWorker) deadlyBlock(r *http.Request) string {
	blocks := PromptBlocks(r.Header)
	if u.DeadlyBlocks == "" || len(blocks) == 0 {
		return ""
	}
	for _, id := range blocks[:len(blocks)-1] {
		if strings.HasPrefix(id, u.DeadlyBlocks) {
			return id
		}
	}
	return ""
}

// PromptBlocks returns the IDs of the blocks of a request's prompt in order.
func PromptBlocks(h http.Header) []string {
	var ids []string
	for block := range strings.SplitSeq(h.Get("X-Trefoillug-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(block, ":")
		ids = append(ids, id)
	}
	return ids
}

// PlatformAPI is the API of the users' platform that holders of duties call: usage reports and scaling orders.
type PlatformAPI struct {
	mu         sync.Mutex
	Usage      map[uint64]map[string]uint64 // by window, then by workspace: the first report
	Orders     []string                     // bodies of the scaling orders
	Violations []string                     // descriptions of calls that violated a guarantee
	tokens     map[string]uint64            // by path: latest fencing token
	holders    map[uint64]string            // by fencing token: the holder that used it
	holder     string                       // of the latest call
}

// NewPlatformAPI returns an API that has received no calls.
func NewPlatformAPI() *PlatformAPI {
	return &PlatformAPI{Usage: map[uint64]map[string]uint64{}, tokens: map[string]uint64{}, holders: map[uint64]string{}}
}

// Holder returns the name of the holder that made the latest call; empty: none.
func (a *PlatformAPI) Holder() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder
}

// Reports returns the number of windows that were reported, and descriptions of the calls that violated a guarantee.
func (a *PlatformAPI) Reports() (windows int, broken []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.Usage), append([]string(nil), a.Violations...)
}

// ServeHTTP implements http.Handler.
func (a *PlatformAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Trefoillug-Fence-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if token < a.tokens[r.URL.Path] {
		a.Violations = append(a.Violations, "token "+strconv.FormatUint(token, 10)+" after a higher one")
	}
	a.tokens[r.URL.Path] = token
	a.holder = r.Header.Get("X-Trefoillug-Duty-Holder")
	if other := a.holders[token]; other != "" && other != a.holder {
		a.Violations = append(a.Violations, fmt.Sprintf("token %d used by %s and by %s", token, other, a.holder))
	}
	a.holders[token] = a.holder
	switch r.URL.Path {
	case "/usage":
		a.recordUsage(body)
	case "/scale":
		a.Orders = append(a.Orders, string(body))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// recordUsage stores the first report of a window and checks that later ones equal it. The caller holds a.mu.
func (a *PlatformAPI) recordUsage(body []byte) {
	var report struct {
		Window uint64            `json:"window"`
		Counts map[string]uint64 `json:"counts"`
	}
	if err := json.Unmarshal(body, &report); err != nil {
		a.Violations = append(a.Violations, "usage report that can't be read")
		return
	}
	if old, ok := a.Usage[report.Window]; ok && fmt.Sprint(old) != fmt.Sprint(report.Counts) {
		a.Violations = append(a.Violations, "two reports of window "+strconv.FormatUint(report.Window, 10)+" differ")
		return
	}
	a.Usage[report.Window] = report.Counts
}

// Total returns the sum of the counts reported for a workspace over all windows.
func (a *PlatformAPI) Total(workspace string) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := uint64(0)
	for _, counts := range a.Usage {
		sum += counts[workspace]
	}
	return sum
}

// PlatformEntry returns the entry of a worker in the endpoint list of the platform. startedMs is in Unix milliseconds.
func PlatformEntry(service, address, zone, state string, startedMs int64) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"seq": 1, "born": startedMs, "spot": strings.HasSuffix(zone, "-spot"),
	}
}

// oddEntryDepth is deeper than what encoding/json decodes.
const oddEntryDepth = 20_000

// OddPlatformEntries returns entries of the endpoint list as another writer may leave them there. None names an
// endpoint to use, though address is one.
func OddPlatformEntries(address string) []string {
	entry := func(change map[string]any) string {
		e := PlatformEntry(PlatformOrders, address, "a", "ready", time.Now().UnixMilli())
		maps.Copy(e, change)
		text, err := json.Marshal(e)
		if err != nil {
			panic(err) // can't happen, as all values are plain
		}
		return string(text)
	}
	nested := strings.Repeat("[", oddEntryDepth) + strings.Repeat("]", oddEntryDepth)
	return []string{
		`{"service":"orders","address":` + nested + `}`,
		strings.Replace(entry(nil), `"slots":8`, `"slots":1e999`, 1),
		entry(map[string]any{"address": "127.0.0.1:70000"}),
		entry(map[string]any{"service": 7, "born": "soon", "state": []any{"ready"}}),
		entry(map[string]any{"address": map[string]any{"host": address}}),
		"{\"service\":\"orders\",\"address\":\"\xff\xfe\"}",
		nested, "7", "null", `"` + address + `"`,
	}
}
