package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// UsersStore is the object store of the users' platform, in memory: objects by kind and name with one revision
// counter, conditional writes, lists in pages and watches.
type UsersStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*usersObject // by kind and name
	events   []usersEvent
	floor    uint64 // history up to this revision is gone
	changed  chan struct{}
	failWith int  // status of each call; 0: none
	muted    bool // waiting watches hear nothing
	losing   bool // answers of writes
	writes   int  // since losing was set
	calls    int
}

type usersObject struct {
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

type usersEvent struct {
	kind     string
	revision uint64
	Deleted  bool        `json:"deleted"`
	Object   usersObject `json:"object"`
}

// usersPage is the number of objects in a page of a list.
const usersPage = 50

// NewUsersStore returns an empty store.
func NewUsersStore() *UsersStore {
	return &UsersStore{revision: 1, objects: map[string]map[string]*usersObject{}, changed: make(chan struct{})}
}

// Fail lets each call fail with a status; 0 ends it.
func (s *UsersStore) Fail(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failWith = status
	s.wake()
}

const (
	// everyLost is the pace of the writes that get no answer while answers are lost, and everyLate that of those among
	// them which are done lateBy after the call.
	everyLost = 2
	everyLate = 4
	lateBy    = 1200 * time.Millisecond
)

// LoseAnswers lets some writes get no answer, until it is called with false. They are done all the same, some of them late.
func (s *UsersStore) LoseAnswers(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing, s.writes = on, 0
}

// loses reports whether a write gets no answer, and how late it is done.
func (s *UsersStore) loses(r *http.Request) (lost bool, late time.Duration) {
	if r.Method == http.MethodGet {
		return false, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.losing {
		return false, 0
	}
	s.writes++
	if s.writes%everyLate == 0 {
		late = lateBy
	}
	return s.writes%everyLost == 0, late
}

// loseAnswer does a write and breaks its connection without an answer.
func (s *UsersStore) loseAnswer(r *http.Request, late time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		call := r.Clone(context.WithoutCancel(r.Context()))
		call.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(late, func() { s.serve(unheard{http.Header{}}, call) })
	}
	panic(http.ErrAbortHandler)
}

// unheard takes an answer that reaches nobody.
type unheard struct{ header http.Header }

func (u unheard) Header() http.Header         { return u.header }
func (u unheard) Write(b []byte) (int, error) { return len(b), nil }
func (u unheard) WriteHeader(int)             {}

// Compact drops the history, after a time in which waiting watches heard nothing.
func (s *UsersStore) Compact(missed func()) {
	s.mu.Lock()
	s.muted = true
	s.mu.Unlock()
	missed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted, s.floor, s.events = false, s.revision, nil
}

// Calls returns the number of calls so far.
func (s *UsersStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put creates or replaces the spec of an object, as the operator and the endpoints do.
func (s *UsersStore) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs of tests have a JSON form
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		o = &usersObject{}
		o.Metadata.Name = name
	}
	s.write(kind, o, text, o.Status)
}

// Remove removes an object.
func (s *UsersStore) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Spec returns the spec of an object, nil without one.
func (s *UsersStore) Spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		return o.Spec
	}
	return nil
}

// Status returns the status of an object, nil without one.
func (s *UsersStore) Status(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		return o.Status
	}
	return nil
}

// write needs s.mu.
func (s *UsersStore) write(kind string, old *usersObject, spec, status json.RawMessage) *usersObject {
	if old.Metadata.Revision > 0 && string(old.Spec) == string(spec) && string(old.Status) == string(status) {
		return old
	}
	s.revision++
	o := *old
	o.Spec, o.Status, o.Metadata.Revision = spec, status, s.revision
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*usersObject{}
	}
	s.objects[kind][o.Metadata.Name] = &o
	s.events = append(s.events, usersEvent{kind: kind, revision: s.revision, Object: o})
	s.wake()
	return &o
}

// remove needs s.mu.
func (s *UsersStore) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.events = append(s.events, usersEvent{kind: kind, revision: s.revision, Deleted: true, Object: *o})
	s.wake()
}

// wake needs s.mu.
func (s *UsersStore) wake() {
	if !s.muted {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// ServeHTTP implements http.Handler.
func (s *UsersStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	failWith := s.failWith
	s.mu.Unlock()
	if failWith != 0 {
		w.WriteHeader(failWith)
		return
	}
	if lost, late := s.loses(r); lost {
		s.loseAnswer(r, late)
	}
	s.serve(w, r)
}

func (s *UsersStore) serve(w http.ResponseWriter, r *http.Request) {
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
		s.Remove(kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *UsersStore) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.objects[kind][name]
	s.mu.Unlock()
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSONStatus(w, http.StatusOK, o)
}

func (s *UsersStore) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []*usersObject{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b *usersObject) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	truncated := len(items) > usersPage
	writeJSONStatus(w, http.StatusOK, map[string]any{
		"items": items[:min(len(items), usersPage)], "truncated": truncated, "currentRev": s.revision,
	})
}

func (s *UsersStore) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events := []usersEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		gone, revision, changed, failWith := after < s.floor, s.revision, s.changed, s.failWith
		s.mu.Unlock()
		switch {
		case failWith != 0:
			w.WriteHeader(failWith)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ctx.Err() != nil:
			writeJSONStatus(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *UsersStore) serveCreate(w http.ResponseWriter, r *http.Request, kind string) {
	var o usersObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.objects[kind][o.Metadata.Name]; old != nil {
		writeJSONStatus(w, http.StatusConflict, old)
		return
	}
	o.Metadata.Revision = 0
	writeJSONStatus(w, http.StatusOK, s.write(kind, &o, o.Spec, nil))
}

func (s *UsersStore) serveReplace(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var o usersObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
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
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone; there is nobody else to tell
}
