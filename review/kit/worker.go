//go:build review

package kit

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Worker is a stand-in of a worker: a sound one, unless Fail says otherwise.
type Worker struct {
	ID   string
	Site *Site
	// Events is the number of events of a stream, EventTime the time of each.
	Events    int
	EventTime time.Duration
	// Work is the time of a plain request.
	Work time.Duration
	// Fail is called for each request that the worker runs; nil: none fails. It returns true if it has answered.
	Fail func(w http.ResponseWriter, r *http.Request) bool
	// Full reports whether the worker has no place for another request; nil: it always has.
	Full func() bool

	mu   sync.Mutex
	runs map[string]*Run
}

// Run is a request that the worker ran.
type Run struct {
	Begun, Ended time.Time
	Target       string
	Body         string
	Complete     bool
}

// Runs returns a copy of the runs by the ID of the attempt.
func (u *Worker) Runs() map[string]Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := map[string]Run{}
	for id, r := range u.runs {
		all[id] = *r
	}
	return all
}

// ServeHTTP implements http.Handler.
func (u *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Trefoillug-Attempt-Id")
	h := w.Header()
	h.Set("X-Trefoillug-Instance-Id", u.ID)
	h.Set("X-Trefoillug-Worker-Load", "1,0,64")
	if r.URL.Path == "/health" {
		return
	}
	h.Set("X-Trefoillug-Attempt-Id", id)
	if expected := r.Header.Get("X-Trefoillug-Expect-Instance"); expected != "" && expected != u.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.Full != nil && u.Full() {
		u.Site.Log("worker %s is full and does not run %s", u.ID, id)
		h.Set("X-Trefoillug-Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &Run{Begun: time.Now(), Target: r.RequestURI, Body: string(body)}
	u.mu.Lock()
	if u.runs == nil {
		u.runs = map[string]*Run{}
	}
	u.runs[id] = run
	u.mu.Unlock()
	u.Site.Log("worker %s runs %s: %s %s (%d bytes)", u.ID, id, r.Method, r.RequestURI, len(body))
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		run.Ended = time.Now()
		u.Site.Log("worker %s ends %s, complete: %v", u.ID, id, run.Complete)
	}()
	h.Set("X-Trefoillug-Response-Seal", "seal."+u.ID+"."+id)
	if u.Fail != nil && u.Fail(w, r) {
		return
	}
	complete := false
	if r.Header.Get("X-Trefoillug-Token-Count") != "" {
		complete = u.stream(w, r)
	} else {
		complete = u.plain(w, r, len(body))
	}
	u.mu.Lock()
	run.Complete = complete
	u.mu.Unlock()
}

// SetComplete records that an answer which Fail has given was sent to its end.
func (u *Worker) SetComplete(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id].Complete = true
}

func (u *Worker) plain(w http.ResponseWriter, r *http.Request, n int) bool {
	select {
	case <-time.After(u.Work):
	case <-r.Context().Done():
		return false // the connection has closed
	}
	text := fmt.Sprintf("%s %s %d", u.ID, r.RequestURI, n)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, err := io.WriteString(w, text)
	return err == nil
}

// Event returns an event of a stream.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func (u *Worker) stream(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	sent, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
	return u.SendEvents(w, r, sent, u.Events)
}

// SendEvents sends the events after one number up to another, and reports whether all were sent.
func (u *Worker) SendEvents(w http.ResponseWriter, r *http.Request, after, last int) bool {
	for n := after + 1; n <= last; n++ {
		select {
		case <-r.Context().Done():
			return false // the connection has closed
		case <-time.After(u.EventTime):
		}
		if _, err := io.WriteString(w, Event(n)); err != nil {
			return false
		}
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
	}
	return true
}
