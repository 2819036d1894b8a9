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
	// quietDrainTime is drainTime of one whose answers do not say that it leaves: some serve on for longer.
	quietDrainTime = 2 * drainTime
	// crashRemovalDelay is how long a crashed endpoint stays on the list: three intervals of its heartbeat.
	crashRemovalDelay = 1200 * time.Millisecond
)

const (
	// minPause and maxPause bound how long the answers of an endpoint pause.
	minPause = 700 * time.Millisecond
	maxPause = 1200 * time.Millisecond
)

// retryAfterValues are the values with which full endpoints say when to come back. The last ones name no time.
var retryAfterValues = []string{"1", "2", "3", "1.5", "0.8", "2.25", "-1", "soon", "Wed, 21 Oct 2099 07:28:00 GMT"}

// inject executes a fault or planned work and returns when it has ended.
func (env *environment) inject(f Fault) {
	switch {
	case f.Kind.onInstance():
		env.injectInstanceFault(f, env.instances[f.Target%len(env.instances)])
	case f.Kind.onEndpoint():
		env.injectEndpointFault(f, env.endpoints[f.Target%len(env.endpoints)])
	case f.Kind.onAllInstances():
		env.injectHolderFault(f)
	case f.Kind == StoreRestored:
		env.restoreStore(f)
	case f.Kind == StreamsBreak:
		env.breakStreams(f)
	case f.Kind == RollOut:
		env.rollOut(f)
	case f.Kind == WeightsChange:
		env.changeWeights(f)
	case f.Kind == RequestDeadly:
		env.sendDeadlyRequests(f)
	case f.Kind == RequestRepeated:
		env.sendRepeatedRequest(f)
	case f.Kind == ListOddEntry:
		env.addOddEntry(f)
	case f.Kind.onStore():
		env.injectStoreFault(f)
	default:
		env.changeConfig(f)
	}
}

func (env *environment) openSpan(f Fault, instance, endpoint string) (end func()) {
	finish := env.evidence.openSpan(FaultSpan{From: time.Now(), Kind: f.Kind, Instance: instance, Endpoint: endpoint, Planned: f.Kind.isPlanned()})
	return func() { finish(time.Now()) }
}

func (env *environment) injectInstanceFault(f Fault, i *instance) {
	defer env.openSpan(f, i.machine.Name, "")()
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
	case InstanceSignals:
		env.sendSignals(i, f.For)
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
	defer env.openSpan(f, "", worker.ID)()
	switch f.Kind {
	case EndpointCrash:
		env.crashEndpoint(e, worker, min(f.For, crashRemovalDelay))
	case EndpointLeave:
		env.leaveEndpoint(e, worker, anyAddress)
	case EndpointLeavesQuietly:
		env.announceLeaving(e, worker, quietDrainTime)
		time.Sleep(quietDrainTime)
		env.endLeaving(e, worker, anyAddress)
	case EndpointLeavesEarly:
		worker.SetLeaving(true)
		time.Sleep(f.For)
		env.leaveEndpoint(e, worker, proxy.Address())
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
	case EndpointFullFor:
		worker.SetRetryAfter(retryAfterValues[f.Target%len(retryAfterValues)])
		worker.SetFull(true)
		time.Sleep(f.For)
		worker.SetFull(false)
		worker.SetRetryAfter("")
	case EndpointPauses:
		worker.Pause(min(max(f.For, minPause), maxPause))
		time.Sleep(maxPause)
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

// sendSignals sends signals to an instance in a series with changes of the configuration in between. Some arrive while
// the instance shuts down, or starts again.
func (env *environment) sendSignals(i *instance, total time.Duration) {
	series := []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}
	for _, s := range series {
		i.signal(s)
		env.publish(func(*standin.PlatformConfig) {})
		time.Sleep(total / time.Duration(len(series)))
	}
}

// crashEndpoint ends the current lifetime of an endpoint and starts the next one. The entry of the old one stays on the
// list for a time.
func (env *environment) crashEndpoint(e *endpoint, worker *standin.PlatformWorker, listed time.Duration) {
	if !e.claimEnd(worker) {
		return
	}
	env.stopEndpoint(e)
	time.Sleep(listed)
	env.removeEntry(worker.ID)
	env.restartEndpoint(e, anyAddress)
}

// leaveEndpoint makes an endpoint leave as planned and starts the next lifetime at an address.
func (env *environment) leaveEndpoint(e *endpoint, worker *standin.PlatformWorker, next string) {
	if e.hasEnded(worker) {
		return
	}
	env.drainEndpoint(e, worker)
	time.Sleep(drainTime)
	env.endLeaving(e, worker, next)
}

// endLeaving ends an endpoint that has left and starts the next lifetime at an address.
func (env *environment) endLeaving(e *endpoint, worker *standin.PlatformWorker, next string) {
	if !e.claimEnd(worker) {
		return
	}
	env.store.Remove(platform.KindEndpoints, worker.ID)
	env.stopEndpoint(e)
	env.restartEndpoint(e, next)
}

// drainEndpoint makes an endpoint announce that it is draining.
func (env *environment) drainEndpoint(e *endpoint, worker *standin.PlatformWorker) {
	env.announceLeaving(e, worker, drainTime)
	worker.SetDraining(true)
	worker.SetLeaving(true)
}

// announceLeaving makes the entry of an endpoint say that it leaves, unless the lifetime has been replaced meanwhile.
func (env *environment) announceLeaving(e *endpoint, worker *standin.PlatformWorker, in time.Duration) {
	e.mu.Lock()
	proxy, started, isCurrent := e.proxy, e.started, e.worker == worker
	e.mu.Unlock()
	if !isCurrent {
		return
	}
	entry := env.entry(e, proxy.Address(), "draining", started.UnixMilli())
	entry["leaves_ms"] = in.Milliseconds()
	env.store.Put(platform.KindEndpoints, worker.ID, entry)
	env.evidence.update(func() { env.evidence.Leaving[worker.ID] = time.Now() })
}

func (env *environment) removeEntry(id string) {
	env.store.Remove(platform.KindEndpoints, id)
	env.evidence.update(func() { env.evidence.Leaving[id] = time.Now() })
}

// restartEndpoint starts the next lifetime of an endpoint at an address, or at another one if that is in use by now.
func (env *environment) restartEndpoint(e *endpoint, address string) {
	err := env.startEndpoint(e, address)
	if err != nil && address != anyAddress {
		err = env.startEndpoint(e, anyAddress)
	}
	if err != nil {
		env.evidence.update(func() { env.evidence.Leaks = append(env.evidence.Leaks, "endpoint not restarted: "+err.Error()) })
	}
}

func (env *environment) injectStoreFault(f Fault) {
	defer env.openSpan(f, "", "")()
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

// breakStreams makes endpoints break streams off and answer the requests for their rest oddly.
func (env *environment) breakStreams(f Fault) {
	defer env.openSpan(f, "", "")()
	env.oddities.Set(true)
	time.Sleep(f.For)
	env.oddities.Set(false) // a span that begins at the end of this one sets it again
}

// changeWeights gives the model engines new weights, one after the other.
func (env *environment) changeWeights(f Fault) {
	defer env.openSpan(f, "", "")()
	for _, e := range env.endpoints[:env.site.Models] {
		e.mu.Lock()
		e.worker.SetWeights(f.At.Milliseconds())
		e.mu.Unlock()
		time.Sleep(f.For / time.Duration(env.site.Models))
	}
}

// addOddEntry puts an entry of another writer into the endpoint list for the time of the fault.
func (env *environment) addOddEntry(f Fault) {
	defer env.openSpan(f, "", "")()
	e := env.endpoints[f.Target%len(env.endpoints)]
	e.mu.Lock()
	entries := standin.OddPlatformEntries(e.proxy.Address())
	e.mu.Unlock()
	name := fmt.Sprintf("odd-%d-%d", f.Target, f.At.Milliseconds())
	env.store.PutRaw(platform.KindEndpoints, name, entries[f.Target%len(entries)])
	time.Sleep(f.For)
	env.store.Remove(platform.KindEndpoints, name)
}

func (env *environment) changeConfig(f Fault) {
	defer env.openSpan(f, "", "")()
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
