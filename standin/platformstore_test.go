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
