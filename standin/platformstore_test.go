package standin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/trefoillug/trefoillug/standin"
)

// Guards against a fault that loses the writes themselves and not only their answers, or that continues after its end.
func TestPlatformStore_LosesAnswersOnly(t *testing.T) {
	store := standin.NewPlatformStore()
	server := httptest.NewServer(store)
	defer server.Close()
	create := func(name string) error {
		body := strings.NewReader(`{"metadata": {"name": "` + name + `"}, "spec": {"v": 1}}`)
		resp, err := http.Post(server.URL+"/trefoillug/objects/things", "application/json", body)
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	store.LoseAnswers(true)
	must.NoError(t, create("answered"))
	must.Error(t, create("lost"))
	must.NoError(t, create("answered-2"))
	must.Error(t, create("late"))
	must.Nil(t, store.Spec("things", "late"))
	for _, name := range []string{"answered", "lost", "answered-2", "late"} {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return store.Spec("things", name) != nil }),
			wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond)), must.Sprint(name))
	}
	store.LoseAnswers(false)
	for _, name := range []string{"a", "b", "c", "d"} {
		must.NoError(t, create(name))
	}
}

// Guards against specs that encoding/json can't handle and that break the store instead of its callers.
func TestPlatformStore_RawSpecs(t *testing.T) {
	store := standin.NewPlatformStore()
	server := httptest.NewServer(store)
	defer server.Close()
	for _, text := range standin.OddPlatformEntries("127.0.0.1:1") {
		store.PutRaw("things", "odd", text)
		for _, path := range []string{"", "/odd", "?watch=1&waitMs=100"} {
			resp, err := http.Get(server.URL + "/trefoillug/objects/things" + path)
			must.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.NoError(t, resp.Body.Close())
			must.True(t, strings.Contains(string(body), `"spec":`+text), must.Sprint(path, text[:min(len(text), 100)]))
		}
	}
}

// Guards against a drill of the stand-in that loses what it must keep, keeps what it must lose, or lets connections of
// the earlier era go on.
func TestPlatformStore_Drill(t *testing.T) {
	s := standin.NewPlatformStore()
	s.AnnounceEra(7)
	server := httptest.NewServer(s)
	defer server.Close()
	call := func(method, path, body string) (int, string, string) {
		req, err := http.NewRequestWithContext(t.Context(), method, server.URL+"/trefoillug/objects/"+path, strings.NewReader(body))
		must.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		return resp.StatusCode, string(text), resp.Header.Get("Store-Era")
	}
	s.Put("servers", "stays", "old")
	s.Put("servers", "removed", "old")
	time.Sleep(50 * time.Millisecond)
	s.Put("servers", "new", "new")
	s.Put("servers", "stays", "newer")
	s.Remove("servers", "removed")
	status, _, _ := call(http.MethodPost, "lease", `{"metadata":{"name":"duties"},"spec":1}`)
	must.Eq(t, http.StatusOK, status)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(standin.Drill{Age: 25 * time.Millisecond, Away: 20 * time.Millisecond, RewriteAfter: 200 * time.Millisecond})
	}()
	time.Sleep(100 * time.Millisecond)
	status, body, era := call(http.MethodGet, "servers", "")
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "8", era)
	must.StrContains(t, body, `"currentRev":3`)
	must.Eq(t, `"old"`, string(s.Spec("servers", "stays")))
	must.Nil(t, s.Spec("servers", "new"))
	must.NotNil(t, s.Spec("servers", "removed"))
	must.Nil(t, s.Spec("lease", "duties"))
	status, _, era = call(http.MethodGet, "servers?watch=6&waitMs=10", "")
	must.Eq(t, http.StatusGone, status)
	must.Eq(t, "8", era)
	<-done
	must.Eq(t, `"newer"`, string(s.Spec("servers", "stays")))
	must.Eq(t, `"new"`, string(s.Spec("servers", "new")))
	must.Nil(t, s.Spec("servers", "removed"))
	must.Nil(t, s.Spec("lease", "duties"))
}
