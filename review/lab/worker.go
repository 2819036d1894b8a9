package lab

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

// Worker is a plain worker. It runs each request once its body is in, and crashes with all its connections when it begins a
// request whose path has Deadly in it.
type Worker struct {
	ID, Service, Zone string
	Slots             int
	Work              time.Duration
	Deadly            string
	RestartAfter      time.Duration
	// Silent means that a crash takes the worker's machine with it: nothing answers any more on open connections or to new
	// ones. Otherwise they are reset and refused.
	Silent  bool
	Version string // of the worker's software; empty: v1
	// Fails reports whether the worker answers a request with a failure of its own; nil: it never does.
	Fails func(r *http.Request) bool
	// FailStatus is the status of such a failure; 0: 500.
	FailStatus int
	// Slowness returns the factor on the time that a request takes; nil: always 1.
	Slowness func(r *http.Request) float64
	// Events, if not 0, is the number of events of a stream. The worker then answers with streams, whose first event comes
	// after Work and each further one after EventTime; Slowness applies to EventTime only.
	Events    int
	EventTime time.Duration

	store   *standin.PlatformStore
	record  *Record
	address string
	link    *standin.Forwarder // before a silent worker; nil: none

	mu       sync.Mutex
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	closed   bool
	runs     []Run
	crashes  []time.Time
}

// Run is a request that a worker began.
type Run struct {
	ID, URI, Worker string
	At              time.Time
	Crashed         bool
	Bad             bool // the answer is a failure of the worker's own, or takes longer than usual
	Done            bool
}

// Start opens the worker's listener and puts its entry into the store.
func (w *Worker) Start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.address, w.listener, w.conns, w.down = l.Addr().String(), l, map[net.Conn]bool{}, false
	w.born = time.Now().UnixMilli()
	if err := w.openLink(); err != nil {
		return err
	}
	server := &http.Server{Handler: w, ConnState: w.recordConn}
	go func() { _ = server.Serve(l) }()
	w.PutEntry("ready", nil)
	w.record.Add("%s: started at %s", w.ID, w.address)
	return nil
}

// PutEntry writes the worker's entry.
func (w *Worker) PutEntry(state string, extra map[string]any) {
	address := w.address
	if w.link != nil {
		address = w.link.Address()
	}
	e := standin.PlatformEntry(w.Service, address, w.Zone, state, w.born)
	e["slots"] = w.Slots
	if w.Version != "" {
		e["version"] = w.Version
	}
	for k, v := range extra {
		e[k] = v
	}
	w.store.Put("servers", w.ID, e)
}

// openLink opens the path to a silent worker, new or again.
func (w *Worker) openLink() error {
	switch {
	case !w.Silent:
		return nil
	case w.link == nil:
		link, err := standin.NewForwarderAt(standin.FreeAddress(), w.address)
		w.link = link
		return err
	}
	w.link.Hold(false)
	w.link.CloseConnections()
	return w.link.SetAcceptance(standin.Accepts)
}

func (w *Worker) recordConn(c net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s {
	case http.StateNew:
		w.conns[c] = true
		if w.down {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

// crash closes the listener, resets all connections, and starts the worker again after some time.
func (w *Worker) crash(id string) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	w.crashes = append(w.crashes, time.Now())
	if w.link != nil {
		w.link.Hold(true)
		_ = w.link.SetAcceptance(standin.Hangs) // fails only if the address is taken
	}
	_ = w.listener.Close()
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	w.mu.Unlock()
	w.record.Add("%s: crashes as it begins request %s", w.ID, id)
	time.AfterFunc(w.RestartAfter, func() {
		if err := w.Start(); err != nil {
			w.record.Add("%s: not started again: %v", w.ID, err)
		}
	})
}

// Withdraw removes the worker's entry; the worker goes on.
func (w *Worker) Withdraw() { w.store.Remove("servers", w.ID) }

// Stop ends the worker at once, without draining, and removes its entry.
func (w *Worker) Stop() {
	w.stop()
	w.store.Remove("servers", w.ID)
	w.record.Add("%s: stopped", w.ID)
}

func (w *Worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.link != nil {
		w.link.Close()
	}
	if w.listener != nil {
		_ = w.listener.Close()
	}
	for c := range w.conns {
		_ = c.Close()
	}
}

// Runs returns the requests that the worker has begun.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Crashes returns the times of the crashes.
func (w *Worker) Crashes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.crashes...)
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Trefoillug-Attempt-Id")
	h := rw.Header()
	h.Set("X-Trefoillug-Instance-Id", w.ID)
	h.Set("X-Trefoillug-Attempt-Id", id)
	if r.Header.Get("X-Trefoillug-Expect-Instance") != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	n := len(w.runs)
	deadly := w.Deadly != "" && strings.Contains(r.URL.Path, w.Deadly)
	w.runs = append(w.runs, Run{ID: id, URI: r.RequestURI, Worker: w.ID, At: time.Now(), Crashed: deadly})
	w.mu.Unlock()
	w.record.Add("%s: runs %s %s %s", w.ID, id, r.Method, r.RequestURI)
	if deadly {
		w.crash(id)
		panic(http.ErrAbortHandler)
	}
	failed, slowness := w.Fails != nil && w.Fails(r), 1.0
	if w.Slowness != nil {
		slowness = w.Slowness(r)
	}
	w.mu.Lock()
	w.runs[n].Bad = failed || slowness > 1
	w.mu.Unlock()
	if w.Events > 0 {
		w.stream(rw, r, n, slowness)
		return
	}
	h.Set("X-Trefoillug-Response-Seal", standin.SealOf(w.ID))
	select {
	case <-time.After(time.Duration(float64(w.Work) * slowness)):
	case <-deadlineOf(r):
		rw.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done(): // the caller has gone
		return
	}
	if !w.finish(n) {
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Trefoillug-Worker-Load", fmt.Sprintf("1,0,%d", w.Slots))
	text := fmt.Sprintf("%s %s %d", w.ID, r.RequestURI, len(body))
	h.Set("Content-Length", fmt.Sprint(len(text)))
	if failed {
		rw.WriteHeader(cmp.Or(w.FailStatus, http.StatusInternalServerError))
	}
	_, _ = io.WriteString(rw, text) // the caller may have gone
}

// deadlineOf returns a channel that receives at the deadline of a request, at which a worker stops work on it.
func deadlineOf(r *http.Request) <-chan time.Time {
	ms, err := strconv.Atoi(r.Header.Get("X-Trefoillug-Deadline-Ms"))
	if err != nil {
		return nil
	}
	return time.After(time.Duration(ms) * time.Millisecond)
}

// finish records that run n is done, and reports false if the worker has crashed.
func (w *Worker) finish(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[n].Done = !w.down && !w.closed
	return w.runs[n].Done
}

// stream answers run n with events.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, n int, slowness float64) {
	h := rw.Header()
	h.Set("X-Trefoillug-Worker-Load", fmt.Sprintf("1,0,%d", w.Slots))
	h.Set("X-Trefoillug-Response-Seal", standin.SealOf(w.ID))
	h.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
	wait := w.Work
	for k := first + 1; k <= w.Events; k++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done(): // the caller has gone
			return
		}
		wait = time.Duration(float64(w.EventTime) * slowness)
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token %d\n\n", k, k); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
	}
	w.finish(n)
}
