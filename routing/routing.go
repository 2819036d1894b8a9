// Package routing holds the table by which requests find their service: routes by host and path prefix, services,
// workspaces and their API keys. A table is immutable after New.
package routing

import (
	"net"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells what may be repeated on a route.
type Kind int

// Kinds of a route.
const (
	NonIdempotent Kind = iota // at most one run for each attempt of a caller
	Idempotent
	Streaming // server-sent events; at most one run, unless the route is resumable
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name        string
	Host        string // lower case, without port
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool          // a stream may go on at another endpoint after the last event that was delivered
	Timeout     time.Duration // longest time that a caller is kept waiting; 0: none
	Target      time.Duration // to the answer, or to the first event of a stream
	TargetGap   time.Duration // between two events of a stream
	Priority    int           // 0 is the most urgent
	Shares      []Share
	MaxAttempts int  // endpoints that may run one attempt of a caller; at least 1
	Public      bool // no API key needed
}

// Share is a service's part of the traffic of a route.
type Share struct {
	Service string
	Weight  float64
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Service draws the service for a request by its ID, so that all attempts of a request go to the same one.
func (r *Route) Service(requestID string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	draw := Draw(requestID) * total
	for _, s := range r.Shares {
		if draw < s.Weight {
			return s.Service
		}
		draw -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Draw maps a request ID to [0, 1) evenly and the same way on each instance.
func Draw(requestID string) float64 {
	return float64(xxhash.Sum64String(requestID)>>11) / (1 << 53)
}

// Service is a set of endpoints.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int      // connections that an endpoint accepts from all instances together; 0: unknown
	Engine     *Engine  // of model services, else nil
	Scaling    *Scaling // of services whose pool the system sizes, else nil
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int   // requests that run at once
	KVTokens     int64 // tokens that the KV cache holds
	KVTokenBytes int64
	LinkMbps     float64
	EventTokens  int           // tokens of an event of a stream
	Moves        bool          // running requests can be moved with their KV cache
	Backups      bool          // the KV cache of a run can be copied to another engine as it grows
	CacheWaits   int           // waiting calls for cache events that an engine keeps
	HandleLife   time.Duration // a copied KV cache is kept for this time
}

// Scaling bounds the number of endpoints of a service. The bounds hold for each zone.
type Scaling struct {
	Min, Max         int
	Boot             time.Duration // from the order until a new endpoint serves
	ReclaimablePrice float64       // relative to on-demand endpoints of the same zone; 0: none to be had
	ZonePrices       map[string]float64
}

// Workspace is a tenant.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int // takes precedence over the route's; nil: none
	Quota    Quota
}

// Quota limits what a workspace may use over all instances together. The zero value means no limit.
type Quota struct {
	PerSecond   float64
	Burst       float64
	Tokens      bool    // counted in tokens, else in requests
	PlainTokens float64 // tokens that a request without a token count stands for
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is a version of the configuration.
type Table struct {
	Version    uint64
	Routes     []Route
	Services   map[string]*Service
	Workspaces []Workspace // empty: requests carry no keys
	Limits     Limits

	routes map[routeKey]*Route
	keys   map[string]*Workspace
}

type routeKey struct{ host, prefix string }

// New builds the indexes of a table.
func New(t Table) *Table {
	t.routes = make(map[routeKey]*Route, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		t.routes[routeKey{r.Host, r.Prefix}] = r
	}
	t.keys = map[string]*Workspace{}
	for i := range t.Workspaces {
		for _, key := range t.Workspaces[i].Keys {
			t.keys[key] = &t.Workspaces[i]
		}
	}
	return &t
}

// Match returns the route with the longest prefix of path among those of the host, and nil without one.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	host = strings.ToLower(host)
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := t.routes[routeKey{host, path[:slash+1]}]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// WorkspaceNamed returns the workspace of a name, and nil for an unknown one.
func (t *Table) WorkspaceNamed(name string) *Workspace {
	for i := range t.Workspaces {
		if t.Workspaces[i].Name == name {
			return &t.Workspaces[i]
		}
	}
	return nil
}

// Workspace returns the holder of an API key, and nil for an unknown key.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }
