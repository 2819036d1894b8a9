package cloud_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/standin"
)

// Guards against transferring an unchanged instance list on every call, and against missing a change of the list.
func TestListClient_TransfersChangesOnly(t *testing.T) {
	cloudAPI := standin.NewCloud(0)
	transfers := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		cloudAPI.ServeHTTP(rec, r)
		if r.Method == http.MethodGet && rec.Code == http.StatusOK {
			transfers++
		}
		w.Header().Set("ETag", rec.Header().Get("ETag"))
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer server.Close()
	client := cloud.NewClient(server.URL, http.DefaultClient)
	addInstance := func(id string) {
		req, err := http.NewRequest(http.MethodPut, server.URL+"/instances/"+id, strings.NewReader(`{"role":"endpoint"}`))
		must.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
	}
	for i, id := range []string{"e1", "e2"} {
		addInstance(id)
		for range 3 {
			list, err := client.Instances(context.Background())
			must.NoError(t, err)
			must.Len(t, i+1, list)
		}
	}
	must.Eq(t, 2, transfers)
}
