// Package standin provides in-memory stand-ins for the systems around trefoillug, such as the object API, the cloud and
// the endpoints. Tests and make run use them.
package standin

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/trefoillug/trefoillug/objstore"
)

const (
	// maxRevisions bounds the history of a key, from which reads are answered under the fault RevisionsBehind.
	maxRevisions = 16
	// defaultWatchLimit is the time after which an idle watch ends with status 304, as gateways in front of such APIs do.
	defaultWatchLimit = time.Minute
	// maxFaultBytes bounds the body of POST /faults.
	maxFaultBytes = 64 << 10
)

// ObjectsOptions sets the limits of the object API stand-in.
type ObjectsOptions struct {
	ReadRate   float64       // reads a second, of which each waiting watch uses one; 0: no limit
	WriteRate  float64       // writes a second; 0: no limit
	Latency    time.Duration // added to each call
	WatchLimit time.Duration // time after which an idle watch ends with status 304; 0: one minute
}

// Objects is an in-memory object API: versioned values with conditional updates and watches.
type Objects struct {
	opts   ObjectsOptions
	mux    *http.ServeMux
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	keys    map[string][]objstore.Object // oldest first, the last one is current
	changed chan struct{}                // closed and replaced at each write and change of faults
	faults  Faults
	counts  Counts
}

// NewObjects returns an empty object API.
func NewObjects(o ObjectsOptions) *Objects {
	if o.WatchLimit == 0 {
		o.WatchLimit = defaultWatchLimit
	}
	s := &Objects{
		opts: o, mux: http.NewServeMux(), keys: map[string][]objstore.Object{}, changed: make(chan struct{}),
		reads: newLimiter(o.ReadRate), writes: newLimiter(o.WriteRate),
	}
	s.mux.HandleFunc("GET /objects/{key...}", s.get)
	s.mux.HandleFunc("PUT /objects/{key...}", s.put)
	s.mux.HandleFunc("GET /objects", s.list)
	s.mux.HandleFunc("POST /faults", s.postFaults)
	s.mux.HandleFunc("GET /counts", s.getCounts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/objects") && !s.applyFaults(w, r) {
		return
	}
	s.mux.ServeHTTP(w, r)
}

// applyFaults applies the latency and the faults Slow and Down to a call. It returns false if the call needs no further
// handling.
func (s *Objects) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	f := s.Faults()
	select {
	case <-time.After(s.opts.Latency + time.Duration(f.Slow)):
	case <-r.Context().Done():
		return false
	}
	if s.Faults().Down {
		http.Error(w, "object API down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Objects) get(w http.ResponseWriter, r *http.Request) {
	if !s.allow(w, s.reads, func(c *Counts) { c.Reads++ }) {
		return
	}
	if r.URL.Query().Get("watch") != "" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	o, ok := s.visible(r.PathValue("key"))
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeObject(w, o)
}

func (s *Objects) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter after must be a version", http.StatusBadRequest)
		return
	}
	s.addWaiting(1)
	defer s.addWaiting(-1)
	limit := time.NewTimer(s.opts.WatchLimit)
	defer limit.Stop()
	for {
		s.mu.Lock()
		o, ok := s.visible(r.PathValue("key"))
		faults, changed := s.faults, s.changed
		s.mu.Unlock()
		switch {
		case faults.StallWatches:
			// The watch stays stalled after the fault ends, like a connection whose peer disappeared.
			<-r.Context().Done()
			return
		case faults.Down:
			http.Error(w, "object API down", http.StatusServiceUnavailable)
			return
		case ok && o.Version > after:
			writeObject(w, o)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Objects) put(w http.ResponseWriter, r *http.Request) {
	if !s.allow(w, s.writes, func(c *Counts) { c.Writes++ }) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objstore.MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large or cut off", http.StatusRequestEntityTooLarge)
		return
	}
	ifVersion, err := expectedVersion(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	version, lost, ok := s.store(r.PathValue("key"), value, ifVersion)
	if !ok {
		http.Error(w, "version differs", http.StatusPreconditionFailed)
		return
	}
	if lost {
		// Close the connection without an answer.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(version))
	w.WriteHeader(http.StatusOK)
}

// store applies a conditional write and reports whether its answer is to be lost. ok is false if the version differs.
func (s *Objects) store(key string, value []byte, ifVersion uint64) (version uint64, lost, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	history := s.keys[key]
	if len(history) > 0 {
		version = history[len(history)-1].Version
	}
	if version != ifVersion {
		return 0, false, false
	}
	version++
	history = append(history, objstore.Object{Key: key, Version: version, Value: value})
	s.keys[key] = history[max(0, len(history)-maxRevisions):]
	s.broadcast()
	return version, s.faults.consumeLostAnswer(key), true
}

func (s *Objects) list(w http.ResponseWriter, r *http.Request) {
	if !s.allow(w, s.reads, func(c *Counts) { c.Reads++ }) {
		return
	}
	prefix := r.URL.Query().Get("prefix")
	objects := []objstore.Object{}
	s.mu.Lock()
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if o, ok := s.visible(key); ok && strings.HasPrefix(key, prefix) {
			objects = append(objects, o)
		}
	}
	s.mu.Unlock()
	writeJSON(w, objects)
}

// visible returns the revision of a key that readers see: the current one unless the fault RevisionsBehind is set for
// the key. The caller holds s.mu.
func (s *Objects) visible(key string) (objstore.Object, bool) {
	history := s.keys[key]
	if len(history) == 0 {
		return objstore.Object{}, false
	}
	behind := s.faults.RevisionsBehind[key]
	return history[max(0, len(history)-1-behind)], true
}

// allow counts a call and applies the rate limit.
func (s *Objects) allow(w http.ResponseWriter, l *rate.Limiter, count func(*Counts)) bool {
	s.mu.Lock()
	count(&s.counts)
	allowed := l.Allow()
	if !allowed {
		s.counts.Limited++
	}
	s.mu.Unlock()
	if !allowed {
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
	}
	return allowed
}

func (s *Objects) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waiting += n
	if n > 0 {
		s.counts.Watches++
	}
	if s.opts.ReadRate > 0 {
		s.reads.SetLimit(rate.Limit(max(0, s.opts.ReadRate-float64(s.counts.Waiting))))
	}
}

// broadcast wakes the waiting watches. The caller holds s.mu.
func (s *Objects) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// expectedVersion returns the version that If-Match or If-None-Match requires, 0 if the object must not exist. It
// returns an error for a write without a condition.
func expectedVersion(h http.Header) (uint64, error) {
	if h.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(h.Get("If-Match"), `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, errors.New("a write needs If-Match with a version or If-None-Match: *")
	}
	return version, nil
}

func writeObject(w http.ResponseWriter, o objstore.Object) {
	w.Header().Set("ETag", etag(o.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	// A write error means that the caller has disconnected.
	_, _ = w.Write(o.Value)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }
