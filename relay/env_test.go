package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/standin"
)

// testEnv is a core, stand-in endpoints on loopback and the relays in front of them.
type testEnv struct {
	t         testing.TB
	mu        sync.Mutex
	core      *core.Core
	events    []core.Event // posted by the relays so far
	instances []cloud.Instance
	engines   map[string]*standin.Engine
	services  map[string]*standin.Service
	streamGap time.Duration
	delayed   chan core.Event // posted events that are applied with a delay; nil to apply events immediately
	onCrash   func(core.EndpointCrashed)
}

func newTestEnv(t testing.TB) *testEnv {
	env := &testEnv{
		t: t, core: core.New(core.Settings{Instance: "e1"}), engines: map[string]*standin.Engine{},
		services: map[string]*standin.Service{},
	}
	env.stepCore(core.ConfigAccepted{Revision: 1, Services: []config.Service{
		{Name: "wording", Kind: config.KindModel, ServingVersion: "v1", Versions: []config.Version{{Name: "v1"}}, Routes: []config.Route{
			{Name: "chat", Path: "/v1/chat/completions", Methods: []string{"POST"}, Idempotent: true, Timeout: 20 * time.Second},
		}},
		{Name: "orders", Kind: config.KindPlain, ServingVersion: "v1", Versions: []config.Version{{Name: "v1"}}, Routes: []config.Route{
			{Name: "read", Path: "/", Idempotent: true, Timeout: 20 * time.Second},
			{Name: "short", Path: "/short", Idempotent: true, Timeout: 500 * time.Millisecond},
			{Name: "book", Path: "/book", Methods: []string{"POST"}, Timeout: 2 * time.Second},
		}},
	}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
			env.stepCore()
		}
	}()
	return env
}

func (env *testEnv) stepCore(events ...core.Event) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.core.Step(time.Now(), events...)
}

func (env *testEnv) post(e core.Event) {
	if env.delayed != nil {
		env.delayed <- e
		return
	}
	env.apply(e)
}

func (env *testEnv) apply(e core.Event) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.events = append(env.events, e)
	if c, ok := e.(core.EndpointCrashed); ok && env.onCrash != nil {
		env.onCrash(c)
	}
	env.core.Step(time.Now(), e)
}

// applyDelayed makes posted events apply in order, each after a delay.
func (env *testEnv) applyDelayed(delay time.Duration) {
	env.delayed = make(chan core.Event, 1000)
	go func() {
		for e := range env.delayed {
			time.Sleep(delay)
			env.apply(e)
		}
	}()
}

// crashRequestCounts returns the number of running requests in each posted crash.
func (env *testEnv) crashRequestCounts() (counts []int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, e := range env.events {
		if c, ok := e.(core.EndpointCrashed); ok {
			counts = append(counts, len(c.Running))
		}
	}
	return counts
}

func (env *testEnv) addInstance(in cloud.Instance) {
	in.Role, in.Version, in.State = cloud.RoleEndpoint, "v1", cloud.StateLive
	env.instances = append(env.instances, in)
	env.stepCore(core.InstancesListed{Instances: env.instances})
}

func (env *testEnv) serve(h http.Handler) string {
	srv := httptest.NewServer(h)
	env.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return strings.TrimPrefix(srv.URL, "http://")
}

// startEngine starts a stand-in engine and lists it as an endpoint.
func (env *testEnv) startEngine(id, domain string, cfg standin.EngineConfig) *standin.Engine {
	cfg.ID = id
	e := standin.NewEngine(cfg)
	env.engines[id] = e
	env.addInstance(cloud.Instance{ID: id, Address: env.serve(e), FailureDomain: domain, Service: "wording"})
	return e
}

// startService starts a stand-in plain service and lists it as an endpoint.
func (env *testEnv) startService(id string, cfg standin.ServiceConfig) *standin.Service {
	cfg.ID = id
	s := standin.NewService(cfg)
	env.services[id] = s
	env.addInstance(cloud.Instance{ID: id, Address: env.serve(s), FailureDomain: "fd1", Service: "orders"})
	return s
}

// startRelay starts a relay and returns it with its base URL.
func (env *testEnv) startRelay(cfg Config) (*Relay, string) {
	if cfg.Instance == "" {
		cfg.Instance, cfg.FailureDomain = "e1", "fd1"
	}
	cfg.Post = env.post
	if cfg.Snapshots == nil {
		cfg.Snapshots = env.core.Snapshot
	}
	cfg.Dispatch = dispatch.New(dispatch.Settings{StreamGap: env.streamGap})
	r := New(cfg)
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = NewServer(r)
	srv.Start()
	env.t.Cleanup(func() { r.Close(); srv.CloseClientConnections(); srv.Close() })
	return r, srv.URL
}

func chatBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(
		`{"model":"wording","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%t,"seed":7}`,
		prompt, tokens, stream)
}

// reply is an answer as a caller receives it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// text returns the concatenated contents of a stream.
func (r reply) text() string {
	var b strings.Builder
	for line := range strings.Lines(r.body) {
		_, after, ok := strings.Cut(line, `"delta":{"content":"`)
		if ok {
			content, _, _ := strings.Cut(after, `"}`)
			b.WriteString(content)
		}
	}
	return b.String()
}

func send(method, url, body string, header ...string) reply {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

func chat(url, prompt string, tokens int) reply {
	return send("POST", url+"/v1/chat/completions", chatBody(prompt, tokens, true))
}

func mustBeComplete(t testing.TB, r reply, prompt string, tokens int) {
	t.Helper()
	must.NoError(t, r.err)
	must.Eq(t, 200, r.status, must.Sprint(r.body))
	must.Eq(t, standin.EngineText(7, prompt, tokens), r.text())
	must.StrContains(t, r.body, "data: [DONE]")
}

// sequentialIDs returns a generator of consecutive IDs.
func sequentialIDs() func() string {
	var n atomic.Int64
	return func() string { return fmt.Sprintf("%04d", n.Add(1)) }
}

// splitComment separates the comment about resumes from the rest of a stream.
func splitComment(body string) (stream, comment string) {
	if i := strings.LastIndex(body, ": endpoint="); i >= 0 {
		return body[:i], body[i:]
	}
	return body, ""
}

// lostAttempts returns the attempts at an endpoint that the relays have reported as lost.
func (env *testEnv) lostAttempts(endpoint string) (lost []core.AttemptDone) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, e := range env.events {
		if d, ok := e.(core.AttemptDone); ok && d.Endpoint == endpoint && d.Result == core.EndpointLost {
			lost = append(lost, d)
		}
	}
	return lost
}
