package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/objstore"
)

func postFaults(t *testing.T, url, body string) int {
	t.Helper()
	resp, err := http.Post(url+"/faults", "application/json", strings.NewReader(body))
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against faults set over HTTP that are not applied, and against misspelt names that are ignored.
func TestObjects_FaultsOverHTTP(t *testing.T) {
	server := httptest.NewServer(NewObjects(ObjectsOptions{}))
	defer server.Close()
	c := objstore.NewClient(server.URL, nil)
	v1, err := c.Put(t.Context(), "k", []byte("one"), 0)
	must.NoError(t, err)
	_, err = c.Put(t.Context(), "k", []byte("two"), v1)
	must.NoError(t, err)

	must.Eq(t, http.StatusBadRequest, postFaults(t, server.URL, `{"dwon":true}`))
	must.Eq(t, http.StatusNoContent, postFaults(t, server.URL, `{"old":{"k":1},"slow":"1ms"}`))
	o, err := c.Get(t.Context(), "k")
	must.NoError(t, err)
	must.Eq(t, "one", string(o.Value))

	must.Eq(t, http.StatusNoContent, postFaults(t, server.URL, `{"down":true}`))
	_, err = c.Get(t.Context(), "k")
	must.ErrorIs(t, err, objstore.ErrUnavailable)
	must.Eq(t, http.StatusNoContent, postFaults(t, server.URL, `{}`))
	o, err = c.Get(t.Context(), "k")
	must.NoError(t, err)
	must.Eq(t, "two", string(o.Value))

	resp, err := http.Get(server.URL + "/counts")
	must.NoError(t, err)
	defer resp.Body.Close()
	var counts Counts
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&counts))
	must.Eq(t, Counts{Reads: 2, Writes: 2}, counts)
}

// Guards against a stand-in that doesn't apply the platform's rate limits, so that tests don't notice too many calls.
func TestObjects_RateLimit(t *testing.T) {
	objects := NewObjects(ObjectsOptions{ReadRate: 2, WriteRate: 1})
	server := httptest.NewServer(objects)
	defer server.Close()
	c := objstore.NewClient(server.URL, nil)
	for range 5 {
		_, err := c.Get(t.Context(), "k")
		must.Error(t, err)
	}
	must.GreaterEq(t, 2, objects.Counts().Limited)
}
