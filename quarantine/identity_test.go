package quarantine_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/quarantine"
)

func content(change func(c *quarantine.Content)) quarantine.Content {
	c := quarantine.Content{
		Host: "a.example", Method: "POST", Path: "/orders/1", Query: "q=1", Caller: "key-1",
		Header: map[string][]string{"Accept": {"text/plain"}, "X-Kind": {"a", "b"}}, Body: []byte(`{"user":"u","item":"aprons"}`),
	}
	change(&c)
	return c
}

// Guards against a harmless request that shares the fate of a deadly one, whose crashes its answers then also clear, because
// the difference between them is left out of the fingerprint.
func TestContent_Identity(t *testing.T) {
	base := content(func(*quarantine.Content) {}).Identity()
	must.Eq(t, base, content(func(*quarantine.Content) {}).Identity())
	for name, c := range map[string]struct {
		change     func(c *quarantine.Content)
		sameFamily bool
	}{
		"host":           {func(c *quarantine.Content) { c.Host = "b.example" }, false},
		"method":         {func(c *quarantine.Content) { c.Method = "PUT" }, false},
		"path":           {func(c *quarantine.Content) { c.Path = "/orders/2" }, false},
		"caller":         {func(c *quarantine.Content) { c.Caller = "key-2" }, false},
		"field user":     {func(c *quarantine.Content) { c.Body = []byte(`{"user":"v","item":"aprons"}`) }, false},
		"field metadata": {func(c *quarantine.Content) { c.Body = []byte(`{"user":"u","item":"aprons","metadata":{"a":1}}`) }, false},
		"field stream":   {func(c *quarantine.Content) { c.Body = []byte(`{"user":"u","item":"aprons","stream":true}`) }, false},
		"order of keys":  {func(c *quarantine.Content) { c.Body = []byte(`{"item":"aprons","user":"u"}`) }, false},
		"no body":        {func(c *quarantine.Content) { c.Body = nil }, false},
		"other text":     {func(c *quarantine.Content) { c.Body = []byte("plain") }, false},
		"shifted parts":  {func(c *quarantine.Content) { c.Path, c.Caller = c.Path+c.Caller, "" }, false},
		"query":          {func(c *quarantine.Content) { c.Query = "q=2" }, true},
		"header":         {func(c *quarantine.Content) { c.Header["Accept"] = []string{"text/html"} }, true},
		"another header": {func(c *quarantine.Content) { c.Header["X-Variant"] = []string{"1"} }, true},
		"header missing": {func(c *quarantine.Content) { delete(c.Header, "Accept") }, true},
		"joined values":  {func(c *quarantine.Content) { c.Header["X-Kind"] = []string{"ab"} }, true},
	} {
		t.Run(name, func(t *testing.T) {
			other := content(c.change).Identity()
			must.NotEq(t, base.Request, other.Request)
			must.Eq(t, c.sameFamily, base.Family == other.Family)
		})
	}
}
