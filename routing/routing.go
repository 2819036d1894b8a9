// Package routing holds the routing table: routes by host and path prefix, services, and workspaces with their API
// keys. A table is immutable after New.
package routing

import (
	"net"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says whether requests of a route may be repeated.
type Kind int

// Kinds of a route.
const (
	NonIdempotent Kind = iota // at most one run for each attempt of a caller
	Idempotent
	Streaming // server-sent events; at most one run, unless the route is resumable
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name          string
	Host          string // lower case, without port
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Resumable     bool          // a stream may be resumed at another endpoint after the last event that was delivered
	Timeout       time.Duration // maximum time until the end of the answer; 0: none
	TargetLatency time.Duration // objective for the time to the answer, or to the first event of a stream
	TargetGap     time.Duration // objective for the time between two events of a stream
	Priority      int           // 0 is the most urgent
	Shares        []Share
	// AllowedRegions are the regions whose endpoints may get requests; empty: all.
	AllowedRegions []string
	MaxAttempts    int  // endpoints that may run one attempt of a caller; at least 1
	Public         bool // no API key needed
}

// Share is a service's share of the traffic of a route.
type Share struct {
	Service string
	Weight  float64 // relative to the weights of the other shares
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Service picks the service for a request by the hash of its ID, so that all attempts of a request go to the same one.
// It returns "" for a route without shares.
func (r *Route) Service(requestID string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	draw := HashFraction(requestID) * total
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

// HashFraction hashes a request ID to a number in [0, 1). Numbers are evenly distributed, and the same on each
// instance.
func HashFraction(requestID string) float64 {
	return float64(xxhash.Sum64String(requestID)>>11) / (1 << 53)
}

// Service describes a set of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// ColdPerSecond is the number of requests a second that a cold endpoint tolerates from all instances together; 0: its
	// endpoints are never cold.
	ColdPerSecond float64
	MaxConns      int      // connections that an endpoint accepts from all instances together; 0: unknown
	Engine        *Engine  // nil unless the service is a model service
	Scaling       *Scaling // nil unless the system sizes the service's pool
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots         int   // requests that run at once
	KVTokens      int64 // tokens that the KV cache holds
	KVTokenBytes  int64
	LinkMbps      float64
	EventTokens   int           // tokens per event of a stream
	Moves         bool          // running requests can be moved with their KV cache
	Backups       bool          // the KV cache of a run can be copied to another engine as it grows
	MaxCacheWaits int           // maximum number of calls waiting for cache events at an engine
	HandleTTL     time.Duration // how long an engine keeps a copied KV cache
}

// Scaling bounds the number of endpoints of a service. The bounds hold for each zone.
type Scaling struct {
	Min, Max         int
	StartupTime      time.Duration // time from ordering an endpoint until it serves
	ReclaimablePrice float64       // relative to on-demand endpoints of the same zone; 0: none available
	ZonePrices       map[string]float64
}

// Workspace is a tenant with its API keys, priority and quota.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int // takes precedence over the route's; nil: none
	Quota    Quota
	// AllowedRegions are the regions whose endpoints may get requests, in addition to the rule of the route; empty: all.
	AllowedRegions []string
}

// Quota limits what a workspace may use over all instances together. The zero value means no limit.
type Quota struct {
	PerSecond   float64 // requests or tokens per second
	Burst       float64 // requests or tokens that may be used at once
	Tokens      bool    // counted in tokens, else in requests
	PlainTokens float64 // tokens counted for a request without a token count
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

// CanonicalHost returns the form of a Host header in which routes name their host: in lower case, without a port.
func CanonicalHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// Match returns the route with the longest prefix of path among those of the host, and nil without one.
func (t *Table) Match(host, path string) *Route {
	host = CanonicalHost(host)
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

// WorkspaceNamed returns the workspace with a name, and nil if there is none.
func (t *Table) WorkspaceNamed(name string) *Workspace {
	for i := range t.Workspaces {
		if t.Workspaces[i].Name == name {
			return &t.Workspaces[i]
		}
	}
	return nil
}

// Workspace returns the workspace that an API key belongs to, and nil for an unknown key.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }
