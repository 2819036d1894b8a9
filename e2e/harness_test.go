// Package e2e tests entry instances as real processes: killed, frozen, reclaimed and restarted under load.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/entry"
	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/standin"
)

// binary is the path of the entry daemon built by TestMain.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "trefoillug")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/trefoillug").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const balancerDelay = 500 * time.Millisecond

// world is a platform of stand-ins with entry instances as processes.
type world struct {
	t        testing.TB
	store    *standin.Objects
	storeURL string // for the instances
	direct   string // store URL for operators
	cloud    *httptest.Server
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	entries  []*process
}

// process is an entry instance.
type process struct {
	id, domain, caller, peer string
	cmd                      *exec.Cmd
	log                      string
	exited                   chan struct{}
}

func newWorld(t testing.TB) *world {
	w := &world{t: t, store: standin.NewObjects(standin.ObjectsOptions{}), engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{}}
	store := httptest.NewServer(w.store)
	w.storeURL, w.direct = store.URL, store.URL
	w.cloud = httptest.NewServer(standin.NewCloud(time.Second))
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
		w.cloud.CloseClientConnections()
		w.cloud.Close()
	})
	return w
}

func (w *world) register(in cloud.Instance) {
	in.State, in.Reclaimable, in.Price = cloud.StateLive, true, 1
	body, err := json.Marshal(in)
	must.NoError(w.t, err)
	w.send(http.MethodPut, w.cloud.URL+"/instances/"+in.ID, body)
}

func (w *world) send(method, url string, body []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	must.NoError(w.t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(w.t, err)
	must.NoError(w.t, resp.Body.Close())
}

// serve runs an endpoint's handler and puts it on the instance list.
func (w *world) serve(id, domain, service, version string, h http.Handler) {
	s := httptest.NewServer(h)
	w.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	w.register(cloud.Instance{
		ID: id, Address: strings.TrimPrefix(s.URL, "http://"), FailureDomain: domain, Role: cloud.RoleEndpoint,
		Service: service, Version: version,
	})
}

func (w *world) engine(id, domain, version string) *standin.Engine {
	e := standin.NewEngine(standin.EngineConfig{ID: id, DecodeStep: 10 * time.Millisecond})
	w.engines[id] = e
	w.serve(id, domain, "labels", version, e)
	return e
}

func (w *world) service(id, domain string) *standin.Service {
	s := standin.NewService(standin.ServiceConfig{ID: id, Work: 10 * time.Millisecond})
	w.services[id] = s
	w.serve(id, domain, "orders", "v1", s)
	return s
}

// start runs an entry instance and waits until it answers.
func (w *world) start(id, domain string) *process {
	p := &process{id: id, domain: domain, caller: standin.FreeAddress(), peer: standin.FreeAddress(), exited: make(chan struct{})}
	var seeds []string
	for _, other := range w.entries {
		seeds = append(seeds, other.peer)
	}
	p.cmd = exec.Command(binary, "entry", "--id", id, "--failure-domain", domain, "--listen", p.caller, "--peer-listen", p.peer,
		"--peers", strings.Join(append(seeds, p.peer), ","), "--store", w.storeURL, "--platform", w.cloud.URL,
		"--balancer-delay", balancerDelay.String())
	p.log = filepath.Join(w.t.TempDir(), id+".log")
	file, err := os.Create(p.log)
	must.NoError(w.t, err)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	must.NoError(w.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = file.Close()
		close(p.exited)
	}()
	w.t.Cleanup(func() { w.stopForGood(p) })
	w.register(cloud.Instance{ID: id, Address: p.peer, FailureDomain: domain, Role: cloud.RoleEntry})
	w.entries = append(w.entries, p)
	w.eventually(10*time.Second, "instance "+id+" answers", func() bool { return p.get("/healthz") })
	return p
}

func (w *world) stopForGood(p *process) {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
	if w.t.Failed() {
		raw, _ := os.ReadFile(p.log)
		w.t.Logf("log of %s:\n%s", p.id, raw[max(0, len(raw)-4000):])
	}
}

func (p *process) signal(t testing.TB, s os.Signal) { must.NoError(t, p.cmd.Process.Signal(s)) }

func (p *process) get(path string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.peer + path)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *process) ready() bool { return p.get("/readyz") }

func (p *process) status() entry.Status {
	var st entry.Status
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.peer + "/status")
	if err != nil {
		return st
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&st)
	return st
}

// knows reports whether the instance knows at least n endpoints of every service.
func (p *process) knows(n int) bool {
	services := p.status().Services
	for _, s := range services {
		if len(s.Endpoints) < n {
			return false
		}
	}
	return len(services) > 0
}

// publish puts services in effect at the store and waits for the named instances.
func (w *world) publish(services []config.Service, waitFor ...*process) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	client := objstore.NewClient(w.direct, nil)
	res, err := config.NewPublisher(client).Publish(ctx, services, nil)
	must.NoError(w.t, err)
	for _, p := range waitFor {
		w.eventually(13*time.Second, "revision in effect at "+p.id, func() bool { return p.status().Revision >= res.Revision })
	}
	return res.Revision
}

// services returns the two services of the tests, decoded as an operator would write them.
func testServices(t testing.TB, extra string) []config.Service {
	files := []config.File{
		{Name: "labels.yaml", Data: []byte("service: labels\nkind: model\nversions: [v1, v2]\nserve: v1\nworkspaces: [{name: bakeries}]\n" + extra)},
		{Name: "orders.yaml", Data: []byte("service: orders\nkind: plain\nversions: [v1]\nworkspaces: [{name: bakeries}]\n" +
			"routes: [{path: /orders, methods: [POST], timeout: 8s}]\n")},
	}
	services, err := config.DecodeFiles(files, time.Now())
	must.NoError(t, err)
	return services
}

// cluster starts three instances in three failure domains before two engines and two services.
func cluster(t testing.TB) *world { return newWorld(t).populate() }

func (w *world) populate() *world {
	w.engine("m1", "a", "v1")
	w.engine("m2", "b", "v1")
	w.service("s1", "a")
	w.service("s2", "b")
	for i, domain := range []string{"a", "b", "c"} {
		w.start(fmt.Sprintf("entry-%d", i+1), domain)
	}
	w.publish(testServices(w.t, ""), w.entries...)
	w.awaitReady(w.entries...)
	for _, p := range w.entries {
		w.eventually(10*time.Second, "all endpoints known at "+p.id, func() bool { return p.knows(2) })
	}
	return w
}

func (w *world) awaitReady(ps ...*process) {
	for _, p := range ps {
		w.eventually(10*time.Second, p.id+" is ready", p.ready)
	}
}

func (w *world) eventually(limit time.Duration, what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.t.Fatalf("not within %s: %s", limit, what)
}

// answer is what a caller got.
type answer struct {
	status   int
	header   http.Header
	body     string
	err      error
	instance *process
}

func (a answer) text() string { return strings.Join(contents(a.body), "") }

// lastID returns the ID of the last whole event of a stream.
func (a answer) lastID() string {
	id := ""
	for _, block := range strings.Split(a.body, "\n\n") {
		for _, line := range strings.Split(block, "\n") {
			if v, ok := strings.CutPrefix(line, "id: "); ok && strings.Contains(block, "\ndata: ") && strings.HasSuffix(block, "}") {
				id = v
			}
		}
	}
	return id
}

// contents returns the token texts of whole events.
func contents(body string) []string {
	var texts []string
	for _, line := range strings.Split(body, "\n") {
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			texts = append(texts, chunk.Choices[0].Delta.Content)
		}
	}
	return texts
}

func (p *process) do(method, path, body string, header ...string) answer {
	return p.doAndAct(method, path, body, 0, nil, header...)
}

// doAndAct sends a request and calls act once when that many events of the answer have arrived.
func (p *process) doAndAct(method, path, body string, events int, act func(), header ...string) answer {
	req, err := http.NewRequest(method, "http://"+p.caller+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err, instance: p}
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	req.Header.Set("X-Workspace", "bakeries")
	client := http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err, instance: p}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, header: resp.Header, instance: p}
	buf := make([]byte, 4096)
	for a.err == nil {
		n, err := resp.Body.Read(buf)
		a.body += string(buf[:n])
		a.err = err
		if act != nil && strings.Count(a.body, "\n\n") >= events {
			act()
			act = nil
		}
	}
	if a.err == io.EOF {
		a.err = nil
	}
	return a
}

func chatBody(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":"labels","stream":true,"seed":7,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
}

func (p *process) chat(prompt string, tokens int, header ...string) answer {
	return p.do(http.MethodPost, "/v1/chat/completions", chatBody(prompt, tokens), header...)
}

// chatAndAct starts a stream and calls act once when that many events have arrived.
func (p *process) chatAndAct(prompt string, tokens, events int, act func()) answer {
	return p.doAndAct(http.MethodPost, "/v1/chat/completions", chatBody(prompt, tokens), events, act)
}

func (p *process) order(key, body string) answer {
	return p.do(http.MethodPost, "/services/orders/orders", body, "Idempotency-Key", key)
}

// runs returns how often a key ran at all services.
func (w *world) runs(key string) int {
	n := 0
	for _, s := range w.services {
		n += s.Counts().ByKey[key]
	}
	return n
}
