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
	// drainTime is how long a leaving endpoint continues to serve: the 2 s of the users' pages and a margin.
	drainTime = 3 * time.Second
	// crashRemovalDelay is how long a crashed endpoint stays on the list: three intervals of its heartbeat.
	crashRemovalDelay = 1200 * time.Millisecond
)

// inject executes a fault or planned work and returns when it has ended.
func (env *environment) inject(f Fault) {
	switch {
	case f.Kind.onInstance():
		env.injectInstanceFault(f, env.instances[f.Target%len(env.instances)])
	case strings.HasPrefix(string(f.Kind), "endpoint-"):
		env.injectEndpointFault(f, env.endpoints[f.Target%len(env.endpoints)])
	case f.Kind.onStore():
		env.injectStoreFault(f)
	default:
		env.changeConfig(f)
	}
}

func (env *environment) openSpan(f Fault, instance string) (end func()) {
	finish := env.evidence.openSpan(FaultSpan{From: time.Now(), Kind: f.Kind, Instance: instance, Planned: f.Kind.isPlanned()})
	return func() { finish(time.Now()) }
}

func (env *environment) injectInstanceFault(f Fault, i *instance) {
	defer env.openSpan(f, i.machine.Name)()
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
	case InstanceStalledStore:
		i.store.Stall(true, true)
		time.Sleep(f.For)
	case InstanceStalledStoreReads:
		i.store.Stall(false, true)
		time.Sleep(f.For)
	}
}

// injectEndpointFault executes a fault of an endpoint. It does nothing if another fault of the endpoint is in progress.
func (env *environment) injectEndpointFault(f Fault, e *endpoint) {
	e.mu.Lock()
	busy := e.busy
	e.busy = true
	worker, proxy := e.worker, e.proxy
	e.mu.Unlock()
	if busy {
		return
	}
	defer func() { e.mu.Lock(); e.busy = false; e.mu.Unlock() }()
	defer env.openSpan(f, "")()
	switch f.Kind {
	case EndpointCrash:
		env.stopEndpoint(e)
		time.Sleep(min(f.For, crashRemovalDelay))
		env.removeEntry(worker.ID)
		env.restartEndpoint(e)
	case EndpointLeave:
		env.drainEndpoint(e, worker)
		time.Sleep(drainTime)
		env.store.Remove(platform.KindEndpoints, worker.ID)
		env.stopEndpoint(e)
		env.restartEndpoint(e)
	case EndpointReset:
		proxy.CloseConnections()
	case EndpointStalled:
		proxy.Stall(true, true)
		time.Sleep(f.For)
		proxy.CloseConnections()
	case EndpointFull:
		worker.SetFull(true)
		time.Sleep(f.For)
		worker.SetFull(false)
	case EndpointFails:
		worker.SetFailing(true)
		time.Sleep(f.For)
		worker.SetFailing(false)
	default:
		worker.SetAnswerFault(answerFaults[f.Kind])
		time.Sleep(f.For)
		worker.SetAnswerFault(standin.NoAnswerFault)
	}
}

// drainEndpoint makes an endpoint announce that it is draining.
func (env *environment) drainEndpoint(e *endpoint, worker *standin.PlatformWorker) {
	entry := standin.PlatformEntry(e.service, e.proxy.Address(), "a", "draining", 0)
	entry["born"] = startedMs(env.store, worker.ID)
	entry["leaves_ms"] = drainTime.Milliseconds()
	env.store.Put(platform.KindEndpoints, worker.ID, entry)
	worker.SetDraining(true)
	env.evidence.update(func() { env.evidence.Leaving[worker.ID] = time.Now() })
}

func startedMs(store *standin.PlatformStore, id string) int64 {
	e, err := platform.DecodeEndpoint(id, store.Spec(platform.KindEndpoints, id), time.Now())
	if err != nil {
		return 0 // can't happen, as the entries are valid; with 0, instances would not see the endpoint leave
	}
	return e.StartedMs
}

func (env *environment) removeEntry(id string) {
	env.store.Remove(platform.KindEndpoints, id)
	env.evidence.update(func() { env.evidence.Leaving[id] = time.Now() })
}

func (env *environment) restartEndpoint(e *endpoint) {
	if err := env.startEndpoint(e); err != nil {
		env.evidence.update(func() { env.evidence.Leaks = append(env.evidence.Leaks, "endpoint not restarted: "+err.Error()) })
	}
}

func (env *environment) injectStoreFault(f Fault) {
	defer env.openSpan(f, "")()
	switch f.Kind {
	case StoreDown:
		env.store.FailCalls(http.StatusServiceUnavailable)
		time.Sleep(f.For)
		env.store.FailCalls(0)
	case StoreLosesAnswers:
		env.store.LoseAnswers(true)
		time.Sleep(f.For)
		env.store.LoseAnswers(false)
	case StoreCompacts:
		env.store.Compact(func() {
			env.publish(func(*standin.PlatformConfig) {})
			time.Sleep(min(f.For, time.Second))
		})
	}
}

func (env *environment) changeConfig(f Fault) {
	defer env.openSpan(f, "")()
	name := fmt.Sprintf("%s-%d-%d", strings.TrimPrefix(string(f.Kind), "config-"), f.Target, f.At.Milliseconds())
	if f.Kind == ConfigRoute {
		at := env.publish(func(c *standin.PlatformConfig) { c.ExtraRoutes = append(slices.Clone(c.ExtraRoutes), name) })
		env.evidence.update(func() { env.evidence.Added = append(env.evidence.Added, ConfigChange{at, name}) })
		return
	}
	env.publish(func(c *standin.PlatformConfig) { c.ExtraKeys = append(slices.Clone(c.ExtraKeys), name) })
	time.Sleep(f.For)
	at := env.publish(func(c *standin.PlatformConfig) {
		c.ExtraKeys = slices.DeleteFunc(slices.Clone(c.ExtraKeys), func(k string) bool { return k == name })
	})
	env.evidence.update(func() { env.evidence.Revoked = append(env.evidence.Revoked, ConfigChange{at, name}) })
}
