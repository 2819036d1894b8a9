package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/trefoillug/trefoillug/platform"
	"github.com/trefoillug/trefoillug/standin"
)

const (
	// streamTokens, eventTokens and eventInterval make streams of 0.6 s, so that faults happen in the middle of some.
	streamTokens  = 100
	eventTokens   = 5
	eventInterval = 30 * time.Millisecond
	plainTime     = 15 * time.Millisecond
	// restartDelay is the time between the end of an instance's process and its restart.
	restartDelay = 300 * time.Millisecond
)

// environment is a platform of stand-ins with the instances and endpoints that run on it.
type environment struct {
	dir          string
	program      string
	site         Site
	oddities     *standin.Oddities
	evidence     *Evidence
	store        *standin.PlatformStore
	api          *standin.PlatformAPI
	servers      []*http.Server
	storeAddress string
	apiAddress   string

	mu        sync.Mutex
	config    standin.PlatformConfig
	instances []*instance
	endpoints []*endpoint
	lifetimes int
	ended     []*standin.PlatformWorker // endpoints that have ended
	closing   bool

	restoring sync.Mutex // held while the store is restored
}

// instance is a trefoillug process with its own forwarder to the store.
type instance struct {
	machine standin.PlatformMachine
	store   *standin.Forwarder
	file    string // path of the settings
	log     *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended and will not be restarted
}

// endpoint is a series of endpoints of a service that run one after the other. Each of these lifetimes has its own ID
// and address.
type endpoint struct {
	service string
	zone    string
	version string // of its software; empty: the first one
	mu      sync.Mutex
	worker  *standin.PlatformWorker
	server  *http.Server
	proxy   *standin.Forwarder
	started time.Time // when the current lifetime started
	busy    bool      // a fault is in progress
	ending  bool      // the current lifetime is being ended
}

// claimEnd reports whether the calling goroutine is the one that ends a lifetime.
func (e *endpoint) claimEnd(worker *standin.PlatformWorker) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.worker != worker || e.ending {
		return false
	}
	e.ending = true
	return true
}

func (e *endpoint) hasEnded(worker *standin.PlatformWorker) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.worker != worker || e.ending
}

func newEnvironment(o Options) (*environment, error) {
	env := &environment{
		dir: o.Dir, program: o.Program, site: o.Plan.Site, evidence: newEvidence(o.Plan.Site.EventTokens), oddities: standin.NewOddities(o.Plan.Seed),
		store: standin.NewPlatformStore(), api: standin.NewPlatformAPI(),
	}
	if o.Plan.StatesEra {
		env.store.AnnounceEra(firstEra)
	}
	var err error
	if env.storeAddress, err = env.serve(env.store); err != nil {
		return nil, err
	}
	if env.apiAddress, err = env.serve(env.api); err != nil {
		return nil, err
	}
	env.publish(func(*standin.PlatformConfig) {})
	for i := range env.site.Models + env.site.Orders {
		e := &endpoint{service: standin.PlatformModels, zone: env.site.zone(i)}
		if i >= env.site.Models {
			e.service = standin.PlatformOrders
		}
		env.endpoints = append(env.endpoints, e)
		if err := env.startEndpoint(e, anyAddress); err != nil {
			return nil, err
		}
	}
	return env, nil
}

func (env *environment) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", anyAddress)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: settleTime}
	env.servers = append(env.servers, s)
	go func() { _ = s.Serve(l) }() // ends when the server is closed
	return l.Addr().String(), nil
}

// publish writes a changed configuration and returns the time at which the store had it.
func (env *environment) publish(change func(*standin.PlatformConfig)) time.Time {
	env.mu.Lock()
	defer env.mu.Unlock()
	change(&env.config)
	env.config.Version += 3
	env.store.Put(platform.KindManifest, "main", env.config.Object())
	return time.Now()
}

// anyAddress is the address of a listener whose port the system chooses.
const anyAddress = "127.0.0.1:0"

// startEndpoint starts the next lifetime of an endpoint at an address and adds it to the endpoint list.
func (env *environment) startEndpoint(e *endpoint, address string) error {
	env.mu.Lock()
	env.lifetimes++
	id := fmt.Sprintf("i-%04d", env.lifetimes)
	env.mu.Unlock()
	worker := &standin.PlatformWorker{
		ID: id, EventTokens: env.site.EventTokens, EventTime: eventInterval, Work: plainTime, NameRequests: true, NameRuns: true,
		DeadlyBlocks: deadlyBlocks, Oddities: env.oddities,
	}
	worker.OnDeadlyBlock = func(block string) { env.crashByBlock(e, worker, block) }
	worker.IsDeadly, worker.OnCrash = standin.IsDeadlyContent, func(r *http.Request) { env.crashByRequest(e, worker, r) }
	l, err := net.Listen("tcp", anyAddress)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: worker, ReadHeaderTimeout: settleTime}
	go func() { _ = server.Serve(l) }() // ends when the server is closed
	proxy, err := standin.NewForwarderAt(address, l.Addr().String())
	if err != nil {
		return err
	}
	started := time.Now()
	e.mu.Lock()
	e.worker, e.server, e.proxy, e.started, e.ending = worker, server, proxy, started, false
	e.mu.Unlock()
	env.store.Put(platform.KindEndpoints, id, env.entry(e, proxy.Address(), "ready", started.UnixMilli()))
	env.evidence.startLifetime(id, e.service, time.Now())
	return nil
}

// entry returns the entry of an endpoint in the endpoint list. startedMs is in Unix milliseconds.
func (env *environment) entry(e *endpoint, address, state string, startedMs int64) map[string]any {
	entry := standin.PlatformEntry(e.service, address, e.zone, state, startedMs)
	if e.version != "" {
		entry["version"] = e.version
	}
	entry["slots"] = env.site.slots(e.service)
	return entry
}

// stopEndpoint ends the current lifetime of an endpoint, as a crash does, and keeps the requests that it ran.
func (env *environment) stopEndpoint(e *endpoint) {
	e.mu.Lock()
	worker, server, proxy := e.worker, e.server, e.proxy
	e.mu.Unlock()
	proxy.Close()
	_ = server.Close() // simulates a crash, so errors don't matter
	env.evidence.endLifetime(worker.ID, time.Now())
	env.mu.Lock()
	defer env.mu.Unlock()
	env.ended = append(env.ended, worker)
}

// allRequests returns the requests that all endpoints have run, those that they have rejected because they were full, and
// the streams of their runs.
func (env *environment) allRequests() (runs []standin.PlatformRun, refusals []standin.PlatformRefusal, streams []standin.PlatformStream) {
	env.mu.Lock()
	workers := slices.Clone(env.ended)
	env.mu.Unlock()
	for _, e := range env.endpoints {
		e.mu.Lock()
		if !slices.Contains(workers, e.worker) {
			workers = append(workers, e.worker)
		}
		e.mu.Unlock()
	}
	for _, w := range workers {
		runs, refusals, streams = append(runs, w.Runs()...), append(refusals, w.Refusals()...), append(streams, w.Streams()...)
	}
	return runs, refusals, streams
}

// startInstance adds an instance. Its process is restarted whenever it ends.
func (env *environment) startInstance(name string) error {
	i := &instance{done: make(chan struct{}), file: filepath.Join(env.dir, name+".toml")}
	var err error
	if i.store, err = standin.NewForwarder(env.storeAddress); err != nil {
		return err
	}
	m := standin.PlatformMachine{
		Name: name, Zone: env.site.zone(len(env.instances)), StoreAddress: i.store.Address(), CloudAddress: env.apiAddress,
		Front: standin.FreeAddress(), Ready: standin.FreeAddress(), Control: standin.FreeAddress(),
	}
	for _, other := range env.instances {
		m.Seeds = append(m.Seeds, other.machine.Control)
	}
	i.machine = m
	if err := os.WriteFile(i.file, []byte(m.Settings()), 0o600); err != nil {
		return err
	}
	if i.log, err = os.Create(filepath.Join(env.dir, name+".log")); err != nil {
		return err
	}
	env.instances = append(env.instances, i)
	return env.spawn(i)
}

// spawn starts the process of an instance and restarts it when it ends, until the environment closes.
func (env *environment) spawn(i *instance) error {
	cmd := exec.Command(env.program, "node", "--settings", i.file)
	cmd.Stdout, cmd.Stderr = i.log, i.log
	if err := cmd.Start(); err != nil {
		return err
	}
	i.mu.Lock()
	i.cmd = cmd
	i.mu.Unlock()
	go func() {
		err := cmd.Wait()
		env.mu.Lock()
		closing := env.closing
		env.mu.Unlock()
		if closing {
			close(i.done)
			return
		}
		if exit := (*exec.ExitError)(nil); errors.As(err, &exit) && exit.Exited() {
			env.evidence.update(func() { env.evidence.Exits = append(env.evidence.Exits, i.machine.Name+": "+err.Error()) })
		}
		end := env.evidence.openSpan(FaultSpan{From: time.Now(), Kind: InstanceStop, Instance: i.machine.Name, Planned: err == nil})
		time.Sleep(restartDelay)
		machine := i.machine
		machine.Restarted = true
		if err := os.WriteFile(i.file, []byte(machine.Settings()), 0o600); err != nil {
			env.evidence.update(func() { env.evidence.Leaks = append(env.evidence.Leaks, "settings not written: "+err.Error()) })
		}
		if err := env.spawn(i); err != nil {
			env.evidence.update(func() { env.evidence.Leaks = append(env.evidence.Leaks, "instance not restarted: "+err.Error()) })
			close(i.done)
			return
		}
		time.Sleep(startSettleTime)
		end(time.Now())
	}()
	return nil
}

// startSettleTime is how long an instance still counts as disturbed after its process has started: about the time until
// it is ready.
const startSettleTime = time.Second

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	// The error is ignored: the process may already have ended.
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

// close ends all processes, endpoints and servers that the environment has started.
func (env *environment) close() error {
	env.mu.Lock()
	env.closing = true
	env.mu.Unlock()
	var errs []error
	for _, i := range env.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		<-i.done
		i.store.Close()
		errs = append(errs, i.log.Close())
	}
	for _, e := range env.endpoints {
		env.stopEndpoint(e)
	}
	for _, s := range env.servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}
