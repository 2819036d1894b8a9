package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/trefoillug/trefoillug/platform"
	"github.com/trefoillug/trefoillug/standin"
)

const (
	// streamEvents and eventTime make streams of 0.6 s, so that faults meet them in the middle.
	streamEvents = 20
	eventTime    = 30 * time.Millisecond
	plainWork    = 15 * time.Millisecond
	// restartDelay is how long an instance that ended is down.
	restartDelay = 300 * time.Millisecond
	modelCount   = 4
	orderCount   = 4
)

// world is the platform of stand-ins and the instances on it.
type world struct {
	dir      string
	binary   string
	evidence *Evidence
	store    *standin.UsersStore
	api      *standin.UsersAPI
	servers  []*http.Server
	storeAt  string
	apiAt    string

	mu        sync.Mutex
	config    standin.UsersConfig
	instances []*instance
	endpoints []*endpoint
	lifetimes int
	runs      func() []standin.UsersRun // of lifetimes that have ended
	closing   bool
}

// instance is a process of the product with its own way to the store.
type instance struct {
	machine standin.UsersMachine
	store   *standin.Forwarder
	file    string // settings
	log     *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended and starts no more
}

// endpoint is a place at which endpoints of a service run one after the other.
type endpoint struct {
	service string
	mu      sync.Mutex
	worker  *standin.UsersWorker
	server  *http.Server
	proxy   *standin.Forwarder
	busy    bool // a fault is in progress
}

func newWorld(binary, dir string) (*world, error) {
	w := &world{dir: dir, binary: binary, evidence: newEvidence(streamEvents), store: standin.NewUsersStore(), api: standin.NewUsersAPI()}
	w.runs = func() []standin.UsersRun { return nil }
	var err error
	if w.storeAt, err = w.serve(w.store); err != nil {
		return nil, err
	}
	if w.apiAt, err = w.serve(w.api); err != nil {
		return nil, err
	}
	w.publish(func(*standin.UsersConfig) {})
	for i := range modelCount + orderCount {
		e := &endpoint{service: standin.UsersModels}
		if i >= modelCount {
			e.service = standin.UsersOrders
		}
		w.endpoints = append(w.endpoints, e)
		if err := w.begin(e); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: contact}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }() // ends when the server is closed
	return l.Addr().String(), nil
}

// publish writes a changed configuration and returns when the store had it.
func (w *world) publish(change func(*standin.UsersConfig)) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.config)
	w.config.Version += 3
	w.store.Put(platform.KindManifest, "main", w.config.Object())
	return time.Now()
}

// begin starts the next lifetime at a place for endpoints.
func (w *world) begin(e *endpoint) error {
	w.mu.Lock()
	w.lifetimes++
	id := fmt.Sprintf("i-%04d", w.lifetimes)
	w.mu.Unlock()
	worker := &standin.UsersWorker{ID: id, Events: streamEvents, EventTime: eventTime, Work: plainWork, Marked: true}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: worker, ReadHeaderTimeout: contact}
	go func() { _ = server.Serve(l) }() // ends when the server is closed
	proxy, err := standin.NewForwarder(l.Addr().String())
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.worker, e.server, e.proxy = worker, server, proxy
	e.mu.Unlock()
	w.store.Put(platform.KindEndpoints, id, standin.UsersEntry(e.service, proxy.Address(), "a", "ready", time.Now().UnixMilli()))
	return nil
}

// end ends the lifetime of an endpoint and keeps what it ran.
func (w *world) end(e *endpoint) {
	e.mu.Lock()
	worker, server, proxy := e.worker, e.server, e.proxy
	e.mu.Unlock()
	proxy.Close()
	_ = server.Close() // a crash; nothing is left to tell
	w.mu.Lock()
	defer w.mu.Unlock()
	earlier := w.runs
	w.runs = func() []standin.UsersRun { return append(earlier(), worker.Runs()...) }
}

// allRuns returns what all endpoints have run.
func (w *world) allRuns() []standin.UsersRun {
	w.mu.Lock()
	runs := w.runs()
	w.mu.Unlock()
	for _, e := range w.endpoints {
		e.mu.Lock()
		runs = append(runs, e.worker.Runs()...)
		e.mu.Unlock()
	}
	return runs
}

// start adds an instance, which starts again whenever its process ends.
func (w *world) start(name string) error {
	i := &instance{done: make(chan struct{}), file: filepath.Join(w.dir, name+".toml")}
	var err error
	if i.store, err = standin.NewForwarder(w.storeAt); err != nil {
		return err
	}
	m := standin.UsersMachine{
		Name: name, Zone: "a", StoreAddress: i.store.Address(), CloudAddress: w.apiAt,
		Front: standin.FreeAddress(), Ready: standin.FreeAddress(), Control: standin.FreeAddress(),
	}
	for _, other := range w.instances {
		m.Seeds = append(m.Seeds, other.machine.Control)
	}
	i.machine = m
	if err := os.WriteFile(i.file, []byte(m.Settings()), 0o600); err != nil {
		return err
	}
	if i.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return err
	}
	w.instances = append(w.instances, i)
	return w.spawn(i)
}

func (w *world) spawn(i *instance) error {
	cmd := exec.Command(w.binary, "node", "--settings", i.file)
	cmd.Stdout, cmd.Stderr = i.log, i.log
	if err := cmd.Start(); err != nil {
		return err
	}
	i.mu.Lock()
	i.cmd = cmd
	i.mu.Unlock()
	go func() {
		err := cmd.Wait()
		w.mu.Lock()
		closing := w.closing
		w.mu.Unlock()
		if closing {
			close(i.done)
			return
		}
		end := w.evidence.open(Span{From: time.Now(), What: InstanceStop, Instance: i.machine.Name, Planned: err == nil})
		time.Sleep(restartDelay)
		if err := w.spawn(i); err != nil {
			w.evidence.update(func() { w.evidence.Leaks = append(w.evidence.Leaks, "instance not started again: "+err.Error()) })
			close(i.done)
			return
		}
		time.Sleep(settleStart)
		end(time.Now())
	}()
	return nil
}

// settleStart is how long an instance that has started counts as disturbed: contact begins when it is ready.
const settleStart = time.Second

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	// The process may have ended just now, which is what the signal was to bring about or finds done.
	_ = i.cmd.Process.Signal(s)
}

func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cmd.Process.Pid
}

var readyClient = &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (i *instance) isReady() bool {
	resp, err := readyClient.Get(i.machine.ReadyURL())
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status matters
	return resp.StatusCode == http.StatusOK
}

// close ends all processes that the world has started.
func (w *world) close() error {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	var errs []error
	for _, i := range w.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		<-i.done
		i.store.Close()
		errs = append(errs, i.log.Close())
	}
	for _, e := range w.endpoints {
		w.end(e)
	}
	for _, s := range w.servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}
