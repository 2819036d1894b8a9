package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an answer that is broken off while the caller gets it, because another endpoint accepts the request for
// which its start was late.
func TestServe_LongAnswerGoesOnDuringOffer(t *testing.T) {
	long := strings.Repeat("x", 400<<10)
	for name, c := range map[string]struct {
		head  string
		parts [3]string // before the stall, up to the part that the caller gets at once, the rest
	}{
		"event stream": {"Content-Type: text/event-stream\r\nConnection: close", [3]string{"", event(1), event(2)}},
		"large answer": {fmt.Sprintf("Content-Length: %d", len(long)), [3]string{long[:10], long[10 : 300<<10], long[300<<10:]}},
	} {
		t.Run(name, func(t *testing.T) {
			offered, done := make(chan struct{}), make(chan struct{})
			var arrivals atomic.Int32
			w := newHarness(t, 2, func(a *arrival) {
				if arrivals.Add(1) > 1 {
					close(offered)
					select {
					case <-a.connClosed:
					case <-time.After(300 * time.Millisecond):
						a.reply(http.StatusOK, "other")
						time.Sleep(50 * time.Millisecond) // the offer is accepted
					}
					close(done)
					return
				}
				_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n\r\n%s", a.id, c.head, c.parts[0])
				<-offered
				_, _ = io.WriteString(a.conn, c.parts[1])
				<-done
				_, _ = io.WriteString(a.conn, c.parts[2])
				_ = a.conn.Close()
			})
			w.table.Routes[1].Timeout = 3 * time.Second
			got := w.send(t.Context(), "safe")
			must.NoError(t, got.broken)
			must.Eq(t, http.StatusOK, got.status)
			must.True(t, got.body.String() == strings.Join(c.parts[:], ""), must.Sprintf("%d bytes", got.body.Len()))
			must.Eq(t, 2, w.arrivalCount())
		})
	}
}
