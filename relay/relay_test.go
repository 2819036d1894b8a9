package relay

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/standin"
)

// Guards against a broken path from caller to endpoint for streams, JSON answers and plain calls.
func TestRelay_PlainPath(t *testing.T) {
	w := newWorld(t)
	w.engine("a", "fd1", standin.EngineConfig{DecodeStep: time.Millisecond})
	w.service("s", standin.ServiceConfig{})
	_, url := w.relay(Config{})
	r := chat(url, "review the order", 20)
	mustWhole(t, r, "review the order", 20)
	must.Eq(t, "a", r.header.Get("X-Endpoint"))
	must.Eq(t, "v1", r.header.Get("X-Version"))
	r = send("POST", url+"/v1/chat/completions", chatBody("tag", 5, false))
	must.StrContains(t, r.body, standin.EngineText(7, "tag", 5))
	r = send("GET", url+"/services/orders/list?x=1", "")
	must.Eq(t, 200, r.status)
	must.StrContains(t, r.body, `"path":"/list"`)
}
