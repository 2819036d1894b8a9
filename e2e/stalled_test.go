package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/standin"
)

// Guards against established connections to the store that stall while new ones work: watches that never receive a new
// configuration, and orders that wait on a stalled connection until their deadline.
func TestStalled_StoreConnections(t *testing.T) {
	for _, direction := range []struct {
		name     string
		up, down bool
	}{{"both", true, true}, {"towards the store", true, false}, {"from the store", false, true}} {
		t.Run(direction.name, func(t *testing.T) {
			env := newTestEnv(t)
			f, err := standin.NewForwarder(strings.TrimPrefix(env.operatorURL, "http://"))
			must.NoError(t, err)
			t.Cleanup(f.Close)
			env.storeURL = "http://" + f.Address()
			env.populate()
			must.Eq(t, http.StatusOK, env.entries[0].order("before", "3 labels").status)

			f.Stall(direction.up, direction.down)
			begin := time.Now()
			orders := make(chan answer, 1)
			go func() { orders <- env.entries[1].order("silent", "3 labels") }()
			env.publish(testServices(t, "concurrency: 9\n"), env.entries...)
			t.Logf("in effect after %s", time.Since(begin).Round(10*time.Millisecond))
			a := <-orders
			must.Eq(t, http.StatusOK, a.status)
			must.Eq(t, 1, env.runCount("silent"))
		})
	}
}
