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

// world is a core with stand-in endpoints on loopback and the relays in front of them.
type world struct {
	t         testing.TB
	mu        sync.Mutex
	core      *core.Core
	events    []core.Event // posted so far
	instances []cloud.Instance
	engines   map[string]*standin.Engine
	services  map[string]*standin.Service
	gap       time.Duration
	queue     chan core.Event // posted events that are applied late; nil: at once
	onCrash   func(core.EndpointCrashed)
}

func newWorld(t testing.TB) *world {
	w := &world{
		t: t, core: core.New(core.Settings{Instance: "e1"}), engines: map[string]*standin.Engine{},
		services: map[string]*standin.Service{},
	}
	w.step(core.ConfigAccepted{Revision: 1, Services: []config.Service{
		{Name: "wording", Kind: config.KindModel, Serve: "v1", Versions: []config.Version{{Name: "v1"}}, Routes: []config.Route{
			{Name: "chat", Path: "/v1/chat/completions", Methods: []string{"POST"}, Idempotent: true, Timeout: 20 * time.Second},
		}},
		{Name: "orders", Kind: config.KindPlain, Serve: "v1", Versions: []config.Version{{Name: "v1"}}, Routes: []config.Route{
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
			w.step()
		}
	}()
	return w
}

func (w *world) step(events ...core.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.Step(time.Now(), events...)
}

func (w *world) post(e core.Event) {
	if w.queue != nil {
		w.queue <- e
		return
	}
	w.apply(e)
}

func (w *world) apply(e core.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
	if c, ok := e.(core.EndpointCrashed); ok && w.onCrash != nil {
		w.onCrash(c)
	}
	w.core.Step(time.Now(), e)
}

// applyLate applies posted events in order, each after a delay.
func (w *world) applyLate(delay time.Duration) {
	w.queue = make(chan core.Event, 1000)
	go func() {
		for e := range w.queue {
			time.Sleep(delay)
			w.apply(e)
		}
	}()
}

// crashes returns the numbers of fingerprints of the crashes posted.
func (w *world) crashes() (counts []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.events {
		if c, ok := e.(core.EndpointCrashed); ok {
			counts = append(counts, len(c.Running))
		}
	}
	return counts
}

func (w *world) list(in cloud.Instance) {
	in.Role, in.Version, in.State = cloud.RoleEndpoint, "v1", cloud.StateLive
	w.instances = append(w.instances, in)
	w.step(core.InstancesListed{Instances: w.instances})
}

func (w *world) serve(h http.Handler) string {
	srv := httptest.NewServer(h)
	w.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return strings.TrimPrefix(srv.URL, "http://")
}

// engine starts an engine and lists it.
func (w *world) engine(id, domain string, cfg standin.EngineConfig) *standin.Engine {
	cfg.ID = id
	e := standin.NewEngine(cfg)
	w.engines[id] = e
	w.list(cloud.Instance{ID: id, Address: w.serve(e), FailureDomain: domain, Service: "wording"})
	return e
}

// service starts a plain service and lists it.
func (w *world) service(id string, cfg standin.ServiceConfig) *standin.Service {
	cfg.ID = id
	s := standin.NewService(cfg)
	w.services[id] = s
	w.list(cloud.Instance{ID: id, Address: w.serve(s), FailureDomain: "fd1", Service: "orders"})
	return s
}

// relay starts a relay and returns it with its base URL.
func (w *world) relay(cfg Config) (*Relay, string) {
	if cfg.Instance == "" {
		cfg.Instance, cfg.FailureDomain = "e1", "fd1"
	}
	cfg.Post = w.post
	if cfg.Snapshots == nil {
		cfg.Snapshots = w.core.Snapshot
	}
	cfg.Dispatch = dispatch.New(dispatch.Settings{StreamGap: w.gap})
	r := New(cfg)
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = NewServer(r)
	srv.Start()
	w.t.Cleanup(func() { r.Close(); srv.CloseClientConnections(); srv.Close() })
	return r, srv.URL
}

func chatBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"wording","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%t,"seed":7}`, prompt, tokens, stream)
}

// reply is a caller's view of an answer.
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

func mustWhole(t testing.TB, r reply, prompt string, tokens int) {
	t.Helper()
	must.NoError(t, r.err)
	must.Eq(t, 200, r.status, must.Sprint(r.body))
	must.Eq(t, standin.EngineText(7, prompt, tokens), r.text())
	must.StrContains(t, r.body, "data: [DONE]")
}

// counter returns an ID generator that counts.
func counter() func() string {
	var n atomic.Int64
	return func() string { return fmt.Sprintf("%04d", n.Add(1)) }
}

// cutComment splits the comment about resumes off a stream.
func cutComment(body string) (stream, comment string) {
	if i := strings.LastIndex(body, ": endpoint="); i >= 0 {
		return body[:i], body[i:]
	}
	return body, ""
}
