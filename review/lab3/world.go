package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

// Figures of a small installation of the pages.
const (
	contact  = 3 * time.Second // contactMs
	beat     = 1200 * time.Millisecond
	hostName = "app.example"
	// otherHost is the host of a second application of the same service.
	otherHost = "depot.example"
)

// world holds the stand-ins and the instances of one run.
type world struct {
	start   time.Time
	record  *os.File
	program string
	folder  string // of settings and logs; temporary
	store   *standin.PlatformStore
	api     *standin.PlatformAPI
	wrap    func(next http.Handler) http.Handler // around the store; may be nil

	storeAddress, apiAddress string
	duties                   string                                       // of the settings
	linksOf                  func(x *node) (store, api string, err error) // addresses by which an instance reaches them; may be nil

	mu    sync.Mutex
	nodes []*node
	end   []func()
}

// newWorld starts the store and the platform's API on loopback.
func newWorld(record *os.File, program string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), record: record, program: program, folder: folder, store: standin.NewPlatformStore(), api: standin.NewPlatformAPI(), duties: `"usage_report"`}
	if w.storeAddress, err = w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		h := http.Handler(w.store)
		if w.wrap != nil {
			h = w.wrap(h)
		}
		h.ServeHTTP(rw, r)
	})); err != nil {
		return nil, err
	}
	w.apiAddress, err = w.serve(w.api)
	return w, err
}

// serve serves h on a free loopback port.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // ends with Close
	w.end = append(w.end, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// logf writes a line to the record, with the seconds since the start.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and servers.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	for _, end := range w.end {
		end()
	}
	_ = os.RemoveAll(w.folder) // temporary
}

// node is an instance: a process of the deploy file.
type node struct {
	w                     *world
	name                  string
	front, ready, control string
	settings, log         string
	held                  []net.Listener // on its addresses, until its first start
	cmd                   *exec.Cmd
	done                  chan struct{}
}

// holdAddress takes a free address. Nothing else gets it before the instance starts.
func (x *node) holdAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	x.held = append(x.held, l)
	return l.Addr().String(), nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// releaseAddresses closes the listeners of holdAddress.
func (x *node) releaseAddresses() {
	for _, l := range x.held {
		_ = l.Close() // no connection was accepted
	}
	x.held = nil
}

// addNodes prepares n instances that have each other as seeds, and starts them.
func (w *world) addNodes(n int) error {
	var seeds []string
	for i := range n {
		x := &node{w: w, name: fmt.Sprintf("edge-%c-1", 'a'+i)}
		for _, a := range []*string{&x.front, &x.ready, &x.control} {
			var err error
			if *a, err = x.holdAddress(); err != nil {
				return err
			}
		}
		x.settings = filepath.Join(w.folder, x.name+".toml")
		x.log = filepath.Join(w.folder, x.name+".log")
		seeds = append(seeds, fmt.Sprintf("%q", x.control))
		w.nodes = append(w.nodes, x)
	}
	for i, x := range w.nodes {
		store, api := w.storeAddress, w.apiAddress
		if w.linksOf != nil {
			var err error
			if store, api, err = w.linksOf(x); err != nil {
				return err
			}
		}
		text := fmt.Sprintf(settingsText, x.name, i%2, strings.Join(seeds, ","), x.front, x.ready, x.control, store, api, w.duties)
		if err := os.WriteFile(x.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := x.run(); err != nil {
			return err
		}
	}
	return nil
}

// settingsText is a settings file with the figures of the small installations.
const settingsText = `node = %q
role = "node"
class = "edge"
serves = ["edge", "control"]
ip = "127.0.0.1"
zone = "z-%d"
region = "r"
seeds = [%s]
bootstrap = true
beatIntervalMs = 1200
[zones]
z-0 = "r"
z-1 = "r"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
[tolerate]
machines = 2
[bounds]
reuseAfterS = 2
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 140000
requireFence = false
leaseMs = 3000
thawMs = 300
usageWindowS = 5
usageOff = 0.05
usageLateS = 10
exposeShare = 0.1
exposeSlack = 50
rollbackMs = 5000
recoverS = 12
[platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
[cloud]
address = %q
ratePerS = 50.0
duties = [%s]
dutyPerS = 50.0
`

// run starts the process with the command of the deploy file.
func (x *node) run() error {
	log, err := os.OpenFile(x.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	x.cmd = exec.Command(x.w.program, "node")
	x.cmd.Env = append(os.Environ(), "TREFOILLUG_SETTINGS="+x.settings)
	x.cmd.Stdout, x.cmd.Stderr = log, log
	x.releaseAddresses()
	if err := x.cmd.Start(); err != nil {
		return err
	}
	cmd, done := x.cmd, make(chan struct{})
	x.done = done
	go func() {
		_ = cmd.Wait() // the state is logged
		_ = log.Close()
		x.w.logf("process of %s has ended: %v", x.name, cmd.ProcessState)
		close(done)
	}()
	x.w.logf("process of %s started", x.name)
	return nil
}

// kill ends the process at once and waits for it.
func (x *node) kill() {
	if x.cmd == nil || x.cmd.Process == nil {
		return
	}
	_ = x.cmd.Process.Kill() // fails only if the process has ended
	<-x.done
}

// awaitReady waits until each instance reports itself ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, x := range w.nodes {
			if resp, err := http.Get("http://" + x.ready + "/trefoillug/ready"); err == nil {
				if resp.StatusCode == http.StatusOK {
					ready++
				}
				_ = resp.Body.Close()
			}
		}
		if ready == len(w.nodes) {
			w.logf("all instances are ready")
			return nil
		}
	}
	return fmt.Errorf("the instances were not ready within %v", limit)
}

// route describes a route of the configuration.
type route struct {
	name, kind, service string
	host                string // empty: hostName
	attempts            int
	resumable           bool
	timeoutMs, aimMs    int
}

// configure writes a configuration with plain services and the given routes.
func (w *world) configure(version int, routes []route, engines map[string]map[string]any, services ...string) {
	var rs, ss []any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": cmp.Or(r.host, hostName) + "-" + r.name, "host": cmp.Or(r.host, hostName), "pathPrefix": "/" + r.name + "/", "kind": r.kind, "timeoutMs": r.timeoutMs, "targetLatencyMs": r.aimMs,
			"priority": 1, "service": r.service, "maxAttempts": r.attempts, "public": false, "resumable": r.resumable, "targetGapMs": 500,
		})
	}
	for _, s := range services {
		spec := map[string]any{"name": s, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false}
		if e := engines[s]; e != nil {
			spec["engine"] = e
			spec["scaling"] = map[string]any{"min": 2, "max": 6, "bootS": 4.0, "zonePrices": map[string]any{"z-0": 1.0, "z-1": 1.0}}
		}
		ss = append(ss, spec)
	}
	w.store.Put("config", "main", map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "zupan", "apiKeys": []string{"key-1"}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 240623, "burst": 240623}},
	})
	w.logf("configuration %d written", version)
}

// request is one attempt of a requester.
type request struct {
	id, host, method, path, body string
	deadline                     time.Duration
	header                       map[string]string
}

// answer is what a requester saw.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request on a connection of its own and reads the whole answer.
func (w *world) send(x *node, r request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+x.front+r.path, strings.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = r.host
	req.Close = true
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set("X-Trefoillug-Attempt-Id", r.id)
	req.Header.Set("X-Trefoillug-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err}
}

// seen returns what the requester saw, without details that differ from request to request.
func (a answer) seen() string {
	switch {
	case a.status == 0:
		return "no answer"
	case a.err != nil:
		return fmt.Sprintf("%d, broken off", a.status)
	}
	return fmt.Sprint(a.status)
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	text := fmt.Sprintf("%d", a.status)
	if seal := a.header.Get("X-Trefoillug-Response-Seal"); seal != "" {
		text += ", seal " + seal
	}
	if a.err != nil {
		text += fmt.Sprintf(", broken off: %v", a.err)
	}
	return text
}

// worker is a plain worker of the pages: one process that can crash and is back later, as a new lifetime with a new id at its
// address.
type worker struct {
	w                *world
	name, zone       string
	service, version string
	address          string
	handle           func(x *worker, rw http.ResponseWriter, r *http.Request, body string) // of requests that run
	work             time.Duration

	mu       sync.Mutex
	lifetime int
	server   *http.Server
	seq      int
	state    string
	up       bool
	running  int
}

func (x *worker) id() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return fmt.Sprintf("i-%s-%d", x.name, x.lifetime)
}

// addWorker starts a worker.
func (w *world) addWorker(name, service, zone string, work time.Duration, handle func(x *worker, rw http.ResponseWriter, r *http.Request, body string)) (*worker, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	x := &worker{w: w, name: name, zone: zone, service: service, version: "v1", address: address, handle: handle, work: work, state: "ready"}
	if err := x.begin(); err != nil {
		return nil, err
	}
	w.end = append(w.end, func() { x.stop() })
	return x, nil
}

// begin starts a lifetime.
func (x *worker) begin() error {
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.lifetime++
	x.up, x.seq = true, 0
	lifetime := x.lifetime
	server := &http.Server{Handler: http.HandlerFunc(x.serve)}
	x.server = server
	x.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends with Close
	go x.beats(lifetime, time.Now().UnixMilli())
	return nil
}

// beats writes the entry of a lifetime while it is up. The store removes it after three silent intervals.
func (x *worker) beats(lifetime int, born int64) {
	id := fmt.Sprintf("i-%s-%d", x.name, lifetime)
	for {
		x.mu.Lock()
		alive := x.up && x.lifetime == lifetime
		x.seq++
		seq, state := x.seq, x.state
		x.mu.Unlock()
		if !alive {
			time.Sleep(2 * beat)
			x.w.store.Remove("servers", id)
			x.w.logf("entry %s is removed: it was silent", id)
			return
		}
		x.w.store.Put("servers", id, map[string]any{
			"service": x.service, "address": x.address, "zone": x.zone, "version": x.version, "slots": 6, "state": state, "coldLeftMs": 0,
			"seq": seq, "born": born,
		})
		time.Sleep(beat)
	}
}

// stop ends the lifetime at once: the listener and all connections are closed.
func (x *worker) stop() bool {
	x.mu.Lock()
	server, wasUp := x.server, x.up
	x.up = false
	x.mu.Unlock()
	if wasUp {
		_ = server.Close()
	}
	return wasUp
}

// crash ends the lifetime and begins another one after a time.
func (x *worker) crash(back time.Duration) {
	if !x.stop() {
		return
	}
	time.AfterFunc(back, func() {
		for range 50 {
			if err := x.begin(); err == nil {
				x.w.logf("worker %s is back as %s", x.name, x.id())
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (x *worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := rw.Header()
	h.Set("X-Trefoillug-Instance-Id", x.id())
	h.Set("X-Trefoillug-Attempt-Id", r.Header.Get("X-Trefoillug-Attempt-Id"))
	if want := r.Header.Get("X-Trefoillug-Expect-Instance"); want != "" && want != x.id() {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.mu.Lock()
	x.running++
	h.Set("X-Trefoillug-Worker-Load", fmt.Sprintf("%d,0,6", x.running))
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		x.running--
		x.mu.Unlock()
	}()
	x.handle(x, rw, r, string(body))
}

// answerPlain answers a request after the worker's usual time.
func answerPlain(x *worker, rw http.ResponseWriter, r *http.Request, body string) {
	time.Sleep(x.work)
	text, _ := json.Marshal(map[string]any{"worker": x.id(), "path": r.URL.Path, "bytes": len(body)}) // plain values
	rw.Header().Set("X-Trefoillug-Response-Seal", "seal-"+x.id())
	rw.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = rw.Write(text) // the caller may have gone
}
