package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/platform"
	"github.com/trefoillug/trefoillug/standin"
)

// Guards against an endpoint that announces that it leaves with another start than its own, because a restored store has
// forgotten its entry. Instances ignore an entry with an earlier start, so that they would be blamed for using the endpoint.
func TestAnnounceLeaving_StoreForgotEntry(t *testing.T) {
	env, err := newEnvironment(Options{Plan: NewPlan(1, time.Minute, 1), Dir: t.TempDir()})
	must.NoError(t, err)
	defer func() { must.NoError(t, env.close()) }()
	e := env.endpoints[0]
	decode := func() fleet.Entry {
		entry, err := platform.DecodeEndpoint(e.worker.ID, env.store.Spec(platform.KindEndpoints, e.worker.ID), time.Now())
		must.NoError(t, err)
		return entry
	}
	before := decode()
	restored := make(chan struct{})
	go func() {
		defer close(restored)
		env.store.Run(standin.Drill{Age: time.Hour, RewriteAfter: time.Second})
	}()
	for env.store.Spec(platform.KindEndpoints, e.worker.ID) != nil {
		time.Sleep(time.Millisecond)
	}
	env.announceLeaving(e, e.worker, drainTime)
	<-restored
	after := decode()
	must.Eq(t, before.StartedMs, after.StartedMs)
	must.True(t, after.Draining)
}
