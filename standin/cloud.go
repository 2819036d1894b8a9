package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/cloud"
)

// Cloud stands in for the cloud API of the platform: an instance list that is shown with a delay, reclaim notices that
// are shown at once, and offers of instances that can be started.
type Cloud struct {
	mux *http.ServeMux
	lag time.Duration

	mu        sync.Mutex
	instances map[string]cloud.Instance
	notices   []cloud.Notice
	history   []listing // oldest first
	listings  uint64    // number of listings recorded so far
	faults    CloudFaults
	pool      cloudPool
}

// CloudFaults are set by POST /faults.
type CloudFaults struct {
	ListDown    bool `json:"list_down"`    // GET /instances answers 503
	NoticesDown bool `json:"notices_down"` // GET /notices answers 503
	// RefuseStarts names the offers and the failure domains for which starts are refused.
	RefuseStarts []string `json:"refuse_starts"`
	LoseStarts   bool     `json:"lose_starts"` // starts take effect, but the connection breaks before the response
}

// listing is the instance list at one time.
type listing struct {
	number    uint64
	at        time.Time
	instances []cloud.Instance
}

// NewCloud returns a stand-in whose instance list shows the state of lag ago.
func NewCloud(lag time.Duration) *Cloud {
	c := &Cloud{mux: http.NewServeMux(), lag: lag, instances: map[string]cloud.Instance{}}
	c.mux.HandleFunc("GET /instances", c.list)
	c.mux.HandleFunc("PUT /instances/{id}", c.put)
	c.mux.HandleFunc("DELETE /instances/{id}", c.remove)
	c.mux.HandleFunc("GET /notices", c.getNotices)
	c.mux.HandleFunc("POST /notices", c.postNotice)
	c.mux.HandleFunc("POST /faults", c.setFaults)
	c.registerPoolRoutes()
	return c
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

func (c *Cloud) put(w http.ResponseWriter, r *http.Request) {
	var in cloud.Instance
	if !decode(w, r, &in) {
		return
	}
	in.ID = r.PathValue("id")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[in.ID] = in
	c.record()
}

func (c *Cloud) remove(_ http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.instances, r.PathValue("id"))
	delete(c.pool.starting, r.PathValue("id"))
	c.record()
}

// record appends the current listing to the history and drops listings that are too old to be shown to any reader.
// The caller holds c.mu.
func (c *Cloud) record() {
	now := time.Now()
	current := make([]cloud.Instance, 0, len(c.instances))
	for _, in := range c.instances {
		current = append(current, in)
	}
	slices.SortFunc(current, func(a, b cloud.Instance) int { return strings.Compare(a.ID, b.ID) })
	c.listings++
	c.history = append(c.history, listing{c.listings, now, current})
	for len(c.history) > 1 && now.Sub(c.history[1].at) > c.lag {
		c.history = c.history[1:]
	}
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.ListDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	visible := listing{instances: []cloud.Instance{}}
	for _, l := range c.history {
		if time.Since(l.at) >= c.lag {
			visible = l
		}
	}
	tag := etag(visible.number)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, visible.instances)
}

func (c *Cloud) getNotices(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.NoticesDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, c.notices)
}

// postNotice adds a reclaim notice and marks the instances that it names as leaving in the list.
func (c *Cloud) postNotice(w http.ResponseWriter, r *http.Request) {
	var n cloud.Notice
	if !decode(w, r, &n) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices = append(c.notices, n)
	for id, in := range c.instances {
		if id == n.Instance || (n.Instance == "" && in.FailureDomain == n.FailureDomain) {
			in.State, in.LeaveBy = cloud.StateLeaving, n.ReclaimAt
			c.instances[id] = in
		}
	}
	c.record()
}

func (c *Cloud) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults CloudFaults
	if !decode(w, r, &faults) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
