// Package lab runs a small deployment for the cases of the second review: the users' platform as stand-ins in this process,
// and instances as processes of the deploy file's program.
package lab

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

// ExitCode is the result of a case.
type ExitCode int

// Results of a case.
const (
	Held   ExitCode = 0
	Broken ExitCode = 1
	NotRun ExitCode = 2
)

const (
	// startTimeout bounds the time until all instances are ready.
	startTimeout = 15 * time.Second
	// stopTimeout bounds the time until an instance has ended.
	stopTimeout = 10 * time.Second
)

// Host is the host of all routes.
const Host = "app.example"

// Key is the API key of the only tenant.
const Key = "key-open"

// Deployment is a running deployment. Use Start.
type Deployment struct {
	Store   *standin.PlatformStore
	API     *standin.PlatformAPI
	Nodes   []*Node
	Workers []*Worker
	Record  *Record

	dir     string
	servers []*http.Server
}

// Options describe a deployment.
type Options struct {
	Nodes   int
	Workers []*Worker
	// Manifest is the spec of config/main.
	Manifest map[string]any
	// Settings replaces lines of the settings file; nil: none.
	Settings map[string]string
	// BeforeNodes is called once the workers run and before the instances do; nil: it isn't.
	BeforeNodes func(d *Deployment)
}

// Start starts a deployment in a temporary folder.
func Start(o Options, record *Record) (*Deployment, error) {
	d := &Deployment{Store: standin.NewPlatformStore(), API: standin.NewPlatformAPI(), Record: record, Workers: o.Workers}
	var err error
	if d.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	d.Store.Put("config", "main", o.Manifest)
	storeAddress, err := d.serve(d.Store)
	if err != nil {
		return d, err
	}
	apiAddress, err := d.serve(d.API)
	if err != nil {
		return d, err
	}
	for _, w := range o.Workers {
		w.store, w.record = d.Store, record
		if err := w.Start(); err != nil {
			return d, err
		}
	}
	if o.BeforeNodes != nil {
		o.BeforeNodes(d)
	}
	var seeds []string
	for i := range o.Nodes {
		link, err := standin.NewForwarderAt(standin.FreeAddress(), storeAddress)
		if err != nil {
			return d, err
		}
		m := standin.PlatformMachine{
			Name: fmt.Sprintf("edge-%d", i+1), Zone: string(rune('a' + i%4)), Front: standin.FreeAddress(), Ready: standin.FreeAddress(),
			Control: standin.FreeAddress(), StoreAddress: link.Address(), CloudAddress: apiAddress,
		}
		d.Nodes = append(d.Nodes, &Node{Machine: m, StoreLink: link, dir: d.dir, record: record})
		seeds = append(seeds, m.Control)
	}
	for _, n := range d.Nodes {
		n.Machine.Seeds = seeds[:min(3, len(seeds))]
		if err := n.writeSettings(o.Settings); err != nil {
			return d, err
		}
		if err := n.Start(); err != nil {
			return d, err
		}
	}
	for _, n := range d.Nodes {
		if err := n.AwaitReady(startTimeout); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *Deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// Close ends all processes and servers and removes the temporary folder.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		n.Kill()
		n.StoreLink.Close()
	}
	for _, w := range d.Workers {
		w.stop()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// Node is an instance, which runs as a process.
type Node struct {
	Machine standin.PlatformMachine
	// StoreLink is the path from the instance to the store.
	StoreLink *standin.Forwarder

	dir    string
	record *Record
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	since  time.Time
}

func (n *Node) settingsPath() string { return filepath.Join(n.dir, n.Machine.Name+".toml") }

func (n *Node) writeSettings(replace map[string]string) error {
	text := n.Machine.Settings()
	for old, line := range replace {
		text = strings.ReplaceAll(text, old, line)
	}
	return os.WriteFile(n.settingsPath(), []byte(text), 0o600)
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() error {
	log, err := os.OpenFile(filepath.Join(logDir(n.dir), n.Machine.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/trefoillug", "node")
	cmd.Env = append(os.Environ(), "TREFOILLUG_SETTINGS="+n.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }()
	n.mu.Lock()
	n.cmd, n.ended, n.since = cmd, ended, time.Now()
	n.mu.Unlock()
	n.record.Add("%s: process started", n.Machine.Name)
	return nil
}

// logDir returns the folder of the logs: REVIEW_LOGS, or dir.
func logDir(dir string) string {
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		return keep
	}
	return dir
}

// CutFromStore cuts the instance's path to the store: open connections are reset and new ones refused.
func (n *Node) CutFromStore() error {
	err := n.StoreLink.SetAcceptance(standin.Refuses)
	n.StoreLink.CloseConnections()
	n.record.Add("%s: cut from the store", n.Machine.Name)
	return err
}

// RestoreStore ends a cut.
func (n *Node) RestoreStore() error {
	n.record.Add("%s: path to the store restored", n.Machine.Name)
	return n.StoreLink.SetAcceptance(standin.Accepts)
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(s)
		n.record.Add("%s: %v", n.Machine.Name, s)
	}
}

// Kill kills the process and returns when it has ended.
func (n *Node) Kill() {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.cmd = nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
	n.record.Add("%s: killed", n.Machine.Name)
}

// AwaitEnd waits until the process has ended.
func (n *Node) AwaitEnd() error {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		n.record.Add("%s: process ended", n.Machine.Name)
		return nil
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s has not ended", n.Machine.Name)
	}
}

// HasEnded reports whether the process has ended.
func (n *Node) HasEnded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// RunningFor returns for how long the process has run at a time.
func (n *Node) RunningFor(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.since)
}

// IsReady reports whether the instance says that it is ready.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(n.Machine.ReadyURL())
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the instance is ready.
func (n *Node) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.Machine.Name)
}
