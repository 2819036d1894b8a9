package standin

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Names of the host, services, keys and workspaces in PlatformConfig, and the quota.
const (
	PlatformHost             = "app.example"
	PlatformOtherHost        = "other.example" // has the routes look and book, too
	PlatformModels           = "models"
	PlatformOrders           = "orders"
	PlatformOpenKey          = "key-open" // key of PlatformOpenWorkspace, whose quota is too high to be reached
	PlatformOpenWorkspace    = "open"
	PlatformSecondWorkspace  = "second" // has the quota of PlatformOpenWorkspace
	PlatformSecondKey        = "key-second"
	PlatformLimitedWorkspace = "tight"     // workspace with a quota and burst of PlatformLimitedRate tokens a second
	PlatformLimitedKey       = "key-tight" // key of PlatformLimitedWorkspace

	// PlatformRouteTimeout is the timeout of each route but PlatformDraftRoute.
	PlatformRouteTimeout = 4 * time.Second
	// PlatformDraftRoute is the route of long streams, and PlatformDraftTimeout its timeout.
	PlatformDraftRoute   = "draft"
	PlatformDraftTimeout = 15 * time.Second

	PlatformLimitedRate = 3000 // tokens a second
	// PlatformQuotaSlack is the number of tokens by which a quota may be exceeded, in addition to a tenth of it.
	PlatformQuotaSlack = 3000
)

// PlatformConfig is a configuration of the users' platform for tests. It has routes for streams that can be resumed
// (/notes/) and that can't (/chat/), and for plain requests that are idempotent (/look/) and that are not (/book/).
type PlatformConfig struct {
	Version     int
	ExtraRoutes []string // names of additional routes to PlatformOrders; new-1 has the path prefix /new-1/
	ExtraKeys   []string // additional keys of the workspace "open"
}

// Object returns the spec of the configuration's object.
func (c PlatformConfig) Object() map[string]any {
	routes := []any{
		c.route("chat", "streaming", map[string]any{"service": PlatformModels, "maxAttempts": 1, "targetGapMs": 500}),
		c.route(PlatformDraftRoute, "streaming", map[string]any{"service": PlatformModels, "maxAttempts": 1, "targetGapMs": 500, "timeoutMs": PlatformDraftTimeout.Milliseconds()}),
		c.route("notes", "streaming", map[string]any{"service": PlatformModels, "maxAttempts": 2, "resumable": true, "targetGapMs": 500}),
		c.route("book", "non_idempotent", map[string]any{"service": PlatformOrders, "maxAttempts": 1}),
		c.route("look", "idempotent", map[string]any{"service": PlatformOrders, "maxAttempts": 2}),
		c.route("book", "non_idempotent", map[string]any{"service": PlatformOrders, "maxAttempts": 1, "host": PlatformOtherHost, "name": "other-book"}),
		c.route("look", "idempotent", map[string]any{"service": PlatformOrders, "maxAttempts": 2, "host": PlatformOtherHost, "name": "other-look"}),
	}
	for _, name := range c.ExtraRoutes {
		routes = append(routes, c.route(name, "idempotent", map[string]any{"service": PlatformOrders, "maxAttempts": 2}))
	}
	return map[string]any{
		"version": c.Version, "routes": routes,
		"services": []any{
			map[string]any{"name": PlatformModels, "healthPath": "/health", "maxConns": 400, "engine": map[string]any{"slots": 64, "kvCapacity": 1000000, "stride": 6, "moves": true}},
			map[string]any{"name": PlatformOrders, "healthPath": "/health", "maxConns": 400},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": PlatformSecondWorkspace, "apiKeys": []string{PlatformSecondKey}, "unit": "tokens", "plainTokens": 100, "ratePerS": 1e6, "burst": 1e6},
			map[string]any{"name": PlatformOpenWorkspace, "apiKeys": append([]string{PlatformOpenKey}, c.ExtraKeys...), "unit": "tokens", "plainTokens": 100, "ratePerS": 1e6, "burst": 1e6},
			map[string]any{"name": PlatformLimitedWorkspace, "apiKeys": []string{PlatformLimitedKey}, "unit": "tokens", "plainTokens": 100, "ratePerS": PlatformLimitedRate, "burst": PlatformLimitedRate},
		},
	}
}

func (PlatformConfig) route(name, kind string, extra map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": PlatformHost, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": PlatformRouteTimeout.Milliseconds(), "targetLatencyMs": 500, "priority": 1,
	}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

// PlatformMachine is a machine of the users' platform that runs an instance.
type PlatformMachine struct {
	Name, Zone                 string
	Front, Ready, Control      string // host:port
	Seeds                      []string
	StoreAddress, CloudAddress string // host:port
	// Restarted is set once the machine has run an instance before.
	Restarted bool
}

// Settings returns the machine's settings file.
func (m PlatformMachine) Settings() string {
	quoted := make([]string, len(m.Seeds))
	for i, s := range m.Seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	return fmt.Sprintf(`node = %q
role = "node"
class = "edge"
zone = %q
region = "r"
seeds = [%s]
bootstrap = %t
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 1.0
cores = 1
memoryMb = 284
maxFds = 4100
[bounds]
drainMs = 2000
graceS = 8
leaseMs = 3000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
quotaOverage = 0.1
quotaSlack = %d
usageWindowS = 2
usageLateS = 10
exposeShare = 0.1
[platform]
address = %q
[cloud]
address = %q
duties = ["usage_report"]
`, m.Name, m.Zone, strings.Join(quoted, ","), !m.Restarted, m.Front, m.Ready, m.Control, PlatformQuotaSlack, m.StoreAddress, m.CloudAddress)
}

// ReadyURL returns the URL of the readiness check that the balancer calls.
func (m PlatformMachine) ReadyURL() string { return "http://" + m.Ready + "/trefoillug/ready" }

// PlatformCall is a request of a caller.
type PlatformCall struct {
	ID       string
	Route    string // first part of the path
	Key      string
	Stream   bool
	Prompt   int // tokens; only for streams
	Output   int // tokens; only for streams
	Deadline time.Duration
	Block    string // ID of a prompt block between the first one, which all streams share, and the last one; empty: none
	After    int    // number of the last event that the caller has; 0: none
	Form     string // EventAnswer or UnnumberedAnswer for plain requests whose answers are events; empty: others
	// Content is what all repeats of a plain request have in common; nil: the request has no repeats.
	Content *PlatformContent
}

// PlatformContent is the content of a plain request that comes again under other IDs.
type PlatformContent struct {
	Host  string
	Name  string // rest of the path
	Query string
	Kind  string // value of the header X-Kind
	User  string // value of a field of the body
}

// deadlyNames begins the names of deadly contents.
const deadlyNames = "deadly-"

// DeadlyContent returns the content of a request that crashes workers, from the workspace PlatformOpenWorkspace.
func DeadlyContent(n int) PlatformContent {
	return PlatformContent{Host: PlatformHost, Name: fmt.Sprint(deadlyNames, n), Query: "q=1", Kind: "a", User: "kitchen-13"}
}

func (c PlatformContent) body() string { return fmt.Sprintf(`{"user":%q,"item":"aprons"}`, c.User) }

// IsDeadlyContent reports whether a request that has reached a worker has a content of DeadlyContent.
func IsDeadlyContent(r *http.Request, body []byte) bool {
	_, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	c := PlatformContent{Host: r.Host, Name: name, Query: r.URL.RawQuery, Kind: r.Header.Get("X-Kind"), User: "kitchen-13"}
	deadly := DeadlyContent(0)
	deadly.Name = name
	return strings.HasPrefix(name, deadlyNames) && c == deadly && string(body) == deadly.body() && r.Header.Get("X-Trefoillug-Tenant") == PlatformOpenWorkspace
}

// Request returns the call as a request to an instance at host:port.
func (c PlatformCall) Request(ctx context.Context, address string) (*http.Request, error) {
	method, body := http.MethodPost, "body of "+c.ID
	if c.Route == "look" {
		method, body = http.MethodGet, ""
	}
	if c.Content != nil {
		method, body = http.MethodPost, c.Content.body()
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+c.path(), strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = PlatformHost
	if c.Content != nil {
		req.Host = c.Content.Host
		req.Header.Set("X-Kind", c.Content.Kind)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("X-Trefoillug-Attempt-Id", c.ID)
	req.Header.Set("X-Trefoillug-Deadline-Ms", fmt.Sprint(c.Deadline.Milliseconds()))
	if c.After > 0 {
		req.Header.Set("Last-Event-Id", fmt.Sprint(c.After))
	}
	if c.Stream {
		req.Header.Set("X-Trefoillug-Token-Count", fmt.Sprintf("%d,%d", c.Prompt, c.Output))
		req.Header.Set("X-Trefoillug-Prompt-Prefix", c.blocks())
	}
	return req, nil
}

// blocks returns the blocks of the prompt as the header lists them.
func (c PlatformCall) blocks() string {
	rest := c.Prompt - c.Prompt/2
	if c.Block == "" {
		return fmt.Sprintf("aa:%d,%s:%d", c.Prompt/2, c.ID, rest)
	}
	return fmt.Sprintf("aa:%d,%s:%d,%s:%d", c.Prompt/2, c.Block, rest/2, c.ID, rest-rest/2)
}

// Timeout returns the timeout of the call's route.
func (c PlatformCall) Timeout() time.Duration {
	if c.Route == PlatformDraftRoute {
		return PlatformDraftTimeout
	}
	return PlatformRouteTimeout
}

func (c PlatformCall) path() string {
	if c.Content != nil {
		return "/" + c.Route + "/" + c.Content.Name + "?" + c.Content.Query
	}
	if c.Form != "" {
		return "/" + c.Route + "/" + c.ID + "/" + c.Form
	}
	return "/" + c.Route + "/" + c.ID
}

// HasEvents reports whether the answer to the call is a stream of events.
func (c PlatformCall) HasEvents() bool { return c.Stream || c.Form != "" }

// Resumable reports whether the rest of the answer may come from another run.
func (c PlatformCall) Resumable() bool { return c.Route == "notes" }

// IsComplete reports whether a body is the complete answer to the call from a worker that sends a number of events.
func (c PlatformCall) IsComplete(body string, events int) bool {
	if c.Stream {
		var want strings.Builder
		for k := 1; k <= events; k++ {
			fmt.Fprintf(&want, "id: %d\ndata: token %d of %s\n\n", k, k, c.ID)
		}
		return body == want.String()
	}
	length := len("body of " + c.ID)
	if c.Route == "look" {
		length = 0
	}
	if c.Content != nil {
		length = len(c.Content.body())
	}
	return strings.HasSuffix(body, fmt.Sprintf(" %s %d", c.path(), length))
}

// Moved reports whether a run continues with the KV cache of an earlier one and so counts as the same run.
func (r PlatformRun) Moved() bool { return r.Header.Get("Kv-From") != "" }

// Workspace returns the workspace that the instance passed to the worker.
func (r PlatformRun) Workspace() string { return r.Header.Get("X-Trefoillug-Tenant") }

// Cost returns the number of tokens that the run counts against the quota of its workspace.
func (r PlatformRun) Cost() float64 {
	var prompt, output float64
	if _, err := fmt.Sscanf(r.Header.Get("X-Trefoillug-Token-Count"), "%g,%g", &prompt, &output); err != nil {
		return 100 // plain requests
	}
	return prompt + output
}

// Continues reports whether a run resumes the stream of an earlier one.
func (r PlatformRun) Continues() bool { return r.Header.Get("Last-Event-Id") != "" }

// NewPlatformRun returns a run as a worker records it, for tests of code that checks runs.
func NewPlatformRun(id, worker, workspace string, at time.Time, moved bool) PlatformRun {
	r := PlatformRun{ID: id, Worker: worker, At: at, Header: http.Header{"X-Trefoillug-Tenant": {workspace}}}
	if moved {
		r.Header.Set("Kv-From", "127.0.0.1:1/h-1")
	}
	return r
}
