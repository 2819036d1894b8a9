package standin

import (
	"encoding/json"
	"fmt"
	"io"
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
	// Work is the time that a plain request takes.
	Work time.Duration
	// CrashPath, if not empty, is a substring of the path of requests that crash the worker. OnCrash is called for them.
	CrashPath string
	OnCrash   func()
	// NameRequests makes each event of a stream name its request.
	NameRequests bool

	draining atomic.Bool
	full     atomic.Bool // rejects each request without running it
	failing  atomic.Bool // answers with status 500

	answerFault atomic.Value // an AnswerFault

	mu     sync.Mutex
	runs   []PlatformRun
	active map[string]*workerStream
}

// PlatformRun is a request that a worker ran.
type PlatformRun struct {
	ID     string
	Worker string
	At     time.Time
	Header http.Header
	URI    string
	Body   string
}

// workerStream is a stream in progress.
type workerStream struct {
	sent int
	stop chan struct{}
}

// SetDraining sets whether the worker closes the connection after each answer, as a leaving endpoint does.
func (u *PlatformWorker) SetDraining(on bool) { u.draining.Store(on) }

// SetFull sets whether the worker rejects requests without running them.
func (u *PlatformWorker) SetFull(on bool) { u.full.Store(on) }

// SetFailing sets whether the worker answers with status 500.
func (u *PlatformWorker) SetFailing(on bool) { u.failing.Store(on) }

// Runs returns the requests that the worker has run so far.
func (u *PlatformWorker) Runs() []PlatformRun {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]PlatformRun(nil), u.runs...)
}

// ServeHTTP implements http.Handler.
func (u *PlatformWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("X-Trefoillug-Instance-Id", u.ID)
	h.Set("X-Trefoillug-Worker-Load", "1,0,8")
	if u.draining.Load() {
		h.Set("Connection", "close")
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
		h.Set("X-Trefoillug-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Set("X-Trefoillug-Response-Seal", "seal."+u.ID)
	u.recordRequest(r, body)
	if u.serveFault(w, r) {
		return
	}
	switch {
	case u.CrashPath != "" && strings.Contains(r.URL.Path, u.CrashPath):
		u.OnCrash()
		panic(http.ErrAbortHandler)
	case u.failing.Load():
		w.WriteHeader(http.StatusInternalServerError)
	case r.Header.Get("X-Trefoillug-Token-Count") != "":
		u.serveStream(w, r)
	default:
		time.Sleep(u.Work * u.slowness())
		_, _ = io.WriteString(w, u.plainAnswer(r, len(body))) // the caller may have gone
	}
}

func (u *PlatformWorker) plainAnswer(r *http.Request, bodyBytes int) string {
	return fmt.Sprintf("%s %s %d", u.ID, r.RequestURI, bodyBytes)
}

func (u *PlatformWorker) recordRequest(r *http.Request, body []byte) {
	run := PlatformRun{ID: r.Header.Get("X-Trefoillug-Attempt-Id"), Worker: u.ID, At: time.Now(), Header: r.Header.Clone(), URI: r.RequestURI, Body: string(body)}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, run)
}

func (u *PlatformWorker) serveStream(w http.ResponseWriter, r *http.Request) {
	sent, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
	id := r.Header.Get("X-Trefoillug-Attempt-Id")
	s := &workerStream{sent: sent, stop: make(chan struct{})}
	u.mu.Lock()
	if u.active == nil {
		u.active = map[string]*workerStream{}
	}
	u.active[id] = s
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		delete(u.active, id)
		u.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	for sent < u.Events {
		select {
		case <-s.stop:
			panic(http.ErrAbortHandler) // closes the stream before its end
		case <-r.Context().Done():
			return
		case <-time.After(u.EventTime * u.slowness()):
		}
		sent++
		u.mu.Lock()
		s.sent = sent
		u.mu.Unlock()
		fmt.Fprintf(w, "id: %d\ndata: token %d%s\n\n", sent, sent, u.requestSuffix(id))
		_ = http.NewResponseController(w).Flush()
	}
}

func (u *PlatformWorker) requestSuffix(request string) string {
	if !u.NameRequests {
		return ""
	}
	return " of " + request
}

// serveMove answers a call that moves a stream to another endpoint. The last call for a stream also ends it.
func (u *PlatformWorker) serveMove(w http.ResponseWriter, body []byte) {
	var call struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	s := u.active[call.ID]
	if s == nil {
		u.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	delete(u.active, call.ID)
	sent := s.sent
	u.mu.Unlock()
	if call.Last {
		close(s.stop)
	}
	time.Sleep(5 * time.Millisecond) // so that the stream ends before the copy is complete
	writeJSONStatus(w, http.StatusOK, map[string]any{"handle": "h-" + call.ID, "createRevision": sent})
}

// PlatformAPI is the API of the users' platform that holders of duties call: usage reports and scaling orders.
type PlatformAPI struct {
	mu         sync.Mutex
	Usage      map[uint64]map[string]uint64 // by window, then by workspace: the first report
	Orders     []string                     // bodies of the scaling orders
	Violations []string                     // descriptions of calls that violated a guarantee
	tokens     map[string]uint64            // by path: latest fencing token
}

// NewPlatformAPI returns an API that has received no calls.
func NewPlatformAPI() *PlatformAPI {
	return &PlatformAPI{Usage: map[uint64]map[string]uint64{}, tokens: map[string]uint64{}}
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
