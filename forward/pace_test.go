package forward_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/fleet"
	"github.com/trefoillug/trefoillug/forward"
)

// pacedWire reads a pace in percent from the header Pace.
type pacedWire struct{ wire }

func (pacedWire) Load(h http.Header) (fleet.Load, bool) {
	load := fleet.Load{Running: 1, Slots: 8}
	_, err := fmt.Sscan(h.Get("Pace"), &load.Pace)
	load.Pace /= 100
	return load, err == nil
}

// Guards against reports of the pace that don't reach the choice, the estimate of capacity, or both.
func TestServe_AvoidsSlowEndpoint(t *testing.T) {
	paces := map[string]int{"e0": 250, "e1": 100, "e2": 100}
	w := newHarness(t, 3, func(a *arrival) {
		time.Sleep(time.Duration(paces[a.endpoint]) * 100 * time.Microsecond)
		a.reply(http.StatusOK, "x", "Pace", strconv.Itoa(paces[a.endpoint]))
	}, func(cfg *forward.Config) { cfg.Wire = pacedWire{} }).setPatient()
	send := func() string {
		must.Eq(t, http.StatusOK, w.send(t.Context(), "once").status)
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.arrivals[len(w.arrivals)-1]
	}
	for checked := 0; checked < 3; {
		if send() != "e0" {
			continue
		}
		reported := time.Now()
		next := send()
		if time.Since(reported) < 150*time.Millisecond { // the report still holds
			must.NotEq(t, "e0", next)
			checked++
		}
	}
	must.Less(t, 1, w.forwarder.MeanCapacity(service, time.Now()))
}
