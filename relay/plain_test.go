package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/standin"
)

// deadEndpoint lists an endpoint of the plain service to which no connection can be opened.
func (w *world) deadEndpoint(id string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(w.t, err)
	address := l.Addr().String()
	l.Close()
	w.list(cloud.Instance{ID: id, Address: address, FailureDomain: "fd1", Service: "orders"})
}

func book(url, key, body string) reply {
	return send("POST", url+"/services/orders/book", body, "Idempotency-Key", key)
}

// Guards against a second run, a false not_run and a repeat that runs again when the answer of a call is lost.
func TestOnce_LostAnswerIsUnknown(t *testing.T) {
	w := newWorld(t)
	s := w.service("s", standin.ServiceConfig{})
	w.service("s2", standin.ServiceConfig{})
	s.SetFaults(standin.ServiceFaults{LoseAnswer: true})
	w.services["s2"].SetFaults(standin.ServiceFaults{LoseAnswer: true})
	_, url := w.relay(Config{Claimer: newMemoryClaims()})
	for range 2 {
		r := book(url, "k1", `{"day":"monday"}`)
		must.Eq(t, 502, r.status)
		must.StrContains(t, r.body, `"outcome":"unknown"`)
	}
	must.Eq(t, 1, s.Counts().Runs+w.services["s2"].Counts().Runs)
}

// Guards against repeats that run again, wait in vain or get another answer.
func TestOnce_RepeatsGetTheRecordedAnswer(t *testing.T) {
	w := newWorld(t)
	s := w.service("s", standin.ServiceConfig{Work: 100 * time.Millisecond})
	_, url := w.relay(Config{Claimer: newMemoryClaims()})
	var all sync.WaitGroup
	replies := make([]reply, 4)
	for i := range replies {
		all.Go(func() { replies[i] = book(url, "k1", "body") })
	}
	all.Wait()
	for _, r := range replies {
		must.Eq(t, 200, r.status)
		must.Eq(t, replies[0].body, r.body)
	}
	must.Eq(t, 1, s.Counts().Runs)
	must.StrContains(t, book(url, "k1", "other").body, `"kind":"key_reused"`)
	must.StrContains(t, send("POST", url+"/services/orders/book", "x").body, `"kind":"key_missing"`)
}

// Guards against giving up, or marking as unknown, a call of which nothing was sent.
func TestOnce_DialFailureGoesElsewhere(t *testing.T) {
	w := newWorld(t)
	w.deadEndpoint("dead")
	s := w.service("s", standin.ServiceConfig{})
	_, url := w.relay(Config{Claimer: newMemoryClaims()})
	r := book(url, "k1", "body")
	must.Eq(t, 200, r.status, must.Sprint(r.body))
	must.Eq(t, "s", r.header.Get("X-Endpoint"))
	must.Eq(t, 1, s.Counts().Runs)
}

// Guards against not_run answers for calls that were sent, and claims that stay behind when none was.
func TestOnce_NoEndpointReleasesClaim(t *testing.T) {
	w := newWorld(t)
	w.deadEndpoint("dead")
	claims := newMemoryClaims()
	_, url := w.relay(Config{Claimer: claims})
	r := book(url, "k1", "body")
	must.StrContains(t, r.body, `"kind":"no_endpoint","outcome":"not_run"`)
	must.MapEmpty(t, claims.claims)
}

// Guards against running a call whose claim could not be recorded.
func TestOnce_NoClaimNoRun(t *testing.T) {
	w := newWorld(t)
	s := w.service("s", standin.ServiceConfig{})
	_, url := w.relay(Config{})
	r := book(url, "k1", "body")
	must.StrContains(t, r.body, `"kind":"store_unavailable","outcome":"unknown"`)
	must.Eq(t, 0, s.Counts().Runs)
}

// Guards against idempotent calls that fail with one endpoint.
func TestPlain_RetriedElsewhere(t *testing.T) {
	w := newWorld(t)
	w.service("s1", standin.ServiceConfig{}).SetFaults(standin.ServiceFaults{LoseAnswer: true})
	w.service("s2", standin.ServiceConfig{}).SetFaults(standin.ServiceFaults{Status: 503})
	w.service("s3", standin.ServiceConfig{})
	_, url := w.relay(Config{})
	for range 10 {
		must.Eq(t, 200, send("GET", url+"/services/orders/list", "").status)
	}
}

// Guards against refusing calls while no endpoint is ready for a moment.
func TestPlain_WaitsForEndpoint(t *testing.T) {
	w := newWorld(t)
	_, url := w.relay(Config{})
	time.AfterFunc(500*time.Millisecond, func() { w.service("s", standin.ServiceConfig{}) })
	must.Eq(t, 200, send("GET", url+"/services/orders/list", "").status)
}

// Guards against more calls waiting for an endpoint than the bound allows.
func TestPlain_WaitingIsBounded(t *testing.T) {
	w := newWorld(t)
	_, url := w.relay(Config{Limits: Limits{Waiting: 1}})
	go send("GET", url+"/services/orders/list", "")
	time.Sleep(100 * time.Millisecond)
	r := send("GET", url+"/services/orders/list", "")
	must.StrContains(t, r.body, `"kind":"overloaded","outcome":"not_run"`)
}

// Guards against retries beyond the deadline, and a not_run answer for a call that was sent.
func TestPlain_DeadlineBoundsRetries(t *testing.T) {
	w := newWorld(t)
	w.service("s", standin.ServiceConfig{}).SetFaults(standin.ServiceFaults{LoseAnswer: true})
	_, url := w.relay(Config{RetryBudget: denyUntil{time.Now().Add(time.Hour)}})
	start := time.Now()
	r := send("GET", url+"/services/orders/short", "")
	must.StrContains(t, r.body, `"kind":"endpoint_failed","outcome":"unknown"`)
	must.Between(t, 400*time.Millisecond, time.Since(start), time.Second)
	must.Eq(t, 1, w.services["s"].Counts().Runs)
}

// Guards against calls that wait on a kept connection which went silent while new ones work.
func TestPlain_SilentConnection(t *testing.T) {
	w := newWorld(t)
	f, err := standin.NewForwarder(w.serve(standin.NewService(standin.ServiceConfig{ID: "s"})))
	must.NoError(t, err)
	t.Cleanup(f.Close)
	w.list(cloud.Instance{ID: "s", Address: f.Address(), Service: "orders"})
	_, url := w.relay(Config{})
	must.Eq(t, 200, send("GET", url+"/services/orders/list", "").status)
	f.Silence(true, false)
	start := time.Now()
	must.Eq(t, 200, send("GET", url+"/services/orders/list", "").status)
	must.Less(t, 3*time.Second, time.Since(start))
}

// Guards against answers cut at the buffer, and events held back until the answer ends.
func TestPlain_LargeAndStreamedAnswers(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 1<<16)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	defer end()
	w := newWorld(t)
	w.list(cloud.Instance{ID: "s", Service: "orders", Address: w.serve(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = io.WriteString(out, large)
			return
		}
		out.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(out, "data: 1\n\n")
		_ = http.NewResponseController(out).Flush()
		<-release
		_, _ = io.WriteString(out, "data: 2\n\n")
	}))})
	rl, url := w.relay(Config{})
	must.Eq(t, large, send("GET", url+"/services/orders/large", "").body)
	client := &http.Client{Timeout: 3 * time.Second}
	resp, err := client.Get(url + "/services/orders/events")
	must.NoError(t, err)
	defer resp.Body.Close()
	head := make([]byte, 9)
	_, err = io.ReadFull(resp.Body, head)
	must.NoError(t, err)
	must.Eq(t, "data: 1\n\n", string(head))
	end()
	tail, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "data: 2\n\n", string(tail))
	must.NoError(t, rl.Drain(t.Context(), DrainPlanned))
}
