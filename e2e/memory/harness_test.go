package memory

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
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/objstore"
	"github.com/trefoillug/trefoillug/platform"
	"github.com/trefoillug/trefoillug/standin"
)

// The machine of each test: the memory of the smallest machines, and descriptors of which 200 are for files.
const (
	machineMB     = 136
	smallFds      = 500
	largeFds      = 4100
	reservedFds   = 200
	nodeBodyLimit = 4 << 20
	serveTime     = 30 * time.Second
	sampleTime    = 20 * time.Millisecond
	settleTime    = 200 * time.Millisecond
	settleLimit   = 3 * time.Second
)

// binary is the path of the trefoillug binary that TestMain builds.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "memory")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "trefoillug")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/trefoillug").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is the process under test with what the kernel reported of it.
type process struct {
	t       testing.TB
	cmd     *exec.Cmd
	log     string
	exited  chan struct{}
	ending  atomic.Bool // the test ends the process
	maxFds  int
	ports   []int // of the listeners
	sockets int   // most open sockets in any sample
	fds     int   // most open descriptors in any sample
	unread  int64 // most bytes in any sample that the kernel had received and the process had not read
	sampled chan struct{}
	stop    chan struct{}
}

func startProcess(t testing.TB, maxFds int, addresses []string, env []string, args ...string) *process {
	p := &process{t: t, exited: make(chan struct{}), sampled: make(chan struct{}), stop: make(chan struct{}), maxFds: maxFds}
	for _, a := range addresses {
		port, err := strconv.Atoi(a[strings.LastIndex(a, ":")+1:])
		must.NoError(t, err)
		p.ports = append(p.ports, port)
	}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.log = filepath.Join(t.TempDir(), "log")
	file, err := os.Create(p.log)
	must.NoError(t, err)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	must.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = file.Close()
		close(p.exited)
	}()
	go p.sample()
	t.Cleanup(func() {
		p.ending.Store(true)
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			raw, _ := os.ReadFile(p.log)
			t.Logf("log:\n%s", raw[max(0, len(raw)-2000):])
		}
	})
	return p
}

// sample records the most sockets, descriptors and unread bytes until stop is closed.
func (p *process) sample() {
	defer close(p.sampled)
	for {
		p.sampleFds()
		p.unread = max(p.unread, unreadBytes(p.ports))
		select {
		case <-p.stop:
			return
		case <-time.After(sampleTime):
		}
	}
}

func (p *process) sampleFds() {
	sockets, fds := p.countFds()
	p.fds, p.sockets = max(p.fds, fds), max(p.sockets, sockets)
}

func (p *process) countFds() (sockets, fds int) {
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, 0 // the process has ended, which check reports
	}
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return sockets, len(entries)
}

// unreadBytes returns the bytes that the kernel holds in receive queues of connections to the given local ports.
func unreadBytes(ports []int) (sum int64) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	suffixes := make([]string, len(ports))
	for i, port := range ports {
		suffixes[i] = fmt.Sprintf(":%04X", port)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == "0A" { // a listener's queue holds connections
			continue
		}
		for _, s := range suffixes {
			if strings.HasSuffix(fields[1], s) {
				_, unread, _ := strings.Cut(fields[4], ":")
				n, _ := strconv.ParseInt(unread, 16, 64)
				sum += n
			}
		}
	}
	return sum
}

// peakMemory returns the most memory that the process has had at once, in bytes.
func (p *process) peakMemory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	must.NoError(p.t, err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			must.NoError(p.t, err)
			return kb << 10
		}
	}
	p.t.Fatal("no VmHWM in the status of the process")
	return 0
}

// settle waits until the process neither takes more memory or connections nor reads more, so that check doesn't depend on
// how fast the machine is.
func (p *process) settle() {
	type state struct {
		peak, unread int64
		sockets      int
	}
	last, since := state{}, time.Now()
	for end := since.Add(settleLimit); time.Now().Before(end) && time.Since(since) < settleTime; time.Sleep(sampleTime) {
		select {
		case <-p.exited:
			return
		default:
		}
		sockets, _ := p.countFds()
		if now := (state{p.peakMemory(), unreadBytes(p.ports), sockets}); now != last {
			last, since = now, time.Now()
		}
	}
}

// check ends the samples and checks that the process lives and has stayed within its machine.
func (p *process) check() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatal("the process has ended")
	default:
	}
	close(p.stop)
	<-p.sampled
	peak := p.peakMemory()
	p.t.Logf("peak memory %d MB, unread %d MB, %d descriptors, %d sockets", peak>>20, p.unread>>20, p.fds, p.sockets)
	if total := peak + p.unread; total > machineMB<<20 {
		p.t.Errorf("peak memory with unread bytes is %d MB, the machine has %d", total>>20, machineMB)
	}
	if p.fds > p.maxFds {
		p.t.Errorf("%d descriptors were open, the machine has %d", p.fds, p.maxFds)
	}
	if p.sockets > p.maxFds-reservedFds {
		p.t.Errorf("%d sockets were open, %d descriptors are not for files", p.sockets, p.maxFds-reservedFds)
	}
}

// eventuallyOK sends requests until one is answered with status 200. A crowd may get others refused.
func (p *process) eventuallyOK(what string, newRequest func() *http.Request) {
	p.t.Helper()
	p.eventually(serveTime, what, func() bool {
		client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(newRequest())
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK
	})
}

func (p *process) eventually(limit time.Duration, what string, ok func() bool) {
	p.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.exited:
			p.t.Fatalf("the process has ended before: %s", what)
		default:
		}
		if ok() {
			return
		}
	}
	p.t.Fatalf("not within %s: %s", limit, what)
}

func get(url string) func() *http.Request {
	return func() *http.Request {
		req, _ := http.NewRequest(http.MethodGet, url, nil)
		return req
	}
}

// target is a listener of the process under test, with an ordinary request to it and the head of a request with a body.
type target struct {
	address  string
	ordinary func() *http.Request
	bodyHead string // without the headers that frame the body
	maxBody  int64
}

// startNode runs `trefoillug node` on stand-ins of the users' platform and returns its listeners.
func startNode(t testing.TB, maxFds int) (p *process, front, ready, control target) {
	store := standin.NewPlatformStore()
	api := httptest.NewServer(standin.NewPlatformAPI())
	t.Cleanup(api.Close)
	storeServer := httptest.NewServer(store)
	t.Cleanup(func() { storeServer.CloseClientConnections(); storeServer.Close() })
	worker := &heldAnswers{PlatformWorker: standin.PlatformWorker{ID: "w1"}, closed: make(chan struct{})}
	workerServer := httptest.NewServer(worker)
	t.Cleanup(func() { close(worker.closed); workerServer.CloseClientConnections(); workerServer.Close() })
	object := standin.PlatformConfig{Version: 1}.Object()
	object["limits"].(map[string]any)["maxBodyBytes"] = nodeBodyLimit
	for _, s := range object["services"].([]any) {
		s.(map[string]any)["maxConns"] = 4000
	}
	store.Put(platform.KindManifest, "main", object)
	store.Put(platform.KindEndpoints, "w1", standin.PlatformEntry(standin.PlatformOrders, workerServer.Listener.Addr().String(), "a", "ready", 1000))

	m := standin.PlatformMachine{
		Name: "n1", Zone: "a", Front: standin.FreeAddress(), Ready: standin.FreeAddress(), Control: standin.FreeAddress(),
		StoreAddress: storeServer.Listener.Addr().String(), CloudAddress: api.Listener.Addr().String(),
	}
	settings := strings.Replace(m.Settings(), "memoryMb = 284", fmt.Sprintf("memoryMb = %d", machineMB), 1)
	settings = strings.Replace(settings, "maxFds = 4100", fmt.Sprintf("maxFds = %d", maxFds), 1)
	path := filepath.Join(t.TempDir(), "settings.toml")
	must.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	p = startProcess(t, maxFds, []string{m.Front, m.Ready, m.Control}, []string{platform.SettingsVariable + "=" + path}, "node")

	var id atomic.Int64
	front = target{address: m.Front, maxBody: nodeBodyLimit,
		ordinary: func() *http.Request {
			call := standin.PlatformCall{ID: fmt.Sprintf("%016x", id.Add(1)), Route: "book", Key: standin.PlatformOpenKey, Deadline: 5 * time.Second}
			req, _ := call.Request(context.Background(), m.Front)
			return req
		},
		bodyHead: "POST /book/crowd HTTP/1.1\r\nHost: " + standin.PlatformHost + "\r\nAuthorization: Bearer " + standin.PlatformOpenKey + "\r\n",
	}
	ready = target{address: m.Ready, ordinary: get(m.ReadyURL()), maxBody: nodeBodyLimit,
		bodyHead: "POST /trefoillug/ready HTTP/1.1\r\nHost: " + m.Ready + "\r\n"}
	control = target{address: m.Control, ordinary: get("http://" + m.Control + "/healthz"), maxBody: nodeBodyLimit,
		bodyHead: "POST /metrics HTTP/1.1\r\nHost: " + m.Control + "\r\n"}
	p.eventuallyOK("the instance is ready", ready.ordinary)
	p.eventuallyOK("an ordinary request is served", front.ordinary)
	return p, front, ready, control
}

// heldAnswers is a worker that sends most of the answer to a request for heldPath and then waits.
type heldAnswers struct {
	standin.PlatformWorker
	closed chan struct{}
}

const (
	heldPath = "/held"
	// heldBytes is just below the size up to which a complete answer is awaited before it is relayed.
	heldBytes = 250 << 10
)

func (h *heldAnswers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, heldPath) {
		h.PlatformWorker.ServeHTTP(w, r)
		return
	}
	standin.SignAnswer(w.Header(), r, h.ID)
	w.Header().Set("Content-Length", strconv.Itoa(heldBytes+1))
	_, _ = w.Write(make([]byte, heldBytes))
	_ = http.NewResponseController(w).Flush()
	select {
	case <-h.closed:
	case <-r.Context().Done():
	}
}

// startEntry runs `trefoillug entry` on stand-ins and returns its listeners. It doesn't wait until the process serves, which
// takes seconds.
func startEntry(t testing.TB) (p *process, callers, peers target) {
	objects := httptest.NewServer(standin.NewObjects(standin.ObjectsOptions{}))
	cloudServer := httptest.NewServer(standin.NewCloud(0))
	service := httptest.NewServer(standin.NewService(standin.ServiceConfig{ID: "s1"}))
	for _, s := range []*httptest.Server{objects, cloudServer, service} {
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	}
	in := cloud.Instance{ID: "s1", Address: service.Listener.Addr().String(), FailureDomain: "a", Role: cloud.RoleEndpoint,
		Service: "orders", Version: "v1", State: cloud.StateLive, Reclaimable: true, Price: 1}
	body, err := json.Marshal(in)
	must.NoError(t, err)
	req, err := http.NewRequest(http.MethodPut, cloudServer.URL+"/instances/s1", bytes.NewReader(body))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	services, err := config.DecodeFiles([]config.File{{Name: "orders.yaml", Data: []byte("service: orders\nkind: plain\nversions: [v1]\n" +
		"workspaces: [{name: bakeries}]\nroutes: [{path: /orders, methods: [POST], timeout: 8s}]\n")}}, time.Now())
	must.NoError(t, err)
	_, err = config.NewPublisher(objstore.NewClient(objects.URL, nil)).Publish(t.Context(), services, nil)
	must.NoError(t, err)

	listen, peerListen := standin.FreeAddress(), standin.FreeAddress()
	// Set in the environment, since flags that a version does not know would keep it from starting.
	env := []string{fmt.Sprintf("TREFOILLUG_MEMORY_MB=%d", machineMB), fmt.Sprintf("TREFOILLUG_MAX_FDS=%d", smallFds)}
	p = startProcess(t, smallFds, []string{listen, peerListen}, env, "entry", "--id", "e1", "--failure-domain", "a", "--listen", listen,
		"--peer-listen", peerListen, "--store", objects.URL, "--platform", cloudServer.URL)
	var key atomic.Int64
	callers = target{address: listen, maxBody: 1 << 20,
		ordinary: func() *http.Request {
			req, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/services/orders/orders", strings.NewReader("order"))
			req.Header.Set("X-Workspace", "bakeries")
			req.Header.Set("Idempotency-Key", fmt.Sprint(key.Add(1)))
			return req
		},
		bodyHead: "POST /services/orders/orders HTTP/1.1\r\nHost: " + listen + "\r\nX-Workspace: bakeries\r\nIdempotency-Key: crowd\r\n"}
	peers = target{address: peerListen, maxBody: 1 << 20, ordinary: get("http://" + peerListen + "/healthz"),
		bodyHead: "POST /status HTTP/1.1\r\nHost: " + peerListen + "\r\n"}
	return p, callers, peers
}
