package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/trefoillug/trefoillug/platform"
	"github.com/trefoillug/trefoillug/standin"
)

const (
	// drainTime is how long an endpoint that leaves serves on, by the users' pages 2 s and a little more.
	drainTime = 3 * time.Second
	// lapse is how long a crashed endpoint stays on the list, three intervals of its heartbeat.
	lapse = 1200 * time.Millisecond
)

// play carries out a fault and returns when it has ended.
func (w *world) play(f Fault) {
	switch {
	case f.Kind.onInstance():
		w.playInstance(f, w.instances[f.Target%len(w.instances)])
	case strings.HasPrefix(string(f.Kind), "endpoint-"):
		w.playEndpoint(f, w.endpoints[f.Target%len(w.endpoints)])
	case f.Kind.onStore():
		w.playStore(f)
	default:
		w.playConfig(f)
	}
}

func (w *world) span(f Fault, instance string) (end func()) {
	done := w.evidence.open(Span{From: time.Now(), What: f.Kind, Instance: instance, Planned: f.Kind.isPlanned()})
	return func() { done(time.Now()) }
}

func (w *world) playInstance(f Fault, i *instance) {
	defer w.span(f, i.machine.Name)()
	switch f.Kind {
	case InstanceKill:
		i.signal(syscall.SIGKILL)
	case InstanceFreeze:
		i.signal(syscall.SIGSTOP)
		time.Sleep(f.For)
		i.signal(syscall.SIGCONT)
	case InstanceStop:
		i.signal(syscall.SIGTERM)
		time.Sleep(f.For)
	case InstanceReload:
		i.signal(syscall.SIGHUP)
		time.Sleep(f.For)
	case InstanceSilentStore:
		i.store.Silence(true, true)
		time.Sleep(f.For)
	case InstanceDeafStore:
		i.store.Silence(false, true)
		time.Sleep(f.For)
	}
}

// playEndpoint leaves an endpoint alone that another fault holds.
func (w *world) playEndpoint(f Fault, e *endpoint) {
	e.mu.Lock()
	busy := e.busy
	e.busy = true
	worker, proxy := e.worker, e.proxy
	e.mu.Unlock()
	if busy {
		return
	}
	defer func() { e.mu.Lock(); e.busy = false; e.mu.Unlock() }()
	defer w.span(f, "")()
	switch f.Kind {
	case EndpointCrash:
		w.end(e)
		time.Sleep(min(f.For, lapse))
		w.remove(worker.ID)
		w.restart(e)
	case EndpointLeave:
		w.leave(e, worker)
		time.Sleep(drainTime)
		w.store.Remove(platform.KindEndpoints, worker.ID)
		w.end(e)
		w.restart(e)
	case EndpointReset:
		proxy.Cut()
	case EndpointSilent:
		proxy.Silence(true, true)
		time.Sleep(f.For)
		proxy.Cut()
	case EndpointFull:
		worker.SetFull(true)
		time.Sleep(f.For)
		worker.SetFull(false)
	case EndpointFails:
		worker.SetFailing(true)
		time.Sleep(f.For)
		worker.SetFailing(false)
	}
}

// leave lets an endpoint say that it drains.
func (w *world) leave(e *endpoint, worker *standin.UsersWorker) {
	entry := standin.UsersEntry(e.service, e.proxy.Address(), "a", "draining", 0)
	entry["born"] = bornOf(w.store, worker.ID)
	entry["leaves_ms"] = drainTime.Milliseconds()
	w.store.Put(platform.KindEndpoints, worker.ID, entry)
	worker.SetDraining(true)
	w.evidence.update(func() { w.evidence.Leaving[worker.ID] = time.Now() })
}

func bornOf(store *standin.UsersStore, id string) int64 {
	e, err := platform.DecodeEndpoint(id, store.Spec(platform.KindEndpoints, id), time.Now())
	if err != nil {
		return 0 // an entry of the soak itself is always valid; 0 shows as an endpoint that never leaves
	}
	return e.Born
}

func (w *world) remove(id string) {
	w.store.Remove(platform.KindEndpoints, id)
	w.evidence.update(func() { w.evidence.Leaving[id] = time.Now() })
}

func (w *world) restart(e *endpoint) {
	if err := w.begin(e); err != nil {
		w.evidence.update(func() { w.evidence.Leaks = append(w.evidence.Leaks, "endpoint not started again: "+err.Error()) })
	}
}

func (w *world) playStore(f Fault) {
	defer w.span(f, "")()
	switch f.Kind {
	case StoreDown:
		w.store.Fail(http.StatusServiceUnavailable)
		time.Sleep(f.For)
		w.store.Fail(0)
	case StoreLoses:
		w.store.LoseAnswers(true)
		time.Sleep(f.For)
		w.store.LoseAnswers(false)
	case StoreForgets:
		w.store.Compact(func() {
			w.publish(func(*standin.UsersConfig) {})
			time.Sleep(min(f.For, time.Second))
		})
	}
}

func (w *world) playConfig(f Fault) {
	defer w.span(f, "")()
	name := fmt.Sprintf("%s-%d-%d", strings.TrimPrefix(string(f.Kind), "config-"), f.Target, f.At.Milliseconds())
	if f.Kind == ConfigRoute {
		at := w.publish(func(c *standin.UsersConfig) { c.Extra = append(slices.Clone(c.Extra), name) })
		w.evidence.update(func() { w.evidence.Added = append(w.evidence.Added, Notice{at, name}) })
		return
	}
	w.publish(func(c *standin.UsersConfig) { c.Keys = append(slices.Clone(c.Keys), name) })
	time.Sleep(f.For)
	at := w.publish(func(c *standin.UsersConfig) {
		c.Keys = slices.DeleteFunc(slices.Clone(c.Keys), func(k string) bool { return k == name })
	})
	w.evidence.update(func() { w.evidence.Revoked = append(w.evidence.Revoked, Notice{at, name}) })
}
