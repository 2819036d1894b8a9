package relay

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/standin"
)

// Guards against a broken request path for streams, JSON answers and plain calls.
func TestRelay_CallerToEndpoint(t *testing.T) {
	env := newTestEnv(t)
	env.startEngine("a", "fd1", standin.EngineConfig{DecodeStep: time.Millisecond})
	env.startService("s", standin.ServiceConfig{})
	_, url := env.startRelay(Config{})
	r := chat(url, "review the order", 20)
	mustBeComplete(t, r, "review the order", 20)
	must.Eq(t, "a", r.header.Get("X-Endpoint"))
	must.Eq(t, "v1", r.header.Get("X-Version"))
	r = send("POST", url+"/v1/chat/completions", chatBody("tag", 5, false))
	must.StrContains(t, r.body, standin.EngineText(7, "tag", 5))
	r = send("GET", url+"/services/orders/list?x=1", "")
	must.Eq(t, 200, r.status)
	must.StrContains(t, r.body, `"path":"/list"`)
}
