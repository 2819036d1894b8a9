package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/engine"
)

// ServiceConfig sets the behaviour of a plain service.
type ServiceConfig struct {
	ID       string
	Work     time.Duration // time that a call takes
	CheckKey bool          // run a call only once for each Idempotency-Key
}

// ServiceFaults are set by POST /faults.
type ServiceFaults struct {
	LoseAnswer bool          `json:"lose_answer"` // run the call, then break the connection
	Status     int           `json:"status"`      // answer every call with this status without running it
	Delay      time.Duration `json:"delay"`       // added to the time of a call, ns
}

// ServiceCounts are the numbers of calls that a plain service ran.
type ServiceCounts struct {
	Runs  int            `json:"runs"`
	ByKey map[string]int `json:"by_key"`
}

// Service is a plain service that counts its runs by Idempotency-Key.
type Service struct {
	cfg    ServiceConfig
	mux    *http.ServeMux
	mu     sync.Mutex
	faults ServiceFaults
	counts ServiceCounts
}

// NewService returns a plain service.
func NewService(cfg ServiceConfig) *Service {
	s := &Service{cfg: cfg, mux: http.NewServeMux(), counts: ServiceCounts{ByKey: map[string]int{}}}
	s.mux.HandleFunc("GET /counts", s.serveCounts)
	s.mux.HandleFunc("POST /faults", s.serveFaults)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Counts returns a copy of the counts.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := ServiceCounts{Runs: s.counts.Runs, ByKey: make(map[string]int, len(s.counts.ByKey))}
	for k, n := range s.counts.ByKey {
		c.ByKey[k] = n
	}
	return c
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) }

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// callAnswer is the body of a successful call.
type callAnswer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Bytes   int    `json:"bytes"`
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if id := r.Header.Get(engine.HeaderAttemptID); id != "" {
		w.Header().Set(engine.HeaderAttemptID, id)
	}
	key := r.Header.Get("Idempotency-Key")
	f, run := s.begin(key)
	time.Sleep(s.cfg.Work + f.Delay)
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	if !run {
		http.Error(w, "not run", max(f.Status, http.StatusConflict))
		return
	}
	writeJSON(w, callAnswer{Service: s.cfg.ID, Method: r.Method, Path: r.URL.Path, Key: key, Bytes: len(body)})
}

// begin returns the faults that apply to a call and whether the call runs. A call that runs is counted.
func (s *Service) begin(key string) (ServiceFaults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := key != "" && s.counts.ByKey[key] > 0
	if s.faults.Status != 0 || (s.cfg.CheckKey && known) {
		return s.faults, false
	}
	s.counts.Runs++
	if key != "" {
		s.counts.ByKey[key]++
	}
	return s.faults, true
}
