//go:build review

// Package kit starts small deployments for the cases of the review: instances as separate processes with the command of
// the deploy file, and stand-ins of the platform, of workers and of callers on loopback addresses.
package kit

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/trefoillug/trefoillug/standin"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Host, API key and services of the manifest.
const (
	Host   = "app.example"
	Key    = "key-front-desk"
	Models = "models"
	Orders = "orders"
)

// Trouble reports whether the disruption takes place.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Site is a deployment with its stand-ins.
type Site struct {
	Store *standin.PlatformStore
	API   *standin.PlatformAPI
	// GraceS is the bound graceS of the settings.
	GraceS int

	dir                string
	storeAddr, apiAddr string
	begin              time.Time
	mu                 sync.Mutex
	record             *os.File
	nodes              []*Node
}

// Node is an instance.
type Node struct {
	Name, Front, Ready, Control string
	Zone                        string

	site *Site
	path string // of the settings file
	cmd  *exec.Cmd
	done chan struct{}
}

// New returns a site that writes record.txt in the folder of a case.
func New(caseDir string) *Site {
	s := &Site{Store: standin.NewPlatformStore(), API: standin.NewPlatformAPI(), GraceS: 8, begin: time.Now()}
	var err error
	if s.record, err = os.Create(filepath.Join(caseDir, "record.txt")); err != nil {
		s.Fail("create record.txt: %v", err)
	}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		s.Fail("create a temporary folder: %v", err)
	}
	s.storeAddr, s.apiAddr = s.Serve(s.Store), s.Serve(s.API)
	return s
}

// Serve serves a handler on a free loopback address and returns the address.
func (s *Site) Serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.Fail("listen: %v", err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // until the process exits
	return l.Addr().String()
}

// Log writes a line to record.txt, with the seconds since the start.
func (s *Site) Log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
}

// Fail ends the case because it could not run.
func (s *Site) Fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	s.Exit(NotRun)
}

// Exit ends all processes and the case.
func (s *Site) Exit(status int) {
	s.Log("exit status %d", status)
	for _, n := range s.nodes {
		n.Kill()
	}
	_ = os.RemoveAll(s.dir)
	os.Exit(status)
}

// Finish ends the case with the verdict.
func (s *Site) Finish(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.Log("%s", text)
	fmt.Println(text)
	if broken {
		s.Exit(Broken)
	}
	s.Exit(Held)
}

// Route returns a route of the manifest. more overrides or adds fields.
func Route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": Host, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": 15000, "targetLatencyMs": 800,
		"targetGapMs": 500, "priority": 1, "maxAttempts": 1,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// Manifest returns a manifest with one tenant.
func Manifest(version int, routes ...any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": Models, "healthPath": "/health", "maxConns": 360, "engine": map[string]any{"slots": 64, "kvCapacity": 747920, "stride": 6}},
			map[string]any{"name": Orders, "healthPath": "/health", "maxConns": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "front-desk", "apiKeys": []string{Key}, "unit": "tokens", "plainTokens": 200, "ratePerS": 1e6, "burst": 1e6},
		},
	}
}

// Publish writes the manifest.
func (s *Site) Publish(manifest map[string]any) {
	s.Log("the operator sends manifest version %v", manifest["version"])
	s.Store.Put("config", "main", manifest)
}

// List writes the entry of a worker.
func (s *Site) List(id, service, address, state string, startedMs int64) {
	s.Log("worker %s of %s at %s: %s", id, service, address, state)
	s.Store.Put("servers", id, standin.PlatformEntry(service, address, "lj-a", state, startedMs))
}

// ListVersion writes the entry of a worker with a version of its software.
func (s *Site) ListVersion(id, service, version, address, state string, startedMs int64) {
	s.Log("worker %s of %s %s at %s: %s", id, service, version, address, state)
	e := standin.PlatformEntry(service, address, "lj-a", state, startedMs)
	e["version"] = version
	s.Store.Put("servers", id, e)
}

// AddWorker serves a worker and lists it.
func (s *Site) AddWorker(id, service string, h http.Handler) string {
	address := s.Serve(h)
	s.List(id, service, address, "ready", time.Now().UnixMilli())
	return address
}

// StartNodes starts instances and waits until they are ready.
func (s *Site) StartNodes(names ...string) []*Node {
	for _, name := range names {
		s.nodes = append(s.nodes, &Node{
			Name: name, Zone: "lj-a", Front: standin.FreeAddress(), Ready: standin.FreeAddress(), Control: standin.FreeAddress(), site: s,
			path: filepath.Join(s.dir, name+".toml"),
		})
	}
	for _, n := range s.nodes {
		n.WriteSettings()
		n.Start()
	}
	for _, n := range s.nodes {
		n.AwaitReady()
	}
	time.Sleep(3 * time.Second) // contactMs
	return s.nodes
}

// WriteSettings writes the settings file of the instance.
func (n *Node) WriteSettings() {
	s := n.site
	var seeds []string
	for _, other := range s.nodes {
		seeds = append(seeds, fmt.Sprintf("%q", other.Control))
	}
	text := fmt.Sprintf(`node = %q
role = "node"
class = "edge"
serves = ["edge","control"]
ip = "127.0.0.1"
zone = %q
region = "ljubljana"
portRange = [7600,7615]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
beatIntervalMs = 1200
[zones]
lj-a = "ljubljana"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = %d
lossSlackMs = 200
configApplyMs = 2000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 140000
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
duties = ["usage_report"]
dutyPerS = 50.0
`, n.Name, n.Zone, strings.Join(seeds[:min(3, len(seeds))], ","), n.Front, n.Ready, n.Control, s.GraceS, s.storeAddr, s.apiAddr)
	if err := os.WriteFile(n.path, []byte(text), 0o600); err != nil {
		s.Fail("write settings: %v", err)
	}
}

// Start starts the process of the instance.
func (n *Node) Start() {
	s := n.site
	n.cmd = exec.Command("target/trefoillug", "node") // as in deploy/system.toml
	n.cmd.Env = append(os.Environ(), "TREFOILLUG_SETTINGS="+n.path)
	out, err := os.OpenFile(filepath.Join(s.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.Fail("create a log: %v", err)
	}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		s.Fail("start %s: %v", n.Name, err)
	}
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		s.Log("%s has ended: %v", n.Name, cmd.ProcessState)
		close(done)
	}(n.cmd, n.done)
	s.Log("%s starts", n.Name)
}

// Pid returns the process ID.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// Signal sends a signal to the process.
func (n *Node) Signal(sig syscall.Signal) {
	n.site.Log("%s gets %v", n.Name, sig)
	_ = n.cmd.Process.Signal(sig) // may have ended
}

// Wait waits for the end of the process.
func (n *Node) Wait() { <-n.done }

// Kill ends the process.
func (n *Node) Kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill() // may have ended
	select {
	case <-n.done:
	case <-time.After(2 * time.Second):
	}
}

// IsReady asks the instance once whether it is ready, as the platform does.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.Ready + "/trefoillug/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the instance is ready.
func (n *Node) AwaitReady() {
	for end := time.Now().Add(15 * time.Second); !n.IsReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			n.site.Fail("%s is not ready", n.Name)
		}
	}
}

// LogOf returns the log of an instance.
func (n *Node) LogOf() string {
	text, _ := os.ReadFile(filepath.Join(n.site.dir, n.Name+".log")) // empty if there is none
	return string(text)
}
