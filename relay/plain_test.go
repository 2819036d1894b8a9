package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/core"
	"github.com/trefoillug/trefoillug/standin"
)

// addDeadEndpoint lists an endpoint of the plain service that refuses connections. Its port is that of the calling side of
// an open connection, so that no server gets it.
func (env *testEnv) addDeadEndpoint(id string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(env.t, err)
	env.t.Cleanup(func() { l.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(env.t, err)
	env.t.Cleanup(func() { c.Close() })
	env.addInstance(cloud.Instance{ID: id, Address: c.LocalAddr().String(), FailureDomain: "fd1", Service: "orders"})
}

func book(url, key, body string) reply {
	return send("POST", url+"/services/orders/book", body, "Idempotency-Key", key)
}

// Guards against a call that runs twice, or whose outcome is reported as not_run, after its answer was lost.
func TestOnce_LostAnswerIsUnknown(t *testing.T) {
	env := newTestEnv(t)
	s := env.startService("s", standin.ServiceConfig{})
	env.startService("s2", standin.ServiceConfig{})
	s.SetFaults(standin.ServiceFaults{LoseAnswer: true})
	env.services["s2"].SetFaults(standin.ServiceFaults{LoseAnswer: true})
	_, url := env.startRelay(Config{Claimer: newMemoryClaims()})
	for range 2 {
		r := book(url, "k1", `{"day":"monday"}`)
		must.Eq(t, 502, r.status)
		must.StrContains(t, r.body, `"outcome":"unknown"`)
	}
	must.Eq(t, 1, s.Counts().Runs+env.services["s2"].Counts().Runs)
}

// Guards against repeated calls that run again, wait without end or get a different answer.
func TestOnce_RepeatsGetRecordedAnswer(t *testing.T) {
	env := newTestEnv(t)
	s := env.startService("s", standin.ServiceConfig{Work: 100 * time.Millisecond})
	_, url := env.startRelay(Config{Claimer: newMemoryClaims()})
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

// Guards against a call that fails or is marked as unknown although nothing of it was sent.
func TestOnce_DialFailureTriesNextEndpoint(t *testing.T) {
	env := newTestEnv(t)
	env.addDeadEndpoint("dead")
	s := env.startService("s", standin.ServiceConfig{})
	_, url := env.startRelay(Config{Claimer: newMemoryClaims()})
	r := book(url, "k1", "body")
	must.Eq(t, 200, r.status, must.Sprint(r.body))
	must.Eq(t, "s", r.header.Get("X-Endpoint"))
	must.Eq(t, 1, s.Counts().Runs)
}

// Guards against a call of which nothing was sent that keeps its claim or is not reported as not_run.
func TestOnce_NoEndpointReleasesClaim(t *testing.T) {
	env := newTestEnv(t)
	env.addDeadEndpoint("dead")
	claims := newMemoryClaims()
	_, url := env.startRelay(Config{Claimer: claims})
	r := book(url, "k1", "body")
	must.StrContains(t, r.body, `"kind":"no_endpoint","outcome":"not_run"`)
	must.MapEmpty(t, claims.claims)
}

// Guards against a call that runs although its claim could not be recorded.
func TestOnce_ClaimErrorPreventsRun(t *testing.T) {
	env := newTestEnv(t)
	s := env.startService("s", standin.ServiceConfig{})
	_, url := env.startRelay(Config{})
	r := book(url, "k1", "body")
	must.StrContains(t, r.body, `"kind":"store_unavailable","outcome":"unknown"`)
	must.Eq(t, 0, s.Counts().Runs)
}

// Guards against idempotent calls that fail because a single endpoint fails.
func TestPlain_RetriesOtherEndpoints(t *testing.T) {
	env := newTestEnv(t)
	env.startService("s1", standin.ServiceConfig{}).SetFaults(standin.ServiceFaults{LoseAnswer: true})
	env.startService("s2", standin.ServiceConfig{}).SetFaults(standin.ServiceFaults{Status: 503})
	env.startService("s3", standin.ServiceConfig{})
	_, url := env.startRelay(Config{})
	for range 10 {
		must.Eq(t, 200, send("GET", url+"/services/orders/list", "").status)
	}
}

// Guards against calls that are refused while no endpoint is ready for a short time.
func TestPlain_WaitsForEndpoint(t *testing.T) {
	env := newTestEnv(t)
	_, url := env.startRelay(Config{})
	time.AfterFunc(500*time.Millisecond, func() { env.startService("s", standin.ServiceConfig{}) })
	must.Eq(t, 200, send("GET", url+"/services/orders/list", "").status)
}

// Guards against more calls waiting for an endpoint than the bound allows.
func TestPlain_WaitingIsBounded(t *testing.T) {
	env := newTestEnv(t)
	_, url := env.startRelay(Config{Limits: Limits{MaxWaiting: 1}})
	go send("GET", url+"/services/orders/list", "")
	time.Sleep(100 * time.Millisecond)
	r := send("GET", url+"/services/orders/list", "")
	must.StrContains(t, r.body, `"kind":"overloaded","outcome":"not_run"`)
}

// Guards against retries beyond the deadline, and against a not_run outcome of a call that was sent.
func TestPlain_DeadlineBoundsRetries(t *testing.T) {
	env := newTestEnv(t)
	env.startService("s", standin.ServiceConfig{}).SetFaults(standin.ServiceFaults{LoseAnswer: true})
	_, url := env.startRelay(Config{RetryBudget: emptyUntil{time.Now().Add(time.Hour)}})
	start := time.Now()
	r := send("GET", url+"/services/orders/short", "")
	must.StrContains(t, r.body, `"kind":"endpoint_failed","outcome":"unknown"`)
	must.Between(t, 400*time.Millisecond, time.Since(start), time.Second)
	must.Eq(t, 1, env.services["s"].Counts().Runs)
}

// Guards against calls that wait on a reused connection that has stalled while new connections work.
func TestPlain_StalledConnection(t *testing.T) {
	env := newTestEnv(t)
	f, err := standin.NewForwarder(env.serve(standin.NewService(standin.ServiceConfig{ID: "s"})))
	must.NoError(t, err)
	t.Cleanup(f.Close)
	env.addInstance(cloud.Instance{ID: "s", Address: f.Address(), Service: "orders"})
	_, url := env.startRelay(Config{})
	must.Eq(t, 200, send("GET", url+"/services/orders/list", "").status)
	f.Stall(true, false)
	start := time.Now()
	must.Eq(t, 200, send("GET", url+"/services/orders/list", "").status)
	must.Less(t, 3*time.Second, time.Since(start))
}

// Guards against answers that are cut at the buffer size, and against events that are delayed until the answer ends.
func TestPlain_LargeAndStreamedAnswers(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 1<<16)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	defer end()
	env := newTestEnv(t)
	env.addInstance(cloud.Instance{ID: "s", Service: "orders", Address: env.serve(http.HandlerFunc(func(
		out http.ResponseWriter, r *http.Request) {
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
	rl, url := env.startRelay(Config{})
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

// Guards against a long answer that is cut before its end because its endpoint was silent for longer than a write may
// take.
func TestPlain_SilenceBeforeEnd(t *testing.T) {
	const writeTimeout = 200 * time.Millisecond
	long := strings.Repeat("x", 2*bufferBytes)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, long)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(2 * writeTimeout)
	}))
	defer service.Close()
	env := newTestEnv(t)
	env.addInstance(cloud.Instance{ID: "s", Address: service.Listener.Addr().String(), FailureDomain: "fd1", Service: "orders"})
	_, url := env.startRelay(Config{Limits: Limits{WriteTimeout: writeTimeout}})
	resp, err := http.Get(url + "/services/orders/list")
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, len(long), len(body))
}

// Guards against a call that is refused because its sound endpoint is silent for half of the time left while the retry
// budget is used up.
func TestPlain_SilenceWithoutBudget(t *testing.T) {
	env := newTestEnv(t)
	env.startService("a", standin.ServiceConfig{Work: 350 * time.Millisecond})
	env.startService("b", standin.ServiceConfig{Work: 350 * time.Millisecond})
	_, url := env.startRelay(Config{RetryBudget: emptyUntil{time.Now().Add(time.Hour)}})
	must.Eq(t, 200, send("GET", url+"/services/orders/short", "").status)
}

// Guards against answers such as 404 that are reported as successes, so that a version which gives them looks sound.
func TestPlain_AnswersAsEvidence(t *testing.T) {
	for status, unsuccessful := range map[int]bool{0: false, 302: true, 404: true, 429: true, 500: false} {
		env := newTestEnv(t)
		env.startService("s", standin.ServiceConfig{}).SetFaults(standin.ServiceFaults{Status: status})
		_, url := env.startRelay(Config{})
		send("GET", url+"/services/orders/list", "")
		var done []core.AttemptDone
		env.mu.Lock()
		for _, e := range env.events {
			if d, ok := e.(core.AttemptDone); ok {
				done = append(done, d)
			}
		}
		env.mu.Unlock()
		must.Len(t, 1, done)
		must.Eq(t, unsuccessful, done[0].Unsuccessful)
		must.Eq(t, status == 500, done[0].Result == core.Failed)
	}
}
