// Package e2e tests entry instances as real processes that are killed, frozen, reclaimed and restarted under load.
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

// binary is the path of the trefoillug binary that TestMain builds.
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

// balancerDelay is the time within which the balancer notices that an instance is not ready.
const balancerDelay = 500 * time.Millisecond

// testEnv is a platform of stand-ins with entry instances that run as processes.
type testEnv struct {
	t           testing.TB
	store       *standin.Objects
	storeURL    string // URL that the instances use for the store
	operatorURL string // URL of the store itself, for operators
	cloud       *httptest.Server
	engines     map[string]*standin.Engine
	services    map[string]*standin.Service
	entries     []*process
}

// process is the process of an entry instance.
type process struct {
	id, domain, listen, peerListen string
	cmd                            *exec.Cmd
	log                            string
	exited                         chan struct{}
}

func newTestEnv(t testing.TB) *testEnv {
	env := &testEnv{t: t, store: standin.NewObjects(standin.ObjectsOptions{}), engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{}}
	store := httptest.NewServer(env.store)
	env.storeURL, env.operatorURL = store.URL, store.URL
	env.cloud = httptest.NewServer(standin.NewCloud(time.Second))
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
		env.cloud.CloseClientConnections()
		env.cloud.Close()
	})
	return env
}

// register puts a live instance on the instance list.
func (env *testEnv) register(in cloud.Instance) {
	in.State, in.Reclaimable, in.Price = cloud.StateLive, true, 1
	body, err := json.Marshal(in)
	must.NoError(env.t, err)
	env.send(http.MethodPut, env.cloud.URL+"/instances/"+in.ID, body)
}

func (env *testEnv) send(method, url string, body []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	must.NoError(env.t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(env.t, err)
	must.NoError(env.t, resp.Body.Close())
}

// serveEndpoint runs an endpoint's handler and puts it on the instance list.
func (env *testEnv) serveEndpoint(id, domain, service, version string, h http.Handler) {
	s := httptest.NewServer(h)
	env.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	env.register(cloud.Instance{
		ID: id, Address: strings.TrimPrefix(s.URL, "http://"), FailureDomain: domain, Role: cloud.RoleEndpoint,
		Service: service, Version: version,
	})
}

func (env *testEnv) startEngine(id, domain, version string) *standin.Engine {
	e := standin.NewEngine(standin.EngineConfig{ID: id, DecodeStep: 10 * time.Millisecond})
	env.engines[id] = e
	env.serveEndpoint(id, domain, "labels", version, e)
	return e
}

func (env *testEnv) startService(id, domain string) *standin.Service {
	s := standin.NewService(standin.ServiceConfig{ID: id, Work: 10 * time.Millisecond})
	env.services[id] = s
	env.serveEndpoint(id, domain, "orders", "v1", s)
	return s
}

// startInstance starts an entry instance and waits until its health check succeeds.
func (env *testEnv) startInstance(id, domain string) *process {
	p := &process{id: id, domain: domain, listen: standin.FreeAddress(), peerListen: standin.FreeAddress(), exited: make(chan struct{})}
	var seeds []string
	for _, other := range env.entries {
		seeds = append(seeds, other.peerListen)
	}
	p.cmd = exec.Command(binary, "entry", "--id", id, "--failure-domain", domain, "--listen", p.listen, "--peer-listen", p.peerListen,
		"--peers", strings.Join(append(seeds, p.peerListen), ","), "--store", env.storeURL, "--platform", env.cloud.URL,
		"--balancer-delay", balancerDelay.String())
	p.log = filepath.Join(env.t.TempDir(), id+".log")
	file, err := os.Create(p.log)
	must.NoError(env.t, err)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	must.NoError(env.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = file.Close()
		close(p.exited)
	}()
	env.t.Cleanup(func() { env.kill(p) })
	env.register(cloud.Instance{ID: id, Address: p.peerListen, FailureDomain: domain, Role: cloud.RoleEntry})
	env.entries = append(env.entries, p)
	env.eventually(10*time.Second, "instance "+id+" answers", func() bool { return p.isOK("/healthz") })
	return p
}

// kill ends a process, even a frozen one, and logs the end of its log if the test has failed.
func (env *testEnv) kill(p *process) {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
	if env.t.Failed() {
		raw, _ := os.ReadFile(p.log)
		env.t.Logf("log of %s:\n%s", p.id, raw[max(0, len(raw)-4000):])
	}
}

func (p *process) signal(t testing.TB, s os.Signal) { must.NoError(t, p.cmd.Process.Signal(s)) }

// isOK reports whether the peer listener answers a path with status 200.
func (p *process) isOK(path string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.peerListen + path)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *process) ready() bool { return p.isOK("/readyz") }

func (p *process) status() entry.Status {
	var st entry.Status
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.peerListen + "/status")
	if err != nil {
		return st
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&st)
	return st
}

// hasEndpoints reports whether the instance lists at least n endpoints of every service.
func (p *process) hasEndpoints(n int) bool {
	services := p.status().Services
	for _, s := range services {
		if len(s.Endpoints) < n {
			return false
		}
	}
	return len(services) > 0
}

// publish publishes a configuration to the store and waits until it is in effect at each instance in waitFor.
func (env *testEnv) publish(services []config.Service, waitFor ...*process) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	client := objstore.NewClient(env.operatorURL, nil)
	res, err := config.NewPublisher(client).Publish(ctx, services, nil)
	must.NoError(env.t, err)
	for _, p := range waitFor {
		env.eventually(13*time.Second, "revision in effect at "+p.id, func() bool { return p.status().Revision >= res.Revision })
	}
	return res.Revision
}

// testServices returns the two services of the tests, decoded from the YAML that an operator writes. extra is appended
// to the model service.
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

// startCluster starts two engines, two services, and three entry instances in three failure domains.
func startCluster(t testing.TB) *testEnv { return newTestEnv(t).populate() }

func (env *testEnv) populate() *testEnv {
	env.startEngine("m1", "a", "v1")
	env.startEngine("m2", "b", "v1")
	env.startService("s1", "a")
	env.startService("s2", "b")
	for i, domain := range []string{"a", "b", "c"} {
		env.startInstance(fmt.Sprintf("entry-%d", i+1), domain)
	}
	env.publish(testServices(env.t, ""), env.entries...)
	env.awaitReady(env.entries...)
	for _, p := range env.entries {
		env.eventually(10*time.Second, "all endpoints listed at "+p.id, func() bool { return p.hasEndpoints(2) })
	}
	return env
}

func (env *testEnv) awaitReady(ps ...*process) {
	for _, p := range ps {
		env.eventually(10*time.Second, p.id+" is ready", p.ready)
	}
}

func (env *testEnv) eventually(limit time.Duration, what string, ok func() bool) {
	env.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	env.t.Fatalf("not within %s: %s", limit, what)
}

// answer is the response that a caller got, possibly incomplete.
type answer struct {
	status   int
	header   http.Header
	body     string
	err      error
	instance *process
}

func (a answer) text() string { return strings.Join(tokenTexts(a.body), "") }

// lastID returns the ID of the last complete event of a stream.
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

// tokenTexts returns the token texts of the complete events.
func tokenTexts(body string) []string {
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

// doAndAct sends a request and calls act once as soon as the given number of events has arrived.
func (p *process) doAndAct(method, path, body string, events int, act func(), header ...string) answer {
	req, err := http.NewRequest(method, "http://"+p.listen+path, strings.NewReader(body))
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

// chatAndAct requests a stream and calls act once as soon as the given number of events has arrived.
func (p *process) chatAndAct(prompt string, tokens, events int, act func()) answer {
	return p.doAndAct(http.MethodPost, "/v1/chat/completions", chatBody(prompt, tokens), events, act)
}

func (p *process) order(key, body string) answer {
	return p.do(http.MethodPost, "/services/orders/orders", body, "Idempotency-Key", key)
}

// runCount returns how often the request with an idempotency key ran, over all services.
func (env *testEnv) runCount(key string) int {
	n := 0
	for _, s := range env.services {
		n += s.Counts().ByKey[key]
	}
	return n
}
