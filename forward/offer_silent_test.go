package forward_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a stream that waits for an endpoint that is silent since its offer, although its own endpoint is lost and a
// further one may continue it.
func TestServe_LostDuringSilentOffer(t *testing.T) {
	lost := make(chan struct{})
	var arrivals atomic.Int32
	w := newHarness(t, 3, func(a *arrival) {
		switch arrivals.Add(1) {
		case 1:
			a.stream()
			a.chunk(event(1))
			<-lost
			_ = a.conn.Close()
		case 2:
			close(lost)
			<-a.connClosed
		default:
			continueStream(a)
		}
	})
	w.table.Routes[3].Timeout = 3 * time.Second
	w.table.Routes[3].MaxAttempts = 4
	got := w.send(t.Context(), "resume")
	must.NoError(t, got.broken, must.Sprint(got.body.String(), got.took, arrivals.Load()))
	must.Eq(t, event(1)+event(2), got.body.String())
}
