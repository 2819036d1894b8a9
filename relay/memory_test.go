package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/intake"
	"github.com/trefoillug/trefoillug/standin"
)

// Guards against memory of bodies that stays counted after their requests, by which an instance refuses all requests after a
// time: those of requests that were served, refused, or broken off by the caller.
func TestMemory_ReleasedWithRequest(t *testing.T) {
	env := newTestEnv(t)
	env.startEngine("a", "fd1", slowEngine)
	env.startService("s", standin.ServiceConfig{})
	m := intake.New(10 << 20)
	_, url := env.startRelay(Config{Claimer: newMemoryClaims(), Memory: m, Limits: Limits{RetentionTime: time.Millisecond}})
	chat := url + "/v1/chat/completions"
	for name, want := range map[string]int{
		chatBody("review", 3, true): 200, chatBody("review", 3, false): 200, "no JSON": 400, `{"model":"wording"}`: 400,
		strings.Replace(chatBody("review", 3, true), "wording", "other", 1): 404,
		strings.Repeat("x", MaxBodyBytes+1):                                 413,
	} {
		must.Eq(t, want, send("POST", chat, name).status, must.Sprint(name[:min(len(name), 40)]))
	}
	must.Eq(t, 200, send("GET", url+"/services/orders/x", "").status)
	must.Eq(t, 200, book(url, "k1", strings.Repeat("x", 100_000)).status)
	must.Eq(t, 400, send("POST", url+"/services/orders/book", "no key").status)
	must.Eq(t, 404, send("POST", url+"/services/other/x", "body").status)
	resp, err := http.Post(chat, "application/json", strings.NewReader(chatBody("review", 400, true)))
	must.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, 100))
	must.NoError(t, err)
	must.Positive(t, m.Used())
	must.NoError(t, resp.Body.Close())
	for end := time.Now().Add(10 * time.Second); m.Used() > 0 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
	must.Eq(t, 0, m.Used())
}

// Guards against a shortage of memory that is reported as the caller's error, and against a keyed call that is told not_run
// although an earlier one under its key may have run.
func TestMemory_Shortage(t *testing.T) {
	env := newTestEnv(t)
	env.startService("s", standin.ServiceConfig{})
	_, url := env.startRelay(Config{Claimer: newMemoryClaims(), Memory: intake.New(10_000)})
	r := book(url, "k1", strings.Repeat("x", 100_000))
	must.Eq(t, 503, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
	must.StrContains(t, r.body, `"outcome":"unknown"`)
	r = send("POST", url+"/v1/chat/completions", chatBody(strings.Repeat("x", 100_000), 1, true))
	must.Eq(t, 503, r.status)
	must.StrContains(t, r.body, `"outcome":"not_run"`)
}
