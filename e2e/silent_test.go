package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/standin"
)

// Guards against connections to the store that go silent for good while new ones work: watches that never hear of a
// configuration, and orders that wait on a dead connection until their deadline.
func TestSilent_StoreConnections(t *testing.T) {
	for _, dir := range []struct {
		name     string
		up, down bool
	}{{"both", true, true}, {"towards the store", true, false}, {"from the store", false, true}} {
		t.Run(dir.name, func(t *testing.T) {
			w := newWorld(t)
			f, err := standin.NewForwarder(strings.TrimPrefix(w.direct, "http://"))
			must.NoError(t, err)
			t.Cleanup(f.Close)
			w.storeURL = "http://" + f.Address()
			w.populate()
			must.Eq(t, http.StatusOK, w.entries[0].order("before", "3 labels").status)

			f.Silence(dir.up, dir.down)
			begin := time.Now()
			orders := make(chan answer, 1)
			go func() { orders <- w.entries[1].order("silent", "3 labels") }()
			w.publish(testServices(t, "concurrency: 9\n"), w.entries...)
			t.Logf("in effect after %s", time.Since(begin).Round(10*time.Millisecond))
			a := <-orders
			must.Eq(t, http.StatusOK, a.status)
			must.Eq(t, 1, w.runs("silent"))
		})
	}
}
