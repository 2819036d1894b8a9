package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PlatformStore is an in-memory object store with the API of the users' platform: objects by kind and name with one
// revision counter, conditional writes, paged lists and watches.
type PlatformStore struct {
	mu          sync.Mutex
	revision    uint64
	objects     map[string]map[string]*platformObject // by kind and name
	events      []platformEvent
	compacted   uint64 // history up to this revision is dropped
	changed     chan struct{}
	failStatus  int  // status with which each call fails; 0: calls succeed
	suspended   bool // waiting watches are not notified
	loseAnswers bool // some writes get no answer
	writes      int  // since loseAnswers was set
	calls       int
	rawSpecs    sync.Map // text of specs that encoding/json can't handle; by placeholder

	// Of drills; see Run.
	era          uint64
	announcesEra bool
	isAway       bool
	returned     *sync.Cond        // s.mu is its lock
	past         []pastChange      // oldest first
	inCall       bool              // the change that is being made comes from a call
	connEras     map[string]uint64 // by remote address: era in which the connection was opened
}

// platformObject is an object as the store encodes it.
type platformObject struct {
	Metadata struct {
		Name           string   `json:"name"`
		Revision       uint64   `json:"revision"`
		CreateRevision uint64   `json:"createRevision"`
		Finalizers     []string `json:"finalizers"`
		Deleting       bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// platformEvent is a change of an object. Only its exported fields are encoded.
type platformEvent struct {
	kind     string
	revision uint64
	Deleted  bool           `json:"deleted"`
	Object   platformObject `json:"object"`
}

// pageSize is the number of objects in a page of a list.
const pageSize = 50

// NewPlatformStore returns an empty store.
func NewPlatformStore() *PlatformStore {
	s := &PlatformStore{revision: 1, objects: map[string]map[string]*platformObject{}, changed: make(chan struct{}), connEras: map[string]uint64{}}
	s.returned = sync.NewCond(&s.mu)
	return s
}

// FailCalls makes each call fail with an HTTP status, until it is called with 0.
func (s *PlatformStore) FailCalls(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failStatus = status
	s.notifyWatches()
}

const (
	// While answers are lost, one write in lostWriteInterval gets no answer. One write in delayedWriteInterval gets no
	// answer either and takes effect only writeDelay after the call.
	lostWriteInterval    = 2
	delayedWriteInterval = 4
	writeDelay           = 1200 * time.Millisecond
)

// LoseAnswers makes some writes get no answer, until it is called with false. These writes still take effect, some of
// them late.
func (s *PlatformStore) LoseAnswers(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers, s.writes = on, 0
}

// nextWriteFault counts a write and reports whether it gets no answer, and with which delay it takes effect.
func (s *PlatformStore) nextWriteFault(r *http.Request) (lost bool, delay time.Duration) {
	if r.Method == http.MethodGet {
		return false, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loseAnswers {
		return false, 0
	}
	s.writes++
	if s.writes%delayedWriteInterval == 0 {
		delay = writeDelay
	}
	return s.writes%lostWriteInterval == 0, delay
}

// writeUnanswered applies a write after a delay and breaks its connection at once, without an answer.
func (s *PlatformStore) writeUnanswered(r *http.Request, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		call := r.Clone(context.WithoutCancel(r.Context()))
		call.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(delay, func() { s.serve(discardWriter{http.Header{}}, call) })
	}
	panic(http.ErrAbortHandler)
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (u discardWriter) Header() http.Header         { return u.header }
func (u discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (u discardWriter) WriteHeader(int)             {}

// Compact suspends the notification of waiting watches, calls whileSuspended, and then drops the history, so that the
// watches miss the changes in between.
func (s *PlatformStore) Compact(whileSuspended func()) {
	s.mu.Lock()
	s.suspended = true
	s.mu.Unlock()
	whileSuspended()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended, s.compacted, s.events = false, s.revision, nil
}

// Calls returns the number of calls so far.
func (s *PlatformStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put creates an object or replaces its spec, as operators and endpoints do.
func (s *PlatformStore) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the specs that callers pass can always be encoded as JSON
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitReturn()
	s.putSpec(kind, name, text)
}

// Remove deletes an object if it exists.
func (s *PlatformStore) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitReturn()
	s.remove(kind, name)
}

// PutRaw creates an object or replaces its spec by a JSON text that the store answers unchanged, even if encoding/json
// rejects it.
func (s *PlatformStore) PutRaw(kind, name, text string) {
	placeholder := fmt.Sprintf("raw spec %s/%s", kind, name)
	s.rawSpecs.Store(placeholder, text)
	s.Put(kind, name, placeholder)
}

// answer writes an answer with raw specs in the place of their placeholders.
func (s *PlatformStore) answer(w http.ResponseWriter, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.rawSpecs.Range(func(placeholder, raw any) bool {
		text = bytes.ReplaceAll(text, []byte(strconv.Quote(placeholder.(string))), []byte(raw.(string)))
		return true
	})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // a write error means that the caller has disconnected
}

// Spec returns the spec of an object, nil if the object doesn't exist.
func (s *PlatformStore) Spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		return o.Spec
	}
	return nil
}

// Status returns the status of an object, nil if the object doesn't exist or has none.
func (s *PlatformStore) Status(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		return o.Status
	}
	return nil
}

// write stores a changed spec or status under the next revision. The caller holds s.mu.
func (s *PlatformStore) write(kind string, old *platformObject, spec, status json.RawMessage) *platformObject {
	if old.Metadata.Revision > 0 && string(old.Spec) == string(spec) && string(old.Status) == string(status) {
		return old
	}
	s.recordChange(kind, old.Metadata.Name)
	s.revision++
	o := *old
	o.Spec, o.Status, o.Metadata.Revision = spec, status, s.revision
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*platformObject{}
	}
	s.objects[kind][o.Metadata.Name] = &o
	s.events = append(s.events, platformEvent{kind: kind, revision: s.revision, Object: o})
	s.notifyWatches()
	return &o
}

// remove deletes an object if it exists. The caller holds s.mu.
func (s *PlatformStore) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.recordChange(kind, name)
	delete(s.objects[kind], name)
	s.revision++
	s.events = append(s.events, platformEvent{kind: kind, revision: s.revision, Deleted: true, Object: *o})
	s.notifyWatches()
}

// notifyWatches wakes the waiting watches unless they are suspended. The caller holds s.mu.
func (s *PlatformStore) notifyWatches() {
	if !s.suspended {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// ServeHTTP implements http.Handler.
func (s *PlatformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		panic(http.ErrAbortHandler) // ends the connection
	}
	s.mu.Lock()
	s.calls++
	failStatus := s.failStatus
	s.mu.Unlock()
	if failStatus != 0 {
		w.WriteHeader(failStatus)
		return
	}
	if lost, delay := s.nextWriteFault(r); lost {
		s.writeUnanswered(r, delay)
	}
	s.serve(w, r)
}

func (s *PlatformStore) serve(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/trefoillug/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.serveGet(w, kind, name)
	case r.Method == http.MethodPost && name == "":
		s.serveCreate(w, r, kind)
	case r.Method == http.MethodPut:
		s.serveReplace(w, r, kind, name, isStatus)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.beginCall(w) {
			defer s.endCall()
			s.remove(kind, name)
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *PlatformStore) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.objects[kind][name]
	s.mu.Unlock()
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.answer(w, o)
}

func (s *PlatformStore) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []*platformObject{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b *platformObject) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	truncated := len(items) > pageSize
	s.answer(w, map[string]any{
		"items": items[:min(len(items), pageSize)], "truncated": truncated, "currentRev": s.revision,
	})
}

func (s *PlatformStore) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	era := s.Era()
	for {
		s.mu.Lock()
		events := []platformEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		historyMissing, revision, changed, failStatus := after < s.compacted || after > s.revision, s.revision, s.changed, s.failStatus
		cut := s.isAway || s.era != era
		s.mu.Unlock()
		switch {
		case cut:
			panic(http.ErrAbortHandler) // as all connections of a store that is restarted
		case failStatus != 0:
			w.WriteHeader(failStatus)
			return
		case historyMissing:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ctx.Err() != nil:
			s.answer(w, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *PlatformStore) serveCreate(w http.ResponseWriter, r *http.Request, kind string) {
	var o platformObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.beginCall(w) {
		return
	}
	defer s.endCall()
	if old := s.objects[kind][o.Metadata.Name]; old != nil {
		writeJSONStatus(w, http.StatusConflict, old)
		return
	}
	o.Metadata.Revision = 0
	writeJSONStatus(w, http.StatusOK, s.write(kind, &o, o.Spec, nil))
}

func (s *PlatformStore) serveReplace(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var o platformObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.beginCall(w) {
		return
	}
	defer s.endCall()
	old := s.objects[kind][name]
	switch {
	case old == nil:
		w.WriteHeader(http.StatusNotFound)
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		writeJSONStatus(w, http.StatusConflict, old)
	case isStatus:
		writeJSONStatus(w, http.StatusOK, s.write(kind, old, old.Spec, o.Status))
	default:
		writeJSONStatus(w, http.StatusOK, s.write(kind, old, o.Spec, old.Status))
	}
}

func writeJSONStatus(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a write error means that the caller has disconnected
}
