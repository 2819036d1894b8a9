package relay

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/config"
)

// fingerprintOf returns the fingerprint of a call after a change.
func fingerprintOf(t *testing.T, isChat bool, change func(c *Call)) uint64 {
	t.Helper()
	c := &Call{
		Service: &config.Service{Name: "s"}, Workspace: "w", Method: http.MethodPost, Path: "/a?q=1",
		Header: http.Header{"X-Kind": {"a"}, "Idempotency-Key": {"k"}, "Traceparent": {"t"}}, Body: []byte(`{"messages":[{}],"user":"u","seed":1}`),
	}
	change(c)
	if isChat {
		chat, err := parseChat(c.Body)
		must.NoError(t, err)
		c.Chat = chat
	}
	return c.fingerprint()
}

// Guards against a harmless call that shares the fate of a deadly one of another caller or with another field, header or query,
// and against a repeat that is taken for another call.
func TestCall_Fingerprint(t *testing.T) {
	body := func(text string) func(c *Call) { return func(c *Call) { c.Body = []byte(text) } }
	header := func(name, value string) func(c *Call) { return func(c *Call) { c.Header.Set(name, value) } }
	for name, c := range map[string]struct {
		change              func(c *Call)
		samePlain, sameChat bool
	}{
		"no change":       {func(*Call) {}, true, true},
		"workspace":       {func(c *Call) { c.Workspace = "v" }, false, false},
		"service":         {func(c *Call) { c.Service = &config.Service{Name: "t"} }, false, false},
		"query":           {func(c *Call) { c.Path = "/a?q=2" }, false, false},
		"header":          {header("X-Kind", "b"), false, true}, // engines get none
		"idempotency key": {header("Idempotency-Key", "l"), true, true},
		"trace":           {header("Traceparent", "u"), true, true},
		"user":            {body(`{"messages":[{}],"user":"v","seed":1}`), false, false},
		"metadata":        {body(`{"messages":[{}],"user":"u","seed":1,"metadata":{}}`), false, false},
		"seed":            {body(`{"messages":[{}],"user":"u","seed":2}`), false, false},
		"stream":          {body(`{"messages":[{}],"user":"u","seed":1,"stream":true}`), false, true},
		"order":           {body(`{"user":"u","messages":[{}],"seed":1}`), false, true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, isChat := range []bool{false, true} {
				base := fingerprintOf(t, isChat, func(*Call) {})
				same := c.samePlain && !isChat || c.sameChat && isChat
				must.Eq(t, same, base == fingerprintOf(t, isChat, c.change))
			}
		})
	}
}
